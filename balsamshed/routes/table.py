"""Routes of one version of the configuration."""

from collections.abc import Iterable
from dataclasses import dataclass, field

_PORT_BITS = 16


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's new flows that goes to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Relative to the weights of the route's other services; a service of
        weight 0 gets no new flows and keeps the open ones.
    """

    service: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Where new flows to one address and port go.

    Parameters
    ----------
    name : str
        Name, for logs.
    address : int
        IPv4 address that callers send to, as an integer.
    port : int
        Port that callers send to.
    shares : tuple of ServiceShare
        Services of the route, at least one.
    timeout_seconds : float
        Longest time that a request of the route may take.
    """

    name: str
    address: int
    port: int
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version of the configuration.

    Parameters
    ----------
    version : int
        Version that the operator gave to the configuration; rises with
        irregular increments. -1 for the empty table before the first one.
    routes : mapping of int to Route
        Keyed by `make_listener_key`.
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
    """Create the table of a version; of two equal listeners the first wins."""
    by_listener: dict[int, Route] = {}
    for route in routes:
        by_listener.setdefault(
            make_listener_key(route.address, route.port), route
        )
    return RouteTable(version, by_listener, frozenset(services))


def make_listener_key(address: int, port: int) -> int:
    """Return the key of an IPv4 address and a port."""
    return address << _PORT_BITS | port


def choose_newer(current: RouteTable, other: RouteTable) -> RouteTable:
    """Return the table of the higher version; a configuration never reverts."""
    return other if other.version > current.version else current
