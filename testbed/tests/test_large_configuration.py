"""Edge balancer processes with thousands of routes and small links."""

import asyncio
import time

from balsamshed.edge.peer_views import create_view_for_peer
from balsamshed.edge.tests.builders import build_edge, build_view
from balsamshed.edge.views import (
    handle_endpoints,
    handle_routes,
)
from balsamshed.front_ends.edge_peers import create_view_encoder
from balsamshed.routes.table import Route, ServiceShare, create_route_table
from balsamshed.store.polling import start_read
from testbed.edge_site import open_site, wait_until
from testbed.store_proxy import StoreProxy

#: Routes of a large configuration, some 100 bytes each in the store.
ROUTE_COUNT = 3000
#: What a link of 5 Mbit/s leaves to the store while callers use half of it.
LINK_BYTES_PER_SECOND = 300_000
#: Time in which a change has to be in force on every balancer.
IN_FORCE_SECONDS = 5
BALANCERS = (1, 2, 3)
#: Peers that all fetch the routes from the first holder of a data centre.
PEER_COUNT = 20
#: A link of 5 Mbit/s.
HOLDER_BYTES_PER_SECOND = 625_000
#: Part of the 5 s that is left to the holder after a change was noticed.
HAND_ON_SECONDS = 2
FIRST_PORT = 2000


async def start_behind_small_links(site):
    """Start balancers that reach the store through links of a small VM."""
    await site.start_store()
    await site.start_endpoint(1)
    hosts = []
    for number in BALANCERS:
        proxy = StoreProxy(site.store_port)
        proxy.bytes_per_second = LINK_BYTES_PER_SECOND
        site.store_ports[number] = next(site.free_ports)
        await proxy.serve(site.store_ports[number])
        hosts.append(site.start_balancer(number))
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')


async def check_large_change(site):
    await start_behind_small_links(site)
    ports = range(FIRST_PORT, FIRST_PORT + ROUTE_COUNT)
    site.write_configuration(2, *ports)
    written_at = time.monotonic()
    for number in BALANCERS:
        await wait_until(
            lambda number=number: 2 in site.list_versions(number),
            f'version 2 on balancer {number}',
        )
    assert time.monotonic() - written_at < IN_FORCE_SECONDS


def test_large_configuration_is_in_force_in_time_over_small_links(tmp_path):
    """Guards against a transfer that takes longer than a time limit, is given
    up and starts again, so that a large table never arrives."""
    with open_site(tmp_path) as site:
        asyncio.run(check_large_change(site))


async def check_unchanged_configuration(site):
    await site.start_store()
    await site.start_endpoint(1)
    await site.start_endpoint(2)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    # The first view may be stale and is confirmed by a second read.
    await asyncio.sleep(1)
    calls = site.store.calls_by_kind['config']
    for state in ('draining', 'ready', 'draining'):
        revision = site.store.revision
        site.write_entry(2, state)
        await wait_until(
            lambda state=state: (
                site.read_events(1)[-1]['event'] == f'endpoint_{state}'
            ),
            f'{state} after revision {revision}',
        )
    assert site.store.calls_by_kind['config'] == calls
    site.write_configuration(2)
    await wait_until(lambda: 2 in site.list_versions(1), 'version 2')


def test_unchanged_configuration_is_not_read_with_each_change(tmp_path):
    """Guards against a small link that is full because the routes are read
    again after every change of an endpoint."""
    with open_site(tmp_path) as site:
        asyncio.run(check_unchanged_configuration(site))


def build_large_table(version):
    """Return routes with names and addresses that differ."""
    return create_route_table(
        version,
        [
            Route(
                f'r-{number * 7919:x}',
                0xC6120000 + number % 700,
                FIRST_PORT + number,
                (ServiceShare('cuedesk'),),
                4.4,
                is_idempotent=number % 3 > 0,
                latency_goal_seconds=0.5 + number % 9 / 10,
                priority=number % 3,
            )
            for number in range(ROUTE_COUNT)
        ],
        ['cuedesk'],
    )


def test_one_holder_hands_a_large_configuration_on_in_time():
    """Guards against a small link that is full because every peer fetches the
    routes from the same balancer."""
    edge = build_edge()
    start_read(edge.reads, 0)
    handle_endpoints(edge, build_view(1), 0)
    handle_routes(edge, build_large_table(1), 0)
    encode_for_peer = create_view_encoder()
    sent_bytes = PEER_COUNT * len(
        encode_for_peer(create_view_for_peer(edge, 1, 0))
    )
    assert sent_bytes < HAND_ON_SECONDS * HOLDER_BYTES_PER_SECOND
