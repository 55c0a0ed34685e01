"""Forwarded TCP connections with faults."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from testbed.addresses import SocketAddress


@dataclass(frozen=True, slots=True)
class StreamFaults:
    """Faults of the connections of a link.

    Parameters
    ----------
    cut : bool
        Abort open and new connections.
    silent : bool
        Accept connections but forward nothing.
    lose_responses : int
        Number of connections that are aborted when the first data of the
        response arrives, after the data of the client was forwarded.
    """

    cut: bool = False
    silent: bool = False
    lose_responses: int = 0


@dataclass(slots=True)
class StreamLink:
    """A TCP port that forwards connections to another one.

    Attributes
    ----------
    target : SocketAddress
        Address to which connections are forwarded.
    connect : callable
        Opens a TCP connection; takes the host, the port and a factory.
    faults : StreamFaults
        Current faults.
    open_pipes : set of Pipe
        Client ends of the open connections.
    counters : Counter of str
        Counts of ``accepted``, ``cut`` and ``silenced`` connections and of
        ``lost_responses``.
    """

    target: SocketAddress
    connect: Callable[[str, int, ClientFactory], object]
    faults: StreamFaults = StreamFaults()
    open_pipes: set['Pipe'] = field(default_factory=set)
    counters: Counter[str] = field(default_factory=Counter)


class Pipe(Protocol):
    """One end of a forwarded connection.

    Parameters
    ----------
    link : StreamLink
        Link of the connection.
    client : Pipe or None
        Client end of the connection; None if this is the client end.
    """

    def __init__(self, link: StreamLink, client: 'Pipe | None' = None) -> None:
        self.link = link
        self.other_end = client
        self.is_client = client is None
        self.is_silent = False
        self.pending_data = bytearray()

    def connectionMade(self) -> None:  # noqa: N802  (name given by Twisted)
        """Connect to the target, or attach to the client end."""
        if self.is_client:
            _accept(self)
        else:
            _attach_to_client(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data to the other end."""
        _forward(self, data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end, unless the connection is silent."""
        _close(self)


def build_listener_factory(link: StreamLink) -> Factory:
    """Return the protocol factory for the clients of a link."""
    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _address: Pipe(link)
    return factory


def set_faults(link: StreamLink, faults: StreamFaults) -> None:
    """Replace the faults of a link.

    Parameters
    ----------
    link : StreamLink
        Changed in place.
    faults : StreamFaults
        New faults; ``cut`` also aborts the open connections.
    """
    link.faults = faults
    if faults.cut:
        for pipe in tuple(link.open_pipes):
            link.counters['cut'] += 1
            pipe.transport.abortConnection()


def silence_open_connections(link: StreamLink) -> int:
    """Stop forwarding on the open connections; new ones still work.

    Parameters
    ----------
    link : StreamLink
        Changed in place.

    Returns
    -------
    int
        Number of connections that were silenced.
    """
    for pipe in link.open_pipes:
        pipe.is_silent = True
    link.counters['silenced'] += len(link.open_pipes)
    return len(link.open_pipes)


def _accept(pipe: Pipe) -> None:
    link = pipe.link
    link.counters['accepted'] += 1
    if link.faults.cut:
        link.counters['cut'] += 1
        pipe.transport.abortConnection()
        return
    link.open_pipes.add(pipe)
    if link.faults.silent:
        link.counters['silenced'] += 1
        pipe.is_silent = True
        return
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda _address: Pipe(link, pipe)
    factory.clientConnectionFailed = lambda _connector, _reason: (
        pipe.transport.abortConnection()
    )
    link.connect(*link.target, factory)


def _attach_to_client(pipe: Pipe) -> None:
    client = pipe.other_end
    if client is None or client not in pipe.link.open_pipes:
        pipe.transport.abortConnection()
        return
    client.other_end = pipe
    pipe.transport.write(bytes(client.pending_data))
    client.pending_data.clear()


def _forward(pipe: Pipe, chunk: bytes) -> None:
    client = pipe if pipe.is_client else pipe.other_end
    if client is None or client.is_silent:
        return
    link = pipe.link
    if pipe.other_end is None:
        pipe.pending_data += chunk
    elif pipe.is_client or not link.faults.lose_responses:
        pipe.other_end.transport.write(chunk)
    else:
        left = link.faults.lose_responses - 1
        link.faults = StreamFaults(lose_responses=left)
        link.counters['lost_responses'] += 1
        client.transport.abortConnection()


def _close(pipe: Pipe) -> None:
    other = pipe.other_end
    pipe.other_end = None
    if pipe.is_client:
        pipe.link.open_pipes.discard(pipe)
    elif other is not None and other.is_silent:
        # A silent connection hides from the client that the target closed.
        return
    if other is not None:
        other.other_end = None
        other.transport.loseConnection()
