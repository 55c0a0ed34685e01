"""Demonstration of edge balancers, against the stand-in of a platform.

A balancer is killed and an endpoint drains while flows are open. Every flow
has to stay at its endpoint, and the draining one must get no new flows.
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
    Site,
    build_packet,
    collect,
    get_host,
    open_flow,
    open_site,
    wait_until,
)

BALANCERS: Final = 3
ENDPOINTS: Final = 3
FLOWS: Final = 12
#: A drain is in force everywhere after this time.
DRAIN_SECONDS: Final = 3.0

_KILLED: Final = 2
_DRAINED: Final = 1
_FIRST_FLOW: Final = 5000


def list_edge_checks() -> list[Check]:
    """Run the demonstration and return what was found."""
    with TemporaryDirectory() as folder:
        with open_site(Path(folder)) as site:
            return asyncio.run(_run(site))


async def _run(site: Site) -> list[Check]:
    await _start(site)
    opened = await _open_flows(site, _FIRST_FLOW)
    kept = await _count_kept_without_one(site, opened)
    late = await _count_late(site)
    return [*_list_checks(kept, late), await _compare_balancers(site)]


async def _start(site: Site) -> None:
    await site.start_store()
    for number in range(1, ENDPOINTS + 1):
        await site.start_endpoint(number)
    for number in range(1, BALANCERS + 1):
        await _start_balancer(site, number)
    write_line(f'{BALANCERS} edge balancers ready')


async def _open_flows(site: Site, first: int) -> dict[int, tuple[int, int]]:
    """Open flows, and return the endpoint's number and the cookie of each."""
    return {
        flow: await open_flow(site, get_host(_choose(flow)), flow)
        for flow in range(first, first + FLOWS)
    }


async def _count_late(site: Site) -> int:
    """Start the killed balancer again, and open flows through all of them."""
    await _start_balancer(site, _KILLED)
    opened = await _open_flows(site, _FIRST_FLOW + FLOWS)
    return sum(number == _DRAINED for number, _ in opened.values())


async def _compare_balancers(site: Site) -> Check:
    """Let the view of a new balancer be confirmed, then compare them all."""
    await asyncio.sleep(1)
    address = f'{get_host(1)}:{site.metrics_port}'
    write_line(f'$ balsamshed edge-status {address}')
    loop = asyncio.get_running_loop()
    status = await loop.run_in_executor(None, edge_status, address)
    name = 'edge: balancers agree again'
    return Check(name, f'exit status {status}', not status)


async def _start_balancer(site: Site, number: int) -> None:
    host = site.start_balancer(number)
    await wait_until(lambda: site.is_ready(host), f'edge-{number} is ready')


def _choose(flow: int) -> int:
    return flow % BALANCERS + 1


async def _count_kept_without_one(
    site: Site,
    opened: dict[int, tuple[int, int]],
) -> int:
    """Send data of each flow through a balancer that has not seen it."""
    site.processes[_KILLED].kill()
    site.write_entry(_DRAINED, 'draining')
    write_line(f'killed edge-{_KILLED}; endpoint {_DRAINED} drains')
    await asyncio.sleep(DRAIN_SECONDS)
    kept = 0
    for flow, (number, cookie) in opened.items():
        for endpoint in site.endpoints.values():
            endpoint.received.clear()
        other = 1 if _choose(flow) == BALANCERS else BALANCERS
        site.send(get_host(other), build_packet(ACK, flow, cookie, b'data'))
        await wait_until(partial(collect, site), 'data')
        kept += {found for found, _, _ in collect(site)} == {number}
    return kept


def _list_checks(kept: int, late: int) -> Iterator[Check]:
    yield Check('edge: flows kept', f'{kept} of {FLOWS}', kept == FLOWS)
    yield Check(
        'edge: new flows at the draining endpoint',
        f'{late} of {FLOWS}',
        not late,
    )
