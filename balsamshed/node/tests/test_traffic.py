"""Guards against flows that break, change their backend server or run twice."""

from balsamshed.flows.messages import FlowCopies, FlowCopy
from balsamshed.flows.packets import Relay, RelayKind, TcpFlag
from balsamshed.flows.table import count_open_requests
from balsamshed.limits.limiter import FlowOutcome
from balsamshed.members.member import Member
from balsamshed.members.ownership import get_hash_slot
from balsamshed.members.ownership_history import replace_ownership
from balsamshed.node.dispatch import handle_event
from balsamshed.node.effects import (
    CountEvent,
    DropPacket,
    ForwardPacket,
    RefuseFlow,
    ReturnPacket,
)
from balsamshed.node.events import PeerMessageReceived, RecordsChanged
from balsamshed.node.flow_release import discard_flow
from balsamshed.node.messages import Envelope
from balsamshed.node.ownership import hand_off_entries
from balsamshed.node.tests.builders import (
    ADDRESS,
    FEED_PORT,
    FIRST_HOST,
    advance,
    make_node,
    make_packet,
    make_refusal,
    make_server,
    make_service,
    receive,
    receive_relay,
    tick,
)

SYN = int(TcpFlag.SYN)
ACK = int(TcpFlag.ACK)
FIN = int(TcpFlag.FIN | TcpFlag.ACK)


def open_flow(node, now=1.0, **changes):
    (forwarded,) = receive(node, make_packet(SYN, **changes), now)
    assert isinstance(forwarded, ForwardPacket)
    return forwarded.host


def test_a_repeated_syn_goes_to_the_same_backend_server():
    """Otherwise two backend servers could execute the same request."""
    node = make_node()
    host = open_flow(node)
    for now in (1.1, 1.5):
        assert open_flow(node, now) == host


def test_a_refused_syn_is_retried_elsewhere_before_the_caller_is_refused():
    """A request must not fail while another backend server can accept it."""
    node = make_node()
    tried = [open_flow(node)]
    for _retry in range(2):
        effects = receive(node, make_refusal(tried[-1]), 1.2)
        assert CountEvent('opening_retried') in effects
        tried.append(effects[0].host)
    assert len(set(tried)) == 3
    last = make_refusal(tried[-1])
    effects = receive(node, last, 1.3)
    assert effects[0] == ReturnPacket(last, ADDRESS)
    assert not node.flows.placements
    assert not node.flows.opened_at


def test_a_late_refusal_does_not_move_a_flow_again():
    """A duplicate RST would retry the SYN although its new server accepts it."""
    node = make_node()
    first = open_flow(node)
    receive(node, make_refusal(first), 1.2)
    effects = receive(node, make_refusal(first), 1.3)
    assert effects == (DropPacket('refusal_out_of_date'),)


def test_a_refusal_after_the_handshake_keeps_the_flow():
    """A late RST for a repeated SYN must not break an open connection."""
    node = make_node()
    host = open_flow(node)
    receive(node, make_packet(ACK), 1.1)
    refusal = make_refusal(host)
    assert receive(node, refusal, 1.2) == (ReturnPacket(refusal, ADDRESS),)
    (forwarded,) = receive(node, make_packet(ACK), 1.3)
    assert forwarded.host == host


def test_a_feed_survives_drain_and_deletion_of_its_backend_server():
    """G1: open feeds survive every planned change."""
    node = make_node()
    host = open_flow(node, port=FEED_PORT)
    number = host - FIRST_HOST + 1
    drained = make_server(number, 20, draining=True)
    handle_event(node, RecordsChanged(20, (drained,)), 2.0)
    (forwarded,) = receive(node, make_packet(ACK, port=FEED_PORT), 2.1)
    assert forwarded.host == host
    deleted = make_server(number, 21, draining=True)
    deleted.body['deleted'] = True
    handle_event(node, RecordsChanged(21, (deleted,)), 3.0)
    (forwarded,) = receive(node, make_packet(ACK, port=FEED_PORT), 3.1)
    assert forwarded.host == host
    answer = make_refusal(host, port=FEED_PORT)
    assert receive(node, answer, 3.2) == (ReturnPacket(answer, ADDRESS),)


def test_a_host_that_serves_another_service_gets_no_packet_of_the_old_one():
    """G2: a packet for one service never reaches another."""
    node = make_node(servers=1)
    host = open_flow(node, port=FEED_PORT)
    deleted = make_server(1, 20)
    deleted.body['deleted'] = True
    reused = make_server(2, 21, service='registre', host='10.8.1.1')
    handle_event(node, RecordsChanged(21, (deleted, reused)), 2.0)
    registre = make_service(22, 'registre', '192.0.2.11')
    handle_event(node, RecordsChanged(22, (registre,)), 2.1)
    assert node.routing.endpoints[host, FEED_PORT].service.name == 'registre'
    effects = receive(node, make_packet(ACK, port=FEED_PORT), 2.2)
    assert isinstance(effects[0], RefuseFlow)


def test_draining_backend_servers_get_no_new_flows():
    """G6: new flows would be cut when the draining server stops."""
    node = make_node()
    drained = make_server(1, 20, draining=True)
    handle_event(node, RecordsChanged(20, (drained,)), 2.0)
    hosts = {
        open_flow(node, 2.1, caller_port=port) for port in range(2000, 2008)
    }
    assert FIRST_HOST not in hosts


def test_a_flow_without_entry_is_derived_only_from_unambiguous_lists():
    """A wrong host would receive the second half of a request."""
    node = make_node()
    too_early = receive(node, make_packet(ACK), 30.0)
    assert isinstance(too_early[0], RefuseFlow)
    advance(node, 100.0)
    default = open_flow(node, 100.0, caller_port=41000)
    node.flows.placements.clear()
    derived = receive(node, make_packet(ACK, caller_port=41000), 101.0)
    assert derived[0].host == default
    node.flows.placements.clear()
    number = default - FIRST_HOST + 1
    drained = make_server(number, 20, draining=True)
    handle_event(node, RecordsChanged(20, (drained,)), 102.0)
    ambiguous = receive(node, make_packet(ACK, caller_port=41000), 103.0)
    assert isinstance(ambiguous[0], RefuseFlow)


def test_new_flows_are_refused_when_no_backend_server_takes_them():
    """The drain of the last backend server must not be ignored silently."""
    node = make_node(servers=1)
    drained = make_server(1, 20, draining=True)
    handle_event(node, RecordsChanged(20, (drained,)), 2.0)
    effects = receive(node, make_packet(SYN), 2.1)
    assert isinstance(effects[0], RefuseFlow)
    assert node.limiters['creneau/requests'].open_count == 0


def test_ended_flows_are_released_exactly_once():
    """Leaked admissions would use up the limit until every flow is refused."""
    node = make_node()
    for port in range(2000, 2020):
        open_flow(node, 1.0, caller_port=port)
        receive(node, make_packet(ACK, caller_port=port), 1.1)
        fin = make_packet(int(TcpFlag.FIN | TcpFlag.ACK), caller_port=port)
        receive(node, fin, 1.2)
        receive(node, fin, 1.3)
        tick(node, 1.3)
    assert node.limiters['creneau/requests'].open_count == 0
    tick(node, 20.0)
    assert not node.flows.placements


def test_a_feed_is_not_reset_while_its_holder_is_partitioned():
    """A reset would end a feed that can continue after the partition."""
    node = make_node()
    own = node.membership.own
    other = Member('lb-2', 'qc-2', '127.0.0.1', 3, 4)
    replace_ownership(node.ownership_history, (own, other), 1.0)
    replace_ownership(node.ownership_history, (own,), 2.0)
    packet = make_packet(ACK, port=FEED_PORT)
    assert receive(node, packet, 3.0) == (DropPacket('holder_unreachable'),)
    assert isinstance(receive(node, packet, 40.0)[0], RefuseFlow)


def test_flows_that_end_during_a_handoff_are_not_counted_again():
    """A count without an entry raised an error in the timer of a leaving
    balancer, which ended the timer."""
    node = make_node()
    open_flow(node, port=FEED_PORT)
    node.handoff_scan = iter(tuple(node.flows.placements))
    for flow_key in tuple(node.flows.placements):
        discard_flow(node, flow_key, FlowOutcome.UNKNOWN, 1.1)
    hand_off_entries(node, 10, 1.2)
    assert not node.flows.opened_at


def test_copies_of_ended_requests_do_not_count_as_open():
    """After an owner had died, such copies used up the limit of the new one."""
    node = make_node()
    ports = range(2000, 2010)
    keys = [make_packet(SYN, caller_port=port).flow_key for port in ports]
    copies = FlowCopies(1, tuple(FlowCopy(key, FIRST_HOST) for key in keys))
    envelope = Envelope('lb-2', 0, copies)
    handle_event(node, PeerMessageReceived(envelope, '127.0.0.1', 4), 1.0)
    assert len(node.flows.placements) == 10
    open_flow(node, caller_port=3000)
    assert node.limiters['creneau/requests'].open_count == 1


def test_lookup_continues_at_an_owner_unknown_to_the_requester():
    """After a partition, a member that knew only one side reset the requests
    that the other side had placed."""
    node = make_node()
    others = [Member(f'lb-{n}', 'qc-1', '127.0.0.1', 3, 4) for n in (2, 3)]
    replace_ownership(
        node.ownership_history, (node.membership.own, *others), 1.0
    )
    packets = [make_packet(ACK, caller_port=port) for port in range(200)]
    forwarded, returned = set(), set()
    for packet in packets:
        relay = Relay(RelayKind.LOOKUP, 'lb-2', (), packet)
        (effect,) = receive_relay(node, relay, 1.1)
        owner = node.ownership.owners[get_hash_slot(packet.flow_key)]
        if effect.relay.kind is RelayKind.RETURNED:
            assert effect.member == 'lb-2'
            returned.add(owner)
        else:
            assert effect.member == owner
            assert effect.relay == relay
            forwarded.add(owner)
    assert forwarded == {'lb-3'}
    assert returned == {'lb-1', 'lb-2'}


def test_unknown_flow_of_an_unknown_sender_is_not_reset():
    """After a partition, a member that did not know yet that the others were
    back reset the requests that they had placed."""
    node = make_node()
    packet = make_packet(ACK, port=FEED_PORT)
    relay = Relay(RelayKind.TO_OWNER, '', (), packet, 'lb-9')
    dropped = (DropPacket('sender_unknown'),)
    advance(node, 1.1)
    assert receive_relay(node, relay, 1.1) == dropped
    node.reachable = frozenset(('lb-9',))
    assert RefuseFlow(packet) in receive_relay(node, relay, 1.1)


def test_known_flow_of_an_unknown_sender_is_forwarded():
    """Guards against open flows that stall while views of the members differ."""
    node = make_node()
    host = open_flow(node)
    relay = Relay(RelayKind.TO_OWNER, '', (), make_packet(ACK), 'lb-9')
    (forwarded,) = receive_relay(node, relay, 1.1)
    assert forwarded.host == host


def test_lookup_continues_at_previous_owners_unknown_to_the_requester():
    """After a partition, an owner that had found one member of the other side
    reset the requests that another member of that side had placed."""
    node = make_node()
    own = node.membership.own
    second, third = (
        Member(f'lb-{n}', 'qc-1', '127.0.0.1', 3, 4) for n in (2, 3)
    )
    replace_ownership(node.ownership_history, (own, third), 0.5)
    replace_ownership(node.ownership_history, (own, second, third), 1.0)
    node.reachable = frozenset(('lb-1', 'lb-2', 'lb-3'))
    asked = set()
    for port in range(200):
        packet = make_packet(ACK, caller_port=port)
        slot = get_hash_slot(packet.flow_key)
        if node.ownership.owners[slot] != 'lb-2':
            continue
        relay = Relay(RelayKind.LOOKUP, 'lb-2', (), packet)
        (effect,) = receive_relay(node, relay, 0.1)
        if effect.relay.kind is RelayKind.LOOKUP:
            assert effect.member == 'lb-3'
            assert effect.relay.remaining_members == ('lb-2',)
            asked.add(effect.member)
    assert asked == {'lb-3'}


def test_extended_lookup_ends_at_the_requester():
    """Guards against a lookup that members pass on without end."""
    node = make_node()
    advance(node, 1.1)
    packet = make_packet(ACK, port=FEED_PORT)
    relay = Relay(RelayKind.LOOKUP, 'lb-1', (), packet)
    assert RefuseFlow(packet) in receive_relay(node, relay, 1.1)


def test_late_copy_of_an_opening_does_not_move_an_ended_flow():
    """Guards against a caller that has closed its side and waits for the
    answer, while a duplicate of its SYN opens the flow on another server."""
    node = make_node()
    host = open_flow(node)
    receive(node, make_packet(ACK, sequence=2), 1.1)
    receive(node, make_packet(FIN, sequence=900), 1.2)
    limiter = node.limiters['creneau/requests']
    assert limiter.open_count == 0
    assert receive(node, make_packet(SYN), 1.5) == (
        DropPacket('late_copy_of_opening'),
    )
    assert limiter.open_count == 0
    (forwarded,) = receive(node, make_packet(ACK, sequence=901), 1.6)
    assert forwarded.host == host


def test_new_flow_with_the_addresses_of_an_ended_one_is_opened():
    """Guards against a caller that cannot use its port again for seconds."""
    node = make_node()
    open_flow(node)
    receive(node, make_packet(ACK, sequence=2), 1.1)
    receive(node, make_packet(FIN, sequence=900), 1.2)
    for sequence in (901, 1 << 31):
        effects = receive(node, make_packet(SYN, sequence=sequence), 1.5)
        assert isinstance(effects[0], ForwardPacket)


def test_flow_that_a_new_owner_has_looked_up_is_not_counted():
    """Guards against a planned stop that waits for a request whose last packet
    goes to its new owner, of which this balancer has not heard yet."""
    node = make_node()
    open_flow(node)
    receive(node, make_packet(ACK), 1.1)
    relay = Relay(RelayKind.LOOKUP, 'lb-2', (), make_packet(ACK))
    (forwarded,) = receive_relay(node, relay, 1.2)
    assert isinstance(forwarded, ForwardPacket)
    assert count_open_requests(node.flows) == 0
    assert node.limiters['creneau/requests'].open_count == 0
