"""Revisions of a store that may come back from an older copy.

The store counts its changes in one number. When it comes back from a copy,
the number goes back and is given out again, and the store's era rises by one.
A revision holds both in one integer, the era in front, so that any revision
of a later era is newer than all revisions of earlier ones.
"""

from typing import Final

#: Bits of the number of changes; the era is in the bits above.
_NUMBER_BITS: Final = 40
#: Limit of the number of changes.
MAX_NUMBER: Final = (1 << _NUMBER_BITS) - 1
#: Limit of the era, so that a revision fits into the 63 bits of a report.
MAX_ERA: Final = (1 << 63 - _NUMBER_BITS) - 1


def combine_revision(era: int, number: int) -> int:
    """Return the revision of an era and a number of changes."""
    return era << _NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Return the era of a revision; -1 without a view."""
    return revision >> _NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number of changes of a revision; -1 without a view."""
    return revision & MAX_NUMBER if revision >= 0 else revision


def format_revision(revision: int) -> str:
    """Return a revision for logs; with its era, if the store names one."""
    era = get_era(revision)
    return f'{era}.{get_number(revision)}' if era > 0 else str(revision)
