"""Guards against a reader that stops reading or floods the store."""

from balsamshed.store.session import (
    MAX_BACKOFF_SECONDS,
    WATCH_GRACE_SECONDS,
    WATCH_TIMEOUT_SECONDS,
    StoreCall,
    StoreSession,
    advance_session,
    record_expired_revision,
    record_failure,
    record_list,
    record_watch,
)

TICK = 0.05


def find_next_call(session, now):
    """Return the next call and when it is made."""
    for tick in range(400):
        at = now + tick * TICK
        call = advance_session(session, at, is_reader=True)
        if call is not None:
            return call, at
    raise AssertionError('no call within 20 s')


def test_first_expiry_lists_at_once_and_further_ones_wait():
    """A list from a lagging replica leads to the next expiry: without a
    pause, each reader would call the store at every tick."""
    session = StoreSession()
    now = 0.0
    waits = []
    for _ in range(8):
        call, at = find_next_call(session, now)
        assert call is StoreCall.LIST
        waits.append(at - now)
        record_list(session, 7, at)
        assert find_next_call(session, at) == (StoreCall.WATCH, at)
        record_expired_revision(session, at, 0)
        now = at
    assert waits[:2] == [0, 0]
    assert all(0.1 <= wait <= MAX_BACKOFF_SECONDS for wait in waits[2:])


def test_expiry_after_a_good_watch_lists_at_once():
    """A back-off of long ago must not delay the news of a gap."""
    session = StoreSession()
    for now in (0.0, 10.0):
        record_list(session, 7, now)
        find_next_call(session, now)
        record_expired_revision(session, now, 1)
        assert find_next_call(session, now) == (StoreCall.LIST, now)
        record_list(session, 8, now)
        find_next_call(session, now)
        record_watch(session, 9)


def test_back_off_leaves_time_to_bring_a_change_into_force():
    """G8: after a long outage the next change has 5 s; a reader that sleeps
    for that long misses it."""
    session = StoreSession()
    now = 0.0
    for _ in range(20):
        _call, now = find_next_call(session, now)
        record_failure(session, now, 1)
    assert session.deadline - now <= 2.5


def test_change_behind_a_silent_watch_is_read_within_the_bound_of_a_drain():
    """A drain by command took 3.4 s where every watch went silent; 3 s are
    allowed, and the list and its spread to members take part of that."""
    session = StoreSession()
    record_list(session, 7, 0)
    _, watched_at = find_next_call(session, 0)
    silent_at = watched_at + WATCH_TIMEOUT_SECONDS + WATCH_GRACE_SECONDS
    record_failure(session, silent_at, 1)
    call, listed_at = find_next_call(session, silent_at)
    assert call is StoreCall.LIST
    assert listed_at - watched_at <= 2.5
