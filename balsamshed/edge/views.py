"""Updates of an edge balancer from views of the store."""

from collections.abc import Iterable
from typing import Final

from balsamshed.edge.cold_starts import (
    limit_cold_starts,
    update_cold_start_bounds,
)
from balsamshed.edge.effects import (
    AcceptPackets,
    EdgeEffect,
    LogEvent,
    ReadSource,
)
from balsamshed.edge.state import Edge
from balsamshed.endpoints.directory import (
    ChangeKind,
    EndpointChange,
    EndpointView,
    apply_view,
)
from balsamshed.endpoints.history import (
    explains_all_changes,
    record_view,
)
from balsamshed.evacuations.state import (
    extend_evacuations,
    get_known_revision,
    hold_evacuations,
)
from balsamshed.placement.in_flight import forget_endpoint
from balsamshed.placement.speeds import forget_speed
from balsamshed.routes.history import record_table
from balsamshed.routes.table import RouteTable
from balsamshed.steering.state import (
    Steering,
    has_view,
    is_ready,
    replace_routes,
)
from balsamshed.store.polling import (
    Source,
    compute_backoff,
    fail_read,
    finish_read,
    get_view_age,
    had_recent_outage,
    lower_pending_revision,
    set_pending_revision,
)
from balsamshed.store.revisions import format_revision, get_era

_RESET_KINDS: Final = frozenset(
    (ChangeKind.ADDED, ChangeKind.RESTARTED, ChangeKind.REMOVED),
)
#: Peers may report the speed of an endpoint before it is in this view.
_REPLACED_KINDS: Final = frozenset((ChangeKind.RESTARTED, ChangeKind.REMOVED))


def handle_revision(edge: Edge, revision: int) -> list[EdgeEffect]:
    """Request the endpoints if the store's revision has changed.

    The evacuations are known at that revision: either their list shows it, or
    it was read alone because the list cannot be read and changes nothing.
    """
    if edge.steering.options.follows_evacuations:
        hold_evacuations(edge.steering.evacuations, revision)
    if set_pending_revision(edge.reads, revision):
        return [ReadSource(Source.ENDPOINTS, edge.reads.may_be_stale)]
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
    if has_same_routes:
        extend_evacuations(
            edge.steering.evacuations, known_revision, view.revision
        )
    effects = apply_endpoints(edge, view, now)
    is_new = set_pending_revision(edge.reads, view.revision)
    if edge.steering.options.follows_evacuations:
        lower_pending_revision(
            edge.reads, get_known_revision(edge.steering.evacuations)
        )
    if is_new and not has_same_routes:
        effects.append(ReadSource(Source.ROUTES, edge.reads.may_be_stale))
    else:
        effects.extend(_finish_store_read(edge))
    return effects + update_readiness(edge, now)


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
    effects = apply_routes(edge, table, now)
    if revision is not None:
        lower_pending_revision(edge.reads, revision)
    effects.extend(_finish_store_read(edge))
    return effects + update_readiness(edge, now)


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


def _finish_store_read(edge: Edge) -> list[EdgeEffect]:
    if finish_read(edge.reads, edge.randbelow):
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


def apply_endpoints(
    edge: Edge,
    view: EndpointView,
    now: float,
) -> list[EdgeEffect]:
    """Record a view of the endpoints and put it in force."""
    steering = edge.steering
    former_revision = edge.history.revision
    former = steering.directory.endpoints if has_view(steering) else None
    record_view(edge.history, view)
    changes = apply_view(
        steering.directory,
        view,
        now,
        retain_missing=had_recent_outage(edge.reads, now),
    )
    effects = apply_endpoint_changes(steering, changes, now)
    effects.extend(limit_cold_starts(steering, former, now))
    if 0 <= get_era(former_revision) < get_era(view.revision):
        effects.append(_describe_restored(edge, former_revision))
    return effects


def apply_routes(
    edge: Edge,
    table: RouteTable,
    now: float,
) -> list[EdgeEffect]:
    """Put routes in force, unless they are older than the current ones."""
    previous_version = edge.steering.routes.version
    fields = {'version': table.version, 'former_version': previous_version}
    if replace_routes(edge.steering, table):
        record_table(edge.route_history, table)
        edge.routes_applied_at = now
        edge.needs_all_routes = False
        update_cold_start_bounds(edge.steering)
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
    if steering.speeds is not None and change.kind in _REPLACED_KINDS:
        forget_speed(steering.speeds, endpoint.cookie)
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


def update_readiness(edge: Edge, now: float) -> list[EdgeEffect]:
    """Accept packets once there is a view, and log the first readiness."""
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
