"""Former owners of hash slots."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.members.member import Member
from balsamshed.members.ownership import (
    Ownership,
    assign_slots,
    rank_for_slot,
)

#: How long a former owner is asked for entries: the longest request.
HISTORY_SECONDS: Final = 60.0
#: At most this many former owners are asked.
MAX_PREVIOUS_OWNERS: Final = 3


@dataclass(frozen=True, slots=True)
class PreviousOwnership:
    """An assignment that is no longer in use.

    Parameters
    ----------
    ownership : Ownership
        The assignment.
    ended_at : float
        Monotonic seconds at which it was replaced.
    """

    ownership: Ownership
    ended_at: float


@dataclass(slots=True)
class OwnershipHistory:
    """Current assignment and those of the last minute.

    Attributes
    ----------
    current : Ownership
        The assignment in use.
    previous : list of PreviousOwnership
        Replaced assignments, the newest first.
    """

    current: Ownership
    previous: list[PreviousOwnership] = field(default_factory=list)


def replace_ownership(
    history: OwnershipHistory,
    members: Iterable[Member],
    now: float,
) -> bool:
    """Assign the hash slots to another set of members.

    Parameters
    ----------
    history : OwnershipHistory
        Changed in place.
    members : iterable of Member
        Members that take part, at least one.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether the assignment changed.
    """
    assigned = assign_slots(members)
    if assigned == history.current:
        return False
    history.previous = [
        PreviousOwnership(history.current, now),
        *_list_recent(history, now, HISTORY_SECONDS),
    ]
    history.current = assigned
    return True


def record_absence(
    history: OwnershipHistory,
    others: Iterable[Member],
    now: float,
) -> None:
    """Note who owned the hash slots while this member was not there.

    A member that joins, or was paused, has not seen that assignment.

    Parameters
    ----------
    history : OwnershipHistory
        Changed in place.
    others : iterable of Member
        The members without the own one, at least one.
    now : float
        Monotonic seconds.
    """
    assigned = assign_slots(others)
    if any(entry.ownership == assigned for entry in history.previous):
        return
    history.previous.insert(0, PreviousOwnership(assigned, now))


def list_previous_owners(
    history: OwnershipHistory,
    slot: int,
    reachable: Collection[str],
    now: float,
) -> list[str]:
    """List who owned a hash slot during the last minute.

    Parameters
    ----------
    history : OwnershipHistory
        Assignments of one node.
    slot : int
        Hash slot.
    reachable : collection of str
        Names of the members that may be asked.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of str
        Distinct names, the newest first, without the current owner; at most
        six.
    """
    owners: list[str] = []
    for entry in _list_recent(history, now, HISTORY_SECONDS):
        owner = entry.ownership.owners[slot]
        is_known = owner in owners or owner == history.current.owners[slot]
        if owner in reachable and not is_known:
            owners.append(owner)
    if history.previous:
        # A member that joined together with others never saw the assignment
        # before them: the owner of that time is the next in rank.
        ranked = rank_for_slot(reachable, slot)[: MAX_PREVIOUS_OWNERS + 1]
        owners = [*owners[:MAX_PREVIOUS_OWNERS], *ranked]
    return [
        owner
        for owner in dict.fromkeys(owners)
        if owner != history.current.owners[slot]
    ]


def has_changed_owner(
    history: OwnershipHistory,
    slot: int,
    now: float,
    seconds: float,
) -> bool:
    """Tell whether a hash slot changed its owner recently.

    Parameters
    ----------
    history : OwnershipHistory
        Assignments of one node.
    slot : int
        Hash slot.
    now : float
        Monotonic seconds.
    seconds : float
        How far to look back.

    Returns
    -------
    bool
        True if another member owned it within that time.
    """
    return any(
        entry.ownership.owners[slot] != history.current.owners[slot]
        for entry in _list_recent(history, now, seconds)
    )


def is_holder_unreachable(
    history: OwnershipHistory,
    slot: int,
    reachable: Collection[str],
    now: float,
    seconds: float,
) -> bool:
    """Tell whether a member that may hold entries is out of reach.

    Parameters
    ----------
    history : OwnershipHistory
        Assignments of one node.
    slot : int
        Hash slot.
    reachable : collection of str
        Names of the members that may be asked.
    now : float
        Monotonic seconds.
    seconds : float
        How far to look back.

    Returns
    -------
    bool
        True if an owner or backup of that time cannot be asked.
    """
    return any(
        holder not in reachable
        for entry in _list_recent(history, now, seconds)
        for holder in (
            entry.ownership.owners[slot],
            entry.ownership.backups[slot],
        )
        if holder
    )


def _list_recent(
    history: OwnershipHistory,
    now: float,
    seconds: float,
) -> list[PreviousOwnership]:
    return [
        entry for entry in history.previous if now - entry.ended_at < seconds
    ]
