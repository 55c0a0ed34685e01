"""UDP sockets on the loopback interface."""

from collections.abc import Callable
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any, Final

from twisted.internet import reactor
from twisted.internet.protocol import DatagramProtocol

from testbed.addresses import SocketAddress

#: Called with each datagram and its sender.
DatagramHandler = Callable[[bytes, SocketAddress], None]

#: Requested size; the kernel grants less if its limit is lower.
RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024


class DatagramSocket(DatagramProtocol):
    """Protocol that passes each datagram to a function.

    Parameters
    ----------
    receive : callable
        Called with each datagram and its sender.
    """

    def __init__(self, receive: DatagramHandler) -> None:
        self.receive = receive

    def datagramReceived(  # noqa: N802  (name given by Twisted)
        self,
        datagram: bytes,
        addr: SocketAddress,
    ) -> None:
        """Pass a received datagram to the function."""
        self.receive(datagram, addr)


def listen_datagrams(port: int, receive: DatagramHandler) -> Any:
    """Open a UDP socket on a loopback port.

    Parameters
    ----------
    port : int
        UDP port on 127.0.0.1; zero for any free one.
    receive : callable
        Called with each datagram and its sender.

    Returns
    -------
    object
        Twisted's listening port, which is also the transport.
    """
    listening = reactor.listenUDP(
        port, DatagramSocket(receive), interface='127.0.0.1'
    )
    listening.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return listening


def send_datagram(
    listening: Any,
    raw: bytes,
    destination: SocketAddress,
) -> bool:
    """Send a datagram, or drop it if the kernel does not accept it.

    Parameters
    ----------
    listening : object
        Return value of `listen_datagrams`.
    raw : bytes
        The datagram.
    destination : SocketAddress
        Address to send it to.

    Returns
    -------
    bool
        Whether the kernel accepted the datagram.
    """
    try:
        listening.write(raw, destination)
    except OSError:
        return False
    return True
