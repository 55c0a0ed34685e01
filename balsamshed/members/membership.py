"""Membership: the view that one member has of its group.

Reference: A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002. The rules are
in `updates`, `gossip` and `protocol`.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from balsamshed.members.member import Member, MemberState
from balsamshed.members.messages import Ack, CatalogDigest, Ping, PingRequest
from balsamshed.random_numbers import RandBelow

#: Host and control port of a member.
ControlAddress = tuple[str, int]
OWNER_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
REACHABLE_STATES = OWNER_STATES | {MemberState.LEAVING}


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send to a member.

    Parameters
    ----------
    host : str
        Destination IP address.
    control_port : int
        Destination UDP port.
    message : Ping, Ack or PingRequest
        The message to send.
    """

    host: str
    control_port: int
    message: Ping | Ack | PingRequest


@dataclass(frozen=True, slots=True)
class Pause:
    """Reports that the process was paused, so that its view is out of date.

    Parameters
    ----------
    late_seconds : float
        Delay of the tick.
    """

    late_seconds: float


@dataclass(frozen=True, slots=True)
class PeerCatalog:
    """Last reported catalog of a peer.

    Parameters
    ----------
    digest : CatalogDigest
        Summary as received.
    lagging_since : float or None
        Monotonic time since which it differs from the local catalog; None if
        both are equal.
    """

    digest: CatalogDigest
    lagging_since: float | None


@dataclass(frozen=True, slots=True)
class Probe:
    """The probe of the current protocol period.

    Parameters
    ----------
    target : str
        Name of the member.
    sequence : int
        Sequence number of the ping.
    indirect : bool
        Whether ping requests have been sent to other members.
    """

    target: str
    sequence: int
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent on behalf of another member.

    Parameters
    ----------
    requester : Member
        Member that receives the acknowledgement.
    sequence : int
        Sequence number of the ping request.
    expires_at : float
        Monotonic time at which the requester stops waiting.
    """

    requester: Member
    sequence: int
    expires_at: float


@dataclass(slots=True)
class Membership:
    """View that one member has of its group.

    Attributes
    ----------
    own : Member
        The local member.
    seeds : frozenset of (str, int)
        Control addresses from the settings, used to join the group.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    catalog : CatalogDigest
        Summary of the local catalog, sent with each ping and ack.
    vm_addresses : frozenset of (str, int)
        Control addresses from the platform's list of VMs.
    peers : dict of str to Member
        Latest known state of each other member, including dead ones.
    suspected_at : dict of str to float
        Start of each suspicion, by member name.
    died_at : dict of str to float
        When each dead member was declared dead.
    checked_at : dict of str to float
        Time of the last message from each reachable member or of the last
        probe of it, whichever is later.
    peer_catalogs : dict of str to PeerCatalog
        Last reported catalog of each reachable member.
    pending_updates : dict of str to int
        Members whose update is still gossiped, and how often it was sent.
    relayed_pings : dict of int to RelayedPing
        Pings on behalf of others, by the sequence number of the ping.
    probe : Probe or None
        The outstanding probe.
    sequence : int
        Sequence number of the last ping.
    ticked_at, period_started_at, reconnect_attempted_at : float or None
        Last tick, start of the protocol period and last round of pings to
        addresses without a reachable member.
    view_version : int
        Incremented when the result of `list_owners` or `list_reachable`
        changes.
    """

    own: Member
    seeds: frozenset[ControlAddress]
    randbelow: RandBelow
    catalog: CatalogDigest = CatalogDigest(0, 0)
    vm_addresses: frozenset[ControlAddress] = frozenset()
    peers: dict[str, Member] = field(default_factory=dict)
    suspected_at: dict[str, float] = field(default_factory=dict)
    died_at: dict[str, float] = field(default_factory=dict)
    checked_at: dict[str, float] = field(default_factory=dict)
    peer_catalogs: dict[str, PeerCatalog] = field(default_factory=dict)
    pending_updates: dict[str, int] = field(default_factory=dict)
    relayed_pings: dict[int, RelayedPing] = field(default_factory=dict)
    probe: Probe | None = None
    sequence: int = 0
    ticked_at: float | None = None
    period_started_at: float | None = None
    reconnect_attempted_at: float | None = None
    view_version: int = 0


def create_membership(
    own: Member,
    seeds: Iterable[ControlAddress],
    randbelow: RandBelow,
) -> Membership:
    """Create a membership whose group has only the local member.

    Parameters
    ----------
    own : Member
        The local member.
    seeds : iterable of (str, int)
        Control addresses of some members, whose names are not known; the
        address of the local member may be among them.
    randbelow : callable
        Returns a random integer from 0 to below its argument.

    Returns
    -------
    Membership
        Joins the group with the first ticks.
    """
    return Membership(own, frozenset(seeds) - {get_address(own)}, randbelow)


def set_vm_addresses(membership: Membership, members: Iterable[Member]) -> None:
    """Set the addresses of the platform's list of VMs as ping candidates.

    The list may be stale: a listed VM becomes a member only when it answers,
    and a member that is missing from the list remains a member.

    Parameters
    ----------
    membership : Membership
        Changed in place; the list replaces the previous one.
    members : iterable of Member
        Listed VMs; only their control addresses are used.
    """
    addresses = frozenset(map(get_address, members))
    membership.vm_addresses = addresses - {get_address(membership.own)}


def set_catalog(
    membership: Membership,
    catalog: CatalogDigest,
    now: float,
) -> None:
    """Set the summary of the local catalog.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    catalog : CatalogDigest
        Summary after the last change.
    now : float
        Monotonic time in seconds.
    """
    membership.catalog = catalog
    for name, seen in tuple(membership.peer_catalogs.items()):
        record_peer_catalog(membership, name, seen.digest, now)


def record_peer_catalog(
    membership: Membership,
    name: str,
    digest: CatalogDigest,
    now: float,
) -> None:
    """Record a peer's catalog and since when it differs from the local one.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    name : str
        Name of the member.
    digest : CatalogDigest
        Summary that the member last reported.
    now : float
        Monotonic time in seconds.
    """
    since = None
    if digest != membership.catalog:
        seen = membership.peer_catalogs.get(name)
        since = seen.lagging_since if seen else None
        since = now if since is None else since
    membership.peer_catalogs[name] = PeerCatalog(digest, since)


def list_owners(membership: Membership) -> tuple[Member, ...]:
    """List the members that can own hash slots, sorted by name."""
    return _list_members(membership, OWNER_STATES)


def list_reachable(membership: Membership) -> tuple[Member, ...]:
    """List the owners and the leaving members, sorted by name."""
    return _list_members(membership, REACHABLE_STATES)


def list_reachable_peers(membership: Membership) -> list[Member]:
    """List the reachable members except the local one, in any order."""
    return [
        peer
        for peer in membership.peers.values()
        if peer.state in REACHABLE_STATES
    ]


def get_peer_catalogs(membership: Membership) -> Mapping[str, PeerCatalog]:
    """Return the last reported catalog of each reachable member by name."""
    return dict(membership.peer_catalogs)


def get_address(member: Member) -> ControlAddress:
    """Return the control address of a member."""
    return member.host, member.control_port


def raise_incarnation(membership: Membership, min_incarnation: int) -> None:
    """Raise the incarnation of the local member.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    min_incarnation : int
        Lower bound of the new incarnation.
    """
    own = membership.own
    incarnation = max(own.incarnation + 1, min_incarnation)
    membership.own = replace(own, incarnation=incarnation)


def _list_members(
    membership: Membership,
    states: frozenset[MemberState],
) -> tuple[Member, ...]:
    members = (membership.own, *membership.peers.values())
    chosen = (member for member in members if member.state in states)
    return tuple(sorted(chosen, key=_get_name))


def _get_name(member: Member) -> str:
    return member.name
