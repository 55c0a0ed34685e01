"""Handlers of the messages that other members send."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from balsamshed.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RecordPush,
)
from balsamshed.flows.copies import (
    record_acknowledgement,
    record_received_batch,
)
from balsamshed.flows.messages import FlowCopies, FlowCopiesAck, FlowCopy
from balsamshed.flows.table import add_placed_flow, get_placement, remove_flow
from balsamshed.members.membership import OutgoingMessage
from balsamshed.members.messages import Ack, Ping, PingRequest
from balsamshed.members.ownership import get_hash_slot
from balsamshed.members.protocol import (
    handle_ack,
    handle_ping,
    handle_ping_request,
)
from balsamshed.node.effects import Effect, SendPeerMessage
from balsamshed.node.events import PeerMessageReceived
from balsamshed.node.flow_release import find_route, record_feed_takeover
from balsamshed.node.messages import PeerMessage
from balsamshed.node.record_updates import (
    answer_bucket_versions,
    answer_digests,
    apply_records,
    compare_catalogs,
)
from balsamshed.node.state import Node
from balsamshed.placement.load_tracker import record_report
from balsamshed.placement.messages import LoadReports

Effects = tuple[Effect, ...]
MessageHandler = Callable[[Node, PeerMessageReceived, Any, float], Effects]


def handle_peer_message(
    node: Node,
    event: PeerMessageReceived,
    now: float,
) -> Effects:
    """Handle a message of another member.

    Parameters
    ----------
    node : Node
        Changed in place.
    event : PeerMessageReceived
        The message and its source address.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        Responses and other effects.
    """
    if event.envelope.sender == node.name:
        return ()
    message = event.envelope.message
    return _MESSAGE_HANDLERS[type(message)](node, event, message, now)


def create_send_effect(outgoing: OutgoingMessage) -> SendPeerMessage:
    """Create the effect that sends a message of the membership protocol."""
    return SendPeerMessage(
        outgoing.host,
        outgoing.control_port,
        outgoing.message,
    )


def _create_response(
    event: PeerMessageReceived,
    *messages: PeerMessage,
) -> Effects:
    return tuple(
        SendPeerMessage(event.host, event.control_port, message)
        for message in messages
    )


def _handle_ping(
    node: Node,
    event: PeerMessageReceived,
    message: Ping,
    now: float,
) -> Effects:
    outgoing = handle_ping(node.membership, message, now)
    return (
        *map(create_send_effect, outgoing),
        *compare_catalogs(node, message.updates[0], message.catalog, now),
    )


def _handle_ack(
    node: Node,
    event: PeerMessageReceived,
    message: Ack,
    now: float,
) -> Effects:
    outgoing = handle_ack(node.membership, message, now)
    return (
        *map(create_send_effect, outgoing),
        *compare_catalogs(node, message.updates[0], message.catalog, now),
    )


def _handle_ping_request(
    node: Node,
    event: PeerMessageReceived,
    message: PingRequest,
    now: float,
) -> Effects:
    outgoing = handle_ping_request(node.membership, message, now)
    return tuple(map(create_send_effect, outgoing))


def _handle_record_push(
    node: Node,
    event: PeerMessageReceived,
    message: RecordPush,
    now: float,
) -> Effects:
    return apply_records(node, message.records, now)


def _handle_bucket_digests(
    node: Node,
    event: PeerMessageReceived,
    message: BucketDigests,
    now: float,
) -> Effects:
    return _create_response(event, *answer_digests(node, message))


def _handle_bucket_versions(
    node: Node,
    event: PeerMessageReceived,
    message: BucketVersions,
    now: float,
) -> Effects:
    return _create_response(event, *answer_bucket_versions(node, message))


def _handle_flow_copies(
    node: Node,
    event: PeerMessageReceived,
    message: FlowCopies,
    now: float,
) -> Effects:
    if record_received_batch(node.copy_queue, event.envelope.sender, message):
        for copy in message.copies:
            _apply_copy(node, copy, now)
    return _create_response(event, FlowCopiesAck(message.sequence))


def _handle_flow_copies_ack(
    node: Node,
    event: PeerMessageReceived,
    message: FlowCopiesAck,
    now: float,
) -> Effects:
    sender = event.envelope.sender
    record_acknowledgement(node.copy_queue, sender, message.sequence)
    return ()


def _handle_load_reports(
    node: Node,
    event: PeerMessageReceived,
    message: LoadReports,
    now: float,
) -> Effects:
    for report in message.reports:
        if report.host in node.routing.hosts:
            record_report(node.load_tracker, report, now)
    return ()


def _apply_copy(node: Node, copy: FlowCopy, now: float) -> None:
    flow_key = copy.flow_key
    is_owner = node.ownership.owners[get_hash_slot(flow_key)] == node.name
    is_confirmed = flow_key not in node.flows.unconfirmed
    if is_owner and is_confirmed and flow_key in node.flows.placements:
        # The entry of the owner is newer than any copy.
        return
    if not copy.host:
        remove_flow(node.flows, flow_key)
        return
    route = find_route(node, flow_key)
    is_feed = route is not None and route.listener.kind == 'feed'
    placement = get_placement(copy.host, is_feed=is_feed, is_copied=True)
    add_placed_flow(node.flows, flow_key, placement, now)
    if is_owner and flow_key not in node.flows.ended:
        record_feed_takeover(node, flow_key, now)


_MESSAGE_HANDLERS: Mapping[type[Any], MessageHandler] = MappingProxyType(
    {
        Ping: _handle_ping,
        Ack: _handle_ack,
        PingRequest: _handle_ping_request,
        RecordPush: _handle_record_push,
        BucketDigests: _handle_bucket_digests,
        BucketVersions: _handle_bucket_versions,
        FlowCopies: _handle_flow_copies,
        FlowCopiesAck: _handle_flow_copies_ack,
        LoadReports: _handle_load_reports,
    }
)
