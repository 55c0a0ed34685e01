"""Decisions about packets of callers."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.directory import (
    EndpointDirectory,
    find_endpoint,
    list_available_endpoints,
)
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.peers.table import PeerTable
from balsamshed.placement.in_flight import (
    InFlightBoard,
    choose_least_busy,
    note_answered,
    note_unanswered,
)
from balsamshed.routes.table import Route, RouteTable, choose_newer
from balsamshed.steering.packets import (
    DropPacket,
    FlowPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
    SteeringEffect,
)
from balsamshed.steering.requests import (
    Observation,
    Progress,
    RequestTable,
    observe_packet,
    start_opening,
)

#: A repeated opening packet means that the first was not answered, unless it
#: was sent more recently than callers repeat it; the network may duplicate.
REPEAT_SECONDS: Final = 0.1

#: Observations that wait for the next fetch of the metrics.
KEPT_OBSERVATIONS: Final = 1000

_NOT_READY: Final = DropPacket('not_ready')
_NO_ROUTE: Final = ResetFlow('no_route')
_ROUTE_REMOVED: Final = ResetFlow('route_removed')
_NO_ENDPOINT: Final = ResetFlow('no_endpoint')
_UNKNOWN_ROUTE: Final = DropPacket('unknown_route')
_UNKNOWN_COOKIE: Final = DropPacket('unknown_cookie')


@dataclass(slots=True)
class Steering:
    """State of the packet path.

    Attributes
    ----------
    directory : EndpointDirectory
        Endpoints.
    requests : RequestTable
        Requests in flight.
    board : InFlightBoard
        Load of endpoints; its own counts are those of ``requests``.
    draw : callable
        Returns a random integer from 0 to below its argument.
    routes : RouteTable
        Routes in force.
    removed_listeners : set of int
        Listeners of earlier versions that have no route any more.
    former_services : dict of int to set of str
        Services that earlier versions gave to a listener: its open flows
        stay where they are.
    observations : deque of Observation
        The last openings and answers that callers' packets showed.
    """

    directory: EndpointDirectory
    requests: RequestTable
    board: InFlightBoard
    draw: Callable[[int], int]
    routes: RouteTable = field(default_factory=RouteTable)
    removed_listeners: set[int] = field(default_factory=set)
    former_services: dict[int, set[str]] = field(default_factory=dict)
    observations: deque[Observation] = field(
        default_factory=lambda: deque(maxlen=KEPT_OBSERVATIONS),
    )


def create_steering(
    data_centre: str,
    flow_lifetime_seconds: float,
    roster: PeerTable,
    draw: Callable[[int], int],
) -> Steering:
    """Create the state of a balancer that knows nothing yet.

    Parameters
    ----------
    data_centre : str
        Data centre of the balancer.
    flow_lifetime_seconds : float
        Longest life of a flow.
    roster : PeerTable
        What other balancers report of endpoints.
    draw : callable
        Returns a random integer from 0 to below its argument.
    """
    requests = RequestTable()
    return Steering(
        EndpointDirectory(flow_lifetime_seconds),
        requests,
        InFlightBoard(
            data_centre,
            requests.counts,
            roster.in_flight,
            roster.suspecting_peers,
        ),
        draw,
    )


def is_ready(steering: Steering) -> bool:
    """Tell whether the balancer knows routes and an endpoint to serve them."""
    return (
        steering.routes.version >= 0
        and steering.directory.revision >= 0
        and bool(steering.directory.available_by_service)
    )


def steer_packet(
    steering: Steering,
    packet: FlowPacket,
    now: float,
) -> SteeringEffect:
    """Decide what happens to a caller's packet.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    packet : FlowPacket
        The packet.
    now : float
        Monotonic seconds.

    Returns
    -------
    SteeringEffect
        Forward, reset or drop.
    """
    route = steering.routes.routes.get(packet.listener)
    if route is None:
        return _judge_unrouted(steering, packet)
    if packet.kind is PacketKind.OPENING:
        return _open_flow(steering, packet, route, now)
    endpoint = _find_on_route(steering, route, packet.cookie)
    if endpoint is None:
        endpoint = _find_on_former_route(steering, packet)
    if endpoint is None:
        return _UNKNOWN_COOKIE
    _observe(steering, packet, now)
    return ForwardFlow(endpoint, packet.cookie)


def replace_routes(steering: Steering, table: RouteTable) -> bool:
    """Put a newer version of the routes in force.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    table : RouteTable
        Any version; an older one than that in force changes nothing.

    Returns
    -------
    bool
        Whether the table is in force now and was not before.
    """
    former = steering.routes
    if choose_newer(former, table) is former:
        return False
    steering.routes = table
    _remember_services(steering, former)
    steering.removed_listeners.update(former.routes)
    steering.removed_listeners.difference_update(table.routes)
    return True


def _remember_services(steering: Steering, former: RouteTable) -> None:
    for listener, route in former.routes.items():
        current = steering.routes.routes.get(listener)
        if current is not None and current.shares != route.shares:
            known = steering.former_services.setdefault(listener, set())
            known.update(share.service for share in route.shares)


def _judge_unrouted(
    steering: Steering,
    packet: FlowPacket,
) -> SteeringEffect:
    if steering.routes.version < 0:
        # The routers may send packets before this balancer knows anything;
        # the caller repeats them, and another balancer may take them.
        return _NOT_READY
    if packet.kind is PacketKind.OPENING:
        return _NO_ROUTE
    if packet.listener in steering.removed_listeners:
        return _ROUTE_REMOVED
    # Another balancer may have opened the flow under a newer version.
    return _UNKNOWN_ROUTE


def _open_flow(
    steering: Steering,
    packet: FlowPacket,
    route: Route,
    now: float,
) -> SteeringEffect:
    avoided = None
    former = steering.requests.pending.get(packet.flow_key)
    if former is not None and former.progress is Progress.OPENING:
        if now - former.since < REPEAT_SECONDS:
            known = _find_on_route(steering, route, former.cookie)
            if known is not None and not known.is_draining:
                return ForwardFlow(known, former.cookie)
        elif packet.attempt:
            avoided = former.cookie
            note_unanswered(steering.board, avoided, now)
    service = _choose_service(steering, route)
    if service is None:
        return _NO_ENDPOINT
    endpoint = choose_least_busy(
        steering.board,
        list_available_endpoints(steering.directory, service),
        avoided,
        steering.draw,
        now,
    )
    if endpoint is None:
        return _NO_ENDPOINT
    cookie = endpoint.cookie
    start_opening(steering.requests, packet.flow_key, cookie, now)
    return ForwardFlow(endpoint, cookie)


def _choose_service(steering: Steering, route: Route) -> str | None:
    """Return the service of a new flow; None if no service has a weight."""
    total = sum(share.weight for share in route.shares)
    if not total:
        return None
    position = steering.draw(total)
    for share in route.shares:
        position -= share.weight
        if position < 0:
            break
    return share.service


def _find_on_route(
    steering: Steering,
    route: Route,
    cookie: int,
) -> Endpoint | None:
    for share in route.shares:
        endpoint = find_endpoint(steering.directory, share.service, cookie)
        if endpoint is not None:
            return endpoint
    return None


def _find_on_former_route(
    steering: Steering,
    packet: FlowPacket,
) -> Endpoint | None:
    for service in steering.former_services.get(packet.listener, ()):
        endpoint = find_endpoint(steering.directory, service, packet.cookie)
        if endpoint is not None:
            return endpoint
    return None


def _observe(steering: Steering, packet: FlowPacket, now: float) -> None:
    cookie = packet.cookie
    observation = observe_packet(steering.requests, packet, cookie, now)
    if observation is None:
        return
    steering.observations.append(observation)
    if observation.opened_after_seconds is not None:
        note_answered(steering.board, cookie)
