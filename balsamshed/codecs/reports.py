"""Codec of the reports between edge balancers.

Reports use `struct` instead of thrift. They are sent ten times a second to
several peers and must be readable early in the start of a process; importing
the thrift library takes longer than the rest of the start.

Big-endian: format number, length of the data centre's name, number of
endpoints, number of peers, revision, age, version of the routes; then the name,
the endpoints (cookie, requests in flight with the highest bit set for a
suspected endpoint) and the addresses of the peers.

The age is the highest bit, 15 bits with the number of the read that confirmed
the revision, and 16 bits with milliseconds. Balancers of former builds take all
32 bits for milliseconds: such an age is weeks old to them, so that they read
the store for themselves. Their own ages lack the highest bit and name no read.
"""

from enum import StrEnum
from math import ceil
from socket import inet_aton, inet_ntoa
from struct import Struct, error
from typing import Final

from balsamshed.peers.report import EndpointReport, PeerReport

#: Version of this format; reports of other versions are rejected.
FORMAT_VERSION: Final = 2
#: Limit that keeps a report within one network packet.
MAX_ENDPOINTS: Final = 180

_HEADER: Final = Struct('>BBBBqIq')
_ENDPOINT: Final = Struct('>IH')
_ADDRESS_BYTES: Final = 4
_SUSPECTED_BIT: Final = 1 << 15
_MAX_IN_FLIGHT: Final = _SUSPECTED_BIT - 1
_UNKNOWN_AGE: Final = 0xFFFFFFFF
_MS_PER_SECOND: Final = 1000
_READ_BIT: Final = 1 << 31
_READ_SHIFT: Final = 16
_MAX_AGE_MS: Final = (1 << _READ_SHIFT) - 1
_READ_MASK: Final = (1 << 15) - 1


class MalformedReport(StrEnum):
    """Sentinel for a datagram that is not a valid report."""

    TOO_SHORT = 'too_short'
    WRONG_FORMAT = 'wrong_format'
    WRONG_LENGTH = 'wrong_length'


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report."""
    name = report.data_centre.encode()[:255]
    endpoints = report.endpoints[:MAX_ENDPOINTS]
    header = _HEADER.pack(
        FORMAT_VERSION,
        len(name),
        len(endpoints),
        len(report.peers),
        report.revision,
        _encode_age(report),
        report.version,
    )
    parts = [header, name]
    for endpoint in endpoints:
        count = min(endpoint.in_flight, _MAX_IN_FLIGHT)
        if endpoint.is_suspected:
            count |= _SUSPECTED_BIT
        parts.append(_ENDPOINT.pack(endpoint.cookie, count))
    parts.extend(map(inet_aton, report.peers))
    return b''.join(parts)


def decode_report(datagram: bytes) -> PeerReport | MalformedReport:
    """Return the report of a datagram, or the reason for its rejection."""
    try:
        header = _HEADER.unpack_from(datagram)
    except error:
        return MalformedReport.TOO_SHORT
    format_version, name_length, endpoint_count, peer_count = header[:4]
    revision, encoded_age, version = header[4:]
    age_seconds, read_number = _decode_age(encoded_age)
    if format_version != FORMAT_VERSION:
        return MalformedReport.WRONG_FORMAT
    endpoints_offset = _HEADER.size + name_length
    peers_offset = endpoints_offset + endpoint_count * _ENDPOINT.size
    if len(datagram) != peers_offset + peer_count * _ADDRESS_BYTES:
        return MalformedReport.WRONG_LENGTH
    return PeerReport(
        datagram[_HEADER.size : endpoints_offset].decode('utf-8', 'replace'),
        revision,
        age_seconds,
        tuple(
            EndpointReport(
                cookie,
                count & _MAX_IN_FLIGHT,
                bool(count & _SUSPECTED_BIT),
            )
            for cookie, count in _ENDPOINT.iter_unpack(
                datagram[endpoints_offset:peers_offset],
            )
        ),
        tuple(
            inet_ntoa(datagram[start : start + _ADDRESS_BYTES])
            for start in range(peers_offset, len(datagram), _ADDRESS_BYTES)
        ),
        version,
        read_number,
    )


def _encode_age(report: PeerReport) -> int:
    age_ms = report.age_seconds * _MS_PER_SECOND
    if age_ms > _MAX_AGE_MS:
        return _UNKNOWN_AGE
    # Rounded up: a peer must not take the confirmation for more recent.
    age = max(0, ceil(age_ms))
    return _READ_BIT | report.read_number << _READ_SHIFT | age


def _decode_age(encoded: int) -> tuple[float, int]:
    """Return the age in seconds and the number of the read."""
    if encoded == _UNKNOWN_AGE:
        return float('inf'), 0
    if not encoded & _READ_BIT:
        return encoded / _MS_PER_SECOND, 0
    number = encoded >> _READ_SHIFT & _READ_MASK
    return (encoded & _MAX_AGE_MS) / _MS_PER_SECOND, number
