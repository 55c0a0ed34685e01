"""Membership: what one member believes about its group.

Reference: A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002. The rules are
in `updates`, `gossip` and `protocol`.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from balsamshed.members.member import Member, MemberState
from balsamshed.members.messages import Ack, CatalogDigest, Ping, PingRequest

#: Host and control port of a member.
ControlAddress = tuple[str, int]
#: Returns a random integer from 0 to below its argument.
PickNumber = Callable[[int], int]

OWNER_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
REACHABLE_STATES = OWNER_STATES | {MemberState.LEAVING}


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to be sent.

    Parameters
    ----------
    host : str
        IP address to send it to.
    control_port : int
        UDP port to send it to.
    message : Ping, Ack or PingRequest
        The message.
    """

    host: str
    control_port: int
    message: Ping | Ack | PingRequest


@dataclass(frozen=True, slots=True)
class Pause:
    """The process did not run for some time, so its view is out of date.

    Parameters
    ----------
    late_seconds : float
        How late the tick came.
    """

    late_seconds: float


@dataclass(frozen=True, slots=True)
class PeerCatalog:
    """What a member last said about its catalog.

    Parameters
    ----------
    digest : CatalogDigest
        As received.
    lagging_since : float or None
        Monotonic time since when it differs from the own one; None if it is
        equal.
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
        Number of the ping.
    indirect : bool
        Whether others have been asked to ping the target.
    """

    target: str
    sequence: int
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping that was sent on behalf of another member.

    Parameters
    ----------
    requester : Member
        Member that gets the acknowledgement.
    sequence : int
        Number of the ping request.
    expires_at : float
        Monotonic time after which the requester no longer waits.
    """

    requester: Member
    sequence: int
    expires_at: float


@dataclass(slots=True)
class Membership:
    """What one member believes about its group.

    Attributes
    ----------
    own : Member
        The member itself.
    seeds : frozenset of (str, int)
        Control addresses from the settings, to join through.
    pick_number : callable
        Source of random numbers.
    catalog : CatalogDigest
        Summary of the own catalog, sent with each ping and ack.
    vm_addresses : frozenset of (str, int)
        Control addresses from the platform's list of VMs.
    peers : dict of str to Member
        Newest belief about each other member, dead ones included.
    suspected_at : dict of str to float
        Start of each suspicion.
    died_at : dict of str to float
        When each dead member was found dead.
    checked_at : dict of str to float
        Last message from each reachable member, or the last probe of it.
    peer_catalogs : dict of str to PeerCatalog
        Catalog of each reachable member that has said something about it.
    pending_updates : dict of str to int
        Members with news, and how often these have been sent.
    relayed_pings : dict of int to RelayedPing
        Pings on behalf of others, by their own sequence number.
    probe : Probe or None
        The probe that has not been acknowledged yet.
    sequence : int
        Number of the last ping.
    ticked_at, period_started_at, reconnect_attempted_at : float or None
        Last tick, start of the protocol period and last ping of all
        addresses that do not belong to a reachable member.
    view_version : int
        Rises whenever `list_owners` or `list_reachable` changes.
    """

    own: Member
    seeds: frozenset[ControlAddress]
    pick_number: PickNumber
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
    pick_number: PickNumber,
) -> Membership:
    """Start with a group of one.

    Parameters
    ----------
    own : Member
        The member itself.
    seeds : iterable of (str, int)
        Hosts and control ports of some members, whose names are not known;
        the own one may be among them.
    pick_number : callable
        Returns a random integer from 0 to below its argument.

    Returns
    -------
    Membership
        It joins the group with the first ticks.
    """
    return Membership(own, frozenset(seeds) - {get_address(own)}, pick_number)


def set_vm_addresses(membership: Membership, members: Iterable[Member]) -> None:
    """Take the platform's list of VMs as addresses to ping.

    The list lags behind the truth: a listed VM becomes a member when it
    answers, and a member that is missing from the list stays one.

    Parameters
    ----------
    membership : Membership
        Changed in place; the list replaces the former one.
    members : iterable of Member
        Listed VMs, of which only the control addresses are used.
    """
    addresses = frozenset(map(get_address, members))
    membership.vm_addresses = addresses - {get_address(membership.own)}


def set_catalog(
    membership: Membership,
    catalog: CatalogDigest,
    now: float,
) -> None:
    """Take over the summary of the own catalog.

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
    """Compare a member's catalog with the own one.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    name : str
        Name of the member.
    digest : CatalogDigest
        What it said last.
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
    """List the members that take part in ownership, sorted by name."""
    return _list_members(membership, OWNER_STATES)


def list_reachable(membership: Membership) -> tuple[Member, ...]:
    """List the owners and the leaving members, sorted by name."""
    return _list_members(membership, REACHABLE_STATES)


def list_reachable_peers(membership: Membership) -> list[Member]:
    """List the reachable members without the own one, in any order."""
    return [
        peer
        for peer in membership.peers.values()
        if peer.state in REACHABLE_STATES
    ]


def get_peer_catalogs(membership: Membership) -> Mapping[str, PeerCatalog]:
    """Return the last known catalog of each reachable member by its name."""
    return dict(membership.peer_catalogs)


def get_address(member: Member) -> ControlAddress:
    """Return the control address of a member."""
    return member.host, member.control_port


def raise_incarnation(membership: Membership, min_incarnation: int) -> None:
    """Give the own member a higher incarnation than it had.

    Parameters
    ----------
    membership : Membership
        Changed in place.
    min_incarnation : int
        The new incarnation is at least this.
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
