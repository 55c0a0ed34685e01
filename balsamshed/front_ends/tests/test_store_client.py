"""Tests of the store client: time limits, size limits and failure reasons."""

import json

import pytest
from twisted.web.server import NOT_DONE_YET

from balsamshed.audit.entries import ChangeEntry, append_change
from balsamshed.commands.tests.fake_store import (
    DROP_REQUEST,
    HANG,
    LOSE_RESPONSE,
    OUTAGE,
    StoreHarness,
)
from balsamshed.front_ends.store_client import (
    MAX_LIST_BYTES,
    MAX_OBJECT_BYTES,
)
from balsamshed.store.conditional_writes import (
    WriteAccepted,
    WriteConflict,
    WriteFailure,
)
from balsamshed.store.responses import (
    FailureReason,
    Listing,
    ObjectMissing,
    PutAccepted,
    PutConflict,
    StoreFailure,
    VmEntry,
)

KEY = 'g/service/creneau'


@pytest.fixture
def harness():
    return StoreHarness()


def make_body(change_id='own', from_version=0, who='ada', **spec):
    entry = ChangeEntry(change_id, who, 'now', from_version, 'apply')
    return append_change({'spec': spec, 'deleted': False}, entry)


def write(harness, expected_version=0, seconds=30.0):
    body = make_body(from_version=expected_version)
    return harness.run(
        harness.client.write_object(
            KEY,
            body,
            expected_version,
            'own',
            seconds,
        )
    )


def test_calls_return_parsed_responses(harness):
    """Each call must use the object API as the design page defines it."""
    assert harness.run(harness.client.read_object(KEY)) == ObjectMissing(KEY)
    first = harness.run(harness.client.put_object(KEY, {'spec': 1}, 0))
    assert first == PutAccepted(1)
    second = harness.run(harness.client.put_object(KEY, {'spec': 2}, 0))
    assert second == PutConflict(1)
    record = harness.run(harness.client.read_object(KEY))
    assert (record.key, record.version, record.body) == (KEY, 1, {'spec': 1})
    assert harness.run(harness.client.list_objects('g/')) == Listing(
        1, (record,)
    )
    assert harness.run(harness.client.list_objects('h/')) == Listing(1, ())
    harness.store.vms = [
        {'name': 'b1', 'data_centre': 'qc-1', 'host': '::', 'control_port': 5},
        {'name': 3},
    ]
    vms = harness.run(harness.client.list_vms())
    assert vms == (VmEntry('b1', 'qc-1', '::', 5, leaving=False),)


def test_watch_waits_for_a_change_or_the_timeout(harness):
    """A watch must neither miss a change nor wait longer than its timeout."""
    pending = harness.client.watch_objects('g/', 0, 1000)
    harness.agent.flush()
    harness.store.write(KEY, {})
    assert [r.version for r in harness.run(pending).records] == [1]
    empty = harness.run(harness.client.watch_objects('g/', 1, 1000))
    assert empty == Listing(1, ())
    harness.store.oldest_revision = 5
    old = harness.run(harness.client.watch_objects('g/', 1, 1000))
    assert old.reason is FailureReason.TOO_OLD


def test_watch_without_response_fails_soon_after_its_timeout(harness):
    """A watch whose connection stopped responding must not delay a drain."""
    harness.store.faults['WATCH'] = [HANG]
    start = harness.clock.seconds()
    outcome = harness.run(harness.client.watch_objects('g/', 0, 5000))
    assert outcome.reason is FailureReason.TIMED_OUT
    assert harness.clock.seconds() - start == pytest.approx(5.6, abs=0.1)


@pytest.mark.parametrize(
    ('fault', 'reason'),
    [
        (OUTAGE, FailureReason.OUTAGE),
        (DROP_REQUEST, FailureReason.LOST),
        (LOSE_RESPONSE, FailureReason.LOST),
        (HANG, FailureReason.TIMED_OUT),
    ],
)
def test_failures_are_values_with_a_reason(harness, fault, reason):
    """A failure of the platform must not raise an exception."""
    harness.store.faults['GET'] = [fault] * 3
    for call in (
        harness.client.list_objects('g/'),
        harness.client.read_object(KEY),
        harness.client.list_vms(),
    ):
        outcome = harness.run(call)
        assert isinstance(outcome, StoreFailure)
        assert outcome.reason is reason


def respond(harness, code, text):
    def render(request):
        request.setResponseCode(code)
        return text

    harness.store.render = render


@pytest.mark.parametrize(
    ('code', 'text', 'reason'),
    [
        (200, b'{"revision": 1', FailureReason.BAD_RESPONSE),
        (200, b'[]', FailureReason.BAD_RESPONSE),
        (200, b'\xff', FailureReason.BAD_RESPONSE),
        (200, b'[' * 100_000, FailureReason.BAD_RESPONSE),
        (200, b' ' * (MAX_LIST_BYTES + 1), FailureReason.TOO_LARGE),
        (500, b'', FailureReason.BAD_RESPONSE),
        (403, b'', FailureReason.REFUSED),
        (302, b'', FailureReason.BAD_RESPONSE),
    ],
)
def test_unusable_responses_have_a_reason(harness, code, text, reason):
    """Malformed or too long responses must not exhaust memory or raise."""
    respond(harness, code, text)
    assert harness.run(harness.client.list_objects('g/')).reason is reason


def test_list_up_to_the_limit_is_accepted(harness):
    """A list of the largest size in the design must not be rejected."""
    text = json.dumps({'revision': 1, 'objects': []}).encode()
    respond(harness, 200, text.ljust(MAX_LIST_BYTES))
    assert harness.run(harness.client.list_objects('g/')) == Listing(1, ())


def test_object_over_the_limit_is_rejected(harness):
    """An object must not use the larger limit of lists."""
    respond(harness, 200, b' ' * (MAX_OBJECT_BYTES + 100_000))
    outcome = harness.run(harness.client.read_object(KEY))
    assert outcome.reason is FailureReason.TOO_LARGE


def test_incomplete_response_times_out(harness):
    """The time limit must include the body, not only the response headers."""
    transports = []

    def render(request):
        request.setHeader(b'content-length', b'100')
        request.write(b'{')
        transports.append(request.transport)
        return NOT_DONE_YET

    harness.store.render = render
    outcome = harness.run(harness.client.read_object(KEY))
    assert outcome.reason is FailureReason.TIMED_OUT
    harness.agent.flush()
    assert transports[0].disconnecting or transports[0].disconnected


@pytest.mark.parametrize('fault', [LOSE_RESPONSE, HANG])
def test_write_with_lost_response_is_confirmed_by_a_read(harness, fault):
    """A write that took effect must be reported as done and not repeated."""
    harness.store.faults['PUT'] = [fault]
    assert write(harness) == WriteAccepted(KEY, 1)
    assert [call for call in harness.store.calls if 'PUT' in call] == [
        f'PUT /v1/objects/{KEY}',
    ]


def test_write_survives_an_outage(harness):
    """A short outage must be retried, not reported to the operator."""
    harness.store.faults['PUT'] = [OUTAGE, DROP_REQUEST, HANG]
    harness.store.faults['GET'] = [OUTAGE, HANG, LOSE_RESPONSE]
    assert write(harness) == WriteAccepted(KEY, 1)


def test_conflict_names_who_wrote_the_version(harness):
    """The operator must see whose change was written first."""
    version = harness.store.write(KEY, make_body('other', 0, 'grace'))
    assert write(harness) == WriteConflict(KEY, 0, version, 'grace', 'now')
    assert harness.store.objects[KEY]['version'] == version


def test_write_fails_at_its_deadline(harness):
    """A long outage must end in a failure at the deadline, with few retries."""
    harness.store.faults = {'PUT': [OUTAGE] * 99, 'GET': [OUTAGE] * 99}
    start = harness.clock.seconds()
    outcome = write(harness, seconds=5.0)
    assert isinstance(outcome, WriteFailure)
    assert outcome.maybe_applied
    assert harness.clock.seconds() - start <= 5.1
    assert len(harness.store.calls) < 12


def test_too_large_body_is_not_sent(harness):
    """The store would refuse the body only after its whole transfer."""
    body = make_body(filler='x' * MAX_OBJECT_BYTES)
    outcome = harness.run(harness.client.write_object(KEY, body, 0, 'own', 5))
    assert outcome.reason is FailureReason.TOO_LARGE
    assert not outcome.maybe_applied
    assert harness.store.calls == []
