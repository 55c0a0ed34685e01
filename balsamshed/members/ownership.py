"""Ownership of hash slots by rendezvous hashing.

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

#: Hash slots of a group; a power of two, so that a bit mask selects one.
HASH_SLOT_COUNT: Final = 4096
_SLOT_KEYS: Final = tuple(slot.to_bytes(2) for slot in range(HASH_SLOT_COUNT))
# Members whose scores are cached: the 64 of the largest group and as many
# replaced ones, 4 MB in total.
_SCORE_CACHE_SIZE: Final = 128


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owner and backup of each hash slot.

    Parameters
    ----------
    owners : tuple of str
        Name of the owner of each hash slot.
    backups : tuple of str
        Name of the backup of each hash slot; empty in a group of one member.
    """

    owners: tuple[str, ...]
    backups: tuple[str, ...]


def get_hash_slot(flow_key: bytes) -> int:
    """Return the hash slot of a flow.

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
        Key of the assignment, for example the name of a data centre.

    Returns
    -------
    list of Member
        Highest rank first.
    """

    def get_score(member: Member) -> int:
        return xxh3_64_intdigest(f'{member.name}#{key}'.encode())

    return sorted(members, key=get_score, reverse=True)


def assign_slots(members: Iterable[Member]) -> Ownership:
    """Assign an owner and a backup to each hash slot.

    The backup is the highest-ranked member of another data centre than the
    owner's, so that one of the two survives the loss of a data centre. After
    a single join or death, the new owner or the new backup is one of the
    previous owner and backup.

    Parameters
    ----------
    members : iterable of Member
        Members that can own hash slots, at least one.

    Returns
    -------
    Ownership
        Owner and backup of each hash slot.
    """
    names: dict[str, list[str]] = {}
    for member in sorted(members, key=_get_name):
        names.setdefault(member.data_centre, []).append(member.name)
    if len(names) == 1:
        return _assign_in_one_data_centre(*names.values())
    # The owner and its backup have the two highest scores among different data
    # centres, so only the highest score of each data centre is needed.
    highest = [
        _find_highest_scores(names[data_centre])
        for data_centre in sorted(names)
    ]
    ranked = [sorted(row, reverse=True) for row in zip(*highest, strict=True)]
    return Ownership(
        tuple(row[0][1] for row in ranked),
        tuple(row[1][1] for row in ranked),
    )


def rank_for_slot(names: Iterable[str], slot: int) -> list[str]:
    """Order members by their rank for a hash slot.

    A member that owned the hash slot before others joined ranks directly after
    the joined members with a higher rank.

    Parameters
    ----------
    names : iterable of str
        Names of members.
    slot : int
        Hash slot.

    Returns
    -------
    list of str
        Highest rank first, in the order of preference of `assign_slots`.
    """

    def get_score(name: str) -> tuple[int, str]:
        return (_compute_scores(name)[slot], name)

    return sorted(names, key=get_score, reverse=True)


def _assign_in_one_data_centre(names: list[str]) -> Ownership:
    """Assign owners and backups from the members of a single data centre."""
    owners = []
    backups = []
    for row in zip(*map(_compute_scores, names), strict=True):
        first = row.index(max(row))
        # Searching twice takes half the time of sorting 64 scores.
        others = row[:first] + row[first + 1 :]
        owners.append(names[first])
        backups.append(names[row.index(max(others))] if others else '')
    return Ownership(tuple(owners), tuple(backups))


def _find_highest_scores(names: list[str]) -> list[tuple[int, str]]:
    """Return the highest score and its member's name for each hash slot."""
    highest = []
    for row in zip(*map(_compute_scores, names), strict=True):
        score = max(row)
        highest.append((score, names[row.index(score)]))
    return highest


@lru_cache(maxsize=_SCORE_CACHE_SIZE)
def _compute_scores(name: str) -> 'array[int]':
    """Return the score of a member for each hash slot.

    The array takes 32 KB per member; a tuple of integers takes five times as
    much.
    """
    seed = xxh3_64_intdigest(name.encode())
    return array('Q', [xxh3_64_intdigest(key, seed) for key in _SLOT_KEYS])


def _get_name(member: Member) -> str:
    return member.name
