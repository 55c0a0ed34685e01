"""Guards against writes that run twice, vanish or are reported wrongly."""

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
    """Writing again at once would be refused by the own first write."""
    step = decide(make_request(), LOST)
    assert isinstance(step, ReadObject)
    found = make_record(4, make_entry('own', 3))
    assert decide(make_request(), LOST, found) == WriteAccepted(KEY, 4)


def test_own_write_is_found_below_later_changes():
    """Another operator's later change must not look like a conflict."""
    found = make_record(9, make_entry('own', 3), make_entry('next', 5))
    assert decide(make_request(), LOST, found) == WriteAccepted(KEY, 5)
    refused = PutConflict(9)
    assert decide(make_request(), LOST, make_record(3), refused, found) == (
        WriteAccepted(KEY, 5)
    )


def test_write_that_did_not_take_effect_is_repeated():
    """A request that was lost on its way must not be lost for good."""
    step = decide(make_request(), LOST, make_record(3))
    assert isinstance(step, PutObject)
    step = decide(make_request(0), LOST, ObjectMissing(KEY))
    assert isinstance(step, PutObject)


def test_conflict_names_the_write_that_came_first():
    """The operator must know whom to ask."""
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


def test_outdated_reads_are_repeated():
    """A lagging replica must not turn a conflict into another write."""
    stale = make_record(3)
    step = decide(make_request(), PutConflict(9), stale)
    assert isinstance(step, ReadObject)
    step = decide(make_request(3), LOST, ObjectMissing(KEY))
    assert isinstance(step, ReadObject)


def test_trimmed_changes_leave_the_outcome_open():
    """After 16 more changes a lost write can no longer be recognised."""
    found = make_record(40, make_entry('later', 39))
    outcome = decide(make_request(), LOST, found)
    assert isinstance(outcome, WriteFailure)
    assert outcome.maybe_applied
    assert isinstance(
        decide(make_request(), PutConflict(40), found),
        WriteConflict,
    )


def test_refused_write_is_not_repeated():
    """A body over the limit stays over the limit."""
    large = StoreFailure('call', FailureReason.TOO_LARGE)
    outcome = decide(make_request(), large)
    assert isinstance(outcome, WriteFailure)
    assert not outcome.maybe_applied


def test_waits_grow_and_end_at_the_deadline():
    """An outage must not be met with a storm of calls."""
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


def test_unreachable_store_certainly_applied_nothing():
    """The operator must not be sent to look for a change in vain."""
    refused = StoreFailure('call', FailureReason.UNREACHABLE)
    outcome = decide(make_request(deadline=0.01), refused)
    assert not outcome.maybe_applied


class ModelStore:
    """Object with versions, late writes and replicas that lag."""

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

    def answer(self, step, request, fate):
        if fate == 'outage':
            return StoreFailure('call', FailureReason.OUTAGE)
        if isinstance(step, ReadObject):
            lag = -2 if fate == 'late' and len(self.history) > 1 else -1
            return LOST if fate == 'lost' else self.history[lag]
        if fate == 'late':
            self.late.append(request)
            return LOST
        response = self.put(request)
        return LOST if fate == 'lost' else response


FATES = st.sampled_from(('ok', 'lost', 'late', 'outage'))
EVENTS = st.sampled_from(('none', 'other', 'deliver'))


@settings(max_examples=300)
@given(st.lists(st.tuples(FATES, EVENTS), min_size=1, max_size=14))
def test_outcome_always_agrees_with_the_store(story):
    """At most one effect, and no report that the store contradicts."""
    store = ModelStore()
    request = make_request(deadline=1.5)
    progress = start_write(request)
    step = PutObject(0)
    now = 0.0
    for number, (fate, event) in enumerate(story):
        if not isinstance(step, PutObject | ReadObject):
            break
        response = store.answer(step, request, fate)
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
def test_responses_of_another_form_never_raise(content):
    """A broken response must become a failure with a reason."""
    listing = parse_listing(content)
    assert listing is None or listing.revision >= 0
    parse_record(content)
    parse_vms(content)


def test_body_of_another_form_does_not_hide_other_objects():
    """One odd object must not make the whole list unreadable."""
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
