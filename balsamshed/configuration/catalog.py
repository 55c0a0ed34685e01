"""Catalog: a node's copy of its group's records."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from balsamshed.configuration.address_conflicts import resolve_address_conflicts
from balsamshed.configuration.parsing import parse_resource
from balsamshed.configuration.records import Record, Rejection
from balsamshed.configuration.resources import Resource
from balsamshed.configuration.routing import RoutingTable, build_routing_table
from balsamshed.findings import Finding

#: Largest body as JSON text. Two records have to fit a datagram of 60,000
#: bytes; a backend server with 64 quiet periods and 16 changes takes 11,000.
MAX_BODY_BYTES = 20_000
#: Kinds of objects that declare desired state.
CONFIGURATION_KINDS = frozenset(('service', 'backend_server'))

_OVERSIZED_KEY = 'oversized_bytes'


@dataclass(slots=True)
class Catalog:
    """Records of one group, the newest known version of each.

    Attributes
    ----------
    records : dict of str to Record
        Newest version of each object, deleted ones included.
    resources : dict of str to Resource
        Last version of each object that had no findings.
    deleted_resources : dict of str to Resource
        Last good version of each deleted object. Open flows still need the
        way back from a deleted backend server.
    rejections : dict of str to Rejection
        Findings of the newest version, for objects that have some.
    address_conflicts : dict of str to Rejection
        Objects that give way to an older one with the same address.
    digest : int
        Exclusive or of the hashes of all keys and versions.
    highest_version : int
        Highest version of all records.
    """

    records: dict[str, Record] = field(default_factory=dict)
    resources: dict[str, Resource] = field(default_factory=dict)
    deleted_resources: dict[str, Resource] = field(default_factory=dict)
    rejections: dict[str, Rejection] = field(default_factory=dict)
    address_conflicts: dict[str, Rejection] = field(default_factory=dict)
    digest: int = 0
    highest_version: int = 0


def hash_version(key: str, version: int) -> int:
    """Return a 63-bit hash of one version of an object.

    Parameters
    ----------
    key : str
        Key of the object.
    version : int
        Version of the object.

    Returns
    -------
    int
        Non-negative, so that it fits thrift's signed ``i64``.
    """
    return xxh3_64_intdigest(f'{key}@{version}'.encode()) >> 1


def get_kind(key: str) -> str:
    """Return the kind part of an object's key."""
    parts = key.split('/', maxsplit=2)
    return parts[1] if len(parts) == 3 else ''


def merge_records(
    catalog: Catalog,
    records: Iterable[Record],
) -> tuple[Record, ...]:
    """Take over the records that are newer than the known ones.

    A record replaces only a lower version of its object, so that no answer
    of a lagging store or peer can bring an older version back.

    Parameters
    ----------
    catalog : Catalog
        Changed in place.
    records : iterable of Record
        Records from the store or from a peer, in any order.

    Returns
    -------
    tuple of Record
        The records that were taken over.
    """
    taken = []
    for record in records:
        known = catalog.records.get(record.key)
        if known is not None and known.version >= record.version:
            continue
        if get_kind(record.key) not in CONFIGURATION_KINDS:
            continue
        kept = _replace_oversized_body(record)
        _replace_record(catalog, known, kept)
        taken.append(kept)
    if taken:
        catalog.address_conflicts = resolve_address_conflicts(
            catalog.records,
            catalog.resources,
        )
    return tuple(taken)


def derive_routing_table(catalog: Catalog) -> RoutingTable:
    """Build the routing table of the applied resources."""
    accepted = (
        resource
        for key, resource in catalog.resources.items()
        if key not in catalog.address_conflicts
    )
    return build_routing_table(
        accepted,
        catalog.deleted_resources.values(),
    )


def _replace_oversized_body(record: Record) -> Record:
    """Replace a body that no peer message can carry by its size.

    Every member then rejects the object with the same finding, whether it
    learned of it from the store or from a peer.
    """
    size = len(json.dumps(record.body, separators=(',', ':')))
    if size <= MAX_BODY_BYTES:
        return record
    deleted = bool(record.body.get('deleted'))
    body = {_OVERSIZED_KEY: size, 'deleted': deleted}
    return Record(record.key, record.version, body)


def _parse_record(record: Record) -> Resource | Rejection:
    if _OVERSIZED_KEY in record.body:
        found = f'{record.body[_OVERSIZED_KEY]} bytes'
        finding = Finding('$', found, f'at most {MAX_BODY_BYTES} bytes of JSON')
        return Rejection(record.key, (finding,))
    return parse_resource(record.key, record.body.get('spec'))


def _replace_record(
    catalog: Catalog,
    known: Record | None,
    record: Record,
) -> None:
    if known is not None:
        catalog.digest ^= hash_version(known.key, known.version)
    catalog.digest ^= hash_version(record.key, record.version)
    catalog.highest_version = max(catalog.highest_version, record.version)
    catalog.records[record.key] = record
    catalog.rejections.pop(record.key, None)
    outcome = _parse_record(record)
    if record.body.get('deleted'):
        last = catalog.resources.pop(record.key, outcome)
        if not isinstance(last, Rejection):
            catalog.deleted_resources[record.key] = last
        return
    if isinstance(outcome, Rejection):
        # The last good version stays in force.
        catalog.rejections[record.key] = outcome
    else:
        catalog.resources[record.key] = outcome
        catalog.deleted_resources.pop(record.key, None)
