"""State machine of a fleet that opens flows at endpoints that warm up."""

from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from balsamshed.edge import lifecycle
from balsamshed.edge.effects import SendReport
from balsamshed.edge.packets import handle_packet
from balsamshed.edge.peer_views import handle_report
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.peers.table import add_peer_addresses
from balsamshed.placement import cold_starts as cold_start_rules
from balsamshed.steering.options import ColdStartLimit, EdgeOptions
from balsamshed.steering.packets import ForwardFlow

OPTIONS = EdgeOptions(cold_start_limit=ColdStartLimit(1.5, 5))
BOUND = 5
USED_SHARE = 0.6
#: Time without changes after which the limit has to be used: the forgetting of
#: an address that was passed on, and the time in which a balancer settles.
CALM_SECONDS = 135.0
STEP_SECONDS = 0.1
#: Step without demand; below the gap that counts as a pause.
IDLE_STEP_SECONDS = 0.5
#: Longest time under way of a packet or report.
MAX_DELAY_SECONDS = 0.05
COLD = build_endpoint(1, warm_up_seconds=80_000)


class ColdStartMachine(RuleBasedStateMachine):
    """Balancers that join, die and are cut off while an endpoint is cold."""

    def __init__(self):
        """Create an empty fleet."""
        super().__init__()
        self.now = 100.0
        self.random = Random(0)
        self.edges = {}
        self.clocks = {}
        self.cut = set()
        self.loss = 0.0
        self.under_way = []
        self.arrivals = []
        self.changed_at = self.now
        self.flow = 0
        self.joined = 0

    @initialize(
        count=st.sampled_from((3, 4, 6, 12, 24, 60)),
        seed=st.integers(0, 1000),
        idle_seconds=st.sampled_from([0, 12]),
    )
    def start_fleet(self, count, seed, idle_seconds=0):
        """All balancers start at once and know only the seeds."""
        self.random = Random(seed)
        self.add(count)
        for _ in range(int(idle_seconds / IDLE_STEP_SECONDS)):
            self.step(with_demand=False)

    def add(self, count):
        """Start balancers at new addresses."""
        for _ in range(count):
            self.joined += 1
            self.start(f'10.9.{self.joined // 200}.{self.joined % 200 + 1}')

    def start(self, host):
        """Start a balancer with a clock of its own."""
        self.changed_at = self.now
        self.clocks[host] = self.random.uniform(0, 1e6)
        now = self.read_clock(host)
        edge = build_edge(
            host, now=now, options=OPTIONS, randbelow=self.random.randrange
        )
        add_peer_addresses(
            edge.peer_table, [f'10.9.0.{n}' for n in (2, 3, 4)], now
        )
        handle_endpoints(edge, build_view(5, COLD), now)
        handle_routes(edge, build_table(1), now)
        self.edges[host] = edge

    def read_clock(self, host):
        """Return the monotonic time of a balancer."""
        return self.now + self.clocks[host]

    @rule(count=st.integers(1, 6))
    def join(self, count):
        """New balancers start; up to 75 % of the fleet at once."""
        if len(self.edges) < 14:
            self.add(min(count, max(1, len(self.edges) * 3 // 4)))
        self.run_after_trouble()

    @rule(choice=st.randoms(use_true_random=False), share=st.floats(0, 0.8))
    def kill(self, choice, share):
        """Balancers are killed for good."""
        hosts = sorted(self.edges)
        for host in choice.sample(hosts, int(share * len(hosts))):
            self.changed_at = self.now
            del self.edges[host]
        self.run_after_trouble()

    @rule(choice=st.randoms(use_true_random=False), share=st.floats(0, 1))
    def restart(self, choice, share):
        """Balancers are killed and start again at their addresses."""
        hosts = sorted(self.edges)
        for host in choice.sample(hosts, int(share * len(hosts))):
            self.start(host)
        self.run_after_trouble()

    @rule(choice=st.randoms(use_true_random=False), share=st.floats(0, 0.7))
    def partition(self, choice, share):
        """Balancers are cut off from the others, not from their callers."""
        hosts = sorted(self.edges)
        self.cut = set(choice.sample(hosts, int(share * len(hosts))))
        self.changed_at = self.now
        self.run_after_trouble()

    @rule()
    def heal(self):
        """The partition ends."""
        self.cut = set()
        self.changed_at = self.now
        self.run_after_trouble()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose(self, loss):
        """Reports are lost."""
        self.loss = loss
        self.changed_at = self.now

    @rule(steps=st.integers(1, 30))
    def run(self, steps):
        """Callers ask for more than the endpoint may take."""
        for _ in range(steps):
            self.step()

    @rule(seconds=st.sampled_from([8.0, 65.0]))
    def wait(self, seconds):
        """Time passes; demand comes at its end."""
        for _ in range(int(seconds / IDLE_STEP_SECONDS)):
            self.step(with_demand=False)
        self.run_demand()

    def run_after_trouble(self):
        """Run with demand until the reports of the silent have expired."""
        for _ in range(25):
            self.step()

    def run_demand(self):
        """Run three seconds with demand; check the use after calm ones."""
        started_at = self.now
        for _ in range(30):
            self.step()
        if self.now - self.changed_at < CALM_SECONDS or not self.edges:
            return
        opened = sum(at > started_at + 1 for at in self.arrivals)
        assert opened >= USED_SHARE * BOUND * 2, (opened, len(self.edges))

    @rule()
    def settle(self):
        """All trouble ends, and the limit has to be used afterwards."""
        self.cut, self.loss = set(), 0.0
        self.changed_at = self.now
        for _ in range(int(CALM_SECONDS / IDLE_STEP_SECONDS) + 1):
            self.step(with_demand=False)
        if self.has_settled_majority():
            self.run_demand()

    def has_settled_majority(self):
        """Tell whether no balancer waits for a lost majority to be forgotten."""
        return all(
            len(edge.steering.cold_starts.fleet) < 2 * len(self.edges)
            for edge in self.edges.values()
        )

    def step(self, with_demand=True):
        """Advance the time by one tick."""
        self.now += STEP_SECONDS if with_demand else IDLE_STEP_SECONDS
        due, self.under_way = self.under_way, []
        for sender, target, report in due:
            if target in self.edges and not self.is_cut(sender, target):
                handle_report(
                    self.edges[target], sender, report, self.read_clock(target)
                )
        for host, edge in self.edges.items():
            now = self.read_clock(host)
            for effect in lifecycle.handle_tick(edge, now):
                if isinstance(effect, SendReport):
                    self.send(host, effect)
            if with_demand:
                self.call(edge, now)

    def send(self, host, effect):
        """Send reports, some of which are lost."""
        for target in effect.hosts:
            if self.random.random() >= self.loss:
                self.under_way.append((host, target, effect.report))

    def is_cut(self, sender, target):
        """Tell whether a partition is between two balancers."""
        return (sender in self.cut) != (target in self.cut)

    def call(self, edge, now):
        """Two callers open flows, one of them with a duplicated packet."""
        for attempt in (0, 0, 1):
            self.flow += attempt or self.random.randrange(2)
            packet = build_packet(flow=self.flow + 1, attempt=attempt)
            if isinstance(handle_packet(edge, packet, now), ForwardFlow):
                delay = self.random.uniform(0, MAX_DELAY_SECONDS)
                self.arrivals.append(self.now + delay)

    @invariant()
    def bound_holds(self):
        """No second has more openings than the bound."""
        arrivals = sorted(self.arrivals)
        for first, last in zip(arrivals, arrivals[BOUND:]):
            assert last - first >= 1, (first, last)
        self.arrivals = [at for at in arrivals if at > self.now - 10]


def run_machine(examples):
    """Run the state machine."""
    run_state_machine_as_test(
        ColdStartMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=6,
            deadline=None,
            derandomize=True,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_all_balancers_together_keep_the_limit():
    """Guards against a fleet that sends a cold endpoint more than it bears."""
    run_machine(5)


def test_balancer_that_thinks_itself_alone_breaks_the_limit(monkeypatch):
    """Guards against a state machine that would not notice a broken limit."""
    monkeypatch.setattr(
        cold_start_rules, 'calculate_part', lambda bound, *_: bound
    )
    with pytest.raises(AssertionError):
        run_machine(5)


def test_fleet_of_live_peers_only_breaks_the_limit(monkeypatch):
    """Guards against a state machine without partitions that matter."""

    def update_fleet(state, table, now):
        cold_start_rules.update_fleet(state, table, now)
        live = (host for host, peer in table.peers.items() if peer.report)
        state.fleet = frozenset((state.own_host, *live))
        state.parts.clear()

    monkeypatch.setattr(lifecycle, 'update_fleet', update_fleet)
    with pytest.raises(AssertionError):
        run_machine(12)


def test_sixty_balancers_use_the_limit_after_a_common_start():
    """Guards against a large fleet that never learns all its members."""
    machine = ColdStartMachine()
    machine.start_fleet(60, 7)
    for _ in range(40):
        machine.step(with_demand=False)
    for _ in range(20):
        machine.step()
        machine.bound_holds()
    assert len(machine.arrivals) >= USED_SHARE * BOUND
