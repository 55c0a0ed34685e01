"""Roster of balancers: whoever reports is a member, for as long as it does.

Nothing is owned by one member, so members need not agree on who they are, and
no failure detector is needed: a report that is too old counts no longer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.peers.report import Report

#: A peer that was silent for this long is not counted on.
REPORT_LIFETIME_SECONDS: Final = 1.0
#: In large groups a report comes more rarely; a peer may miss two of three.
REPORT_LIFETIME_ROUNDS: Final = 3
#: Addresses without a report are tried for this long before they are
#: forgotten; a cut-off data centre comes back within it.
ADDRESS_LIFETIME_SECONDS: Final = 60.0
#: What a balancer sends in reports; views and the store get the rest of the
#: 5 KB/s for control.
REPORT_BYTES_PER_SECOND: Final = 4400
#: Share of that for peers in the same data centre, whose flows go to the same
#: endpoints, if they need so much.
NEAR_SHARE: Final = 0.5
#: Time without reports, as in a pause, that is made up for at most.
SAVED_SECONDS: Final = 0.2
#: What a balancer may send in reports beyond that after its start: it has to
#: find its peers, and after the loss of all of them the load is highest.
START_BYTES: Final = 20_000
#: Addresses that a report passes on.
PASSED_ON: Final = 3


@dataclass(slots=True)
class Peer:
    """Another balancer.

    Attributes
    ----------
    heard_at : float
        Seconds of the last report, or of the first mention of the address.
    report : Report or None
        The last report.
    """

    heard_at: float
    report: Report | None = None


@dataclass(slots=True)
class Roster:
    """Other balancers by address.

    Attributes
    ----------
    own_host : str
        IPv4 address of this balancer.
    data_centre : str
        Data centre of this balancer.
    peers : dict of str to Peer
        By IPv4 address.
    in_flight : dict of int to int
        Requests in flight at live peers, by cookie.
    suspecting : dict of int to int
        Live peers that suspect an endpoint, by cookie.
    next_near, next_far : int
        Positions of the round-robins over peers in the same data centre and
        over all others.
    saved_bytes : float
        What may be sent in reports now.
    saved_at : float
        Seconds at which that was calculated.
    round_seconds : float
        Time in which every peer of another data centre gets one report.
    """

    own_host: str
    data_centre: str = ''
    peers: dict[str, Peer] = field(default_factory=dict)
    in_flight: dict[int, int] = field(default_factory=dict)
    suspecting: dict[int, int] = field(default_factory=dict)
    next_near: int = 0
    next_far: int = 0
    saved_bytes: float = START_BYTES
    saved_at: float = 0
    round_seconds: float = 0


def add_addresses(roster: Roster, hosts: Iterable[str], now: float) -> None:
    """Note addresses at which balancers may be."""
    for host in hosts:
        if host != roster.own_host:
            roster.peers.setdefault(host, Peer(now))


def note_report(
    roster: Roster,
    host: str,
    report: Report,
    now: float,
) -> bool:
    """Take over a report.

    Parameters
    ----------
    roster : Roster
        Changed in place.
    host : str
        IPv4 address of the sender.
    report : Report
        Its report.
    now : float
        Seconds of this balancer's clock.

    Returns
    -------
    bool
        Whether the sender was not heard before, or not for some time.
    """
    if host == roster.own_host:
        return False
    peer = roster.peers.setdefault(host, Peer(now))
    is_new = peer.report is None
    _withdraw(roster, peer)
    peer.report = report
    peer.heard_at = now
    _count(roster, report, 1)
    add_addresses(roster, report.peers, now)
    return is_new


def expire_peers(roster: Roster, now: float) -> tuple[str, ...]:
    """Withdraw old reports and forget old addresses.

    Returns
    -------
    tuple of str
        Peers whose reports have become too old.
    """
    lost: list[str] = []
    forgotten: list[str] = []
    lifetime = max(
        REPORT_LIFETIME_SECONDS,
        REPORT_LIFETIME_ROUNDS * roster.round_seconds,
    )
    for host, peer in roster.peers.items():
        silence = now - peer.heard_at
        if peer.report is not None and silence > lifetime:
            _withdraw(roster, peer)
            lost.append(host)
        if silence > ADDRESS_LIFETIME_SECONDS:
            forgotten.append(host)
    for host in forgotten:
        del roster.peers[host]
    return tuple(lost)


def choose_targets(
    roster: Roster,
    report_bytes: int,
    now: float,
) -> tuple[str, ...]:
    """Choose whom a report goes to now, in turn and within the budget.

    Parameters
    ----------
    roster : Roster
        Changed in place.
    report_bytes : int
        Bytes of the report on the network.
    now : float
        Seconds of this balancer's clock.

    Returns
    -------
    tuple of str
        IPv4 addresses.
    """
    elapsed = min(now - roster.saved_at, SAVED_SECONDS)
    roster.saved_at = now
    most_saved = REPORT_BYTES_PER_SECOND * SAVED_SECONDS
    roster.saved_bytes = max(
        roster.saved_bytes,
        min(
            roster.saved_bytes + REPORT_BYTES_PER_SECOND * elapsed,
            most_saved,
        ),
    )
    near, far = _divide_peers(roster)
    affordable = int(roster.saved_bytes // report_bytes)
    near_count = min(
        len(near),
        max(int(affordable * NEAR_SHARE), affordable - len(far)),
    )
    far_count = min(len(far), affordable - near_count)
    roster.saved_bytes -= (near_count + far_count) * report_bytes
    far_bytes_per_second = REPORT_BYTES_PER_SECOND * (1 - NEAR_SHARE)
    roster.round_seconds = len(far) * report_bytes / far_bytes_per_second
    targets = _take(near, roster.next_near, near_count)
    targets += _take(far, roster.next_far, far_count)
    roster.next_near += near_count
    roster.next_far += far_count
    return targets


def choose_passed_on(
    roster: Roster,
    draw: Callable[[int], int],
) -> tuple[str, ...]:
    """Choose addresses of live peers for a report."""
    live = [host for host, peer in roster.peers.items() if peer.report]
    if len(live) <= PASSED_ON:
        return tuple(live)
    start = draw(len(live))
    return tuple((live + live)[start : start + PASSED_ON])


def rank_reader(roster: Roster) -> int:
    """Return how many live peers read the store before this balancer.

    Everybody reads when what is known is old enough, the higher ranks later,
    so that usually only one does and the next one takes over without any
    agreement.
    """
    return sum(
        peer.report is not None and host < roster.own_host
        for host, peer in roster.peers.items()
    )


def list_holders(
    roster: Roster,
    revision: int,
    data_centre: str,
) -> list[str]:
    """Return live peers with a view newer than a revision, near ones first."""
    holders = [
        (peer.report.data_centre != data_centre, host)
        for host, peer in roster.peers.items()
        if peer.report is not None and peer.report.revision > revision
    ]
    nearest = min(holders, default=(False, ''))[0]
    return [host for is_far, host in holders if is_far == nearest]


def _divide_peers(roster: Roster) -> tuple[list[str], list[str]]:
    """Return peers in the same data centre, and all others."""
    near: list[str] = []
    far: list[str] = []
    for host, peer in roster.peers.items():
        report = peer.report
        is_near = (
            report is not None and report.data_centre == roster.data_centre
        )
        (near if is_near else far).append(host)
    return near, far


def _take(hosts: list[str], position: int, count: int) -> tuple[str, ...]:
    start = position % len(hosts) if hosts else 0
    return tuple((hosts + hosts)[start : start + count])


def _withdraw(roster: Roster, peer: Peer) -> None:
    if peer.report is not None:
        _count(roster, peer.report, -1)
        peer.report = None


def _count(roster: Roster, report: Report, sign: int) -> None:
    for endpoint in report.endpoints:
        cookie = endpoint.cookie
        _add(roster.in_flight, cookie, sign * endpoint.in_flight)
        _add(roster.suspecting, cookie, sign * endpoint.is_suspected)


def _add(counts: dict[int, int], cookie: int, change: int) -> None:
    count = counts.get(cookie, 0) + change
    if count:
        counts[cookie] = count
    else:
        counts.pop(cookie, None)
