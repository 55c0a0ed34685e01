"""Codec of IPv4 and TCP headers (RFC 791, RFC 9293) and their checksums."""

from dataclasses import dataclass
from functools import lru_cache
from struct import Struct
from typing import Final

from balsamshed.flows.packets import Packet, TcpFlag

#: Smallest packet: an IPv4 and a TCP header without options, in bytes.
MIN_PACKET_BYTES: Final = 40
#: First byte of an IPv4 header without options: version 4, five words.
IPV4_FIRST_BYTE: Final = 0x45

_PROTOCOL_TCP: Final = 6
# The more-fragments bit and the fragment offset.
_FRAGMENT_MASK: Final = 0x3FFF
_WORD_MASK: Final = 0xFFFF
_IP_CHECKSUM_OFFSET: Final = 10
_SOURCE_OFFSET: Final = 12
_DESTINATION_OFFSET: Final = 16
_TCP_CHECKSUM_OFFSET: Final = 36
_TIME_TO_LIVE: Final = 64

# Fields read from a packet: first byte, total length, fragment, protocol,
# source, destination, ports, sequence, flags.
_PACKET_FIELDS = Struct('!BxHxxHxBxxIIHHI5xB')
_UINT16 = Struct('!H')
# Checksums of the IPv4 and of the TCP header.
_CHECKSUMS = Struct('!10xH24xH')
_UINT32 = Struct('!I')
_IP_HEADER = Struct('!BBHHHBBHII')
_TCP_HEADER = Struct('!HHIIBBHHH')
_PSEUDO_HEADER = Struct('!IIBBH')


@dataclass(frozen=True, slots=True)
class MalformedPacket:
    """Sentinel for a datagram that is not a packet the balancer can forward.

    Parameters
    ----------
    reason : str
        Reason for the rejection, used as a counter name.
    """

    reason: str


_TOO_SHORT: Final = MalformedPacket('too_short')
_NOT_IPV4: Final = MalformedPacket('not_plain_ipv4')
_NOT_TCP: Final = MalformedPacket('not_tcp')
_FRAGMENT: Final = MalformedPacket('fragment')
_WRONG_LENGTH: Final = MalformedPacket('wrong_length')


def decode_packet(raw: bytes) -> Packet | MalformedPacket:
    """Decode an IPv4/TCP packet.

    Parameters
    ----------
    raw : bytes
        A whole packet, without IPv4 options.

    Returns
    -------
    Packet or MalformedPacket
        The packet, or the reason for its rejection.
    """
    size = len(raw)
    if size < MIN_PACKET_BYTES:
        return _TOO_SHORT
    (
        first_byte,
        total_length,
        fragment,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
        sequence,
        flags,
    ) = _PACKET_FIELDS.unpack_from(raw)
    if first_byte != IPV4_FIRST_BYTE:
        return _NOT_IPV4
    if protocol != _PROTOCOL_TCP:
        return _NOT_TCP
    if fragment & _FRAGMENT_MASK:
        return _FRAGMENT
    if total_length != size:
        return _WRONG_LENGTH
    return Packet(
        raw[12:24],
        source,
        destination,
        source_port,
        destination_port,
        flags,
        sequence,
        raw,
    )


def rewrite_destination(raw: bytes, old: int, new: int) -> bytearray:
    """Replace the destination address of a packet.

    Both checksums are updated incrementally (RFC 1624, equation 3).

    Parameters
    ----------
    raw : bytes
        A packet that `decode_packet` accepted.
    old, new : int
        IPv4 addresses.

    Returns
    -------
    bytearray
        The new packet.
    """
    return _rewrite_address(raw, old, new, _DESTINATION_OFFSET)


def rewrite_source(raw: bytes, old: int, new: int) -> bytearray:
    """Replace the source address of a packet.

    Parameters
    ----------
    raw : bytes
        A packet that `decode_packet` accepted.
    old, new : int
        IPv4 addresses.

    Returns
    -------
    bytearray
        The new packet.
    """
    return _rewrite_address(raw, old, new, _SOURCE_OFFSET)


def encode_reset(packet: Packet) -> bytes:
    """Build the RST that answers a packet (RFC 9293, section 3.5.2).

    Parameters
    ----------
    packet : Packet
        The packet to answer, as received.

    Returns
    -------
    bytes
        A packet from the packet's destination to its source.
    """
    raw = packet.raw
    if packet.flags & TcpFlag.ACK:
        sequence = _UINT32.unpack_from(raw, 28)[0]
        acknowledgement = 0
        flags = int(TcpFlag.RST)
    else:
        sequence = 0
        acknowledgement = packet.sequence + _get_segment_length(packet)
        flags = TcpFlag.RST | TcpFlag.ACK
    tcp = _TCP_HEADER.pack(
        packet.destination_port,
        packet.source_port,
        sequence,
        acknowledgement & 0xFFFFFFFF,
        0x50,
        flags,
        0,
        0,
        0,
    )
    pseudo_header = _PSEUDO_HEADER.pack(
        packet.destination,
        packet.source,
        0,
        _PROTOCOL_TCP,
        len(tcp),
    )
    checksum = _UINT16.pack(compute_checksum(pseudo_header + tcp))
    header = _IP_HEADER.pack(
        IPV4_FIRST_BYTE,
        0,
        MIN_PACKET_BYTES,
        0,
        0,
        _TIME_TO_LIVE,
        _PROTOCOL_TCP,
        0,
        packet.destination,
        packet.source,
    )
    header_checksum = _UINT16.pack(compute_checksum(header))
    return b''.join(
        (
            header[:10],
            header_checksum,
            header[12:],
            tcp[:16],
            checksum,
            tcp[18:],
        )
    )


def compute_checksum(octets: bytes) -> int:
    """Return the Internet checksum of some bytes (RFC 1071).

    Parameters
    ----------
    octets : bytes
        An odd length is padded with a zero byte.

    Returns
    -------
    int
        From 0 to 65535.
    """
    padded = octets + b'\0' * (len(octets) % 2)
    # 65536 is 1 modulo 65535, so the remainder is the folded sum.
    total = int.from_bytes(padded) % _WORD_MASK
    return _WORD_MASK - total


@lru_cache(maxsize=65536)
def _compute_checksum_delta(old: int, new: int) -> int:
    total = (
        (~(old >> 16) & _WORD_MASK)
        + (~old & _WORD_MASK)
        + (new >> 16)
        + (new & _WORD_MASK)
    )
    # At most four words: the first fold leaves a carry of at most 3.
    total = (total & _WORD_MASK) + (total >> 16)
    return (total & _WORD_MASK) + (total >> 16)


def _rewrite_address(raw: bytes, old: int, new: int, offset: int) -> bytearray:
    delta = _compute_checksum_delta(old, new)
    rewritten = bytearray(raw)
    _UINT32.pack_into(rewritten, offset, new)
    ip_checksum, tcp_checksum = _CHECKSUMS.unpack_from(raw)
    # The delta is a single word, so one fold leaves no carry.
    total = (ip_checksum ^ _WORD_MASK) + delta
    total = (total & _WORD_MASK) + (total >> 16)
    _UINT16.pack_into(rewritten, _IP_CHECKSUM_OFFSET, total ^ _WORD_MASK)
    total = (tcp_checksum ^ _WORD_MASK) + delta
    total = (total & _WORD_MASK) + (total >> 16)
    _UINT16.pack_into(rewritten, _TCP_CHECKSUM_OFFSET, total ^ _WORD_MASK)
    return rewritten


def _get_segment_length(packet: Packet) -> int:
    header_bytes = 20 + (packet.raw[32] >> 4) * 4
    length = max(len(packet.raw) - header_bytes, 0)
    return (
        length
        + bool(packet.flags & TcpFlag.SYN)
        + bool(packet.flags & TcpFlag.FIN)
    )
