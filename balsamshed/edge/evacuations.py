"""Evacuations of data centres at an edge balancer."""

from balsamshed.edge.cold_starts import limit_returned_endpoints
from balsamshed.edge.effects import EdgeEffect, LogEvent, ReadSource
from balsamshed.edge.state import Edge
from balsamshed.edge.views import handle_revision
from balsamshed.evacuations.state import (
    apply_evacuations,
    create_evacuation_view,
    get_known_revision,
)
from balsamshed.evacuations.view import (
    EvacuationChange,
    EvacuationView,
    list_returned,
)
from balsamshed.store.polling import READ_INTERVAL_SECONDS, Source
from balsamshed.store.revisions import format_revision


def handle_evacuations(
    edge: Edge, view: EvacuationView, now: float
) -> list[EdgeEffect]:
    """Apply the evacuations that the store lists.

    Their list shows the store's revision too, so each poll begins with it and
    ends with it if the revision has not changed.
    """
    effects = apply_known_evacuations(edge, view, now)
    return effects + handle_revision(edge, view.revision)


def handle_unreadable_evacuations(edge: Edge) -> list[EdgeEffect]:
    """Read the store's revision alone, since the list cannot be read.

    The evacuations stay as they are, and one bad entry keeps no balancer from
    the changes of the rest.
    """
    return [ReadSource(Source.REVISION, edge.reads.may_be_stale)]


def apply_known_evacuations(
    edge: Edge, view: EvacuationView | None, now: float
) -> list[EdgeEffect]:
    """Put evacuations in force, and log those that begin or end.

    Parameters
    ----------
    edge : Edge
        State of this balancer.
    view : EvacuationView or None
        The evacuations; None if a peer does not know them.
    now : float
        Seconds of the balancer's clock.
    """
    steering = edge.steering
    if view is None or not steering.options.follows_evacuations:
        return []
    changes = apply_evacuations(steering.evacuations, view)
    effects: list[EdgeEffect] = [
        _describe_change(edge, change) for change in changes
    ]
    for data_centre in list_returned(changes):
        effects.extend(limit_returned_endpoints(steering, data_centre, now))
    return effects


def create_evacuations_for_peer(edge: Edge) -> EvacuationView | None:
    """Return the evacuations that a peer should know; None if unknown."""
    return create_evacuation_view(edge.steering.evacuations)


def is_evacuation_read_due(edge: Edge, now: float) -> bool:
    """Return whether the store must show evacuations that peers did not.

    A peer of an older build sends views without them.
    """
    reads, steering = edge.reads, edge.steering
    if not steering.options.follows_evacuations:
        return False
    if reads.started_at is not None or now < reads.retry_at:
        return False
    if get_known_revision(steering.evacuations) >= reads.revision:
        return False
    return now - edge.read_started_at >= READ_INTERVAL_SECONDS


def _describe_change(edge: Edge, change: EvacuationChange) -> LogEvent:
    directory = edge.steering.directory
    revision = edge.steering.evacuations.revision
    return LogEvent(
        'evacuation_begun' if change.has_begun else 'evacuation_ended',
        {
            'data_centre': change.data_centre,
            'endpoints': sum(
                endpoint.data_centre == change.data_centre
                for endpoint in directory.endpoints.values()
            ),
            'revision': format_revision(revision),
            'version': edge.steering.routes.version,
        },
    )
