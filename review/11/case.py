"""One unreadable entry of another writer: a piece of a larger JSON document."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins_3'))

from deployment import run_case  # noqa: E402

SERVICE = ('creneau', 'safe')
ROUTE = ('127.198.0.1', 443)
#: Size of the entry; the store takes objects of 1,048,576 bytes.
ENTRY_BYTES = 1_000_000
#: Time from the entry to the requests that are counted, and their time.
SETTLING_S = 6
WATCHED_S = 20
BEFORE_S = 15
#: Final fault: time for which all processes are down, and `recoveryS`.
DOWN_S = 1.2
RECOVERY_S = 12
#: Share that has to be served before and after the final fault.
LEAST_SERVED = 0.25
DEADLINE_S = 3.0
CLIENTS = 6


def cut_document():
    """Return a piece of a document, as a tool cuts it that stores it in parts.

    The document lists the readings of each laundry room. The piece begins with
    the name of a room.
    """
    readings = [reading % 10 for reading in range(ENTRY_BYTES)]
    document = json.dumps(
        [{'room': 'Buanderie Été'}, *readings],
        ensure_ascii=False,
        separators=(',', ':'),
    ).encode()
    start = document.index(b'"Buanderie')
    return document[start : start + ENTRY_BYTES]


async def send_requests(client, until, outcomes):
    """Send requests, each on a flow of its own."""
    while time.monotonic() < until:
        sent_at = time.monotonic()
        flow = client.create_flow(ROUTE)
        outcome = await flow.open()
        if outcome == 'open':
            rest = sent_at + DEADLINE_S - time.monotonic()
            outcome = await flow.request(b'%d' % flow.sport, rest)
        flow.close()
        outcomes.append((sent_at, outcome))
        await asyncio.sleep(0.1)


async def watch(site, clients, seconds, phase):
    """Send requests for a time, and return the share that is served."""
    outcomes = []
    until = time.monotonic() + seconds
    await asyncio.gather(
        *(send_requests(client, until, outcomes) for client in clients)
    )
    counts = {}
    for sent_at, outcome in outcomes:
        counts[outcome] = counts.get(outcome, 0) + 1
        at = sent_at - site.started_at
        site.log('request', phase=phase, sent=f'{at:.3f}', outcome=outcome)
    site.log('total', phase=phase, **counts)
    print(phase, counts)
    return counts.get('answered', 0) / max(len(outcomes), 1)


async def kill_all(site):
    """Kill all balancers at once, and start them again."""
    for balancer in site.balancers:
        balancer.process.kill()
        balancer.process.wait()
        site.log('kill', balancer=balancer.name)
    await asyncio.sleep(DOWN_S)
    for balancer in site.balancers:
        await balancer.start()


async def play(site, has_trouble):
    """Play the case."""
    site.store.page_size = 500
    site.write_configuration({ROUTE: SERVICE})
    for zone in site.zones:
        for _ in range(2):
            await site.add_endpoint('creneau', zone)
    await site.start()
    clients = [await site.add_client() for _ in range(CLIENTS)]
    served_before = await watch(site, clients, BEFORE_S, 'before')
    if served_before < LEAST_SERVED:
        raise RuntimeError('too little was served before the entry')
    if has_trouble:
        site.store.put('servers', 'export-2', cut_document())
        site.log('entry', bytes=ENTRY_BYTES)
    await asyncio.sleep(SETTLING_S)
    if not await watch(site, clients, WATCHED_S, 'after'):
        site.broken('Fault', 'no request is served after the entry')
    await kill_all(site)
    await asyncio.sleep(RECOVERY_S)
    served = await watch(site, clients, WATCHED_S, 'recovered')
    if served < LEAST_SERVED:
        site.broken('RECOVER', f'{served:.0%} served after the final fault')


if __name__ == '__main__':
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(run_case(FOLDER / 'record.txt', play, has_trouble))
