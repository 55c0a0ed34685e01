"""Openings that are sent to a second endpoint.

Only the opening packet is sent twice, and only on idempotent routes: a caller
completes one of two handshakes, and an endpoint runs nothing before that. The
caller's later packets name the endpoint whose answer it took.
"""

from enum import StrEnum
from typing import Final, TypeGuard

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.limits.hedging import (
    SILENCE_SECONDS,
    Hedging,
    SentHedge,
    may_send_hedge,
    record_sent,
    take_silent,
)
from balsamshed.placement.cold_starts import record_cold_opening
from balsamshed.placement.in_flight import (
    choose_least_loaded,
    get_requests_per_slot,
    is_suspected,
    record_unanswered_packet,
)
from balsamshed.steering.openings import find_on_route, list_candidates
from balsamshed.steering.packets import FlowPacket, ForwardFlow
from balsamshed.steering.path_loss import is_path_lossy
from balsamshed.steering.requests import PendingRequest, RequestStage
from balsamshed.steering.state import Steering

#: An endpoint that has not answered for this long may no longer listen.
#: Its reset would end an opening that the first endpoint is about to answer.
PROOF_SECONDS: Final = 30.0
#: Requests in flight for each slot from which an endpoint gets no hedge: the
#: extra work must not delay requests of other callers.
MAX_REQUESTS_PER_SLOT: Final = 1.0


class WithheldHedge(StrEnum):
    """Sentinel for an opening that is not hedged, with the reason."""

    OVER_LIMIT = 'over_limit'
    PATH_LOSSY = 'path_lossy'
    NO_OTHER_ENDPOINT = 'no_other_endpoint'
    ENDPOINTS_BUSY = 'endpoints_busy'


def get_hedge_delay(steering: Steering, packet: FlowPacket) -> float | None:
    """Return the time after which to hedge an opening; None for never.

    Parameters
    ----------
    steering : Steering
        State of the packet path.
    packet : FlowPacket
        Opening packet that was forwarded. A repeated one goes to another
        endpoint already.
    """
    hedging = steering.hedging
    if hedging is None or packet.attempt:
        return None
    route = steering.routes.routes.get(packet.listener)
    if route is None or not route.is_idempotent:
        return None
    return hedging.delay_seconds


def hedge_opening(
    steering: Steering, packet: FlowPacket, now: float
) -> ForwardFlow | WithheldHedge | None:
    """Decide whether to send an opening to a second endpoint.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    packet : FlowPacket
        Opening packet that was forwarded some time ago.
    now : float
        Monotonic seconds.

    Returns
    -------
    ForwardFlow, WithheldHedge or None
        None if the opening was taken up or repeated meanwhile, or is about to
        be repeated.
    """
    hedging = steering.hedging
    request = steering.requests.pending.get(packet.flow_key)
    if hedging is None or not _is_waiting(request, hedging, packet, now):
        return None
    if not may_send_hedge(hedging):
        return WithheldHedge.OVER_LIMIT
    if is_path_lossy(steering.requests.path_loss, now):
        # More packets would fill the balancer's own link further.
        return WithheldHedge.PATH_LOSSY
    return _send_to_second(steering, hedging, packet, request, now)


def _send_to_second(
    steering: Steering,
    hedging: Hedging,
    packet: FlowPacket,
    request: PendingRequest,
    now: float,
) -> ForwardFlow | WithheldHedge:
    second = _choose_second(steering, packet, request.cookie, now)
    if second is None:
        return WithheldHedge.NO_OTHER_ENDPOINT
    load = get_requests_per_slot(steering.load_tracker, second)
    if load >= MAX_REQUESTS_PER_SLOT:
        return WithheldHedge.ENDPOINTS_BUSY
    cookie = second.cookie
    if steering.cold_starts is not None:
        record_cold_opening(steering.cold_starts, cookie, now)
    record_sent(
        hedging,
        SentHedge(packet.flow_key, request.cookie, cookie, request.started_at),
    )
    return ForwardFlow(second, cookie)


def review_hedges(steering: Steering, now: float) -> tuple[SentHedge, ...]:
    """Suspect endpoints that left an opening to a hedge, and stayed silent.

    Without the hedge, the caller's repetition would have shown as much.

    Returns
    -------
    tuple of SentHedge
        Hedges that were answered first, once for each.
    """
    if steering.hedging is None:
        return ()
    won = take_silent(steering.hedging, now)
    answered_at = steering.requests.answered_at
    for hedge in won:
        last_answer_at = answered_at.get(hedge.first_cookie)
        if last_answer_at is None or last_answer_at < hedge.opened_at:
            record_unanswered_packet(
                steering.load_tracker, hedge.first_cookie, hedge.flow_key, now
            )
    return won


def _is_waiting(
    request: PendingRequest | None,
    hedging: Hedging,
    packet: FlowPacket,
    now: float,
) -> TypeGuard[PendingRequest]:
    if request is None or request.stage is not RequestStage.OPENING:
        return False
    if packet.flow_key in hedging.sent or request.copies > 1:
        return False
    return now - request.started_at < SILENCE_SECONDS


def _choose_second(
    steering: Steering, packet: FlowPacket, first_cookie: int, now: float
) -> Endpoint | None:
    """Choose the least loaded other endpoint that has answered lately."""
    route = steering.routes.routes.get(packet.listener)
    first = (
        None if route is None else find_on_route(steering, route, first_cookie)
    )
    if first is None:
        return None
    answered_at = steering.requests.answered_at
    since = now - PROOF_SECONDS
    proved = [
        endpoint
        for endpoint in list_candidates(steering, first.service, now)
        if answered_at.get(endpoint.cookie, since) > since
        and endpoint.cookie != first_cookie
        and not is_suspected(steering.load_tracker, endpoint.cookie, now)
    ]
    return choose_least_loaded(
        steering.load_tracker, proved, None, steering.randbelow, now
    )
