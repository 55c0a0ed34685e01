"""Route table of one version of the configuration."""

from collections.abc import Iterable
from dataclasses import dataclass, field

_PORT_BITS = 16


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of one service among the services of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Relative to the weights of the route's other services. A service of
        weight 0 gets no new flows and keeps its open flows.
    """

    service: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Services that take the new flows to one address and port.

    Parameters
    ----------
    name : str
        Name of the route, for logs.
    address : int
        Destination IPv4 address, as an integer.
    port : int
        Destination port.
    shares : tuple of ServiceShare
        Services of the route, at least one.
    timeout_seconds : float
        Maximum duration of a request of the route.
    is_idempotent : bool
        Whether callers may repeat a request that may have run.
    latency_goal_seconds : float
        Time in which a request should be answered; zero for none.
    priority : int
        Priority of its requests; zero is the most urgent.
    """

    name: str
    address: int
    port: int
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    is_idempotent: bool = False
    latency_goal_seconds: float = 0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version of the configuration.

    Parameters
    ----------
    version : int
        Version that the operator gave to the configuration. It increases,
        but not always by one; -1 for the initial empty table.
    routes : mapping of int to Route
        Routes by listener key, see `make_listener_key`.
    services : frozenset of str
        Names of all services.
    """

    version: int = -1
    routes: dict[int, Route] = field(default_factory=dict)
    services: frozenset[str] = frozenset()


def create_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[str],
) -> RouteTable:
    """Create a table; of routes with the same listener the first is kept."""
    by_listener: dict[int, Route] = {}
    for route in routes:
        by_listener.setdefault(
            make_listener_key(route.address, route.port), route
        )
    return RouteTable(version, by_listener, frozenset(services))


def make_listener_key(address: int, port: int) -> int:
    """Return the listener key of an IPv4 address and a port."""
    return address << _PORT_BITS | port


def choose_newer(current: RouteTable, other: RouteTable) -> RouteTable:
    """Return the table with the higher version; on a tie the current one.

    The configuration in force never reverts to an older version.
    """
    return other if other.version > current.version else current
