"""Requests in flight, as the packets of callers show them.

Endpoints answer callers directly, so a balancer sees only one direction: the
opening packet and the data of a request start it, and the first
acknowledgement of more data from the endpoint, or the end of the flow, shows
that the endpoint has answered.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from balsamshed.steering.packets import FlowPacket, PacketKind

#: Requests that started longer ago are not counted any more: the caller gave
#: up, or its packets reach another balancer.
REQUEST_LIFETIME_SECONDS: Final = 2.0
#: Requests that are counted at most, 10 MB; the oldest are forgotten.
MOST_PENDING: Final = 50_000

_SEQUENCE_MASK: Final = 0xFFFFFFFF
_HALF_SEQUENCE: Final = 1 << 31


class Progress(StrEnum):
    """How far a request has got."""

    OPENING = 'opening'
    OPENED = 'opened'
    AWAITING_ANSWER = 'awaiting_answer'


@dataclass(slots=True)
class PendingRequest:
    """A request that has not been answered as far as this balancer knows.

    Attributes
    ----------
    cookie : int
        Cookie of the endpoint that has it.
    progress : Progress
        How far it has got.
    since : float
        Monotonic seconds of the opening packet or of the request's data.
    acknowledged : int
        What the caller had acknowledged when it sent the request.
    """

    cookie: int
    progress: Progress
    since: float
    acknowledged: int = 0


@dataclass(frozen=True, slots=True)
class Observation:
    """What a packet shows about an endpoint.

    Parameters
    ----------
    cookie : int
        Cookie of the endpoint.
    opened_after_seconds : float or None
        Time from the opening packet to the caller's next one.
    answered_after_seconds : float or None
        Time from the request to its answer.
    """

    cookie: int
    opened_after_seconds: float | None = None
    answered_after_seconds: float | None = None


@dataclass(slots=True)
class RequestTable:
    """Requests in flight that this balancer has seen.

    Attributes
    ----------
    pending : dict of bytes to PendingRequest
        By flow key, in the order of their start.
    counts : dict of int to int
        Pending requests of each endpoint, by cookie.
    """

    pending: dict[bytes, PendingRequest] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)


def start_opening(
    table: RequestTable,
    flow_key: bytes,
    cookie: int,
    now: float,
) -> None:
    """Note that an opening packet was sent to an endpoint."""
    end_request(table, flow_key)
    _add_request(
        table,
        flow_key,
        PendingRequest(cookie, Progress.OPENING, now),
    )


def observe_packet(
    table: RequestTable,
    packet: FlowPacket,
    cookie: int,
    now: float,
) -> Observation | None:
    """Follow a packet of an open flow.

    Parameters
    ----------
    table : RequestTable
        Changed in place.
    packet : FlowPacket
        Any packet but an opening one.
    cookie : int
        Cookie of the flow's endpoint.
    now : float
        Monotonic seconds.

    Returns
    -------
    Observation or None
        What the packet shows about the endpoint, if anything.
    """
    request = table.pending.get(packet.flow_key)
    if request is None:
        if packet.kind is PacketKind.DATA:
            _await_answer(table, packet, cookie, now)
        return None
    if request.progress is Progress.AWAITING_ANSWER:
        return _observe_answer(table, packet, request, now)
    opened_after = None
    if request.progress is Progress.OPENING:
        opened_after = now - request.since
        request.progress = Progress.OPENED
    if packet.kind is PacketKind.CLOSING:
        end_request(table, packet.flow_key)
    elif packet.kind is PacketKind.DATA:
        end_request(table, packet.flow_key)
        _await_answer(table, packet, cookie, now)
    if opened_after is None:
        return None
    return Observation(cookie, opened_after_seconds=opened_after)


def end_request(table: RequestTable, flow_key: bytes) -> None:
    """Forget the request of a flow, if there is one."""
    request = table.pending.pop(flow_key, None)
    if request is None:
        return
    count = table.counts.get(request.cookie, 0) - 1
    if count > 0:
        table.counts[request.cookie] = count
    else:
        table.counts.pop(request.cookie, None)


def expire_requests(
    table: RequestTable,
    now: float,
) -> tuple[tuple[bytes, PendingRequest], ...]:
    """Forget requests that started too long ago.

    Parameters
    ----------
    table : RequestTable
        Changed in place.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of (bytes, PendingRequest)
        Flow keys and requests that were forgotten.
    """
    expired: list[tuple[bytes, PendingRequest]] = []
    for flow_key, request in table.pending.items():
        if now - request.since <= REQUEST_LIFETIME_SECONDS:
            break
        expired.append((flow_key, request))
    for flow_key, _ in expired:
        end_request(table, flow_key)
    return tuple(expired)


def _observe_answer(
    table: RequestTable,
    packet: FlowPacket,
    request: PendingRequest,
    now: float,
) -> Observation | None:
    advance = (packet.acknowledged - request.acknowledged) & _SEQUENCE_MASK
    is_answered = 0 < advance < _HALF_SEQUENCE
    if not is_answered and packet.kind is not PacketKind.CLOSING:
        return None
    end_request(table, packet.flow_key)
    if packet.kind is PacketKind.DATA:
        # The next request of the flow; its data acknowledges the answer.
        _await_answer(table, packet, request.cookie, now)
        return None
    if not is_answered:
        return None
    return Observation(
        request.cookie,
        answered_after_seconds=now - request.since,
    )


def _await_answer(
    table: RequestTable,
    packet: FlowPacket,
    cookie: int,
    now: float,
) -> None:
    request = PendingRequest(
        cookie,
        Progress.AWAITING_ANSWER,
        now,
        packet.acknowledged,
    )
    _add_request(table, packet.flow_key, request)


def _add_request(
    table: RequestTable,
    flow_key: bytes,
    request: PendingRequest,
) -> None:
    if len(table.pending) >= MOST_PENDING:
        end_request(table, next(iter(table.pending)))
    table.pending[flow_key] = request
    counts = table.counts
    counts[request.cookie] = counts.get(request.cookie, 0) + 1
