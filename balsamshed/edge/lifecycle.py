"""Ticks, readiness and the stop of an edge balancer."""

from typing import Final

from balsamshed.edge.effects import (
    EdgeEffect,
    ReadSource,
    SendReport,
    StopProcess,
    WriteEvent,
)
from balsamshed.edge.state import Edge, note_pause
from balsamshed.edge.views import note_changes
from balsamshed.endpoints.directory import extend_missing, remove_missing
from balsamshed.peers.report import EndpointReport, Report, count_bytes
from balsamshed.peers.roster import (
    choose_passed_on,
    choose_targets,
    expire_peers,
    rank_reader,
)
from balsamshed.placement.in_flight import EndpointLoadTracker, is_suspected
from balsamshed.steering.requests import PendingRequest, expire_requests
from balsamshed.store.polling import (
    get_view_age,
    is_read_due,
    record_pause,
    start_read,
)

#: Time between ticks, and so between reports to peers.
TICK_SECONDS: Final = 0.1
#: The routers check readiness twice a second and take a balancer out of
#: rotation after two misses, so packets stop about 1.5 s after SIGTERM.
LEAVE_SECONDS: Final = 1.8
#: A balancer that still gets packets then stays a little longer.
QUIET_SECONDS: Final = 0.3
#: Time before the end of the grace period that is kept for the stop itself.
STOP_RESERVE_SECONDS: Final = 1.0


def handle_tick(edge: Edge, now: float) -> list[EdgeEffect]:
    """Do what is due."""
    effects: list[EdgeEffect] = []
    pause = note_pause(edge, now)
    if pause:
        record_pause(edge.reads, now)
        extend_missing(edge.steering.directory, pause)
        effects.append(WriteEvent('paused', {'seconds': round(pause, 3)}))
    edge.last_tick_at = now
    steering = edge.steering
    for flow_key, request in expire_requests(steering.requests, now):
        effects.append(_describe_unanswered(flow_key, request, now))
    changes = remove_missing(steering.directory, now)
    effects.extend(note_changes(steering, changes, now))
    for host in expire_peers(edge.roster, now):
        effects.append(WriteEvent('peer_lost', {'peer': host}))
    rank = rank_reader(edge.roster)
    if is_read_due(edge.reads, rank, edge.is_seed, now):
        source = start_read(edge.reads, now)
        effects.append(ReadSource(source, edge.reads.may_be_stale))
    effects.extend(_note_suspects(edge, now))
    report = create_report(edge, now)
    targets = choose_targets(edge.roster, count_bytes(report), now)
    if targets:
        effects.append(SendReport(report, targets))
    if edge.leaving_since is not None and _may_stop(edge, now):
        effects.append(StopProcess())
    return effects


def handle_stop(edge: Edge, now: float) -> list[EdgeEffect]:
    """Leave the rotation; the process ends once no packets arrive."""
    if edge.leaving_since is not None:
        return []
    edge.leaving_since = now
    return [WriteEvent('leaving')]


def create_report(edge: Edge, now: float) -> Report:
    """Return what this balancer tells its peers."""
    board = edge.steering.load_tracker
    suspected = edge.suspects
    cookies = board.own_in_flight.keys() | suspected
    return Report(
        edge.data_centre,
        edge.reads.revision,
        get_view_age(edge.reads, now),
        tuple(
            EndpointReport(
                cookie, board.own_in_flight.get(cookie, 0), cookie in suspected
            )
            for cookie in cookies
        ),
        choose_passed_on(edge.roster, edge.draw),
    )


def _list_suspects(board: EndpointLoadTracker, now: float) -> frozenset[int]:
    return frozenset(
        cookie
        for cookie in board.suspicions
        if is_suspected(board, cookie, now)
    )


def _note_suspects(edge: Edge, now: float) -> list[EdgeEffect]:
    board = edge.steering.load_tracker
    former = edge.suspects
    edge.suspects = _list_suspects(board, now)
    effects: list[EdgeEffect] = [
        WriteEvent(
            'endpoint_suspected',
            {
                'cookie': f'{cookie:08x}',
                'unanswered_in_a_row': board.suspicions[cookie].failures,
                'for_seconds': round(board.suspicions[cookie].until - now, 2),
                'suspecting_peers': board.suspecting_peers.get(cookie, 0),
            },
        )
        for cookie in edge.suspects - former
    ]
    effects.extend(
        WriteEvent('endpoint_trusted', {'cookie': f'{cookie:08x}'})
        for cookie in former - edge.suspects
    )
    return effects


def _describe_unanswered(
    flow_key: bytes,
    request: PendingRequest,
    now: float,
) -> WriteEvent:
    return WriteEvent(
        'no_answer_seen',
        {
            'flow': flow_key,
            'cookie': f'{request.cookie:08x}',
            'progress': request.stage,
            'after_seconds': round(now - request.started_at, 3),
        },
    )


def _may_stop(edge: Edge, now: float) -> bool:
    elapsed = now - (edge.leaving_since or 0)
    if elapsed >= edge.grace_seconds - STOP_RESERVE_SECONDS:
        return True
    return (
        elapsed >= LEAVE_SECONDS and now - edge.last_packet_at > QUIET_SECONDS
    )
