"""Edge balancer processes beside odd entries that another writer has left."""

import asyncio

import pytest

from balsamshed.platform.tests.test_documents import SLOW_SPECS
from testbed.edge_site import (
    SYN,
    build_packet,
    open_flow,
    open_site,
    wait_until,
)
from testbed.metadata_store import put_object
from testbed.odd_entries import LISTED_KINDS, ODD_ENTRIES

#: Bound for a drain and for a change of routes, in seconds.
BOUND_SECONDS = 3
#: Memory of the smallest machines in use.
MEMORY_BYTES = 100 * 2**20
#: Largest object that the store takes.
MAX_OBJECT_BYTES = 1_048_576
LARGE_COUNT = 48
#: Deadline of the most urgent requests.
DEADLINE_SECONDS = 0.8


def write_odd_entries(site):
    """Write odd entries whose names stand before, among and behind others."""
    for kind in LISTED_KINDS:
        for number, spec in enumerate(ODD_ENTRIES.values()):
            for name in (f'backup-{number}', f'i-1{number:x}', f'z-{number}'):
                put_object(site.store, kind, name, spec)


async def check_changes_apply(site, page_size):
    site.store.page_size = page_size
    await site.start_store()
    for number in (1, 2):
        await site.start_endpoint(number)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    write_odd_entries(site)
    await asyncio.sleep(1)
    site.write_entry(1, 'draining')
    site.write_configuration(2, 8443)
    await asyncio.sleep(BOUND_SECONDS)
    assert site.list_versions(1) == [1, 2]
    for flow in range(6000, 6006):
        assert (await open_flow(site, host, flow))[0] == 2
    assert site.processes[1].poll() is None
    site.processes[1].kill()
    site.processes[1].wait()
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready again')
    assert (await open_flow(site, host, 6010))[0] == 2


@pytest.mark.parametrize('page_size', [1, 500])
def test_odd_entries_stop_no_drain_and_no_change_of_routes(tmp_path, page_size):
    """Guards against one entry of another writer, which can't be read or
    names no endpoint, that ends all reads of the store."""
    with open_site(tmp_path) as site:
        asyncio.run(check_changes_apply(site, page_size))


async def check_incomplete_entry(site):
    await site.start_store()
    await site.start_endpoint(1)
    await site.start_endpoint(2, service='next')
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    own = site.store.objects_by_kind['servers']['i-2']['spec']
    foreign = {**own, 'service': 'web', 'sequence': 1}
    del foreign['born']
    put_object(site.store, 'servers', 'i-2', foreign)
    await wait_until(
        lambda: any(
            event['event'] == 'entries_rejected'
            for event in site.read_events(1)
        ),
        'entry rejected',
    )
    for flow in range(6000, 6008):
        assert (await open_flow(site, host, flow))[0] == 1
    # The endpoint writes its entry again.
    site.write_entry(2, service='next', sequence=2)
    site.write_configuration(2, service='next')
    await wait_until(lambda: site.list_versions(1) == [1, 2], 'version 2')
    assert (await open_flow(site, host, 6010))[0] == 2


def test_entry_without_a_start_time_moves_no_endpoint(tmp_path):
    """Guards against flows to an endpoint of another service, under whose ID
    another writer has left an entry without a start time."""
    with open_site(tmp_path) as site:
        asyncio.run(check_incomplete_entry(site))


def read_peak_memory(pid):
    """Return the highest resident memory of a process so far, in bytes."""
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        fields = dict(line.split(':', 1) for line in status)
    kilobytes, _unit = fields['VmHWM'].split()
    return int(kilobytes) * 1024


async def check_memory(site, spec):
    site.store.page_size = 500
    await site.start_store()
    for number in (1, 2):
        await site.start_endpoint(number)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    for number in range(LARGE_COUNT):
        put_object(site.store, 'servers', f'backup-{number:02d}', spec)
    await wait_until(
        lambda: any(
            event['event'] == 'entries_rejected'
            and event['count'] == str(LARGE_COUNT)
            for event in site.read_events(1)
        ),
        'all large entries read',
    )
    assert site.processes[1].poll() is None
    assert read_peak_memory(site.processes[1].pid) < MEMORY_BYTES


@pytest.mark.parametrize(
    ('record', 'end'),
    [
        (b'{},', b'{}]}'),
        (b'{"id":12345,"guest":"name"},', b'{}]}'),
        (b'{"id":12345,"guest":"name"},', b'"\xe9"]}'),
    ],
    ids=['empty objects', 'records', 'records, not UTF-8'],
)
def test_large_entries_fit_into_the_memory_of_a_small_machine(
    tmp_path, record, end
):
    """Guards against large entries of another writer that take balancers over
    their memory limit at each read."""
    head = b'{"service":"web","zone":['
    count = (MAX_OBJECT_BYTES - len(head) - len(end)) // len(record)
    with open_site(tmp_path) as site:
        asyncio.run(check_memory(site, head + record * count + end))


async def check_packets_pass(site):
    site.store.page_size = 500
    await site.start_store()
    await site.start_endpoint(1)
    await site.start_endpoint(2, service='next')
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    for number, spec in enumerate(SLOW_SPECS.values()):
        put_object(site.store, 'servers', f'import-{number}', spec)
    loop = asyncio.get_running_loop()
    sent, delays = [], []

    def handle_datagram(_datagram):
        delays.append(loop.time() - sent[len(delays)])

    site.endpoints[1].handle_datagram = handle_datagram
    for flow in range(6000, 6080):
        if flow % 20 == 0:
            # Each change makes the balancer read the list again.
            state = 'draining' if flow % 40 else 'ready'
            site.write_entry(2, state, service='next')
        sent.append(loop.time())
        site.send_packet(host, build_packet(SYN, flow))
        await asyncio.sleep(0.05)
    await wait_until(lambda: len(delays) >= len(sent), 'all openings')
    assert max(delays) < DEADLINE_SECONDS
    rejected = [
        event['count']
        for event in site.read_events(1)
        if event['event'] == 'entries_rejected'
    ]
    assert rejected[-1] == str(len(SLOW_SPECS))


def test_large_entries_hold_up_no_packets(tmp_path):
    """Guards against an entry of another writer that takes seconds to read in
    the loop that forwards packets, so that nobody is served."""
    with open_site(tmp_path) as site:
        asyncio.run(check_packets_pass(site))
