"""State machine test of how balancers pass views of the store on."""

from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from balsamshed.codecs.views import decode_view, encode_view
from balsamshed.edge.effects import FetchView
from balsamshed.edge.lifecycle import create_report
from balsamshed.edge.peer_views import (
    create_view_for_peer,
    handle_peer_view,
    handle_report,
)
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_read_failed,
    handle_routes,
)
from balsamshed.peers.table import add_peer_addresses
from balsamshed.store.polling import Source, start_read

HOSTS = ('10.9.0.1', '10.9.0.2', '10.9.0.3', '10.9.0.4')
ENDPOINTS = st.integers(1, 4)
BALANCERS = st.integers(0, len(HOSTS) - 1)
#: Waits after failed fetches are shorter than this.
RETRY_SECONDS = 1.0
#: Rounds of reports in which every fetch can fail once and be repeated.
SETTLING_ROUNDS = 6


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch of a view that the holder has not answered yet."""

    host: str
    effect: FetchView


def describe_endpoints(endpoints):
    """Return what two views of one revision must agree on."""
    return {
        endpoint.instance: (endpoint.started_at_ms, endpoint.is_draining)
        for endpoint in endpoints
    }


class ViewExchangeMachine(RuleBasedStateMachine):
    """Balancers that exchange views while entries of the store change.

    Reports and answers to fetches wait in the network until a rule delivers,
    repeats or loses them, so a balancer may skip any number of revisions.
    """

    @initialize(count=st.integers(2, len(HOSTS)))
    def start_all(self, count):
        """Start the balancers before any of them has a view."""
        self.now = 0.0
        self.hosts = HOSTS[:count]
        self.revision = 1
        self.listed = {number: build_endpoint(number) for number in (1, 2)}
        self.listed_at = {1: describe_endpoints(self.listed.values())}
        self.tables = [build_table(1)]
        self.version_at = {1: 1}
        self.edges = {host: self.start(host) for host in self.hosts}
        self.fetches = []
        self.answers = []

    def start(self, host):
        """Return a balancer that has just started."""
        edge = build_edge(host, now=self.now)
        add_peer_addresses(edge.peer_table, self.hosts, self.now)
        return edge

    def pick_host(self, position):
        """Return one of the running balancers."""
        return self.hosts[position % len(self.hosts)]

    def record_revision(self):
        """Record what the store lists after a change."""
        self.revision += 1
        self.listed_at[self.revision] = describe_endpoints(
            self.listed.values(),
        )
        self.version_at[self.revision] = len(self.tables)

    @rule(ports=st.sets(st.integers(1, 4)), service=st.sampled_from('ab'))
    def write_configuration(self, ports, service):
        """An operator writes the next version of the configuration."""
        services = {f'p{port}': service for port in ports}
        self.write_table(build_table(len(self.tables) + 1, **services))

    @rule(reader=BALANCERS, ports=st.sets(st.integers(1, 4)))
    def change_routes_and_return(self, reader, ports):
        """One balancer reads a version that the next one takes back."""
        former = self.tables[-1]
        self.write_configuration(ports, 'c')
        self.read(self.pick_host(reader))
        self.write_table(replace(former, version=former.version + 2))

    def write_table(self, table):
        """Record the next version of the configuration."""
        self.tables.append(table)
        self.record_revision()

    @rule(number=ENDPOINTS, is_draining=st.booleans(), start=st.integers(1, 2))
    def write_entry(self, number, is_draining, start):
        """An endpoint writes its entry, again or after a restart."""
        self.listed[number] = build_endpoint(
            number, is_draining=is_draining, started_at_ms=start
        )
        self.record_revision()

    @rule(number=ENDPOINTS)
    def remove_entry(self, number):
        """The entry of an endpoint lapses or is deleted."""
        if self.listed.pop(number, None) is not None:
            self.record_revision()

    @rule(reader=BALANCERS)
    def lapse_and_return(self, reader):
        """All entries lapse, one balancer reads, and all entries return."""
        entries = self.listed
        self.listed = {}
        self.record_revision()
        self.read(self.pick_host(reader))
        self.listed = entries
        self.record_revision()

    @rule(position=BALANCERS)
    def read_store(self, position):
        """A balancer reads the current view."""
        self.read(self.pick_host(position))

    def read(self, host):
        """Answer a read of the store at once."""
        edge = self.edges[host]
        start_read(edge.reads, self.now)
        view = build_view(self.revision, *self.listed.values())
        handle_endpoints(edge, view, self.now)
        handle_routes(edge, self.tables[-1], self.now)

    @rule(position=BALANCERS)
    def restart(self, position):
        """A balancer loses its memory; what it asked for gets lost."""
        host = self.pick_host(position)
        self.edges[host] = self.start(host)
        self.fetches = [fetch for fetch in self.fetches if fetch.host != host]
        self.answers = [answer for answer in self.answers if answer[0] != host]

    @rule(sender=BALANCERS, receiver=BALANCERS)
    def deliver_report(self, sender, receiver):
        """A report arrives, and may start a fetch."""
        self.report(self.pick_host(sender), self.pick_host(receiver))

    def report(self, source, target):
        """Deliver the current report of a balancer to another one."""
        if source == target:
            return
        self.now += RETRY_SECONDS
        for edge in self.edges.values():
            edge.last_tick_at = self.now
        report = create_report(self.edges[source], self.now)
        edge = self.edges[target]
        self.collect(target, handle_report(edge, source, report, self.now))

    def collect(self, host, effects):
        """Add the fetches among the effects to the network."""
        self.fetches.extend(
            Fetch(host, effect)
            for effect in effects
            if isinstance(effect, FetchView)
        )

    @rule(position=st.integers(0, 7), takes_route_changes=st.booleans())
    def answer_fetch(self, position, takes_route_changes=True):
        """The holder answers; the answer is under way from now on.

        Balancers of older builds take whole tables of routes only.
        """
        if not self.fetches:
            return
        fetch = self.fetches.pop(position % len(self.fetches))
        wanted = fetch.effect
        view = create_view_for_peer(
            self.edges[wanted.host],
            wanted.revision,
            wanted.version,
            takes_route_changes=takes_route_changes,
        )
        self.answers.append((fetch.host, encode_view(view)))

    @rule(position=st.integers(0, 7), is_repeated=st.booleans())
    def deliver_answer(self, position, is_repeated):
        """An answer arrives, possibly after newer ones and more than once."""
        if not self.answers:
            return
        position %= len(self.answers)
        host, body = self.answers[position]
        if not is_repeated:
            self.answers.pop(position)
        effects = handle_peer_view(
            self.edges[host], decode_view(body), self.now
        )
        self.collect(host, effects)

    @rule(position=st.integers(0, 7))
    def lose_fetch(self, position):
        """A fetch gets no answer in time."""
        if self.fetches:
            fetch = self.fetches.pop(position % len(self.fetches))
            handle_read_failed(
                self.edges[fetch.host],
                Source.PEER_VIEW,
                'timed_out',
                self.now,
            )

    @rule()
    def settle(self):
        """Reports and fetches go through; the store is out of reach."""
        for _ in range(SETTLING_ROUNDS):
            for source in self.hosts:
                for target in self.hosts:
                    self.report(source, target)
                    while self.fetches:
                        self.answer_fetch(0)
                    while self.answers:
                        self.deliver_answer(0, is_repeated=False)
        revisions = {edge.reads.revision for edge in self.edges.values()}
        assert len(revisions) == 1
        versions = {
            edge.steering.routes.version for edge in self.edges.values()
        }
        assert len(versions) == 1

    @invariant()
    def views_hold_what_the_store_listed(self):
        """A view at a revision is what the store listed at that revision."""
        for edge in self.edges.values():
            history = edge.history
            assert history.revision == edge.reads.revision
            if history.revision >= 0:
                known = describe_endpoints(history.endpoints.values())
                assert known == self.listed_at[history.revision]

    @invariant()
    def routes_are_those_of_their_version(self):
        """Routes hold what the operator wrote, and are as new as the view."""
        for edge in self.edges.values():
            routes = edge.steering.routes
            if routes.version >= 0:
                assert routes == self.tables[routes.version - 1]
            if edge.reads.revision >= 0:
                assert routes.version >= self.version_at[edge.reads.revision]


ViewExchangeMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
)
TestViewExchange = ViewExchangeMachine.TestCase
