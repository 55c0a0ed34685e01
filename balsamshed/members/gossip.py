"""Gossip: selection of piggybacked updates and of their recipients."""

from math import ceil, log2
from typing import Final, TypeVar

from balsamshed.members.member import Member, MemberState
from balsamshed.members.membership import (
    ControlAddress,
    Membership,
    OutgoingMessage,
    get_address,
    list_reachable_peers,
)
from balsamshed.members.messages import Ack, Ping
from balsamshed.random_numbers import RandBelow

#: Maximum updates in a message, including the one about the sender.
MAX_UPDATES: Final = 6
#: Members that are pinged at once after a suspicion, a death or a refutation.
GOSSIP_FANOUT: Final = 3
# An update is sent this many times the logarithm of the group size (SWIM,
# section 4.1).
_TRANSMISSION_FACTOR: Final = 3
# Messages with fewer updates are filled with randomly picked members, so that
# two members that missed each other's join still learn of each other.
_MIN_UPDATES: Final = 2

_Item = TypeVar('_Item')


def sample_items(
    candidates: list[_Item],
    count: int,
    randbelow: RandBelow,
) -> list[_Item]:
    """Sample items at random without replacement.

    Parameters
    ----------
    candidates : list
        Items to sample from.
    count : int
        Maximum number of items.
    randbelow : callable
        Returns a random integer from 0 to below its argument.

    Returns
    -------
    list
        The sampled items; fewer than `count` if there are fewer candidates.
    """
    rest = list(candidates)
    return [
        rest.pop(randbelow(len(rest)))
        for _round in range(min(count, len(rest)))
    ]


def select_updates(
    membership: Membership,
    receiver: Member | None = None,
) -> tuple[Member, ...]:
    """Select the updates of a message.

    Parameters
    ----------
    membership : Membership
        Its transmission counts are changed in place.
    receiver : Member or None
        Known state of the receiver, included so that it can refute it.

    Returns
    -------
    tuple of Member
        The local member first, then the receiver, then the pending updates
        that were sent least often.
    """
    chosen = {membership.own.name: membership.own}
    if receiver is not None:
        chosen[receiver.name] = receiver
    peers = list_reachable_peers(membership)
    limit = ceil(_TRANSMISSION_FACTOR * log2(len(peers) + 2))
    for name in _take_pending_updates(
        membership, MAX_UPDATES - len(chosen), limit
    ):
        chosen[name] = membership.peers[name]
    if len(chosen) < _MIN_UPDATES:
        filler = sample_items(peers, 1, membership.randbelow)
        chosen.update({peer.name: peer for peer in filler})
    return tuple(chosen.values())


def create_ping(
    membership: Membership,
    address: ControlAddress,
    receiver: Member | None = None,
    on_behalf_of: str = '',
) -> OutgoingMessage:
    """Create a ping with the next sequence number.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    address : (str, int)
        Control address to ping.
    receiver : Member or None
        Known state of the receiver, if the ping has to let it refute that.
    on_behalf_of : str
        Name of the member that requested the ping; empty for a direct ping.

    Returns
    -------
    OutgoingMessage
        The ping.
    """
    membership.sequence += 1
    ping = Ping(
        membership.sequence,
        membership.catalog,
        select_updates(membership, receiver),
        on_behalf_of,
    )
    return OutgoingMessage(*address, ping)


def create_member_ping(
    membership: Membership,
    peer: Member,
    on_behalf_of: str = '',
) -> OutgoingMessage:
    """Create a ping, which tells a suspected or dead member its known state.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    peer : Member
        Member to ping, in its known state.
    on_behalf_of : str
        Name of the member that requested the ping; empty for a direct ping.

    Returns
    -------
    OutgoingMessage
        The ping.
    """
    has_failed = peer.state in {MemberState.SUSPECT, MemberState.DEAD}
    return create_ping(
        membership,
        get_address(peer),
        peer if has_failed else None,
        on_behalf_of,
    )


def create_gossip_pings(
    membership: Membership,
    first: Member | None = None,
) -> tuple[OutgoingMessage, ...]:
    """Create pings that gossip updates before the next protocol period.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    first : Member or None
        Member that is always among the receivers.

    Returns
    -------
    tuple of OutgoingMessage
        The pings.
    """
    peers = list_reachable_peers(membership)
    chosen = sample_items(peers, GOSSIP_FANOUT, membership.randbelow)
    if first is not None:
        others = [peer for peer in chosen if peer.name != first.name]
        chosen = [first, *others[: GOSSIP_FANOUT - 1]]
    return tuple(create_member_ping(membership, peer) for peer in chosen)


def create_ack(
    membership: Membership,
    ping: Ping,
    sender: Member,
) -> OutgoingMessage:
    """Acknowledge a ping.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    ping : Ping
        The ping, whose updates have already been merged.
    sender : Member
        The sender as described by itself.

    Returns
    -------
    OutgoingMessage
        Contains the known state of the sender if that differs from its own
        description, for example after a restart.
    """
    known = membership.peers.get(sender.name)
    updates = select_updates(
        membership,
        None if known == sender else known,
    )
    ack = Ack(ping.sequence, membership.catalog, updates)
    return OutgoingMessage(*get_address(sender), ack)


def create_member_list_acks(
    membership: Membership,
    ping: Ping,
    sender: Member,
) -> tuple[OutgoingMessage, ...]:
    """Create acknowledgements that list all reachable members.

    Parameters
    ----------
    membership : Membership
        Unchanged.
    ping : Ping
        The ping of the new member.
    sender : Member
        The new member.

    Returns
    -------
    tuple of OutgoingMessage
        Additional acknowledgements of its ping.
    """
    size = MAX_UPDATES - 1
    others = [
        peer
        for peer in list_reachable_peers(membership)
        if peer.name != sender.name
    ]
    return tuple(
        OutgoingMessage(
            *get_address(sender),
            Ack(
                ping.sequence,
                membership.catalog,
                (membership.own, *others[start : start + size]),
            ),
        )
        for start in range(0, len(others), size)
    )


def _take_pending_updates(
    membership: Membership, count: int, limit: int
) -> list[str]:
    """Return the updates sent least often; drop those sent `limit` times."""
    pending = membership.pending_updates
    chosen = sorted(pending, key=pending.__getitem__)[:count]
    for name in chosen:
        pending[name] += 1
        if pending[name] >= limit:
            pending.pop(name)
    return chosen
