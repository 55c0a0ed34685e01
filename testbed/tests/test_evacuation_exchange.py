"""State machine test of how balancers pass evacuations on."""

import json
from dataclasses import replace
from functools import partial

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from balsamshed.edge.effects import ReadSource
from balsamshed.edge.evacuations import (
    handle_evacuations,
    is_evacuation_read_due,
)
from balsamshed.edge.tests.builders import (
    build_edge,
    build_table,
    build_view,
)
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.endpoints.directory import EndpointView
from balsamshed.evacuations.view import EvacuationView
from balsamshed.peers.table import add_peer_addresses
from balsamshed.steering.options import EdgeOptions
from balsamshed.store.polling import (
    READ_INTERVAL_SECONDS,
    set_pending_revision,
    start_read,
)
from testbed.tests.test_view_exchange import (
    BALANCERS,
    ENDPOINTS,
    ViewExchangeMachine,
    describe_endpoints,
)

DATA_CENTRES = st.sampled_from('ab')
CHANGES = ('write_entry', 'remove_entry', 'evacuate', 'take_back')
OPTIONS = EdgeOptions(follows_evacuations=True)


class EvacuationExchangeMachine(ViewExchangeMachine):
    """Balancers that exchange views while data centres are evacuated."""

    @initialize()
    def start_without_evacuations(self):
        """Start with a store that lists no evacuations."""
        self.evacuated = {}
        self.evacuated_at = {1: frozenset()}
        self.last_seen = {}
        self.written_at = {}
        self.former = {}

    def start(self, host):
        """Return a balancer that has just started."""
        edge = build_edge(host, now=self.now, options=OPTIONS)
        add_peer_addresses(edge.peer_table, self.hosts, self.now)
        return edge

    def record_revision(self):
        """Record what the store lists after a change."""
        super().record_revision()
        self.evacuated_at[self.revision] = frozenset(self.evacuated)
        self.written_at = {
            number: self.written_at.get(number, self.revision)
            if self.former.get(number) is endpoint
            else self.revision
            for number, endpoint in self.listed.items()
        }
        self.former = dict(self.listed)

    def read(self, host, change=None):
        """Answer a read of the store; it may change between the lists."""
        edge = self.edges[host]
        start_read(edge.reads, self.now, follows_evacuations=True)
        view = EvacuationView(self.revision, dict(self.evacuated))
        handle_evacuations(edge, view, self.now)
        if edge.reads.started_at is None:
            return
        if change is not None:
            change()
        endpoints = EndpointView(
            self.revision,
            tuple(self.listed.values()),
            self.revision,
            frozenset(self.written_at.values()),
        )
        effects = handle_endpoints(edge, endpoints, self.now)
        if any(type(effect) is ReadSource for effect in effects):
            handle_routes(edge, self.tables[-1], self.now, self.revision)

    @rule(reader=BALANCERS)
    def lapse_and_return(self, reader):
        """All entries lapse, one balancer reads, and all entries return."""
        entries = self.listed
        for number in tuple(entries):
            self.listed = {**self.listed}
            self.remove_entry(number)
        self.read(self.pick_host(reader))
        for number, endpoint in entries.items():
            self.listed = {**self.listed, number: replace(endpoint)}
            self.record_revision()

    @rule(
        position=BALANCERS,
        number=ENDPOINTS,
        data_centre=DATA_CENTRES,
        changes=st.lists(st.sampled_from(CHANGES), min_size=1, max_size=3),
    )
    def change_within_a_read(self, position, number, data_centre, changes):
        """The store changes between the lists of one read, and before it."""

        def change():
            for name in changes:
                if name == 'remove_entry':
                    self.remove_entry(number)
                elif name == 'write_entry':
                    self.write_entry(number, is_draining=False, start=1)
                else:
                    getattr(self, name)(data_centre)

        host = self.pick_host(position)
        self.write_entry(number, is_draining=True, start=2)
        self.read(host, change)

    @rule(data_centre=DATA_CENTRES)
    def evacuate(self, data_centre):
        """An operator evacuates a data centre."""
        if data_centre not in self.evacuated:
            self.evacuated[data_centre] = self.revision + 1
            self.record_revision()

    @rule(data_centre=DATA_CENTRES)
    def take_back(self, data_centre):
        """An operator ends an evacuation."""
        if self.evacuated.pop(data_centre, None) is not None:
            self.record_revision()

    @rule(first=BALANCERS, second=BALANCERS, data_centre=DATA_CENTRES)
    def take_back_unseen(self, first, second, data_centre):
        """An evacuation ends between the reads of two balancers."""
        self.evacuate(data_centre)
        self.read(self.pick_host(first))
        self.take_back(data_centre)
        self.read(self.pick_host(second))

    @rule(holder=BALANCERS, reader=BALANCERS, data_centre=DATA_CENTRES)
    def read_before_an_answer(self, holder, reader, data_centre):
        """A balancer reads a change before an older answer arrives."""
        source, target = self.pick_host(holder), self.pick_host(reader)
        self.evacuate(data_centre)
        self.read(source)
        self.report(source, target)
        while self.fetches:
            self.answer_fetch(0)
        self.take_back(data_centre)
        self.read(target)
        while self.answers:
            self.deliver_answer(0, is_repeated=False)

    @rule(position=st.integers(0, 7))
    def answer_as_older_build(self, position):
        """A holder of an older build answers, without evacuations."""
        if not self.fetches:
            return
        self.answer_fetch(position)
        host, body = self.answers.pop()
        document = json.loads(body)
        document.pop('evacuations', None)
        self.answers.append((host, json.dumps(document).encode()))

    @rule()
    def complete_views(self):
        """Balancers that lack evacuations read the store."""
        self.now += READ_INTERVAL_SECONDS
        for host, edge in self.edges.items():
            if is_evacuation_read_due(edge, self.now):
                self.read(host)
            state = edge.steering.evacuations
            assert state.revision >= edge.reads.revision

    @invariant()
    def views_hold_what_the_store_listed(self):
        """A view holds what the store listed within its revisions."""
        for edge in self.edges.values():
            history = edge.history
            assert history.revision >= edge.reads.revision
            if history.revision >= 0:
                known = describe_endpoints(history.endpoints.values())
                newest = history.max_revision
                revisions = range(history.revision, newest + 1)
                assert known in map(self.listed_at.get, revisions)

    @invariant()
    def evacuations_are_those_of_the_store(self):
        """Evacuations are what the store listed at their revision."""
        for edge in self.edges.values():
            state = edge.steering.evacuations
            expected = self.evacuated_at.get(state.revision, frozenset())
            assert state.in_force == expected

    @invariant()
    def evacuations_never_go_back(self):
        """A balancer never returns to an earlier list of evacuations."""
        for host, edge in self.edges.items():
            former, revision = self.last_seen.get(host, (None, -1))
            state = edge.steering.evacuations
            if former is edge:
                assert state.revision >= revision
            self.last_seen[host] = edge, state.revision


EvacuationExchangeMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
)
TestEvacuationExchange = EvacuationExchangeMachine.TestCase


def read_with_change(edge, evacuations, endpoint_revision, now):
    """Let a balancer read lists between which the store changes."""
    start_read(edge.reads, now, follows_evacuations=True)
    handle_evacuations(edge, evacuations, now)
    handle_endpoints(edge, build_view(endpoint_revision), now)
    handle_routes(edge, build_table(1), now, endpoint_revision)


def test_evacuation_within_a_read_is_found_by_the_next_one():
    """Guards against a balancer that never reads an evacuation that was
    written between the calls of its own read."""
    edge = build_edge(options=OPTIONS)
    read = partial(read_with_change, edge)
    read(EvacuationView(3), 4, 0)
    assert edge.reads.revision == 3
    # The next poll shows revision 4, which counts as a change.
    assert set_pending_revision(edge.reads, 4)
    read(EvacuationView(4, {'b': 4}), 4, 1)
    assert edge.reads.revision == 4
    assert edge.steering.evacuations.in_force == {'b'}
