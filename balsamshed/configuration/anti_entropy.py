"""Anti-entropy between the catalogs of two members."""

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

#: Buckets into which the keys of a catalog are hashed.
BUCKET_COUNT: Final = 16
#: Records in one push: about 600 bytes each, 1,200 fit a usual MTU.
MAX_RECORDS_PER_PUSH: Final = 2
#: Pushes that answer one message; the rest follows with the next digest.
MAX_PUSHES_PER_REPLY: Final = 40


def compute_bucket_digests(catalog: Catalog) -> BucketDigests:
    """Return the digest of each bucket.

    Parameters
    ----------
    catalog : Catalog
        Records of one node.

    Returns
    -------
    BucketDigests
        `BUCKET_COUNT` digests.
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
    """Answer another member's digests with the versions that differ.

    Parameters
    ----------
    catalog : Catalog
        Records of this node.
    received : BucketDigests
        Digests of the other member.

    Returns
    -------
    BucketVersions or None
        Versions in the buckets that differ; None if all are equal.
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
    """List the versions of the keys in some buckets."""
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
    """Send what the other member lacks, and ask for what this one lacks.

    Parameters
    ----------
    catalog : Catalog
        Records of this node.
    received : BucketVersions
        Versions of the other member.

    Returns
    -------
    tuple of RecordPush or BucketVersions
        Pushes of newer records; own versions if the other has newer ones.
    """
    theirs = dict(received.versions)
    newer = [
        record
        for record in catalog.records.values()
        if _get_bucket(record.key) in received.buckets
        and record.version > theirs.get(record.key, -1)
    ]
    messages: list[RecordPush | BucketVersions] = list(batch_records(newer))
    if any(
        _get_version(catalog, key) < version for key, version in theirs.items()
    ):
        messages.append(collect_bucket_versions(catalog, received.buckets))
    return tuple(messages)


def batch_records(records: Iterable[Record]) -> list[RecordPush]:
    """Split records into pushes of a bounded size and number."""
    known = tuple(records)
    starts = range(0, len(known), MAX_RECORDS_PER_PUSH)
    return [
        RecordPush(known[start : start + MAX_RECORDS_PER_PUSH])
        for start in starts[:MAX_PUSHES_PER_REPLY]
    ]


def _get_bucket(key: str) -> int:
    return xxh3_64_intdigest(key.encode()) % BUCKET_COUNT


def _get_version(catalog: Catalog, key: str) -> int:
    record = catalog.records.get(key)
    return -1 if record is None else record.version
