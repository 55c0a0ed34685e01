"""Load and health of all backend servers, as tracked by one balancer.

Failing hosts are ejected (outlier ejection) and readmitted by trial flows; see
`balsamshed.placement.ejection`.
"""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from balsamshed.configuration.resources import BackendServer, ListenerKind
from balsamshed.placement.ejection import (
    eject,
    get_ejection_bound,
    readmit,
    schedule_trial,
    start_trial,
)
from balsamshed.placement.hosts import (
    HostLoad,
    add_penalty,
    record_duration,
)
from balsamshed.placement.messages import LoadReport

#: Time for which a host's reports are ignored after one contradicted the
#: balancer's own observations.
REPORTS_IGNORED_SECONDS: Final = 10.0

#: A host is slow if its mean duration exceeds this multiple of the fastest
#: host's.
SLOW_FACTOR: Final = 3.0

#: Penalties in multiples of the slots. A refusal counts as a full queue; an
#: unanswered SYN weighs more, so that the host is avoided while others answer.
REFUSED_PENALTY: Final = 2.0
UNANSWERED_PENALTY: Final = 8.0

#: Consecutive unanswered SYNs before a host is ejected. One or two may be due
#: to callers that vanished.
FAILURES_TO_EJECT: Final = 3

#: A host that answered this recently is not ejected: SYNs that callers never
#: complete would otherwise eject working hosts.
ANSWERED_RECENTLY_SECONDS: Final = 1.0


@dataclass(slots=True)
class HostLoadTracker:
    """Load and health of backend servers, as one balancer sees them.

    Attributes
    ----------
    member_count : int
        Number of balancers that share the flows.
    hosts : dict of int to HostLoad
        Entries by IPv4 address of the backend server.
    services : dict of str to tuple of BackendServer
        Backend servers of each service that took new work at the last update.
    """

    member_count: int = 1
    hosts: dict[int, HostLoad] = field(default_factory=dict)
    services: dict[str, tuple[BackendServer, ...]] = field(
        default_factory=dict,
    )


def set_member_count(tracker: HostLoadTracker, member_count: int) -> None:
    """Set the number of balancers that share the flows.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    member_count : int
        Number of live balancers in the group, including this one.
    """
    tracker.member_count = max(1, member_count)


def get_host_load(tracker: HostLoadTracker, host: int) -> HostLoad:
    """Return the entry of a host; creates it if needed."""
    host_load = tracker.hosts.get(host)
    if host_load is None:
        host_load = HostLoad()
        tracker.hosts[host] = host_load
    return host_load


def update_servers(
    tracker: HostLoadTracker,
    service: str,
    servers: tuple[BackendServer, ...],
    now: float,
) -> None:
    """Update the backend servers of a service that take new work.

    A host that was not in the previous list begins its slow start. In the
    first list all hosts count as warm, since nothing tells cold hosts from
    warm ones.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    service : str
        Name of the service.
    servers : tuple of BackendServer
        Backend servers of the service that take new work.
    now : float
        Monotonic seconds.
    """
    previous = tracker.services.get(service)
    # Each listener of a service has its own tuple with equal elements.
    if previous is servers or previous == servers:
        return
    tracker.services[service] = servers
    hosts = {server.host for server in servers}
    previous_hosts = (
        hosts if previous is None else {entry.host for entry in previous}
    )
    for server in servers:
        host_load = get_host_load(tracker, server.host)
        host_load.service = service
        host_load.slots = server.slots
        if server.host not in previous_hosts:
            host_load.slow_start_at = now
    for host in previous_hosts - hosts:
        tracker.hosts[host].service = ''
        _remove_if_unused(tracker, host)
    _readmit_excess(tracker, service, now)


def count_ejected(tracker: HostLoadTracker, service: str) -> int:
    """Return how many of a service's usable hosts are ejected."""
    return sum(
        tracker.hosts[server.host].is_ejected
        for server in tracker.services.get(service, ())
    )


def record_opened(
    tracker: HostLoadTracker, host: int, kind: ListenerKind
) -> None:
    """Record that a flow was placed on a host.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    host : int
        IPv4 address of the backend server.
    kind : ListenerKind
        Kind of the flow's listener.
    """
    host_load = get_host_load(tracker, host)
    if kind is ListenerKind.FEED:
        host_load.open_feeds += 1
    else:
        host_load.open_requests += 1


def record_closed(
    tracker: HostLoadTracker,
    host: int,
    kind: ListenerKind,
    now: float,
    duration_seconds: float | None = None,
) -> None:
    """Record the end of a flow on a host, for any reason.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    host : int
        IPv4 address of the backend server.
    kind : ListenerKind
        Kind of the flow's listener.
    now : float
        Monotonic seconds.
    duration_seconds : float, optional
        Time from the SYN to the end of the flow, if the response completed.
    """
    host_load = get_host_load(tracker, host)
    if kind is ListenerKind.FEED:
        host_load.open_feeds = max(0, host_load.open_feeds - 1)
        _remove_if_unused(tracker, host)
        return
    host_load.open_requests = max(0, host_load.open_requests - 1)
    host_load.min_open_requests = min(
        host_load.min_open_requests, host_load.open_requests
    )
    if duration_seconds is not None:
        record_duration(host_load, duration_seconds, now)
        if _reports_free_slots(host_load) and _is_slow(tracker, host_load):
            host_load.reports_ignored_until = now + REPORTS_IGNORED_SECONDS
    _remove_if_unused(tracker, host)


def record_accepted(tracker: HostLoadTracker, host: int, now: float) -> None:
    """Record that a host answered a SYN or that a caller sent data.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    host : int
        IPv4 address of the backend server.
    now : float
        Monotonic seconds.
    """
    host_load = get_host_load(tracker, host)
    host_load.failures = 0
    host_load.answered_at = now
    if host_load.is_ejected and host_load.trial_at > -inf:
        readmit(host_load, now)


def record_refused(tracker: HostLoadTracker, host: int, now: float) -> None:
    """Record that a host answered a SYN with RST.

    The host is alive, so it is not ejected, but it should get less work.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    host : int
        IPv4 address of the backend server.
    now : float
        Monotonic seconds.
    """
    record_accepted(tracker, host, now)
    host_load = tracker.hosts[host]
    add_penalty(host_load, REFUSED_PENALTY * host_load.slots, now)
    if _reports_free_slots(host_load):
        host_load.reports_ignored_until = now + REPORTS_IGNORED_SECONDS


def record_unanswered(tracker: HostLoadTracker, host: int, now: float) -> None:
    """Record that a SYN was not answered before its timeout.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    host : int
        IPv4 address of the backend server.
    now : float
        Monotonic seconds.
    """
    host_load = get_host_load(tracker, host)
    host_load.failures += 1
    add_penalty(host_load, UNANSWERED_PENALTY * host_load.slots, now)
    if host_load.is_ejected:
        if host_load.trial_at > -inf:
            schedule_trial(host_load, now)
        return
    if host_load.failures < FAILURES_TO_EJECT:
        return
    if now - host_load.answered_at < ANSWERED_RECENTLY_SECONDS:
        return
    service = host_load.service
    bound = get_ejection_bound(len(tracker.services.get(service, ())))
    if count_ejected(tracker, service) < bound and _is_usable(tracker, host):
        eject(host_load, now)


def record_report(
    tracker: HostLoadTracker, report: LoadReport, now: float
) -> None:
    """Record a load report of a host.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place.
    report : LoadReport
        Report of the host; ignored unless it is newer than the last one.
    now : float
        Monotonic seconds.
    """
    host_load = get_host_load(tracker, report.host)
    taken_at = now - max(0, report.age_seconds)
    if taken_at <= host_load.reported_at:
        return
    host_load.reported_requests = max(0, report.in_flight) + max(
        0, report.queued
    )
    host_load.reported_at = taken_at
    # A report cannot lack requests of this balancer that were open throughout
    # the interval in which it was made.
    surely_open = min(
        host_load.min_open_requests, host_load.previous_min_open_requests
    )
    if host_load.reported_requests < surely_open:
        host_load.reports_ignored_until = now + REPORTS_IGNORED_SECONDS
    host_load.previous_min_open_requests = host_load.min_open_requests
    host_load.min_open_requests = host_load.open_requests
    host_load.open_requests_at_report = host_load.open_requests


def claim_trial(tracker: HostLoadTracker, host: int, now: float) -> bool:
    """Claim the trial of an ejected host for a flow, if one is due.

    At most one trial runs at a time.

    Parameters
    ----------
    tracker : HostLoadTracker
        Changed in place if the trial is due.
    host : int
        IPv4 address of the backend server.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether the flow must be sent to the host as a trial.
    """
    return start_trial(tracker.hosts[host], now)


def get_fastest_duration(tracker: HostLoadTracker, service: str) -> float:
    """Return the lowest mean duration among the hosts of a service.

    Parameters
    ----------
    tracker : HostLoadTracker
        Load of the hosts.
    service : str
        Name of the service.

    Returns
    -------
    float
        Duration in seconds; zero if no request has finished.
    """
    durations = [
        duration
        for server in tracker.services.get(service, ())
        if (duration := tracker.hosts[server.host].duration_seconds)
    ]
    return min(durations, default=0)


def _reports_free_slots(host_load: HostLoad) -> bool:
    return host_load.reported_requests < host_load.slots


def _is_slow(tracker: HostLoadTracker, host_load: HostLoad) -> bool:
    fastest = get_fastest_duration(tracker, host_load.service)
    return bool(fastest) and (
        host_load.duration_seconds > SLOW_FACTOR * fastest
    )


def _is_usable(tracker: HostLoadTracker, host: int) -> bool:
    service = tracker.hosts[host].service
    return any(
        server.host == host for server in tracker.services.get(service, ())
    )


def _readmit_excess(tracker: HostLoadTracker, service: str, now: float) -> None:
    # With fewer usable hosts the bound is lower. The hosts whose trials are
    # due first are readmitted.
    servers = tracker.services[service]
    ejected = [
        host_load
        for server in servers
        if (host_load := tracker.hosts[server.host]).is_ejected
    ]
    ejected.sort(key=_get_ejected_until)
    excess = len(ejected) - get_ejection_bound(len(servers))
    for host_load in ejected[: max(0, excess)]:
        readmit(host_load, now)


def _get_ejected_until(host_load: HostLoad) -> float:
    return host_load.ejected_until


def _remove_if_unused(tracker: HostLoadTracker, host: int) -> None:
    host_load = tracker.hosts[host]
    if host_load.service or host_load.open_requests or host_load.open_feeds:
        return
    tracker.hosts.pop(host)
