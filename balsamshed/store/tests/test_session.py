"""Guards against readers that stop watching or flood the store."""

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
    """Return the next call and the time at which it is made."""
    for tick in range(400):
        at = now + tick * TICK
        call = advance_session(session, at, is_reader=True)
        if call is not None:
            return call, at
    raise AssertionError('no call within 20 s')


def test_only_the_first_expired_revision_is_followed_by_an_immediate_list():
    """A list from a lagging replica may return a revision that has expired
    again. Without a backoff, every reader called the store at each tick."""
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


def test_expired_revision_after_a_successful_watch_is_listed_at_once():
    """Guards against an old backoff that delays the list after a gap."""
    session = StoreSession()
    for now in (0.0, 10.0):
        record_list(session, 7, now)
        find_next_call(session, now)
        record_expired_revision(session, now, 1)
        assert find_next_call(session, now) == (StoreCall.LIST, now)
        record_list(session, 8, now)
        find_next_call(session, now)
        record_watch(session, 9)


def test_backoff_leaves_time_for_a_change_to_come_into_force():
    """G8: the first change after a long outage must be in force within 5 s.
    Guards against a backoff that uses up this time."""
    session = StoreSession()
    now = 0.0
    for _ in range(20):
        _call, now = find_next_call(session, now)
        record_failure(session, now, 1)
    assert session.deadline - now <= 2.5


def test_change_during_a_silent_watch_is_read_in_time_for_a_drain():
    """Guards against drains that exceed their limit of 3 s when every watch
    goes silent: one took 3.4 s. The list and its distribution to the members
    take part of this time."""
    session = StoreSession()
    record_list(session, 7, 0)
    _, watched_at = find_next_call(session, 0)
    silent_at = watched_at + WATCH_TIMEOUT_SECONDS + WATCH_GRACE_SECONDS
    record_failure(session, silent_at, 1)
    call, listed_at = find_next_call(session, silent_at)
    assert call is StoreCall.LIST
    assert listed_at - watched_at <= 2.5
