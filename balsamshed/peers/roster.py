"""Roster of balancers: whoever reports is a member, for as long as it does.

Nothing is owned by one member, so members need not agree on who they are, and
no failure detector is needed: a report that is too old counts no longer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.peers.report import Report

#: Reports come every 0.1 s in small groups; a peer that misses this many
#: seconds is not counted on.
REPORT_LIFETIME_SECONDS: Final = 1.0
#: Addresses without a report are tried for this long before they are
#: forgotten; a cut-off data centre comes back within it.
ADDRESS_LIFETIME_SECONDS: Final = 60.0
#: Peers that one round of reports goes to at most: 120 reports a second.
MOST_TARGETS: Final = 12
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
    peers : dict of str to Peer
        By IPv4 address.
    in_flight : dict of int to int
        Requests in flight at live peers, by cookie.
    suspecting : dict of int to int
        Live peers that suspect an endpoint, by cookie.
    next_target : int
        Position of the round-robin over peers.
    """

    own_host: str
    peers: dict[str, Peer] = field(default_factory=dict)
    in_flight: dict[int, int] = field(default_factory=dict)
    suspecting: dict[int, int] = field(default_factory=dict)
    next_target: int = 0


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
    for host, peer in roster.peers.items():
        silence = now - peer.heard_at
        if peer.report is not None and silence > REPORT_LIFETIME_SECONDS:
            _withdraw(roster, peer)
            lost.append(host)
        if silence > ADDRESS_LIFETIME_SECONDS:
            forgotten.append(host)
    for host in forgotten:
        del roster.peers[host]
    return tuple(lost)


def choose_targets(roster: Roster) -> tuple[str, ...]:
    """Choose whom the next round of reports goes to, in turn."""
    hosts = tuple(roster.peers)
    if len(hosts) <= MOST_TARGETS:
        return hosts
    start = roster.next_target % len(hosts)
    roster.next_target = start + MOST_TARGETS
    return (hosts + hosts)[start : start + MOST_TARGETS]


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
