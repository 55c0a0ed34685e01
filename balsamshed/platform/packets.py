"""Packets on the platform: a header of 36 bytes before up to 1,200 of data.

Fields, little-endian: ``sum``, ``flags``, ``pad``, ``echo``, ``dst``,
``sport``, ``dport``, ``src``, ``seq``, ``ack``, ``len``.
"""

from dataclasses import dataclass
from enum import StrEnum
from struct import Struct
from typing import Final

from balsamshed.routes.table import join_listener
from balsamshed.steering.packets import FlowPacket, PacketKind

HEADER_BYTES: Final = 36
MAX_DATA_BYTES: Final = 1200

_SYN: Final = 32
_ACK: Final = 128
_FIN: Final = 1
_RST: Final = 2

_COOKIE_START: Final = 10
_COOKIE_END: Final = 14
#: ``dst``, ``sport``, ``dport`` and ``src`` stand next to each other.
_FLOW_KEY_END: Final = 26

_HEADER: Final = Struct('<I B 5s I I H H I I I H')
#: The fields that matter of a caller's packet.
_CALLER_FIELDS: Final = Struct('<4x B 5x I I 2x H 8x I H')
#: Both ends and what is acknowledged: ``dst``, ``sport``, ``dport``, ``src``
#: and ``ack``.
_RESET_FIELDS: Final = Struct('<14x I H H I 4x I 2x')
_FLOW_KEY: Final = Struct('<I H H I')
_COOKIE: Final = Struct('<I')
#: Before the packet, an endpoint expects its own identity.
_INSTANCE_PREFIX: Final = Struct('>Q')
_ZERO_PADDING: Final = bytes(5)


class MalformedReason(StrEnum):
    """Why a datagram is no packet of a caller."""

    TOO_SHORT = 'too_short'
    WRONG_LENGTH = 'wrong_length'


@dataclass(frozen=True, slots=True)
class MalformedPacket:
    """Sentinel for a datagram that cannot be used.

    Parameters
    ----------
    reason : MalformedReason
        What is wrong with it.
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
        The packet, or why it cannot be used.
    """
    size = len(datagram)
    if size < HEADER_BYTES:
        return MalformedPacket(MalformedReason.TOO_SHORT)
    flags, echo, destination, port, acknowledged, length = (
        _CALLER_FIELDS.unpack_from(datagram)
    )
    if length > MAX_DATA_BYTES or size != HEADER_BYTES + length:
        return MalformedPacket(MalformedReason.WRONG_LENGTH)
    is_opening = bool(flags & _SYN)
    return FlowPacket(
        _classify_packet(flags, length),
        datagram[_COOKIE_END:_FLOW_KEY_END],
        join_listener(destination, port),
        echo,
        # ``ack`` of an opening packet counts its repetitions.
        acknowledged if is_opening else 0,
        0 if is_opening else acknowledged,
        datagram,
    )


def encode_forwarded(raw: bytes, instance: int, cookie: int) -> bytes:
    """Return the datagram that takes a packet to an endpoint.

    Parameters
    ----------
    raw : bytes
        The packet as the caller sent it.
    instance : int
        Identity of the endpoint; another endpoint ignores the datagram.
    cookie : int
        What both ends repeat in ``echo`` from now on.
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
    """Return a reset from the route's address to the caller of a packet.

    ``seq`` is what the caller acknowledged last, which it accepts on an open
    flow. The keyed sum stays zero, as the platform asks for resets.
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
    """Return a flow as text: the caller's end, then the address it called."""
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
