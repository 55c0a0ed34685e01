"""Handlers of the responses of the platform's object store."""

from collections.abc import Iterable
from typing import Final

from balsamshed.audit.trail import confirm_write
from balsamshed.configuration.records import Record
from balsamshed.members.membership import set_vm_addresses
from balsamshed.node.effects import CountEvent, Effect, LogEvent
from balsamshed.node.events import (
    RecordsChanged,
    RecordsListed,
    RecordWritten,
    StoreFailed,
    VmsListed,
    WatchExpired,
    WriteConflicted,
)
from balsamshed.node.record_updates import apply_records
from balsamshed.node.state import Node
from balsamshed.status.status_object import (
    record_conflict,
    record_observed_version,
    record_write,
)
from balsamshed.store.session import (
    record_expired_revision,
    record_failure,
    record_list,
    record_watch,
)

_JITTER_STEPS: Final = 1000
_SESSION_CALLS: Final = frozenset(('list', 'watch'))

Effects = tuple[Effect, ...]


def handle_records_listed(
    node: Node, event: RecordsListed, now: float
) -> Effects:
    """Apply a complete list of objects."""
    record_list(node.store_session, event.revision, now)
    _record_status_version(node, event.records)
    return apply_records(node, event.records, now)


def handle_records_changed(
    node: Node, event: RecordsChanged, now: float
) -> Effects:
    """Apply the changes that a watch returned."""
    record_watch(node.store_session, event.revision)
    _record_status_version(node, event.records)
    return apply_records(node, event.records, now)


def handle_watch_expired(
    node: Node, event: WatchExpired, now: float
) -> Effects:
    """Schedule a new list, since the store no longer has all changes."""
    record_expired_revision(node.store_session, now, _sample_jitter(node))
    return ()


def handle_record_written(
    node: Node, event: RecordWritten, now: float
) -> Effects:
    """Record that a status or audit object was written."""
    confirm_write(node.audit_queue, event.key)
    if event.key == _get_status_key(node):
        record_write(node.status_writes, event.version)
    return ()


def handle_write_conflicted(
    node: Node,
    event: WriteConflicted,
    now: float,
) -> Effects:
    """Record the version that another reader wrote."""
    confirm_write(node.audit_queue, event.key)
    if event.key == _get_status_key(node):
        record_conflict(node.status_writes, event.version)
    return ()


def handle_store_failed(node: Node, event: StoreFailed, now: float) -> Effects:
    """Back off after a failed call; serving continues with known records."""
    if event.call in _SESSION_CALLS:
        record_failure(node.store_session, now, _sample_jitter(node))
    fields = {'call': event.call, 'reason': event.reason}
    return (
        LogEvent('store_call_failed', fields),
        CountEvent('store_call_failed'),
    )


def handle_vms_listed(node: Node, event: VmsListed, now: float) -> Effects:
    """Use the listed VMs as possible addresses of members."""
    set_vm_addresses(node.membership, event.vms)
    return ()


def _record_status_version(node: Node, records: Iterable[Record]) -> None:
    key = _get_status_key(node)
    for record in records:
        if record.key == key:
            spec = record.body.get('spec')
            writer = spec.get('summarizer') if isinstance(spec, dict) else ''
            record_observed_version(
                node.status_writes, record.version, is_own=writer == node.name
            )


def _sample_jitter(node: Node) -> float:
    return node.membership.randbelow(_JITTER_STEPS) / _JITTER_STEPS


def _get_status_key(node: Node) -> str:
    return f'{node.group}/status/{node.data_centre}'
