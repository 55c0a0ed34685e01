"""Control port: messages from and to peers."""

from collections.abc import Callable
from typing import Final

from twisted.internet.protocol import DatagramProtocol

from balsamshed.codecs.peers import (
    DecodeFailure,
    decode_envelope,
    encode_envelope,
)
from balsamshed.front_ends.data_port import Address, Count
from balsamshed.front_ends.effect_handlers import EffectHandlers, EventSink
from balsamshed.node.effects import SendPeerMessage
from balsamshed.node.events import PeerMessageReceived
from balsamshed.node.messages import Envelope
from balsamshed.node.state import Node

#: Overhead of a datagram: IPv4 and UDP headers.
HEADER_BYTES: Final = 28


class ControlPort(DatagramProtocol):
    """UDP socket for peer messages.

    Parameters
    ----------
    key : bytes
        Key that authenticates messages of the group.
    sink : callable
        Receives events.
    count : callable
        Counts datagrams that are dropped.
    count_bytes : callable
        ``count_bytes(name, amount)`` counts control traffic with its headers
        as ``control_bytes_sent`` and ``control_bytes_received``.
    """

    def __init__(
        self,
        key: bytes,
        sink: EventSink,
        count: Count,
        count_bytes: Callable[[str, int], None],
    ) -> None:
        """Store the key and the callbacks."""
        self._key = key
        self._sink = sink
        self._count = count
        self._count_bytes = count_bytes

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Decode a datagram and pass it on as an event."""
        size = len(datagram) + HEADER_BYTES
        self._count_bytes('control_bytes_received', size)
        envelope = decode_envelope(datagram, self._key)
        if isinstance(envelope, DecodeFailure):
            self._count(f'peer_message_{envelope.reason}')
            return
        self._sink(PeerMessageReceived(envelope, addr[0], addr[1]))

    def send_envelope(self, envelope: Envelope, address: Address) -> None:
        """Encode a message and send it."""
        try:
            datagram = encode_envelope(envelope, self._key)
        except ValueError:
            # One message that is too large must not prevent the others.
            self._count('peer_message_too_large')
            return
        self._count_bytes('control_bytes_sent', len(datagram) + HEADER_BYTES)
        try:
            self.transport.write(datagram, address)
        except OSError:
            self._count('peer_send_failed')


def create_peer_handlers(port: ControlPort, node: Node) -> EffectHandlers:
    """Return the handler that sends peer messages.

    Parameters
    ----------
    port : ControlPort
        Socket to send from.
    node : Node
        State of the sender.

    Returns
    -------
    dict of type to callable
        Handler by effect type.
    """

    def send_peer_message(effect: SendPeerMessage) -> None:
        own = node.membership.own
        port.send_envelope(
            Envelope(node.name, own.incarnation, effect.message),
            (effect.host, effect.control_port),
        )

    return {SendPeerMessage: send_peer_message}
