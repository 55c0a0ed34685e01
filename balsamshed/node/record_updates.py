"""Application of records from the store and from peers to the catalog."""

from collections.abc import Iterable
from typing import Any, Final

from balsamshed.audit.trail import queue_changes
from balsamshed.configuration.anti_entropy import (
    batch_records,
    compare_buckets,
    compute_bucket_digests,
    reconcile_versions,
)
from balsamshed.configuration.catalog import (
    derive_routing_table,
    merge_records,
)
from balsamshed.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RecordPush,
)
from balsamshed.configuration.records import Record
from balsamshed.flows.derivation import CandidateList, record_candidates
from balsamshed.members.member import Member
from balsamshed.members.membership import (
    list_owners,
    list_reachable_peers,
    set_catalog,
)
from balsamshed.members.messages import CatalogDigest
from balsamshed.members.ownership import rank_members
from balsamshed.members.readers import choose_readers
from balsamshed.node.effects import (
    Effect,
    LogEvent,
    SendPeerMessage,
)
from balsamshed.node.state import Node
from balsamshed.placement.candidates import list_usable

#: Number of members that each new record is pushed to.
PUSH_FANOUT: Final = 3
#: Minimum time between two catalog comparisons with the same member.
COMPARISON_INTERVAL_SECONDS: Final = 0.5

Effects = tuple[Effect, ...]


def apply_records(
    node: Node,
    records: Iterable[Record],
    now: float,
) -> Effects:
    """Apply the records that are newer than the known ones and push them on.

    Parameters
    ----------
    node : Node
        Changed in place.
    records : iterable of Record
        Records from the store or from a peer.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        Messages to other members and log events.
    """
    previous_versions = {
        key: record.version for key, record in node.catalog.records.items()
    }
    applied = merge_records(node.catalog, records)
    if not applied:
        return ()
    apply_catalog(node, now)
    _queue_audit(node, applied, previous_versions, now)
    return (
        *(_describe_record(node, record) for record in applied),
        *_push_to_peers(node, applied),
    )


def apply_catalog(node: Node, now: float) -> None:
    """Update everything that is derived from the catalog.

    Parameters
    ----------
    node : Node
        Changed in place.
    now : float
        Monotonic seconds.
    """
    node.routing = derive_routing_table(node.catalog)
    digest = CatalogDigest(node.catalog.digest, node.catalog.highest_version)
    set_catalog(node.membership, digest, now)
    update_candidate_lists(node, now)
    assign_load_probes(node)


def update_candidate_lists(node: Node, now: float) -> tuple[str, ...]:
    """Record which backend servers of each route take new work now.

    Parameters
    ----------
    node : Node
        Changed in place.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of str
        Names of the routes whose candidates changed.
    """
    wall_time = now + node.wall_offset_seconds
    changed = []
    for route in node.routing.listeners.values():
        hosts = tuple(server.host for server in list_usable(route, wall_time))
        entry = CandidateList(route, hosts, wall_time, now, float('inf'))
        if record_candidates(node.candidate_history, entry):
            changed.append(route.name)
    return tuple(changed)


def assign_load_probes(node: Node) -> None:
    """Select the backend servers whose load this balancer probes."""
    members = list_owners(node.membership)
    node.probe_targets = tuple(
        server
        for server in node.routing.hosts.values()
        if server.load_url
        and members
        and rank_members(members, server.name)[0].name == node.name
    )


def compare_catalogs(
    node: Node,
    sender: Member,
    catalog: CatalogDigest,
    now: float,
) -> Effects:
    """Start anti-entropy if a member's catalog differs from the local one.

    Parameters
    ----------
    node : Node
        Changed in place.
    sender : Member
        The other member.
    catalog : CatalogDigest
        Digest of its catalog.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        A message with the digests of the local buckets, or nothing.
    """
    if catalog.digest == node.catalog.digest:
        return ()
    last = node.compared_at.get(sender.name, float('-inf'))
    if now - last < COMPARISON_INTERVAL_SECONDS:
        return ()
    node.compared_at[sender.name] = now
    message = compute_bucket_digests(node.catalog)
    return (SendPeerMessage(sender.host, sender.control_port, message),)


def answer_digests(
    node: Node,
    received: BucketDigests,
) -> tuple[BucketVersions, ...]:
    """Return the record versions of the buckets whose digests differ."""
    versions = compare_buckets(node.catalog, received)
    return () if versions is None else (versions,)


def answer_bucket_versions(
    node: Node,
    received: BucketVersions,
) -> tuple[RecordPush | BucketVersions, ...]:
    """Return the newer local records and a request for newer remote ones."""
    return reconcile_versions(node.catalog, received)


def is_reader(node: Node) -> bool:
    """Tell whether this balancer watches the store for its data centre."""
    return node.name in node.readers


def is_first_reader(node: Node) -> bool:
    """Tell whether this balancer writes status and audit objects.

    One balancer of each data centre does.
    """
    return node.readers[:1] == (node.name,)


def choose_node_readers(node: Node) -> tuple[str, ...]:
    """Return the readers of this data centre, the first reader first."""
    return choose_readers(list_owners(node.membership), node.data_centre)


def _describe_record(node: Node, record: Record) -> LogEvent:
    fields: dict[str, Any] = {'key': record.key, 'version': record.version}
    catalog = node.catalog
    rejection = catalog.rejections.get(record.key)
    rejection = rejection or catalog.address_conflicts.get(record.key)
    if rejection is None:
        return LogEvent('record_in_force', fields)
    fields['findings'] = len(rejection.findings)
    fields['first_place'] = rejection.findings[0].place
    return LogEvent('record_rejected', fields)


def _push_to_peers(
    node: Node, records: tuple[Record, ...]
) -> list[SendPeerMessage]:
    peers = list_reachable_peers(node.membership)
    targets: list[Member] = []
    while peers and len(targets) < PUSH_FANOUT:
        targets.append(peers.pop(node.membership.randbelow(len(peers))))
    return [
        SendPeerMessage(target.host, target.control_port, push)
        for push in batch_records(records)
        for target in targets
    ]


def _queue_audit(
    node: Node,
    records: tuple[Record, ...],
    previous_versions: dict[str, int],
    now: float,
) -> None:
    if not is_first_reader(node):
        return
    for record in records:
        queue_changes(
            node.audit_queue,
            record,
            previous_versions.get(record.key, 0),
            now + node.wall_offset_seconds,
        )
