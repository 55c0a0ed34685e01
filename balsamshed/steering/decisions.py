"""Steering decisions: where to send each packet of a caller."""

from typing import Final

from balsamshed.endpoints.directory import (
    find_endpoint_of_any_service,
)
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.limits.admission import (
    ServiceLoad,
    record_duration,
)
from balsamshed.limits.hedging import (
    record_taken_up,
)
from balsamshed.placement.in_flight import (
    record_answered_opening,
    record_unanswered_packet,
)
from balsamshed.routes.table import Route
from balsamshed.steering.openings import find_on_route, open_flow
from balsamshed.steering.overload import (
    learn_from_answer,
)
from balsamshed.steering.packets import (
    DropPacket,
    FlowPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
    SteeringEffect,
)
from balsamshed.steering.path_loss import is_path_reliable
from balsamshed.steering.requests import (
    LatencySample,
    end_request,
    track_packet,
)
from balsamshed.steering.response_times import (
    note_request_start,
    record_response_time,
)
from balsamshed.steering.state import Steering
from balsamshed.steering.unresponsive import (
    MIN_SUSPICIOUS_COPIES,
    find_unanswered_request,
    has_enough_copies,
    is_doubted_elsewhere,
)

_NOT_READY: Final = DropPacket('not_ready')
_NO_ROUTE: Final = ResetFlow('no_route')
_ROUTE_REMOVED: Final = ResetFlow('route_removed')
_ENDPOINT_UNRESPONSIVE: Final = ResetFlow('endpoint_unresponsive')
_UNKNOWN_ROUTE: Final = DropPacket('unknown_route')
_UNKNOWN_COOKIE: Final = DropPacket('unknown_cookie')


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
        return open_flow(steering, packet, route, now)
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
