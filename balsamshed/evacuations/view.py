"""View of the evacuations that the store lists."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

#: Stands for the data centre of an entry whose name cannot be read.
UNKNOWN_NAME: Final = ''


@dataclass(frozen=True, slots=True)
class EvacuationView:
    """The evacuated data centres at one revision of the store.

    Parameters
    ----------
    revision : int
        Revision of the list; a view with a higher one is newer.
    listed : mapping of str to int
        Data centres with an entry, each with the number of changes of the
        store at which the entry was written; -1 if it is not known.
    unreadable : frozenset of str
        Data centres with an entry that cannot be read; `UNKNOWN_NAME` for an
        entry without a readable name.
    kept : frozenset of str
        Data centres without an entry whose evacuation the sender keeps, since
        the store came back from a copy that is older than the request.
    """

    revision: int
    listed: Mapping[str, int] = field(default_factory=dict)
    unreadable: frozenset[str] = frozenset()
    kept: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Begin or end of the evacuation of a data centre.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    has_begun : bool
        Whether the evacuation begins; otherwise the data centre returns.
    """

    data_centre: str
    has_begun: bool


def list_returned(changes: Iterable[EvacuationChange]) -> tuple[str, ...]:
    """Return the data centres whose evacuation has ended.

    Their endpoints may have become cold in the meantime.
    """
    return tuple(
        change.data_centre for change in changes if not change.has_begun
    )
