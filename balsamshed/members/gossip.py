"""Which news goes along with a message, and to whom."""

from math import ceil, log2
from typing import Final, TypeVar

from balsamshed.members.member import Member, MemberState
from balsamshed.members.membership import (
    ControlAddress,
    DrawNumber,
    Membership,
    Outgoing,
    get_address,
    list_reachable_peers,
)
from balsamshed.members.messages import Ack, Ping

#: Most updates of one message, the sender included.
UPDATE_LIMIT: Final = 6
#: Members that are told at once about a suspicion, a death or a refutation.
FAN_OUT: Final = 3
# News is sent this often, times the logarithm of the group's size (SWIM,
# section 4.1).
_TRANSMISSION_FACTOR: Final = 3
# With less news, members picked at random fill the message up to this number,
# so that two members that missed the news of each other's join still meet.
_FEWEST_UPDATES: Final = 2

_Item = TypeVar('_Item')


def pick_some(
    candidates: list[_Item],
    count: int,
    draw: DrawNumber,
) -> list[_Item]:
    """Pick different items at random.

    Parameters
    ----------
    candidates : list
        Items to pick from.
    count : int
        Largest number of items.
    draw : callable
        Source of random numbers.

    Returns
    -------
    list
        Fewer than `count` if there are not as many.
    """
    rest = list(candidates)
    return [
        rest.pop(draw(len(rest))) for _round in range(min(count, len(rest)))
    ]


def select_updates(
    membership: Membership,
    belief: Member | None = None,
) -> tuple[Member, ...]:
    """Choose the updates of one message.

    Parameters
    ----------
    membership : Membership
        Its count of sent news is changed in place.
    belief : Member or None
        What is believed about the receiver, so that it can refute it.

    Returns
    -------
    tuple of Member
        The own member first, then the belief, then the least sent news.
    """
    chosen = {membership.own.name: membership.own}
    if belief is not None:
        chosen[belief.name] = belief
    peers = list_reachable_peers(membership)
    limit = ceil(_TRANSMISSION_FACTOR * log2(len(peers) + 2))
    for name in _take_queued(membership, UPDATE_LIMIT - len(chosen), limit):
        chosen[name] = membership.peers[name]
    if len(chosen) < _FEWEST_UPDATES:
        filler = pick_some(peers, 1, membership.draw)
        chosen.update({peer.name: peer for peer in filler})
    return tuple(chosen.values())


def create_ping(
    membership: Membership,
    address: ControlAddress,
    belief: Member | None = None,
    on_behalf_of: str = '',
) -> Outgoing:
    """Create a ping with the next sequence number.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    address : (str, int)
        Control address to ping.
    belief : Member or None
        What is believed about the receiver, if it should refute it.
    on_behalf_of : str
        Member that asked for the ping; empty for a direct one.

    Returns
    -------
    Outgoing
        The ping.
    """
    membership.sequence += 1
    ping = Ping(
        membership.sequence,
        membership.catalog,
        select_updates(membership, belief),
        on_behalf_of,
    )
    return Outgoing(*address, ping)


def ping_member(
    membership: Membership,
    peer: Member,
    on_behalf_of: str = '',
) -> Outgoing:
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
    Outgoing
        The ping.
    """
    accused = peer.state in {MemberState.SUSPECT, MemberState.DEAD}
    return create_ping(
        membership,
        get_address(peer),
        peer if accused else None,
        on_behalf_of,
    )


def spread_news(
    membership: Membership,
    first: Member | None = None,
) -> tuple[Outgoing, ...]:
    """Ping some members at once instead of waiting for the next period.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    first : Member or None
        Member that is pinged in any case.

    Returns
    -------
    tuple of Outgoing
        The pings.
    """
    peers = list_reachable_peers(membership)
    chosen = pick_some(peers, FAN_OUT, membership.draw)
    if first is not None:
        others = [peer for peer in chosen if peer.name != first.name]
        chosen = [first, *others[: FAN_OUT - 1]]
    return tuple(ping_member(membership, peer) for peer in chosen)


def create_ack(
    membership: Membership,
    ping: Ping,
    sender: Member,
) -> Outgoing:
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
    Outgoing
        Contains the belief about the sender if that differs from its own
        description, for example because it was restarted.
    """
    belief = membership.peers.get(sender.name)
    updates = select_updates(
        membership,
        None if belief == sender else belief,
    )
    ack = Ack(ping.sequence, membership.catalog, updates)
    return Outgoing(*get_address(sender), ack)


def introduce_group(
    membership: Membership,
    ping: Ping,
    sender: Member,
) -> tuple[Outgoing, ...]:
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
    tuple of Outgoing
        Further acknowledgements of its ping.
    """
    size = UPDATE_LIMIT - 1
    others = [
        peer
        for peer in list_reachable_peers(membership)
        if peer.name != sender.name
    ]
    return tuple(
        Outgoing(
            *get_address(sender),
            Ack(
                ping.sequence,
                membership.catalog,
                (membership.own, *others[start : start + size]),
            ),
        )
        for start in range(0, len(others), size)
    )


def _take_queued(membership: Membership, count: int, limit: int) -> list[str]:
    """Return the least sent news; drop it when it was sent often enough."""
    news = membership.news
    chosen = sorted(news, key=news.__getitem__)[:count]
    for name in chosen:
        news[name] += 1
        if news[name] >= limit:
            news.pop(name)
    return chosen
