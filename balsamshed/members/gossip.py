"""Which news goes along with a message, and to whom."""

from math import ceil, log2
from typing import Final, TypeVar

from balsamshed.members.member import Member, MemberState
from balsamshed.members.membership import (
    ControlAddress,
    Membership,
    OutgoingMessage,
    PickNumber,
    get_address,
    list_reachable_peers,
)
from balsamshed.members.messages import Ack, Ping

#: Most updates of one message, the sender included.
MAX_UPDATES: Final = 6
#: Members that are told at once about a suspicion, a death or a refutation.
FAN_OUT: Final = 3
# News is sent this often, times the logarithm of the group's size (SWIM,
# section 4.1).
_TRANSMISSION_FACTOR: Final = 3
# With less news, members picked at random fill the message up to this number,
# so that two members that missed the news of each other's join still meet.
_MIN_UPDATES: Final = 2

_Item = TypeVar('_Item')


def sample_items(
    candidates: list[_Item],
    count: int,
    pick_number: PickNumber,
) -> list[_Item]:
    """Pick different items at random.

    Parameters
    ----------
    candidates : list
        Items to pick from.
    count : int
        Largest number of items.
    pick_number : callable
        Source of random numbers.

    Returns
    -------
    list
        Fewer than `count` if there are not as many.
    """
    rest = list(candidates)
    return [
        rest.pop(pick_number(len(rest)))
        for _round in range(min(count, len(rest)))
    ]


def select_updates(
    membership: Membership,
    receiver: Member | None = None,
) -> tuple[Member, ...]:
    """Choose the updates of one message.

    Parameters
    ----------
    membership : Membership
        Its count of sent news is changed in place.
    receiver : Member or None
        What is believed about the receiver, so that it can refute it.

    Returns
    -------
    tuple of Member
        The own member first, then the receiver, then the least sent updates.
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
        filler = sample_items(peers, 1, membership.pick_number)
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
        What is believed about the receiver, if it should refute it.
    on_behalf_of : str
        Member that asked for the ping; empty for a direct one.

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
    """Create a ping that tells a suspected or dead member so.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    peer : Member
        Member to ping, as it is believed to be.
    on_behalf_of : str
        Member that asked for the ping; empty for a direct one.

    Returns
    -------
    OutgoingMessage
        The ping.
    """
    accused = peer.state in {MemberState.SUSPECT, MemberState.DEAD}
    return create_ping(
        membership,
        get_address(peer),
        peer if accused else None,
        on_behalf_of,
    )


def create_gossip_pings(
    membership: Membership,
    first: Member | None = None,
) -> tuple[OutgoingMessage, ...]:
    """Ping some members at once instead of waiting for the next period.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    first : Member or None
        Member that is pinged in any case.

    Returns
    -------
    tuple of OutgoingMessage
        The pings.
    """
    peers = list_reachable_peers(membership)
    chosen = sample_items(peers, FAN_OUT, membership.pick_number)
    if first is not None:
        others = [peer for peer in chosen if peer.name != first.name]
        chosen = [first, *others[: FAN_OUT - 1]]
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
        The ping, whose updates have been taken over.
    sender : Member
        The sender as it describes itself.

    Returns
    -------
    OutgoingMessage
        Contains the belief about the sender if that differs from its own
        description, for example because it was restarted.
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
    """Tell a new member about all reachable ones.

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
        Further acknowledgements of its ping.
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
    """Return the least sent news; drop it when it was sent often enough."""
    news = membership.pending_updates
    chosen = sorted(news, key=news.__getitem__)[:count]
    for name in chosen:
        news[name] += 1
        if news[name] >= limit:
            news.pop(name)
    return chosen
