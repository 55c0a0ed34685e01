"""UDP socket for packets of callers."""

import socket
from collections.abc import Callable
from typing import Any, Final

from balsamshed.settings.balancer import SocketAddress

#: Datagrams that are taken before timers and other sockets get their turn.
DATAGRAMS_PER_TURN: Final = 64
#: A packet has at most 1,236 bytes; anything longer is cut and rejected.
LARGEST_DATAGRAM_BYTES: Final = 2048
#: What the kernel may queue while the process is busy.
RECEIVE_BUFFER_BYTES: Final = 1024 * 1024

#: Takes a datagram with its sender's host and port.
TakeDatagram = Callable[[bytes, tuple[str, int]], None]


class PacketSocket:
    """Reader of a UDP socket for Twisted's reactor.

    The transport of the library checks the text of each address and makes a
    call more for each datagram, which doubles the time of the packet path.

    Parameters
    ----------
    address : SocketAddress
        Address to bind.
    take_datagram : callable
        Takes each datagram.
    count : callable
        Counts datagrams that could not be sent, by reason.
    """

    def __init__(
        self,
        address: SocketAddress,
        take_datagram: TakeDatagram,
        count: Callable[[str], None],
    ) -> None:
        """Bind the socket."""
        self._take_datagram = take_datagram
        self._count = count
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        self._socket.bind((address.host, address.port))

    def fileno(self) -> int:
        """Return the descriptor for the reactor."""
        return self._socket.fileno()

    def logPrefix(self) -> str:
        """Return the name under which the reactor reports failures."""
        return 'packets'

    def doRead(self) -> None:
        """Take the datagrams that wait; called by the reactor."""
        receive = self._socket.recvfrom
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                datagram, sender = receive(LARGEST_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram met a closed port, for example.
                self._count(f'receive_{error.errno}')
                continue
            self._take_datagram(datagram, sender)

    def connectionLost(self, reason: Any) -> None:
        """Close the socket; called by the reactor when it stops."""
        self._socket.close()

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or count why that was not possible."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._count(f'send_{error.errno}')
