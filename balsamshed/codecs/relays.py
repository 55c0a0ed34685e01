"""Codec of packets that one balancer relays to another.

The header consists of a marker byte that no IPv4 packet starts with, the kind,
the requester's name, the count of the remaining members and their names. Each
name has a length byte. In a relay to the owner, which visits no further
member, the only remaining name is the sender's. Thrift is not used, since its
encoding alone would exceed the time budget of a packet.
"""

from functools import cache
from typing import Final

from balsamshed.codecs.packets import MalformedPacket, decode_packet
from balsamshed.flows.packets import Relay, RelayKind

#: Marker byte at the start of a relayed packet.
RELAY_FIRST_BYTE: Final = 0xB5
#: Limit of the remaining members of a lookup.
MAX_REMAINING_MEMBERS: Final = 8

_BAD_HEADER: Final = MalformedPacket('bad_relay_header')
#: Start of a relay to the owner that names its sender: no requester, and one
#: name, whose length byte follows.
_TO_OWNER_PREFIX: Final = bytes((RELAY_FIRST_BYTE, RelayKind.TO_OWNER, 0, 1))


def encode_relay(relay: Relay) -> bytes:
    """Encode a relayed packet.

    Parameters
    ----------
    relay : Relay
        Names have at most 255 bytes, and at most `MAX_REMAINING_MEMBERS`
        members remain.

    Returns
    -------
    bytes
        One datagram.
    """
    raw = relay.packet.raw
    if relay.kind is RelayKind.TO_OWNER and not relay.requester:
        return _create_owner_header(relay.sender) + raw
    names = relay.remaining_members
    if relay.kind is RelayKind.TO_OWNER:
        names = (relay.sender,)
    parts = [
        bytes((RELAY_FIRST_BYTE, relay.kind)),
        _encode_name(relay.requester),
        bytes((len(names),)),
        *map(_encode_name, names),
        raw,
    ]
    return b''.join(parts)


def decode_relay(datagram: bytes) -> Relay | MalformedPacket:
    """Decode a relayed packet.

    Parameters
    ----------
    datagram : bytes
        One datagram.

    Returns
    -------
    Relay or MalformedPacket
        The relay, or the reason for its rejection.
    """
    if datagram.startswith(_TO_OWNER_PREFIX):
        return _decode_to_owner(datagram)
    return _decode_with_names(datagram)


@cache
def _create_owner_header(sender: str) -> bytes:
    return _TO_OWNER_PREFIX + _encode_name(sender)


def _decode_to_owner(datagram: bytes) -> Relay | MalformedPacket:
    try:
        sender, position = _decode_name(datagram, len(_TO_OWNER_PREFIX))
    except (IndexError, ValueError):
        return _BAD_HEADER
    packet = decode_packet(datagram[position:])
    if isinstance(packet, MalformedPacket):
        return packet
    return Relay(RelayKind.TO_OWNER, '', (), packet, sender)


def _decode_with_names(datagram: bytes) -> Relay | MalformedPacket:
    try:
        kind = RelayKind(datagram[1])
        requester, position = _decode_name(datagram, 2)
        remaining_members, position = _decode_remaining_members(
            datagram, position
        )
    except (IndexError, ValueError):
        return _BAD_HEADER
    packet = decode_packet(datagram[position:])
    if isinstance(packet, MalformedPacket):
        return packet
    if kind is RelayKind.TO_OWNER:
        sender = ''.join(remaining_members[:1])
        return Relay(kind, requester, (), packet, sender)
    return Relay(kind, requester, remaining_members, packet)


def _decode_remaining_members(
    datagram: bytes,
    position: int,
) -> tuple[tuple[str, ...], int]:
    count = datagram[position]
    if count > MAX_REMAINING_MEMBERS:
        raise ValueError(
            f'{count} remaining members, limit {MAX_REMAINING_MEMBERS}'
        )
    position += 1
    remaining_members: list[str] = []
    while len(remaining_members) < count:
        name, position = _decode_name(datagram, position)
        remaining_members.append(name)
    return tuple(remaining_members), position


def _encode_name(name: str) -> bytes:
    encoded = name.encode()
    return bytes((len(encoded),)) + encoded


def _decode_name(datagram: bytes, position: int) -> tuple[str, int]:
    end = position + 1 + datagram[position]
    return datagram[position + 1 : end].decode(), end
