"""Placement policies, which choose the backend server of a new flow."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from balsamshed.configuration.resources import BackendServer, ListenerKind
from balsamshed.configuration.routing import Route
from balsamshed.placement.candidates import list_candidates, list_usable
from balsamshed.placement.estimates import (
    get_slow_start_share,
    score_feeds,
    score_requests,
)
from balsamshed.placement.load_tracker import (
    HostLoadTracker,
    claim_trial,
    get_host_load,
    update_servers,
)

#: A flow leaves its default endpoint only if the default's score exceeds the
#: other's by this factor. A request off the default costs a flow copy; a feed
#: is copied in any case.
REQUEST_MARGIN: Final = 1.2
FEED_MARGIN: Final = 1.05

#: Seed of the digest that selects the flows of a host in slow start.
_SLOW_START_SEED: Final = 0x52414D50
_DIGEST_SCALE: Final = 0.5**64


@dataclass(frozen=True, slots=True)
class Choice:
    """Candidates chosen for a new flow.

    Parameters
    ----------
    candidates : tuple of BackendServer
        Backend servers in the order of attempts, at least one.
    is_default : bool
        Whether the first candidate is the default endpoint.
    """

    candidates: tuple[BackendServer, ...]
    is_default: bool


@dataclass(frozen=True, slots=True)
class NoBackendServer:
    """Sentinel: no backend server can take the flow.

    Parameters
    ----------
    reason : str
        Reason for logs and refusals.
    """

    reason: str


#: Arguments: route, flow key, monotonic seconds, seconds since the Unix epoch.
PlacementPolicy = Callable[
    [Route, bytes, float, float],
    Choice | NoBackendServer,
]


def create_hash_policy() -> PlacementPolicy:
    """Create a policy that always chooses the default endpoint."""

    def choose(
        route: Route,
        flow_key: bytes,
        now: float,
        wall_time: float,
    ) -> Choice | NoBackendServer:
        ranked = list_candidates(route, flow_key, wall_time)
        if not ranked:
            return _create_no_backend_server(route)
        return Choice(ranked, is_default=True)

    return choose


def create_round_robin_policy() -> PlacementPolicy:
    """Create a round-robin policy over the backend servers of a route."""
    turns: dict[str, int] = {}

    def choose(
        route: Route,
        flow_key: bytes,
        now: float,
        wall_time: float,
    ) -> Choice | NoBackendServer:
        servers = list_usable(route, wall_time)
        if not servers:
            return _create_no_backend_server(route)
        turn = turns.get(route.name, 0)
        turns[route.name] = turn + 1
        first = turn % len(servers)
        ordered = servers[first:] + servers[:first]
        default = list_candidates(route, flow_key, wall_time)[0]
        return Choice(ordered, ordered[0] is default)

    return choose


def create_two_choices_policy(tracker: HostLoadTracker) -> PlacementPolicy:
    """Create a policy of the power of two choices by own open flows.

    The two choices are the first candidates in rendezvous order, which is as
    good as random.

    Parameters
    ----------
    tracker : HostLoadTracker
        Source of the open flows; reports and failures are ignored.

    Returns
    -------
    PlacementPolicy
        The policy.
    """

    def choose(
        route: Route,
        flow_key: bytes,
        now: float,
        wall_time: float,
    ) -> Choice | NoBackendServer:
        ranked = list_candidates(route, flow_key, wall_time)
        if len(ranked) < 2:
            return (
                Choice(ranked, True)
                if ranked
                else _create_no_backend_server(route)
            )
        default = get_host_load(tracker, ranked[0].host)
        other = get_host_load(tracker, ranked[1].host)
        if route.listener.kind is ListenerKind.FEED:
            is_better = other.open_feeds < default.open_feeds
        else:
            is_better = other.open_requests < default.open_requests
        return _order(ranked, ranked[0], is_better)

    return choose


def create_load_aware_policy(
    tracker: HostLoadTracker,
    may_leave_default: Callable[[], bool],
) -> PlacementPolicy:
    """Create the policy that combines own counts with aged load reports.

    Parameters
    ----------
    tracker : HostLoadTracker
        Load and health of the hosts. The policy updates the usable hosts and
        claims trials of ejected ones.
    may_leave_default : callable
        Returns whether the budget for flow copies allows placing a flow off
        its default endpoint. Called only when load is the reason to leave it.

    Returns
    -------
    PlacementPolicy
        The policy.
    """

    def choose(
        route: Route,
        flow_key: bytes,
        now: float,
        wall_time: float,
    ) -> Choice | NoBackendServer:
        ranked = list_candidates(route, flow_key, wall_time)
        if not ranked:
            return _create_no_backend_server(route)
        servers = list_usable(route, wall_time)
        update_servers(tracker, route.service.name, servers, now)
        default = ranked[0]
        hosts = tracker.hosts
        healthy = tuple(
            [server for server in ranked if not hosts[server.host].is_ejected],
        )
        if len(healthy) < len(ranked) and claim_trial(
            tracker, default.host, now
        ):
            return Choice((default, *healthy), is_default=True)
        if len(healthy) < 2:
            return _order(healthy, default, is_swapped=False)
        is_swapped = _prefers_second(tracker, route, healthy, flow_key, now)
        if is_swapped and healthy[0] is default:
            # If the default is ejected, the flow needs a copy in any case.
            is_swapped = may_leave_default()
        return _order(healthy, default, is_swapped)

    return choose


def _prefers_second(
    tracker: HostLoadTracker,
    route: Route,
    healthy: tuple[BackendServer, ...],
    flow_key: bytes,
    now: float,
) -> bool:
    first, second = healthy[0].host, healthy[1].host
    first_share = get_slow_start_share(tracker.hosts[first], now)
    second_share = get_slow_start_share(tracker.hosts[second], now)
    if first_share != second_share:
        # A host in slow start gets a fixed share of the flows instead of all
        # those that its low load would attract.
        fraction = xxh3_64_intdigest(flow_key, _SLOW_START_SEED) * _DIGEST_SCALE
        if fraction * second_share >= first_share:
            return True
        if fraction * first_share >= second_share:
            return False
    if route.listener.kind is ListenerKind.FEED:
        limit = FEED_MARGIN * score_feeds(tracker, second, now)
        return score_feeds(tracker, first, now) > limit
    limit = REQUEST_MARGIN * score_requests(tracker, second, now)
    return score_requests(tracker, first, now) > limit


def _order(
    servers: tuple[BackendServer, ...],
    default: BackendServer,
    is_swapped: bool,
) -> Choice:
    if is_swapped:
        servers = (servers[1], servers[0], *servers[2:])
    return Choice(servers, servers[0] is default)


def _create_no_backend_server(route: Route) -> NoBackendServer:
    return NoBackendServer(
        f'no backend server of {route.service.name} takes new work',
    )
