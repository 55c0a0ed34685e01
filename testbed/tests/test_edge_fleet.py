"""State machine test of edge balancers under failures in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamshed.codecs.reports import decode_report, encode_report
from balsamshed.codecs.views import decode_view, encode_view
from balsamshed.edge.effects import FetchView, ReadSource, SendReport
from balsamshed.edge.lifecycle import TICK_SECONDS, handle_tick
from balsamshed.edge.peer_views import (
    create_view_for_peer,
    handle_peer_view,
    handle_report,
)
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_read_failed,
    handle_revision,
    handle_routes,
)
from balsamshed.peers.table import add_peer_addresses
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.packets import ForwardFlow, PacketKind
from balsamshed.store.polling import Source

HOSTS = ('10.9.0.1', '10.9.0.2', '10.9.0.3')
#: Time after which a drain is in force on every balancer in touch.
DRAIN_SECONDS = 3
#: A balancer is in touch if no failure has affected it for this long.
CALM_SECONDS = 4


def get_instance(endpoint):
    """Return the sort key of an endpoint."""
    return endpoint.instance


class FleetMachine(RuleBasedStateMachine):
    """Three balancers, a store, and a network between them."""

    def __init__(self):
        """Start everything."""
        super().__init__()
        self.now = 0.0
        self.revision = 1
        self.version = 1
        self.endpoints = {
            number: build_endpoint(number) for number in range(1, 5)
        }
        self.draining_since = {}
        self.drained_at = {}
        self.is_store_up = True
        self.refused = set()
        self.paused = set()
        self.troubled_at = dict.fromkeys(HOSTS, -CALM_SECONDS)
        self.edges = {host: self.start(host) for host in HOSTS}
        self.flows = {}
        self.versions = {host: [] for host in HOSTS}

    def start(self, host):
        """Return a balancer that has just started."""
        edge = build_edge(host, now=self.now, is_seed=host == HOSTS[0])
        add_peer_addresses(edge.peer_table, HOSTS, self.now)
        return edge

    def trouble(self, hosts=HOSTS):
        """Note that balancers are not in touch from now on."""
        self.troubled_at.update(dict.fromkeys(hosts, self.now))

    @rule(number=st.integers(1, 4))
    def drain(self, number):
        """An endpoint reports that it drains."""
        if number in self.draining_since or not self.is_store_up:
            return
        self.revision += 1
        self.endpoints[number] = build_endpoint(number, is_draining=True)
        self.draining_since[number] = self.now
        self.drained_at[number] = self.revision

    @rule()
    def change_configuration(self):
        """The operator writes a new version."""
        self.revision += 1
        self.version += 3

    @rule()
    def toggle_store(self):
        """The store goes down, or comes back."""
        self.is_store_up = not self.is_store_up
        self.trouble()

    @rule(host=st.sampled_from(HOSTS))
    def toggle_refusal(self, host):
        """The store refuses one balancer, or serves it again."""
        self.refused ^= {host}
        self.trouble([host])

    @rule(host=st.sampled_from(HOSTS))
    def toggle_pause(self, host):
        """A balancer freezes, or goes on."""
        self.paused ^= {host}
        self.trouble([host])

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        """A balancer is killed and starts with an empty memory."""
        self.edges[host] = self.start(host)
        self.versions[host] = []
        self.trouble([host])

    @rule(flow=st.integers(1, 50), host=st.sampled_from(HOSTS))
    def open_flow(self, flow, host):
        """A caller opens a flow through a balancer."""
        if host in self.paused or flow in self.flows:
            return
        effect = steer_packet(
            self.edges[host].steering, build_packet(flow=flow), self.now
        )
        if not isinstance(effect, ForwardFlow):
            return
        self.flows[flow] = effect
        number = effect.endpoint.instance - 0x1000
        calm = self.now - self.troubled_at[host]
        since = self.draining_since.get(number, self.now)
        if calm > CALM_SECONDS:
            assert self.now - since <= DRAIN_SECONDS

    @rule(flow=st.integers(1, 50), host=st.sampled_from(HOSTS))
    def send_data(self, flow, host):
        """A packet of an open flow reaches any balancer."""
        if host in self.paused or flow not in self.flows:
            return
        opened = self.flows[flow]
        packet = build_packet(PacketKind.DATA, flow, cookie=opened.cookie)
        effect = steer_packet(self.edges[host].steering, packet, self.now)
        if isinstance(effect, ForwardFlow):
            assert effect.endpoint.instance == opened.endpoint.instance
            assert effect.endpoint.service == 'web'

    @rule(ticks=st.integers(1, 60))
    def pass_time(self, ticks):
        """Time passes."""
        for _ in range(ticks):
            self.now += TICK_SECONDS
            for host in self.paused | self.refused:
                self.troubled_at[host] = self.now
            if not self.is_store_up:
                self.trouble()
            for host in HOSTS:
                if host not in self.paused:
                    self.perform(host, handle_tick(self.edges[host], self.now))

    def perform(self, host, effects):
        """Carry out effects at once, as a network without delay would."""
        for effect in effects:
            if isinstance(effect, ReadSource):
                self.perform(host, self.read(host, effect.source))
            elif isinstance(effect, FetchView):
                self.perform(host, self.fetch(host, effect))
            elif isinstance(effect, SendReport):
                for target in effect.hosts:
                    if target not in self.paused:
                        report = decode_report(encode_report(effect.report))
                        self.perform(
                            target,
                            handle_report(
                                self.edges[target], host, report, self.now
                            ),
                        )

    def read(self, host, source):
        """Answer a read of the store."""
        edge = self.edges[host]
        if not self.is_store_up or host in self.refused:
            return handle_read_failed(edge, source, 'refused', self.now)
        if source is Source.REVISION:
            return handle_revision(edge, self.revision)
        if source is Source.ROUTES:
            return handle_routes(edge, build_table(self.version), self.now)
        view = build_view(self.revision, *self.endpoints.values())
        return handle_endpoints(edge, view, self.now)

    def fetch(self, host, effect):
        """Answer a fetch of a peer's view."""
        edge = self.edges[host]
        if effect.host in self.paused:
            return handle_read_failed(
                edge, Source.PEER_VIEW, 'timed_out', self.now
            )
        target = self.edges[effect.host]
        view = create_view_for_peer(target, effect.revision, effect.version)
        return handle_peer_view(edge, decode_view(encode_view(view)), self.now)

    @invariant()
    def views_of_one_revision_are_equal(self):
        """Whoever reads changes of a peer knows what the store listed."""
        for edge in self.edges.values():
            for number, endpoint in enumerate(
                sorted(edge.history.endpoints.values(), key=get_instance),
                start=1,
            ):
                drained_at = self.drained_at.get(number, float('inf'))
                is_draining = drained_at <= edge.history.revision
                assert endpoint.is_draining == is_draining

    @invariant()
    def versions_only_rise(self):
        """No balancer goes back to an older configuration."""
        for host, edge in self.edges.items():
            self.versions[host].append(edge.steering.routes.version)
            assert self.versions[host] == sorted(self.versions[host])

    @invariant()
    def believed_age_is_true(self):
        """What a balancer takes for confirmed was current at that time."""
        for edge in self.edges.values():
            for number, since in self.draining_since.items():
                known = edge.steering.directory.endpoints.get(0x1000 + number)
                confirmed = edge.reads.confirmed_at
                if known is None or confirmed is None:
                    continue
                assert known.is_draining or confirmed <= since


FleetMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
TestFleet = FleetMachine.TestCase
