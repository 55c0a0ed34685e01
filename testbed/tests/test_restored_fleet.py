"""State machine test of edge balancers whose store comes back from copies."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from balsamshed.edge.tests.builders import (
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_read_failed,
    handle_revision,
    handle_routes,
)
from balsamshed.store.polling import Source
from balsamshed.store.revisions import combine_revision
from testbed.tests.test_edge_fleet import (
    CALM_SECONDS,
    DRAIN_SECONDS,
    HOSTS,
    FleetMachine,
)

#: Operator and endpoints write again within this time.
REWRITE_SECONDS = 2
#: Ticks after which balancers are in touch and all changes in force.
SETTLING_TICKS = 90
#: Endpoints that drain; zero is a change of the configuration.
CHANGES = st.lists(st.integers(0, 4), max_size=4)
READY_SEQUENCE, DRAINING_SEQUENCE = 1, 2


class RestoredFleetMachine(FleetMachine):
    """Three balancers, and a store that goes back to copies.

    ``endpoints`` and ``version`` of the base class are what was acknowledged;
    the store lists them unless it has come back from a copy since.
    """

    def __init__(self):
        """Start everything."""
        super().__init__()
        self.endpoints = {
            number: build_endpoint(number, sequence=READY_SEQUENCE)
            for number in self.endpoints
        }
        self.era = 1
        self.configured_at = 0.0
        self.restored_at = -CALM_SECONDS
        self.copy = self.take_state()
        self.listed = None
        self.known_drains = {host: set() for host in self.edges}

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        """A balancer is killed and starts with an empty memory."""
        super().restart(host)
        self.known_drains[host].clear()

    def take_state(self):
        """Return what the store holds now."""
        return self.revision, self.version, dict(self.endpoints)

    @rule(number=st.integers(1, 4))
    def drain(self, number):
        """An endpoint reports that it drains."""
        self.write_again()
        super().drain(number)
        if number in self.draining_since:
            self.endpoints[number] = build_endpoint(
                number, is_draining=True, sequence=DRAINING_SEQUENCE
            )

    @rule()
    def change_configuration(self):
        """The operator writes a new version."""
        if self.is_store_up:
            self.write_again()
            super().change_configuration()
            self.configured_at = self.now

    @rule()
    def take_copy(self):
        """The store is copied."""
        if self.listed is None:
            self.copy = self.take_state()

    @rule(lost=CHANGES, later=CHANGES, pause_ticks=st.integers(0, 30))
    def lose_changes(self, lost, later, pause_ticks):
        """The store loses what every balancer knows, and goes on."""
        self.write_again()
        self.copy = self.take_state()
        self.make_changes(lost)
        self.pass_time(SETTLING_TICKS)
        self.known_drains_are_not_undone()
        self.restore()
        self.pass_time(pause_ticks)
        self.known_drains_are_not_undone()
        self.make_changes(later)
        self.pass_time(SETTLING_TICKS)

    def make_changes(self, numbers):
        """Drain endpoints by number; zero changes the configuration."""
        for number in numbers:
            if number:
                self.drain(number)
            else:
                self.change_configuration()

    @rule()
    def restore(self):
        """The store comes back from the last copy, in a new era."""
        self.revision, version, endpoints = self.copy
        self.listed = version, endpoints
        self.era += 1
        self.restored_at = self.now
        self.trouble()

    def write_again(self):
        """Operator and endpoints write what the copy lacks."""
        if self.listed is None:
            return
        version, endpoints = self.listed
        lost = [
            number
            for number, endpoint in self.endpoints.items()
            if endpoints[number] != endpoint
        ]
        self.revision += len(lost) + (version != self.version)
        self.listed = None

    def read(self, host, source):
        """Answer a read of the store, in its current era."""
        edge = self.edges[host]
        if not self.is_store_up or host in self.refused:
            return handle_read_failed(edge, source, 'refused', self.now)
        if self.now - self.restored_at >= REWRITE_SECONDS:
            self.write_again()
        version, endpoints = self.listed or (self.version, self.endpoints)
        revision = combine_revision(self.era, self.revision)
        if source is Source.REVISION:
            return handle_revision(edge, revision)
        if source is Source.ROUTES:
            return handle_routes(edge, build_table(version), self.now)
        view = build_view(revision, *endpoints.values())
        return handle_endpoints(edge, view, self.now)

    @invariant()
    def views_of_one_revision_are_equal(self):
        """Balancers with one revision know the same."""
        views = {}
        for edge in self.edges.values():
            drained = {
                endpoint.instance
                for endpoint in edge.history.endpoints.values()
                if endpoint.is_draining
            }
            known = views.setdefault(edge.history.revision, drained)
            assert drained == known

    @invariant()
    def believed_age_is_true(self):
        """What a balancer takes for confirmed was current at that time."""
        for edge in self.edges.values():
            for number, since in self.draining_since.items():
                known = edge.steering.directory.endpoints.get(0x1000 + number)
                confirmed = edge.reads.confirmed_at
                if known is None or confirmed is None or known.is_draining:
                    continue
                # A balancer that started meanwhile knows only the copy.
                rewritten_at = self.restored_at + REWRITE_SECONDS
                assert confirmed <= max(since, rewritten_at)

    @invariant()
    def known_drains_are_not_undone(self):
        """A drain that a balancer knows does not come back as ready."""
        for host, edge in self.edges.items():
            for endpoint in edge.steering.directory.endpoints.values():
                if endpoint.is_draining:
                    self.known_drains[host].add(endpoint.instance)
                assert (
                    endpoint.is_draining
                    or endpoint.instance not in self.known_drains[host]
                )

    @invariant()
    def acknowledged_version_is_in_force(self):
        """A version is in force in time, and none comes back older."""
        for host, edge in self.edges.items():
            calm = self.now - self.troubled_at[host]
            since = self.now - self.configured_at
            if host in self.paused or calm <= CALM_SECONDS:
                continue
            if since > DRAIN_SECONDS:
                assert edge.steering.routes.version == self.version


RestoredFleetMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
TestRestoredFleet = RestoredFleetMachine.TestCase
