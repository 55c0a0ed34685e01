"""Tests of the codec of peer messages."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from thrift.transport.TTransport import TMemoryBuffer

from balsamshed.codecs.generated import ttypes
from balsamshed.codecs.peers import (
    MAX_DATAGRAM_BYTES,
    TAG_BYTES,
    DecodeFailure,
    DecodeFailureReason,
    _compute_tag,
    _create_protocol,
    decode_envelope,
    encode_envelope,
)
from balsamshed.configuration.anti_entropy import batch_records
from balsamshed.configuration.catalog import (
    MAX_BODY_BYTES,
    Catalog,
    merge_records,
)
from balsamshed.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RecordPush,
)
from balsamshed.configuration.records import Record
from balsamshed.flows.messages import FlowCopies, FlowCopiesAck, FlowCopy
from balsamshed.members.member import Member, MemberState
from balsamshed.members.messages import Ack, CatalogDigest, Ping, PingRequest
from balsamshed.node.messages import Envelope
from balsamshed.placement.messages import LoadReport, LoadReports

KEY = b'0123456789abcdef'

names = st.text(st.characters(exclude_categories=('Cs',)), max_size=20)
i64 = st.integers(-(2**63), 2**63 - 1)
counts = st.integers(0, 2**31 - 1)
hosts = st.integers(0, 2**32 - 1)
ports = st.integers(0, 65535)


def lists(strategy):
    return st.lists(strategy, max_size=6).map(tuple)


members = st.builds(
    Member,
    names,
    names,
    names,
    ports,
    ports,
    i64,
    st.sampled_from(MemberState),
)
digests = st.builds(CatalogDigest, i64, i64)
bodies = st.dictionaries(
    st.text(max_size=5),
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats(allow_nan=False)
        | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=6,
    ),
    max_size=4,
)
reports = st.builds(
    LoadReport,
    hosts,
    counts,
    counts,
    counts.map(lambda milliseconds: milliseconds / 1000),
)
MESSAGES = {
    Ping: st.builds(Ping, i64, digests, lists(members), names),
    Ack: st.builds(Ack, i64, digests, lists(members)),
    PingRequest: st.builds(PingRequest, i64, names, lists(members)),
    RecordPush: st.builds(
        RecordPush,
        lists(st.builds(Record, names, i64, bodies)),
    ),
    BucketDigests: st.builds(BucketDigests, lists(i64)),
    BucketVersions: st.builds(
        BucketVersions,
        lists(counts),
        lists(st.tuples(names, i64)),
    ),
    FlowCopies: st.builds(
        FlowCopies,
        i64,
        lists(st.builds(FlowCopy, st.binary(min_size=12, max_size=12), hosts)),
    ),
    FlowCopiesAck: st.builds(FlowCopiesAck, i64),
    LoadReports: st.builds(LoadReports, lists(reports)),
}


def sign(payload):
    return _compute_tag(payload, KEY) + payload


def sign_envelope(**fields):
    buffer = TMemoryBuffer()
    ttypes.Envelope(**fields).write(_create_protocol(buffer))
    return sign(buffer.getvalue())


@pytest.mark.parametrize('kind', MESSAGES, ids=lambda kind: kind.__name__)
@given(content=st.data())
def test_every_message_survives_the_round_trip(kind, content):
    """Guards against lost or changed fields, after which members disagree."""
    envelope = Envelope(
        content.draw(names),
        content.draw(i64),
        content.draw(MESSAGES[kind]),
    )
    assert decode_envelope(encode_envelope(envelope, KEY), KEY) == envelope


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(datagram):
    """Guards against untrusted datagrams that raise at the control port."""
    assert isinstance(decode_envelope(datagram, KEY), DecodeFailure)


@given(st.binary(min_size=1, max_size=200))
# A list of structures with a stated length of 2^31 - 1.
@example(b'\x18\x01a\x16\x02\x6c\x19\xfc\xff\xff\xff\xff\x07')
# An unknown list of the element type 0.
@example(b'\xf9\xf0\xff\xff\xff\xff\x07')
# Structures nested deeper than the interpreter's recursion limit.
@example(b'\xfc' * 5000)
@example(b'\x1c' * 50000)
def test_random_payloads_with_a_valid_tag_never_raise(payload):
    """Guards against errors raised by messages of another software version."""
    decode_envelope(sign(payload), KEY)


@given(st.one_of(*MESSAGES.values()), st.data())
def test_truncated_and_altered_datagrams_are_rejected(message, content):
    """Guards against the use of a datagram truncated or altered in transit."""
    datagram = encode_envelope(Envelope('a', 1, message), KEY)
    position = content.draw(st.integers(0, len(datagram) - 1))
    cut = decode_envelope(datagram[:position], KEY)
    reason = (
        DecodeFailureReason.TRUNCATED
        if position <= TAG_BYTES
        else DecodeFailureReason.WRONG_TAG
    )
    assert cut == DecodeFailure(reason)
    altered = bytearray(datagram)
    altered[position] ^= 1 << content.draw(st.integers(0, 7))
    assert decode_envelope(bytes(altered), KEY) == DecodeFailure(
        DecodeFailureReason.WRONG_TAG,
    )


@given(st.one_of(*MESSAGES.values()), st.data())
def test_signed_prefixes_never_raise(message, content):
    """Guards against errors raised by a truncated message with a valid tag."""
    payload = encode_envelope(Envelope('a', 1, message), KEY)[TAG_BYTES:]
    position = content.draw(st.integers(1, len(payload) - 1))
    failure = decode_envelope(sign(payload[:position]), KEY)
    assert isinstance(failure, DecodeFailure)


def test_wrong_key_is_rejected():
    """Guards against members of another group that join this one."""
    datagram = encode_envelope(Envelope('a', 1, FlowCopiesAck(1)), b'other')
    assert decode_envelope(datagram, KEY) == DecodeFailure(
        DecodeFailureReason.WRONG_TAG
    )


def test_size_limit_holds_in_both_directions():
    """Guards against oversized datagrams, which are lost without an error."""
    size = MAX_DATAGRAM_BYTES
    assert decode_envelope(bytes(size + 1), KEY) == DecodeFailure(
        DecodeFailureReason.OVERSIZED,
    )
    body = {'text': 'x' * size}
    push = RecordPush((Record('g/service/a', 1, body),))
    with pytest.raises(ValueError, match='RecordPush takes'):
        encode_envelope(Envelope('a', 1, push), KEY)


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({}, DecodeFailureReason.UNKNOWN_MESSAGE),
        (
            {
                'flow_copies_ack': ttypes.FlowCopiesAck(1),
                'load_reports': ttypes.LoadReports([]),
            },
            DecodeFailureReason.UNKNOWN_MESSAGE,
        ),
        ({'ping': ttypes.Ping(1)}, DecodeFailureReason.MALFORMED),
        ({'sender': None}, DecodeFailureReason.MALFORMED),
        (
            {
                'ping_request': ttypes.PingRequest(
                    1,
                    'b',
                    [ttypes.MemberUpdate('b', 'qc-1', '10.0.0.1', 1, 2, 3, 9)],
                ),
            },
            DecodeFailureReason.INVALID_VALUE,
        ),
        (
            {
                'record_push': ttypes.RecordPush(
                    [ttypes.RecordData('g/service/a', 1, b'{"spec"')],
                ),
            },
            DecodeFailureReason.INVALID_BODY,
        ),
        (
            {
                'record_push': ttypes.RecordPush(
                    [ttypes.RecordData('g/service/a', 1, b'[' * 20000)],
                ),
            },
            DecodeFailureReason.INVALID_BODY,
        ),
        (
            {
                'record_push': ttypes.RecordPush(
                    [ttypes.RecordData('g/service/a', 1, b'[]')],
                ),
            },
            DecodeFailureReason.INVALID_BODY,
        ),
    ],
)
def test_invalid_content_gives_its_reason(fields, reason):
    """Guards against a wrong counter, by which operators find a faulty peer."""
    datagram = sign_envelope(**{'sender': 'a', 'incarnation': 1, **fields})
    assert decode_envelope(datagram, KEY) == DecodeFailure(reason)


def test_load_report_out_of_range_is_saturated():
    """Guards against one endpoint out of range that blocks all reports."""
    message = LoadReports((LoadReport(1, 2**40, 0, 1e9),))
    decoded = decode_envelope(
        encode_envelope(Envelope('a', 1, message), KEY),
        KEY,
    )
    largest = 2**31 - 1
    assert decoded.message.reports == (
        LoadReport(1, largest, 0, largest / 1000),
    )


def test_push_of_the_largest_bodies_fits_a_datagram():
    """Guards against a push that exceeds the limit of a datagram.

    It would never arrive, and its records would not come into force on members
    that do not read the store.
    """
    catalog = Catalog()
    text = 'x' * (MAX_BODY_BYTES - 60)
    records = [
        Record(f'g/backend_server/b{number}', number, {'spec': text})
        for number in range(1, 5)
    ]
    for push in batch_records(merge_records(catalog, records)):
        datagram = encode_envelope(Envelope('n1', 0, push), bytes(16))
        assert len(datagram) < MAX_DATAGRAM_BYTES
