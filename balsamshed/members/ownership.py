"""Ownership of slots by rendezvous hashing.

Reference: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from balsamshed.members.member import Member

#: Slots of a group; a power of two, so that a mask selects one.
HASH_SLOT_COUNT: Final = 4096


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


def rank_members(members: Iterable[Member], label: str) -> list[Member]:
    """Order members by rendezvous hashing.

    Parameters
    ----------
    members : iterable of Member
        Members to order.
    label : str
        What is to be assigned, for example a data centre's name.

    Returns
    -------
    list of Member
        Highest rank first.
    """

    def get_score(member: Member) -> int:
        return xxh3_64_intdigest(f'{member.name}#{label}'.encode())

    return sorted(members, key=get_score, reverse=True)


def assign_slots(members: Iterable[Member]) -> Ownership:
    """Assign each slot to an owner and a backup.

    The backup is the highest-ranked member of another data centre than the
    owner's, so that the loss of a data centre leaves one of the two. After
    any single join or death the new owner's backup held the entries before.

    Parameters
    ----------
    members : iterable of Member
        Members that take part, at least one.

    Returns
    -------
    Ownership
        Owner and backup for each slot.
    """
    seeds = [
        (
            member.name,
            member.data_centre,
            xxh3_64_intdigest(member.name.encode()),
        )
        for member in members
    ]
    owners = []
    backups = []
    for slot in range(HASH_SLOT_COUNT):
        label = slot.to_bytes(2)
        ranked = sorted(
            (
                (xxh3_64_intdigest(label, seed), name, data_centre)
                for name, data_centre, seed in seeds
            ),
            reverse=True,
        )
        owners.append(ranked[0][1])
        backups.append(_choose_backup(ranked))
    return Ownership(tuple(owners), tuple(backups))


def _choose_backup(ranked: list[tuple[int, str, str]]) -> str:
    owner_data_centre = ranked[0][2]
    for _score, name, data_centre in ranked[1:]:
        if data_centre != owner_data_centre:
            return name
    return ranked[1][1] if len(ranked) > 1 else ''
