"""Durations of requests as samples of the speed of their endpoints."""

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.placement.in_flight import (
    EndpointLoadTracker,
    get_requests_per_slot,
)
from balsamshed.placement.speeds import (
    MAX_SAMPLED_REQUESTS_PER_SLOT,
    DurationSample,
    EndpointSpeeds,
    record_duration,
)
from balsamshed.steering.packets import FlowPacket
from balsamshed.steering.path_loss import is_path_lossy
from balsamshed.steering.requests import (
    PendingRequest,
    RequestStage,
    RequestTable,
)


def note_request_start(
    table: RequestTable,
    tracker: EndpointLoadTracker,
    packet: FlowPacket,
    endpoint: Endpoint,
    now: float,
) -> None:
    """Note the load that a request meets, if the packet began one.

    Parameters
    ----------
    table : RequestTable
        Requests in flight; the one of the packet's flow is changed in place.
    tracker : EndpointLoadTracker
        Load of the endpoints, with this request.
    packet : FlowPacket
        Packet that was just tracked.
    endpoint : Endpoint
        Endpoint of the flow.
    now : float
        Monotonic seconds.
    """
    request = table.pending.get(packet.flow_key)
    if request is None or request.requests_per_slot:
        return
    if request.stage is not RequestStage.AWAITING_ANSWER:
        return
    request.requests_per_slot = get_requests_per_slot(tracker, endpoint)
    if tracker.warm_until.get(endpoint.cookie, 0) > now:
        # Cold endpoints have a penalty of their own.
        request.requests_per_slot = float('inf')


def record_response_time(
    speeds: EndpointSpeeds,
    request: PendingRequest,
    seconds: float,
    now: float,
) -> None:
    """Record the duration of an answered request.

    Repeated requests are left out: their duration is that of the loss.
    """
    if request.copies == 1:
        _record(speeds, request, seconds, now)


def record_missing_answer(
    speeds: EndpointSpeeds,
    table: RequestTable,
    request: PendingRequest,
    now: float,
) -> None:
    """Record a request that was given up as one that took as long.

    Otherwise an endpoint too slow to answer in time would have no durations.
    """
    if request.stage is not RequestStage.AWAITING_ANSWER:
        return
    if not is_path_lossy(table.path_loss, now):
        _record(speeds, request, now - request.started_at, now)


def _record(
    speeds: EndpointSpeeds,
    request: PendingRequest,
    seconds: float,
    now: float,
) -> None:
    if request.requests_per_slot > MAX_SAMPLED_REQUESTS_PER_SLOT:
        return
    sample = DurationSample(
        request.cookie, request.listener, seconds, request.requests_per_slot
    )
    record_duration(speeds, sample, now)
