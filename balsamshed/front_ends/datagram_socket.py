"""UDP socket that is read by the event loop."""

import socket
from collections.abc import Callable
from typing import Final

from balsamshed.front_ends.event_loop import EventLoop
from balsamshed.settings.balancer import SocketAddress

#: Datagrams read in one callback, so that timers and other sockets of the event
#: loop are not starved.
MAX_DATAGRAMS_PER_WAKEUP: Final = 64
#: Packets have at most 1,236 bytes and reports 1,400; a longer datagram is
#: truncated.
MAX_DATAGRAM_BYTES: Final = 2048
#: Bytes that the kernel may queue while the process is busy.
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024

#: Handles a datagram, given the host and port of its sender.
DatagramHandler = Callable[[bytes, tuple[str, int]], None]


def bind_datagram_socket(address: SocketAddress) -> socket.socket:
    """Return a UDP socket that does not block, bound to an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind((address.host, address.port))
    return bound


class DatagramSocket:
    """UDP socket that is registered with an event loop.

    Parameters
    ----------
    bound : socket
        Socket from `bind_datagram_socket`.
    handle_datagram : callable
        Called with each datagram.
    count : callable
        Counts datagrams that could not be received or sent, by error.
    """

    def __init__(
        self,
        bound: socket.socket,
        handle_datagram: DatagramHandler,
        count: Callable[[str], None],
    ) -> None:
        """Take over the socket, without reading it."""
        self._handle_datagram = handle_datagram
        self._count = count
        self._socket = bound

    def watch(self, loop: EventLoop) -> None:
        """Read datagrams whenever the socket is readable."""
        loop.add_reader(self._socket, self.receive_pending)

    def discard_pending(self) -> None:
        """Read and discard all datagrams that have been received."""
        while True:
            try:
                self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._count(f'receive_{error.errno}')
                return
            self._count('discarded')

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def receive_pending(self) -> None:
        """Read pending datagrams, up to `MAX_DATAGRAMS_PER_WAKEUP`."""
        receive = self._socket.recvfrom
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                datagram, sender = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # For example, an earlier datagram was sent to a closed port.
                self._count(f'receive_{error.errno}')
                continue
            self._handle_datagram(datagram, sender)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; count the error if that fails."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._count(f'send_{error.errno}')
