"""Tests of the share of a balancer's link that views for peers take."""

import random

import pytest

from balsamshed.edge.view_pacing import (
    LARGE_VIEW_BYTES_PER_SECOND,
    MAX_SAVED_BYTES,
    ViewPacing,
    may_send_large_view,
    record_large_view,
)
from balsamshed.store.polling import compute_backoff

PEER_COUNT = 20
#: Longest time in which packets of flows may wait behind views; callers repeat
#: them after 0.2 s.
MAX_WAIT_SECONDS = 0.2
LINK_BYTES_PER_SECOND = 625_000


def serve_peers(view_bytes, seed=1):
    """Return the times at which peers that ask at once get their views."""
    randbelow = random.Random(seed).randrange
    pacing = ViewPacing()
    due_at = dict.fromkeys(range(PEER_COUNT), 100.0)
    failures = dict.fromkeys(due_at, 0)
    served_at = []
    while due_at:
        peer = min(due_at, key=due_at.get)
        now = due_at[peer]
        if may_send_large_view(pacing, now):
            record_large_view(pacing, view_bytes)
            served_at.append(now)
            del due_at[peer]
        else:
            due_at[peer] += compute_backoff(failures[peer], randbelow)
            failures[peer] += 1
    return served_at


@pytest.mark.parametrize('view_bytes', [20_000, 50_000])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_packets_of_flows_hardly_wait_behind_views(view_bytes, seed):
    """Guards against a link that views fill for so long that all endpoints
    seem silent."""
    queued, previous = 0.0, 0.0
    for now in serve_peers(view_bytes, seed):
        sent = (now - previous) * LINK_BYTES_PER_SECOND
        queued = max(queued - sent, 0) + view_bytes
        previous = now
        assert queued / LINK_BYTES_PER_SECOND < MAX_WAIT_SECONDS


def test_all_peers_are_served_by_a_single_holder():
    """Guards against peers that are turned away for ever, or much longer than
    the bandwidth needs."""
    served_at = serve_peers(50_000)
    needed = PEER_COUNT * 50_000 / LARGE_VIEW_BYTES_PER_SECOND
    assert served_at[-1] - served_at[0] < needed + 1


def test_view_larger_than_the_budget_is_sent():
    """Guards against a first view of a large site that is never sent."""
    pacing = ViewPacing()
    assert may_send_large_view(pacing, 1)
    record_large_view(pacing, 10 * MAX_SAVED_BYTES)
    assert not may_send_large_view(pacing, 2)
    assert may_send_large_view(pacing, 4)
