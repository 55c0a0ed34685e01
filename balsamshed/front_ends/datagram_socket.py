"""UDP socket of an event loop."""

import socket
from asyncio import AbstractEventLoop
from collections.abc import Callable
from typing import Final

from balsamshed.settings.balancer import SocketAddress

#: Datagrams that are taken before timers and other sockets get their turn.
MAX_DATAGRAMS_PER_WAKEUP: Final = 64
#: Packets have at most 1,236 bytes and reports 1,400; the rest is cut.
MAX_DATAGRAM_BYTES: Final = 2048
#: What the kernel may queue while the process is busy.
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024

#: Takes a datagram with its sender's host and port.
DatagramHandler = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A UDP socket that an event loop watches.

    The loop's own datagram transport makes a call more for each datagram.

    Parameters
    ----------
    address : SocketAddress
        Address to bind.
    handle_datagram : callable
        Takes each datagram.
    count : callable
        Counts datagrams that could not be received or sent, by reason.
    """

    def __init__(
        self,
        address: SocketAddress,
        handle_datagram: DatagramHandler,
        count: Callable[[str], None],
    ) -> None:
        """Bind the socket."""
        self._handle_datagram = handle_datagram
        self._count = count
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        self._socket.bind((address.host, address.port))

    def watch(self, loop: AbstractEventLoop) -> None:
        """Take datagrams whenever some wait."""
        loop.add_reader(self._socket, self.receive_pending)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def receive_pending(self) -> None:
        """Take the datagrams that wait, up to a limit."""
        receive = self._socket.recvfrom
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                datagram, sender = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram met a closed port, for example.
                self._count(f'receive_{error.errno}')
                continue
            self._handle_datagram(datagram, sender)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or count why that was not possible."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._count(f'send_{error.errno}')
