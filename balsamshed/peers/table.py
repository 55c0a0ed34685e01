"""Table of balancers: whoever reports is a member, for as long as it does.

Nothing is owned by one member, so members need not agree on who they are, and
no failure detector is needed: a report that is too old counts no longer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.peers.report import PeerReport

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
LOCAL_SHARE: Final = 0.5
#: Time without reports, as in a pause, that is made up for at most.
BURST_SECONDS: Final = 0.2
#: What a balancer may send in reports beyond that after its start: it has to
#: find its peers, and after the loss of all of them the load is highest.
INITIAL_BUDGET_BYTES: Final = 20_000
#: Addresses that a report passes on.
MAX_SHARED_ADDRESSES: Final = 3


@dataclass(slots=True)
class Peer:
    """Another balancer.

    Attributes
    ----------
    last_seen_at : float
        Seconds of the last report, or of the first mention of the address.
    report : PeerReport or None
        The last report.
    """

    last_seen_at: float
    report: PeerReport | None = None


@dataclass(slots=True)
class PeerTable:
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
    suspecting_peers : dict of int to int
        Live peers that suspect an endpoint, by cookie.
    next_local_index, next_remote_index : int
        Positions of the round-robins over peers in the same data centre and
        over all others.
    budget_bytes : float
        What may be sent in reports now.
    budget_updated_at : float
        Seconds at which that was calculated.
    round_seconds : float
        Time in which every peer of another data centre gets one report.
    """

    own_host: str
    data_centre: str = ''
    peers: dict[str, Peer] = field(default_factory=dict)
    in_flight: dict[int, int] = field(default_factory=dict)
    suspecting_peers: dict[int, int] = field(default_factory=dict)
    next_local_index: int = 0
    next_remote_index: int = 0
    budget_bytes: float = INITIAL_BUDGET_BYTES
    budget_updated_at: float = 0
    round_seconds: float = 0


def add_peer_addresses(
    table: PeerTable, hosts: Iterable[str], now: float
) -> None:
    """Note addresses at which balancers may be."""
    for host in hosts:
        if host != table.own_host:
            table.peers.setdefault(host, Peer(now))


def record_report(
    table: PeerTable,
    host: str,
    report: PeerReport,
    now: float,
) -> bool:
    """Take over a report.

    Parameters
    ----------
    table : PeerTable
        Changed in place.
    host : str
        IPv4 address of the sender.
    report : PeerReport
        Its report.
    now : float
        Seconds of this balancer's clock.

    Returns
    -------
    bool
        Whether the sender was not heard before, or not for some time.
    """
    if host == table.own_host:
        return False
    peer = table.peers.setdefault(host, Peer(now))
    is_new = peer.report is None
    _discard_report(table, peer)
    peer.report = report
    peer.last_seen_at = now
    _update_counts(table, report, 1)
    add_peer_addresses(table, report.peers, now)
    return is_new


def expire_peers(table: PeerTable, now: float) -> tuple[str, ...]:
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
        REPORT_LIFETIME_ROUNDS * table.round_seconds,
    )
    for host, peer in table.peers.items():
        silence = now - peer.last_seen_at
        if peer.report is not None and silence > lifetime:
            _discard_report(table, peer)
            lost.append(host)
        if silence > ADDRESS_LIFETIME_SECONDS:
            forgotten.append(host)
    for host in forgotten:
        del table.peers[host]
    return tuple(lost)


def pick_report_targets(
    table: PeerTable,
    report_bytes: int,
    now: float,
) -> tuple[str, ...]:
    """Choose whom a report goes to now, in turn and within the budget.

    Parameters
    ----------
    table : PeerTable
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
    elapsed = min(now - table.budget_updated_at, BURST_SECONDS)
    table.budget_updated_at = now
    max_budget_bytes = REPORT_BYTES_PER_SECOND * BURST_SECONDS
    table.budget_bytes = max(
        table.budget_bytes,
        min(
            table.budget_bytes + REPORT_BYTES_PER_SECOND * elapsed,
            max_budget_bytes,
        ),
    )
    local, remote = _split_peers_by_locality(table)
    affordable = int(table.budget_bytes // report_bytes)
    local_count = min(
        len(local),
        max(int(affordable * LOCAL_SHARE), affordable - len(remote)),
    )
    remote_count = min(len(remote), affordable - local_count)
    table.budget_bytes -= (local_count + remote_count) * report_bytes
    remote_bytes_per_second = REPORT_BYTES_PER_SECOND * (1 - LOCAL_SHARE)
    table.round_seconds = len(remote) * report_bytes / remote_bytes_per_second
    targets = _take_round_robin(local, table.next_local_index, local_count)
    targets += _take_round_robin(remote, table.next_remote_index, remote_count)
    table.next_local_index += local_count
    table.next_remote_index += remote_count
    return targets


def pick_shared_addresses(
    table: PeerTable,
    randbelow: Callable[[int], int],
) -> tuple[str, ...]:
    """Choose addresses of live peers for a report."""
    live = [host for host, peer in table.peers.items() if peer.report]
    if len(live) <= MAX_SHARED_ADDRESSES:
        return tuple(live)
    start = randbelow(len(live))
    return tuple((live + live)[start : start + MAX_SHARED_ADDRESSES])


def get_reader_rank(table: PeerTable) -> int:
    """Return how many live peers read the store before this balancer.

    Everybody reads when what is known is old enough, the higher ranks later,
    so that usually only one does and the next one takes over without any
    agreement.
    """
    return sum(
        peer.report is not None and host < table.own_host
        for host, peer in table.peers.items()
    )


def list_peers_with_newer_view(
    table: PeerTable,
    revision: int,
    data_centre: str,
) -> list[str]:
    """Return live peers with a view newer than a revision, near ones first."""
    holders = [
        (peer.report.data_centre != data_centre, host)
        for host, peer in table.peers.items()
        if peer.report is not None and peer.report.revision > revision
    ]
    nearest = min(holders, default=(False, ''))[0]
    return [host for is_remote, host in holders if is_remote == nearest]


def _split_peers_by_locality(table: PeerTable) -> tuple[list[str], list[str]]:
    """Return peers in the same data centre, and all others."""
    local: list[str] = []
    remote: list[str] = []
    for host, peer in table.peers.items():
        report = peer.report
        is_local = (
            report is not None and report.data_centre == table.data_centre
        )
        (local if is_local else remote).append(host)
    return local, remote


def _take_round_robin(
    hosts: list[str], position: int, count: int
) -> tuple[str, ...]:
    start = position % len(hosts) if hosts else 0
    return tuple((hosts + hosts)[start : start + count])


def _discard_report(table: PeerTable, peer: Peer) -> None:
    if peer.report is not None:
        _update_counts(table, peer.report, -1)
        peer.report = None


def _update_counts(table: PeerTable, report: PeerReport, sign: int) -> None:
    for endpoint in report.endpoints:
        cookie = endpoint.cookie
        _adjust_count(table.in_flight, cookie, sign * endpoint.in_flight)
        _adjust_count(
            table.suspecting_peers, cookie, sign * endpoint.is_suspected
        )


def _adjust_count(counts: dict[int, int], cookie: int, change: int) -> None:
    count = counts.get(cookie, 0) + change
    if count:
        counts[cookie] = count
    else:
        counts.pop(cookie, None)
