"""Stateful tests of membership under random faults.

They guard against views that still differ after the faults have ended, members
that believe themselves dead, and incarnations that fall.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from balsamshed.members.member import MemberState
from balsamshed.members.membership import list_owners, list_reachable
from balsamshed.members.protocol import PERIOD_SECONDS, leave
from balsamshed.members.tests.network import (
    Faults,
    Network,
    create_member,
    restart,
)

SIZE = 5
# Two reconnect intervals (10 periods each), then suspicion and gossip.
AGREEMENT_PERIODS = 30
indexes = st.integers(0, SIZE - 1)
percentages = st.integers(0, 40)


class MembershipMachine(RuleBasedStateMachine):
    """Subjects a group to faults and checks that it agrees once they end."""

    def __init__(self):
        super().__init__()
        self.network = Network()
        self.network.start_group(SIZE)
        self.generations = dict.fromkeys(range(SIZE), 0)
        self.incarnations = {}

    @rule(
        lost_percent=percentages,
        late_percent=percentages,
        repeated_percent=percentages,
        max_delay_seconds=st.sampled_from((0.3, 2.0, 8.0)),
    )
    def set_faults(
        self, lost_percent, late_percent, repeated_percent, max_delay_seconds
    ):
        self.network.faults = Faults(
            lost_percent,
            late_percent,
            repeated_percent,
            max_delay_seconds=max_delay_seconds,
        )

    @rule(source=indexes, loss_percent=st.integers(0, 100))
    def lose_in_one_direction(self, source, loss_percent):
        name = create_member(source).name
        self.network.get_loss_percent = lambda sender, _target: (
            loss_percent * (sender == name)
        )

    @rule(index=indexes)
    def kill(self, index):
        name = create_member(index).name
        if name in self.network.processes and len(self.network.processes) > 2:
            self.network.kill(name)

    @rule(index=indexes, has_new_address=st.booleans())
    def restart(self, index, has_new_address):
        self.generations[index] += has_new_address
        name = create_member(index).name
        for key in list(self.incarnations):
            if key[0] == name:
                del self.incarnations[key]
        restart(self.network, index, self.generations[index])

    @rule(index=indexes)
    def pause(self, index):
        name = create_member(index).name
        if name in self.network.processes:
            self.network.processes[name].paused = True

    @rule(index=indexes)
    def resume(self, index):
        name = create_member(index).name
        process = self.network.processes.get(name)
        if process is not None and process.paused:
            self.network.resume(name)

    @rule(index=indexes)
    def announce_leave(self, index):
        name = create_member(index).name
        process = self.network.processes.get(name)
        if process is not None and not process.paused:
            self.network.send(name, leave(process.membership))

    @rule(side=st.frozensets(indexes, max_size=SIZE - 1))
    def partition(self, side):
        names = (create_member(index).name for index in side)
        self.network.partitioned = frozenset(names)

    @rule()
    def list_vms(self):
        self.network.list_vms()

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.0, 8.0)))
    def run(self, seconds):
        self.network.run(seconds)

    @rule()
    def settle(self):
        network = self.network
        network.faults = Faults()
        network.get_loss_percent = lambda _source, _target: 0
        network.partitioned = frozenset()
        for name, process in tuple(network.processes.items()):
            if process.paused:
                network.resume(name)
        network.list_vms()
        network.run(AGREEMENT_PERIODS * PERIOD_SECONDS)
        living = sorted(
            (process.membership.own for process in network.processes.values()),
            key=lambda member: member.name,
        )
        owners = [m for m in living if m.state is MemberState.ALIVE]
        for process in network.processes.values():
            assert list(list_reachable(process.membership)) == living
            assert list(list_owners(process.membership)) == owners

    @invariant()
    def incarnations_never_fall(self):
        for name, process in self.network.processes.items():
            membership = process.membership
            for member in (membership.own, *membership.peers.values()):
                key = (name, member.name)
                assert member.incarnation >= self.incarnations.get(key, 0)
                self.incarnations[key] = member.incarnation

    @invariant()
    def no_member_believes_itself_dead(self):
        for name, process in self.network.processes.items():
            own = process.membership.own
            assert own.state in {MemberState.ALIVE, MemberState.LEAVING}
            assert name not in process.membership.peers
            assert own in list_reachable(process.membership)

    @precondition(lambda self: self.network.partitioned)
    @rule()
    def heal(self):
        self.network.partitioned = frozenset()

    def teardown(self):
        self.settle()


MembershipMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)
TestMembership = MembershipMachine.TestCase
