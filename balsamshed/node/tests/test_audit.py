"""Guards against changes without an audit object."""

from balsamshed.audit.trail import MAX_WRITES_PER_BATCH
from balsamshed.configuration.records import Record
from balsamshed.members.member import Member
from balsamshed.node.dispatch import handle_event
from balsamshed.node.effects import WriteRecord
from balsamshed.node.events import (
    RecordsListed,
    RecordWritten,
    StoreFailed,
    Ticked,
    WriteConflicted,
)
from balsamshed.node.state import create_node

CHANGE = {
    'change_id': 'c1',
    'who': 'w',
    'when': '2026-12-04T20:00:00Z',
    'from_version': 0,
    'action': 'drain',
}


def make_node():
    own = Member('n1', 'a', '127.0.0.1', 1, 2)
    node = create_node(own, 'g', (), lambda limit: 0, 0, 1e9)
    tick(node, 0)
    return node


def list_audit_writes(effects):
    return [
        effect.key
        for effect in effects
        if isinstance(effect, WriteRecord) and effect.key.startswith('audit/')
    ]


def tick(node, now):
    return list_audit_writes(handle_event(node, Ticked(1e9 + now, 0), now))


def list_records(node, count):
    records = tuple(
        Record(f'g/service/s{number}', number, {'changes': [CHANGE]})
        for number in range(1, count + 1)
    )
    handle_event(node, RecordsListed(count, records), 0)


def test_failed_write_is_made_again_until_the_store_has_the_object():
    """A lost entry cannot be restored once 16 newer changes displaced it."""
    node = make_node()
    list_records(node, 1)
    key = 'audit/g/service.s1.1'
    assert tick(node, 3) == [key]
    handle_event(node, StoreFailed('write', 'outage'), 3)
    assert tick(node, 4) == []
    assert tick(node, 6) == [key]
    # The store has the object: only the response of the write was lost.
    handle_event(node, WriteConflicted(key, 9), 7)
    assert tick(node, 20) == []


def test_first_list_does_not_flood_the_store():
    """A reader that starts would write the audit objects of all changes at
    once, since it does not know which of them exist."""
    node = make_node()
    list_records(node, 30)
    written = []
    for number in range(10):
        now = 3 + number
        keys = tick(node, now)
        assert len(keys) <= MAX_WRITES_PER_BATCH
        written.extend(keys)
        for key in keys:
            handle_event(node, RecordWritten(key, 99), now)
    assert sorted(set(written)) == sorted(written)
    assert len(written) == 30
