"""Audit objects: one for each version of a declared object."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from balsamshed.audit.entries import VersionedChange, list_versions
from balsamshed.configuration.catalog import Record


@dataclass(frozen=True, slots=True)
class AuditObject:
    """An object that is written once and never changed.

    Parameters
    ----------
    key : str
        ``<group>/audit/<kind>.<name>.<version>``.
    body : mapping
        JSON document with the change entry.
    """

    key: str
    body: Mapping[str, Any]


def build_audit_records(
    record: Record,
    known_version: int,
) -> tuple[AuditObject, ...]:
    """Return the audit objects of the versions that were not seen before.

    Versions between two lists of the store are found in the record's change
    entries, so that none is left out.

    Parameters
    ----------
    record : Record
        Newest version of an object.
    known_version : int
        Version that was known before; zero if none was.

    Returns
    -------
    tuple of AuditObject
        Oldest first.
    """
    return tuple(
        _build_object(record.key, change)
        for change in list_versions(record.version, record.body)
        if change.version > known_version
    )


def _build_object(key: str, change: VersionedChange) -> AuditObject:
    group, kind, name = key.split('/', maxsplit=2)
    spec = {'key': key, 'version': change.version, **asdict(change.entry)}
    return AuditObject(
        f'{group}/audit/{kind}.{name}.{change.version}',
        {'spec': spec},
    )
