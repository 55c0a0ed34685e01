"""Packets of the platform: a header of 36 bytes and up to 1,200 data bytes."""

import ipaddress
import struct
import zlib
from dataclasses import dataclass, replace

FIN = 1
RST = 2
BOUNCED = 16
SYN = 32
ACK = 128

_HEADER = struct.Struct('<IB5sIIHHIIIH')
_KEY = b'key of the stand-ins'


@dataclass(frozen=True)
class Packet:
    """Header fields and data of one packet."""

    flags: int
    dst: str
    sport: int
    dport: int
    src: str
    seq: int = 0
    ack: int = 0
    data: bytes = b''
    echo: int = 0
    sum: int = 0

    def get_flow(self) -> tuple[str, int, str, int]:
        """Return the flow as its sender sees it."""
        return self.src, self.sport, self.dst, self.dport


def encode(packet: Packet) -> bytes:
    """Return the datagram with the keyed sum of its sender."""
    return _pack(packet, compute_sum(packet)) + packet.data


def decode(datagram: bytes) -> Packet | None:
    """Return the packet of a datagram; None if it is malformed."""
    if len(datagram) < _HEADER.size:
        return None
    (total, flags, _, echo, dst, sport, dport, src, seq, ack, length) = (
        _HEADER.unpack_from(datagram)
    )
    data = datagram[_HEADER.size :]
    if len(data) != length:
        return None
    return Packet(
        flags,
        str(ipaddress.IPv4Address(dst)),
        sport,
        dport,
        str(ipaddress.IPv4Address(src)),
        seq,
        ack,
        data,
        echo,
        total,
    )


def is_genuine(packet: Packet) -> bool:
    """Tell whether the packet is as its sender wrote it."""
    return packet.sum == compute_sum(packet)


def compute_sum(packet: Packet) -> int:
    """Return the keyed sum, which leaves out ``echo`` and BOUNCED."""
    plain = replace(packet, echo=0, flags=packet.flags & ~BOUNCED)
    return zlib.crc32(_KEY + _pack(plain, 0) + packet.data) or 1


def _pack(packet: Packet, total: int) -> bytes:
    return _HEADER.pack(
        total,
        packet.flags,
        bytes(5),
        packet.echo,
        int(ipaddress.IPv4Address(packet.dst)),
        packet.sport,
        packet.dport,
        int(ipaddress.IPv4Address(packet.src)),
        packet.seq,
        packet.ack,
        len(packet.data),
    )
