"""Rules for merging membership updates into the local view."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Final

from balsamshed.members.member import Member, MemberState
from balsamshed.members.membership import (
    OWNER_STATES,
    REACHABLE_STATES,
    Membership,
    get_address,
    raise_incarnation,
)

# At equal incarnations the state of higher precedence wins.
_PRECEDENCE: Final[Mapping[MemberState, int]] = MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
        MemberState.DEAD: 3,
    }
)
_FAILURE_STATES: Final = frozenset((MemberState.SUSPECT, MemberState.DEAD))


def merge_updates(
    membership: Membership,
    updates: Iterable[Member],
    now: float,
) -> bool:
    """Merge updates about members.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    updates : iterable of Member
        Updates from another member.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the local incarnation was raised to refute an update.
    """
    refuted = False
    for update in updates:
        if update.name == membership.own.name:
            refuted = _refute(membership, update) or refuted
        elif _is_newer(membership, update):
            update_peer(membership, update, now)
    return refuted


def update_peer(membership: Membership, member: Member, now: float) -> None:
    """Replace the known state of a peer and queue it for gossip.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    member : Member
        New state of the peer.
    now : float
        Monotonic time in seconds.
    """
    name = member.name
    known = membership.peers.get(name)
    if known is None or _get_view_fields(known) != _get_view_fields(member):
        membership.view_version += 1
    membership.peers[name] = member
    membership.pending_updates[name] = 0
    membership.suspected_at.pop(name, None)
    membership.died_at.pop(name, None)
    if member.state is MemberState.SUSPECT:
        membership.suspected_at[name] = now
    elif member.state is MemberState.DEAD:
        membership.died_at[name] = now
        membership.checked_at.pop(name, None)
        membership.peer_catalogs.pop(name, None)


def suspect_member(membership: Membership, name: str, now: float) -> bool:
    """Start a suspicion of a member that did not acknowledge a probe.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    name : str
        Name of the member.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the state of the member changed.
    """
    peer = membership.peers.get(name)
    if peer is None or peer.state not in REACHABLE_STATES:
        return False
    if peer.state is MemberState.ALIVE:
        suspect = replace(peer, state=MemberState.SUSPECT)
        update_peer(membership, suspect, now)
        return True
    # LEAVING takes precedence over SUSPECT at the same incarnation, so the
    # suspicion of a leaving member stays local until its next message.
    membership.suspected_at.setdefault(name, now)
    return False


def declare_dead(membership: Membership, name: str, now: float) -> None:
    """Declare a member dead.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    name : str
        Name of the member.
    now : float
        Monotonic time in seconds.
    """
    dead = replace(membership.peers[name], state=MemberState.DEAD)
    update_peer(membership, dead, now)


def remove_dead_member(membership: Membership, name: str) -> None:
    """Remove a dead member from the membership.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    name : str
        Name of the member.
    """
    membership.peers.pop(name)
    membership.died_at.pop(name)
    membership.pending_updates.pop(name, None)


def record_contact(membership: Membership, name: str, now: float) -> None:
    """Record that a message from a member has arrived.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    name : str
        Name of the member.
    now : float
        Monotonic time in seconds.
    """
    peer = membership.peers.get(name)
    if peer is None or peer.state not in REACHABLE_STATES:
        return
    membership.checked_at[name] = now
    if peer.state is MemberState.LEAVING:
        membership.suspected_at.pop(name, None)


def _is_newer(membership: Membership, update: Member) -> bool:
    known = membership.peers.get(update.name)
    if known is None:
        # Members remove a dead member at different times. Accepting DEAD for
        # an unknown member would let them gossip it to each other forever.
        return update.state is not MemberState.DEAD
    return _get_precedence(update) > _get_precedence(known)


def _get_precedence(member: Member) -> tuple[int, int]:
    return member.incarnation, _PRECEDENCE[member.state]


def _get_view_fields(member: Member) -> tuple[object, ...]:
    """Return the properties that owner and reachability lists depend on."""
    return (
        member.state in OWNER_STATES,
        member.state in REACHABLE_STATES,
        member.data_centre,
        member.data_port,
        get_address(member),
    )


def _refute(membership: Membership, update: Member) -> bool:
    """Raise the local incarnation above that of a wrong update.

    A higher incarnation than the local one belongs to a previous process of
    the same name. Its address may differ, even at the same incarnation.
    """
    own = membership.own
    if update.incarnation < own.incarnation:
        return False
    outdated = update.incarnation == own.incarnation and (
        update == own or _precedes_leaving(own, update)
    )
    if outdated:
        return False
    raise_incarnation(membership, update.incarnation + 1)
    return True


def _precedes_leaving(own: Member, update: Member) -> bool:
    """Return whether an update describes this member before its leave began."""
    if update.state is not MemberState.ALIVE:
        return False
    return replace(update, state=own.state) == own
