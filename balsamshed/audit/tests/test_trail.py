"""Guards against changes that are missing from the audit trail."""

from balsamshed.audit.entries import ChangeEntry, append_change
from balsamshed.audit.trail import (
    MAX_WRITES_PER_BATCH,
    AuditQueue,
    confirm_write,
    list_pending_writes,
    queue_changes,
    read_trail,
)
from balsamshed.configuration.records import Record

KEY = 'g/service/creneau'
NOW = 1796371200.0


def make_record(*versions, hour=8):
    body = {'spec': {}}
    previous = 0
    for version in versions:
        entry = ChangeEntry(
            f'id-{version}',
            'ana@desk',
            f'2026-12-04T{hour:02}:00:00+00:00',
            previous,
            'apply',
        )
        body = append_change(body, entry)
        previous = version
    return Record(KEY, versions[-1], body)


def test_versions_between_two_lists_are_queued():
    """Guards against a gap in the trail after a reader was disconnected."""
    queue = AuditQueue()
    queue_changes(queue, make_record(3, 5, 9), 3, NOW)
    assert list(queue.pending) == [
        'audit/g/service.creneau.5',
        'audit/g/service.creneau.9',
    ]


def test_audit_object_stays_queued_until_the_store_confirms_it():
    """Guards against entries that are lost when a write fails."""
    queue = AuditQueue()
    versions = range(2, 2 + MAX_WRITES_PER_BATCH + 2)
    queue_changes(queue, make_record(*versions), 1, NOW)
    first = list_pending_writes(queue)
    assert list_pending_writes(queue) == first
    for entry in first:
        confirm_write(queue, entry.key)
    rest = list_pending_writes(queue)
    assert len(rest) == 2
    trail = read_trail(
        Record(entry.key, 1, entry.body) for entry in (*first, *rest)
    )
    assert list(trail) == list(versions)


def test_restart_does_not_queue_old_changes():
    """Guards against restarts that write the whole history of the group
    again."""
    queue = AuditQueue()
    queue_changes(queue, make_record(3, 5, hour=1), 0, NOW)
    assert not queue.pending
    queue_changes(queue, make_record(7), 0, NOW)
    assert list(queue.pending) == ['audit/g/service.creneau.7']
