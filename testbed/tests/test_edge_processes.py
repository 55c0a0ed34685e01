"""Edge balancers as real processes against the project's own stand-ins."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path
from struct import pack, unpack_from

import pytest

from balsamshed.logs.lines import parse_line
from testbed.metadata_store import MetadataStore, put_object, serve_store

CALLER = '127.0.0.1'
SERVICE = '198.51.100.1'
PORT = 443
SYN, ACK, RST = 32, 128, 2
WAIT_SECONDS = 8


def build_packet(flags, flow, echo=0, data=b'', acknowledged=0):
    """Return a caller's packet."""
    return (
        pack('<IB5xI', 1, flags, echo)
        + socket.inet_aton(SERVICE)[::-1]
        + pack('<HH', flow, PORT)
        + socket.inet_aton(CALLER)[::-1]
        + pack('<IIH', 5, acknowledged, len(data))
        + data
    )


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint that notes what reaches it."""

    def __init__(self):
        self.received = []

    def datagram_received(self, data, addr):
        """Note a datagram."""
        self.received.append(data)


class Site:
    """Store, endpoints and balancers of one test."""

    def __init__(self, folder):
        self.folder = folder
        self.store = MetadataStore(page_size=2)
        self.endpoints = {}
        self.processes = {}
        self.settings = {}
        self.servers = []
        self.ports = iter(find_ports(40))
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.packet_port = next(self.ports)
        self.peer_port = next(self.ports)
        self.store_port = next(self.ports)
        self.metrics_port = next(self.ports)

    async def start_store(self):
        """Start the store, with a configuration."""
        loop = asyncio.get_running_loop()
        self.configure(1)
        server = await serve_store(
            self.store, loop, '127.0.0.1', self.store_port
        )
        self.servers.append(server)

    def configure(self, version):
        """Write a configuration with one route."""
        route = {
            'name': 'r1',
            'host': SERVICE,
            'pathPrefix': f'/{PORT}/',
            'service': 'web',
            'timeoutMs': 1000,
        }
        spec = {
            'version': version,
            'routes': [route],
            'services': [{'name': 'web'}],
        }
        put_object(self.store, 'config', 'main', spec)

    async def start_endpoint(self, number):
        """Start an endpoint and write its entry."""
        port = next(self.ports)
        _, endpoint = await asyncio.get_running_loop().create_datagram_endpoint(
            Endpoint, local_addr=('127.0.0.1', port)
        )
        self.endpoints[number] = endpoint
        endpoint.port = port
        self.write_entry(number)

    def write_entry(self, number, state='ready'):
        """Write an endpoint's entry."""
        spec = {
            'service': 'web',
            'address': f'127.0.0.1:{self.endpoints[number].port}',
            'zone': 'a',
            'version': 'v1',
            'maxConcurrency': 2,
            'state': state,
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': 1700000000000,
        }
        put_object(self.store, 'servers', f'i-{number:x}', spec)

    def start_balancer(self, number):
        """Start a balancer at an address of its own."""
        host = f'127.0.0.{10 + number}'
        settings = {
            'name': f'edge-{number}',
            'data_centre': 'a',
            'packets': f'{host}:{self.packet_port}',
            'ready': f'{host}:{self.packet_port}',
            'store': f'127.0.0.1:{self.store_port}',
            'metrics': f'{host}:{self.metrics_port}',
            'peer_ports': [self.peer_port, self.peer_port],
            'seeds': [f'127.0.0.11:{self.peer_port}'],
            'flow_lifetime_seconds': 60,
            'grace_seconds': 6,
        }
        file = self.folder / f'edge-{number}.json'
        file.write_text(json.dumps(settings))
        with (self.folder / f'edge-{number}.log').open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', 'balsamshed', 'edge'],
                env={**os.environ, 'BALSAMSHED_BOOT': str(file)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.processes[number] = process
        return host

    def read_events(self, number):
        """Return the events in a balancer's log."""
        text = (self.folder / f'edge-{number}.log').read_text()
        return [parse_line(line) for line in text.splitlines()]

    def send(self, host, packet):
        """Send a packet through a balancer."""
        self.caller.sendto(packet, (host, self.packet_port))

    async def is_ready(self, host):
        """Ask a balancer whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                host, self.packet_port
            )
        except OSError:
            return False
        writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        return b' 200 ' in line


@contextmanager
def open_site(folder):
    """Yield a site, and end everything that it started."""
    site = Site(Path(folder))
    try:
        yield site
    finally:
        for process in site.processes.values():
            process.kill()
            process.wait()
        site.caller.close()


def find_ports(count):
    """Return ports that nothing uses at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


async def wait_until(is_met, what):
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        outcome = is_met()
        if asyncio.iscoroutine(outcome):
            outcome = await outcome
        if outcome:
            return
        await asyncio.sleep(0.05)
    pytest.fail(f'not within {WAIT_SECONDS} s: {what}')


def collect(site):
    """Return endpoint number and cookie of the last datagrams."""
    return [
        (number, unpack_from('<I', datagram, 18)[0], datagram)
        for number, endpoint in site.endpoints.items()
        for datagram in endpoint.received
    ]


async def open_flow(site, host, flow):
    """Open a flow and return its endpoint's number and its cookie."""
    for endpoint in site.endpoints.values():
        endpoint.received.clear()
    site.send(host, build_packet(SYN, flow))
    await wait_until(lambda: collect(site), 'an opening packet')
    ((number, cookie, _),) = collect(site)
    return number, cookie


async def check_whole_path(site):
    await site.start_store()
    for number in (1, 2, 3):
        await site.start_endpoint(number)
    first = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(first), 'ready')
    number, cookie = await open_flow(site, first, 5000)
    second = site.start_balancer(2)
    await wait_until(lambda: site.is_ready(second), 'second ready')
    site.endpoints[number].received.clear()
    # Another balancer, which has not seen the flow, knows its endpoint.
    site.send(second, build_packet(ACK, 5000, cookie, b'request'))
    await wait_until(lambda: collect(site), 'data')
    ((found, _, datagram),) = collect(site)
    assert found == number
    assert int.from_bytes(datagram[:8], 'big') == number
    assert datagram.endswith(b'request')


def test_flow_opened_through_one_balancer_goes_on_through_another(tmp_path):
    """Guards against flows that break when the routers move them."""
    with open_site(tmp_path) as site:
        asyncio.run(check_whole_path(site))


async def check_drain(site):
    await site.start_store()
    for number in (1, 2):
        await site.start_endpoint(number)
    hosts = [site.start_balancer(number) for number in (1, 2, 3)]
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    await asyncio.sleep(1)
    calls = site.store.calls
    await asyncio.sleep(3)
    # One of three reads once in 0.8 s; sixteen calls would be all of them.
    assert site.store.calls - calls <= 6
    site.write_entry(1, 'draining')
    await asyncio.sleep(3)
    for flow, host in enumerate(hosts * 4, start=6000):
        number, _ = await open_flow(site, host, flow)
        assert number == 2


def test_drain_reaches_every_balancer_through_one_reader(tmp_path):
    """Guards against new flows to a leaving endpoint, and too many calls."""
    with open_site(tmp_path) as site:
        asyncio.run(check_drain(site))


async def check_outage(site):
    await site.start_store()
    await site.start_endpoint(1)
    first = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(first), 'ready')
    site.store.status = 503
    await asyncio.sleep(2)
    # One that starts during the outage learns the view from its peer.
    second = site.start_balancer(2)
    await wait_until(lambda: site.is_ready(second), 'ready without a store')
    assert (await open_flow(site, second, 7000))[0] == 1
    names = [event['event'] for event in site.read_events(1)]
    assert names.count('store_lost') == 1
    site.store.status = 200
    await wait_until(
        lambda: any(
            event['event'] == 'store_regained' for event in site.read_events(1)
        ),
        'contact regained',
    )


def test_balancer_starts_from_its_peers_while_the_store_is_down(tmp_path):
    """Guards against a restart that waits for the store."""
    with open_site(tmp_path) as site:
        asyncio.run(check_outage(site))


async def check_stop(site):
    await site.start_store()
    await site.start_endpoint(1)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    _, cookie = await open_flow(site, host, 8000)
    process = site.processes[1]
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    await wait_until(
        lambda: any(
            event['event'] == 'leaving' for event in site.read_events(1)
        ),
        'leaving',
    )
    assert not await site.is_ready(host)
    site.endpoints[1].received.clear()
    site.send(host, build_packet(ACK, 8000, cookie, b'late'))
    await wait_until(lambda: collect(site), 'a packet after SIGTERM')
    await wait_until(lambda: process.poll() is not None, 'the end')
    assert process.returncode == 0
    assert site.read_events(1)[-1]['event'] == 'stopped'


def test_planned_stop_forwards_until_the_routers_know(tmp_path):
    """Guards against packets lost by a planned stop."""
    with open_site(tmp_path) as site:
        asyncio.run(check_stop(site))


def test_wrong_settings_are_reported_together(tmp_path):
    """Guards against a traceback in place of findings."""
    file = tmp_path / 'settings.json'
    file.write_text('{"name": "x", "ready": "y"}')
    done = subprocess.run(
        [sys.executable, '-m', 'balsamshed', 'edge'],
        env={**os.environ, 'BALSAMSHED_BOOT': str(file)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2
    assert '$.ready' in done.stderr
    assert '$.store' in done.stderr


async def fetch_metrics(site, host):
    reader, writer = await asyncio.open_connection(host, site.metrics_port)
    writer.write(b'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n')
    text = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    return text


async def check_explanations(site):
    await site.start_store()
    await site.start_endpoint(1)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    _, cookie = await open_flow(site, host, 9000)
    site.send(host, build_packet(SYN, 9000, acknowledged=1))
    site.send(host, build_packet(ACK, 9000, cookie ^ 1, b'x'))
    site.send(host, b'short')

    def list_names():
        return [event['event'] for event in site.read_events(1)]

    await wait_until(lambda: 'packet_dropped' in list_names(), 'a line')
    events = {event['event']: event for event in site.read_events(1)}
    opened = events['opening_forwarded']
    assert opened['flow'] == f'{CALLER}:9000>{SERVICE}:{PORT}'
    assert opened['endpoint'] == '1'
    assert opened['version'] == '1'
    assert float(opened['age_seconds']) < 2
    assert events['packet_dropped']['reason'] == 'unknown_cookie'
    text = await fetch_metrics(site, host)
    assert 'balsamshed_edge_events_total{event="malformed_too_short"} 1' in text
    assert 'balsamshed_edge_state{name="is_ready"} 1' in text
    assert 'balsamshed_edge_duration_seconds_bucket' in text
    second = await fetch_metrics(site, host)
    assert 'balsamshed_edge_state{name="endpoints_ready"} 1' in second


def test_logs_and_metrics_explain_what_happened(tmp_path):
    """Guards against a failed request that nobody can explain."""
    with open_site(tmp_path) as site:
        asyncio.run(check_explanations(site))
