"""Guards against a status object that stays wrong."""

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
    """Guards the store against writes without news."""
    status = StatusWriteState()
    write_summary(status, 0, 3)
    record_observed_version(status, 3, is_own=True)
    assert not start_write_if_due(status, SUMMARY, REFRESH_INTERVAL_SECONDS - 1)
    assert start_write_if_due(status, SUMMARY, REFRESH_INTERVAL_SECONDS)


def test_status_of_a_stand_in_is_replaced():
    """A member that was paused has its old summary still, and the object of
    the stand-in would stay until the refresh."""
    status = StatusWriteState()
    write_summary(status, 0, 3)
    record_observed_version(status, 9, is_own=False)
    assert status.version == 9
    assert start_write_if_due(status, SUMMARY, WRITE_INTERVAL_SECONDS)


def test_older_status_of_a_lagging_replica_is_no_news():
    """A list from a lagging replica must not lead to a write with an old
    version, which would only conflict."""
    status = StatusWriteState()
    write_summary(status, 0, 9)
    record_observed_version(status, 3, is_own=False)
    assert status.version == 9
    assert not start_write_if_due(status, SUMMARY, WRITE_INTERVAL_SECONDS)


def test_conflict_is_followed_by_a_write_of_the_known_version():
    """Two readers that race must not conflict forever."""
    status = StatusWriteState()
    assert start_write_if_due(status, SUMMARY, 0)
    record_conflict(status, 5)
    assert start_write_if_due(status, SUMMARY, WRITE_INTERVAL_SECONDS)
    assert status.version == 5
