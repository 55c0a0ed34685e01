"""Codec of the reports between edge balancers.

Reports use `struct` instead of thrift. They are sent ten times a second to
several peers and must be readable early in the start of a process; importing
the thrift library takes longer than the rest of the start.

Big-endian: format number, length of the data centre's name, number of
endpoints, number of peers, revision, age in milliseconds, version of the
routes; then the name, the endpoints (cookie, requests in flight with the
highest bit set for a suspected endpoint) and the addresses of the peers.
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


class MalformedReport(StrEnum):
    """Sentinel for a datagram that is not a valid report."""

    TOO_SHORT = 'too_short'
    WRONG_FORMAT = 'wrong_format'
    WRONG_LENGTH = 'wrong_length'


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report."""
    name = report.data_centre.encode()[:255]
    endpoints = report.endpoints[:MAX_ENDPOINTS]
    age = report.age_seconds * _MS_PER_SECOND
    header = _HEADER.pack(
        FORMAT_VERSION,
        len(name),
        len(endpoints),
        len(report.peers),
        report.revision,
        # Rounded up: a peer must not take the confirmation for more recent.
        ceil(age) if age < _UNKNOWN_AGE else _UNKNOWN_AGE,
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
    revision, age, version = header[4:]
    if format_version != FORMAT_VERSION:
        return MalformedReport.WRONG_FORMAT
    endpoints_offset = _HEADER.size + name_length
    peers_offset = endpoints_offset + endpoint_count * _ENDPOINT.size
    if len(datagram) != peers_offset + peer_count * _ADDRESS_BYTES:
        return MalformedReport.WRONG_LENGTH
    return PeerReport(
        datagram[_HEADER.size : endpoints_offset].decode('utf-8', 'replace'),
        revision,
        float('inf') if age == _UNKNOWN_AGE else age / _MS_PER_SECOND,
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
    )
