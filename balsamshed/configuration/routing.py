"""Routing table: the part of the catalog that the packet path uses."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from balsamshed.configuration.resources import (
    BackendServer,
    Listener,
    Resource,
    Service,
)

#: IPv4 address as an integer and port, of a listener or an endpoint.
SocketAddress = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Route:
    """A listener with the backend servers of its service.

    Parameters
    ----------
    service : Service
        Service that owns the address.
    listener : Listener
        Listener to which the packets are sent.
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
    """Look-up tables from packets to routes, for both directions.

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


def build_routing_table(
    resources: Iterable[Resource],
    deleted_resources: Iterable[Resource] = (),
) -> RoutingTable:
    """Build the routing table for a set of resources.

    Backend servers whose service is not declared yet are left out, so that
    resources may arrive in any order.

    Parameters
    ----------
    resources : iterable of Resource
        Valid resources of one group.
    deleted_resources : iterable of Resource
        Deleted resources. A deleted backend server takes no new flow, but
        keeps its endpoints until a declared one claims them.

    Returns
    -------
    RoutingTable
        Read-only tables.
    """
    declared = sorted(resources, key=_get_name)
    services = [entry for entry in declared if isinstance(entry, Service)]
    servers = [entry for entry in declared if isinstance(entry, BackendServer)]
    deleted_servers = [
        entry for entry in deleted_resources if isinstance(entry, BackendServer)
    ]
    listeners: dict[SocketAddress, Route] = {}
    endpoints: dict[SocketAddress, Route] = {}
    for service in services:
        backend_servers = tuple(_select_servers(servers, service))
        for listener in service.listeners:
            route = Route(service, listener, backend_servers)
            listeners[service.address, listener.port] = route
            _add_endpoints(
                endpoints,
                route,
                _select_servers(deleted_servers, service),
            )
    # Added last, declared backend servers replace deleted ones.
    for declared_route in listeners.values():
        _add_endpoints(
            endpoints,
            declared_route,
            declared_route.backend_servers,
        )
    names = {entry.name for entry in services}
    hosts = {
        server.host: server for server in servers if server.service in names
    }
    return RoutingTable(
        MappingProxyType(listeners),
        MappingProxyType(endpoints),
        MappingProxyType(hosts),
    )


def _add_endpoints(
    endpoints: dict[SocketAddress, Route],
    route: Route,
    servers: Iterable[BackendServer],
) -> None:
    for server in servers:
        endpoints[server.host, route.listener.port] = route


def _select_servers(
    servers: Iterable[BackendServer],
    service: Service,
) -> list[BackendServer]:
    return [server for server in servers if server.service == service.name]


def _get_name(resource: Resource) -> str:
    return resource.name
