"""Edge balancer processes beside odd entries that another writer has left."""

import asyncio
import json

import pytest

from testbed.edge_site import open_flow, open_site, wait_until
from testbed.metadata_store import put_object

#: Bound for a drain and for a change of routes, in seconds.
BOUND_SECONDS = 3
KINDS = ('servers', 'config', 'evacuations', 'balsamshed')
#: The bytes of an entry, by what is odd.
ODD_ENTRIES = {
    'bytes': b'\xff\xfe\xfd\xfc\xfb\xfa\xf9\xf8\xe9\xe8\xe7\xe6\xe5\xe4\xe3',
    'string': b'"receipt \xe9t\xe9"',
    'digits': b'7' * 6000,
    'nesting': b'[' * 5000 + b']' * 5000,
    'quote': b'{"zone":"a}',
    'number': b'{"sequence":1e999,"warmupLeftMs":-1e999,"born":%s}'
    % (b'7' * 40),
    'port': json.dumps(
        {
            'service': 'web',
            'address': '127.0.0.1:70000',
            'zone': 'a',
            'version': 'v1',
            'maxConcurrency': 2,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': 1700000000000,
        }
    ).encode(),
}


def write_odd_entries(site, odd):
    """Write odd entries whose names stand before, among and behind others."""
    for kind in KINDS:
        for number, spec in enumerate(odd.values()):
            for name in (f'backup-{number}', f'i-1{number:x}', f'z-{number}'):
                put_object(site.store, kind, name, spec)


async def check_changes_apply(site, odd, page_size):
    site.store.page_size = page_size
    await site.start_store()
    for number in (1, 2):
        await site.start_endpoint(number)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    write_odd_entries(site, odd)
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
        asyncio.run(check_changes_apply(site, ODD_ENTRIES, page_size))
