"""Guards against writes that are applied twice, lost or misreported."""

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamshed.audit.entries import ChangeEntry, append_change, read_changes
from balsamshed.configuration.records import Record
from balsamshed.store.conditional_writes import (
    PutObject,
    ReadObject,
    WriteAccepted,
    WriteConflict,
    WriteFailure,
    WriteRequest,
    decide_step,
    start_write,
)
from balsamshed.store.responses import (
    FailureReason,
    ObjectMissing,
    PutAccepted,
    PutConflict,
    StoreFailure,
    parse_listing,
    parse_record,
    parse_vms,
)

KEY = 'g/service/creneau'
LOST = StoreFailure('call', FailureReason.LOST)


def make_entry(change_id, from_version, who='ada'):
    return ChangeEntry(
        change_id, who, '2026-12-04T08:00:00Z', from_version, 'a'
    )


def make_request(expected_version=3, deadline=10.0):
    body = append_change({}, make_entry('own', expected_version))
    return WriteRequest(KEY, body, expected_version, 'own', deadline)


def make_record(version, *entries):
    body = {}
    for entry in entries:
        body = append_change(body, entry)
    return Record(KEY, version, body)


def decide(request, *responses, now=0.0):
    progress = start_write(request)
    for response in responses:
        step = decide_step(request, progress, response, now, 1.0)
    return step


def test_lost_response_is_read_back_before_another_write():
    """An immediate retry would conflict with the write's own first attempt."""
    step = decide(make_request(), LOST)
    assert isinstance(step, ReadObject)
    found = make_record(4, make_entry('own', 3))
    assert decide(make_request(), LOST, found) == WriteAccepted(KEY, 4)


def test_own_write_is_recognised_after_later_changes():
    """Guards against reporting a later change of another operator as a
    conflict."""
    found = make_record(9, make_entry('own', 3), make_entry('next', 5))
    assert decide(make_request(), LOST, found) == WriteAccepted(KEY, 5)
    refused = PutConflict(9)
    assert decide(make_request(), LOST, make_record(3), refused, found) == (
        WriteAccepted(KEY, 5)
    )


def test_write_that_had_no_effect_is_retried():
    """Guards against dropping a write whose request was lost in transit."""
    step = decide(make_request(), LOST, make_record(3))
    assert isinstance(step, PutObject)
    step = decide(make_request(0), LOST, ObjectMissing(KEY))
    assert isinstance(step, PutObject)


def test_conflict_names_the_write_that_came_first():
    """Guards against a conflict report without the author of the other
    write."""
    found = make_record(
        9,
        make_entry('other', 3, 'grace'),
        make_entry('later', 7, 'alan'),
    )
    assert decide(make_request(), PutConflict(9), found) == WriteConflict(
        KEY,
        3,
        7,
        'grace',
        '2026-12-04T08:00:00Z',
    )


def test_outdated_reads_are_retried():
    """Guards against a write that is retried after a conflict because a
    lagging replica still returns the expected version."""
    stale = make_record(3)
    step = decide(make_request(), PutConflict(9), stale)
    assert isinstance(step, ReadObject)
    step = decide(make_request(3), LOST, ObjectMissing(KEY))
    assert isinstance(step, ReadObject)


def test_trimmed_changes_leave_the_outcome_unknown():
    """After 16 further changes, a write whose response was lost can no longer
    be recognised, and must not be reported as a conflict."""
    found = make_record(40, make_entry('later', 39))
    outcome = decide(make_request(), LOST, found)
    assert isinstance(outcome, WriteFailure)
    assert outcome.maybe_applied
    assert isinstance(
        decide(make_request(), PutConflict(40), found),
        WriteConflict,
    )


def test_permanently_refused_write_is_not_retried():
    """Guards against retries of a body that exceeds the size limit."""
    large = StoreFailure('call', FailureReason.TOO_LARGE)
    outcome = decide(make_request(), large)
    assert isinstance(outcome, WriteFailure)
    assert not outcome.maybe_applied


def test_backoff_grows_and_retries_end_at_the_deadline():
    """Guards against flooding the store with retries during an outage."""
    request = make_request(deadline=60.0)
    progress = start_write(request)
    now = 0.0
    calls = 0
    step = PutObject(0)
    while isinstance(step, PutObject | ReadObject):
        now += step.wait_seconds
        calls += 1
        failure = StoreFailure('call', FailureReason.OUTAGE, 'status 503')
        step = decide_step(request, progress, failure, now, 1.0)
    assert 20 < calls < 40
    assert now < 60
    assert step == WriteFailure(
        KEY,
        'own',
        FailureReason.OUTAGE,
        'status 503',
        maybe_applied=True,
    )


def test_write_to_an_unreachable_store_has_no_effect():
    """Guards against asking operators to look for a change that cannot have
    been made."""
    refused = StoreFailure('call', FailureReason.UNREACHABLE)
    outcome = decide(make_request(deadline=0.01), refused)
    assert not outcome.maybe_applied


class ModelStore:
    """Model of one object with delayed writes and lagging replicas."""

    def __init__(self):
        self.history = [Record(KEY, 3, {})]
        self.late = []

    def put(self, request):
        newest = self.history[-1]
        if newest.version != request.expected_version:
            return PutConflict(newest.version)
        version = newest.version + 2
        self.history.append(Record(KEY, version, request.body))
        return PutAccepted(version)

    def write_other(self, number):
        newest = self.history[-1]
        entry = make_entry(f'other{number}', newest.version, 'grace')
        body = append_change(newest.body, entry)
        self.history.append(Record(KEY, newest.version + 2, body))

    def deliver_late(self):
        for request in self.late:
            self.put(request)
        self.late.clear()

    def respond(self, step, request, call_result):
        if call_result == 'outage':
            return StoreFailure('call', FailureReason.OUTAGE)
        if isinstance(step, ReadObject):
            lag = -2 if call_result == 'late' and len(self.history) > 1 else -1
            return LOST if call_result == 'lost' else self.history[lag]
        if call_result == 'late':
            self.late.append(request)
            return LOST
        response = self.put(request)
        return LOST if call_result == 'lost' else response


CALL_RESULTS = st.sampled_from(('ok', 'lost', 'late', 'outage'))
EVENTS = st.sampled_from(('none', 'other', 'deliver'))


@settings(max_examples=300)
@given(st.lists(st.tuples(CALL_RESULTS, EVENTS), min_size=1, max_size=14))
def test_outcome_agrees_with_the_store(steps):
    """Guards against writes that take effect twice and against outcomes that
    contradict the store."""
    store = ModelStore()
    request = make_request(deadline=1.5)
    progress = start_write(request)
    step = PutObject(0)
    now = 0.0
    for number, (call_result, event) in enumerate(steps):
        if not isinstance(step, PutObject | ReadObject):
            break
        response = store.respond(step, request, call_result)
        if event == 'other':
            store.write_other(number)
        elif event == 'deliver':
            store.deliver_late()
        now += 0.01
        step = decide_step(request, progress, response, now, 1.0)
        if isinstance(step, PutObject | ReadObject):
            now += step.wait_seconds
    store.deliver_late()
    effects = [
        record.version
        for record in store.history
        if [c.change_id for c in read_changes(record.body)][-1:] == ['own']
    ]
    assert len(effects) <= 1
    if isinstance(step, WriteAccepted):
        assert effects == [step.version]
    elif isinstance(step, WriteConflict):
        assert effects == []
        assert step.version in [record.version for record in store.history]
    elif isinstance(step, WriteFailure) and not step.maybe_applied:
        assert effects == []


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda part: (
        st.lists(part, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ('key', 'version', 'body', 'objects', 'revision', 'vms')
            ),
            part,
        )
    ),
)


@given(JSON)
def test_malformed_responses_do_not_raise(content):
    """Guards against an exception where a failure with a reason is due."""
    listing = parse_listing(content)
    assert listing is None or listing.revision >= 0
    parse_record(content)
    parse_vms(content)


def test_malformed_body_does_not_hide_other_objects():
    """Guards against rejecting a whole list because of one malformed object."""
    listing = parse_listing(
        {
            'revision': 7,
            'objects': [
                {'key': 'a', 'version': 1, 'body': [1]},
                {'key': 'b', 'version': 2, 'body': {'spec': {}}},
            ],
        }
    )
    assert [record.body for record in listing.records] == [
        {'spec': [1]},
        {'spec': {}},
    ]
    assert parse_listing({'revision': True, 'objects': []}) is None
