"""Guards against lost fields and against datagrams that raise an error."""

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
    """A field that is lost or changed would split the members' views."""
    envelope = Envelope(
        content.draw(names),
        content.draw(i64),
        content.draw(MESSAGES[kind]),
    )
    assert decode_envelope(encode_envelope(envelope, KEY), KEY) == envelope


@given(st.binary(max_size=200))
def test_random_bytes_are_refused(datagram):
    """Anyone can send to the control port; no datagram may raise."""
    assert isinstance(decode_envelope(datagram, KEY), DecodeFailure)


@given(st.binary(min_size=1, max_size=200))
# A list of structures that announces 2^31 - 1 elements.
@example(b'\x18\x01a\x16\x02\x6c\x19\xfc\xff\xff\xff\xff\x07')
# An unknown list of the element type 0.
@example(b'\xf9\xf0\xff\xff\xff\xff\x07')
# Structures nested over the interpreter's recursion limit.
@example(b'\xfc' * 5000)
@example(b'\x1c' * 50000)
def test_random_payloads_with_a_valid_tag_never_raise(payload):
    """A peer with another version of the code must not raise an error."""
    decode_envelope(sign(payload), KEY)


@given(st.one_of(*MESSAGES.values()), st.data())
def test_truncated_and_altered_datagrams_are_refused(message, content):
    """A datagram that was cut or altered on the way must not be believed."""
    datagram = encode_envelope(Envelope('a', 1, message), KEY)
    place = content.draw(st.integers(0, len(datagram) - 1))
    cut = decode_envelope(datagram[:place], KEY)
    reason = (
        DecodeFailureReason.TRUNCATED
        if place <= TAG_BYTES
        else DecodeFailureReason.WRONG_TAG
    )
    assert cut == DecodeFailure(reason)
    altered = bytearray(datagram)
    altered[place] ^= 1 << content.draw(st.integers(0, 7))
    assert decode_envelope(bytes(altered), KEY) == DecodeFailure(
        DecodeFailureReason.WRONG_TAG,
    )


@given(st.one_of(*MESSAGES.values()), st.data())
def test_signed_prefixes_never_raise(message, content):
    """A faulty peer may sign a message that ends too early."""
    payload = encode_envelope(Envelope('a', 1, message), KEY)[TAG_BYTES:]
    place = content.draw(st.integers(1, len(payload) - 1))
    fault = decode_envelope(sign(payload[:place]), KEY)
    assert isinstance(fault, DecodeFailure)


def test_another_key_is_refused():
    """A member of another group must not get into this one."""
    datagram = encode_envelope(Envelope('a', 1, FlowCopiesAck(1)), b'other')
    assert decode_envelope(datagram, KEY) == DecodeFailure(
        DecodeFailureReason.WRONG_TAG
    )


def test_size_limit_holds_in_both_directions():
    """A datagram over the limit would be lost without a trace."""
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
def test_faulty_content_names_its_reason(fields, reason):
    """The reason is counted; operators look for a faulty peer by it."""
    datagram = sign_envelope(**{'sender': 'a', 'incarnation': 1, **fields})
    assert decode_envelope(datagram, KEY) == DecodeFailure(reason)


def test_load_report_out_of_range_is_saturated():
    """One endpoint with an absurd count must not block all reports."""
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
    """A push that does not fit would never arrive, and its records would
    not come into force on members that do not read the store."""
    catalog = Catalog()
    text = 'x' * (MAX_BODY_BYTES - 60)
    records = [
        Record(f'g/backend_server/b{number}', number, {'spec': text})
        for number in range(1, 5)
    ]
    for push in batch_records(merge_records(catalog, records)):
        datagram = encode_envelope(Envelope('n1', 0, push), bytes(16))
        assert len(datagram) < MAX_DATAGRAM_BYTES
