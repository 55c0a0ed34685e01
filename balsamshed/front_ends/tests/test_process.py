"""Tests of the process of a balancer."""

from balsamshed.front_ends.metrics import create_metrics
from balsamshed.front_ends.process import (
    TICKS_PER_GAUGE_UPDATE,
    _create_tick,
    _is_ready,
)
from balsamshed.node.ownership import DISCOVERY_SECONDS, JOIN_DELAY_SECONDS
from balsamshed.node.tests.builders import make_node


def test_change_of_the_members_shows_in_the_next_tick(monkeypatch):
    """Guards against a fabric that sends packets to a dead balancer for two
    seconds more, since the metric shows it as a member."""
    node = make_node()
    metrics = create_metrics()
    shown = []
    monkeypatch.setattr(
        'balsamshed.front_ends.process._set_gauges',
        lambda node, set_gauge, delay: shown.append(len(node.reachable)),
    )
    tick = _create_tick(node, metrics, lambda event: None)
    for reachable in (('lb-1', 'lb-2'), ('lb-1',)):
        node.reachable = frozenset(reachable)
        node.view_version += 1
        tick()
    assert shown == [2, 1]
    for _ in range(TICKS_PER_GAUGE_UPDATE):
        tick()
    assert shown == [2, 1, 1]


def test_joining_balancer_is_not_ready():
    """Guards against a fabric that sends packets to a balancer which drops
    them until it has learnt of the other members."""
    node = make_node(now=0.0)
    node.membership.seeds = frozenset((('127.0.0.1', 7401),))
    assert not _is_ready(node, DISCOVERY_SECONDS - 0.1)
    assert _is_ready(node, DISCOVERY_SECONDS)
    node.joined_at = 2.0
    assert not _is_ready(node, 2.0 + JOIN_DELAY_SECONDS - 0.1)
    assert _is_ready(node, 2.0 + JOIN_DELAY_SECONDS)


def test_balancer_without_records_is_not_ready():
    """Guards against callers refused by a balancer without configuration."""
    node = make_node(now=0.0)
    assert _is_ready(node, 0.0)
    node.catalog.records.clear()
    assert not _is_ready(node, 0.0)
