"""Route table of one version of the configuration."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

_PORT_BITS = 16
#: Limits of a policy; larger values are errors of a writer.
MAX_WARM_UP_SECONDS: Final = 86_400
MAX_WARM_UP_RATE: Final = 1_000_000


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
class ServicePolicy:
    """Warm-up of the endpoints of a service.

    Parameters
    ----------
    warm_up_seconds : float
        Time for which an endpoint is cold after its start.
    warm_up_rate : float
        Openings a second that a cold endpoint bears.
    """

    warm_up_seconds: float = 0
    warm_up_rate: float = 0


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
    policies : dict of str to ServicePolicy
        Policies by service, without those that set nothing.
    """

    version: int = -1
    routes: dict[int, Route] = field(default_factory=dict)
    services: frozenset[str] = frozenset()
    policies: dict[str, ServicePolicy] = field(default_factory=dict)


#: Policy of a service without a warm-up.
NO_POLICY: Final = ServicePolicy()
#: Policies of services that set none.
NO_POLICIES: Final[Mapping[str, ServicePolicy]] = MappingProxyType({})


def create_route_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[str],
    policies: Mapping[str, ServicePolicy] = NO_POLICIES,
) -> RouteTable:
    """Create a table; of routes with the same listener the first is kept."""
    by_listener: dict[int, Route] = {}
    for route in routes:
        by_listener.setdefault(
            make_listener_key(route.address, route.port), route
        )
    return RouteTable(version, by_listener, frozenset(services), dict(policies))


def make_listener_key(address: int, port: int) -> int:
    """Return the listener key of an IPv4 address and a port."""
    return address << _PORT_BITS | port


def choose_newer(current: RouteTable, other: RouteTable) -> RouteTable:
    """Return the table with the higher version; on a tie the current one.

    The configuration in force never reverts to an older version.
    """
    return other if other.version > current.version else current
