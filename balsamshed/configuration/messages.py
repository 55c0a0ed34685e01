"""Messages that spread records between members."""

from dataclasses import dataclass

from balsamshed.configuration.records import Record


@dataclass(frozen=True, slots=True)
class RecordPush:
    """Records that the sender believes to be news for the receiver.

    Parameters
    ----------
    records : tuple of Record
        Records in any order.
    """

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class BucketDigests:
    """Digest of each bucket of keys, sent when two catalogs differ.

    Parameters
    ----------
    digests : tuple of int
        One digest for each bucket.
    """

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketVersions:
    """Versions of the keys of some buckets; asks for what is newer.

    Parameters
    ----------
    buckets : tuple of int
        Numbers of the buckets that the list covers.
    versions : tuple of (str, int)
        Key and version of each record in these buckets.
    """

    buckets: tuple[int, ...]
    versions: tuple[tuple[str, int], ...]
