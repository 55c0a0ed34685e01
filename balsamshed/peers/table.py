"""Table of the peers of an edge balancer, built from their reports.

A peer is live as long as its last report is recent enough. Balancers own no
state exclusively, so they need neither agreement on the membership nor a
separate failure detector.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, TypeVar

from balsamshed.peers.report import PeerReport
from balsamshed.random_numbers import RandBelow

#: A report older than this is discarded.
REPORT_LIFETIME_SECONDS: Final = 1.0
#: The same in report rounds, which are longer in large groups: two of three
#: reports may be lost.
REPORT_LIFETIME_ROUNDS: Final = 3
#: Time for which reports are sent to an address that does not report itself;
#: a partition of a data centre ends within it.
ADDRESS_LIFETIME_SECONDS: Final = 60.0
#: Bandwidth for reports. The rest of the 5 KB/s for control traffic is left to
#: views and the store.
REPORT_BYTES_PER_SECOND: Final = 4400
#: Share of this bandwidth that peers in the same data centre get if they need
#: it, since their flows go to the same endpoints. They get more if the other
#: peers need less than the rest.
LOCAL_SHARE: Final = 0.5
#: Limit of the bandwidth saved while no reports are sent, as in a pause.
BURST_SECONDS: Final = 0.2
#: Additional budget at the start: the balancer has to discover its peers, and
#: the load is highest when it starts after the loss of all of them.
INITIAL_BUDGET_BYTES: Final = 20_000
#: Limit of peer addresses in a report.
MAX_SHARED_ADDRESSES: Final = 3

Key = TypeVar('Key', int, str)


@dataclass(slots=True)
class Peer:
    """Another balancer.

    Attributes
    ----------
    last_seen_at : float
        Time of the last report, or of the first mention of the address.
    report : PeerReport or None
        The last report; None if it is missing or has expired.
    was_heard : bool
        Whether any report has arrived.
    """

    last_seen_at: float
    report: PeerReport | None = None
    was_heard: bool = False


@dataclass(slots=True)
class PeerTable:
    """Other balancers by address, and the sums of their reports.

    Attributes
    ----------
    own_host : str
        IPv4 address of this balancer.
    data_centre : str
        Data centre of this balancer.
    peers : dict of str to Peer
        Other balancers by IPv4 address.
    in_flight : dict of int to int
        Requests in flight at live peers, by cookie.
    suspecting_peers : dict of int to int
        Number of live peers that suspect an endpoint, by cookie.
    data_centres : dict of str to int
        Number of live peers by data centre.
    next_local_index, next_remote_index : int
        Round-robin positions among the peers in the same data centre and
        among all others.
    budget_bytes : float
        Bytes of reports that may be sent now.
    budget_updated_at : float
        Time at which the budget was last updated.
    round_seconds : float
        Time in which every peer outside the data centre gets one report.
    """

    own_host: str
    data_centre: str = ''
    peers: dict[str, Peer] = field(default_factory=dict)
    in_flight: dict[int, int] = field(default_factory=dict)
    suspecting_peers: dict[int, int] = field(default_factory=dict)
    data_centres: dict[str, int] = field(default_factory=dict)
    next_local_index: int = 0
    next_remote_index: int = 0
    budget_bytes: float = INITIAL_BUDGET_BYTES
    budget_updated_at: float = 0
    round_seconds: float = 0


def add_peer_addresses(
    table: PeerTable, hosts: Iterable[str], now: float
) -> None:
    """Add addresses at which balancers may run."""
    for host in hosts:
        if host != table.own_host:
            table.peers.setdefault(host, Peer(now))


def record_report(
    table: PeerTable,
    host: str,
    report: PeerReport,
    now: float,
) -> bool:
    """Replace the last report of a peer.

    Parameters
    ----------
    table : PeerTable
        Changed in place.
    host : str
        IPv4 address of the sender.
    report : PeerReport
        Report of the sender.
    now : float
        Seconds of this balancer's clock.

    Returns
    -------
    bool
        Whether the sender had no current report before.
    """
    if host == table.own_host:
        return False
    peer = table.peers.setdefault(host, Peer(now))
    is_new = peer.report is None
    _discard_report(table, peer)
    peer.report = report
    peer.was_heard = True
    peer.last_seen_at = now
    _update_counts(table, report, 1)
    add_peer_addresses(table, report.peers, now)
    return is_new


def expire_peers(table: PeerTable, now: float) -> tuple[str, ...]:
    """Discard expired reports and remove unresponsive addresses.

    Returns
    -------
    tuple of str
        IPv4 addresses of the peers whose reports have expired.
    """
    lost: list[str] = []
    removed: list[str] = []
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
            removed.append(host)
    for host in removed:
        del table.peers[host]
    return tuple(lost)


def pick_report_targets(
    table: PeerTable,
    report_bytes: int,
    now: float,
) -> tuple[str, ...]:
    """Pick the next receivers of a report, round-robin and within the budget.

    Parameters
    ----------
    table : PeerTable
        Changed in place.
    report_bytes : int
        Size of the report on the network.
    now : float
        Seconds of this balancer's clock.

    Returns
    -------
    tuple of str
        IPv4 addresses of the receivers.
    """
    _refill_budget(table, now)
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


def take_budget(table: PeerTable, size_bytes: int, now: float) -> bool:
    """Take bytes off the budget, and return whether it had them."""
    _refill_budget(table, now)
    if table.budget_bytes < size_bytes:
        return False
    table.budget_bytes -= size_bytes
    return True


def pick_shared_addresses(
    table: PeerTable,
    randbelow: RandBelow,
    *,
    includes_silent: bool = False,
) -> tuple[str, ...]:
    """Pick the addresses of some peers to share in a report.

    Parameters
    ----------
    table : PeerTable
        Known peers.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    includes_silent : bool
        Whether peers count that are silent now. Only those that this balancer
        has heard itself are shared, so that none is passed on for ever.

    Returns
    -------
    tuple of str
        IPv4 addresses.
    """
    live = [
        host
        for host, peer in table.peers.items()
        if peer.report or (includes_silent and peer.was_heard)
    ]
    if len(live) <= MAX_SHARED_ADDRESSES:
        return tuple(live)
    start = randbelow(len(live))
    return tuple((live + live)[start : start + MAX_SHARED_ADDRESSES])


def get_reader_rank(table: PeerTable) -> int:
    """Return the number of live peers that read the store before this one.

    Every balancer reads the store once its view is old enough, later with a
    higher rank. So usually only one reads, and the next takes over from it
    without any agreement.
    """
    return sum(
        peer.report is not None and host < table.own_host
        for host, peer in table.peers.items()
    )


def has_newer_view(report: PeerReport, revision: int, version: int) -> bool:
    """Return whether a peer has a later revision or a later version.

    Revision and version are compared apart: after the store has come back
    from an older copy, the latest version may be in force on peers only.
    """
    return report.revision > revision or report.version > version


def list_peers_with_newer_view(
    table: PeerTable,
    revision: int,
    version: int,
    data_centre: str,
) -> list[str]:
    """Return the live peers whose view is newer than a revision and a version.

    Peers in other data centres are listed only if none in this one has it.
    """
    holders = [
        (peer.report.data_centre != data_centre, host)
        for host, peer in table.peers.items()
        if peer.report is not None
        and has_newer_view(peer.report, revision, version)
    ]
    only_remote = min(holders, default=(False, ''))[0]
    return [host for is_remote, host in holders if is_remote == only_remote]


def _refill_budget(table: PeerTable, now: float) -> None:
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


def _split_peers_by_locality(table: PeerTable) -> tuple[list[str], list[str]]:
    """Return the peers in the same data centre, and all others."""
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
    _adjust_count(table.data_centres, report.data_centre, sign)
    for endpoint in report.endpoints:
        cookie = endpoint.cookie
        _adjust_count(table.in_flight, cookie, sign * endpoint.in_flight)
        _adjust_count(
            table.suspecting_peers, cookie, sign * endpoint.is_suspected
        )


def _adjust_count(counts: dict[Key, int], key: Key, change: int) -> None:
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
