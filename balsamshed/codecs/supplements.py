"""Codec of the supplements to the reports between edge balancers.

Big-endian: format number, kind of the content, number of endpoints; then the
endpoints (cookie, mean duration in sixteenths of an octave, samples in
quarters). Balancers that do not know the format reject the datagram as a
malformed report.
"""

from enum import StrEnum
from struct import Struct, error
from typing import Final

from balsamshed.peers.supplement import MAX_SPEEDS, Supplement
from balsamshed.placement.speeds import SpeedReport

#: Format number, in the place where a report has its own.
SUPPLEMENT_FORMAT: Final = 3
#: Kind of a supplement that holds the speeds of endpoints.
SPEEDS_KIND: Final = 1

_HEADER: Final = Struct('>BBB')
_SPEED: Final = Struct('>IbB')
_STEPS_PER_OCTAVE: Final = 16
_MAX_STEPS: Final = 127
_STEPS_PER_SAMPLE: Final = 4
_MAX_SAMPLE_STEPS: Final = 255


class MalformedSupplement(StrEnum):
    """Sentinel for a datagram that is not a valid supplement."""

    TOO_SHORT = 'too_short'
    WRONG_FORMAT = 'wrong_format'
    UNKNOWN_KIND = 'unknown_kind'
    WRONG_LENGTH = 'wrong_length'


def is_supplement(datagram: bytes) -> bool:
    """Tell whether a datagram has the format number of a supplement."""
    return datagram[:1] == bytes((SUPPLEMENT_FORMAT,))


def encode_supplement(supplement: Supplement) -> bytes:
    """Return the datagram of a supplement."""
    speeds = supplement.speeds[:MAX_SPEEDS]
    parts = [_HEADER.pack(SUPPLEMENT_FORMAT, SPEEDS_KIND, len(speeds))]
    for speed in speeds:
        steps = round(speed.octaves * _STEPS_PER_OCTAVE)
        samples = round(speed.samples * _STEPS_PER_SAMPLE)
        parts.append(
            _SPEED.pack(
                speed.cookie,
                max(-_MAX_STEPS, min(_MAX_STEPS, steps)),
                min(_MAX_SAMPLE_STEPS, samples),
            ),
        )
    return b''.join(parts)


def decode_supplement(datagram: bytes) -> Supplement | MalformedSupplement:
    """Return the supplement of a datagram, or the reason for its rejection."""
    try:
        format_version, kind, count = _HEADER.unpack_from(datagram)
    except error:
        return MalformedSupplement.TOO_SHORT
    if format_version != SUPPLEMENT_FORMAT:
        return MalformedSupplement.WRONG_FORMAT
    if kind != SPEEDS_KIND:
        return MalformedSupplement.UNKNOWN_KIND
    if len(datagram) != _HEADER.size + count * _SPEED.size:
        return MalformedSupplement.WRONG_LENGTH
    return Supplement(
        tuple(
            SpeedReport(
                cookie,
                steps / _STEPS_PER_OCTAVE,
                samples / _STEPS_PER_SAMPLE,
            )
            for cookie, steps, samples in _SPEED.iter_unpack(
                datagram[_HEADER.size :],
            )
        ),
    )
