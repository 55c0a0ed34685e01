"""Limit of the openings of an endpoint that is warming up.

All balancers together may send an endpoint a bounded number of opening packets
in any second. Every balancer divides this number by the fleet that it knows,
by rendezvous hashing, and keeps its own part in a sliding window. A part never
grows when the known fleet does, so the parts of all balancers that use theirs
add up to the bound as long as each of them knows the others. For this, a
balancer uses no part before it has been part of the fleet for some seconds, and
forgets no other balancer that may still use one.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final
from zlib import crc32

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.peers.table import PeerTable
from balsamshed.steering.options import ColdStartLimit

#: Window of a balancer's own openings. It exceeds the second of the limit by
#: the difference that the times under way of two packets may have.
WINDOW_SECONDS: Final = 1.1
#: Time that a balancer knows its fleet without a change before it uses its
#: part; its own reports reach the others within it.
SETTLE_SECONDS: Final = 6.0
#: A balancer that has not heard from half of its fleet for this time stops
#: using its part, before the others forget it.
ISOLATION_SECONDS: Final = 30.0
#: Time for which a balancer stays in the fleet after its address has left the
#: table of peers: others may still hear it, and pass its address on.
DEPARTED_SECONDS: Final = 30.0
#: Time after which others are forgotten although most of the fleet is silent.
MINORITY_MEMORY_SECONDS: Final = 600.0


@dataclass(slots=True)
class ColdStarts:
    """Endpoints that are warming up, and one balancer's part of their limits.

    Attributes
    ----------
    limit : ColdStartLimit
        Tolerance of the limit.
    own_host : str
        IPv4 address of this balancer.
    until : dict of int to float
        Monotonic time at which the warm-up of an endpoint ends, by cookie.
    bounds : dict of int to int
        Openings that all balancers together may send an endpoint in a second,
        by cookie.
    sent_at : dict of int to deque of float
        Times of this balancer's latest openings, by cookie.
    parts : dict of int to int
        This balancer's part of each bound, for the fleet as it is.
    known_at : dict of str to float
        Time at which an address was last in the table of peers.
    fleet : frozenset of str
        IPv4 addresses of all balancers that may use a part.
    settled_since : float or None
        Time of the last change that keeps this balancer from using its part.
    heard_majority_at : float
        Time at which most of the fleet was last heard.
    is_admitted : bool
        Whether this balancer has heard every balancer that it knew of.
    openings_withheld : int
        Opening packets that no endpoint could take within the limit.
    """

    limit: ColdStartLimit
    own_host: str
    until: dict[int, float] = field(default_factory=dict)
    bounds: dict[int, int] = field(default_factory=dict)
    sent_at: dict[int, deque[float]] = field(default_factory=dict)
    parts: dict[int, int] = field(default_factory=dict)
    known_at: dict[str, float] = field(default_factory=dict)
    fleet: frozenset[str] = frozenset()
    settled_since: float | None = None
    heard_majority_at: float = 0
    is_admitted: bool = False
    openings_withheld: int = 0


def start_warm_up(
    state: ColdStarts,
    endpoints: Iterable[Endpoint],
    seconds: float,
    rate: float,
    now: float,
) -> list[Endpoint]:
    """Limit the openings of endpoints that have become cold.

    Parameters
    ----------
    state : ColdStarts
        Changed in place.
    endpoints : iterable of Endpoint
        The endpoints.
    seconds : float
        Length of the warm-up from now on. It never shortens one.
    rate : float
        Openings a second that a cold endpoint of the service bears.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Endpoint
        The endpoints that had no limit before.
    """
    started: list[Endpoint] = []
    for endpoint in endpoints:
        cookie = endpoint.cookie
        if cookie not in state.until:
            started.append(endpoint)
        state.until[cookie] = max(state.until.get(cookie, 0), now + seconds)
        state.bounds[cookie] = int(
            rate * state.limit.excess + state.limit.slack
        )
        state.parts.pop(cookie, None)
    return started


def end_warm_ups(state: ColdStarts, now: float) -> list[int]:
    """Remove the limits whose warm-up has ended, and return their cookies."""
    ended = [cookie for cookie, until in state.until.items() if until <= now]
    for cookie in ended:
        _forget_cold_start(state, cookie)
    return ended


def _forget_cold_start(state: ColdStarts, cookie: int) -> None:
    """Remove the limit of an endpoint whose warm-up has ended."""
    for by_cookie in (state.until, state.bounds, state.parts, state.sent_at):
        by_cookie.pop(cookie, None)


def update_fleet(state: ColdStarts, table: PeerTable, now: float) -> None:
    """Update the fleet from the table of peers; called with each tick.

    Parameters
    ----------
    state : ColdStarts
        Changed in place.
    table : PeerTable
        Peers and their reports.
    now : float
        Monotonic seconds.
    """
    for host in (*table.peers, state.own_host):
        state.known_at[host] = now
    known = frozenset(
        host
        for host, known_at in state.known_at.items()
        if now - known_at <= DEPARTED_SECONDS
    )
    if state.settled_since is None:
        state.settled_since = now
        state.heard_majority_at = now
    heard = {host for host, peer in table.peers.items() if peer.report}
    fleet = state.fleet | known
    if 2 * (len(heard) + 1) > len(fleet):
        state.heard_majority_at = now
        fleet = known
    elif now - state.heard_majority_at > MINORITY_MEMORY_SECONDS:
        fleet = known
        state.heard_majority_at = now
    if now - state.heard_majority_at > ISOLATION_SECONDS:
        state.settled_since = now
    if not state.is_admitted:
        _review_admission(state, table, fleet, now)
    if fleet != state.fleet:
        state.fleet = fleet
        for host in state.known_at.keys() - fleet:
            del state.known_at[host]
        state.parts.clear()


def suspend_part(state: ColdStarts, now: float) -> None:
    """Suspend the use of the part; a pause may have hidden changes."""
    state.settled_since = now


def may_open(state: ColdStarts, cookie: int, now: float) -> bool:
    """Return whether this balancer may open a flow at an endpoint now.

    Parameters
    ----------
    state : ColdStarts
        Limits; the times that have left the window are discarded.
    cookie : int
        Cookie of the endpoint.
    now : float
        Monotonic seconds.
    """
    if state.until.get(cookie, 0) <= now:
        return True
    part = _get_part(state, cookie) if _uses_parts(state, now) else 0
    sent_at = state.sent_at.get(cookie, ())
    while sent_at and now - sent_at[0] >= WINDOW_SECONDS:
        sent_at.popleft()
    return len(sent_at) < part


def record_cold_opening(state: ColdStarts, cookie: int, now: float) -> None:
    """Record that an opening packet is sent to an endpoint."""
    if cookie in state.until:
        state.sent_at.setdefault(cookie, deque()).append(now)


def list_open_endpoints(
    state: ColdStarts, candidates: tuple[Endpoint, ...], now: float
) -> tuple[Endpoint, ...]:
    """Return the candidates that may take an opening within their limits."""
    return tuple(
        endpoint
        for endpoint in candidates
        if endpoint.cookie not in state.until
        or may_open(state, endpoint.cookie, now)
    )


def calculate_part(
    bound: int, cookie: int, own_host: str, fleet: Iterable[str]
) -> int:
    """Return one balancer's part of the bound of an endpoint.

    The openings of the bound are assigned to the fleet in its order of
    preference for the endpoint, so that the parts add up to the bound.

    Parameters
    ----------
    bound : int
        Openings in a second.
    cookie : int
        Cookie of the endpoint.
    own_host : str
        IPv4 address of the balancer.
    fleet : iterable of str
        IPv4 addresses of all balancers, with the own one.
    """
    hosts = sorted(fleet, key=lambda host: _get_preference(cookie, host))
    rank = hosts.index(own_host)
    return max(0, -((rank - bound) // len(hosts)))


def _get_preference(cookie: int, host: str) -> tuple[int, str]:
    return crc32(f'{cookie:x} {host}'.encode()), host


def _uses_parts(state: ColdStarts, now: float) -> bool:
    return (
        state.is_admitted
        and state.settled_since is not None
        and now - state.settled_since >= SETTLE_SECONDS
    )


def _get_part(state: ColdStarts, cookie: int) -> int:
    part = state.parts.get(cookie)
    if part is None:
        part = calculate_part(
            state.bounds[cookie], cookie, state.own_host, state.fleet
        )
        state.parts[cookie] = part
    return part


def _review_admission(
    state: ColdStarts, table: PeerTable, fleet: frozenset[str], now: float
) -> None:
    """Join the fleet once every known balancer was heard and none is new."""
    if fleet - state.fleet:
        state.settled_since = now
    has_heard_all = all(peer.was_heard for peer in table.peers.values())
    settled_since = now if state.settled_since is None else state.settled_since
    state.is_admitted = has_heard_all and now - settled_since >= SETTLE_SECONDS
