"""Data port: packets from the fabric and from other balancers."""

from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import Final

from twisted.internet.abstract import isIPAddress
from twisted.internet.protocol import DatagramProtocol

from balsamshed.codecs.packets import (
    IPV4_FIRST_BYTE,
    MalformedPacket,
    decode_packet,
    encode_reset,
    rewrite_destination,
    rewrite_source,
)
from balsamshed.codecs.relays import (
    RELAY_FIRST_BYTE,
    decode_relay,
    encode_relay,
)
from balsamshed.front_ends.effect_handlers import EffectHandlers, EventSink
from balsamshed.members.member import Member
from balsamshed.node.effects import (
    ForwardPacket,
    RefuseFlow,
    ReturnPacket,
    SendRelay,
)
from balsamshed.node.events import PacketReceived, RelayReceived

#: Bytes that the kernel may queue for the port while the process is busy.
RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024

# The members of the largest group, and as many that were replaced.
_MAX_CACHED_ADDRESSES: Final = 128

#: Host and port of a datagram's sender.
Address = tuple[str, int]
#: Returns the data address of a member, or None if the member is unknown.
FindDataAddress = Callable[[str], Address | None]
#: Returns whether an address is the data address of a member.
IsPeer = Callable[[Address], bool]
#: Counts an event by its name.
Count = Callable[[str], None]


class DataPort(DatagramProtocol):
    """UDP socket for packets.

    Parameters
    ----------
    fabric : tuple of (str, int)
        Only address from which packets are accepted.
    is_peer : callable
        Returns whether relayed packets are accepted from an address.
    sink : callable
        Receives events.
    count : callable
        Counts datagrams that are dropped.
    """

    def __init__(
        self,
        fabric: Address,
        is_peer: IsPeer,
        sink: EventSink,
        count: Count,
    ) -> None:
        """Store the fabric's address and the callbacks."""
        self._fabric = fabric
        self._is_peer = is_peer
        self._sink = sink
        self._count = count

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Decode a datagram and pass it on as an event."""
        first_byte = datagram[0] if datagram else 0
        if first_byte == IPV4_FIRST_BYTE and addr == self._fabric:
            packet = decode_packet(datagram)
            if isinstance(packet, MalformedPacket):
                self._count(f'malformed_{packet.reason}')
            else:
                self._sink(PacketReceived(packet))
        elif first_byte == RELAY_FIRST_BYTE and self._is_peer(addr):
            relay = decode_relay(datagram)
            if isinstance(relay, MalformedPacket):
                self._count(f'malformed_{relay.reason}')
            else:
                self._sink(RelayReceived(relay))
        else:
            self._count('malformed_unknown_source')


def create_packet_handlers(
    port: DataPort,
    fabric: Address,
    find_data_address: FindDataAddress,
    count: Count,
) -> EffectHandlers:
    """Return the handlers of the effects of the packet path.

    Parameters
    ----------
    port : DataPort
        Socket to send from.
    fabric : tuple of (str, int)
        Address at which the fabric receives packets.
    find_data_address : callable
        Returns the data address of a member.
    count : callable
        Counts packets that cannot be sent.

    Returns
    -------
    dict of type to callable
        Handler by effect type.
    """

    def send(datagram: bytes | bytearray, address: Address) -> None:
        # The transport's ``write`` validates the address each time, which
        # takes 2 microseconds, as long as the system call.
        try:
            port.transport.socket.sendto(datagram, address)
        except OSError:
            count('send_failed')

    def forward_packet(effect: ForwardPacket) -> None:
        packet = effect.packet
        send(
            rewrite_destination(packet.raw, packet.destination, effect.host),
            fabric,
        )

    def return_packet(effect: ReturnPacket) -> None:
        packet = effect.packet
        send(
            rewrite_source(packet.raw, packet.source, effect.address),
            fabric,
        )

    def refuse_flow(effect: RefuseFlow) -> None:
        send(encode_reset(effect.packet), fabric)

    def send_relay(effect: SendRelay) -> None:
        address = find_data_address(effect.member)
        # For a host name, ``sendto`` would block to resolve it.
        if address is None or not _is_ip_address(address[0]):
            count('relay_to_unknown_member')
            return
        send(encode_relay(effect.relay), address)

    return {
        ForwardPacket: forward_packet,
        ReturnPacket: return_packet,
        RefuseFlow: refuse_flow,
        SendRelay: send_relay,
    }


def create_peer_check(peers: Mapping[str, Member]) -> IsPeer:
    """Return a function that checks for the data address of a member.

    The member found for an address is cached and checked first, since a search
    through 64 members takes longer than the rest of the packet path.

    Parameters
    ----------
    peers : mapping of str to Member
        Other members by name; may change between calls.

    Returns
    -------
    callable
        Returns whether the sender of a datagram is a member.
    """
    names_by_address: dict[Address, str] = {}

    def is_peer(address: Address) -> bool:
        member = peers.get(names_by_address.get(address, ''))
        if member and (member.host, member.data_port) == address:
            return True
        for name, peer in peers.items():
            if (peer.host, peer.data_port) == address:
                if len(names_by_address) >= _MAX_CACHED_ADDRESSES:
                    names_by_address.clear()
                names_by_address[address] = name
                return True
        return False

    return is_peer


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _is_ip_address(host: str) -> bool:
    return bool(isIPAddress(host))
