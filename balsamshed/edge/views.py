"""Updates of an edge balancer from views of the store and of peers."""

from collections.abc import Iterable
from typing import Final

from balsamshed.edge.effects import (
    AcceptPackets,
    EdgeEffect,
    FetchView,
    LogEvent,
    ReadSource,
)
from balsamshed.edge.state import Edge, detect_pause
from balsamshed.endpoints.directory import (
    ChangeKind,
    EndpointChange,
    EndpointView,
    apply_view,
)
from balsamshed.endpoints.history import (
    EndpointChanges,
    explains_all_changes,
    list_changes,
    merge_changes,
    record_view,
)
from balsamshed.peers.report import PeerReport
from balsamshed.peers.table import (
    has_newer_view,
    list_peers_with_newer_view,
    record_report,
)
from balsamshed.peers.view import StoreView
from balsamshed.placement.in_flight import forget_endpoint
from balsamshed.routes.table import RouteTable
from balsamshed.steering.decisions import (
    Steering,
    has_view,
    is_ready,
    replace_routes,
)
from balsamshed.store.polling import (
    Source,
    apply_peer_revision,
    compute_backoff,
    confirm_revision,
    fail_read,
    finish_read,
    get_view_age,
    had_recent_outage,
    lower_pending_revision,
    set_pending_revision,
)
from balsamshed.store.revisions import format_revision, get_era

#: Revision of a balancer without a view; the answer to it is a whole view.
NO_REVISION: Final = -1

_RESET_KINDS: Final = frozenset(
    (ChangeKind.ADDED, ChangeKind.RESTARTED, ChangeKind.REMOVED),
)


def handle_revision(edge: Edge, revision: int) -> list[EdgeEffect]:
    """Request the endpoints if the store's revision has changed."""
    if set_pending_revision(edge.reads, revision):
        return [ReadSource(Source.ENDPOINTS)]
    return _finish_store_read(edge)


def handle_endpoints(
    edge: Edge,
    view: EndpointView,
    now: float,
) -> list[EdgeEffect]:
    """Apply the endpoints that the store lists.

    The routes are read next, unless changes of endpoints account for all
    changes of the store: reading 3,000 unchanged routes after every change of
    an endpoint fills the link of a small VM.
    """
    known_revision = edge.reads.revision
    has_same_routes = explains_all_changes(edge.history, view, known_revision)
    effects = _apply_endpoints(edge, view, now)
    if set_pending_revision(edge.reads, view.revision) and not has_same_routes:
        effects.append(ReadSource(Source.ROUTES, edge.reads.may_be_stale))
    else:
        effects.extend(_finish_store_read(edge))
    return effects + _update_readiness(edge, now)


def handle_routes(
    edge: Edge,
    table: RouteTable,
    now: float,
    revision: int | None = None,
) -> list[EdgeEffect]:
    """Apply the routes of the store, unless they are older.

    Parameters
    ----------
    edge : Edge
        State of this balancer.
    table : RouteTable
        Routes that the store lists.
    now : float
        Seconds of the balancer's clock.
    revision : int or None
        Store revision of the list; None if it is that of the endpoints.
    """
    effects = _apply_routes(edge, table, now)
    if revision is not None:
        lower_pending_revision(edge.reads, revision)
    effects.extend(_finish_store_read(edge))
    return effects + _update_readiness(edge, now)


def handle_read_failed(
    edge: Edge,
    source: Source,
    reason: str,
    now: float,
    received_bytes: int = 0,
) -> list[EdgeEffect]:
    """Keep the current view, and schedule the next read or fetch."""
    if source is Source.PEER_VIEW:
        edge.fetch_started_at = None
        # A peer that a whole group asks needs time to send each view.
        backoff = compute_backoff(edge.fetch_failures, edge.randbelow)
        edge.fetch_retry_at = now + backoff
        edge.fetch_failures += 1
        failure = {'reason': reason, 'received_bytes': received_bytes}
        return [LogEvent('peer_view_failed', failure)]
    if not fail_read(edge.reads, now, edge.randbelow):
        return []
    age = get_view_age(edge.reads, now)
    fields = {
        'source': source,
        'reason': reason,
        'received_bytes': received_bytes,
        'age_seconds': round(age, 3),
    }
    return [LogEvent('store_lost', fields)]


def handle_report(
    edge: Edge,
    host: str,
    report: PeerReport,
    now: float,
) -> list[EdgeEffect]:
    """Apply a peer's report, and fetch its view if it is newer."""
    effects: list[EdgeEffect] = []
    if record_report(edge.peer_table, host, report, now):
        effects.append(
            LogEvent(
                'peer_found',
                {'peer': host, 'data_centre': report.data_centre},
            ),
        )
    detect_pause(edge, now)
    if now < edge.stale_reports_until:
        # The reported age may lack the time that the report was queued.
        return effects
    version = edge.steering.routes.version
    if report.version <= version:
        confirm_revision(edge.reads, report.revision, now - report.age_seconds)
    can_fetch = edge.fetch_started_at is None and now >= edge.fetch_retry_at
    if can_fetch and has_newer_view(report, edge.reads.revision, version):
        effects.extend(_fetch_newer_view(edge, now))
    return effects


def handle_peer_view(
    edge: Edge,
    view: StoreView,
    now: float,
) -> list[EdgeEffect]:
    """Apply what is newer of a peer's view of the store."""
    endpoints = view.endpoints
    effects: list[EdgeEffect] = []
    if view.routes is not None:
        effects.extend(_apply_routes(edge, view.routes, now))
    if endpoints.revision <= edge.reads.revision:
        if not effects:
            # The peer has restarted, or its report was older than its view.
            return handle_read_failed(
                edge, Source.PEER_VIEW, 'nothing_newer', now
            )
        _end_fetch(edge)
        return effects + _update_readiness(edge, now)
    _end_fetch(edge)
    if isinstance(endpoints, EndpointChanges):
        merged = merge_changes(edge.history, endpoints)
        if merged is None:
            return effects + _fetch_whole_view(edge, endpoints, now)
        endpoints = merged
    edge.needs_whole_view = False
    effects.extend(_apply_endpoints(edge, endpoints, now))
    # The view counts as confirmed once a report shows the same revision;
    # without one, the store is read.
    apply_peer_revision(edge.reads, endpoints.revision, now)
    return effects + _update_readiness(edge, now)


def create_view_for_peer(
    edge: Edge, revision: int = NO_REVISION, version: int = -1
) -> StoreView:
    """Return the part of this balancer's view that a peer lacks.

    Endpoints that the store does not list are left out, since each balancer
    decides for itself how long it retains them.

    Parameters
    ----------
    edge : Edge
        State of this balancer.
    revision : int
        Revision of the peer's view; -1 without one.
    version : int
        Version of the peer's routes; -1 without any.
    """
    history = edge.history
    own_revision = edge.reads.revision
    routes = edge.steering.routes
    endpoints = list_changes(history, revision, own_revision) or EndpointView(
        own_revision,
        tuple(history.endpoints.values()),
        history.max_revision,
    )
    return StoreView(endpoints, routes if routes.version > version else None)


def _end_fetch(edge: Edge) -> None:
    edge.fetch_started_at = None
    edge.fetch_failures = 0


def _fetch_whole_view(
    edge: Edge, changes: EndpointChanges, now: float
) -> list[EdgeEffect]:
    """Fetch a whole view, since changes did not lead to the peer's view."""
    edge.needs_whole_view = True
    fields = {
        'reason': 'changes_do_not_match',
        'base_revision': format_revision(changes.base_revision),
        'revision': format_revision(changes.revision),
        'own_revision': format_revision(edge.history.revision),
    }
    mismatch = LogEvent('peer_view_failed', fields)
    return [mismatch, *_fetch_newer_view(edge, now)]


def _fetch_newer_view(edge: Edge, now: float) -> list[EdgeEffect]:
    """Fetch the view of a random peer that reports a newer one."""
    holders = list_peers_with_newer_view(
        edge.peer_table,
        edge.reads.revision,
        edge.steering.routes.version,
        edge.data_centre,
    )
    if not holders:
        return []
    edge.fetch_started_at = now
    return [
        FetchView(
            holders[edge.randbelow(len(holders))],
            NO_REVISION if edge.needs_whole_view else edge.reads.revision,
            edge.steering.routes.version,
        ),
    ]


def _finish_store_read(edge: Edge) -> list[EdgeEffect]:
    if finish_read(edge.reads):
        revision = format_revision(edge.reads.revision)
        return [LogEvent('store_regained', {'revision': revision})]
    return []


def apply_endpoint_changes(
    steering: Steering,
    changes: Iterable[EndpointChange],
    now: float,
) -> list[EdgeEffect]:
    """Update the load tracker for changed endpoints, and log the changes."""
    effects: list[EdgeEffect] = []
    for change in changes:
        _update_load_tracker(steering, change, now)
        effects.append(_describe_change(change, steering.directory.revision))
    return effects


def _apply_endpoints(
    edge: Edge,
    view: EndpointView,
    now: float,
) -> list[EdgeEffect]:
    steering = edge.steering
    former_revision = edge.history.revision
    record_view(edge.history, view)
    changes = apply_view(
        steering.directory,
        view,
        now,
        retain_missing=had_recent_outage(edge.reads, now),
    )
    effects = apply_endpoint_changes(steering, changes, now)
    if 0 <= get_era(former_revision) < get_era(view.revision):
        effects.append(_describe_restored(edge, former_revision))
    return effects


def _apply_routes(
    edge: Edge,
    table: RouteTable,
    now: float,
) -> list[EdgeEffect]:
    previous_version = edge.steering.routes.version
    fields = {'version': table.version, 'former_version': previous_version}
    if replace_routes(edge.steering, table):
        edge.routes_applied_at = now
        fields['routes'] = len(table.routes)
        return [LogEvent('routes_changed', fields)]
    if table.version < previous_version:
        return [LogEvent('older_routes_ignored', fields)]
    return []


def _update_load_tracker(
    steering: Steering,
    change: EndpointChange,
    now: float,
) -> None:
    endpoint = change.endpoint
    if change.kind in _RESET_KINDS:
        forget_endpoint(steering.load_tracker, endpoint.cookie)
        steering.requests.answered_at.pop(endpoint.cookie, None)
    if endpoint.warm_up_seconds > 0:
        steering.load_tracker.warm_until[endpoint.cookie] = (
            now + endpoint.warm_up_seconds
        )


def _describe_restored(edge: Edge, former_revision: int) -> LogEvent:
    """Describe that the store has come back from an older copy."""
    directory = edge.steering.directory
    return LogEvent(
        'store_restored',
        {
            'revision': format_revision(directory.revision),
            'former_revision': format_revision(former_revision),
            'outdated_entries': len(directory.outdated),
            'missing_entries': len(directory.missing_since),
            'version': edge.steering.routes.version,
        },
    )


def _describe_change(change: EndpointChange, revision: int) -> LogEvent:
    endpoint = change.endpoint
    return LogEvent(
        f'endpoint_{change.kind}',
        {
            'endpoint': f'{endpoint.instance:x}',
            'cookie': f'{endpoint.cookie:08x}',
            'service': endpoint.service,
            'address': f'{endpoint.host}:{endpoint.port}',
            'data_centre': endpoint.data_centre,
            'sequence': endpoint.sequence,
            'revision': format_revision(revision),
        },
    )


def _update_readiness(edge: Edge, now: float) -> list[EdgeEffect]:
    effects = _log_readiness(edge, now)
    if has_view(edge.steering) and not edge.has_accepted_packets:
        edge.has_accepted_packets = True
        effects.append(AcceptPackets())
    return effects


def _log_readiness(edge: Edge, now: float) -> list[EdgeEffect]:
    if edge.has_been_ready or not is_ready(edge.steering):
        return []
    edge.has_been_ready = True
    return [
        LogEvent(
            'ready',
            {
                'after_seconds': round(now - edge.started_at, 3),
                'version': edge.steering.routes.version,
                'endpoints': len(edge.steering.directory.endpoints),
            },
        ),
    ]
