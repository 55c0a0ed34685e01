"""Builders of endpoints, routes and packets for tests."""

from balsamshed.edge.state import create_edge
from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.routes.table import (
    Route,
    ServiceShare,
    create_route_table,
    make_listener_key,
)
from balsamshed.steering.packets import FlowPacket, PacketKind

ADDRESS = 0xC6120001
PORT = 443
LISTENER = make_listener_key(ADDRESS, PORT)


def build_endpoint(number, **changes):
    """Return an endpoint of service ``web`` in data centre ``a``."""
    fields = {
        'instance': 0x1000 + number,
        'started_at_ms': 1,
        'service': 'web',
        'host': f'10.0.0.{number}',
        'port': 8080,
        'data_centre': 'a',
        'slots': 2,
        **changes,
    }
    return Endpoint(**fields)


def build_view(revision, *endpoints):
    """Return a view of endpoints."""
    return EndpointView(revision, endpoints, revision)


def build_table(version, **services):
    """Return routes: one for each ``p<port>=service``, by default one to web."""
    ports = services or {f'p{PORT}': 'web'}
    routes = [
        Route(name, ADDRESS, int(name[1:]), (ServiceShare(service),), 1)
        for name, service in ports.items()
    ]
    return create_route_table(version, routes, set(ports.values()))


def build_packet(kind=PacketKind.OPENING, flow=1, **changes):
    """Return a packet that a caller sent."""
    fields = {
        'kind': kind,
        'flow_key': flow.to_bytes(12, 'big'),
        'listener': LISTENER,
        'cookie': 0,
        'attempt': 0,
        'acknowledged': 0,
        'sequence': 0,
        'raw': b'',
        **changes,
    }
    return FlowPacket(**fields)


def always_zero(_limit):
    """Return zero in place of a random number."""
    return 0


def build_edge(host='10.9.0.1', now=0, **changes):
    """Return an edge balancer in data centre ``a`` without a view."""
    fields = {
        'data_centre': 'a',
        'own_host': host,
        'flow_lifetime_seconds': 60,
        'grace_seconds': 6,
        'is_seed': True,
        'randbelow': always_zero,
        'now': now,
        **changes,
    }
    return create_edge(**fields)
