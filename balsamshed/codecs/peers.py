"""Codec of peer messages in authenticated datagrams.

A datagram is a tag of 16 bytes and the envelope in thrift's compact protocol.
The tag is a keyed BLAKE2b hash of the envelope. It authenticates members of
the group but does not prevent replays: receivers tolerate repeated datagrams.
"""

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import Any, Final

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from balsamshed.codecs.generated import ttypes
from balsamshed.codecs.structures import (
    RecordBodyError,
    pack_message,
    unpack_message,
)
from balsamshed.node.messages import Envelope

#: Limit of a datagram; the largest UDP payload over IPv4 is 65,507 bytes.
MAX_DATAGRAM_BYTES: Final = 60_000
TAG_BYTES: Final = 16


class DecodeFailureReason(StrEnum):
    """Reason why a datagram was not decoded."""

    OVERSIZED = 'oversized'
    TRUNCATED = 'truncated'
    WRONG_TAG = 'wrong_tag'
    MALFORMED = 'malformed'
    UNKNOWN_MESSAGE = 'unknown_message'
    INVALID_VALUE = 'invalid_value'
    INVALID_BODY = 'invalid_body'


@dataclass(frozen=True, slots=True)
class DecodeFailure:
    """Sentinel for a datagram that was not decoded.

    Parameters
    ----------
    reason : DecodeFailureReason
        Reason for the failure.
    """

    reason: DecodeFailureReason


def encode_envelope(envelope: Envelope, key: bytes) -> bytes:
    """Encode a peer message.

    Parameters
    ----------
    envelope : Envelope
        The message with its sender.
    key : bytes
        Key of the group, up to 64 bytes.

    Returns
    -------
    bytes
        A datagram of at most ``MAX_DATAGRAM_BYTES`` bytes.

    Raises
    ------
    ValueError
        If the datagram would be larger; senders split long lists beforehand.
    """
    buffer = TMemoryBuffer()
    ttypes.Envelope(
        envelope.sender,
        envelope.incarnation,
        **pack_message(envelope.message),
    ).write(_create_protocol(buffer))
    payload: bytes = buffer.getvalue()
    size = TAG_BYTES + len(payload)
    if size > MAX_DATAGRAM_BYTES:
        kind = type(envelope.message).__name__
        raise ValueError(
            f'{kind} takes {size} bytes, at most {MAX_DATAGRAM_BYTES} fit',
        )
    return _compute_tag(payload, key) + payload


def decode_envelope(datagram: bytes, key: bytes) -> Envelope | DecodeFailure:
    """Decode a peer message.

    Parameters
    ----------
    datagram : bytes
        Datagram as received, not trusted.
    key : bytes
        Key of the group, up to 64 bytes.

    Returns
    -------
    Envelope or DecodeFailure
        The message with its sender, or the reason for the failure.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return DecodeFailure(DecodeFailureReason.OVERSIZED)
    if len(datagram) <= TAG_BYTES:
        return DecodeFailure(DecodeFailureReason.TRUNCATED)
    payload = datagram[TAG_BYTES:]
    if not compare_digest(datagram[:TAG_BYTES], _compute_tag(payload, key)):
        return DecodeFailure(DecodeFailureReason.WRONG_TAG)
    return _decode_payload(payload)


def _decode_payload(payload: bytes) -> Envelope | DecodeFailure:
    decoded = ttypes.Envelope()
    try:
        decoded.read(_create_protocol(TMemoryBuffer(payload)))
    # For malformed input the library raises errors of many types: EOFError,
    # TypeError and OverflowError in C, KeyError and others in Python.
    except Exception:
        return DecodeFailure(DecodeFailureReason.MALFORMED)
    if decoded.sender is None or decoded.incarnation is None:
        return DecodeFailure(DecodeFailureReason.MALFORMED)
    return _unpack_envelope(decoded)


def _unpack_envelope(decoded: Any) -> Envelope | DecodeFailure:
    try:
        message = unpack_message(decoded)
    except RecordBodyError:
        return DecodeFailure(DecodeFailureReason.INVALID_BODY)
    except ValueError:
        return DecodeFailure(DecodeFailureReason.INVALID_VALUE)
    # A structure has a missing field or a field of the wrong type.
    except Exception:
        return DecodeFailure(DecodeFailureReason.MALFORMED)
    if message is None:
        return DecodeFailure(DecodeFailureReason.UNKNOWN_MESSAGE)
    return Envelope(decoded.sender, decoded.incarnation, message)


def _create_protocol(buffer: TMemoryBuffer) -> TCompactProtocolAccelerated:
    # Without these limits a few bytes that announce a long list would make the
    # decoder allocate gigabytes. Each element takes at least one byte, so no
    # valid datagram exceeds them.
    return TCompactProtocolAccelerated(
        buffer,
        string_length_limit=MAX_DATAGRAM_BYTES,
        container_length_limit=MAX_DATAGRAM_BYTES,
    )


def _compute_tag(payload: bytes, key: bytes) -> bytes:
    return blake2b(payload, digest_size=TAG_BYTES, key=key).digest()
