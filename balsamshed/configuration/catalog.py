"""Catalog: a balancer's replica of the records of its group."""

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

#: Largest body as JSON text. Two records must fit into a datagram of 60,000
#: bytes; a backend server with 64 quiet periods and 16 changes takes 11,000.
MAX_BODY_BYTES = 20_000
#: Kinds of objects that belong to the declared configuration.
CONFIGURATION_KINDS = frozenset(('service', 'backend_server'))

# Replaces the body of an oversized record; its value is the size in bytes.
_OVERSIZED_KEY = 'oversized_bytes'


@dataclass(slots=True)
class Catalog:
    """Replica of a group's records, keyed by object.

    Attributes
    ----------
    records : dict of str to Record
        Newest version of each object, including deleted objects.
    resources : dict of str to Resource
        Last valid version of each object that is not deleted.
    deleted_resources : dict of str to Resource
        Last valid version of each deleted object. Packets of open flows are
        still returned from a deleted backend server.
    rejections : dict of str to Rejection
        Findings of objects whose newest version is invalid.
    address_conflicts : dict of str to Rejection
        Objects that are not applied because an older object has their address.
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
    """Return a 63-bit hash of an object's key and version.

    Parameters
    ----------
    key : str
        Key of the object.
    version : int
        Version of the object.

    Returns
    -------
    int
        Non-negative, so that it fits a signed ``i64`` of thrift.
    """
    return xxh3_64_intdigest(f'{key}@{version}'.encode()) >> 1


def get_kind(key: str) -> str:
    """Return the kind of an object from its key; empty if malformed."""
    parts = key.split('/', maxsplit=2)
    return parts[1] if len(parts) == 3 else ''


def merge_records(
    catalog: Catalog,
    records: Iterable[Record],
) -> tuple[Record, ...]:
    """Merge records into the catalog if they are newer.

    A record replaces only a lower version of its object, so a late response
    of a lagging store or peer cannot revert it.

    Parameters
    ----------
    catalog : Catalog
        Changed in place.
    records : iterable of Record
        Records from the store or from a peer, in any order.

    Returns
    -------
    tuple of Record
        The records that were merged.
    """
    merged = []
    for record in records:
        current = catalog.records.get(record.key)
        if current is not None and current.version >= record.version:
            continue
        if get_kind(record.key) not in CONFIGURATION_KINDS:
            continue
        bounded = _replace_oversized_body(record)
        _replace_record(catalog, current, bounded)
        merged.append(bounded)
    if merged:
        catalog.address_conflicts = resolve_address_conflicts(
            catalog.records,
            catalog.resources,
        )
    return tuple(merged)


def derive_routing_table(catalog: Catalog) -> RoutingTable:
    """Build the routing table of the resources in force."""
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
    """Replace a body that exceeds the size of a peer message by its size.

    Every member then rejects the object with the same finding, whether it
    received the object from the store or from a peer.
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
    current: Record | None,
    record: Record,
) -> None:
    if current is not None:
        catalog.digest ^= hash_version(current.key, current.version)
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
        # The last valid version stays in force.
        catalog.rejections[record.key] = outcome
    else:
        catalog.resources[record.key] = outcome
        catalog.deleted_resources.pop(record.key, None)
