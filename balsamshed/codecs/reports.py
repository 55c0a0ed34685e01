"""Encoding of reports between balancers.

A report is sent ten times a second to several peers and has to be read before
anything else of a process is loaded, so it is packed by `struct`; loading the
thrift library takes longer than the rest of the start.

Big-endian: format number, length of the data centre's name, number of
endpoints, number of peers, revision, age in milliseconds; then the name, the
endpoints (cookie, requests in flight with the suspicion as highest bit) and
the addresses.
"""

from enum import StrEnum
from socket import inet_aton, inet_ntoa
from struct import Struct, error
from typing import Final

from balsamshed.peers.report import EndpointReport, PeerReport

#: Number of this format; another one is rejected.
FORMAT_VERSION: Final = 1
#: A report fits into one packet of the network.
MAX_ENDPOINTS: Final = 180

_HEADER: Final = Struct('>BBBBqI')
_ENDPOINT: Final = Struct('>IH')
_ADDRESS_BYTES: Final = 4
_SUSPECTED_BIT: Final = 1 << 15
_MAX_IN_FLIGHT: Final = _SUSPECTED_BIT - 1
_UNKNOWN_AGE: Final = 0xFFFFFFFF
_MS_PER_SECOND: Final = 1000


class MalformedReport(StrEnum):
    """Sentinel for a datagram that is no report."""

    TOO_SHORT = 'too_short'
    WRONG_FORMAT = 'wrong_format'
    WRONG_LENGTH = 'wrong_length'


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report."""
    name = report.data_centre.encode()[:255]
    endpoints = report.endpoints[:MAX_ENDPOINTS]
    age = report.age_seconds * _MS_PER_SECOND
    head = _HEADER.pack(
        FORMAT_VERSION,
        len(name),
        len(endpoints),
        len(report.peers),
        report.revision,
        int(age) if age < _UNKNOWN_AGE else _UNKNOWN_AGE,
    )
    parts = [head, name]
    for endpoint in endpoints:
        count = min(endpoint.in_flight, _MAX_IN_FLIGHT)
        if endpoint.is_suspected:
            count |= _SUSPECTED_BIT
        parts.append(_ENDPOINT.pack(endpoint.cookie, count))
    parts.extend(map(inet_aton, report.peers))
    return b''.join(parts)


def decode_report(datagram: bytes) -> PeerReport | MalformedReport:
    """Return the report of a datagram, or what is wrong with it."""
    try:
        head = _HEADER.unpack_from(datagram)
    except error:
        return MalformedReport.TOO_SHORT
    form, name_length, endpoint_count, peer_count, revision, age = head
    if form != FORMAT_VERSION:
        return MalformedReport.WRONG_FORMAT
    endpoints_at = _HEADER.size + name_length
    peers_at = endpoints_at + endpoint_count * _ENDPOINT.size
    if len(datagram) != peers_at + peer_count * _ADDRESS_BYTES:
        return MalformedReport.WRONG_LENGTH
    return PeerReport(
        datagram[_HEADER.size : endpoints_at].decode('utf-8', 'replace'),
        revision,
        float('inf') if age == _UNKNOWN_AGE else age / _MS_PER_SECOND,
        tuple(
            EndpointReport(
                cookie,
                count & _MAX_IN_FLIGHT,
                bool(count & _SUSPECTED_BIT),
            )
            for cookie, count in _ENDPOINT.iter_unpack(
                datagram[endpoints_at:peers_at],
            )
        ),
        tuple(
            inet_ntoa(datagram[start : start + _ADDRESS_BYTES])
            for start in range(peers_at, len(datagram), _ADDRESS_BYTES)
        ),
    )
