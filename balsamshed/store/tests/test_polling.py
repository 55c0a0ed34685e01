"""Tests of when an edge balancer polls the store."""

import pytest

from balsamshed.edge.tests.builders import always_zero
from balsamshed.store.polling import (
    MAX_BACKOFF_SECONDS,
    MAX_READ_INTERVAL_SECONDS,
    MAX_STALE_READ_ATTEMPTS,
    READ_INTERVAL_SECONDS,
    READ_TIMEOUT_SECONDS,
    RECENT_OUTAGE_SECONDS,
    RELAY_ALLOWANCE_SECONDS,
    SEED_CONFIRMATION_DELAY_SECONDS,
    ReadState,
    Source,
    apply_peer_revision,
    confirm_revision,
    fail_read,
    finish_read,
    get_reported_age,
    get_view_age,
    had_recent_outage,
    is_read_due,
    record_call,
    set_pending_revision,
    start_read,
)

#: Time within which a drain must be in force.
DRAIN_SECONDS = 3


def read(state, revision, now):
    start_read(state, now)
    # Most tests concern a balancer that has completed its startup.
    state.may_be_stale = False
    has_changed = set_pending_revision(state, revision)
    finish_read(state)
    return has_changed


def test_balancer_of_lowest_rank_polls_first():
    """Guards against every balancer of a group polling the store."""
    state = ReadState()
    assert is_read_due(state, 5, True, now=0)
    read(state, 1, now=0)
    assert not is_read_due(state, 0, True, READ_INTERVAL_SECONDS - 0.01)
    assert is_read_due(state, 0, True, READ_INTERVAL_SECONDS)
    assert not is_read_due(state, 1, True, READ_INTERVAL_SECONDS)
    assert is_read_due(state, 300, True, MAX_READ_INTERVAL_SECONDS)


def test_age_of_the_view_stays_below_the_limit_for_drains():
    """Guards against drains that take effect too late when readers fail."""
    max_age_seconds = MAX_READ_INTERVAL_SECONDS + READ_TIMEOUT_SECONDS
    assert max_age_seconds < DRAIN_SECONDS


def test_revision_confirmed_by_a_peer_saves_a_read():
    """Guards against polls right after a peer's poll."""
    state = ReadState()
    read(state, 1, now=0)
    confirm_revision(state, 1, confirmed_at=5)
    assert not is_read_due(state, 0, True, now=5.5)
    assert get_view_age(state, 5.5) == 0.5


def test_report_of_another_revision_does_not_confirm_the_view():
    """Guards against an outdated view that counts as current."""
    state = ReadState()
    read(state, 1, now=0)
    confirm_revision(state, 2, confirmed_at=5)
    confirm_revision(state, 0, confirmed_at=5)
    assert get_view_age(state, 5.5) == 5.5


def test_own_confirmation_that_comes_back_is_not_newer():
    """Guards against an age that peers refresh by the time that reports were
    under way."""
    state = ReadState()
    record_call(state, 0.2)
    read(state, 1, now=5)
    confirm_revision(state, 1, confirmed_at=5.5)
    assert get_view_age(state, 6) == 1
    confirm_revision(state, 1, confirmed_at=5.8)
    assert get_view_age(state, 6) == pytest.approx(0.2)


def test_age_grows_with_each_balancer_that_passes_it_on():
    """Guards against ages that lack the time that reports are under way."""
    reader, peer = ReadState(), ReadState(revision=1)
    record_call(reader, 0.1)
    read(reader, 1, now=5)
    assert get_reported_age(reader, 5.5) == pytest.approx(0.55)
    confirm_revision(peer, 1, confirmed_at=5)
    expected = 0.5 + RELAY_ALLOWANCE_SECONDS
    assert get_reported_age(peer, 5.5) == pytest.approx(expected)


def test_age_counts_from_the_start_of_the_read():
    """Guards against a slow response that counts as current."""
    state = ReadState(consecutive_failures=MAX_STALE_READ_ATTEMPTS)
    start_read(state, 1)
    set_pending_revision(state, 1)
    finish_read(state)
    assert get_view_age(state, 2) == 1


def test_routes_are_read_only_after_a_change():
    """Guards against reads of routes that cannot have changed."""
    state = ReadState()
    assert read(state, 4, now=0)
    assert not read(state, 4, now=1)
    assert read(state, 5, now=2)


def test_failed_reads_are_retried_with_growing_backoff():
    """Guards against flooding the store with retries during an outage."""
    state = ReadState()
    read(state, 1, now=0)
    now, waits = 1.0, []
    for attempt in range(8):
        start_read(state, now)
        assert fail_read(state, now, always_zero) == (attempt == 0)
        waits.append(state.retry_at - now)
        now = state.retry_at
    assert waits == sorted(waits)
    assert waits[-1] <= MAX_BACKOFF_SECONDS
    start_read(state, now)
    assert finish_read(state)


def test_outage_counts_as_recent_for_a_limited_time():
    """Guards against removing endpoints whose entries expired in an outage."""
    state = ReadState()
    assert not had_recent_outage(state, 0)
    fail_read(state, 1, always_zero)
    assert had_recent_outage(state, 1 + RECENT_OUTAGE_SECONDS)
    assert not had_recent_outage(state, 1.1 + RECENT_OUTAGE_SECONDS)


def test_view_of_a_peer_is_not_fresher_than_its_confirmation():
    """Guards against a peer's view that counts as confirmed on arrival."""
    state = ReadState()
    read(state, 1, now=0)
    apply_peer_revision(state, 3, 2)
    assert state.revision == 3
    assert get_view_age(state, 4) == 4
    apply_peer_revision(state, 2, 9)
    assert state.revision == 3


def test_late_read_does_not_revert_a_newer_revision_of_a_peer():
    """Guards against a revision that decreases after a slow read."""
    state = ReadState()
    start_read(state, 0)
    set_pending_revision(state, 2)
    apply_peer_revision(state, 5, 1)
    finish_read(state)
    assert state.revision == 5


def test_first_read_may_be_stale_and_confirms_nothing():
    """Guards against a whole group that exhausts the store's rate limit at
    startup, and against an outdated view that counts as current."""
    state = ReadState()
    assert start_read(state, 0) is Source.ENDPOINTS
    assert state.may_be_stale
    set_pending_revision(state, 7)
    finish_read(state)
    assert get_view_age(state, 0.1) == float('inf')
    assert not is_read_due(
        state, 0, True, SEED_CONFIRMATION_DELAY_SECONDS - 0.01
    )
    assert is_read_due(state, 0, True, SEED_CONFIRMATION_DELAY_SECONDS)
    assert is_read_due(state, 300, True, MAX_READ_INTERVAL_SECONDS)
    assert start_read(state, 1) is Source.REVISION
    assert not state.may_be_stale
    set_pending_revision(state, 7)
    finish_read(state)
    assert get_view_age(state, 1.5) == 0.5


def test_stale_first_reads_are_limited_in_number():
    """Guards against repeated reads of a replica that lacks the first
    configuration, which may last for seconds."""
    state = ReadState()
    may_be_stale = []
    for now in range(MAX_STALE_READ_ATTEMPTS + 2):
        start_read(state, now)
        may_be_stale.append(state.may_be_stale)
        fail_read(state, now, always_zero)
    assert may_be_stale == [True] * MAX_STALE_READ_ATTEMPTS + [False] * 2


def test_unconfirmed_view_of_a_peer_is_read_again():
    """Guards against relying on a peer that has lost the store."""
    state = ReadState()
    apply_peer_revision(state, 4, 2)
    assert not is_read_due(state, 0, True, 2.1)
    assert is_read_due(state, 0, True, 2.01 + SEED_CONFIRMATION_DELAY_SECONDS)


def test_only_seeds_confirm_the_first_view_early():
    """Guards against simultaneous lists of a whole group at startup.

    Ranks are not known yet: 300 balancers listed 3,000 endpoints at the same
    time, which exhausted the store's rate limit for 30 s.
    """
    state = ReadState()
    start_read(state, 0)
    set_pending_revision(state, 7)
    finish_read(state)
    assert is_read_due(state, 0, True, SEED_CONFIRMATION_DELAY_SECONDS)
    assert not is_read_due(state, 0, False, MAX_READ_INTERVAL_SECONDS - 0.01)
    assert is_read_due(state, 0, False, MAX_READ_INTERVAL_SECONDS)
    # Once the view is confirmed, only the rank determines the delay.
    confirm_revision(state, 7, 1)
    assert is_read_due(state, 0, False, 1 + READ_INTERVAL_SECONDS)
