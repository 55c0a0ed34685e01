"""Guards against a status object that stays wrong."""

from balsamshed.status.fleet import (
    REFRESH_SECONDS,
    WRITE_INTERVAL_SECONDS,
    FleetStatus,
    Summary,
    note_conflict,
    note_seen,
    note_written,
    plan_write,
)

SUMMARY = Summary(('n1', 'n2'), 7, (), (), ())


def write_summary(status, now, version):
    assert plan_write(status, SUMMARY, now)
    note_written(status, version)


def test_same_summary_is_written_once_until_the_refresh():
    """Guards the store against writes without news."""
    status = FleetStatus()
    write_summary(status, 0, 3)
    note_seen(status, 3, is_own=True)
    assert not plan_write(status, SUMMARY, REFRESH_SECONDS - 1)
    assert plan_write(status, SUMMARY, REFRESH_SECONDS)


def test_status_of_a_stand_in_is_replaced():
    """A member that was paused has its old summary still, and the object of
    the stand-in would stay until the refresh."""
    status = FleetStatus()
    write_summary(status, 0, 3)
    note_seen(status, 9, is_own=False)
    assert status.version == 9
    assert plan_write(status, SUMMARY, WRITE_INTERVAL_SECONDS)


def test_older_status_of_a_lagging_replica_is_no_news():
    """A list from a lagging replica must not lead to a write with an old
    version, which would only conflict."""
    status = FleetStatus()
    write_summary(status, 0, 9)
    note_seen(status, 3, is_own=False)
    assert status.version == 9
    assert not plan_write(status, SUMMARY, WRITE_INTERVAL_SECONDS)


def test_conflict_is_followed_by_a_write_of_the_known_version():
    """Two readers that race must not conflict forever."""
    status = FleetStatus()
    assert plan_write(status, SUMMARY, 0)
    note_conflict(status, 5)
    assert plan_write(status, SUMMARY, WRITE_INTERVAL_SECONDS)
    assert status.version == 5
