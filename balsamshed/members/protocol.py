"""SWIM protocol: handles ticks and messages and returns messages to send."""

from dataclasses import replace
from math import inf
from typing import Final

from balsamshed.members.gossip import (
    create_ack,
    create_gossip_pings,
    create_member_list_acks,
    create_member_ping,
    create_ping,
    sample_items,
    select_updates,
)
from balsamshed.members.member import Member, MemberState
from balsamshed.members.membership import (
    Membership,
    OutgoingMessage,
    Pause,
    Probe,
    RelayedPing,
    get_address,
    list_reachable_peers,
    raise_incarnation,
    record_peer_catalog,
)
from balsamshed.members.messages import Ack, Ping, PingRequest
from balsamshed.members.updates import (
    declare_dead,
    merge_updates,
    record_contact,
    remove_dead_member,
    suspect_member,
)

#: Time between two calls of `run_tick`.
TICK_SECONDS: Final = 0.1
#: Length of a protocol period.
PERIOD_SECONDS: Final = 0.5
#: Time without an acknowledgement after which indirect probes are requested.
DIRECT_TIMEOUT_SECONDS: Final = 0.2
#: Members that are requested to ping an unresponsive target.
INDIRECT_PROBE_COUNT: Final = 3
#: Time in which a suspected member can refute before it is declared dead.
SUSPICION_SECONDS: Final = 1.0
#: Tick delay above which the process is assumed to have been paused.
PAUSE_SECONDS: Final = 1.0
#: Interval of pings to dead members and to addresses without a member.
RECONNECT_SECONDS: Final = 5.0
#: Time after which a dead member that is not a seed is removed.
DEAD_RETENTION_SECONDS: Final = 24 * 3600.0
# Maximum listed VMs that a member without a group pings in a period.
_MAX_VM_PINGS_PER_PERIOD: Final = 6
# Maximum listed VMs pinged per reconnect interval. The list has the VMs of all
# groups: pinging 11,000 of them took 400 KB/s, while the budget of control
# traffic is 5 KB/s.
_MAX_VM_PINGS_PER_RECONNECT: Final = 16
# Tick times are sums of floating-point numbers, which may fall just short of a
# limit.
_TIMER_TOLERANCE_SECONDS: Final = 0.001


def run_tick(
    membership: Membership,
    now: float,
) -> tuple[OutgoingMessage | Pause, ...]:
    """Run the tasks that are due; called every ``TICK_SECONDS``.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of OutgoingMessage and Pause
        Messages to send, preceded by a `Pause` if the process was paused.
    """
    delay_seconds = _compute_tick_delay(membership, now)
    membership.ticked_at = now
    if delay_seconds > PAUSE_SECONDS:
        return (Pause(delay_seconds), *_resume_after_pause(membership, now))
    outgoing = list(_probe_indirectly(membership, now))
    must_gossip = _expire_suspicions(membership, now)
    if _is_due(membership.period_started_at, PERIOD_SECONDS, now):
        must_gossip = _end_probe(membership, now, outgoing) or must_gossip
        outgoing.extend(_start_period(membership, now))
    if _is_due(membership.reconnect_attempted_at, RECONNECT_SECONDS, now):
        membership.reconnect_attempted_at = now
        _remove_expired_members(membership, now)
        outgoing.extend(_ping_unreachable(membership))
    if must_gossip:
        outgoing.extend(create_gossip_pings(membership))
    return tuple(outgoing)


def handle_ping(
    membership: Membership,
    ping: Ping,
    now: float,
) -> tuple[OutgoingMessage, ...]:
    """Acknowledge a ping, and send the list of members to a new member.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    ping : Ping
        As received; the first update describes the sender, which receives
        the acknowledgement.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of OutgoingMessage
        Messages to send.
    """
    sender = _find_sender(membership, ping.updates)
    if sender is None:
        return ()
    is_new = _has_joined_or_restarted(membership, sender)
    refuted = _apply_updates(membership, ping, now)
    record_sender_catalog(membership, sender, ping, now)
    outgoing = [create_ack(membership, ping, sender)]
    if is_new:
        outgoing.extend(create_member_list_acks(membership, ping, sender))
    if refuted:
        outgoing.extend(create_gossip_pings(membership))
    return tuple(outgoing)


def handle_ack(
    membership: Membership,
    ack: Ack,
    now: float,
) -> tuple[OutgoingMessage, ...]:
    """End the probe, or relay the acknowledgement to its requester.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    ack : Ack
        As received; the first update describes the pinged member.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of OutgoingMessage
        Messages to send.
    """
    sender = _find_sender(membership, ack.updates)
    if sender is None:
        return ()
    refuted = _apply_updates(membership, ack, now)
    record_sender_catalog(membership, sender, ack, now)
    probe = membership.probe
    # Another process may have been started at the address of the target.
    if probe and (probe.sequence, probe.target) == (ack.sequence, sender.name):
        membership.probe = None
    outgoing = list(_relay_ack(membership, ack, now))
    if refuted:
        outgoing.extend(create_gossip_pings(membership, sender))
    return tuple(outgoing)


def handle_ping_request(
    membership: Membership,
    request: PingRequest,
    now: float,
) -> tuple[OutgoingMessage, ...]:
    """Ping a member on behalf of another one.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    request : PingRequest
        As received; the first update describes the sender.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of OutgoingMessage
        Messages to send; without a ping if the target is unknown.
    """
    sender = _find_sender(membership, request.updates)
    if sender is None:
        return ()
    refuted = _apply_updates(membership, request, now)
    outgoing = list(create_gossip_pings(membership, sender) if refuted else ())
    target = membership.peers.get(request.target)
    if target is None:
        return tuple(outgoing)
    outgoing.append(create_member_ping(membership, target, sender.name))
    membership.relayed_pings[membership.sequence] = RelayedPing(
        sender,
        request.sequence,
        now + PERIOD_SECONDS,
    )
    return tuple(outgoing)


def leave(membership: Membership) -> tuple[OutgoingMessage, ...]:
    """Announce that this member leaves; it remains reachable until it stops.

    Parameters
    ----------
    membership : Membership
        Changed in place.

    Returns
    -------
    tuple of OutgoingMessage
        Messages to send.
    """
    if membership.own.state is MemberState.LEAVING:
        return ()
    membership.own = replace(membership.own, state=MemberState.LEAVING)
    membership.view_version += 1
    return create_gossip_pings(membership)


def record_sender_catalog(
    membership: Membership,
    sender: Member,
    message: Ping | Ack,
    now: float,
) -> None:
    """Record the catalog of a sender that is not known to be dead.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    sender : Member
        Member described by the first update of the message.
    message : Ping or Ack
        As received.
    now : float
        Monotonic time in seconds.
    """
    peer = membership.peers.get(sender.name)
    if peer is not None and peer.state is not MemberState.DEAD:
        record_peer_catalog(membership, sender.name, message.catalog, now)


def _compute_tick_delay(membership: Membership, now: float) -> float:
    if membership.ticked_at is None:
        return 0
    return now - membership.ticked_at - TICK_SECONDS


def _is_due(since: float | None, seconds: float, now: float) -> bool:
    return since is None or now - since >= seconds - _TIMER_TOLERANCE_SECONDS


def _resume_after_pause(
    membership: Membership, now: float
) -> tuple[OutgoingMessage, ...]:
    """Restart probing after a pause without suspecting other members.

    Acknowledgements may have been lost while this process was paused; a slow
    member must not suspect others (Lifeguard, DSN-W 2018).
    """
    raise_incarnation(membership, 0)
    membership.probe = None
    membership.relayed_pings.clear()
    membership.suspected_at = dict.fromkeys(
        membership.suspected_at,
        now + PERIOD_SECONDS,
    )
    return (*_start_period(membership, now), *create_gossip_pings(membership))


def _probe_indirectly(
    membership: Membership,
    now: float,
) -> tuple[OutgoingMessage, ...]:
    probe = membership.probe
    if probe is None or probe.indirect:
        return ()
    if not _is_due(membership.period_started_at, DIRECT_TIMEOUT_SECONDS, now):
        return ()
    membership.probe = replace(probe, indirect=True)
    peers = [
        peer
        for peer in list_reachable_peers(membership)
        if peer.name != probe.target
    ]
    return tuple(
        OutgoingMessage(
            *get_address(helper),
            PingRequest(
                probe.sequence,
                probe.target,
                select_updates(membership),
            ),
        )
        for helper in sample_items(
            peers, INDIRECT_PROBE_COUNT, membership.randbelow
        )
    )


def _end_probe(
    membership: Membership,
    now: float,
    outgoing: list[OutgoingMessage],
) -> bool:
    """Suspect the target of an unacknowledged probe, and notify it."""
    probe = membership.probe
    membership.probe = None
    if probe is None or not suspect_member(membership, probe.target, now):
        return False
    outgoing.append(
        create_member_ping(membership, membership.peers[probe.target])
    )
    return True


def _start_period(
    membership: Membership,
    now: float,
) -> tuple[OutgoingMessage, ...]:
    membership.period_started_at = now
    membership.relayed_pings = {
        sequence: relayed
        for sequence, relayed in membership.relayed_pings.items()
        if relayed.expires_at > now
    }
    peers = list_reachable_peers(membership)
    if not peers:
        return _create_join_pings(membership)
    target = _choose_target(membership, peers)
    outgoing = create_member_ping(membership, target)
    membership.probe = Probe(target.name, membership.sequence)
    membership.checked_at[target.name] = now
    return (outgoing,)


def _choose_target(membership: Membership, peers: list[Member]) -> Member:
    """Choose the member that has been checked least recently.

    This detects a killed member sooner than a random order, since members
    that were heard from recently are probed after it.
    """

    def get_rank(peer: Member) -> tuple[float, int]:
        checked_at = membership.checked_at.get(peer.name, -inf)
        return checked_at, membership.randbelow(1 << 16)

    return min(peers, key=get_rank)


def _create_join_pings(membership: Membership) -> tuple[OutgoingMessage, ...]:
    listed = sample_items(
        sorted(membership.vm_addresses - membership.seeds),
        _MAX_VM_PINGS_PER_PERIOD,
        membership.randbelow,
    )
    addresses = (*sorted(membership.seeds), *listed)
    return tuple(create_ping(membership, address) for address in addresses)


def _ping_unreachable(membership: Membership) -> list[OutgoingMessage]:
    """Create pings to dead members, seeds and some of the listed VMs.

    The pings to dead members reunite both sides of a healed partition.
    Addresses of reachable members are skipped.
    """
    dead = [membership.peers[name] for name in membership.died_at]
    known = {get_address(peer) for peer in list_reachable_peers(membership)}
    known.update(map(get_address, dead))
    listed = sample_items(
        sorted(membership.vm_addresses - membership.seeds - known),
        _MAX_VM_PINGS_PER_RECONNECT,
        membership.randbelow,
    )
    addresses = (*sorted(membership.seeds - known), *listed)
    return [
        *(create_member_ping(membership, peer) for peer in dead),
        *(create_ping(membership, address) for address in addresses),
    ]


def _expire_suspicions(membership: Membership, now: float) -> bool:
    expired = [
        name
        for name, since in membership.suspected_at.items()
        if _is_due(since, SUSPICION_SECONDS, now)
    ]
    for name in expired:
        declare_dead(membership, name, now)
    return bool(expired)


def _remove_expired_members(membership: Membership, now: float) -> None:
    for name, since in tuple(membership.died_at.items()):
        is_seed = get_address(membership.peers[name]) in membership.seeds
        if not is_seed and _is_due(since, DEAD_RETENTION_SECONDS, now):
            remove_dead_member(membership, name)


def _find_sender(
    membership: Membership,
    updates: tuple[Member, ...],
) -> Member | None:
    """Return the first update unless it is missing or describes this member."""
    if not updates or updates[0].name == membership.own.name:
        return None
    return updates[0]


def _has_joined_or_restarted(membership: Membership, sender: Member) -> bool:
    """Return whether the sender has joined or was restarted."""
    known = membership.peers.get(sender.name)
    if known is None or known.state is MemberState.DEAD:
        return True
    return known.incarnation > sender.incarnation


def _apply_updates(
    membership: Membership,
    message: Ping | Ack | PingRequest,
    now: float,
) -> bool:
    refuted = merge_updates(membership, message.updates, now)
    record_contact(membership, message.updates[0].name, now)
    return refuted


def _relay_ack(
    membership: Membership,
    ack: Ack,
    now: float,
) -> tuple[OutgoingMessage, ...]:
    relayed = membership.relayed_pings.pop(ack.sequence, None)
    if relayed is None or relayed.expires_at < now:
        return ()
    relayed_ack = replace(ack, sequence=relayed.sequence)
    return (OutgoingMessage(*get_address(relayed.requester), relayed_ack),)
