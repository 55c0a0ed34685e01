"""Steering decisions: where to send each packet of a caller."""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.directory import (
    EndpointDirectory,
    find_endpoint,
    find_endpoint_of_any_service,
    list_available_endpoints,
)
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.state import (
    EvacuationState,
    exclude_evacuated,
    is_evacuated,
)
from balsamshed.limits.admission import (
    OpeningRequest,
    ServiceLoad,
    admit_opening,
    can_repeat_soon,
    estimate_seconds,
    record_duration,
)
from balsamshed.limits.hedging import (
    Hedging,
    create_hedging,
    record_opened,
    record_taken_up,
)
from balsamshed.limits.verdicts import Admitted, Postponed
from balsamshed.peers.table import PeerTable
from balsamshed.placement.cold_starts import (
    ColdStarts,
    list_open_endpoints,
    may_open,
    record_cold_opening,
)
from balsamshed.placement.data_centres import (
    ServiceSpread,
    choose_data_centres,
)
from balsamshed.placement.in_flight import (
    EndpointLoadTracker,
    choose_least_loaded,
    get_requests_per_slot,
    record_answered_opening,
    record_unanswered_packet,
)
from balsamshed.placement.speeds import EndpointSpeeds
from balsamshed.random_numbers import RandBelow
from balsamshed.routes.table import Route, RouteTable, choose_newer
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions
from balsamshed.steering.overload import (
    OverloadControl,
    forget_services,
    learn_from_answer,
    learn_from_silence,
    review_opening,
    sample_candidates,
)
from balsamshed.steering.packets import (
    DropPacket,
    ExpectedLoad,
    FlowPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
    SteeringEffect,
)
from balsamshed.steering.path_loss import is_path_reliable, is_proven_since
from balsamshed.steering.requests import (
    LatencySample,
    PendingRequest,
    RequestStage,
    RequestTable,
    end_request,
    record_opening,
    record_repetition,
    track_packet,
)
from balsamshed.steering.response_times import (
    note_request_start,
    record_response_time,
)
from balsamshed.steering.unresponsive import (
    MIN_SUSPICIOUS_COPIES,
    find_unanswered_request,
    has_enough_copies,
    is_doubted_elsewhere,
)

#: Callers do not retransmit an opening packet sooner than this. A repeated one
#: that arrives earlier was duplicated by the network; a later one means that
#: the first was not answered.
MIN_RETRANSMISSION_SECONDS: Final = 0.1

#: Capacity of the queue of samples for the next scrape of the metrics.
MAX_LATENCY_SAMPLES: Final = 1000

_NOT_READY: Final = DropPacket('not_ready')
_NO_ROUTE: Final = ResetFlow('no_route')
_ROUTE_REMOVED: Final = ResetFlow('route_removed')
_NO_ENDPOINT: Final = ResetFlow('no_endpoint')
_EVACUATED: Final = ResetFlow('data_centre_evacuated')
_ENDPOINT_UNRESPONSIVE: Final = ResetFlow('endpoint_unresponsive')
_WARMING_UP: Final = ResetFlow('endpoints_warming_up')
_WAITS_FOR_WARM_UP: Final = DropPacket('waits_for_warm_up')
_UNKNOWN_ROUTE: Final = DropPacket('unknown_route')
_UNKNOWN_COOKIE: Final = DropPacket('unknown_cookie')


@dataclass(slots=True)
class Steering:
    """State of the packet path of one balancer.

    Attributes
    ----------
    directory : EndpointDirectory
        Known endpoints.
    requests : RequestTable
        Requests in flight.
    load_tracker : EndpointLoadTracker
        Load of endpoints; its `own_in_flight` is ``requests.counts``.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    routes : RouteTable
        Routes in force.
    removed_listeners : set of int
        Keys of listeners whose routes were removed by a newer version.
    service_loads : dict of str to ServiceLoad
        Durations and free slots of each service.
    latency_samples : deque of LatencySample
        Latest samples that the metrics have not yet read.
    evacuations : EvacuationState
        Data centres whose endpoints get no new flows.
    hedging : Hedging or None
        Budget and state of hedged openings; None where none are sent.
    options : EdgeOptions
        Optional parts that are switched on.
    cold_starts : ColdStarts or None
        Limits of the endpoints that are warming up; None if the part is off.
    overload : OverloadControl or None
        Limits of admission, if that part is on.
    speeds : EndpointSpeeds or None
        Speeds of endpoints; None if they are not balanced by speed.
    spreads : dict of str to ServiceSpread
        Load of each service by data centre, if data centres are balanced.
    reporting_data_centres : mapping of str to int
        Number of live peers by data centre.
    """

    directory: EndpointDirectory
    requests: RequestTable
    load_tracker: EndpointLoadTracker
    randbelow: RandBelow
    routes: RouteTable = field(default_factory=RouteTable)
    removed_listeners: set[int] = field(default_factory=set)
    service_loads: dict[str, ServiceLoad] = field(default_factory=dict)
    latency_samples: deque[LatencySample] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCY_SAMPLES),
    )
    evacuations: EvacuationState = field(default_factory=EvacuationState)
    hedging: Hedging | None = None
    options: EdgeOptions = NO_OPTIONS
    cold_starts: ColdStarts | None = None
    overload: OverloadControl | None = None
    speeds: EndpointSpeeds | None = None
    spreads: dict[str, ServiceSpread] = field(default_factory=dict)
    reporting_data_centres: Mapping[str, int] = field(default_factory=dict)


def create_steering(
    data_centre: str,
    flow_lifetime_seconds: float,
    peer_table: PeerTable,
    randbelow: RandBelow,
    options: EdgeOptions = NO_OPTIONS,
) -> Steering:
    """Create the state of a balancer without routes or endpoints.

    Parameters
    ----------
    data_centre : str
        Data centre of the balancer.
    flow_lifetime_seconds : float
        Longest life of a flow.
    peer_table : PeerTable
        Loads and suspicions that other balancers report.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    options : EdgeOptions
        Optional parts that are switched on.
    """
    directory = EndpointDirectory(flow_lifetime_seconds)
    requests = RequestTable()
    speeds = EndpointSpeeds() if options.balances_by_speed else None
    load_tracker = EndpointLoadTracker(
        data_centre,
        requests.counts,
        peer_table.in_flight,
        peer_table.suspecting_peers,
        relative_durations=(
            None if speeds is None else speeds.relative_durations
        ),
    )
    overload = None
    if options.limits_admission:
        overload = OverloadControl(
            directory, requests, load_tracker, peer_table
        )
    return Steering(
        directory,
        requests,
        load_tracker,
        randbelow,
        hedging=create_hedging(options.hedge_limit),
        options=options,
        cold_starts=(
            ColdStarts(options.cold_start_limit, peer_table.own_host)
            if options.cold_start_limit
            else None
        ),
        overload=overload,
        speeds=speeds,
        reporting_data_centres=peer_table.data_centres,
    )


def has_view(steering: Steering) -> bool:
    """Return whether routes are in force and endpoints were listed."""
    return steering.routes.version >= 0 and steering.directory.revision >= 0


def is_ready(steering: Steering) -> bool:
    """Return whether routes are in force and an endpoint takes new flows."""
    return has_view(steering) and bool(steering.directory.available_by_service)


def steer_packet(
    steering: Steering,
    packet: FlowPacket,
    now: float,
) -> SteeringEffect:
    """Decide whether to forward, reset or drop a caller's packet.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    packet : FlowPacket
        Decoded packet of the caller.
    now : float
        Monotonic seconds.

    Returns
    -------
    SteeringEffect
        Effect that the caller of this function must carry out.
    """
    route = steering.routes.routes.get(packet.listener)
    if route is None:
        return _classify_unrouted(steering, packet)
    if packet.kind is PacketKind.OPENING:
        return _open_flow(steering, packet, route, now)
    endpoint = find_on_route(steering, route, packet.cookie)
    if endpoint is None:
        # An earlier version may have sent new flows to another service, and
        # this balancer may have started since. An endpoint resets packets of
        # flows that it does not hold, so a forged cookie opens nothing.
        endpoint = find_endpoint_of_any_service(
            steering.directory, packet.cookie
        )
    if endpoint is None:
        return _UNKNOWN_COOKIE
    _track_request(steering, packet, route, endpoint, now)
    has_stopped = packet.kind is PacketKind.DATA and _review_endpoint(
        steering, packet, endpoint, now
    )
    if has_stopped and route.is_idempotent:
        end_request(steering.requests, packet.flow_key)
        return _ENDPOINT_UNRESPONSIVE
    return ForwardFlow(endpoint, packet.cookie)


def replace_routes(steering: Steering, table: RouteTable) -> bool:
    """Put a newer version of the routes in force.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    table : RouteTable
        Table of any version; unless it is newer than the one in force, it is
        ignored.

    Returns
    -------
    bool
        Whether the table was put in force.
    """
    previous = steering.routes
    if choose_newer(previous, table) is previous:
        return False
    steering.routes = table
    steering.removed_listeners.update(previous.routes)
    steering.removed_listeners.difference_update(table.routes)
    for service in steering.service_loads.keys() - table.services:
        del steering.service_loads[service]
    for service in steering.spreads.keys() - table.services:
        del steering.spreads[service]
    if steering.overload is not None:
        forget_services(steering.overload, table.services)
    return True


def _classify_unrouted(
    steering: Steering,
    packet: FlowPacket,
) -> SteeringEffect:
    if steering.routes.version < 0:
        # Routers may send packets before this balancer has a configuration.
        # The caller retransmits them, and another balancer may handle them.
        return _NOT_READY
    if packet.kind is PacketKind.OPENING:
        return _NO_ROUTE
    if packet.listener in steering.removed_listeners:
        return _ROUTE_REMOVED
    # Another balancer may have opened the flow under a newer configuration.
    return _UNKNOWN_ROUTE


def _open_flow(
    steering: Steering,
    packet: FlowPacket,
    route: Route,
    now: float,
) -> SteeringEffect:
    avoided_cookie = None
    previous = steering.requests.pending.get(packet.flow_key)
    if previous is not None and previous.stage is RequestStage.OPENING:
        if now - previous.started_at < MIN_RETRANSMISSION_SECONDS:
            duplicate = _forward_duplicate(steering, route, previous, now)
            if duplicate is not None:
                return duplicate
        elif packet.attempt:
            avoided_cookie = previous.cookie
            record_repetition(steering.requests, previous, now)
            is_proven = is_proven_since(
                steering.requests.path_loss, previous.started_at
            )
            record_unanswered_packet(
                steering.load_tracker,
                avoided_cookie,
                packet.flow_key if is_proven else None,
                now,
            )
    service = _choose_service(steering, route)
    if service is None:
        return _NO_ENDPOINT
    endpoint = choose_least_loaded(
        steering.load_tracker,
        _sample_candidates(steering, service, avoided_cookie, now),
        avoided_cookie,
        steering.randbelow,
        now,
    )
    if endpoint is None:
        return _refuse_without_candidates(steering, packet, route, service)
    refusal = _review_load(steering, packet, route, endpoint, now)
    if refusal is not None:
        return refusal
    cookie = endpoint.cookie
    _record_opening(steering, packet, cookie, now)
    return ForwardFlow(endpoint, cookie)


def _record_opening(
    steering: Steering, packet: FlowPacket, cookie: int, now: float
) -> None:
    if steering.cold_starts is not None:
        record_cold_opening(steering.cold_starts, cookie, now)
    if steering.hedging is not None:
        record_opened(steering.hedging)
    record_opening(
        steering.requests, packet.flow_key, cookie, now, packet.listener
    )


def _takes_new_flows(steering: Steering, endpoint: Endpoint) -> bool:
    if endpoint.is_draining:
        return False
    return not is_evacuated(steering.evacuations, endpoint)


def _forward_duplicate(
    steering: Steering, route: Route, request: PendingRequest, now: float
) -> ForwardFlow | DropPacket | None:
    """Forward a duplicated opening packet to the endpoint of the first one."""
    endpoint = find_on_route(steering, route, request.cookie)
    if endpoint is None or not _takes_new_flows(steering, endpoint):
        return None
    cold_starts = steering.cold_starts
    if cold_starts is not None:
        if not may_open(cold_starts, endpoint.cookie, now):
            return _WAITS_FOR_WARM_UP
        record_cold_opening(cold_starts, endpoint.cookie, now)
    return ForwardFlow(endpoint, request.cookie)


def list_candidates(
    steering: Steering, service: str, now: float
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a service that may take a flow now."""
    candidates = _list_permitted(steering, service)
    cold_starts = steering.cold_starts
    if cold_starts is None or not cold_starts.until:
        return candidates
    return list_open_endpoints(cold_starts, candidates, now)


def _sample_candidates(
    steering: Steering, service: str, avoided_cookie: int | None, now: float
) -> Sequence[Endpoint]:
    """Return the endpoints of which the least loaded one is chosen."""
    candidates: Sequence[Endpoint] = list_candidates(steering, service, now)
    # For a repeated opening, another data centre may have the only endpoint
    # that answers.
    if steering.options.balances_data_centres and avoided_cookie is None:
        candidates = choose_data_centres(
            steering.spreads.setdefault(service, ServiceSpread()),
            steering.load_tracker,
            candidates,
            steering.reporting_data_centres,
            steering.randbelow,
            now,
        )
    overload = steering.overload
    if overload is None:
        return candidates
    if avoided_cookie is not None:
        learn_from_silence(overload, service, now)
    return sample_candidates(
        overload, service, candidates, avoided_cookie, steering.randbelow, now
    )


def _list_permitted(steering: Steering, service: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of a service that operators allow to take flows."""
    available = list_available_endpoints(steering.directory, service)
    return exclude_evacuated(steering.evacuations, service, available)


def _refuse_without_candidates(
    steering: Steering, packet: FlowPacket, route: Route, service: str
) -> ResetFlow | DropPacket:
    if not list_available_endpoints(steering.directory, service):
        return _NO_ENDPOINT
    cold_starts = steering.cold_starts
    if cold_starts is None or not _list_permitted(steering, service):
        return _EVACUATED
    cold_starts.openings_withheld += 1
    if can_repeat_soon(packet.attempt, route.timeout_seconds):
        return _WAITS_FOR_WARM_UP
    return _WARMING_UP


def _review_load(
    steering: Steering,
    packet: FlowPacket,
    route: Route,
    endpoint: Endpoint,
    now: float,
) -> ResetFlow | DropPacket | None:
    """Return the refusal of a flow whose service is overloaded, or None."""
    service = endpoint.service
    if steering.overload is not None:
        return review_opening(
            steering.overload, service, packet, route, steering.routes, now
        )
    load = steering.service_loads.setdefault(service, ServiceLoad())
    opening = OpeningRequest(
        get_requests_per_slot(steering.load_tracker, endpoint),
        route.latency_goal_seconds,
        route.timeout_seconds,
        route.priority,
        packet.attempt,
    )
    verdict = admit_opening(load, opening, now)
    if isinstance(verdict, Admitted):
        return None
    expected = ExpectedLoad(
        opening.requests_per_slot,
        estimate_seconds(load, opening.requests_per_slot),
        route.latency_goal_seconds,
    )
    if isinstance(verdict, Postponed):
        return DropPacket(verdict.reason, expected)
    return ResetFlow(verdict.reason, expected)


def _choose_service(steering: Steering, route: Route) -> str | None:
    """Pick a service by weight; None if the weights are all zero."""
    total = sum(share.weight for share in route.shares)
    if not total:
        return None
    position = steering.randbelow(total)
    for share in route.shares:
        position -= share.weight
        if position < 0:
            break
    return share.service


def find_on_route(
    steering: Steering,
    route: Route,
    cookie: int,
) -> Endpoint | None:
    """Return the endpoint of a cookie among the services of a route."""
    for share in route.shares:
        endpoint = find_endpoint(steering.directory, share.service, cookie)
        if endpoint is not None:
            return endpoint
    return None


def _review_endpoint(
    steering: Steering,
    packet: FlowPacket,
    endpoint: Endpoint,
    now: float,
) -> bool:
    """Suspect the endpoint of a repeated request; tell if it has stopped."""
    flow_key = packet.flow_key
    request = find_unanswered_request(steering.requests, flow_key)
    if request is None:
        return False
    tracker = steering.load_tracker
    is_proven = request.proven_copies >= MIN_SUSPICIOUS_COPIES
    witness = flow_key if is_proven else None
    record_unanswered_packet(tracker, request.cookie, witness, now)
    if not has_enough_copies(request, now):
        return False
    path_loss, since = steering.requests.path_loss, request.proven_since
    if not is_path_reliable(path_loss, since, now):
        return False
    return is_doubted_elsewhere(
        steering.directory, tracker, endpoint, flow_key, request.started_at
    )


def _track_request(
    steering: Steering,
    packet: FlowPacket,
    route: Route,
    endpoint: Endpoint,
    now: float,
) -> None:
    cookie = packet.cookie
    speeds = steering.speeds
    request = None
    if speeds is not None:
        request = steering.requests.pending.get(packet.flow_key)
    sample = track_packet(steering.requests, packet, cookie, now)
    if speeds is not None:
        note_request_start(
            steering.requests, steering.load_tracker, packet, endpoint, now
        )
    if sample is None:
        return
    steering.latency_samples.append(sample)
    if sample.response_seconds is not None:
        service = endpoint.service
        _learn_from_answer(
            steering, service, route, sample, sample.response_seconds, now
        )
        if speeds is not None and request is not None:
            record_response_time(speeds, request, sample.response_seconds, now)
    if sample.connect_seconds is not None:
        record_answered_opening(steering.load_tracker, cookie)
        if steering.hedging is not None:
            record_taken_up(
                steering.hedging,
                packet.flow_key,
                cookie,
                sample.connect_seconds,
            )


def _learn_from_answer(
    steering: Steering,
    service: str,
    route: Route,
    sample: LatencySample,
    seconds: float,
    now: float,
) -> None:
    load = steering.service_loads.setdefault(service, ServiceLoad())
    record_duration(load, seconds)
    if steering.overload is not None:
        learn_from_answer(
            steering.overload, service, seconds, sample.answer_bytes, route, now
        )
