"""How an edge balancer takes over views of the store."""

from collections.abc import Iterable, Sequence
from typing import Final

from balsamshed.edge.effects import (
    EdgeEffect,
    FetchView,
    ReadSource,
    WriteEvent,
)
from balsamshed.edge.state import Edge, note_pause
from balsamshed.endpoints.directory import (
    ChangeKind,
    EndpointChange,
    EndpointView,
    apply_view,
)
from balsamshed.endpoints.history import (
    EndpointChanges,
    list_changes,
    merge_changes,
    note_view,
)
from balsamshed.peers.report import Report
from balsamshed.peers.roster import list_holders, note_report
from balsamshed.peers.view import StoreView
from balsamshed.placement.in_flight import forget_endpoint
from balsamshed.routes.table import RouteTable
from balsamshed.steering.decisions import Steering, is_ready, replace_routes
from balsamshed.store.polling import (
    Source,
    apply_peer_revision,
    compute_backoff,
    confirm_revision,
    fail_read,
    finish_read,
    get_view_age,
    had_recent_outage,
    set_pending_revision,
)

_FORGETTING_KINDS: Final = frozenset(
    (ChangeKind.ADDED, ChangeKind.RESTARTED, ChangeKind.REMOVED),
)


def handle_revision(edge: Edge, revision: int) -> list[EdgeEffect]:
    """Read what the store lists if it has changed, else keep what is known."""
    if set_pending_revision(edge.reads, revision):
        return [ReadSource(Source.ENDPOINTS)]
    return _finish(edge)


def handle_endpoints(
    edge: Edge,
    view: EndpointView,
    now: float,
) -> list[EdgeEffect]:
    """Take over the endpoints that the store lists."""
    effects = _apply_endpoints(edge, view, now)
    if set_pending_revision(edge.reads, view.revision):
        effects.append(ReadSource(Source.ROUTES, edge.reads.may_be_stale))
    else:
        effects.extend(_finish(edge))
    return effects + _note_readiness(edge, now)


def handle_routes(
    edge: Edge,
    table: RouteTable,
    now: float,
) -> list[EdgeEffect]:
    """Take over the routes that the store has, unless they are older."""
    effects = _apply_routes(edge, table, now)
    effects.extend(_finish(edge))
    return effects + _note_readiness(edge, now)


def handle_read_failed(
    edge: Edge,
    source: Source,
    reason: str,
    now: float,
) -> list[EdgeEffect]:
    """Go on with what is known; read again soon, or ask a peer."""
    if source is Source.PEER_VIEW:
        edge.fetching_since = None
        # Holders that are asked by a whole group need time for each view.
        wait = compute_backoff(edge.fetch_failures, edge.draw)
        edge.fetch_retry_at = now + wait
        edge.fetch_failures += 1
        return [WriteEvent('peer_view_failed', {'reason': reason})]
    if not fail_read(edge.reads, now, edge.draw):
        return []
    age = get_view_age(edge.reads, now)
    fields = {
        'source': source,
        'reason': reason,
        'age_seconds': round(age, 3),
    }
    return [WriteEvent('store_lost', fields)]


def handle_report(
    edge: Edge,
    host: str,
    report: Report,
    now: float,
) -> list[EdgeEffect]:
    """Take over what a peer reports."""
    effects: list[EdgeEffect] = []
    if note_report(edge.roster, host, report, now):
        effects.append(
            WriteEvent(
                'peer_found',
                {'peer': host, 'data_centre': report.data_centre},
            ),
        )
    note_pause(edge, now)
    if now < edge.distrusted_until:
        # The age in the report may be older by the length of a pause.
        return effects
    confirm_revision(edge.reads, report.revision, now - report.age_seconds)
    can_fetch = edge.fetching_since is None and now >= edge.fetch_retry_at
    if can_fetch and report.revision > edge.reads.revision:
        holders = list_holders(
            edge.roster,
            edge.reads.revision,
            edge.data_centre,
        )
        if holders:
            edge.fetching_since = now
            effects.append(_fetch_view(edge, holders))
    return effects


def handle_peer_view(
    edge: Edge,
    view: StoreView,
    now: float,
) -> list[EdgeEffect]:
    """Take over a peer's view of the store if it is newer."""
    edge.fetching_since = None
    edge.fetch_failures = 0
    endpoints = view.endpoints
    if endpoints.revision <= edge.reads.revision:
        return []
    if isinstance(endpoints, EndpointChanges):
        if endpoints.base > edge.history.revision:
            reason = f'changes_since_{endpoints.base}'
            return [WriteEvent('peer_view_failed', {'reason': reason})]
        endpoints = merge_changes(edge.history, endpoints)
    effects: list[EdgeEffect] = []
    if view.routes is not None:
        effects.extend(_apply_routes(edge, view.routes, now))
    effects.extend(_apply_endpoints(edge, endpoints, now))
    # A report of the same revision confirms it; without one the store is read.
    apply_peer_revision(edge.reads, endpoints.revision, now)
    return effects + _note_readiness(edge, now)


def get_view(edge: Edge, revision: int = -1, version: int = -1) -> StoreView:
    """Return what a peer lacks of this balancer's view.

    Endpoints that the store does not list are left out: each balancer decides
    itself how long it keeps them.

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
    known = edge.reads.revision
    routes = edge.steering.routes
    endpoints = list_changes(history, revision, known) or EndpointView(
        known,
        tuple(history.listed.values()),
        history.newest,
    )
    return StoreView(endpoints, routes if routes.version > version else None)


def _fetch_view(edge: Edge, holders: Sequence[str]) -> FetchView:
    return FetchView(
        holders[edge.draw(len(holders))],
        edge.reads.revision,
        edge.steering.routes.version,
    )


def _finish(edge: Edge) -> list[EdgeEffect]:
    if finish_read(edge.reads):
        return [WriteEvent('store_regained', {'revision': edge.reads.revision})]
    return []


def note_changes(
    steering: Steering,
    changes: Iterable[EndpointChange],
    now: float,
) -> list[EdgeEffect]:
    """Adapt what is known of endpoints to changes, and log them."""
    effects: list[EdgeEffect] = []
    for change in changes:
        _adapt_board(steering, change, now)
        effects.append(_describe_change(change, steering.directory.revision))
    return effects


def _apply_endpoints(
    edge: Edge,
    view: EndpointView,
    now: float,
) -> list[EdgeEffect]:
    steering = edge.steering
    note_view(edge.history, view)
    changes = apply_view(
        steering.directory,
        view,
        now,
        keeps_missing=had_recent_outage(edge.reads, now),
    )
    return note_changes(steering, changes, now)


def _apply_routes(
    edge: Edge,
    table: RouteTable,
    now: float,
) -> list[EdgeEffect]:
    former = edge.steering.routes.version
    fields = {'version': table.version, 'former_version': former}
    if replace_routes(edge.steering, table):
        edge.routes_since = now
        fields['routes'] = len(table.routes)
        return [WriteEvent('routes_changed', fields)]
    if table.version < former:
        return [WriteEvent('older_routes_ignored', fields)]
    return []


def _adapt_board(
    steering: Steering,
    change: EndpointChange,
    now: float,
) -> None:
    endpoint = change.endpoint
    if change.kind in _FORGETTING_KINDS:
        forget_endpoint(steering.load_tracker, endpoint.cookie)
    if endpoint.warm_up_seconds > 0:
        steering.load_tracker.warm_until[endpoint.cookie] = (
            now + endpoint.warm_up_seconds
        )


def _describe_change(change: EndpointChange, revision: int) -> WriteEvent:
    endpoint = change.endpoint
    return WriteEvent(
        f'endpoint_{change.kind}',
        {
            'endpoint': f'{endpoint.instance:x}',
            'cookie': f'{endpoint.cookie:08x}',
            'service': endpoint.service,
            'address': f'{endpoint.host}:{endpoint.port}',
            'data_centre': endpoint.data_centre,
            'sequence': endpoint.sequence,
            'revision': revision,
        },
    )


def _note_readiness(edge: Edge, now: float) -> list[EdgeEffect]:
    if edge.was_ready or not is_ready(edge.steering):
        return []
    edge.was_ready = True
    return [
        WriteEvent(
            'ready',
            {
                'after_seconds': round(now - edge.started_at, 3),
                'version': edge.steering.routes.version,
                'endpoints': len(edge.steering.directory.endpoints),
            },
        ),
    ]
