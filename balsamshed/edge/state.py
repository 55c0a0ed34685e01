"""State and rules of an edge balancer."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.edge.effects import (
    EdgeEffect,
    ReadSource,
    StopProcess,
    WriteEvent,
)
from balsamshed.endpoints.directory import (
    ChangeKind,
    EndpointChange,
    EndpointView,
    apply_view,
)
from balsamshed.placement.in_flight import forget_endpoint
from balsamshed.routes.table import RouteTable
from balsamshed.steering.decisions import (
    Steering,
    create_steering,
    is_ready,
    replace_routes,
)
from balsamshed.steering.requests import expire_requests
from balsamshed.store.reading import (
    ReadSchedule,
    Source,
    note_read,
    note_read_failed,
    take_due_reads,
)

#: The routers check readiness twice a second and take a balancer out of
#: rotation after two misses, so packets stop about 1.5 s after SIGTERM.
LEAVE_SECONDS: Final = 1.8
#: A balancer that still gets packets then stays a little longer.
QUIET_SECONDS: Final = 0.3
#: Time before the end of the grace period that is kept for the stop itself.
STOP_RESERVE_SECONDS: Final = 1.0

_FORGETTING_KINDS: Final = frozenset(
    (ChangeKind.ADDED, ChangeKind.RESTARTED, ChangeKind.REMOVED),
)


@dataclass(slots=True)
class Edge:
    """An edge balancer without its sockets, timers and codecs.

    Attributes
    ----------
    steering : Steering
        Packet path.
    schedule : ReadSchedule
        Reads of the store.
    draw : callable
        Returns a random integer from 0 to below its argument.
    grace_seconds : float
        Time from the request to stop until the process is killed.
    leaving_since : float or None
        Monotonic seconds of the request to stop.
    last_packet_at : float
        Monotonic seconds of the last packet.
    was_ready : bool
        Whether it has been ready before.
    """

    steering: Steering
    schedule: ReadSchedule
    draw: Callable[[int], int]
    grace_seconds: float
    leaving_since: float | None = None
    last_packet_at: float = 0
    was_ready: bool = False
    started_at: float = field(default=0)


def create_edge(
    data_centre: str,
    flow_lifetime_seconds: float,
    grace_seconds: float,
    draw: Callable[[int], int],
    now: float,
) -> Edge:
    """Create the state of an edge balancer that has just started."""
    return Edge(
        create_steering(data_centre, flow_lifetime_seconds, draw),
        ReadSchedule(),
        draw,
        grace_seconds,
        started_at=now,
    )


def accepts_traffic(edge: Edge) -> bool:
    """Tell whether the routers should send packets to this balancer."""
    return edge.leaving_since is None and is_ready(edge.steering)


def handle_tick(edge: Edge, now: float) -> list[EdgeEffect]:
    """Do what is due."""
    expire_requests(edge.steering.requests, now)
    effects: list[EdgeEffect] = [
        ReadSource(source) for source in take_due_reads(edge.schedule, now)
    ]
    if edge.leaving_since is not None and _may_stop(edge, now):
        effects.append(StopProcess())
    return effects


def handle_endpoints(
    edge: Edge,
    view: EndpointView,
    now: float,
) -> list[EdgeEffect]:
    """Take over the endpoints that the store lists."""
    steering = edge.steering
    changes = apply_view(steering.directory, view, now)
    effects = _note_contact(edge, Source.ENDPOINTS)
    for change in changes:
        _adapt_board(steering, change, now)
        effects.append(_describe_change(change, view.revision))
    return effects + _note_readiness(edge, now)


def handle_routes(
    edge: Edge,
    table: RouteTable,
    now: float,
) -> list[EdgeEffect]:
    """Take over the routes that the store has, unless they are older."""
    steering = edge.steering
    former = steering.routes
    effects = _note_contact(edge, Source.ROUTES)
    if replace_routes(steering, table):
        effects.append(
            WriteEvent(
                'routes_changed',
                {
                    'version': table.version,
                    'former_version': former.version,
                    'routes': len(table.routes),
                },
            ),
        )
    elif table.version < former.version:
        effects.append(
            WriteEvent(
                'older_routes_ignored',
                {'version': table.version, 'in_force': former.version},
            ),
        )
    return effects + _note_readiness(edge, now)


def handle_read_failed(
    edge: Edge,
    source: Source,
    reason: str,
    now: float,
) -> list[EdgeEffect]:
    """Go on with what is known, and read again soon."""
    if not note_read_failed(edge.schedule, source, now, edge.draw):
        return []
    confirmed_at = edge.schedule.sources[source].confirmed_at
    return [
        WriteEvent(
            'store_lost',
            {
                'source': source,
                'reason': reason,
                'age_seconds': (
                    'none'
                    if confirmed_at is None
                    else round(now - confirmed_at, 3)
                ),
            },
        ),
    ]


def handle_stop(edge: Edge, now: float) -> list[EdgeEffect]:
    """Leave the rotation; the process ends once no packets arrive."""
    if edge.leaving_since is not None:
        return []
    edge.leaving_since = now
    return [WriteEvent('leaving')]


def _may_stop(edge: Edge, now: float) -> bool:
    elapsed = now - (edge.leaving_since or 0)
    if elapsed >= edge.grace_seconds - STOP_RESERVE_SECONDS:
        return True
    return (
        elapsed >= LEAVE_SECONDS and now - edge.last_packet_at > QUIET_SECONDS
    )


def _note_contact(edge: Edge, source: Source) -> list[EdgeEffect]:
    if note_read(edge.schedule, source):
        return [WriteEvent('store_regained', {'source': source})]
    return []


def _adapt_board(
    steering: Steering,
    change: EndpointChange,
    now: float,
) -> None:
    endpoint = change.endpoint
    if change.kind in _FORGETTING_KINDS:
        forget_endpoint(steering.board, endpoint.instance)
    if endpoint.warm_up_seconds > 0:
        steering.board.warm_until[endpoint.instance] = (
            now + endpoint.warm_up_seconds
        )


def _describe_change(change: EndpointChange, revision: int) -> WriteEvent:
    endpoint = change.endpoint
    return WriteEvent(
        f'endpoint_{change.kind}',
        {
            'endpoint': f'{endpoint.instance:x}',
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
