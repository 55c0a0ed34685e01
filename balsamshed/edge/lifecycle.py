"""Periodic work and shutdown of an edge balancer."""

from typing import Final

from balsamshed.edge.data_centres import describe_spreads
from balsamshed.edge.effects import (
    DiscardPackets,
    EdgeEffect,
    LogEvent,
    ReadSource,
    SendReport,
    StopProcess,
)
from balsamshed.edge.evacuations import is_evacuation_read_due
from balsamshed.edge.speeds import share_speeds
from balsamshed.edge.state import MAX_QUEUED_SECONDS, Edge, detect_pause
from balsamshed.edge.views import apply_endpoint_changes
from balsamshed.endpoints.directory import (
    expire_missing,
    extend_missing_retention,
)
from balsamshed.limits.hedging import SentHedge
from balsamshed.peers.report import (
    EndpointReport,
    PeerReport,
    calculate_wire_size,
)
from balsamshed.peers.table import (
    expire_peers,
    get_reader_rank,
    pick_report_targets,
    pick_shared_addresses,
)
from balsamshed.placement.cold_starts import (
    end_warm_ups,
    suspend_part,
    update_fleet,
)
from balsamshed.placement.in_flight import EndpointLoadTracker, is_suspected
from balsamshed.steering.hedged_openings import review_hedges
from balsamshed.steering.path_loss import is_path_lossy
from balsamshed.steering.requests import PendingRequest, expire_requests
from balsamshed.steering.response_times import record_missing_answer
from balsamshed.store.polling import (
    get_view_age,
    is_read_due,
    record_pause,
    start_read,
)

#: Interval of ticks and of reports to peers.
TICK_SECONDS: Final = 0.1
#: Minimum time between the stop request and the stop. The routers check
#: readiness twice a second and remove a balancer after two failed checks, so
#: packets stop about 1.5 s after SIGTERM.
MIN_LEAVE_SECONDS: Final = 1.8
#: A balancer that still receives packets then stops only after this time
#: without any, or when its grace period is about to end.
IDLE_BEFORE_STOP_SECONDS: Final = 0.3
#: Part of the grace period that is reserved for the shutdown itself.
STOP_RESERVE_SECONDS: Final = 1.0


def handle_tick(edge: Edge, now: float) -> list[EdgeEffect]:
    """Run the periodic work of one tick and return its effects."""
    effects: list[EdgeEffect] = []
    pause = detect_pause(edge, now)
    if pause:
        record_pause(edge.reads, now)
        extend_missing_retention(edge.steering.directory, pause)
        effects.append(LogEvent('paused', {'seconds': round(pause, 3)}))
    edge.last_tick_at = now
    effects.extend(_discard_old_packets(edge, now))
    steering = edge.steering
    for flow_key, request in expire_requests(steering.requests, now):
        effects.append(_describe_unanswered(flow_key, request, now))
        if steering.speeds is not None:
            record_missing_answer(
                steering.speeds, steering.requests, request, now
            )
    for hedge in review_hedges(steering, now):
        effects.append(_describe_won_hedge(hedge))
    changes = expire_missing(steering.directory, now)
    effects.extend(apply_endpoint_changes(steering, changes, now))
    for host in expire_peers(edge.peer_table, now):
        effects.append(LogEvent('peer_lost', {'peer': host}))
    effects.extend(_update_cold_starts(edge, pause, now))
    rank = get_reader_rank(edge.peer_table)
    if is_read_due(
        edge.reads, rank, edge.is_seed, now
    ) or is_evacuation_read_due(edge, now):
        effects.append(_start_read(edge, now))
    effects.extend(_update_suspected_cookies(edge, now))
    effects.extend(share_speeds(edge, now))
    effects.extend(describe_spreads(edge))
    report = create_report(edge, now)
    targets = pick_report_targets(
        edge.peer_table, calculate_wire_size(report), now
    )
    if targets:
        effects.append(SendReport(report, targets))
    if edge.stop_requested_at is not None and _may_stop(edge, now):
        effects.append(StopProcess())
    return effects


def handle_stop(edge: Edge, now: float) -> list[EdgeEffect]:
    """Start the shutdown; the process ends once no packets arrive."""
    if edge.stop_requested_at is not None:
        return []
    edge.stop_requested_at = now
    return [LogEvent('leaving')]


def create_report(edge: Edge, now: float) -> PeerReport:
    """Return the report of this balancer to its peers.

    It names no suspected endpoints while this balancer loses packets itself,
    since their silence then shows nothing.
    """
    tracker = edge.steering.load_tracker
    suspected = edge.suspected_cookies
    if is_path_lossy(edge.steering.requests.path_loss, now):
        suspected = frozenset()
    cookies = tracker.own_in_flight.keys() | suspected
    return PeerReport(
        edge.data_centre,
        edge.reads.revision,
        get_view_age(edge.reads, now),
        tuple(
            EndpointReport(
                cookie,
                tracker.own_in_flight.get(cookie, 0),
                cookie in suspected,
            )
            for cookie in cookies
        ),
        pick_shared_addresses(
            edge.peer_table,
            edge.randbelow,
            includes_silent=edge.steering.cold_starts is not None,
        ),
        edge.steering.routes.version,
        edge.reads.read_number,
    )


def _start_read(edge: Edge, now: float) -> ReadSource:
    edge.read_started_at = now
    follows_evacuations = edge.steering.options.follows_evacuations
    source = start_read(edge.reads, now, follows_evacuations)
    return ReadSource(source, edge.reads.may_be_stale)


def _discard_old_packets(edge: Edge, now: float) -> list[EdgeEffect]:
    """Discard packets that have waited long for the first view."""
    waited_seconds = now - edge.packets_discarded_at
    if edge.has_accepted_packets or waited_seconds < MAX_QUEUED_SECONDS:
        return []
    edge.packets_discarded_at = now
    return [DiscardPackets()]


def _update_cold_starts(
    edge: Edge, pause: float, now: float
) -> list[EdgeEffect]:
    cold_starts = edge.steering.cold_starts
    if cold_starts is None:
        return []
    if pause:
        suspend_part(cold_starts, now)
    update_fleet(cold_starts, edge.peer_table, now)
    return [
        LogEvent('endpoint_warm', {'cookie': f'{cookie:08x}'})
        for cookie in end_warm_ups(cold_starts, now)
    ]


def _list_suspected_cookies(
    tracker: EndpointLoadTracker, now: float
) -> frozenset[int]:
    return frozenset(
        cookie
        for cookie in tracker.suspicions
        if is_suspected(tracker, cookie, now)
    )


def _update_suspected_cookies(edge: Edge, now: float) -> list[EdgeEffect]:
    tracker = edge.steering.load_tracker
    previous = edge.suspected_cookies
    edge.suspected_cookies = _list_suspected_cookies(tracker, now)
    effects: list[EdgeEffect] = [
        LogEvent(
            'endpoint_suspected',
            {
                'cookie': f'{cookie:08x}',
                'unanswered_in_a_row': tracker.suspicions[cookie].failures,
                'for_seconds': round(tracker.suspicions[cookie].until - now, 2),
                'suspecting_peers': tracker.suspecting_peers.get(cookie, 0),
            },
        )
        for cookie in edge.suspected_cookies - previous
    ]
    effects.extend(
        LogEvent('endpoint_trusted', {'cookie': f'{cookie:08x}'})
        for cookie in previous - edge.suspected_cookies
    )
    return effects


def _describe_unanswered(
    flow_key: bytes,
    request: PendingRequest,
    now: float,
) -> LogEvent:
    return LogEvent(
        'no_answer_seen',
        {
            'flow': flow_key,
            'cookie': f'{request.cookie:08x}',
            'progress': request.stage,
            'after_seconds': round(now - request.started_at, 3),
        },
    )


def _describe_won_hedge(hedge: SentHedge) -> LogEvent:
    return LogEvent(
        'hedge_won',
        {
            'flow': hedge.flow_key,
            'first_cookie': f'{hedge.first_cookie:08x}',
            'second_cookie': f'{hedge.second_cookie:08x}',
        },
    )


def _may_stop(edge: Edge, now: float) -> bool:
    elapsed = now - (edge.stop_requested_at or 0)
    if elapsed >= edge.grace_seconds - STOP_RESERVE_SECONDS:
        return True
    return (
        elapsed >= MIN_LEAVE_SECONDS
        and now - edge.last_packet_at > IDLE_BEFORE_STOP_SECONDS
    )
