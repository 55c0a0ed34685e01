"""Routing of the packets of callers and backend servers.

The owner of a flow's hash slot decides on the packets of its caller. An owner
without an entry looks it up at the previous owners and at the backup.
"""

from typing import Final

from balsamshed.configuration.resources import ListenerKind
from balsamshed.configuration.routing import Route
from balsamshed.flows.copies import queue_copy
from balsamshed.flows.derivation import derive_host
from balsamshed.flows.messages import FlowCopy
from balsamshed.flows.packets import (
    Packet,
    Relay,
    RelayKind,
    TcpFlag,
    build_flow_key,
)
from balsamshed.flows.table import (
    Placement,
    add_placed_flow,
    end_flow,
    get_placement,
    is_late_copy,
)
from balsamshed.limits.limiter import FlowOutcome
from balsamshed.members.ownership import get_hash_slot
from balsamshed.members.ownership_history import (
    has_changed_owner,
    is_holder_unreachable,
    list_previous_owners,
)
from balsamshed.node.effects import (
    CountEvent,
    DropPacket,
    Effect,
    ForwardPacket,
    RefuseFlow,
    ReturnPacket,
    SendRelay,
)
from balsamshed.node.events import PacketReceived, RelayReceived
from balsamshed.node.flow_release import discard_flow, release_flow
from balsamshed.node.openings import (
    handle_refusal,
    handle_repeated_syn,
    open_flow,
    record_handshake,
)
from balsamshed.node.ownership import is_joining
from balsamshed.node.state import Node
from balsamshed.placement.candidates import list_candidates

#: Time in which packets of a feed without an entry are dropped, not reset,
#: while a member that may hold the entry is unreachable.
UNREACHABLE_HOLDER_SECONDS: Final = 30.0
#: Time after a change of owner in which a SYN may be a retransmission that
#: the previous owner has already placed, and in which members may not know all
#: previous owners yet.
SYN_RETRANSMISSION_SECONDS: Final = 10.0

Effects = tuple[Effect, ...]

_ENDING_FLAGS: Final = int(TcpFlag.FIN | TcpFlag.RST)
_SYN: Final = int(TcpFlag.SYN)
_REFUSAL_FLAGS: Final = int(TcpFlag.RST | TcpFlag.ACK)
_STATE_CHANGE_FLAGS: Final = _SYN | _ENDING_FLAGS
_NO_ROUTE: Final = (DropPacket('no_route'),)
_NO_ROUTE_FOR_RELAY: Final = (DropPacket('no_route_for_relay'),)


def handle_packet(node: Node, event: PacketReceived, now: float) -> Effects:
    """Handle a packet from the fabric.

    Parameters
    ----------
    node : Node
        Changed in place.
    event : PacketReceived
        The packet.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        Effects that forward, relay, return, refuse or drop the packet.
    """
    packet = event.packet
    routing = node.routing
    route = routing.listeners.get((packet.destination, packet.destination_port))
    if route is None:
        return _handle_server_packet(node, packet, now)
    owner = node.ownership_history.current.owners[
        get_hash_slot(packet.flow_key)
    ]
    if owner != node.name:
        relay = Relay(RelayKind.TO_OWNER, '', (), packet, node.name)
        return (SendRelay(owner, relay),)
    return _serve_as_owner(node, packet, route, now)


def handle_relay(node: Node, event: RelayReceived, now: float) -> Effects:
    """Handle a packet that another balancer relayed.

    Parameters
    ----------
    node : Node
        Changed in place.
    event : RelayReceived
        The packet and the reason for the relay.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        Effects that forward, relay, return, refuse or drop the packet.
    """
    relay = event.relay
    packet = relay.packet
    if relay.kind is RelayKind.REFUSAL:
        return handle_refusal(node, packet, now)
    route = node.routing.listeners.get(
        (packet.destination, packet.destination_port),
    )
    if route is None:
        return _NO_ROUTE_FOR_RELAY
    if relay.kind is RelayKind.LOOKUP:
        return _handle_lookup(node, relay, route, now)
    if relay.kind is RelayKind.RETURNED:
        return _serve_without_lookup(node, packet, route, now)
    return _handle_relay_to_owner(node, relay, route, now)


def _handle_relay_to_owner(
    node: Node,
    relay: Relay,
    route: Route,
    now: float,
) -> Effects:
    packet = relay.packet
    owner = node.ownership.owners[get_hash_slot(packet.flow_key)]
    is_misdirected = owner != node.name and not relay.requester
    if is_misdirected and packet.flow_key not in node.flows.placements:
        # The membership views of both members differ. The requester field
        # marks the packet as relayed again, so that a loop is impossible.
        onward = Relay(RelayKind.TO_OWNER, node.name, (), packet, relay.sender)
        return (SendRelay(owner, onward),)
    if _may_be_held_by_unknown_members(node, relay):
        # The sender is back from a partition, and the members on its side may
        # hold the flow. A dropped packet is retransmitted; a reset would end
        # the flow.
        return (DropPacket('sender_unknown'),)
    return _serve_as_owner(node, packet, route, now)


def _serve_as_owner(
    node: Node,
    packet: Packet,
    route: Route,
    now: float,
) -> Effects:
    placement = node.flows.placements.get(packet.flow_key)
    is_confirmed = packet.flow_key not in node.flows.unconfirmed
    if placement is not None and is_confirmed:
        return _forward_known_flow(node, packet, route, placement, now)
    slot = get_hash_slot(packet.flow_key)
    needs_lookup = (
        placement is not None
        or not packet.flags & _SYN
        or has_changed_owner(
            node.ownership_history, slot, now, SYN_RETRANSMISSION_SECONDS
        )
    )
    if needs_lookup:
        targets = _list_lookup_targets(node, slot, now)
        if targets:
            if packet.flags & _ENDING_FLAGS:
                # The copy of the entry may arrive after the last packet of
                # the flow.
                end_flow(node.flows, packet, now)
            relay = Relay(RelayKind.LOOKUP, node.name, targets[1:], packet)
            return (SendRelay(targets[0], relay), CountEvent('lookup'))
    return _serve_without_lookup(node, packet, route, now)


def _forward_known_flow(
    node: Node,
    packet: Packet,
    route: Route,
    placement: Placement,
    now: float,
) -> Effects:
    flow_key = packet.flow_key
    current_route = node.routing.endpoints.get(
        (placement.host, packet.destination_port),
    )
    if current_route is not route:
        # The host was removed or now belongs to another service.
        return _reset_flow(node, packet, now)
    node.flows.last_seen[flow_key] = now
    if packet.flags & _STATE_CHANGE_FLAGS:
        if packet.flags & _SYN:
            return handle_repeated_syn(node, packet, route, now)
        if end_flow(node.flows, packet, now):
            is_reset = packet.flags & TcpFlag.RST
            outcome = (
                FlowOutcome.CANCELLED if is_reset else FlowOutcome.FINISHED
            )
            release_flow(node, flow_key, outcome, now)
    elif flow_key in node.flows.openings:
        record_handshake(node, flow_key, route, now)
    return (ForwardPacket(packet, placement.host),)


def _may_be_held_by_unknown_members(node: Node, relay: Relay) -> bool:
    if not relay.sender or relay.sender in node.reachable:
        return False
    packet = relay.packet
    is_known = packet.flow_key in node.flows.placements
    return not is_known and not packet.flags & _SYN


def _reset_flow(node: Node, packet: Packet, now: float) -> Effects:
    discard_flow(node, packet.flow_key, FlowOutcome.UNKNOWN, now)
    return (RefuseFlow(packet), CountEvent('flow_reset_host_gone'))


def _list_lookup_targets(node: Node, slot: int, now: float) -> tuple[str, ...]:
    targets = list_previous_owners(
        node.ownership_history, slot, node.reachable, now
    )
    backup = node.ownership.backups[slot]
    if backup and backup not in targets:
        targets.append(backup)
    return tuple(name for name in targets if name != node.name)


def _handle_lookup(
    node: Node,
    relay: Relay,
    route: Route,
    now: float,
) -> Effects:
    packet = relay.packet
    flow_key = packet.flow_key
    placement = node.flows.placements.get(flow_key)
    # A SYN with the key of an ended flow opens a new flow; its owner places it.
    is_new = (
        packet.flags & _SYN
        and flow_key in node.flows.ended
        and not is_late_copy(node.flows, packet)
    )
    if placement is not None and not is_new:
        effects = _forward_known_flow(node, packet, route, placement, now)
        if flow_key not in node.flows.ended:
            _send_entry_to_requester(node, flow_key, relay.requester, now)
        return effects
    if relay.requester == node.name:
        # A member extended the lookup, and nobody has the entry.
        return _serve_without_lookup(node, packet, route, now)
    targets = relay.remaining_members or _extend_lookup(node, relay, now)
    if targets:
        onward = Relay(relay.kind, relay.requester, targets[1:], packet)
        return (SendRelay(targets[0], onward),)
    returned = Relay(RelayKind.RETURNED, relay.requester, (), packet)
    return (SendRelay(relay.requester, returned),)


def _extend_lookup(node: Node, relay: Relay, now: float) -> tuple[str, ...]:
    """Return members to ask that the requester may not know.

    After a partition, members discover each other one by one. A requester that
    has found only this member cannot ask the others of its side. The current
    owner ranks higher than this member in both views, so that lookup cannot
    loop; a lookup at previous owners ends at the requester.
    """
    slot = get_hash_slot(relay.packet.flow_key)
    known = {node.name, relay.requester}
    owner = node.ownership.owners[slot]
    if owner not in known:
        return (owner,)
    history = node.ownership_history
    if not has_changed_owner(history, slot, now, SYN_RETRANSMISSION_SECONDS):
        return ()
    previous = [
        name
        for name in list_previous_owners(history, slot, node.reachable, now)
        if name not in known
    ]
    return (*previous, relay.requester) if previous else ()


def _send_entry_to_requester(
    node: Node, flow_key: bytes, requester: str, now: float
) -> None:
    """Queue a copy of an open flow's entry for the owner that requested it."""
    placement = node.flows.placements.get(flow_key)
    if placement is None:
        return
    queue_copy(node.copy_queue, requester, FlowCopy(flow_key, placement.host))
    if requester != node.name:
        # Later packets, including the last one, go to the requester only. This
        # balancer may not have heard yet that it is no longer the owner.
        release_flow(node, flow_key, FlowOutcome.UNKNOWN, now)
        node.flows.placements[flow_key] = get_placement(
            placement.host,
            is_feed=placement.is_feed,
            is_copied=True,
        )


def _serve_without_lookup(
    node: Node,
    packet: Packet,
    route: Route,
    now: float,
) -> Effects:
    node.flows.unconfirmed.discard(packet.flow_key)
    placement = node.flows.placements.get(packet.flow_key)
    if placement is not None:
        return _forward_known_flow(node, packet, route, placement, now)
    if is_joining(node, now):
        return (DropPacket('joining'),)
    if packet.flags & _SYN:
        return open_flow(node, packet, route, now)
    return _handle_unknown_flow(node, packet, route, now)


def _handle_unknown_flow(
    node: Node,
    packet: Packet,
    route: Route,
    now: float,
) -> Effects:
    if packet.flags & TcpFlag.RST:
        return (DropPacket('reset_of_unknown_flow'),)
    if route.listener.kind is ListenerKind.FEED:
        return _handle_unknown_feed(node, packet, now)
    host = derive_host(
        node.candidate_history,
        route.name,
        packet.flow_key,
        now,
        list_candidates,
    )
    if host is None:
        return (RefuseFlow(packet), CountEvent('flow_reset_unknown'))
    placement = get_placement(host, is_feed=False, is_copied=False)
    add_placed_flow(node.flows, packet.flow_key, placement, now)
    served = _forward_known_flow(node, packet, route, placement, now)
    return (*served, CountEvent('flow_derived'))


def _handle_unknown_feed(node: Node, packet: Packet, now: float) -> Effects:
    slot = get_hash_slot(packet.flow_key)
    if is_holder_unreachable(
        node.ownership_history,
        slot,
        node.reachable,
        now,
        UNREACHABLE_HOLDER_SECONDS,
    ):
        # The entry may be on the other side of a partition. Packets of the
        # backend server still pass, so the feed continues; a reset would
        # end it.
        return (DropPacket('holder_unreachable'),)
    return (RefuseFlow(packet), CountEvent('flow_reset_unknown'))


def _handle_server_packet(node: Node, packet: Packet, now: float) -> Effects:
    route = node.routing.endpoints.get((packet.source, packet.source_port))
    if route is None:
        return _NO_ROUTE
    is_refusal = (
        packet.flags & _REFUSAL_FLAGS == _REFUSAL_FLAGS and packet.sequence == 0
    )
    if not is_refusal:
        return (ReturnPacket(packet, route.service.address),)
    flow_key = build_flow_key(
        packet.destination,
        route.service.address,
        packet.destination_port,
        packet.source_port,
    )
    owner = node.ownership.owners[get_hash_slot(flow_key)]
    if owner == node.name:
        return handle_refusal(node, packet, now)
    return (SendRelay(owner, Relay(RelayKind.REFUSAL, '', (), packet)),)
