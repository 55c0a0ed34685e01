"""Demonstration of edge balancers with a stand-in for the platform.

One balancer is killed and one endpoint drains while flows are open. Each open
flow has to stay on its endpoint, and the draining endpoint must get no new
flows.
"""

import asyncio
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from balsamshed.commands.edges import edge_status
from testbed.checks import Check, write_line
from testbed.edge_site import (
    ACK,
    EdgeSite,
    build_packet,
    get_host,
    list_received,
    open_flow,
    open_site,
    wait_until,
)

BALANCER_COUNT: Final = 3
ENDPOINT_COUNT: Final = 3
FLOW_COUNT: Final = 12
#: Time after which a drain is in force on every balancer.
DRAIN_SECONDS: Final = 3.0

_KILLED_BALANCER: Final = 2
_DRAINED_ENDPOINT: Final = 1
_FIRST_FLOW: Final = 5000


def run_edge_checks() -> list[Check]:
    """Run the demonstration and return the results of its checks."""
    with TemporaryDirectory() as folder:
        with open_site(Path(folder)) as site:
            return asyncio.run(_run(site))


async def _run(site: EdgeSite) -> list[Check]:
    await _start(site)
    opened = await _open_flows(site, _FIRST_FLOW)
    kept = await _count_flows_kept_after_kill(site, opened)
    misplaced = await _count_flows_to_drained_endpoint(site)
    return [*_list_checks(kept, misplaced), await _compare_balancers(site)]


async def _start(site: EdgeSite) -> None:
    await site.start_store()
    for number in range(1, ENDPOINT_COUNT + 1):
        await site.start_endpoint(number)
    for number in range(1, BALANCER_COUNT + 1):
        await _start_balancer(site, number)
    write_line(f'{BALANCER_COUNT} edge balancers ready')


async def _open_flows(site: EdgeSite, first: int) -> dict[int, tuple[int, int]]:
    """Open flows and return the endpoint number and cookie of each."""
    return {
        flow: await open_flow(site, get_host(_choose_balancer(flow)), flow)
        for flow in range(first, first + FLOW_COUNT)
    }


async def _count_flows_to_drained_endpoint(site: EdgeSite) -> int:
    """Restart the killed balancer and open flows through all balancers."""
    await _start_balancer(site, _KILLED_BALANCER)
    opened = await _open_flows(site, _FIRST_FLOW + FLOW_COUNT)
    return sum(number == _DRAINED_ENDPOINT for number, _ in opened.values())


async def _compare_balancers(site: EdgeSite) -> Check:
    """Give the restarted balancer time to confirm its view, then compare."""
    await asyncio.sleep(1)
    address = f'{get_host(1)}:{site.metrics_port}'
    write_line(f'$ balsamshed edge-status {address}')
    loop = asyncio.get_running_loop()
    status = await loop.run_in_executor(None, edge_status, address)
    name = 'edge: balancers agree again'
    return Check(name, f'exit status {status}', not status)


async def _start_balancer(site: EdgeSite, number: int) -> None:
    host = site.start_balancer(number)
    await wait_until(lambda: site.is_ready(host), f'edge-{number} is ready')


def _choose_balancer(flow: int) -> int:
    return flow % BALANCER_COUNT + 1


async def _count_flows_kept_after_kill(
    site: EdgeSite,
    opened: dict[int, tuple[int, int]],
) -> int:
    """Send data of each flow through a balancer that did not open it.

    A balancer is killed and an endpoint drains first.
    """
    site.processes[_KILLED_BALANCER].kill()
    site.write_entry(_DRAINED_ENDPOINT, 'draining')
    write_line(
        f'killed edge-{_KILLED_BALANCER}; endpoint {_DRAINED_ENDPOINT} drains'
    )
    await asyncio.sleep(DRAIN_SECONDS)
    kept = 0
    for flow, (number, cookie) in opened.items():
        for endpoint in site.endpoints.values():
            endpoint.received.clear()
        other = (
            1 if _choose_balancer(flow) == BALANCER_COUNT else BALANCER_COUNT
        )
        site.send_packet(
            get_host(other), build_packet(ACK, flow, cookie, b'data')
        )
        await wait_until(partial(list_received, site), 'data')
        kept += {found for found, _, _ in list_received(site)} == {number}
    return kept


def _list_checks(kept: int, misplaced: int) -> Iterator[Check]:
    yield Check(
        'edge: flows kept', f'{kept} of {FLOW_COUNT}', kept == FLOW_COUNT
    )
    yield Check(
        'edge: new flows at the draining endpoint',
        f'{misplaced} of {FLOW_COUNT}',
        not misplaced,
    )
