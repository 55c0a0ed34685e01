"""Periodic tasks and the shutdown of a balancer."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from balsamshed.audit.trail import list_pending_writes
from balsamshed.flows.copies import is_fully_acknowledged, take_batches
from balsamshed.flows.table import (
    HANDSHAKE_TIMEOUT_SECONDS,
    count_open_requests,
    is_idle,
    list_expired,
    list_unanswered,
)
from balsamshed.limits.limiter import FlowOutcome
from balsamshed.limits.overload import record_loop_delay
from balsamshed.members.membership import (
    Pause,
    list_reachable_peers,
)
from balsamshed.members.ownership import get_hash_slot
from balsamshed.members.ownership_history import HISTORY_SECONDS
from balsamshed.members.protocol import leave, run_tick
from balsamshed.node.effects import (
    CountEvent,
    Effect,
    ListRecords,
    ListVms,
    LogEvent,
    ProbeLoad,
    SendPeerMessage,
    StopProcess,
    WatchRecords,
    WriteRecord,
)
from balsamshed.node.events import LeaveRequested, Ticked
from balsamshed.node.flow_release import discard_flow, find_route
from balsamshed.node.ownership import (
    HANDOFF_ENTRIES_PER_TICK,
    hand_off_entries,
    record_own_absence,
    update_ownership,
)
from balsamshed.node.peer_messages import create_send_effect
from balsamshed.node.record_updates import (
    assign_load_probes,
    choose_node_readers,
    is_first_reader,
    is_reader,
    update_candidate_lists,
)
from balsamshed.node.state import Node
from balsamshed.node.summaries import build_summary
from balsamshed.placement.load_tracker import record_unanswered
from balsamshed.placement.messages import LoadReport, LoadReports
from balsamshed.status.status_object import build_body, start_write_if_due
from balsamshed.store.session import StoreCall, advance_session

#: Maximum time between the stop request and the stop.
LEAVE_TIMEOUT_SECONDS: Final = 60.0
#: Minimum time between the stop request and the stop, so that every member
#: learns of it.
LEAVE_NOTICE_SECONDS: Final = 2.0
#: Flow entries checked for idleness in one tick.
IDLE_SCAN_ENTRIES_PER_TICK: Final = 2000
#: Load reports are sent to this many members per second on average.
REPORT_MEMBERS_PER_SECOND: Final = 16
#: Entries of the VM list that a reader with peers receives per second on
#: average. An entry takes 118 bytes, and the list has the VMs of all groups.
LISTED_VMS_PER_SECOND: Final = 10

_MEMBERSHIP_INTERVAL_SECONDS: Final = 0.1
_STORE_INTERVAL_SECONDS: Final = 0.1
_CANDIDATES_INTERVAL_SECONDS: Final = 0.25
_STATUS_INTERVAL_SECONDS: Final = 0.25
# Longer than the timeout of a call, so that no pending write is repeated.
_AUDIT_INTERVAL_SECONDS: Final = 3.0
_PROBE_INTERVAL_SECONDS: Final = 1.0
_REPORTS_INTERVAL_SECONDS: Final = 1.0
_LEAVE_REPORT_INTERVAL_SECONDS: Final = 5.0
_VMS_INTERVAL_SECONDS: Final = 10.0

Effects = tuple[Effect, ...]
Task = Callable[[Node, float], list[Effect]]


def handle_tick(node: Node, event: Ticked, now: float) -> Effects:
    """Run the tasks that are due.

    Parameters
    ----------
    node : Node
        Changed in place.
    event : Ticked
        The wall time and the delay of the tick.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        Messages, calls on the store and log events.
    """
    node.wall_offset_seconds = event.wall_time - now
    record_loop_delay(node.overload, event.loop_delay_seconds, now)
    effects: list[Effect] = []
    _discard_ended_flows(node, now)
    _expire_openings(node, now)
    hand_off_entries(node, HANDOFF_ENTRIES_PER_TICK, now)
    effects.extend(_send_copies(node, now))
    for task, seconds, run_task in _TASKS:
        if now >= node.due_at.get(task, 0):
            node.due_at[task] = now + seconds
            effects.extend(run_task(node, now))
    if node.is_leaving:
        effects.extend(_finish_leaving(node, now))
    return tuple(effects)


def handle_leave_request(
    node: Node,
    event: LeaveRequested,
    now: float,
) -> Effects:
    """Announce that this balancer leaves its group.

    It stops once no other member depends on its entries, but at the latest
    after `LEAVE_TIMEOUT_SECONDS`.

    Parameters
    ----------
    node : Node
        Changed in place.
    event : LeaveRequested
        The event, without fields.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        The announcement to other members and a log event.
    """
    if node.is_leaving:
        return ()
    node.is_leaving = True
    node.leave_requested_at = now
    announcements = tuple(map(create_send_effect, leave(node.membership)))
    return (*announcements, LogEvent('leaving'))


def _run_membership_tick(node: Node, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for outcome in run_tick(node.membership, now):
        if isinstance(outcome, Pause):
            fields = {'late_seconds': round(outcome.late_seconds, 3)}
            effects.append(LogEvent('process_paused', fields))
            effects.append(CountEvent('process_paused'))
            _reset_after_pause(node, now)
        else:
            effects.append(create_send_effect(outcome))
    if node.membership.view_version != node.view_version:
        effects.extend(update_ownership(node, now))
        node.readers = choose_node_readers(node)
        assign_load_probes(node)
    return effects


def _reset_after_pause(node: Node, now: float) -> None:
    """Discard state that a pause of the process may have invalidated.

    Other members may have taken over its flows meanwhile.
    """
    # Limits adapted to the load before the pause no longer apply.
    node.limiters.clear()
    node.flows.unconfirmed.update(node.flows.placements)
    node.running_since = now
    node.joined_at = now
    record_own_absence(node, now)


def _discard_ended_flows(node: Node, now: float) -> None:
    for flow_key in list_expired(node.flows, now):
        discard_flow(node, flow_key, FlowOutcome.UNKNOWN, now)
    for flow_key in _take_idle_scan_keys(node):
        if flow_key not in node.flows.placements:
            continue
        if _is_expired(node, flow_key, now):
            discard_flow(node, flow_key, FlowOutcome.UNKNOWN, now)


def _is_expired(node: Node, flow_key: bytes, now: float) -> bool:
    slot = get_hash_slot(flow_key)
    if node.ownership.owners[slot] == node.name:
        return is_idle(node.flows, flow_key, now)
    if node.ownership.backups[slot] == node.name:
        # The backup sees no packets; the owner tells it to remove a copy.
        return False
    # Lookups reach a previous owner for one minute. An entry that is kept
    # longer could be used for a later flow with the same key.
    return now - node.flows.last_seen[flow_key] > HISTORY_SECONDS


def _take_idle_scan_keys(node: Node) -> list[bytes]:
    keys = []
    for flow_key in node.idle_scan:
        keys.append(flow_key)
        if len(keys) == IDLE_SCAN_ENTRIES_PER_TICK:
            return keys
    node.idle_scan = iter(tuple(node.flows.placements))
    return keys


def _expire_openings(node: Node, now: float) -> None:
    flows = node.flows
    for flow_key, opening in list_unanswered(flows, now):
        route = find_route(node, flow_key)
        deadline = route.listener.deadline_seconds if route else 0
        if now - opening.started_at > deadline + HANDSHAKE_TIMEOUT_SECONDS:
            discard_flow(node, flow_key, FlowOutcome.UNKNOWN, now)
        elif not opening.is_timeout_counted:
            flows.openings[flow_key] = replace(opening, is_timeout_counted=True)
            record_unanswered(node.load_tracker, opening.tried_hosts[-1], now)


def _update_candidates(node: Node, now: float) -> list[Effect]:
    return [
        LogEvent('candidates_changed', {'route': name})
        for name in update_candidate_lists(node, now)
    ]


def _send_copies(node: Node, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for batch in take_batches(node.copy_queue, now):
        member = node.membership.peers.get(batch.target)
        if member is not None:
            effects.append(
                SendPeerMessage(
                    member.host,
                    member.control_port,
                    batch.copies,
                ),
            )
    return effects


def _call_store(node: Node, now: float) -> list[Effect]:
    effects: list[Effect] = []
    call = advance_session(node.store_session, now, is_reader=is_reader(node))
    if call is StoreCall.LIST:
        effects.append(ListRecords(f'{node.group}/'))
    elif call is StoreCall.WATCH:
        prefix = f'{node.group}/'
        effects.append(WatchRecords(prefix, node.store_session.revision))
    return effects


def _list_vms(node: Node, now: float) -> list[Effect]:
    if not is_reader(node):
        return []
    if list_reachable_peers(node.membership):
        interval = len(node.membership.vm_addresses) / LISTED_VMS_PER_SECOND
        node.due_at['vms'] = now + max(interval, _VMS_INTERVAL_SECONDS)
    return [ListVms()]


def _write_status(node: Node, now: float) -> list[Effect]:
    if not is_first_reader(node):
        return []
    summary = build_summary(node, now)
    if not start_write_if_due(node.status_writes, summary, now):
        return []
    body = build_body(
        summary,
        node.data_centre,
        node.name,
        now + node.wall_offset_seconds,
    )
    key = f'{node.group}/status/{node.data_centre}'
    return [WriteRecord(key, body, node.status_writes.version)]


def _write_audit(node: Node, now: float) -> list[Effect]:
    return [
        WriteRecord(entry.key, entry.body, 0)
        for entry in list_pending_writes(node.audit_queue)
    ]


def _probe_load(node: Node, now: float) -> list[Effect]:
    return [
        ProbeLoad(server.host, server.load_url) for server in node.probe_targets
    ]


def _send_load_reports(node: Node, now: float) -> list[Effect]:
    peers = list_reachable_peers(node.membership)
    interval = len(peers) / REPORT_MEMBERS_PER_SECOND
    node.due_at['reports'] = now + max(interval, _REPORTS_INTERVAL_SECONDS)
    if not node.unsent_reports:
        return []
    reports = LoadReports(
        tuple(
            LoadReport(
                report.host,
                report.in_flight,
                report.queued,
                report.age_seconds + now - received_at,
            )
            for report, received_at in node.unsent_reports.values()
        ),
    )
    node.unsent_reports.clear()
    return [
        SendPeerMessage(peer.host, peer.control_port, reports) for peer in peers
    ]


def _finish_leaving(node: Node, now: float) -> list[Effect]:
    waited = now - node.leave_requested_at
    if waited < LEAVE_NOTICE_SECONDS:
        return []
    has_dependents = count_open_requests(
        node.flows
    ) or not is_fully_acknowledged(node.copy_queue)
    if has_dependents and waited < LEAVE_TIMEOUT_SECONDS:
        return _log_leave_progress(node, now)
    fields = {'seconds': round(waited, 1), 'is_complete': not has_dependents}
    return [LogEvent('left', fields), StopProcess()]


def _log_leave_progress(node: Node, now: float) -> list[Effect]:
    if now < node.due_at.get('leave_report', 0):
        return []
    node.due_at['leave_report'] = now + _LEAVE_REPORT_INTERVAL_SECONDS
    fields = {
        'open_requests': count_open_requests(node.flows),
        'pending_copies': sum(map(len, node.copy_queue.pending.values())),
        'unacknowledged': ','.join(sorted(node.copy_queue.in_flight)),
    }
    return [LogEvent('leave_waits', fields)]


# Name, interval and function of each periodic task.
_TASKS: Final[tuple[tuple[str, float, Task], ...]] = (
    ('membership', _MEMBERSHIP_INTERVAL_SECONDS, _run_membership_tick),
    ('candidates', _CANDIDATES_INTERVAL_SECONDS, _update_candidates),
    ('store', _STORE_INTERVAL_SECONDS, _call_store),
    ('vms', _VMS_INTERVAL_SECONDS, _list_vms),
    ('status', _STATUS_INTERVAL_SECONDS, _write_status),
    ('audit', _AUDIT_INTERVAL_SECONDS, _write_audit),
    ('probes', _PROBE_INTERVAL_SECONDS, _probe_load),
    ('reports', _REPORTS_INTERVAL_SECONDS, _send_load_reports),
)
