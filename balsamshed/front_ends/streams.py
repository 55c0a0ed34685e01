"""TCP connections on the event loop of an edge balancer."""

import socket
from collections.abc import Callable
from errno import EINPROGRESS
from functools import partial
from typing import Final, Protocol

from balsamshed.front_ends.event_loop import EventLoop
from balsamshed.settings.balancer import SocketAddress

#: Bytes read in one call.
MAX_READ_BYTES: Final = 65_536
#: Connections that wait to be accepted, and those accepted in one round.
BACKLOG: Final = 100
#: Wait after a connection that could not be accepted.
ACCEPT_RETRY_SECONDS: Final = 1.0


class Transport(Protocol):
    """Sending side of a connection."""

    def write(self, chunk: bytes) -> None:
        """Send bytes, now or as soon as the other end reads."""

    def close(self) -> None:
        """Close the connection once all bytes are sent."""

    def abort(self) -> None:
        """Close the connection at once."""


class StreamHandler(Protocol):
    """Receiving side of a connection."""

    def connection_made(self, transport: Transport) -> None:
        """Receive the transport of the new connection."""

    def data_received(self, data: bytes) -> None:
        """Receive bytes."""

    def connection_lost(self) -> None:
        """Learn that the other end has closed the connection."""


class StreamTransport:
    """Connected socket that is registered with the event loop.

    Parameters
    ----------
    loop : EventLoop
        Event loop.
    connected : socket
        Connected socket that does not block.
    handler : StreamHandler
        Receives the bytes of the other end.
    """

    __slots__ = (
        '_handler',
        '_is_closing',
        '_is_writer',
        '_loop',
        '_pending',
        '_socket',
    )

    def __init__(
        self, loop: EventLoop, connected: socket.socket, handler: StreamHandler
    ) -> None:
        """Watch the socket and pass this transport to the handler."""
        self._loop = loop
        self._socket = connected
        self._handler = handler
        self._pending = b''
        self._is_closing = False
        self._is_writer = False
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.add_reader(connected, self._receive)
        handler.connection_made(self)

    def write(self, chunk: bytes) -> None:
        """Send bytes, now or as soon as the other end reads."""
        if self._socket.fileno() < 0 or self._is_closing:
            return
        is_waiting = bool(self._pending)
        self._pending += chunk
        if not is_waiting:
            self._send_pending()

    def close(self) -> None:
        """Close the connection once all bytes are sent."""
        self._is_closing = True
        if not self._pending:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._socket.fileno() >= 0:
            self._loop.remove(self._socket)
            self._socket.close()

    def _receive(self) -> None:
        try:
            received = self._socket.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            received = b''
        if not received:
            self._lose_connection()
        elif not self._is_closing:
            self._deliver(received)

    def _deliver(self, received: bytes) -> None:
        try:
            self._handler.data_received(received)
        except Exception:
            # The state of this connection is unknown; the others go on.
            self._lose_connection()
            raise

    def _send_pending(self) -> None:
        try:
            sent = self._socket.send(self._pending)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._lose_connection()
            return
        self._pending = self._pending[sent:]
        if self._is_closing and not self._pending:
            self.abort()
        else:
            self._watch_writable(bool(self._pending))

    def _watch_writable(self, is_writer: bool) -> None:
        if is_writer == self._is_writer:
            return
        self._is_writer = is_writer
        if is_writer:
            self._loop.add_writer(self._socket, self._send_pending)
        else:
            self._loop.remove_writer(self._socket)

    def _lose_connection(self) -> None:
        if self._socket.fileno() >= 0:
            self.abort()
            self._handler.connection_lost()


def open_stream(
    loop: EventLoop,
    address: SocketAddress,
    handler: StreamHandler,
    handle_failure: Callable[[], None],
) -> Callable[[], None]:
    """Connect to a server.

    Parameters
    ----------
    loop : EventLoop
        Event loop.
    address : SocketAddress
        Address of the server.
    handler : StreamHandler
        Receives the transport once the connection is open.
    handle_failure : callable
        Called later if the connection cannot be opened.

    Returns
    -------
    callable
        Gives the attempt up; has no effect once it has ended.
    """
    opening = socket.socket()
    opening.setblocking(False)

    def finish() -> None:
        if not pending:
            return
        loop.remove(opening)
        if opening.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            fail()
        else:
            pending.clear()
            StreamTransport(loop, opening, handler)

    def fail() -> None:
        if pending:
            give_up()
            handle_failure()

    def give_up() -> None:
        if pending:
            pending.clear()
            loop.remove(opening)
            opening.close()

    pending = {opening}
    if opening.connect_ex((address.host, address.port)) in {0, EINPROGRESS}:
        loop.add_writer(opening, finish)
    else:
        loop.call_soon(fail)
    return give_up


def listen(
    loop: EventLoop,
    address: SocketAddress,
    create_handler: Callable[[], StreamHandler],
) -> socket.socket:
    """Accept connections at an address.

    While the process has no descriptors left, the error handler of the loop
    is called once a second, and no connection is accepted.

    Parameters
    ----------
    loop : EventLoop
        Event loop.
    address : SocketAddress
        Address to bind.
    create_handler : callable
        Returns the receiving side of a new connection.

    Returns
    -------
    socket
        The listening socket.
    """
    listening = socket.socket()
    listening.setblocking(False)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((address.host, address.port))
    listening.listen(BACKLOG)
    accept = partial(_accept_pending, loop, listening, create_handler)
    loop.add_reader(listening, accept)
    return listening


def _accept_pending(
    loop: EventLoop,
    listening: socket.socket,
    create_handler: Callable[[], StreamHandler],
) -> None:
    for _ in range(BACKLOG):
        try:
            accepted, _address = listening.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError:
            # The descriptors are used up, and the socket stays readable.
            loop.remove(listening)
            accept = partial(_accept_pending, loop, listening, create_handler)
            loop.call_later(
                ACCEPT_RETRY_SECONDS,
                partial(loop.add_reader, listening, accept),
            )
            raise
        accepted.setblocking(False)
        StreamTransport(loop, accepted, create_handler())
