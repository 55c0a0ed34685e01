"""Guards against a stand-in that differs from section 5.2 (object API)."""

import json
import time
from http.client import HTTPConnection, RemoteDisconnected

import pytest

from testbed.ports import reserve_ports
from testbed.processes import run_module, wait_for_port


@pytest.fixture(scope='module')
def platform_port():
    (port,) = reserve_ports(1)
    with run_module('testbed.platform', '--port', port):
        wait_for_port(port)
        yield port


@pytest.fixture
def call(platform_port):
    """Return a function for one call; the fixture resets all faults."""

    def call_platform(method, path, document=None, **headers):
        with open_call(
            platform_port, method, path, document, headers
        ) as pending:
            return pending.read()

    yield call_platform
    call_platform(
        'POST',
        '/faults',
        {
            'outage': False,
            'delay_ms': 0,
            'lose_write_responses': 0,
            'stale_reads': False,
            'silent_watches': False,
            'compacted': False,
        },
    )


class PendingCall:
    def __init__(self, connection):
        self.connection = connection

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.connection.close()

    def read(self):
        response = self.connection.getresponse()
        return response.status, json.loads(response.read())


def open_call(port, method, path, document=None, headers=None, timeout=5):
    connection = HTTPConnection('127.0.0.1', port, timeout=timeout)
    body = None if document is None else json.dumps(document)
    connection.request(method, path, body, headers or {})
    return PendingCall(connection)


def write(call, key, version, document):
    return call(
        'PUT', f'/v1/objects/{key}', document, **{'If-Match': str(version)}
    )


def test_conditional_writes(call):
    """Guards against operators that overwrite each other's changes (G8)."""
    code, created = write(call, 'w/service/a', 0, {'spec': 1})
    assert code == 200
    first = created['version']
    assert write(call, 'w/service/a', 0, {'spec': 2}) == (
        412,
        {'version': first},
    )
    code, updated = write(call, 'w/service/a', first, {'spec': 3})
    assert code == 200
    assert updated['version'] > first
    assert write(call, 'w/service/a', first, {'spec': 4})[0] == 412
    assert write(call, 'w/service/new', 7, {}) == (412, {'version': 0})
    assert call('GET', '/v1/objects/w/service/a') == (
        200,
        {
            'key': 'w/service/a',
            'version': updated['version'],
            'body': {'spec': 3},
        },
    )
    assert call('GET', '/v1/objects/w/service/none')[0] == 404
    assert call('PUT', '/v1/objects/w/service/a', {})[0] == 400
    too_long = {'spec': 'x' * 1_000_000}
    assert write(call, 'w/service/a', updated['version'], too_long)[0] == 413


def test_watch_answers_on_a_matching_write(call, platform_port):
    """Guards against a missed change, which would not come into force."""
    revision = call('GET', '/v1/objects?prefix=x/')[1]['revision']
    path = f'/v1/watch?prefix=x/&since={revision}&timeout_ms=4000'
    with open_call(platform_port, 'GET', path) as pending:
        write(call, 'y/service/a', 0, {})
        version = write(call, 'x/service/a', 0, {'spec': 1})[1]['version']
        code, changes = pending.read()
    assert code == 200
    assert changes['revision'] == version
    assert [entry['key'] for entry in changes['objects']] == ['x/service/a']
    # A change between the list and the watch is returned at once.
    assert call('GET', path)[1]['objects'] == changes['objects']


def test_watch_without_a_change_ends_with_an_empty_list(call):
    """Guards against watches without a timeout: clients need it to detect a
    silent watch."""
    revision = call('GET', '/v1/objects')[1]['revision']
    started = time.monotonic()
    code, changes = call('GET', f'/v1/watch?since={revision}&timeout_ms=200')
    assert (code, changes['objects']) == (200, [])
    assert 0.15 < time.monotonic() - started < 2


def test_lost_response_of_a_write_that_took_effect(call):
    """Guards against a fault that loses the write as well as its response:
    clients must find the new version when they read the object."""
    call('POST', '/faults', {'lose_write_responses': 1})
    with pytest.raises(RemoteDisconnected):
        write(call, 'l/service/a', 0, {'spec': 1})
    code, found = call('GET', '/v1/objects/l/service/a')
    assert (code, found['body']) == (200, {'spec': 1})
    assert write(call, 'l/service/a', found['version'], {})[0] == 200


def test_stale_reads_show_the_time_of_the_fault(call):
    """Guards against fresh reads while the stale_reads fault is set."""
    version = write(call, 's/service/a', 0, {'spec': 1})[1]['version']
    call('POST', '/faults', {'stale_reads': True})
    assert write(call, 's/service/a', version, {'spec': 2})[0] == 200
    assert call('GET', '/v1/objects/s/service/a')[1]['body'] == {'spec': 1}
    listed = call('GET', '/v1/objects?prefix=s/')[1]['objects']
    assert [entry['version'] for entry in listed] == [version]
    call('POST', '/faults', {'stale_reads': False})
    assert call('GET', '/v1/objects/s/service/a')[1]['body'] == {'spec': 2}


def test_silent_watch_stays_silent(call, platform_port):
    """Guards against silent watches that answer after all: they test that
    clients have a deadline of their own."""
    call('POST', '/faults', {'silent_watches': True})
    path = '/v1/watch?prefix=q/&since=0&timeout_ms=100'
    pending = open_call(platform_port, 'GET', path, timeout=0.5)
    write(call, 'q/service/a', 0, {})
    call('POST', '/faults', {'silent_watches': False})
    with pending, pytest.raises(TimeoutError):
        pending.read()
    assert call('GET', path)[1]['objects']


def test_outage_ends_pending_watches(call, platform_port):
    """Guards against calls that still work during an outage, other than the
    control calls."""
    revision = call('GET', '/v1/objects')[1]['revision']
    path = f'/v1/watch?since={revision}&timeout_ms=4000'
    with open_call(platform_port, 'GET', path) as pending:
        time.sleep(0.1)
        call('POST', '/faults', {'outage': True})
        assert pending.read()[0] == 503
    assert call('GET', '/v1/vms')[0] == 503
    assert call('GET', '/counters')[0] == 200


def test_delay_compaction_vms_and_counters(call):
    """Guards against control calls without effect."""
    vms = {'vms': [{'name': 'n1', 'data_centre': 'qc-1', 'leaving': False}]}
    assert call('PUT', '/vms', vms)[0] == 200
    before = call('GET', '/counters')[1].get('vms', 0)
    call('POST', '/faults', {'delay_ms': 150})
    started = time.monotonic()
    assert call('GET', '/v1/vms') == (200, vms)
    assert time.monotonic() - started >= 0.15
    assert call('GET', '/counters')[1]['vms'] == before + 1
    write(call, 'c/service/a', 0, {})
    call('POST', '/faults', {'delay_ms': 0, 'compacted': True})
    assert call('GET', '/v1/watch?since=0&timeout_ms=100')[0] == 410
    assert call('POST', '/faults', {'outrage': True})[0] == 400
