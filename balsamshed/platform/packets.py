"""Codec of the platform's packets: a 36-byte header and up to 1,200 data bytes.

Fields, little-endian: ``sum``, ``flags``, ``pad``, ``echo``, ``dst``,
``sport``, ``dport``, ``src``, ``seq``, ``ack``, ``len``.
"""

from dataclasses import dataclass
from enum import StrEnum
from struct import Struct
from typing import Final

from balsamshed.routes.table import make_listener_key
from balsamshed.steering.packets import FlowPacket, PacketKind

HEADER_BYTES: Final = 36
MAX_DATA_BYTES: Final = 1200

_SYN: Final = 32
_ACK: Final = 128
_FIN: Final = 1
_RST: Final = 2

_COOKIE_START: Final = 10
_COOKIE_END: Final = 14
#: The flow key is the adjacent fields ``dst``, ``sport``, ``dport``, ``src``.
_FLOW_KEY_END: Final = 26

_HEADER: Final = Struct('<I B 5s I I H H I I I H')
#: Fields read from a caller's packet: ``flags``, ``echo``, ``dst``, ``dport``,
#: ``seq``, ``ack`` and ``len``.
_CALLER_FIELDS: Final = Struct('<4x B 5x I I 2x H 4x I I H')
#: Fields needed to build a reset: ``dst``, ``sport``, ``dport``, ``src`` and
#: ``ack``.
_RESET_FIELDS: Final = Struct('<14x I H H I 4x I 2x')
_FLOW_KEY: Final = Struct('<I H H I')
_COOKIE: Final = Struct('<I')
#: Instance ID of the endpoint, which precedes a forwarded packet.
_INSTANCE_PREFIX: Final = Struct('>Q')
_ZERO_PADDING: Final = bytes(5)


class MalformedReason(StrEnum):
    """Reason why a datagram is not a valid packet."""

    TOO_SHORT = 'too_short'
    WRONG_LENGTH = 'wrong_length'


@dataclass(frozen=True, slots=True)
class MalformedPacket:
    """Sentinel for a datagram that is not a valid packet.

    Parameters
    ----------
    reason : MalformedReason
        Reason for the rejection.
    """

    reason: MalformedReason


def decode_packet(datagram: bytes) -> FlowPacket | MalformedPacket:
    """Decode a datagram from the platform's routers.

    Parameters
    ----------
    datagram : bytes
        Header and data.

    Returns
    -------
    FlowPacket or MalformedPacket
        The packet, or the reason for its rejection.
    """
    size = len(datagram)
    if size < HEADER_BYTES:
        return MalformedPacket(MalformedReason.TOO_SHORT)
    flags, echo, destination, port, sequence, acknowledged, length = (
        _CALLER_FIELDS.unpack_from(datagram)
    )
    if length > MAX_DATA_BYTES or size != HEADER_BYTES + length:
        return MalformedPacket(MalformedReason.WRONG_LENGTH)
    is_opening = bool(flags & _SYN)
    return FlowPacket(
        _classify_packet(flags, length),
        datagram[_COOKIE_END:_FLOW_KEY_END],
        make_listener_key(destination, port),
        echo,
        # ``ack`` of an opening packet is its number of retransmissions.
        acknowledged if is_opening else 0,
        0 if is_opening else acknowledged,
        sequence,
        datagram,
    )


def encode_forwarded(raw: bytes, instance: int, cookie: int) -> bytes:
    """Return the datagram that forwards a packet to an endpoint.

    Parameters
    ----------
    raw : bytes
        The packet as the caller sent it.
    instance : int
        Instance ID of the endpoint; another endpoint ignores the datagram.
    cookie : int
        Value that both ends repeat in ``echo`` in all later packets.
    """
    return b''.join(
        (
            _INSTANCE_PREFIX.pack(instance),
            raw[:_COOKIE_START],
            _COOKIE.pack(cookie),
            raw[_COOKIE_END:],
        ),
    )


def encode_reset(raw: bytes) -> bytes:
    """Return a reset from the route's address to the sender of a packet.

    ``seq`` is the number that the caller acknowledged last, which it accepts
    on an open flow. The keyed sum stays zero, as the platform requires for
    resets.
    """
    destination, source_port, port, source, acknowledged = (
        _RESET_FIELDS.unpack_from(raw)
    )
    return _HEADER.pack(
        0,
        _RST,
        _ZERO_PADDING,
        0,
        source,
        port,
        source_port,
        destination,
        acknowledged,
        0,
        0,
    )


def get_caller_address(raw: bytes) -> str:
    """Return the IPv4 address of a packet's sender as text."""
    return _format_address(_RESET_FIELDS.unpack_from(raw)[3])


def describe_flow(flow_key: bytes) -> str:
    """Return a flow as text: ``caller:port>address:port``."""
    destination, source_port, port, source = _FLOW_KEY.unpack(flow_key)
    caller = f'{_format_address(source)}:{source_port}'
    return f'{caller}>{_format_address(destination)}:{port}'


def _format_address(address: int) -> str:
    return '.'.join(str(octet) for octet in address.to_bytes(4, 'big'))


def _classify_packet(flags: int, length: int) -> PacketKind:
    if flags & _SYN:
        return PacketKind.OPENING
    if flags & (_FIN | _RST):
        return PacketKind.CLOSING
    return PacketKind.DATA if length else PacketKind.ACKNOWLEDGEMENT
