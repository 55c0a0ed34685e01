"""Audit trail: one audit object for each version of a declared object."""

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field
from datetime import datetime
from itertools import islice
from typing import Any, Final

from balsamshed.audit.entries import (
    ChangeEntry,
    VersionedChange,
    read_changes,
    read_versioned_changes,
)
from balsamshed.configuration.records import Record

#: Maximum age of the changes that are queued for an object seen for the first
#: time by this process. Earlier readers have written older ones; without this
#: limit each restart of a reader would write all changes of its group again.
MAX_BACKFILL_AGE_SECONDS: Final = 3600.0
#: Audit objects per batch of writes.
MAX_WRITES_PER_BATCH: Final = 8


@dataclass(frozen=True, slots=True)
class AuditObject:
    """An object that is written once and never changed.

    Parameters
    ----------
    key : str
        ``audit/<group>/<kind>.<name>.<version>``. It is outside the prefix of
        the group, so that lists of the group do not grow over time.
    body : mapping
        JSON document with the change entry.
    """

    key: str
    body: Mapping[str, Any]


@dataclass(slots=True)
class AuditQueue:
    """Queue of audit objects that the store has not confirmed yet.

    Attributes
    ----------
    pending : dict of str to AuditObject
        Keyed by the object's key, oldest first.
    """

    pending: dict[str, AuditObject] = field(default_factory=dict)


def queue_changes(
    queue: AuditQueue,
    record: Record,
    previous_version: int,
    wall_time: float,
) -> None:
    """Queue audit objects for the versions that were not seen before.

    Versions between two lists of the store are taken from the record's change
    entries, so that none is missing.

    Parameters
    ----------
    queue : AuditQueue
        Changed in place.
    record : Record
        Newest version of an object.
    previous_version : int
        Version that the catalog had before; zero if it had none.
    wall_time : float
        Seconds since the Unix epoch.
    """
    for change in read_versioned_changes(record.version, record.body):
        if change.version <= previous_version:
            continue
        age = wall_time - _parse_time(change.entry.when, wall_time)
        if previous_version or age < MAX_BACKFILL_AGE_SECONDS:
            audit_object = _build_audit_object(record.key, change)
            queue.pending[audit_object.key] = audit_object


def list_pending_writes(queue: AuditQueue) -> tuple[AuditObject, ...]:
    """Return the next batch of audit objects; they stay queued."""
    return tuple(islice(queue.pending.values(), MAX_WRITES_PER_BATCH))


def confirm_write(queue: AuditQueue, key: str) -> None:
    """Remove an audit object that the store has from the queue.

    A conflict also confirms the write: another reader wrote the same object.

    Parameters
    ----------
    queue : AuditQueue
        Changed in place.
    key : str
        Key of the written object; keys that are not queued are ignored.
    """
    queue.pending.pop(key, None)


def get_audit_prefix(key: str) -> str:
    """Return the key prefix of the audit objects of a declared object.

    Parameters
    ----------
    key : str
        ``<group>/<kind>/<name>``.

    Returns
    -------
    str
        ``audit/<group>/<kind>.<name>.``
    """
    group, kind, name = key.split('/', maxsplit=2)
    return f'audit/{group}/{kind}.{name}.'


def read_trail(records: Iterable[Record]) -> dict[int, ChangeEntry]:
    """Return the changes in audit objects, keyed by the version they created.

    Parameters
    ----------
    records : iterable of Record
        Audit objects; malformed ones are skipped.

    Returns
    -------
    dict of int to ChangeEntry
        Changes in the order of the records.
    """
    trail = {}
    for record in records:
        spec = record.body.get('spec')
        if not isinstance(spec, Mapping):
            continue
        changes = read_changes({'changes': [spec]})
        version = spec.get('version')
        if changes and isinstance(version, int):
            trail[version] = changes[0]
    return trail


def _build_audit_object(key: str, change: VersionedChange) -> AuditObject:
    spec = {'key': key, 'version': change.version, **asdict(change.entry)}
    return AuditObject(
        f'{get_audit_prefix(key)}{change.version}',
        {'spec': spec},
    )


def _parse_time(text: str, default: float) -> float:
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        return default
