"""IPv4 packets with TCP segments (RFC 791, RFC 9293), without options."""

from dataclasses import dataclass
from struct import Struct
from typing import Final

from balsamshed.flows.packets import TcpFlag

#: Length of the IPv4 and TCP headers together.
HEADER_BYTES: Final = 40
#: Receive window that every segment advertises.
WINDOW_BYTES: Final = 65535

_IP_HEADER: Final = Struct('!BBHHHBBHII')
_TCP_HEADER: Final = Struct('!HHIIBBHHH')
_PSEUDO_HEADER: Final = Struct('!IIHH')
_VERSION_AND_LENGTH: Final = 0x45
_DO_NOT_FRAGMENT: Final = 0x4000
_TIME_TO_LIVE: Final = 64
_TCP_PROTOCOL: Final = 6
_IP_HEADER_BYTES: Final = 20
_TCP_HEADER_BYTES: Final = 20
_SEQUENCE_SPACE: Final = 1 << 32
_CHECKSUM_MODULUS: Final = 0xFFFF
_OCCUPYING_FLAGS: Final = int(TcpFlag.SYN | TcpFlag.FIN)


@dataclass(frozen=True, slots=True)
class Segment:
    """One TCP segment with its addresses.

    Parameters
    ----------
    source, destination : int
        IPv4 addresses as integers.
    source_port, destination_port : int
        TCP ports.
    sequence, acknowledgement : int
        TCP sequence numbers; the acknowledgement is only valid with the flag
        ``ACK``.
    flags : int
        TCP flag bits, see `TcpFlag`.
    payload : bytes
        Data after the headers.
    """

    source: int
    source_port: int
    destination: int
    destination_port: int
    sequence: int
    acknowledgement: int
    flags: int
    payload: bytes = b''


@dataclass(frozen=True, slots=True)
class Malformed:
    """Sentinel for bytes that are not a valid packet.

    Parameters
    ----------
    reason : str
        Why the bytes are not valid.
    """

    reason: str


def compute_checksum(covered: bytes) -> int:
    """Return the Internet checksum (RFC 1071).

    Parameters
    ----------
    covered : bytes
        Bytes that the checksum covers, not all of them zero.

    Returns
    -------
    int
        Ones' complement of the ones' complement sum of all 16-bit words; zero
        if the bytes include their own correct checksum.
    """
    if len(covered) % 2:
        covered += b'\0'
    # Modulo 65535, the sum of the 16-bit words is congruent to all bytes read
    # as one integer.
    return -int.from_bytes(covered) % _CHECKSUM_MODULUS


def build_packet(segment: Segment) -> bytes:
    """Encode a segment as an IPv4 packet.

    Parameters
    ----------
    segment : Segment
        Segment to encode.

    Returns
    -------
    bytes
        20 bytes of IPv4 header, 20 bytes of TCP header and the payload.
    """
    header = _build_ip_header(segment, 0)
    header = _build_ip_header(segment, compute_checksum(header))
    tcp = _build_tcp_header(segment, 0) + segment.payload
    pseudo = _PSEUDO_HEADER.pack(
        segment.source, segment.destination, _TCP_PROTOCOL, len(tcp)
    )
    checksum = compute_checksum(pseudo + tcp)
    return header + _build_tcp_header(segment, checksum) + segment.payload


def parse_packet(raw: bytes) -> Segment | Malformed:
    """Decode and validate an IPv4 packet.

    Parameters
    ----------
    raw : bytes
        Received packet.

    Returns
    -------
    Segment or Malformed
        The segment, or the first reason to reject the packet.
    """
    if len(raw) < HEADER_BYTES or raw[0] != _VERSION_AND_LENGTH:
        return Malformed('not an IPv4 packet with a header of 20 bytes')
    ip_fields = _IP_HEADER.unpack_from(raw)
    if ip_fields[2] != len(raw) or ip_fields[6] != _TCP_PROTOCOL:
        return Malformed('wrong total length or protocol')
    if compute_checksum(raw[:_IP_HEADER_BYTES]):
        return Malformed('wrong checksum of the IPv4 header')
    source, destination = ip_fields[8], ip_fields[9]
    tcp = raw[_IP_HEADER_BYTES:]
    pseudo = _PSEUDO_HEADER.pack(source, destination, _TCP_PROTOCOL, len(tcp))
    if compute_checksum(pseudo + tcp):
        return Malformed('wrong checksum of the TCP segment')
    tcp_fields = _TCP_HEADER.unpack_from(tcp)
    return Segment(
        source=source,
        source_port=tcp_fields[0],
        destination=destination,
        destination_port=tcp_fields[1],
        sequence=tcp_fields[2],
        acknowledgement=tcp_fields[3],
        flags=tcp_fields[5],
        payload=tcp[(tcp_fields[4] >> 4) * 4 :],
    )


def add_sequence(sequence: int, count: int) -> int:
    """Return a sequence number advanced by a count, modulo 2**32."""
    return (sequence + count) % _SEQUENCE_SPACE


def get_sequence_distance(start: int, end: int) -> int:
    """Return the signed distance between two sequence numbers.

    Parameters
    ----------
    start, end : int
        Sequence numbers, less than 2**31 apart.

    Returns
    -------
    int
        Positive if `end` comes after `start`.
    """
    half = _SEQUENCE_SPACE // 2
    return (end - start + half) % _SEQUENCE_SPACE - half


def get_sequence_length(segment: Segment) -> int:
    """Return how many sequence numbers a segment occupies."""
    occupying = segment.flags & _OCCUPYING_FLAGS
    return len(segment.payload) + occupying.bit_count()


def build_reset(segment: Segment) -> Segment | None:
    """Build the reset for a segment that matches no connection.

    Parameters
    ----------
    segment : Segment
        Rejected segment.

    Returns
    -------
    Segment or None
        The reset of RFC 9293, section 3.10.7.1; None for a reset.
    """
    if segment.flags & TcpFlag.RST:
        return None
    if segment.flags & TcpFlag.ACK:
        numbers = segment.acknowledgement, 0, int(TcpFlag.RST)
    else:
        end = add_sequence(segment.sequence, get_sequence_length(segment))
        numbers = 0, end, int(TcpFlag.RST | TcpFlag.ACK)
    return Segment(
        segment.destination,
        segment.destination_port,
        segment.source,
        segment.source_port,
        *numbers,
    )


def _build_ip_header(segment: Segment, checksum: int) -> bytes:
    return _IP_HEADER.pack(
        _VERSION_AND_LENGTH,
        0,
        HEADER_BYTES + len(segment.payload),
        0,
        _DO_NOT_FRAGMENT,
        _TIME_TO_LIVE,
        _TCP_PROTOCOL,
        checksum,
        segment.source,
        segment.destination,
    )


def _build_tcp_header(segment: Segment, checksum: int) -> bytes:
    return _TCP_HEADER.pack(
        segment.source_port,
        segment.destination_port,
        segment.sequence,
        segment.acknowledgement,
        _TCP_HEADER_BYTES // 4 << 4,
        segment.flags,
        WINDOW_BYTES,
        checksum,
        0,
    )
