"""Entry point of the balancer core: dispatches each event to its handler."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from balsamshed.members.protocol import PAUSE_SECONDS, TICK_SECONDS
from balsamshed.node.effects import DropPacket, Effect
from balsamshed.node.events import (
    Event,
    LeaveRequested,
    LoadProbeFailed,
    LoadReported,
    PacketReceived,
    PeerMessageReceived,
    RecordsChanged,
    RecordsListed,
    RecordWritten,
    RelayReceived,
    StoreFailed,
    Ticked,
    VmsListed,
    WatchExpired,
    WriteConflicted,
)
from balsamshed.node.peer_messages import handle_peer_message
from balsamshed.node.periodic_tasks import handle_leave_request, handle_tick
from balsamshed.node.state import Node
from balsamshed.node.store_responses import (
    handle_record_written,
    handle_records_changed,
    handle_records_listed,
    handle_store_failed,
    handle_vms_listed,
    handle_watch_expired,
    handle_write_conflicted,
)
from balsamshed.node.traffic import handle_packet, handle_relay
from balsamshed.placement.load_tracker import record_report

Effects = tuple[Effect, ...]

_PACKET_EVENTS = (PacketReceived, RelayReceived)
_QUEUED_DURING_PAUSE: Effects = (DropPacket('queued_during_pause'),)


def handle_event(node: Node, event: Event, now: float) -> Effects:
    """Handle an event and return the resulting effects.

    Parameters
    ----------
    node : Node
        Changed in place.
    event : Event
        Event to handle.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        Effects to perform, in this order.
    """
    if isinstance(event, _PACKET_EVENTS) and _was_paused(node, now):
        # The packet was queued while the process did not run. Other members
        # may have placed the same flow meanwhile; TCP retransmits the packet.
        return _QUEUED_DURING_PAUSE
    return _HANDLERS[type(event)](node, event, now)


def _was_paused(node: Node, now: float) -> bool:
    ticked_at = node.membership.ticked_at
    if ticked_at is None:
        return False
    return now - ticked_at > PAUSE_SECONDS + TICK_SECONDS


def _handle_load_report(
    node: Node,
    event: LoadReported,
    now: float,
) -> Effects:
    if event.report.host in node.routing.hosts:
        record_report(node.load_tracker, event.report, now)
        node.unsent_reports[event.report.host] = (event.report, now)
    return ()


def _handle_probe_failure(
    node: Node,
    event: LoadProbeFailed,
    now: float,
) -> Effects:
    # The weight of the last report decays with its age, so a missing report
    # needs no action.
    return ()


_HANDLERS: Mapping[type[Any], Callable[[Node, Any, float], Effects]] = (
    MappingProxyType(
        {
            PacketReceived: handle_packet,
            RelayReceived: handle_relay,
            PeerMessageReceived: handle_peer_message,
            RecordsListed: handle_records_listed,
            RecordsChanged: handle_records_changed,
            WatchExpired: handle_watch_expired,
            RecordWritten: handle_record_written,
            WriteConflicted: handle_write_conflicted,
            StoreFailed: handle_store_failed,
            VmsListed: handle_vms_listed,
            LoadReported: _handle_load_report,
            LoadProbeFailed: _handle_probe_failure,
            LeaveRequested: handle_leave_request,
            Ticked: handle_tick,
        }
    )
)
