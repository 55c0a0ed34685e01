"""A foreign entry that can't be read stands last on a page of the list."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins_2'))

from site_2 import BOUNDS, Site, run_case  # noqa: E402

STABLE_S = BOUNDS['stableWindowMs'] / 1000
DRAIN_S = BOUNDS['drainMs'] / 1000
CONFIG_S = BOUNDS['configApplyMs'] / 1000
MAIN, OLD, NEW = 443, 8080, 8443
#: Sorts before the names of endpoints, and fills a page of the list.
FOREIGN_NAME = 'backup-of-bookings'
FOREIGN = {
    # Text that is not UTF-8, as a string.
    'bytes': b'"' + b'receipt \xe9t\xe9 ' * 87_000 + b'"',
    # A number of more than a million digits.
    'number': b'7' * 1_040_000,
}


async def play(site: Site, trouble: bool) -> int:
    store, client, record = site.store, site.client, site.record
    leaving = await site.add_endpoint('web', 'a')
    for _ in range(3):
        await site.add_endpoint('web', 'a')
    site.write_config(1, {MAIN: 'web', OLD: 'web'})
    nodes = [site.start_balancer(number, 'a') for number in (1, 2, 3)]
    if not await site.wait_ready(nodes, 15):
        return 2
    await asyncio.sleep(STABLE_S + 1)
    for number, node in enumerate(nodes):
        for port in (MAIN, OLD):
            end = await client.request(
                node, (site.service_host, port), f'before-{number}-{port}'
            )
            if not end.startswith('served'):
                return 2
    if trouble:
        spec = FOREIGN[os.environ.get('FOREIGN', 'bytes')]
        store.put('servers', FOREIGN_NAME, spec)
        record.write(f'foreign entry of {len(spec)} bytes written')
    await asyncio.sleep(1)
    leaving.state = 'draining'
    drained_at = leaving.write_entry()
    record.write(f'draining acknowledged: {leaving.name}')
    changed_at = site.write_config(2, {MAIN: 'web', NEW: 'web'})
    record.write(f'version 2 acknowledged: {OLD} dropped, {NEW} added')
    await asyncio.sleep(max(DRAIN_S, CONFIG_S) + 0.5)
    broken: list[str] = []
    number = 0
    until = changed_at + max(DRAIN_S, CONFIG_S) + 6
    while time.monotonic() < until:
        node = nodes[number % len(nodes)]
        for port in (MAIN, OLD, NEW):
            request = f'after-{number}-{port}'
            sent_s = time.monotonic() - changed_at
            end = await client.request(node, (site.service_host, port), request)
            if port == NEW and end == 'reset':
                broken.append(f'CONFIG {request} refused after {sent_s:.1f} s')
            if port == OLD and request in site.runs:
                broken.append(f'CONFIG {request} run after {sent_s:.1f} s')
        number += 1
        await asyncio.sleep(0.05)
    for arrived_at, key in leaving.openings:
        after_s = arrived_at - drained_at
        if after_s > DRAIN_S:
            broken.append(
                f'DRAIN port {key[1]} reached it after {after_s:.1f} s'
            )
    if site.forged:
        broken.append('UNASKED')
    for line in broken:
        record.write(line)
    rules = sorted({line.split()[0] for line in broken})
    record.write(f'broken: {len(broken)} times, {" ".join(rules) or "none"}')
    # For information only, not judged: all balancers are restarted.
    for process in site.processes.values():
        process.kill()
        process.wait()
    for number in (1, 2, 3):
        site.start_balancer(number, 'a')
    is_ready = await site.wait_ready(nodes, BOUNDS['recoveryS'])
    record.write(f'ready within 12 s of a restart of all: {is_ready}')
    return 1 if broken else 0


if __name__ == '__main__':
    run_case(str(FOLDER), play)
