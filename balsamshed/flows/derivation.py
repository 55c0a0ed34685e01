"""Default endpoints of the last minute, from which flows are derived."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.configuration.resources import BackendServer
from balsamshed.configuration.routing import Route

#: The longest request: entries of older candidate lists are of no use.
HISTORY_SECONDS: Final = 60.0

#: Returns the candidates of a flow, the default endpoint first.
CandidateLister = Callable[
    [Route, bytes, float],
    tuple[BackendServer, ...],
]


@dataclass(frozen=True, slots=True)
class CandidateList:
    """The backend servers that took new work for some time.

    Parameters
    ----------
    route : Route
        Route with its backend servers at that time.
    hosts : tuple of int
        Hosts that took new work.
    wall_time : float
        Seconds since the Unix epoch at its start.
    started_at, ended_at : float
        Monotonic seconds; the end is infinite for the current list.
    """

    route: Route
    hosts: tuple[int, ...]
    wall_time: float
    started_at: float
    ended_at: float


@dataclass(slots=True)
class CandidateHistory:
    """Candidate lists of each route, the newest first.

    Attributes
    ----------
    started_at : float
        Monotonic seconds at which the process started.
    lists : dict of str to list of CandidateList
        Keyed by the route's name.
    """

    started_at: float
    lists: dict[str, list[CandidateList]] = field(default_factory=dict)


def record_candidates(
    history: CandidateHistory,
    entry: CandidateList,
) -> bool:
    """Note the current candidates of a route.

    Parameters
    ----------
    history : CandidateHistory
        Changed in place.
    entry : CandidateList
        The current candidates.

    Returns
    -------
    bool
        Whether the list differs from the one before.
    """
    now = entry.started_at
    known = history.lists.get(entry.route.name, [])
    if known and known[0].hosts == entry.hosts:
        return False
    if known:
        known[0] = CandidateList(
            known[0].route,
            known[0].hosts,
            known[0].wall_time,
            known[0].started_at,
            now,
        )
    history.lists[entry.route.name] = [
        entry,
        *(old for old in known if now - old.ended_at < HISTORY_SECONDS),
    ]
    return True


def derive_host(
    history: CandidateHistory,
    route_name: str,
    flow_key: bytes,
    now: float,
    list_candidates: CandidateLister,
) -> int | None:
    """Return the host that a flow without entry must have been placed on.

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
        Orders the candidates of a flow.

    Returns
    -------
    int or None
        IPv4 address; None if the lists of the last minute disagree or are
        not known.
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
