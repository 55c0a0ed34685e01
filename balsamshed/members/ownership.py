"""Ownership of slots by rendezvous hashing.

Reference: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from array import array
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

from xxhash import xxh3_64_intdigest

from balsamshed.members.member import Member

#: Slots of a group; a power of two, so that a mask selects one.
HASH_SLOT_COUNT: Final = 4096
_SLOT_KEYS: Final = tuple(slot.to_bytes(2) for slot in range(HASH_SLOT_COUNT))
# The 64 members of the largest group and as many replaced ones: 4 MB.
_SCORE_CACHE_SIZE: Final = 128


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owner and backup of each slot.

    Parameters
    ----------
    owners : tuple of str
        Name of the owner for each slot.
    backups : tuple of str
        Name of the backup for each slot; empty if there is one member.
    """

    owners: tuple[str, ...]
    backups: tuple[str, ...]


def get_hash_slot(flow_key: bytes) -> int:
    """Return the slot of a flow.

    Parameters
    ----------
    flow_key : bytes
        Source address, destination address, source port and destination
        port of the caller's packets: 12 bytes.

    Returns
    -------
    int
        From 0 to ``HASH_SLOT_COUNT - 1``.
    """
    return xxh3_64_intdigest(flow_key) & (HASH_SLOT_COUNT - 1)


def rank_members(members: Iterable[Member], key: str) -> list[Member]:
    """Order members by rendezvous hashing.

    Parameters
    ----------
    members : iterable of Member
        Members to order.
    key : str
        What is to be assigned, for example a data centre's name.

    Returns
    -------
    list of Member
        Highest rank first.
    """

    def get_score(member: Member) -> int:
        return xxh3_64_intdigest(f'{member.name}#{key}'.encode())

    return sorted(members, key=get_score, reverse=True)


def assign_slots(members: Iterable[Member]) -> Ownership:
    """Assign each slot to an owner and a backup.

    The backup is the highest-ranked member of another data centre than the
    owner's, so that the loss of a data centre leaves one of the two. After
    any single join or death the new owner or its backup was the owner or the
    backup before.

    Parameters
    ----------
    members : iterable of Member
        Members that take part, at least one.

    Returns
    -------
    Ownership
        Owner and backup for each slot.
    """
    names: dict[str, list[str]] = {}
    for member in sorted(members, key=_get_name):
        names.setdefault(member.data_centre, []).append(member.name)
    if len(names) == 1:
        return _assign_in_one_data_centre(*names.values())
    # The best two members of different data centres are the owner and its
    # backup, so the best of each data centre are enough.
    best = [
        _find_highest_scores(names[data_centre])
        for data_centre in sorted(names)
    ]
    ranked = [sorted(row, reverse=True) for row in zip(*best, strict=True)]
    return Ownership(
        tuple(row[0][1] for row in ranked),
        tuple(row[1][1] for row in ranked),
    )


def rank_for_slot(names: Iterable[str], slot: int) -> list[str]:
    """Order members by their rank for a hash slot.

    A member that owned the hash slot before others joined ranks next after
    those that rank above it now.

    Parameters
    ----------
    names : iterable of str
        Names of members.
    slot : int
        Hash slot.

    Returns
    -------
    list of str
        Highest rank first; the order in which `assign_slots` prefers them.
    """

    def get_score(name: str) -> tuple[int, str]:
        return (_compute_scores(name)[slot], name)

    return sorted(names, key=get_score, reverse=True)


def _assign_in_one_data_centre(names: list[str]) -> Ownership:
    """Choose the backup among the members of the same data centre."""
    owners = []
    backups = []
    for row in zip(*map(_compute_scores, names), strict=True):
        first = row.index(max(row))
        # Two searches take half the time of sorting 64 scores.
        others = row[:first] + row[first + 1 :]
        owners.append(names[first])
        backups.append(names[row.index(max(others))] if others else '')
    return Ownership(tuple(owners), tuple(backups))


def _find_highest_scores(names: list[str]) -> list[tuple[int, str]]:
    """Return the highest score and its member's name for each hash slot."""
    best = []
    for row in zip(*map(_compute_scores, names), strict=True):
        score = max(row)
        best.append((score, names[row.index(score)]))
    return best


@lru_cache(maxsize=_SCORE_CACHE_SIZE)
def _compute_scores(name: str) -> 'array[int]':
    """Return a member's score for each hash slot.

    An array takes 32 KB for each member, a tuple of integers five times that.
    """
    seed = xxh3_64_intdigest(name.encode())
    return array('Q', [xxh3_64_intdigest(key, seed) for key in _SLOT_KEYS])


def _get_name(member: Member) -> str:
    return member.name
