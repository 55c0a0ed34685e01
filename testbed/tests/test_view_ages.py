"""Tests of the age of views while reports are under way for long."""

import random
from heapq import heappop, heappush

import pytest

from balsamshed.edge.effects import ReadSource, SendReport
from balsamshed.edge.lifecycle import TICK_SECONDS, handle_tick
from balsamshed.edge.peer_views import handle_report
from balsamshed.edge.state import create_edge
from balsamshed.edge.tests.builders import (
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_revision,
    handle_routes,
)
from balsamshed.peers.table import add_peer_addresses
from balsamshed.store.polling import (
    MAX_READ_INTERVAL_SECONDS,
    READ_INTERVAL_SECONDS,
    Source,
    record_call,
)

REVISION = 5
STORE_SECONDS = 0.004
#: Time by which all balancers have confirmed their first views.
START_SECONDS = 4.0


class Group:
    """Balancers whose reports and calls wait at the links of some of them.

    Nothing changes in the store, so only polls and reports are played.
    """

    def __init__(self, waits, seed):
        self.waits = waits
        self.events = []
        self.event_count = 0
        self.polls = []
        self.now = 0.0
        random_source = random.Random(seed)
        hosts = [f'10.9.0.{number}' for number in range(1, len(waits) + 1)]
        self.wait_by_host = dict(zip(hosts, waits, strict=True))
        self.edges = {}
        for host in hosts:
            edge = create_edge(
                'a', host, 60, 5, host in hosts[:3], random_source.randrange, 0
            )
            add_peer_addresses(edge.peer_table, hosts, 0)
            self.edges[host] = edge
            self.call_later(
                random_source.random() * TICK_SECONDS, self.tick, host
            )

    def call_later(self, seconds, callback, *arguments):
        self.event_count += 1
        due_at = self.now + seconds
        event = (due_at, self.event_count, callback, arguments)
        heappush(self.events, event)

    def run(self, seconds):
        while self.events[0][0] < seconds:
            self.now, _, callback, arguments = heappop(self.events)
            callback(*arguments)

    def tick(self, host):
        self.execute(host, handle_tick(self.edges[host], self.now))
        self.call_later(TICK_SECONDS, self.tick, host)

    def execute(self, host, effects):
        for effect in effects:
            if isinstance(effect, ReadSource):
                if effect.source is Source.REVISION:
                    self.polls.append(self.now)
                seconds = STORE_SECONDS + 2 * self.wait_by_host[host]
                self.call_later(
                    seconds, self.answer, host, effect.source, seconds
                )
            elif isinstance(effect, SendReport):
                for target in effect.hosts:
                    wait = self.wait_by_host[host] + self.wait_by_host[target]
                    self.call_later(
                        wait, self.receive, target, host, effect.report
                    )

    def receive(self, host, sender, report):
        effects = handle_report(self.edges[host], sender, report, self.now)
        self.execute(host, effects)

    def answer(self, host, source, seconds):
        edge = self.edges[host]
        if source is Source.REVISION:
            record_call(edge.reads, seconds)
            effects = handle_revision(edge, REVISION)
        elif source is Source.ENDPOINTS:
            view = build_view(REVISION, build_endpoint(1))
            effects = handle_endpoints(edge, view, self.now)
        else:
            effects = handle_routes(edge, build_table(1), self.now, REVISION)
        self.execute(host, effects)


def list_polls(waits, seed=1, seconds=24.0):
    """Return the times of all polls after the start."""
    group = Group(waits, seed)
    group.run(seconds)
    return [now for now in group.polls if now >= START_SECONDS]


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    'waits',
    [
        (0.2, 0.2, 0.2, 0, 0, 0, 0),
        (0, 0, 0, 0, 0.2, 0.2, 0.2),
        (0.2, 0, 0, 0, 0, 0, 0),
        (0.2,) * 7,
        (0.1,) * 7,
        (0.4, 0.4, 0, 0, 0, 0, 0),
    ],
)
def test_some_balancer_polls_while_packets_wait_at_links(waits, seed):
    """Guards against balancers that refresh each other's age by the time that
    reports are under way, until nobody reads the store.

    Drains and routes came into force 4 to 8 s late.
    """
    polls = [START_SECONDS, *list_polls(waits, seed), 24.0]
    longest = max(
        later - earlier
        for earlier, later in zip(polls, polls[1:], strict=False)
    )
    assert longest <= MAX_READ_INTERVAL_SECONDS


def test_free_links_need_one_reader():
    """Guards against more calls to the store than the interval needs."""
    polls = list_polls((0,) * 7)
    assert len(polls) <= 20 / READ_INTERVAL_SECONDS + 1
