"""Builders of backend servers, routes and flow keys for tests."""

from balsamshed.configuration.resources import (
    BackendServer,
    Listener,
    ListenerKind,
    QuietPeriod,
    Service,
    WorkClass,
)
from balsamshed.configuration.routing import Route


def make_server(
    number: int,
    slots: int = 2,
    draining: bool = False,
    quiet_periods: tuple[QuietPeriod, ...] = (),
) -> BackendServer:
    """Return a backend server of the service creneau."""
    return BackendServer(
        name=f'creneau-{number}',
        service='creneau',
        host=0x0A080000 + number,
        data_centre=f'qc-{number % 3}',
        slots=slots,
        load_url='',
        draining=draining,
        quiet_periods=quiet_periods,
    )


def make_route(
    servers: tuple[BackendServer, ...],
    kind: ListenerKind = ListenerKind.REQUEST,
) -> Route:
    """Return a route of the service creneau."""
    is_feed = kind is ListenerKind.FEED
    listener = Listener(
        name='feeds' if is_feed else 'reservations',
        port=7000 if is_feed else 7001,
        kind=kind,
        work_class=WorkClass.FEED if is_feed else WorkClass.URGENT,
        deadline_seconds=2,
    )
    service = Service('creneau', 'Buanderie', 0x0A090001, (listener,))
    return Route(service, listener, servers)


def make_flow_key(number: int) -> bytes:
    """Return the key of a caller's flow, unique for each number."""
    source = (0x0A000000 + number // 30000).to_bytes(4)
    port = (10000 + number % 30000).to_bytes(2)
    return source + b'\x0a\x09\x00\x01' + port + b'\x1b\x59'
