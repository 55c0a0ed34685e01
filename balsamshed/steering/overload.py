"""Limits of admission on the packet path of one balancer."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.directory import (
    EndpointDirectory,
    list_available_endpoints,
)
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.limits.concurrency import (
    ConcurrencyLimit,
    LimitedOpening,
    admit_within_limit,
    decrease_limit,
    is_active,
    is_most_urgent,
    is_queueing,
    record_answer,
    record_priority,
    smooth_in_flight,
)
from balsamshed.limits.verdicts import Admitted, Postponed
from balsamshed.peers.table import PeerTable
from balsamshed.placement.in_flight import EndpointLoadTracker, is_suspected
from balsamshed.random_numbers import RandBelow
from balsamshed.routes.table import Route, RouteTable
from balsamshed.steering.packets import (
    DropPacket,
    FlowPacket,
    LimitedLoad,
    ResetFlow,
)
from balsamshed.steering.requests import RequestTable

#: Endpoints that are compared while a service is overloaded.
OVERLOAD_CANDIDATES: Final = 2


@dataclass(slots=True)
class OverloadControl:
    """Limits of the services, and what they are learned from.

    Attributes
    ----------
    directory : EndpointDirectory
        Known endpoints.
    requests : RequestTable
        Requests in flight.
    load_tracker : EndpointLoadTracker
        Suspicions of endpoints.
    peer_table : PeerTable
        Peers, which share the endpoints.
    limits : dict of str to ConcurrencyLimit
        Limits by service.
    counts : Counter of str
        Decisions about openings, by verdict and priority.
    """

    directory: EndpointDirectory
    requests: RequestTable
    load_tracker: EndpointLoadTracker
    peer_table: PeerTable
    limits: dict[str, ConcurrencyLimit] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)


def learn_from_answer(
    control: OverloadControl,
    service: str,
    duration_seconds: float,
    answer_bytes: int,
    route: Route,
    now: float,
) -> None:
    """Adjust the limit of a service to the duration of a request.

    Parameters
    ----------
    control : OverloadControl
        Changed in place.
    service : str
        Service that answered.
    duration_seconds : float
        Duration of the request.
    answer_bytes : int
        Length of the answer, as far as its first acknowledgement covers it.
    route : Route
        Route of the request.
    now : float
        Monotonic seconds.
    """
    limit = _get_limit(control, service)
    is_overloaded = record_answer(
        limit,
        duration_seconds,
        route.latency_goal_seconds,
        route.priority,
        answer_bytes,
    )
    if is_overloaded:
        _decrease(control, service, limit, now)


def learn_from_silence(
    control: OverloadControl, service: str, now: float
) -> None:
    """Lower the limit of a service that left an opening unanswered.

    If no requests queue, the endpoint is silent for another reason than load.

    Parameters
    ----------
    control : OverloadControl
        Changed in place.
    service : str
        Service of the opening.
    now : float
        Monotonic seconds.
    """
    limit = _get_limit(control, service)
    if is_queueing(limit):
        _decrease(control, service, limit, now)


def review_opening(
    control: OverloadControl,
    service: str,
    packet: FlowPacket,
    route: Route,
    routes: RouteTable,
    now: float,
) -> ResetFlow | DropPacket | None:
    """Return the refusal of a new flow to a service, or None if it may open.

    Parameters
    ----------
    control : OverloadControl
        Changed in place.
    service : str
        Service that the flow would go to.
    packet : FlowPacket
        Opening packet.
    route : Route
        Route of the packet.
    routes : RouteTable
        All routes, for the priorities of the requests in flight.
    now : float
        Monotonic seconds.
    """
    limit = _get_limit(control, service)
    priority = route.priority
    record_priority(limit, priority, now)
    in_flight: float = 0
    if is_active(limit):
        if is_most_urgent(limit, priority, now):
            in_flight = _count_urgent_requests(
                control.requests, routes, service, priority
            )
        else:
            held = count_held_requests(control, service)
            in_flight = smooth_in_flight(limit, held, priority, now)
    opening = LimitedOpening(
        in_flight, priority, packet.attempt, route.latency_goal_seconds
    )
    verdict = admit_within_limit(limit, opening, now)
    if isinstance(verdict, Admitted):
        control.counts[f'opening_admitted_priority_{priority}'] += 1
        return None
    load = LimitedLoad(
        service, priority, in_flight, limit.limit, limit.mean_seconds
    )
    if isinstance(verdict, Postponed):
        control.counts[f'opening_postponed_priority_{priority}'] += 1
        return DropPacket(verdict.reason, load)
    control.counts[f'opening_refused_priority_{priority}'] += 1
    return ResetFlow(verdict.reason, load)


def list_limited_services(control: OverloadControl) -> list[str]:
    """Return the names of the services that are overloaded."""
    return [
        service for service, limit in control.limits.items() if is_active(limit)
    ]


def sample_candidates(
    control: OverloadControl,
    service: str,
    available: Sequence[Endpoint],
    avoided_cookie: int | None,
    randbelow: RandBelow,
    now: float,
) -> Sequence[Endpoint]:
    """Return two random endpoints while the service is overloaded, else all.

    Reports are old, and all balancers would choose the same least loaded
    endpoints.

    Parameters
    ----------
    control : OverloadControl
        Limits and suspicions.
    service : str
        Service of the new flow.
    available : sequence of Endpoint
        Endpoints that may take the flow.
    avoided_cookie : int or None
        Cookie of an endpoint that left the opening unanswered.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    now : float
        Monotonic seconds.
    """
    if not is_active(_get_limit(control, service)):
        return available
    tracker = control.load_tracker
    usable = tuple(
        endpoint
        for endpoint in available
        if endpoint.cookie != avoided_cookie
        and not is_suspected(tracker, endpoint.cookie, now)
    )
    if len(usable) <= OVERLOAD_CANDIDATES:
        return usable or available
    first = randbelow(len(usable))
    second = randbelow(len(usable) - 1)
    if second >= first:
        second += 1
    return usable[first], usable[second]


def count_held_requests(control: OverloadControl, service: str) -> int:
    """Return the requests of this balancer that a service's endpoints hold.

    What a removed endpoint held is lost, and probably also what one held that
    has answered no opening since it was suspected.

    Parameters
    ----------
    control : OverloadControl
        Requests, endpoints and suspicions.
    service : str
        Name of the service.
    """
    directory = control.directory
    suspicions = control.load_tracker.suspicions
    total = 0
    for cookie, amount in control.requests.counts.items():
        endpoint = directory.by_cookie.get((service, cookie))
        if endpoint is None or endpoint.instance not in directory.endpoints:
            continue
        if cookie not in suspicions:
            total += amount
    return total


def forget_services(control: OverloadControl, services: frozenset[str]) -> None:
    """Remove the limits of all services but the given ones."""
    for service in control.limits.keys() - services:
        del control.limits[service]


def _count_urgent_requests(
    requests: RequestTable, routes: RouteTable, service: str, priority: int
) -> int:
    total = 0
    for listener, amount in requests.listener_counts.items():
        route = routes.routes.get(listener)
        if route is None or route.priority > priority:
            continue
        if any(share.service == service for share in route.shares):
            total += amount
    return total


def _get_limit(control: OverloadControl, service: str) -> ConcurrencyLimit:
    return control.limits.setdefault(service, ConcurrencyLimit())


def _decrease(
    control: OverloadControl,
    service: str,
    limit: ConcurrencyLimit,
    now: float,
) -> None:
    """Lower a limit, down to an equal share of the slots of the service."""
    available = list_available_endpoints(control.directory, service)
    slots = sum(endpoint.slots for endpoint in available)
    balancers = 1 + sum(
        peer.report is not None for peer in control.peer_table.peers.values()
    )
    held = count_held_requests(control, service)
    decrease_limit(limit, held, max(1, slots / balancers), now)
