"""Candidates of a flow, ordered by weighted rendezvous hashing.

Reference: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking, 1998; the weighted
form by logarithms is from J. Schindelhauer and G. Schomaker, "Weighted
distributed hash tables", SPAA 2005.
"""

from dataclasses import dataclass
from math import inf, log
from typing import Final

from xxhash import xxh3_64_intdigest

from balsamshed.configuration.quiet_periods import is_in_period, takes_new_work
from balsamshed.configuration.resources import BackendServer, QuietPeriod
from balsamshed.configuration.routing import Route

#: Capacity of the cache; the routing table of a group has fewer routes.
CACHED_ROUTES: Final = 1024

#: Map a 64-bit digest to a fraction above zero, so that its logarithm exists.
_DIGEST_SCALE: Final = 0.5**64
_MIN_FRACTION: Final = 0.5**65


@dataclass(frozen=True, slots=True)
class _UsableServers:
    """Backend servers that take new work during an interval of wall time."""

    # The reference keeps the id of the route from being reused.
    route: Route
    valid_from: float
    valid_until: float
    servers: tuple[BackendServer, ...]
    seeds: tuple[int, ...]
    # Each seed with the reciprocal of the slots. Empty if all slots are equal,
    # since the digests then give the same order without logarithms.
    weighted_seeds: tuple[tuple[int, float], ...]


# Keyed by id: hashing a route by its fields takes longer than the rest of the
# placement.
_usable_by_route: dict[int, _UsableServers] = {}


def list_usable(route: Route, wall_time: float) -> tuple[BackendServer, ...]:
    """Return the backend servers that take new work, sorted by name.

    Parameters
    ----------
    route : Route
        Route of the listener that the caller connected to.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    tuple of BackendServer
        The same tuple object until the list changes.
    """
    return _get_usable(route, wall_time).servers


def list_candidates(
    route: Route,
    flow_key: bytes,
    wall_time: float,
) -> tuple[BackendServer, ...]:
    """Order a route's usable backend servers for a flow.

    All balancers compute the same order without communication. Each backend
    server comes first for a share of the flows proportional to its slots.

    Parameters
    ----------
    route : Route
        Route of the listener that the caller connected to.
    flow_key : bytes
        Flow key, 12 bytes.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    tuple of BackendServer
        Starts with the default endpoint; empty if none takes new work.
    """
    usable = _get_usable(route, wall_time)
    servers = usable.servers
    scores: list[float]
    if usable.weighted_seeds:
        scores = [
            log(
                xxh3_64_intdigest(flow_key, seed) * _DIGEST_SCALE
                + _MIN_FRACTION
            )
            * factor
            for seed, factor in usable.weighted_seeds
        ]
    else:
        scores = [xxh3_64_intdigest(flow_key, seed) for seed in usable.seeds]
    order = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
    return tuple([servers[position] for position in order])


def _get_usable(route: Route, wall_time: float) -> _UsableServers:
    usable = _usable_by_route.get(id(route))
    if (
        usable is None
        or usable.route is not route
        or not usable.valid_from <= wall_time < usable.valid_until
    ):
        usable = _find_usable(route, wall_time)
        if len(_usable_by_route) >= CACHED_ROUTES:
            # Also evicts the routes of earlier configurations.
            _usable_by_route.clear()
        _usable_by_route[id(route)] = usable
    return usable


def _find_usable(route: Route, wall_time: float) -> _UsableServers:
    servers = tuple(
        server
        for server in route.backend_servers
        if takes_new_work(server, wall_time)
    )
    seeds = tuple(xxh3_64_intdigest(server.name.encode()) for server in servers)
    slots = [server.slots for server in servers]
    is_weighted = len(set(slots)) > 1
    changes = [
        _find_next_change(period, wall_time)
        for server in route.backend_servers
        for period in server.quiet_periods
    ]
    return _UsableServers(
        route=route,
        valid_from=wall_time,
        valid_until=min(changes, default=inf),
        servers=servers,
        seeds=seeds,
        weighted_seeds=tuple(
            (seed, 1 / weight) for seed, weight in zip(seeds, slots)
        )
        if is_weighted
        else (),
    )


def _find_next_change(period: QuietPeriod, wall_time: float) -> float:
    elapsed = wall_time - period.start_seconds
    if elapsed < 0:
        return period.start_seconds
    if period.repeat_seconds > 0:
        elapsed %= period.repeat_seconds
    if is_in_period(period, wall_time):
        return wall_time + period.duration_seconds - elapsed
    if period.repeat_seconds > 0:
        return wall_time + period.repeat_seconds - elapsed
    return inf
