"""State machine of one end of a TCP connection (RFC 9293), without I/O.

Options, congestion control, selective acknowledgement and fast retransmission
are not implemented. Times are seconds of a monotonic clock.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from balsamshed.flows.packets import TcpFlag
from testbed.packets import (
    WINDOW_BYTES,
    Segment,
    add_sequence,
    build_reset,
    get_sequence_distance,
    get_sequence_length,
)

#: Maximum payload of a segment.
MAX_SEGMENT_BYTES: Final = 1200
#: Maximum number of unacknowledged segments; more overflow receive buffers.
MAX_SEGMENTS_IN_FLIGHT: Final = 16
#: Retransmission timeout after the first transmission; it doubles each time.
INITIAL_TIMEOUT_SECONDS: Final = 0.2
#: Transmissions of a segment after which the connection times out.
MAX_TRANSMISSIONS: Final = 8
#: How long a closed connection acknowledges a retransmitted FIN: longer than
#: the 51 s in which the other end retransmits it.
TIME_WAIT_SECONDS: Final = 60

_FIN: Final = int(TcpFlag.FIN)
_SYN: Final = int(TcpFlag.SYN)
_RST: Final = int(TcpFlag.RST)
_ACK: Final = int(TcpFlag.ACK)
_SYN_ACK: Final = _SYN | _ACK
_FIN_ACK: Final = _FIN | _ACK


class ConnectionState(IntEnum):
    """State of a connection."""

    SYN_SENT = 1
    SYN_RECEIVED = 2
    ESTABLISHED = 3
    # Both ends sent FIN, and each FIN was acknowledged.
    TIME_WAIT = 4
    CLOSED = 5


class EndReason(IntEnum):
    """Why a connection ended."""

    FINISHED = 1
    # Reset before the handshake was complete.
    REFUSED = 2
    RESET = 3
    # A segment was sent MAX_TRANSMISSIONS times without an acknowledgement.
    TIMED_OUT = 4


@dataclass(frozen=True, slots=True)
class Connected:
    """The handshake is complete."""


@dataclass(frozen=True, slots=True)
class DataReceived:
    """Data was received in order.

    Parameters
    ----------
    payload : bytes
        Received data, at least one byte.
    """

    payload: bytes


@dataclass(frozen=True, slots=True)
class FinReceived:
    """All data and the FIN of the remote end were received."""


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The connection ended; neither end sends data any more.

    Parameters
    ----------
    reason : EndReason
        Why it ended.
    """

    reason: EndReason


@dataclass(frozen=True, slots=True)
class HandshakeMismatched:
    """The handshake was acknowledged with another server's sequence number."""


Event = (
    Connected
    | DataReceived
    | FinReceived
    | ConnectionEnded
    | HandshakeMismatched
)


@dataclass(frozen=True, slots=True)
class StepResult:
    """Result of a step of the state machine.

    Parameters
    ----------
    segments : tuple of Segment
        Segments to send, in this order.
    events : tuple of Event
        Events for the user of the connection, in this order.
    """

    segments: tuple[Segment, ...] = ()
    events: tuple[Event, ...] = ()


@dataclass(slots=True)
class Connection:
    """One end of a connection.

    Attributes
    ----------
    local, remote : tuple of (int, int)
        IPv4 address and port of each end.
    state : ConnectionState
        State of the connection.
    initial_sequence : int
        Sequence number of the local SYN.
    remote_initial_sequence : int
        Sequence number of the remote SYN; zero until it is known.
    send_next, receive_next : int
        Next sequence numbers to send and to receive.
    unacknowledged : deque of Segment
        Sent segments that occupy sequence numbers, oldest first.
    send_buffer : bytearray
        Data that waits until fewer segments are unacknowledged.
    fin_requested : bool
        Whether FIN is sent after the buffered data.
    fin_sent, fin_received : bool
        Whether FIN was sent and received.
    out_of_order : dict of int to bytes
        Payloads received out of order, keyed by their sequence number.
    remote_fin_sequence : int or None
        Sequence number of the remote FIN, once known.
    transmissions : int
        Number of transmissions of the oldest unacknowledged segment.
    deadline : float or None
        When `handle_connection_timeout` has to be called.
    """

    local: tuple[int, int]
    remote: tuple[int, int]
    state: ConnectionState
    initial_sequence: int
    remote_initial_sequence: int = 0
    send_next: int = 0
    receive_next: int = 0
    unacknowledged: deque[Segment] = field(default_factory=deque)
    send_buffer: bytearray = field(default_factory=bytearray)
    fin_requested: bool = False
    fin_sent: bool = False
    fin_received: bool = False
    out_of_order: dict[int, bytes] = field(default_factory=dict)
    remote_fin_sequence: int | None = None
    transmissions: int = 0
    deadline: float | None = None


def open_connection(
    local: tuple[int, int],
    remote: tuple[int, int],
    initial_sequence: int,
    now: float,
) -> tuple[Connection, StepResult]:
    """Start a handshake.

    Parameters
    ----------
    local, remote : tuple of (int, int)
        IPv4 address and port of each end.
    initial_sequence : int
        Random number below 2**32.
    now : float
        Current time in seconds.

    Returns
    -------
    tuple of (Connection, StepResult)
        The new connection, and its SYN.
    """
    connection = Connection(
        local, remote, ConnectionState.SYN_SENT, initial_sequence
    )
    connection.send_next = initial_sequence
    return connection, StepResult((_send(connection, _SYN, b'', now),))


def accept_connection(
    segment: Segment,
    initial_sequence: int,
    now: float,
) -> tuple[Connection, StepResult]:
    """Answer a SYN with SYN and ACK.

    Parameters
    ----------
    segment : Segment
        The SYN.
    initial_sequence : int
        Random number below 2**32, so that two servers that receive the same
        SYN use different ones.
    now : float
        Current time in seconds.

    Returns
    -------
    tuple of (Connection, StepResult)
        The new connection, and its SYN-ACK.
    """
    connection = Connection(
        (segment.destination, segment.destination_port),
        (segment.source, segment.source_port),
        ConnectionState.SYN_RECEIVED,
        initial_sequence,
        remote_initial_sequence=segment.sequence,
    )
    connection.send_next = initial_sequence
    connection.receive_next = add_sequence(segment.sequence, 1)
    return connection, StepResult((_send(connection, _SYN_ACK, b'', now),))


def is_open(connection: Connection) -> bool:
    """Return whether data may still flow in at least one direction."""
    return connection.state < ConnectionState.TIME_WAIT


def send_data(connection: Connection, payload: bytes, now: float) -> StepResult:
    """Send data, or buffer it until it may be sent.

    Parameters
    ----------
    connection : Connection
        Changed in place; data is dropped if the connection has ended.
    payload : bytes
        Data of any length.
    now : float
        Current time in seconds.

    Returns
    -------
    StepResult
        Segments to send, without events.
    """
    if not is_open(connection) or connection.fin_requested:
        return StepResult()
    connection.send_buffer += payload
    return StepResult(tuple(_transmit(connection, now)))


def finish_connection(connection: Connection, now: float) -> StepResult:
    """Send FIN after the data that is buffered so far.

    Parameters
    ----------
    connection : Connection
        Changed in place.
    now : float
        Current time in seconds.

    Returns
    -------
    StepResult
        Segments to send, without events.
    """
    if not is_open(connection):
        return StepResult()
    connection.fin_requested = True
    return StepResult(tuple(_transmit(connection, now)))


def abort_connection(connection: Connection) -> StepResult:
    """Abort a connection with a reset.

    Parameters
    ----------
    connection : Connection
        Changed in place.

    Returns
    -------
    StepResult
        The reset, if the connection was still open; no events.
    """
    if not is_open(connection):
        return StepResult()
    reset = _build_segment(connection, _RST | _ACK, connection.send_next, b'')
    _end(connection)
    return StepResult((reset,))


def receive_segment(
    connection: Connection,
    segment: Segment,
    now: float,
) -> StepResult:
    """Handle a segment of this connection.

    Parameters
    ----------
    connection : Connection
        Changed in place.
    segment : Segment
        Valid segment whose addresses match the connection.
    now : float
        Current time in seconds.

    Returns
    -------
    StepResult
        Segments to send, and events.
    """
    if connection.state == ConnectionState.CLOSED:
        return StepResult()
    if connection.state == ConnectionState.SYN_SENT:
        return _receive_in_handshake(connection, segment, now)
    if segment.flags & _RST:
        return _receive_reset(connection, segment)
    if segment.flags & _SYN:
        return _receive_repeated_syn(connection, segment)
    return _receive_synchronized(connection, segment, now)


def handle_connection_timeout(connection: Connection, now: float) -> StepResult:
    """Retransmit, time out or close the connection if its deadline is over.

    Parameters
    ----------
    connection : Connection
        Changed in place.
    now : float
        Current time in seconds.

    Returns
    -------
    StepResult
        Segments to retransmit, or the end of the connection.
    """
    if connection.deadline is None or now < connection.deadline:
        return StepResult()
    if connection.state == ConnectionState.TIME_WAIT:
        _end(connection)
        return StepResult()
    if connection.transmissions >= MAX_TRANSMISSIONS:
        _end(connection)
        return StepResult(events=(ConnectionEnded(EndReason.TIMED_OUT),))
    connection.transmissions += 1
    _start_timer(connection, now)
    return StepResult(
        tuple(
            _refresh_acknowledgement(connection, segment)
            for segment in connection.unacknowledged
        )
    )


def _build_segment(
    connection: Connection,
    flags: int,
    sequence: int,
    payload: bytes,
) -> Segment:
    return Segment(
        *connection.local,
        *connection.remote,
        sequence=sequence,
        acknowledgement=connection.receive_next if flags & _ACK else 0,
        flags=flags,
        payload=payload,
    )


def _build_ack(connection: Connection) -> Segment:
    return _build_segment(connection, _ACK, connection.send_next, b'')


def _refresh_acknowledgement(
    connection: Connection,
    segment: Segment,
) -> Segment:
    return _build_segment(
        connection, segment.flags, segment.sequence, segment.payload
    )


def _send(
    connection: Connection,
    flags: int,
    payload: bytes,
    now: float,
) -> Segment:
    segment = _build_segment(connection, flags, connection.send_next, payload)
    if not connection.unacknowledged:
        connection.transmissions = 1
        _start_timer(connection, now)
    connection.unacknowledged.append(segment)
    connection.send_next = add_sequence(
        connection.send_next, get_sequence_length(segment)
    )
    return segment


def _start_timer(connection: Connection, now: float) -> None:
    timeout = INITIAL_TIMEOUT_SECONDS * 2 ** (connection.transmissions - 1)
    connection.deadline = now + timeout


def _transmit(connection: Connection, now: float) -> list[Segment]:
    segments: list[Segment] = []
    if connection.state != ConnectionState.ESTABLISHED:
        return segments
    while (
        connection.send_buffer
        and len(connection.unacknowledged) < MAX_SEGMENTS_IN_FLIGHT
    ):
        payload = bytes(connection.send_buffer[:MAX_SEGMENT_BYTES])
        del connection.send_buffer[:MAX_SEGMENT_BYTES]
        segments.append(_send(connection, _ACK | TcpFlag.PSH, payload, now))
    if connection.fin_requested and not connection.send_buffer:
        if not connection.fin_sent:
            connection.fin_sent = True
            segments.append(_send(connection, _FIN_ACK, b'', now))
    return segments


def _end(connection: Connection) -> None:
    connection.state = ConnectionState.CLOSED
    connection.deadline = None
    connection.unacknowledged.clear()
    connection.send_buffer.clear()
    connection.out_of_order.clear()


def _receive_in_handshake(
    connection: Connection,
    segment: Segment,
    now: float,
) -> StepResult:
    acknowledges = (
        segment.flags & _ACK and segment.acknowledgement == connection.send_next
    )
    if segment.flags & _RST:
        if not acknowledges:
            return StepResult()
        _end(connection)
        return StepResult(events=(ConnectionEnded(EndReason.REFUSED),))
    if segment.flags & _ACK and not acknowledges:
        reset = build_reset(segment)
        return StepResult((reset,) if reset else ())
    if segment.flags & _SYN_ACK != _SYN_ACK:
        return StepResult()
    connection.remote_initial_sequence = segment.sequence
    connection.receive_next = add_sequence(segment.sequence, 1)
    _establish(connection)
    sent = _transmit(connection, now)
    # The first data segment also acknowledges the SYN.
    return StepResult(tuple(sent or [_build_ack(connection)]), (Connected(),))


def _establish(connection: Connection) -> None:
    connection.state = ConnectionState.ESTABLISHED
    connection.unacknowledged.clear()
    connection.deadline = None


def _receive_reset(connection: Connection, segment: Segment) -> StepResult:
    distance = get_sequence_distance(connection.receive_next, segment.sequence)
    if not 0 <= distance < WINDOW_BYTES:
        return StepResult()
    if connection.state == ConnectionState.TIME_WAIT:
        return StepResult()
    refused = connection.state == ConnectionState.SYN_RECEIVED
    _end(connection)
    reason = EndReason.REFUSED if refused else EndReason.RESET
    return StepResult(events=(ConnectionEnded(reason),))


def _receive_repeated_syn(
    connection: Connection,
    segment: Segment,
) -> StepResult:
    repeated = segment.sequence == connection.remote_initial_sequence
    if segment.flags & _ACK or not repeated:
        return StepResult((_build_ack(connection),))
    # A balancer may deliver a late copy of the SYN, which gets the same
    # response.
    return StepResult(
        (
            Segment(
                *connection.local,
                *connection.remote,
                sequence=connection.initial_sequence,
                acknowledgement=add_sequence(segment.sequence, 1),
                flags=_SYN_ACK,
            ),
        )
    )


def _receive_synchronized(
    connection: Connection,
    segment: Segment,
    now: float,
) -> StepResult:
    if not segment.flags & _ACK:
        return StepResult()
    events: list[Event] = []
    if connection.state == ConnectionState.SYN_RECEIVED:
        if segment.acknowledgement != connection.send_next:
            reset = build_reset(segment)
            return StepResult(
                (reset,) if reset else (), (HandshakeMismatched(),)
            )
        _establish(connection)
        events.append(Connected())
    if not _is_acceptable(connection, segment):
        # Acknowledging an empty segment could start an endless exchange of
        # acknowledgements.
        if get_sequence_length(segment):
            return StepResult((_build_ack(connection),), tuple(events))
        return StepResult(events=tuple(events))
    _handle_acknowledgement(connection, segment.acknowledgement, now)
    events.extend(_receive_data(connection, segment))
    segments = _transmit(connection, now)
    if not segments and get_sequence_length(segment):
        segments.append(_build_ack(connection))
    events.extend(_detect_end(connection, now))
    return StepResult(tuple(segments), tuple(events))


def _is_acceptable(connection: Connection, segment: Segment) -> bool:
    if get_sequence_distance(connection.send_next, segment.acknowledgement) > 0:
        return False
    distance = get_sequence_distance(connection.receive_next, segment.sequence)
    return -WINDOW_BYTES <= distance < WINDOW_BYTES


def _handle_acknowledgement(
    connection: Connection,
    acknowledgement: int,
    now: float,
) -> None:
    is_advanced = False
    pending = connection.unacknowledged
    while pending:
        oldest = pending[0]
        end = add_sequence(oldest.sequence, get_sequence_length(oldest))
        if get_sequence_distance(end, acknowledgement) < 0:
            break
        pending.popleft()
        is_advanced = True
    if not is_advanced:
        return
    connection.transmissions = 1
    connection.deadline = None
    if pending:
        _start_timer(connection, now)


def _receive_data(connection: Connection, segment: Segment) -> list[Event]:
    if segment.flags & _FIN:
        connection.remote_fin_sequence = add_sequence(
            segment.sequence, len(segment.payload)
        )
    if segment.payload and not connection.fin_received:
        buffered = connection.out_of_order.get(segment.sequence, b'')
        if len(segment.payload) > len(buffered):
            connection.out_of_order[segment.sequence] = segment.payload
    events: list[Event] = []
    payload = _collect_in_order(connection)
    if payload:
        events.append(DataReceived(payload))
    if (
        connection.receive_next == connection.remote_fin_sequence
        and not connection.fin_received
    ):
        connection.fin_received = True
        connection.receive_next = add_sequence(connection.receive_next, 1)
        events.append(FinReceived())
    return events


def _collect_in_order(connection: Connection) -> bytes:
    collected = bytearray()
    is_advanced = True
    while is_advanced and connection.out_of_order:
        is_advanced = False
        for sequence in tuple(connection.out_of_order):
            overlap = get_sequence_distance(sequence, connection.receive_next)
            if overlap < 0:
                continue
            new_data = connection.out_of_order.pop(sequence)[overlap:]
            collected += new_data
            connection.receive_next = add_sequence(
                connection.receive_next, len(new_data)
            )
            is_advanced = True
    return bytes(collected)


def _detect_end(connection: Connection, now: float) -> list[Event]:
    is_finished = connection.fin_sent and connection.fin_received
    if (
        not is_finished
        or connection.unacknowledged
        or connection.state != ConnectionState.ESTABLISHED
    ):
        return []
    connection.state = ConnectionState.TIME_WAIT
    connection.deadline = now + TIME_WAIT_SECONDS
    return [ConnectionEnded(EndReason.FINISHED)]
