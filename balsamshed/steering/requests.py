"""Tracking of requests in flight from the packets of callers.

Endpoints answer callers directly (direct server return), so a balancer sees
only the packets from callers. An opening packet or the data of a request
starts a request. The first acknowledgement of further data from the endpoint,
or the end of the flow, completes it.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from balsamshed.steering.packets import FlowPacket, PacketKind
from balsamshed.steering.path_loss import (
    PathLoss,
    is_proven_since,
    record_answer,
    record_loss,
    record_proof,
)

#: Older requests are no longer counted: the caller has given up, or its
#: packets reach another balancer.
REQUEST_LIFETIME_SECONDS: Final = 2.0
#: Copies of a request that arrive sooner were duplicated by the network, or
#: queued in the socket; callers do not retransmit sooner than after 200 ms.
MIN_COPY_INTERVAL_SECONDS: Final = 0.1
#: Bounds the table to 10 MB; beyond it the oldest requests are evicted.
MAX_PENDING_REQUESTS: Final = 50_000

_SEQUENCE_MASK: Final = 0xFFFFFFFF
_HALF_SEQUENCE: Final = 1 << 31


class RequestStage(StrEnum):
    """Stage of a request in flight, as seen by this balancer."""

    OPENING = 'opening'
    OPENED = 'opened'
    AWAITING_ANSWER = 'awaiting_answer'


@dataclass(slots=True)
class PendingRequest:
    """Request without an observed answer.

    Attributes
    ----------
    cookie : int
        Cookie of the endpoint that the request was sent to.
    stage : RequestStage
        Stage that the request has reached.
    started_at : float
        Monotonic time of the opening packet or of the request's data.
    acknowledged, sequence : int
        Acknowledgement number and sequence number of the packet that carried
        the request.
    copies : int
        Number of times that the caller has sent this packet.
    last_copy_at : float
        Monotonic time of the last copy.
    proven_copies : int
        Copies that show something about the endpoint: between each of them and
        the next, the way to other endpoints worked.
    proven_since : float
        Monotonic time of the first of these copies.
    listener : int
        Key of the listener that the flow was opened to.
    requests_per_slot : float
        Requests in flight for each slot of the endpoint when the request
        began, if durations are compared; zero until they are counted.
    """

    cookie: int
    stage: RequestStage
    started_at: float
    acknowledged: int = 0
    sequence: int = 0
    copies: int = 1
    last_copy_at: float = 0
    proven_copies: int = 1
    proven_since: float = 0
    listener: int = 0
    requests_per_slot: float = 0


@dataclass(frozen=True, slots=True)
class LatencySample:
    """Latency of an endpoint, derived from the packets of a caller.

    Parameters
    ----------
    cookie : int
        Cookie of the endpoint.
    connect_seconds : float or None
        Time from the opening packet to the caller's next packet.
    response_seconds : float or None
        Time from the request to the acknowledgement of its answer.
    answer_bytes : int
        Bytes of the answer that this acknowledgement covers.
    """

    cookie: int
    connect_seconds: float | None = None
    response_seconds: float | None = None
    answer_bytes: int = 0


@dataclass(slots=True)
class RequestTable:
    """Requests in flight whose packets passed through this balancer.

    Attributes
    ----------
    pending : dict of bytes to PendingRequest
        Requests by flow key, in the order of their start.
    counts : dict of int to int
        Number of pending requests of each endpoint, by cookie.
    listener_counts : dict of int to int
        Number of pending requests of each listener, by its key.
    answered_at : dict of int to float
        Monotonic time at which an endpoint last answered an opening packet or
        a request, by cookie.
    path_loss : PathLoss
        Losses of packets on the way to endpoints that run.
    """

    pending: dict[bytes, PendingRequest] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)
    listener_counts: dict[int, int] = field(default_factory=dict)
    answered_at: dict[int, float] = field(default_factory=dict)
    path_loss: PathLoss = field(default_factory=PathLoss)


def record_opening(
    table: RequestTable,
    flow_key: bytes,
    cookie: int,
    now: float,
    listener: int = 0,
) -> None:
    """Record that an opening packet was forwarded to an endpoint."""
    previous = table.pending.get(flow_key)
    is_repeated = (
        previous is not None and previous.stage is RequestStage.OPENING
    )
    end_request(table, flow_key)
    request = PendingRequest(
        cookie, RequestStage.OPENING, now, listener=listener
    )
    if is_repeated:
        request.copies += 1
    _add_request(table, flow_key, request)


def track_packet(
    table: RequestTable,
    packet: FlowPacket,
    cookie: int,
    now: float,
) -> LatencySample | None:
    """Update the request of a flow from a packet of the open flow.

    Parameters
    ----------
    table : RequestTable
        Changed in place.
    packet : FlowPacket
        Any packet except an opening packet.
    cookie : int
        Cookie of the flow's endpoint.
    now : float
        Monotonic seconds.

    Returns
    -------
    LatencySample or None
        Latency of the endpoint if the packet completes a measurement.
    """
    request = table.pending.get(packet.flow_key)
    if request is None:
        if packet.kind is PacketKind.DATA:
            _record_request(table, packet, cookie, now)
        return None
    if request.stage is RequestStage.AWAITING_ANSWER:
        return _track_answer(table, packet, request, now)
    connect_seconds = None
    if request.stage is RequestStage.OPENING:
        connect_seconds = now - request.started_at
        request.stage = RequestStage.OPENED
        table.answered_at[cookie] = now
        _record_proof(table, request)
        _move_request(table, request, cookie)
    if packet.kind is PacketKind.CLOSING:
        end_request(table, packet.flow_key)
    elif packet.kind is PacketKind.DATA:
        end_request(table, packet.flow_key)
        _record_request(table, packet, cookie, now)
    if connect_seconds is None:
        return None
    return LatencySample(cookie, connect_seconds=connect_seconds)


def _move_request(
    table: RequestTable, request: PendingRequest, cookie: int
) -> None:
    """Count a request at the endpoint that has answered its opening."""
    if request.cookie == cookie:
        return
    _decrement(table.counts, request.cookie)
    table.counts[cookie] = table.counts.get(cookie, 0) + 1
    request.cookie = cookie


def end_request(table: RequestTable, flow_key: bytes) -> None:
    """Remove the pending request of a flow, if there is one."""
    request = table.pending.pop(flow_key, None)
    if request is None:
        return
    _decrement(table.counts, request.cookie)
    _decrement(table.listener_counts, request.listener)


def record_repetition(
    table: RequestTable,
    request: PendingRequest,
    now: float,
) -> None:
    """Record a loss if the endpoint of a repeated packet answered others.

    Parameters
    ----------
    table : RequestTable
        Changed in place.
    request : PendingRequest
        Request or opening that the caller has repeated.
    now : float
        Monotonic seconds.
    """
    answered_at = table.answered_at.get(request.cookie)
    if answered_at is not None and answered_at >= request.started_at:
        record_loss(table.path_loss, now)


def expire_requests(
    table: RequestTable,
    now: float,
) -> tuple[tuple[bytes, PendingRequest], ...]:
    """Remove requests older than `REQUEST_LIFETIME_SECONDS`.

    Parameters
    ----------
    table : RequestTable
        Changed in place.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of (bytes, PendingRequest)
        Flow keys and requests that were removed.
    """
    expired: list[tuple[bytes, PendingRequest]] = []
    for flow_key, request in table.pending.items():
        if now - request.started_at <= REQUEST_LIFETIME_SECONDS:
            break
        expired.append((flow_key, request))
    for flow_key, _ in expired:
        end_request(table, flow_key)
    return tuple(expired)


def _decrement(counts: dict[int, int], key: int) -> None:
    count = counts.get(key, 0) - 1
    if count > 0:
        counts[key] = count
    else:
        counts.pop(key, None)


def _track_answer(
    table: RequestTable,
    packet: FlowPacket,
    request: PendingRequest,
    now: float,
) -> LatencySample | None:
    advance = (packet.acknowledged - request.acknowledged) & _SEQUENCE_MASK
    is_answered = 0 < advance < _HALF_SEQUENCE
    if is_answered:
        table.answered_at[request.cookie] = now
        record_answer(table.path_loss, now)
        _record_proof(table, request)
        if request.copies > 1:
            record_loss(table.path_loss, now)
    elif packet.kind is not PacketKind.CLOSING:
        _record_copy(table, packet, request, now)
        return None
    end_request(table, packet.flow_key)
    if packet.kind is PacketKind.DATA:
        # The next request of the flow acknowledges the answer to the previous
        # one.
        _record_request(table, packet, request.cookie, now)
        return None
    if not is_answered:
        return None
    return LatencySample(
        request.cookie,
        response_seconds=now - request.started_at,
        answer_bytes=advance,
    )


def _record_copy(
    table: RequestTable,
    packet: FlowPacket,
    request: PendingRequest,
    now: float,
) -> None:
    is_copy = (
        packet.kind is PacketKind.DATA
        and packet.sequence == request.sequence
        and now - request.last_copy_at >= MIN_COPY_INTERVAL_SECONDS
    )
    if is_copy:
        request.copies += 1
        _update_proven_copies(table, request, now)
        request.last_copy_at = now
        record_repetition(table, request, now)


def _update_proven_copies(
    table: RequestTable,
    request: PendingRequest,
    now: float,
) -> None:
    if is_proven_since(table.path_loss, request.last_copy_at):
        request.proven_copies += 1
    else:
        request.proven_copies = 1
        request.proven_since = now


def _record_proof(table: RequestTable, request: PendingRequest) -> None:
    # The answer to a repeated packet may belong to any of its copies.
    if request.copies == 1:
        record_proof(table.path_loss, request.started_at)


def _record_request(
    table: RequestTable,
    packet: FlowPacket,
    cookie: int,
    now: float,
) -> None:
    request = PendingRequest(
        cookie,
        RequestStage.AWAITING_ANSWER,
        now,
        packet.acknowledged,
        packet.sequence,
        last_copy_at=now,
        proven_since=now,
        listener=packet.listener,
    )
    _add_request(table, packet.flow_key, request)


def _add_request(
    table: RequestTable,
    flow_key: bytes,
    request: PendingRequest,
) -> None:
    if len(table.pending) >= MAX_PENDING_REQUESTS:
        end_request(table, next(iter(table.pending)))
    table.pending[flow_key] = request
    counts = table.counts
    counts[request.cookie] = counts.get(request.cookie, 0) + 1
    counts = table.listener_counts
    counts[request.listener] = counts.get(request.listener, 0) + 1
