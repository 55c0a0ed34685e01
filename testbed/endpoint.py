"""TCP connections over one channel for packets, with their timers."""

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
    Reaction,
    abort_connection,
    accept_connection,
    finish_connection,
    is_open,
    open_connection,
    receive_segment,
    send_data,
    tick_connection,
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
_KIND_FLAGS: Final = int(TcpFlag.SYN | TcpFlag.ACK | TcpFlag.RST)


class Verdict(Enum):
    """What happens to a SYN."""

    ACCEPT = auto()
    REFUSE = auto()
    IGNORE = auto()


@dataclass(slots=True)
class Endpoint:
    """Connections of one process.

    Attributes
    ----------
    send : callable
        Sends one packet.
    clock : object
        Twisted's reactor, or a clock for tests.
    choose_sequence : callable
        Returns a random initial sequence number.
    judge : callable
        Decides about a SYN without a connection.
    notify : callable
        Called with a connection and what happened on it.
    connections : dict of ConnectionKey to Connection
        Connections that are not closed.
    timers : dict of ConnectionKey to object
        Pending timers of connections.
    counters : Counter of str
        ``unknown_packets`` (without SYN, for no connection; resets
        included), ``unknown_resets``, ``malformed``, ``mismatched``
        (handshakes of another server).
    """

    send: Callable[[bytes], object]
    clock: Any
    choose_sequence: Callable[[], int]
    judge: Callable[[Segment], Verdict]
    notify: Callable[[Connection, Event], None]
    connections: dict[ConnectionKey, Connection] = field(default_factory=dict)
    timers: dict[ConnectionKey, Any] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)


def get_key(connection: Connection) -> ConnectionKey:
    """Return the addresses that identify a connection."""
    return (*connection.local, *connection.remote)


def count_open(endpoint: Endpoint) -> int:
    """Return the number of connections on which data may still pass."""
    return sum(map(is_open, endpoint.connections.values()))


def connect(
    endpoint: Endpoint,
    local: tuple[int, int],
    remote: tuple[int, int],
) -> Connection:
    """Open a connection.

    Parameters
    ----------
    endpoint : Endpoint
        Changed in place.
    local, remote : tuple of (int, int)
        IPv4 address and port of each end.

    Returns
    -------
    Connection
        The connection, in its handshake.
    """
    connection, reaction = open_connection(
        local, remote, endpoint.choose_sequence(), endpoint.clock.seconds()
    )
    endpoint.connections[get_key(connection)] = connection
    _carry_out(endpoint, connection, reaction)
    return connection


def send_on(
    endpoint: Endpoint,
    connection: Connection,
    payload: bytes,
) -> None:
    """Send data on a connection."""
    reaction = send_data(connection, payload, endpoint.clock.seconds())
    _carry_out(endpoint, connection, reaction)


def finish(endpoint: Endpoint, connection: Connection) -> None:
    """Send FIN after the data of a connection."""
    reaction = finish_connection(connection, endpoint.clock.seconds())
    _carry_out(endpoint, connection, reaction)


def abort(endpoint: Endpoint, connection: Connection) -> None:
    """End a connection with a reset."""
    _carry_out(endpoint, connection, abort_connection(connection))


def receive_packet(endpoint: Endpoint, raw: bytes) -> None:
    """Handle a packet from the network.

    Parameters
    ----------
    endpoint : Endpoint
        Changed in place.
    raw : bytes
        The packet.
    """
    segment = parse_packet(raw)
    if isinstance(segment, Malformed):
        endpoint.counters['malformed'] += 1
        return
    key = (
        segment.destination,
        segment.destination_port,
        segment.source,
        segment.source_port,
    )
    connection = endpoint.connections.get(key)
    if connection is None or _starts_anew(connection, segment):
        _receive_unknown(endpoint, segment)
        return
    reaction = receive_segment(connection, segment, endpoint.clock.seconds())
    _carry_out(endpoint, connection, reaction)


def _starts_anew(connection: Connection, segment: Segment) -> bool:
    # A caller may use its port again while the old connection lingers.
    return (
        segment.flags & _KIND_FLAGS == _SYN
        and not is_open(connection)
        and segment.sequence != connection.remote_initial_sequence
    )


def _receive_unknown(endpoint: Endpoint, segment: Segment) -> None:
    verdict = Verdict.REFUSE
    if segment.flags & _KIND_FLAGS == _SYN:
        verdict = endpoint.judge(segment)
    else:
        endpoint.counters['unknown_packets'] += 1
    if segment.flags & TcpFlag.RST:
        endpoint.counters['unknown_resets'] += 1
    if verdict is Verdict.ACCEPT:
        connection, reaction = accept_connection(
            segment, endpoint.choose_sequence(), endpoint.clock.seconds()
        )
        endpoint.connections[get_key(connection)] = connection
        _carry_out(endpoint, connection, reaction)
    elif verdict is Verdict.REFUSE:
        reset = build_reset(segment)
        if reset is not None:
            endpoint.send(build_packet(reset))


def _carry_out(
    endpoint: Endpoint,
    connection: Connection,
    reaction: Reaction,
) -> None:
    for segment in reaction.segments:
        endpoint.send(build_packet(segment))
    key = get_key(connection)
    if connection.state == ConnectionState.CLOSED:
        _forget(endpoint, key, connection)
    elif connection.deadline is not None:
        _schedule(endpoint, key, connection.deadline)
    for event in reaction.events:
        if isinstance(event, HandshakeMismatched):
            endpoint.counters['mismatched'] += 1
        endpoint.notify(connection, event)


def _forget(
    endpoint: Endpoint,
    key: ConnectionKey,
    connection: Connection,
) -> None:
    if endpoint.connections.get(key) is connection:
        endpoint.connections.pop(key)
        timer = endpoint.timers.pop(key, None)
        if timer is not None:
            timer.cancel()


def _schedule(
    endpoint: Endpoint,
    key: ConnectionKey,
    deadline: float,
) -> None:
    # A timer that is early looks at the deadline again, so that most
    # segments leave their connection's timer as it is.
    timer = endpoint.timers.get(key)
    if timer is not None and timer.getTime() <= deadline:
        return
    if timer is not None:
        # Twisted's reset to an earlier time searches all pending calls, and
        # formats the call with all its arguments if it is a recent one.
        timer.cancel()
    delay = max(deadline - endpoint.clock.seconds(), 0)
    endpoint.timers[key] = endpoint.clock.callLater(delay, _tick, endpoint, key)


def _tick(endpoint: Endpoint, key: ConnectionKey) -> None:
    endpoint.timers.pop(key)
    connection = endpoint.connections[key]
    reaction = tick_connection(connection, endpoint.clock.seconds())
    _carry_out(endpoint, connection, reaction)
