"""Tests of the writes of the status object."""

from balsamshed.status.status_object import (
    REFRESH_INTERVAL_SECONDS,
    WRITE_INTERVAL_SECONDS,
    StatusSummary,
    StatusWriteState,
    record_conflict,
    record_observed_version,
    record_write,
    start_write_if_due,
)

SUMMARY = StatusSummary(('n1', 'n2'), 7, (), (), ())


def write_summary(status, now, version):
    assert start_write_if_due(status, SUMMARY, now)
    record_write(status, version)


def test_same_summary_is_written_once_until_the_refresh():
    """Guards against writes of the same summary in each interval."""
    status = StatusWriteState()
    write_summary(status, 0, 3)
    record_observed_version(status, 3, is_own=True)
    assert not start_write_if_due(status, SUMMARY, REFRESH_INTERVAL_SECONDS - 1)
    assert start_write_if_due(status, SUMMARY, REFRESH_INTERVAL_SECONDS)


def test_status_of_another_summarizer_is_replaced():
    """Guards against a status object that stays wrong until the refresh. A
    paused member still has its old summary, so the object that another member
    wrote meanwhile looks like no change."""
    status = StatusWriteState()
    write_summary(status, 0, 3)
    record_observed_version(status, 9, is_own=False)
    assert status.version == 9
    assert start_write_if_due(status, SUMMARY, WRITE_INTERVAL_SECONDS)


def test_older_status_of_a_lagging_replica_is_ignored():
    """Guards against a write with the old version from a lagging replica,
    which always results in a conflict."""
    status = StatusWriteState()
    write_summary(status, 0, 9)
    record_observed_version(status, 3, is_own=False)
    assert status.version == 9
    assert not start_write_if_due(status, SUMMARY, WRITE_INTERVAL_SECONDS)


def test_conflict_is_followed_by_a_write_with_the_current_version():
    """Guards against concurrent readers that conflict repeatedly."""
    status = StatusWriteState()
    assert start_write_if_due(status, SUMMARY, 0)
    record_conflict(status, 5)
    assert start_write_if_due(status, SUMMARY, WRITE_INTERVAL_SECONDS)
    assert status.version == 5
