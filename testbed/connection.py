"""One end of a TCP connection (RFC 9293), without sockets and clocks.

Left out: options, congestion control, selective acknowledgement and fast
retransmission. Times are seconds of a monotonic clock.
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
    get_distance,
    get_sequence_length,
)

#: Data bytes of one segment.
MAX_SEGMENT_BYTES: Final = 1200
#: Segments sent without acknowledgement; more overflow the receive buffers.
MAX_SEGMENTS_IN_FLIGHT: Final = 16
#: Wait before the first retransmission.
INITIAL_TIMEOUT_SECONDS: Final = 0.2
#: Transmissions of one segment before the connection is given up.
MAX_TRIES: Final = 8
#: How long a closed connection still acknowledges a repeated FIN: longer than
#: the 51 s in which the other end repeats it.
LINGER_SECONDS: Final = 60

_FIN: Final = int(TcpFlag.FIN)
_SYN: Final = int(TcpFlag.SYN)
_RST: Final = int(TcpFlag.RST)
_ACK: Final = int(TcpFlag.ACK)
_SYN_ACK: Final = _SYN | _ACK
_FIN_ACK: Final = _FIN | _ACK


class ConnectionState(IntEnum):
    """How far a connection is."""

    SYN_SENT = 1
    SYN_RECEIVED = 2
    ESTABLISHED = 3
    # Both sides sent FIN and both are acknowledged.
    LINGERING = 4
    CLOSED = 5


class EndReason(IntEnum):
    """Why a connection ended."""

    FINISHED = 1
    # Reset before the handshake was complete.
    REFUSED = 2
    RESET = 3
    # A segment was sent MAX_TRIES times without acknowledgement.
    SILENT = 4


@dataclass(frozen=True, slots=True)
class Connected:
    """The handshake is complete."""


@dataclass(frozen=True, slots=True)
class DataReceived:
    """More data came in order.

    Parameters
    ----------
    payload : bytes
        At least one byte.
    """

    payload: bytes


@dataclass(frozen=True, slots=True)
class RemoteFinished:
    """The other side sent FIN after all its data."""


@dataclass(frozen=True, slots=True)
class Ended:
    """Neither side sends any more.

    Parameters
    ----------
    reason : EndReason
        Why it ended.
    """

    reason: EndReason


@dataclass(frozen=True, slots=True)
class HandshakeMismatched:
    """An acknowledgement names an initial sequence number of another end."""


Event = Connected | DataReceived | RemoteFinished | Ended | HandshakeMismatched


@dataclass(frozen=True, slots=True)
class Reaction:
    """What a step of a connection leads to.

    Parameters
    ----------
    segments : tuple of Segment
        To be sent, in this order.
    events : tuple of Event
        What the user of the connection has to know, in this order.
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
        How far the connection is.
    initial_sequence : int
        Sequence number of the own SYN.
    remote_initial_sequence : int
        Sequence number of the other side's SYN, once known.
    send_next, receive_next : int
        Next sequence number to send and to receive.
    unacknowledged : deque of Segment
        Sent segments that occupy sequence numbers, oldest first.
    unsent : bytearray
        Data that waits for room.
    finishing : bool
        Whether FIN follows the data.
    finish_sent, remote_finished : bool
        Whether FIN was sent and received.
    early : dict of int to bytes
        Data that came before its turn, by sequence number.
    remote_end : int or None
        Sequence number of the other side's FIN, once known.
    tries : int
        Transmissions of the oldest unacknowledged segment.
    deadline : float or None
        When `tick_connection` has to be called.
    """

    local: tuple[int, int]
    remote: tuple[int, int]
    state: ConnectionState
    initial_sequence: int
    remote_initial_sequence: int = 0
    send_next: int = 0
    receive_next: int = 0
    unacknowledged: deque[Segment] = field(default_factory=deque)
    unsent: bytearray = field(default_factory=bytearray)
    finishing: bool = False
    finish_sent: bool = False
    remote_finished: bool = False
    early: dict[int, bytes] = field(default_factory=dict)
    remote_end: int | None = None
    tries: int = 0
    deadline: float | None = None


def open_connection(
    local: tuple[int, int],
    remote: tuple[int, int],
    initial_sequence: int,
    now: float,
) -> tuple[Connection, Reaction]:
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
    tuple of (Connection, Reaction)
        The new connection, and its SYN.
    """
    connection = Connection(
        local, remote, ConnectionState.SYN_SENT, initial_sequence
    )
    connection.send_next = initial_sequence
    return connection, Reaction((_send(connection, _SYN, b'', now),))


def accept_connection(
    segment: Segment,
    initial_sequence: int,
    now: float,
) -> tuple[Connection, Reaction]:
    """Answer a SYN.

    Parameters
    ----------
    segment : Segment
        The SYN.
    initial_sequence : int
        Random number below 2**32, so that two servers that get the same SYN
        do not share it.
    now : float
        Current time in seconds.

    Returns
    -------
    tuple of (Connection, Reaction)
        The new connection, and its SYN with ACK.
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
    return connection, Reaction((_send(connection, _SYN_ACK, b'', now),))


def is_open(connection: Connection) -> bool:
    """Tell whether data may still pass in at least one direction."""
    return connection.state < ConnectionState.LINGERING


def send_data(connection: Connection, payload: bytes, now: float) -> Reaction:
    """Send data, or keep it until there is room.

    Parameters
    ----------
    connection : Connection
        Changed in place; data for a connection that ended is dropped.
    payload : bytes
        Data of any length.
    now : float
        Current time in seconds.

    Returns
    -------
    Reaction
        Segments to send.
    """
    if not is_open(connection) or connection.finishing:
        return Reaction()
    connection.unsent += payload
    return Reaction(tuple(_transmit(connection, now)))


def finish_connection(connection: Connection, now: float) -> Reaction:
    """Send FIN after the data that was handed over so far.

    Parameters
    ----------
    connection : Connection
        Changed in place.
    now : float
        Current time in seconds.

    Returns
    -------
    Reaction
        Segments to send.
    """
    if not is_open(connection):
        return Reaction()
    connection.finishing = True
    return Reaction(tuple(_transmit(connection, now)))


def abort_connection(connection: Connection) -> Reaction:
    """End a connection with a reset.

    Parameters
    ----------
    connection : Connection
        Changed in place.

    Returns
    -------
    Reaction
        The reset, if the connection was still open; no event.
    """
    if not is_open(connection):
        return Reaction()
    reset = _build_segment(connection, _RST | _ACK, connection.send_next, b'')
    _end(connection)
    return Reaction((reset,))


def receive_segment(
    connection: Connection,
    segment: Segment,
    now: float,
) -> Reaction:
    """Handle a segment of this connection.

    Parameters
    ----------
    connection : Connection
        Changed in place.
    segment : Segment
        Checked segment whose addresses match the connection.
    now : float
        Current time in seconds.

    Returns
    -------
    Reaction
        Segments to send and what happened.
    """
    if connection.state == ConnectionState.CLOSED:
        return Reaction()
    if connection.state == ConnectionState.SYN_SENT:
        return _receive_in_handshake(connection, segment, now)
    if segment.flags & _RST:
        return _receive_reset(connection, segment)
    if segment.flags & _SYN:
        return _receive_repeated_syn(connection, segment)
    return _receive_synchronized(connection, segment, now)


def tick_connection(connection: Connection, now: float) -> Reaction:
    """Retransmit, give up or forget the connection, when it is time.

    Parameters
    ----------
    connection : Connection
        Changed in place.
    now : float
        Current time in seconds.

    Returns
    -------
    Reaction
        Segments to send again, or the end of the connection.
    """
    if connection.deadline is None or now < connection.deadline:
        return Reaction()
    if connection.state == ConnectionState.LINGERING:
        _end(connection)
        return Reaction()
    if connection.tries >= MAX_TRIES:
        _end(connection)
        return Reaction(events=(Ended(EndReason.SILENT),))
    connection.tries += 1
    _start_timer(connection, now)
    return Reaction(
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
        connection.tries = 1
        _start_timer(connection, now)
    connection.unacknowledged.append(segment)
    connection.send_next = add_sequence(
        connection.send_next, get_sequence_length(segment)
    )
    return segment


def _start_timer(connection: Connection, now: float) -> None:
    timeout = INITIAL_TIMEOUT_SECONDS * 2 ** (connection.tries - 1)
    connection.deadline = now + timeout


def _transmit(connection: Connection, now: float) -> list[Segment]:
    segments: list[Segment] = []
    if connection.state != ConnectionState.ESTABLISHED:
        return segments
    while (
        connection.unsent
        and len(connection.unacknowledged) < MAX_SEGMENTS_IN_FLIGHT
    ):
        payload = bytes(connection.unsent[:MAX_SEGMENT_BYTES])
        del connection.unsent[:MAX_SEGMENT_BYTES]
        segments.append(_send(connection, _ACK | TcpFlag.PSH, payload, now))
    if connection.finishing and not connection.unsent:
        if not connection.finish_sent:
            connection.finish_sent = True
            segments.append(_send(connection, _FIN_ACK, b'', now))
    return segments


def _end(connection: Connection) -> None:
    connection.state = ConnectionState.CLOSED
    connection.deadline = None
    connection.unacknowledged.clear()
    connection.unsent.clear()
    connection.early.clear()


def _receive_in_handshake(
    connection: Connection,
    segment: Segment,
    now: float,
) -> Reaction:
    acknowledges = (
        segment.flags & _ACK and segment.acknowledgement == connection.send_next
    )
    if segment.flags & _RST:
        if not acknowledges:
            return Reaction()
        _end(connection)
        return Reaction(events=(Ended(EndReason.REFUSED),))
    if segment.flags & _ACK and not acknowledges:
        reset = build_reset(segment)
        return Reaction((reset,) if reset else ())
    if segment.flags & _SYN_ACK != _SYN_ACK:
        return Reaction()
    connection.remote_initial_sequence = segment.sequence
    connection.receive_next = add_sequence(segment.sequence, 1)
    _establish(connection)
    sent = _transmit(connection, now)
    # The first data segment acknowledges the SYN too.
    return Reaction(tuple(sent or [_build_ack(connection)]), (Connected(),))


def _establish(connection: Connection) -> None:
    connection.state = ConnectionState.ESTABLISHED
    connection.unacknowledged.clear()
    connection.deadline = None


def _receive_reset(connection: Connection, segment: Segment) -> Reaction:
    distance = get_distance(connection.receive_next, segment.sequence)
    if not 0 <= distance < WINDOW_BYTES:
        return Reaction()
    if connection.state == ConnectionState.LINGERING:
        return Reaction()
    refused = connection.state == ConnectionState.SYN_RECEIVED
    _end(connection)
    reason = EndReason.REFUSED if refused else EndReason.RESET
    return Reaction(events=(Ended(reason),))


def _receive_repeated_syn(
    connection: Connection,
    segment: Segment,
) -> Reaction:
    repeated = segment.sequence == connection.remote_initial_sequence
    if segment.flags & _ACK or not repeated:
        return Reaction((_build_ack(connection),))
    # Any balancer may deliver a late copy of the SYN: the same answer.
    return Reaction(
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
) -> Reaction:
    if not segment.flags & _ACK:
        return Reaction()
    events: list[Event] = []
    if connection.state == ConnectionState.SYN_RECEIVED:
        if segment.acknowledgement != connection.send_next:
            reset = build_reset(segment)
            return Reaction((reset,) if reset else (), (HandshakeMismatched(),))
        _establish(connection)
        events.append(Connected())
    if not _is_acceptable(connection, segment):
        # An answer to an empty segment could be answered without end.
        if get_sequence_length(segment):
            return Reaction((_build_ack(connection),), tuple(events))
        return Reaction(events=tuple(events))
    _acknowledge(connection, segment.acknowledgement, now)
    events.extend(_take_data(connection, segment))
    segments = _transmit(connection, now)
    if not segments and get_sequence_length(segment):
        segments.append(_build_ack(connection))
    events.extend(_check_end(connection, now))
    return Reaction(tuple(segments), tuple(events))


def _is_acceptable(connection: Connection, segment: Segment) -> bool:
    if get_distance(connection.send_next, segment.acknowledgement) > 0:
        return False
    distance = get_distance(connection.receive_next, segment.sequence)
    return -WINDOW_BYTES <= distance < WINDOW_BYTES


def _acknowledge(
    connection: Connection,
    acknowledgement: int,
    now: float,
) -> None:
    progress = False
    waiting = connection.unacknowledged
    while waiting:
        oldest = waiting[0]
        end = add_sequence(oldest.sequence, get_sequence_length(oldest))
        if get_distance(end, acknowledgement) < 0:
            break
        waiting.popleft()
        progress = True
    if not progress:
        return
    connection.tries = 1
    connection.deadline = None
    if waiting:
        _start_timer(connection, now)


def _take_data(connection: Connection, segment: Segment) -> list[Event]:
    if segment.flags & _FIN:
        connection.remote_end = add_sequence(
            segment.sequence, len(segment.payload)
        )
    if segment.payload and not connection.remote_finished:
        known = connection.early.get(segment.sequence, b'')
        if len(segment.payload) > len(known):
            connection.early[segment.sequence] = segment.payload
    events: list[Event] = []
    payload = _collect_in_order(connection)
    if payload:
        events.append(DataReceived(payload))
    if (
        connection.receive_next == connection.remote_end
        and not connection.remote_finished
    ):
        connection.remote_finished = True
        connection.receive_next = add_sequence(connection.receive_next, 1)
        events.append(RemoteFinished())
    return events


def _collect_in_order(connection: Connection) -> bytes:
    collected = bytearray()
    progress = True
    while progress and connection.early:
        progress = False
        for sequence in tuple(connection.early):
            overlap = get_distance(sequence, connection.receive_next)
            if overlap < 0:
                continue
            fresh = connection.early.pop(sequence)[overlap:]
            collected += fresh
            connection.receive_next = add_sequence(
                connection.receive_next, len(fresh)
            )
            progress = True
    return bytes(collected)


def _check_end(connection: Connection, now: float) -> list[Event]:
    done = connection.finish_sent and connection.remote_finished
    if (
        not done
        or connection.unacknowledged
        or connection.state != ConnectionState.ESTABLISHED
    ):
        return []
    connection.state = ConnectionState.LINGERING
    connection.deadline = now + LINGER_SECONDS
    return [Ended(EndReason.FINISHED)]
