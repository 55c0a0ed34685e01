"""Manages the TCP connections of a process and their timers."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, Final

from balsamshed.flows.packets import TcpFlag
from testbed.connection import (
    Connection,
    ConnectionState,
    Event,
    HandshakeMismatched,
    StepResult,
    abort_connection,
    accept_connection,
    finish_connection,
    handle_connection_timeout,
    is_open,
    open_connection,
    receive_segment,
    send_data,
)
from testbed.packets import (
    Malformed,
    Segment,
    build_packet,
    build_reset,
    parse_packet,
)

#: Local address and port, remote address and port.
ConnectionKey = tuple[int, int, int, int]

_SYN: Final = int(TcpFlag.SYN)
_HANDSHAKE_FLAGS: Final = int(TcpFlag.SYN | TcpFlag.ACK | TcpFlag.RST)


class SynDecision(Enum):
    """Decision about a SYN."""

    ACCEPT = auto()
    REFUSE = auto()
    IGNORE = auto()


@dataclass(slots=True)
class TcpStack:
    """TCP connections of one process.

    Attributes
    ----------
    send : callable
        Sends one packet.
    clock : object
        Twisted's reactor, or a clock for tests.
    choose_sequence : callable
        Returns a random initial sequence number.
    classify_syn : callable
        Returns the decision about a SYN that matches no connection.
    notify : callable
        Called with a connection and an event on it.
    connections : dict of ConnectionKey to Connection
        Connections that are not closed yet.
    timers : dict of ConnectionKey to object
        Active timers of connections.
    counters : Counter of str
        ``unknown_packets`` (other than a SYN, resets included, that match no
        connection), ``unknown_resets``, ``malformed`` and ``mismatched``
        (handshakes that another server answered).
    """

    send: Callable[[bytes], object]
    clock: Any
    choose_sequence: Callable[[], int]
    classify_syn: Callable[[Segment], SynDecision]
    notify: Callable[[Connection, Event], None]
    connections: dict[ConnectionKey, Connection] = field(default_factory=dict)
    timers: dict[ConnectionKey, Any] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)


def get_key(connection: Connection) -> ConnectionKey:
    """Return the key of a connection."""
    return (*connection.local, *connection.remote)


def count_open(tcp_stack: TcpStack) -> int:
    """Return the number of connections on which data may still flow."""
    return sum(map(is_open, tcp_stack.connections.values()))


def connect(
    tcp_stack: TcpStack,
    local: tuple[int, int],
    remote: tuple[int, int],
) -> Connection:
    """Open a connection.

    Parameters
    ----------
    tcp_stack : TcpStack
        Changed in place.
    local, remote : tuple of (int, int)
        IPv4 address and port of each end.

    Returns
    -------
    Connection
        The connection, whose handshake has started.
    """
    connection, step = open_connection(
        local, remote, tcp_stack.choose_sequence(), tcp_stack.clock.seconds()
    )
    tcp_stack.connections[get_key(connection)] = connection
    _apply_step(tcp_stack, connection, step)
    return connection


def send_payload(
    tcp_stack: TcpStack,
    connection: Connection,
    payload: bytes,
) -> None:
    """Send data on a connection."""
    step = send_data(connection, payload, tcp_stack.clock.seconds())
    _apply_step(tcp_stack, connection, step)


def finish(tcp_stack: TcpStack, connection: Connection) -> None:
    """Send FIN on a connection after its buffered data."""
    step = finish_connection(connection, tcp_stack.clock.seconds())
    _apply_step(tcp_stack, connection, step)


def abort(tcp_stack: TcpStack, connection: Connection) -> None:
    """Abort a connection with a reset."""
    _apply_step(tcp_stack, connection, abort_connection(connection))


def receive_packet(tcp_stack: TcpStack, raw: bytes) -> None:
    """Handle a packet from the network.

    Parameters
    ----------
    tcp_stack : TcpStack
        Changed in place.
    raw : bytes
        The packet.
    """
    segment = parse_packet(raw)
    if isinstance(segment, Malformed):
        tcp_stack.counters['malformed'] += 1
        return
    key = (
        segment.destination,
        segment.destination_port,
        segment.source,
        segment.source_port,
    )
    connection = tcp_stack.connections.get(key)
    if connection is None or _reuses_port(connection, segment):
        _receive_unmatched(tcp_stack, segment)
        return
    step = receive_segment(connection, segment, tcp_stack.clock.seconds())
    _apply_step(tcp_stack, connection, step)


def _reuses_port(connection: Connection, segment: Segment) -> bool:
    # A caller may reuse a port while its previous connection is in TIME_WAIT.
    return (
        segment.flags & _HANDSHAKE_FLAGS == _SYN
        and not is_open(connection)
        and segment.sequence != connection.remote_initial_sequence
    )


def _receive_unmatched(tcp_stack: TcpStack, segment: Segment) -> None:
    decision = SynDecision.REFUSE
    if segment.flags & _HANDSHAKE_FLAGS == _SYN:
        decision = tcp_stack.classify_syn(segment)
    else:
        tcp_stack.counters['unknown_packets'] += 1
    if segment.flags & TcpFlag.RST:
        tcp_stack.counters['unknown_resets'] += 1
    if decision is SynDecision.ACCEPT:
        connection, step = accept_connection(
            segment, tcp_stack.choose_sequence(), tcp_stack.clock.seconds()
        )
        tcp_stack.connections[get_key(connection)] = connection
        _apply_step(tcp_stack, connection, step)
    elif decision is SynDecision.REFUSE:
        reset = build_reset(segment)
        if reset is not None:
            tcp_stack.send(build_packet(reset))


def _apply_step(
    tcp_stack: TcpStack,
    connection: Connection,
    step: StepResult,
) -> None:
    for segment in step.segments:
        tcp_stack.send(build_packet(segment))
    key = get_key(connection)
    if connection.state == ConnectionState.CLOSED:
        _remove_connection(tcp_stack, key, connection)
    elif connection.deadline is not None:
        _schedule(tcp_stack, key, connection.deadline)
    for event in step.events:
        if isinstance(event, HandshakeMismatched):
            tcp_stack.counters['mismatched'] += 1
        tcp_stack.notify(connection, event)


def _remove_connection(
    tcp_stack: TcpStack,
    key: ConnectionKey,
    connection: Connection,
) -> None:
    if tcp_stack.connections.get(key) is connection:
        tcp_stack.connections.pop(key)
        timer = tcp_stack.timers.pop(key, None)
        if timer is not None:
            timer.cancel()


def _schedule(
    tcp_stack: TcpStack,
    key: ConnectionKey,
    deadline: float,
) -> None:
    # A timer that fires early checks the deadline again, so that most
    # segments do not change the timer of their connection.
    timer = tcp_stack.timers.get(key)
    if timer is not None and timer.getTime() <= deadline:
        return
    if timer is not None:
        # Resetting a Twisted timer to an earlier time searches all pending
        # calls, and formats the call with all its arguments if it is recent.
        timer.cancel()
    delay = max(deadline - tcp_stack.clock.seconds(), 0)
    tcp_stack.timers[key] = tcp_stack.clock.callLater(
        delay, _handle_timeout, tcp_stack, key
    )


def _handle_timeout(tcp_stack: TcpStack, key: ConnectionKey) -> None:
    tcp_stack.timers.pop(key)
    connection = tcp_stack.connections[key]
    step = handle_connection_timeout(connection, tcp_stack.clock.seconds())
    _apply_step(tcp_stack, connection, step)
