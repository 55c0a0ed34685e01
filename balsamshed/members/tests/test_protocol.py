"""Guards against late detection, false deaths and failed joins."""

from dataclasses import replace

import pytest

from balsamshed.members.member import MemberState
from balsamshed.members.membership import (
    create_membership,
    get_address,
    get_peer_catalogs,
    list_owners,
    list_reachable,
    set_catalog,
    set_vm_addresses,
)
from balsamshed.members.messages import Ack, CatalogDigest, Ping
from balsamshed.members.protocol import (
    DEAD_RETENTION_SECONDS,
    PERIOD_SECONDS,
    TICK_SECONDS,
    handle_ack,
    handle_ping,
    leave,
    run_tick,
)
from balsamshed.members.tests.network import (
    Network,
    create_member,
    create_random_source,
    list_names,
    restart,
)

DETECTION_SECONDS = 3.0
NAMES = [create_member(index).name for index in range(9)]


def start_network(seed=1, size=9):
    network = Network(seed)
    network.start_group(size)
    assert_all_agree(network, NAMES[:size])
    return network


def assert_all_agree(network, names):
    for process in network.processes.values():
        assert list_names(process.membership) == names


def get_state(network, observer, name):
    return network.processes[observer].membership.peers[name].state


def is_dead_everywhere(network, name):
    return all(
        get_state(network, observer, name) is MemberState.DEAD
        for observer in network.processes
        if observer != name
    )


@pytest.mark.parametrize('seed', range(20))
def test_killed_member_is_detected_in_time(seed):
    """Guards against late detection; flows of the dead owner wait for it."""
    network = start_network(seed)
    network.run(network.randbelow(500) / 1000)
    network.kill(NAMES[4])
    network.run(DETECTION_SECONDS)
    assert is_dead_everywhere(network, NAMES[4])
    assert_all_agree(network, [name for name in NAMES if name != NAMES[4]])


@pytest.mark.parametrize('outbound', [True, False])
@pytest.mark.parametrize('seed', range(5))
def test_lossy_member_is_never_declared_dead(seed, outbound):
    """Guards against a false death on a link that loses 10% one way.

    A member that is declared dead loses its flows.
    """
    network = start_network(seed)
    lossy = NAMES[4]
    network.get_loss_percent = lambda source, target: (
        10 * ((source if outbound else target) == lossy)
    )
    for _step in range(300):
        network.run(TICK_SECONDS)
        for observer in network.processes:
            if observer != lossy:
                state = get_state(network, observer, lossy)
                assert state is not MemberState.DEAD


def test_member_joins_during_a_partition():
    """Guards against a balancer that cannot join while it is partitioned.

    It joins the members on its side, and all others once the partition heals.
    """
    network = start_network()
    side = frozenset(NAMES[5:])
    network.partitioned = side | {create_member(9).name}
    network.run(5)
    joining = create_member(9)
    network.start(joining, [get_address(create_member(5))])
    network.run(5)
    partition_names = [*NAMES[5:], joining.name]
    for name in partition_names:
        membership = network.processes[name].membership
        assert list_names(membership) == partition_names
    network.partitioned = frozenset()
    network.run(10)
    assert_all_agree(network, [*NAMES, joining.name])


def test_two_groups_that_never_met_merge_through_their_seeds():
    """Guards against two groups that stay separate after a partition.

    Both sides start during the partition; the seed is on one of them.
    """
    network = Network()
    members = [create_member(index) for index in range(6)]
    network.partitioned = frozenset(NAMES[3:6])
    for member in members:
        network.start(member, [get_address(members[0])])
    network.list_vms()
    network.run(10)
    assert list_names(network.processes[NAMES[0]].membership) == NAMES[:3]
    assert list_names(network.processes[NAMES[5]].membership) == NAMES[3:6]
    network.partitioned = frozenset()
    network.run(10)
    assert_all_agree(network, NAMES[:6])


def test_paused_member_suspects_no_peer_and_rejoins():
    """Guards against a resumed process that suspects the other members.

    It has missed their acknowledgements while it was paused.
    """
    network = start_network()
    paused = NAMES[4]
    membership = network.processes[paused].membership
    incarnation = membership.own.incarnation
    network.processes[paused].paused = True
    network.run(6)
    assert is_dead_everywhere(network, paused)
    network.resume(paused)
    for _step in range(20):
        network.run(TICK_SECONDS)
        states = {peer.state for peer in membership.peers.values()}
        assert states == {MemberState.ALIVE}
    (pause,) = network.processes[paused].pauses
    assert pause.late_seconds > 5
    assert membership.own.incarnation > incarnation
    assert_all_agree(network, NAMES)


def test_pause_is_reported_once():
    """Guards against repeated reports of one pause.

    At each report the balancer resets its limits and distrusts its entries.
    """
    network = start_network()
    process = network.processes[NAMES[0]]
    assert not process.pauses
    process.paused = True
    network.run(3)
    network.resume(NAMES[0])
    network.run(3)
    assert len(process.pauses) == 1


def test_restarted_member_with_a_new_address_is_accepted():
    """Guards against updates of a restarted member that peers discard.

    The peers know a higher incarnation of its previous process.
    """
    network = start_network()
    old = network.processes[NAMES[4]].membership
    network.processes[NAMES[4]].paused = True
    network.run(5)
    network.resume(NAMES[4])
    network.run(5)
    assert old.own.incarnation > 0
    network.kill(NAMES[4])
    network.run(0.1)
    restart(network, 4, generation=1)
    network.run(8)
    assert_all_agree(network, NAMES)
    address = get_address(create_member(4, generation=1))
    for observer in NAMES[:4]:
        peer = network.processes[observer].membership.peers[NAMES[4]]
        assert get_address(peer) == address
        assert peer.incarnation > old.own.incarnation


def test_leaving_member_stays_reachable_but_owns_nothing():
    """Guards against open flows that break and new flows that go to it (G7)."""
    network = start_network()
    membership = network.processes[NAMES[4]].membership
    version = membership.view_version
    network.send(NAMES[4], leave(membership))
    assert membership.view_version > version
    network.run(2)
    rest = [name for name in NAMES if name != NAMES[4]]
    assert_all_agree(network, rest)
    network.run(20)
    for process in network.processes.values():
        reachable = [m.name for m in list_reachable(process.membership)]
        assert reachable == NAMES
    network.kill(NAMES[4])
    network.run(6)
    assert is_dead_everywhere(network, NAMES[4])


def test_vm_list_does_not_determine_membership():
    """Guards against trust in a stale list of VMs.

    It may contain stopped VMs and lack running ones.
    """
    network = start_network(size=3)
    missing = create_member(8)
    for process in network.processes.values():
        set_vm_addresses(process.membership, [missing])
    network.run(10)
    assert_all_agree(network, NAMES[:3])
    network.start(missing, [])
    network.run(10)
    assert_all_agree(network, [*NAMES[:3], missing.name])


def test_dead_members_are_removed_unless_they_are_seeds():
    """Guards against endless pings to replaced VMs."""
    network = start_network(size=4)
    network.kill(NAMES[0])
    network.kill(NAMES[3])
    network.run(10)
    membership = network.processes[NAMES[1]].membership
    assert set(membership.died_at) == {NAMES[0], NAMES[3]}
    for name in membership.died_at:
        membership.died_at[name] -= DEAD_RETENTION_SECONDS
    network.run(6)
    assert set(membership.died_at) == {NAMES[0]}
    assert NAMES[3] not in membership.peers


def test_ack_of_another_process_does_not_answer_a_probe():
    """Guards against an ack from a new VM that has the address of a dead one."""
    own, peer, other = (create_member(index) for index in range(3))
    membership = create_membership(own, [], create_random_source(1))
    digest = CatalogDigest(0, 0)
    handle_ping(membership, Ping(1, digest, (peer,)), 0)
    (ping,) = (
        entry
        for entry in run_tick(membership, 0)
        if isinstance(entry.message, Ping)
    )
    handle_ack(membership, Ack(ping.message.sequence, digest, (other,)), 0)
    assert membership.probe.target == peer.name
    handle_ack(membership, Ack(ping.message.sequence, digest, (peer,)), 0)
    assert membership.probe is None


def test_lagging_catalog_keeps_the_time_of_its_first_difference():
    """Guards against a wrong time in the status.

    The status shows since when a member lacks a version.
    """
    own, peer = create_member(0), create_member(1)
    membership = create_membership(own, [], create_random_source(1))
    old, new = CatalogDigest(1, 1), CatalogDigest(2, 2)
    set_catalog(membership, old, 0)
    handle_ping(membership, Ping(1, old, (peer,)), 1)
    assert get_peer_catalogs(membership)[peer.name].lagging_since is None
    set_catalog(membership, new, 2)
    handle_ping(membership, Ping(2, old, (peer,)), 3)
    assert get_peer_catalogs(membership)[peer.name].lagging_since == 2
    handle_ping(membership, Ping(3, new, (peer,)), 4)
    assert get_peer_catalogs(membership)[peer.name].lagging_since is None


def test_view_version_rises_only_with_the_lists():
    """Guards against needless recomputations of all hash slots.

    Each increment makes the balancer assign all of them again.
    """
    own, peer = create_member(0), create_member(1)
    membership = create_membership(own, [], create_random_source(1))
    digest = CatalogDigest(0, 0)
    versions = []
    suspect = replace(peer, state=MemberState.SUSPECT)
    refuted = replace(peer, incarnation=1)
    leaving = replace(refuted, state=MemberState.LEAVING)
    dead = replace(refuted, state=MemberState.DEAD)
    for update in (peer, suspect, refuted, leaving, dead):
        third = create_member(2)
        handle_ping(membership, Ping(1, digest, (third, update)), 0)
        versions.append(membership.view_version)
    assert versions == [2, 2, 2, 3, 4]
    assert list_owners(membership) == (own, third)


def test_messages_without_a_sender_are_ignored():
    """Guards against failures on messages of a faulty peer.

    Its updates may be empty or start with the receiver.
    """
    own = create_member(0)
    membership = create_membership(own, [], create_random_source(1))
    digest = CatalogDigest(0, 0)
    for updates in ((), (own,)):
        assert not handle_ping(membership, Ping(1, digest, updates), 0)
        assert not handle_ack(membership, Ack(1, digest, updates), 0)


def test_indirect_probes_reach_a_member_whose_direct_link_is_down():
    """Guards against a false death from one broken link between two members."""
    network = start_network()
    pair = {NAMES[2], NAMES[4]}
    network.get_loss_percent = lambda source, target: (
        100 * ({source, target} == pair)
    )
    version = network.processes[NAMES[2]].membership.view_version
    network.run(60 * PERIOD_SECONDS)
    assert network.processes[NAMES[2]].membership.view_version == version


def test_reconnect_pings_few_of_many_listed_vms():
    """Guards against control traffic that grows with the list of VMs.

    The list has the VMs of all groups, 11,000 at the target size.
    """
    network = start_network(size=3)
    listed = [create_member(index, generation=7) for index in range(2000)]
    listed = [
        replace(vm, host=f'10.30.{index // 250}.{index % 250}')
        for index, vm in enumerate(listed)
    ]
    own_hosts = {
        process.membership.own.host for process in network.processes.values()
    }
    pinged = []

    def record_ping(source, outgoing):
        if source == NAMES[0] and outgoing.host not in own_hosts:
            pinged.append(outgoing.host)

    set_vm_addresses(network.processes[NAMES[0]].membership, listed)
    network.on_sent = record_ping
    network.run(100)
    rounds = 20
    assert rounds <= len(pinged) <= 16 * (rounds + 1)
    # Each round samples again, so that every address is pinged eventually.
    assert len(set(pinged)) > 0.8 * len(pinged)
