"""Decisions about opening packets: which endpoint gets a new flow, if any."""

from collections.abc import Sequence
from typing import Final

from balsamshed.endpoints.directory import (
    find_endpoint,
    list_available_endpoints,
)
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.state import (
    exclude_evacuated,
    is_evacuated,
)
from balsamshed.limits.admission import (
    OpeningRequest,
    ServiceLoad,
    admit_opening,
    can_repeat_soon,
    estimate_seconds,
)
from balsamshed.limits.hedging import (
    record_opened,
)
from balsamshed.limits.verdicts import Admitted, Postponed
from balsamshed.placement.cold_starts import (
    list_open_endpoints,
    may_open,
    record_cold_opening,
)
from balsamshed.placement.data_centres import (
    ServiceSpread,
    choose_data_centres,
)
from balsamshed.placement.in_flight import (
    choose_least_loaded,
    get_requests_per_slot,
    record_unanswered_packet,
)
from balsamshed.routes.table import Route
from balsamshed.steering.overload import (
    learn_from_silence,
    review_opening,
    sample_candidates,
)
from balsamshed.steering.packets import (
    DropPacket,
    ExpectedLoad,
    FlowPacket,
    ForwardFlow,
    ResetFlow,
    SteeringEffect,
)
from balsamshed.steering.path_loss import is_proven_since
from balsamshed.steering.requests import (
    PendingRequest,
    RequestStage,
    record_opening,
    record_repetition,
)
from balsamshed.steering.state import Steering

#: Callers do not retransmit an opening packet sooner than this. A repeated one
#: that arrives earlier was duplicated by the network; a later one means that
#: the first was not answered.
MIN_RETRANSMISSION_SECONDS: Final = 0.1

_NO_ENDPOINT: Final = ResetFlow('no_endpoint')
_EVACUATED: Final = ResetFlow('data_centre_evacuated')
_WARMING_UP: Final = ResetFlow('endpoints_warming_up')
_WAITS_FOR_WARM_UP: Final = DropPacket('waits_for_warm_up')


def open_flow(
    steering: Steering,
    packet: FlowPacket,
    route: Route,
    now: float,
) -> SteeringEffect:
    """Decide where a new flow goes, or whether it is refused.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    packet : FlowPacket
        Opening packet.
    route : Route
        Route of the packet.
    now : float
        Monotonic seconds.

    Returns
    -------
    SteeringEffect
        Effect that the caller of this function must carry out.
    """
    avoided_cookie = None
    previous = steering.requests.pending.get(packet.flow_key)
    if previous is not None and previous.stage is RequestStage.OPENING:
        if now - previous.started_at < MIN_RETRANSMISSION_SECONDS:
            duplicate = _forward_duplicate(steering, route, previous, now)
            if duplicate is not None:
                return duplicate
        elif packet.attempt:
            avoided_cookie = previous.cookie
            _record_silence(steering, packet, route, previous, now)
    service = _choose_service(steering, route)
    if service is None:
        return _NO_ENDPOINT
    endpoint = choose_least_loaded(
        steering.load_tracker,
        _narrow_candidates(steering, service, avoided_cookie, now),
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


def _record_silence(
    steering: Steering,
    packet: FlowPacket,
    route: Route,
    request: PendingRequest,
    now: float,
) -> None:
    """Record that the endpoint of a repeated opening left it unanswered."""
    cookie = request.cookie
    record_repetition(steering.requests, request, now)
    is_proven = is_proven_since(steering.requests.path_loss, request.started_at)
    record_unanswered_packet(
        steering.load_tracker,
        cookie,
        packet.flow_key if is_proven else None,
        now,
    )
    silent = find_on_route(steering, route, cookie)
    if silent is not None and steering.overload is not None:
        learn_from_silence(steering.overload, silent.service, now)


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


def _narrow_candidates(
    steering: Steering, service: str, avoided_cookie: int | None, now: float
) -> Sequence[Endpoint]:
    """Return the candidates that placement compares.

    They are chosen by data centre, then by overload.
    """
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
