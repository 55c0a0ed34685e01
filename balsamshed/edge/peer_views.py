"""Exchange of views of the store between edge balancers."""

from typing import Final

from balsamshed.edge.effects import EdgeEffect, FetchView, LogEvent
from balsamshed.edge.evacuations import (
    apply_known_evacuations,
    create_evacuations_for_peer,
)
from balsamshed.edge.speeds import queue_first_supplement
from balsamshed.edge.state import Edge, detect_pause
from balsamshed.edge.views import (
    apply_endpoints,
    apply_routes,
    handle_read_failed,
    update_readiness,
)
from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.history import (
    EndpointChanges,
    list_changes,
    merge_changes,
)
from balsamshed.peers.report import PeerReport
from balsamshed.peers.table import (
    has_newer_view,
    list_peers_with_newer_view,
    record_report,
)
from balsamshed.peers.view import StoreView
from balsamshed.routes.history import (
    RouteChanges,
    list_route_changes,
    merge_route_changes,
)
from balsamshed.routes.table import RouteTable
from balsamshed.store.polling import (
    Source,
    apply_peer_revision,
    confirm_revision,
)
from balsamshed.store.revisions import format_revision

#: Revision of a balancer without a view; the answer to it is a whole view.
NO_REVISION: Final = -1
#: The same for the routes.
NO_VERSION: Final = -1
#: Changed routes that are sent at any time, some 20 bytes each when compressed.
MAX_SMALL_CHANGES: Final = 64


def handle_report(
    edge: Edge,
    host: str,
    report: PeerReport,
    now: float,
) -> list[EdgeEffect]:
    """Apply a peer's report, and fetch its view if it is newer."""
    effects: list[EdgeEffect] = []
    if record_report(edge.peer_table, host, report, now):
        queue_first_supplement(edge, host)
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
        confirm_revision(
            edge.reads,
            report.revision,
            now - report.age_seconds,
            report.read_number,
        )
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
    effects = apply_known_evacuations(edge, view.evacuations, now)
    table = view.routes
    if isinstance(table, RouteChanges):
        if table.version <= edge.steering.routes.version:
            # A read of the store was faster.
            table = None
        else:
            merged_table = merge_route_changes(edge.route_history, table)
            if merged_table is None:
                # The endpoints are of a revision with unknown routes.
                return effects + _fetch_all_routes(edge, table, now)
            table = merged_table
    if table is not None:
        effects.extend(apply_routes(edge, table, now))
    if endpoints.revision <= edge.reads.revision:
        if not effects:
            # A read of the store was faster, or the peer has restarted.
            return handle_read_failed(
                edge, Source.PEER_VIEW, 'nothing_newer', now
            )
        _end_fetch(edge)
        return effects + update_readiness(edge, now)
    _end_fetch(edge)
    if isinstance(endpoints, EndpointChanges):
        merged = merge_changes(edge.history, endpoints)
        if merged is None:
            return effects + _fetch_whole_view(edge, endpoints, now)
        endpoints = merged
    edge.needs_whole_view = False
    effects.extend(apply_endpoints(edge, endpoints, now))
    # The view counts as confirmed once a report shows the same revision;
    # without one, the store is read.
    apply_peer_revision(edge.reads, endpoints.revision, now)
    return effects + update_readiness(edge, now)


def create_view_for_peer(
    edge: Edge,
    revision: int = NO_REVISION,
    version: int = NO_VERSION,
    *,
    takes_route_changes: bool = False,
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
    takes_route_changes : bool
        Whether the peer takes the changes of routes since its version; one of
        an older build needs all routes.
    """
    history = edge.history
    own_revision = edge.reads.revision
    endpoints = list_changes(history, revision, own_revision) or EndpointView(
        own_revision,
        tuple(history.endpoints.values()),
        history.max_revision,
    )
    routes: RouteTable | RouteChanges | None = edge.steering.routes
    if edge.steering.routes.version <= version:
        routes = None
    elif takes_route_changes:
        routes = list_route_changes(edge.route_history, version) or routes
    return StoreView(endpoints, routes, create_evacuations_for_peer(edge))


def is_large_view(view: StoreView) -> bool:
    """Tell whether a view holds more than a few of the latest changes."""
    if isinstance(view.endpoints, EndpointView):
        return True
    routes = view.routes
    if isinstance(routes, RouteChanges):
        return len(routes.updated) + len(routes.removed) > MAX_SMALL_CHANGES
    return routes is not None


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


def _fetch_all_routes(
    edge: Edge, changes: RouteChanges, now: float
) -> list[EdgeEffect]:
    """Fetch all routes, since changes did not lead to the peer's routes."""
    edge.needs_all_routes = True
    _end_fetch(edge)
    fields = {
        'reason': 'route_changes_do_not_match',
        'base_version': changes.base_version,
        'version': changes.version,
        'own_version': edge.steering.routes.version,
    }
    mismatch = LogEvent('peer_view_failed', fields)
    return [mismatch, *_fetch_newer_view(edge, now)]


def _fetch_newer_view(edge: Edge, now: float) -> list[EdgeEffect]:
    """Fetch the view of a random peer that reports a newer one."""
    own_version = edge.steering.routes.version
    holders = list_peers_with_newer_view(
        edge.peer_table,
        edge.reads.revision,
        own_version,
        edge.data_centre,
    )
    if not holders:
        return []
    edge.fetch_started_at = now
    return [
        FetchView(
            holders[edge.randbelow(len(holders))],
            NO_REVISION if edge.needs_whole_view else edge.reads.revision,
            NO_VERSION if edge.needs_all_routes else own_version,
        ),
    ]
