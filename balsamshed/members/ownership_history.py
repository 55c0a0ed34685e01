"""Previous owners of hash slots."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.members.member import Member
from balsamshed.members.ownership import (
    Ownership,
    assign_slots,
    rank_for_slot,
)

#: Time for which a previous owner is asked for entries: the duration of the
#: longest request.
HISTORY_SECONDS: Final = 60.0
#: Maximum previous owners taken from the recorded assignments.
MAX_PREVIOUS_OWNERS: Final = 3


@dataclass(frozen=True, slots=True)
class PreviousOwnership:
    """An assignment that has been replaced.

    Parameters
    ----------
    ownership : Ownership
        The assignment.
    ended_at : float
        Monotonic time in seconds at which it was replaced.
    """

    ownership: Ownership
    ended_at: float


@dataclass(slots=True)
class OwnershipHistory:
    """Current assignment and those replaced during the last minute.

    Attributes
    ----------
    current : Ownership
        The assignment in use.
    previous : list of PreviousOwnership
        Replaced assignments, newest first.
    """

    current: Ownership
    previous: list[PreviousOwnership] = field(default_factory=list)


def replace_ownership(
    history: OwnershipHistory,
    members: Iterable[Member],
    now: float,
) -> bool:
    """Assign the hash slots to a new set of members.

    Parameters
    ----------
    history : OwnershipHistory
        Changed in place.
    members : iterable of Member
        Members that can own hash slots, at least one.
    now : float
        Monotonic time in seconds.

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
    """Record the assignment that was in use while this member was absent.

    A member that joins or was paused has not seen that assignment.

    Parameters
    ----------
    history : OwnershipHistory
        Changed in place.
    others : iterable of Member
        Members other than the local one, at least one.
    now : float
        Monotonic time in seconds.
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
    """List the owners that a hash slot had during the last minute.

    Parameters
    ----------
    history : OwnershipHistory
        Assignments as seen by one balancer.
    slot : int
        Hash slot.
    reachable : collection of str
        Names of the reachable members.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of str
        Distinct names, newest owner first, without the current owner; at
        most six.
    """
    owners: list[str] = []
    for entry in _list_recent(history, now, HISTORY_SECONDS):
        owner = entry.ownership.owners[slot]
        is_known = owner in owners or owner == history.current.owners[slot]
        if owner in reachable and not is_known:
            owners.append(owner)
    if history.previous:
        # A member that joined together with others has not seen the
        # assignment before those joins. Its owner is among the next in rank.
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
    """Return whether the owner of a hash slot changed recently.

    Parameters
    ----------
    history : OwnershipHistory
        Assignments as seen by one balancer.
    slot : int
        Hash slot.
    now : float
        Monotonic time in seconds.
    seconds : float
        Length of the period before `now`, in seconds.

    Returns
    -------
    bool
        True if another member owned it within that period.
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
    """Return whether a recent owner or backup of a hash slot is unreachable.

    Such a member may hold entries of the hash slot that cannot be looked up.

    Parameters
    ----------
    history : OwnershipHistory
        Assignments as seen by one balancer.
    slot : int
        Hash slot.
    reachable : collection of str
        Names of the reachable members.
    now : float
        Monotonic time in seconds.
    seconds : float
        Length of the period before `now`, in seconds.

    Returns
    -------
    bool
        True if an owner or backup of that period is unreachable.
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
