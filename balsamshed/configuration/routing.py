"""Routing table: what the packet path needs of the catalog."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from balsamshed.configuration.resources import (
    BackendServer,
    Listener,
    Resource,
    Service,
)

#: Address and port of a listener or of an endpoint.
SocketAddress = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Route:
    """A listener with the backend servers of its service.

    Parameters
    ----------
    service : Service
        The service that owns the address.
    listener : Listener
        The listener that the packet was sent to.
    backend_servers : tuple of BackendServer
        All declared backend servers of the service, sorted by name.
    """

    service: Service
    listener: Listener
    backend_servers: tuple[BackendServer, ...]

    @property
    def name(self) -> str:
        """Name of the route, ``service/listener``."""
        return f'{self.service.name}/{self.listener.name}'


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Look-ups from packets to routes, in both directions.

    Parameters
    ----------
    listeners : mapping of SocketAddress to Route
        Keyed by the service's address and the listener's port.
    endpoints : mapping of SocketAddress to Route
        Keyed by the backend server's host and the listener's port.
    hosts : mapping of int to BackendServer
        Keyed by the backend server's host.
    """

    listeners: Mapping[SocketAddress, Route]
    endpoints: Mapping[SocketAddress, Route]
    hosts: Mapping[int, BackendServer]


def build_routing_table(resources: Iterable[Resource]) -> RoutingTable:
    """Build the look-ups for a set of resources.

    Backend servers of services that are not declared yet are left out, so
    that resources may arrive in any order.

    Parameters
    ----------
    resources : iterable of Resource
        Checked resources of one group.

    Returns
    -------
    RoutingTable
        Read-only look-ups.
    """
    known = tuple(resources)
    services = sorted(
        (entry for entry in known if isinstance(entry, Service)),
        key=_get_name,
    )
    servers = sorted(
        (entry for entry in known if isinstance(entry, BackendServer)),
        key=_get_name,
    )
    listeners: dict[SocketAddress, Route] = {}
    endpoints: dict[SocketAddress, Route] = {}
    hosts: dict[int, BackendServer] = {}
    for service in services:
        own = tuple(entry for entry in servers if entry.service == service.name)
        hosts.update({entry.host: entry for entry in own})
        for listener in service.listeners:
            route = Route(service, listener, own)
            listeners[service.address, listener.port] = route
            endpoints.update(
                {(entry.host, listener.port): route for entry in own}
            )
    return RoutingTable(
        MappingProxyType(listeners),
        MappingProxyType(endpoints),
        MappingProxyType(hosts),
    )


def _get_name(resource: Resource) -> str:
    return resource.name
