"""Messages that distribute records between members."""

from dataclasses import dataclass

from balsamshed.configuration.records import Record


@dataclass(frozen=True, slots=True)
class RecordPush:
    """Records that the receiver may not have yet.

    Parameters
    ----------
    records : tuple of Record
        Records in any order.
    """

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """Digests of all buckets of keys, sent when two catalogs differ.

    Parameters
    ----------
    digests : tuple of int
        One digest for each bucket.
    """

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketVersions:
    """Versions of the records in some buckets; requests newer ones.

    Parameters
    ----------
    buckets : tuple of int
        Numbers of the buckets that the versions cover.
    versions : tuple of (str, int)
        Key and version of each record in these buckets.
    """

    buckets: tuple[int, ...]
    versions: tuple[tuple[str, int], ...]
