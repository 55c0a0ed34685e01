"""Anti-entropy exchange between the catalogs of two members."""

from collections.abc import Collection, Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from balsamshed.configuration.catalog import Catalog, hash_version
from balsamshed.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RecordPush,
)
from balsamshed.configuration.records import Record

#: Number of buckets into which the keys of a catalog are hashed.
BUCKET_COUNT: Final = 16
#: A record takes about 600 bytes, and 1,200 bytes fit a common MTU.
MAX_RECORDS_PER_PUSH: Final = 2
#: Limit of the pushes that reply to one message. Further records follow after
#: the next comparison of digests.
MAX_PUSHES_PER_REPLY: Final = 40


def compute_bucket_digests(catalog: Catalog) -> BucketDigests:
    """Return the digest of each bucket.

    Parameters
    ----------
    catalog : Catalog
        Catalog of one balancer.

    Returns
    -------
    BucketDigests
        `BUCKET_COUNT` digests, each the exclusive or of its hashes.
    """
    digests = list(bytes(BUCKET_COUNT))
    for record in catalog.records.values():
        digests[_get_bucket(record.key)] ^= hash_version(
            record.key,
            record.version,
        )
    return BucketDigests(tuple(digests))


def compare_buckets(
    catalog: Catalog,
    received: BucketDigests,
) -> BucketVersions | None:
    """Compare the digests of another member with the own ones.

    Parameters
    ----------
    catalog : Catalog
        Catalog of this balancer.
    received : BucketDigests
        Digests of the other member.

    Returns
    -------
    BucketVersions or None
        Own versions in the buckets that differ; None if all are equal.
    """
    own = compute_bucket_digests(catalog).digests
    differing = tuple(
        bucket
        for bucket, digest in enumerate(own)
        if received.digests[bucket : bucket + 1] != (digest,)
    )
    return collect_bucket_versions(catalog, differing) if differing else None


def collect_bucket_versions(
    catalog: Catalog,
    buckets: Collection[int],
) -> BucketVersions:
    """Return the versions of all records in the given buckets."""
    return BucketVersions(
        tuple(buckets),
        tuple(
            (record.key, record.version)
            for record in catalog.records.values()
            if _get_bucket(record.key) in buckets
        ),
    )


def reconcile_versions(
    catalog: Catalog,
    received: BucketVersions,
) -> tuple[RecordPush | BucketVersions, ...]:
    """Reply to the versions of another member.

    Parameters
    ----------
    catalog : Catalog
        Catalog of this balancer.
    received : BucketVersions
        Versions of the other member.

    Returns
    -------
    tuple of RecordPush or BucketVersions
        Pushes of the records that are newer here. If the other member has
        newer records, the own versions follow, which request them.
    """
    peer_versions = dict(received.versions)
    newer = [
        record
        for record in catalog.records.values()
        if _get_bucket(record.key) in received.buckets
        and record.version > peer_versions.get(record.key, -1)
    ]
    messages: list[RecordPush | BucketVersions] = list(batch_records(newer))
    if any(
        _get_version(catalog, key) < version
        for key, version in peer_versions.items()
    ):
        messages.append(collect_bucket_versions(catalog, received.buckets))
    return tuple(messages)


def batch_records(records: Iterable[Record]) -> list[RecordPush]:
    """Split records into pushes of bounded size and number."""
    all_records = tuple(records)
    starts = range(0, len(all_records), MAX_RECORDS_PER_PUSH)
    return [
        RecordPush(all_records[start : start + MAX_RECORDS_PER_PUSH])
        for start in starts[:MAX_PUSHES_PER_REPLY]
    ]


def _get_bucket(key: str) -> int:
    return xxh3_64_intdigest(key.encode()) % BUCKET_COUNT


def _get_version(catalog: Catalog, key: str) -> int:
    record = catalog.records.get(key)
    return -1 if record is None else record.version
