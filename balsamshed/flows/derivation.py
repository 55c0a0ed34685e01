"""Derivation of the host of a flow from recent candidate lists."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.configuration.resources import BackendServer
from balsamshed.configuration.routing import Route

#: Maximum duration of a request; no open request was placed from an older
#: candidate list.
HISTORY_SECONDS: Final = 60.0

#: Returns the candidates of a flow, the default endpoint first.
CandidateLister = Callable[
    [Route, bytes, float],
    tuple[BackendServer, ...],
]


@dataclass(frozen=True, slots=True)
class CandidateList:
    """The backend servers of a route that took new work in a period.

    Parameters
    ----------
    route : Route
        Route and its backend servers in this period.
    hosts : tuple of int
        Hosts of the backend servers that took new work.
    wall_time : float
        Seconds since the Unix epoch at the start of the period.
    started_at, ended_at : float
        Monotonic seconds of the period; the end of the current list is
        infinite.
    """

    route: Route
    hosts: tuple[int, ...]
    wall_time: float
    started_at: float
    ended_at: float


@dataclass(slots=True)
class CandidateHistory:
    """Recent candidate lists of each route.

    Attributes
    ----------
    started_at : float
        Monotonic seconds at which the process started.
    lists : dict of str to list of CandidateList
        Lists with the newest first, keyed by route name.
    """

    started_at: float
    lists: dict[str, list[CandidateList]] = field(default_factory=dict)


def record_candidates(
    history: CandidateHistory,
    entry: CandidateList,
) -> bool:
    """Record the current candidates of a route.

    Parameters
    ----------
    history : CandidateHistory
        Changed in place.
    entry : CandidateList
        The current candidates.

    Returns
    -------
    bool
        Whether the list differs from the previous one.
    """
    now = entry.started_at
    previous = history.lists.get(entry.route.name, [])
    if previous and previous[0].hosts == entry.hosts:
        return False
    if previous:
        previous[0] = CandidateList(
            previous[0].route,
            previous[0].hosts,
            previous[0].wall_time,
            previous[0].started_at,
            now,
        )
    history.lists[entry.route.name] = [
        entry,
        *(old for old in previous if now - old.ended_at < HISTORY_SECONDS),
    ]
    return True


def derive_host(
    history: CandidateHistory,
    route_name: str,
    flow_key: bytes,
    now: float,
    list_candidates: CandidateLister,
) -> int | None:
    """Return the host that a flow without an entry must have been placed on.

    Parameters
    ----------
    history : CandidateHistory
        Candidate lists of this process.
    route_name : str
        Name of the flow's route.
    flow_key : bytes
        Key of the flow.
    now : float
        Monotonic seconds.
    list_candidates : callable
        Returns the candidates of a flow in order of preference.

    Returns
    -------
    int or None
        IPv4 address; None if the candidate lists of the last minute yield
        different hosts or the process has not run that long.
    """
    if now - history.started_at < HISTORY_SECONDS:
        return None
    hosts = set()
    for entry in history.lists.get(route_name, ()):
        if now - entry.ended_at >= HISTORY_SECONDS:
            continue
        candidates = list_candidates(entry.route, flow_key, entry.wall_time)
        hosts.add(candidates[0].host if candidates else None)
    return hosts.pop() if len(hosts) == 1 else None
