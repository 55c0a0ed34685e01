"""Tests of when an edge balancer polls the store."""

import pytest

from balsamshed.edge.tests.builders import always_zero
from balsamshed.store.polling import (
    MAX_BACKOFF_SECONDS,
    MAX_KNOWN_READS,
    MAX_READ_INTERVAL_SECONDS,
    MAX_STALE_READ_ATTEMPTS,
    NO_READ,
    READ_INTERVAL_SECONDS,
    READ_TIMEOUT_SECONDS,
    RECENT_OUTAGE_SECONDS,
    SEED_CONFIRMATION_DELAY_SECONDS,
    ReadState,
    Source,
    apply_peer_revision,
    confirm_revision,
    fail_read,
    finish_read,
    get_view_age,
    had_recent_outage,
    is_read_due,
    set_pending_revision,
    start_read,
)

#: Number of a read by a peer.
PEER_READ = 7
#: Time within which a drain must be in force.
DRAIN_SECONDS = 3


def read(state, revision, now):
    start_read(state, now)
    # Most tests concern a balancer that has completed its startup.
    state.may_be_stale = False
    has_changed = set_pending_revision(state, revision)
    finish_read(state, always_zero)
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
    confirm_revision(state, 1, 5, PEER_READ)
    assert not is_read_due(state, 0, True, now=5.5)
    assert get_view_age(state, 5.5) == 0.5


def test_report_of_another_revision_does_not_confirm_the_view():
    """Guards against an outdated view that counts as current."""
    state = ReadState()
    read(state, 1, now=0)
    confirm_revision(state, 2, 5, PEER_READ)
    confirm_revision(state, 0, 5, PEER_READ)
    assert get_view_age(state, 5.5) == 5.5


def test_confirmation_that_comes_back_is_not_newer():
    """Guards against an age that peers refresh by the time that reports were
    under way, however long that was."""
    reader, peer = ReadState(), ReadState(revision=1)
    read(reader, 1, now=5)
    confirm_revision(peer, 1, 5.48, reader.read_number)
    assert peer.read_number == reader.read_number
    for confirmed_at in (5.1, 5.5, 5.96, 9):
        confirm_revision(reader, 1, confirmed_at, peer.read_number)
        assert get_view_age(reader, 6) == 1
    # The report of a later read does confirm the view.
    confirm_revision(reader, 1, 5.1, PEER_READ)
    assert get_view_age(reader, 6) == pytest.approx(0.9)
    assert reader.read_number == PEER_READ


def test_earliest_time_of_a_read_counts():
    """Guards against an age that lacks the time on a slow way, since a report
    of the same read on a faster way comes later."""
    state = ReadState(revision=1)
    confirm_revision(state, 1, 5.9, PEER_READ)
    confirm_revision(state, 1, 5, PEER_READ)
    assert get_view_age(state, 6) == 1
    # An older read that was under way for longer is not newer either.
    confirm_revision(state, 1, 4, PEER_READ + 1)
    confirm_revision(state, 1, 5.5, PEER_READ + 1)
    assert get_view_age(state, 6) == 1
    assert state.read_number == PEER_READ


def test_read_without_a_number_confirms_nothing():
    """Guards against ages of former builds, which may be far too young."""
    state = ReadState(revision=1)
    confirm_revision(state, 1, 5, NO_READ)
    assert state.confirmed_at is None


def test_known_reads_are_bounded_and_keep_the_latest():
    """Guards against memory that grows with each read of the group."""
    state = ReadState(revision=1)
    confirm_revision(state, 1, 900, 900)
    for number in range(1, 3 * MAX_KNOWN_READS):
        confirm_revision(state, 1, number, number)
    assert len(state.read_times) == MAX_KNOWN_READS
    assert state.read_number == 900


def test_age_counts_from_the_start_of_the_read():
    """Guards against a slow response that counts as current."""
    state = ReadState(consecutive_failures=MAX_STALE_READ_ATTEMPTS)
    start_read(state, 1)
    set_pending_revision(state, 1)
    finish_read(state, always_zero)
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
    assert finish_read(state, always_zero)


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
    finish_read(state, always_zero)
    assert state.revision == 5


def test_first_read_may_be_stale_and_confirms_nothing():
    """Guards against a whole group that exhausts the store's rate limit at
    startup, and against an outdated view that counts as current."""
    state = ReadState()
    assert start_read(state, 0) is Source.ENDPOINTS
    assert state.may_be_stale
    set_pending_revision(state, 7)
    finish_read(state, always_zero)
    assert get_view_age(state, 0.1) == float('inf')
    assert not is_read_due(
        state, 0, True, SEED_CONFIRMATION_DELAY_SECONDS - 0.01
    )
    assert is_read_due(state, 0, True, SEED_CONFIRMATION_DELAY_SECONDS)
    assert is_read_due(state, 300, True, MAX_READ_INTERVAL_SECONDS)
    assert start_read(state, 1) is Source.REVISION
    assert not state.may_be_stale
    set_pending_revision(state, 7)
    finish_read(state, always_zero)
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
    finish_read(state, always_zero)
    assert is_read_due(state, 0, True, SEED_CONFIRMATION_DELAY_SECONDS)
    assert not is_read_due(state, 0, False, MAX_READ_INTERVAL_SECONDS - 0.01)
    assert is_read_due(state, 0, False, MAX_READ_INTERVAL_SECONDS)
    # Once the view is confirmed, only the rank determines the delay.
    confirm_revision(state, 7, 1, PEER_READ)
    assert is_read_due(state, 0, False, 1 + READ_INTERVAL_SECONDS)
