"""Open flows beside endpoints whose IDs could lead to one cookie."""

import asyncio

from balsamshed.endpoints.endpoint import derive_cookie, derive_former_cookie
from testbed.edge_site import (
    ACK,
    build_packet,
    list_received,
    open_flow,
    open_site,
    wait_until,
)
from testbed.metadata_store import delete_object

#: IDs of a host number and a start number: the second start on host 1, and the
#: first one on host 2.
SUCCESSOR = 1 << 32 | 2
OTHER = 2 << 32 | 1
#: IDs that lead to one cookie, found by inverting `derive_cookie`.
LOWER = 0x1ACB3E007675A2AE
HIGHER = 0x40322E4376F7908A
FLOW_COUNT = 12


async def start_site(site, *instances):
    """Start endpoints, and two balancers that know them."""
    await site.start_store()
    for instance in instances:
        await site.start_endpoint(instance)
    hosts = [site.start_balancer(number) for number in (1, 2)]
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    return hosts


async def wait_for_change(site, kind, instance):
    """Wait until both balancers have logged a change of an endpoint."""

    def is_logged(number):
        return any(
            event['event'] == f'endpoint_{kind}'
            and event['endpoint'] == f'{instance:x}'
            for event in site.read_events(number)
        )

    for number in (1, 2):
        await wait_until(
            lambda number=number: is_logged(number), f'{kind} {instance:x}'
        )


async def check_packets_reach(site, hosts, instance, flow, cookie):
    """Check that packets of an open flow reach one endpoint and no other."""
    for host in hosts:
        for endpoint in site.endpoints.values():
            endpoint.received.clear()
        site.send_packet(host, build_packet(ACK, flow, cookie, b'request'))
        await wait_until(lambda: list_received(site), 'data at an endpoint')
        assert [found for found, _, _ in list_received(site)] == [instance]


async def check_numbered_ids(site):
    assert derive_former_cookie(SUCCESSOR) == derive_former_cookie(OTHER)
    hosts = await start_site(site, OTHER)
    _, cookie = await open_flow(site, hosts[0], 5000)
    await site.start_endpoint(SUCCESSOR)
    await wait_for_change(site, 'added', SUCCESSOR)
    await check_packets_reach(site, hosts, OTHER, 5000, cookie)
    opened = {
        (await open_flow(site, hosts[number % 2], 5100 + number))[0]
        for number in range(FLOW_COUNT)
    }
    assert opened == {OTHER, SUCCESSOR}


def test_endpoint_with_a_numbered_id_takes_new_flows_but_no_open_ones(tmp_path):
    """Guards against the successor of one endpoint that takes the open flows of
    another one, or gets no flows, since both IDs lead to one cookie."""
    with open_site(tmp_path) as site:
        asyncio.run(check_numbered_ids(site))


async def check_shared_cookie(site):
    assert derive_cookie(LOWER) == derive_cookie(HIGHER)
    hosts = await start_site(site, HIGHER)
    _, cookie = await open_flow(site, hosts[0], 5000)
    await site.start_endpoint(LOWER)
    await wait_for_change(site, 'added', LOWER)
    await check_packets_reach(site, hosts, HIGHER, 5000, cookie)
    number, _ = await open_flow(site, hosts[1], 5001)
    assert number == HIGHER
    delete_object(site.store, 'servers', f'i-{HIGHER:x}')
    await wait_for_change(site, 'removed', HIGHER)
    await check_packets_reach(site, hosts, HIGHER, 5000, cookie)


def test_endpoint_that_shares_a_cookie_takes_no_open_flows(tmp_path):
    """Guards against a new endpoint that takes the open flows of an older one,
    since its ID leads to the same cookie and is lower, or the entry of the
    older one has expired."""
    with open_site(tmp_path) as site:
        asyncio.run(check_shared_cookie(site))
