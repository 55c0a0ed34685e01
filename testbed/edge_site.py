"""Edge balancers in processes of their own, for tests.

The metadata store, the endpoints and the callers run in the process of the
test.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from struct import pack, unpack_from
from typing import Any, Final

from balsamshed.logs.lines import parse_line
from testbed.metadata_store import MetadataStore, put_object, serve_store
from testbed.ports import reserve_ports

CALLER_HOST: Final = '127.0.0.1'
SERVICE_HOST: Final = '198.51.100.1'
SERVICE_PORT: Final = 443
SYN: Final = 32
ACK: Final = 128
FIN: Final = 1
#: Timeout of `wait_until`.
WAIT_TIMEOUT_SECONDS: Final = 8
#: Unix milliseconds after which the endpoints start.
FIRST_START_MS: Final = 1_700_000_000_000

_PORTS_PER_SITE: Final = 60
_COOKIE_OFFSET: Final = 18


def build_packet(
    flags: int,
    flow: int,
    cookie: int = 0,
    data: bytes = b'',
    acknowledged: int = 0,
    port: int = SERVICE_PORT,
) -> bytes:
    """Encode a packet of a caller; ``flow`` is the caller's port."""
    return (
        pack('<IB5xI', 1, flags, cookie)
        + _pack_address(SERVICE_HOST)
        + pack('<HH', flow, port)
        + _pack_address(CALLER_HOST)
        + pack('<IIH', 5, acknowledged, len(data))
        + data
    )


def _pack_address(host: str) -> bytes:
    return bytes(reversed(socket.inet_aton(host)))


class RecordingEndpoint(asyncio.DatagramProtocol):
    """Endpoint that records the datagrams it receives.

    Parameters
    ----------
    port : int
        UDP port of the endpoint.
    """

    def __init__(self, port: int) -> None:
        """Create an endpoint that has received nothing."""
        self.port = port
        self.received: list[bytes] = []
        self.handle_datagram: Callable[[bytes], None] = self.received.append

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the current handler."""
        self.handle_datagram(data)


class EdgeSite:
    """The metadata store, endpoints and balancers of one test.

    Parameters
    ----------
    folder : Path
        Folder for the settings and logs of the balancers.
    """

    def __init__(self, folder: Path) -> None:
        """Reserve the ports, without starting anything."""
        self.folder = folder
        self.store = MetadataStore(page_size=2)
        self.endpoints: dict[int, RecordingEndpoint] = {}
        #: Start of each endpoint in Unix milliseconds.
        self.started_at_ms: dict[int, int] = {}
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.free_ports = iter(reserve_ports(_PORTS_PER_SITE))
        self.packet_port = next(self.free_ports)
        self.peer_port = next(self.free_ports)
        self.store_port = next(self.free_ports)
        self.metrics_port = next(self.free_ports)
        #: Options in the settings of the balancers that start next.
        self.options: dict[str, Any] = {}
        #: Ports of the proxies through which balancers reach the store.
        self.store_ports: dict[int, int] = {}
        # All callers share this port, which also receives the resets.
        self.caller_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.caller_socket.bind((CALLER_HOST, self.packet_port))
        self.caller_socket.setblocking(False)

    async def start_store(self) -> None:
        """Start the store with version 1 of the configuration."""
        self.write_configuration(1)
        await serve_store(
            self.store,
            asyncio.get_running_loop(),
            '127.0.0.1',
            self.store_port,
        )

    def write_configuration(
        self, version: int, *more_ports: int, service: str = 'web'
    ) -> None:
        """Write a configuration with one route per port.

        The service port always has a route; ``more_ports`` get one each. All
        of them send new flows to ``service``.
        """
        routes = [
            {
                'name': f'r{port}',
                'host': SERVICE_HOST,
                'pathPrefix': f'/{port}/',
                'service': service,
                'timeoutMs': 1000,
            }
            for port in (SERVICE_PORT, *more_ports)
        ]
        spec = {
            'version': version,
            'routes': routes,
            'services': [{'name': service}],
        }
        put_object(self.store, 'config', 'main', spec)

    async def start_endpoint(
        self, number: int, service: str = 'web', data_centre: str = 'a'
    ) -> None:
        """Start an endpoint and write its entry to the store.

        Each endpoint starts a second after the one before.
        """
        port = next(self.free_ports)
        endpoint = RecordingEndpoint(port)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: endpoint,
            local_addr=('127.0.0.1', port),
        )
        self.endpoints[number] = endpoint
        self.started_at_ms[number] = FIRST_START_MS + 1000 * len(self.endpoints)
        self.write_entry(number, service=service, data_centre=data_centre)

    def write_entry(
        self,
        number: int,
        state: str = 'ready',
        sequence: int = 1,
        service: str = 'web',
        data_centre: str = 'a',
    ) -> None:
        """Write an endpoint's entry to the store."""
        spec = {
            'service': service,
            'address': f'127.0.0.1:{self.endpoints[number].port}',
            'zone': data_centre,
            'version': 'v1',
            'maxConcurrency': 2,
            'state': state,
            'warmupLeftMs': 0,
            'sequence': sequence,
            'born': self.started_at_ms[number],
        }
        put_object(self.store, 'servers', f'i-{number:x}', spec)

    def start_balancer(self, number: int) -> str:
        """Start a balancer process and return its host."""
        host = get_host(number)
        store_port = self.store_ports.get(number, self.store_port)
        settings = {
            'name': f'edge-{number}',
            'data_centre': 'a',
            'packets': f'{host}:{self.packet_port}',
            'ready': f'{host}:{self.packet_port}',
            'store': f'127.0.0.1:{store_port}',
            'metrics': f'{host}:{self.metrics_port}',
            'peer_ports': [self.peer_port, self.peer_port],
            'seeds': [f'{get_host(1)}:{self.peer_port}'],
            'flow_lifetime_seconds': 60,
            'grace_seconds': 6,
            'options': self.options,
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

    def read_events(self, number: int) -> list[dict[str, str]]:
        """Return the events that a balancer has logged."""
        text = (self.folder / f'edge-{number}.log').read_text()
        return [parse_line(line) for line in text.splitlines()]

    def list_versions(self, number: int) -> list[int]:
        """Return the versions that a balancer has put in force."""
        return [
            int(event['version'])
            for event in self.read_events(number)
            if event['event'] == 'routes_changed'
        ]

    def send_packet(self, host: str, packet: bytes) -> None:
        """Send a packet from the callers' port to a balancer."""
        self.caller_socket.sendto(packet, (host, self.packet_port))

    async def is_ready(self, host: str) -> bool:
        """Return whether a balancer reports that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                host,
                self.packet_port,
            )
        except OSError:
            return False
        writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            line = await asyncio.wait_for(reader.readline(), 1)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line


@contextmanager
def open_site(folder: Path) -> Iterator[EdgeSite]:
    """Yield a site, then end its processes, each by its process ID."""
    site = EdgeSite(folder)
    try:
        yield site
    finally:
        for process in site.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        site.caller_socket.close()


def get_host(number: int) -> str:
    """Return the IPv4 address of a balancer."""
    return f'127.0.0.{10 + number}'


def get_cookie(datagram: bytes) -> int:
    """Decode the cookie of a datagram that an endpoint received."""
    return int(unpack_from('<I', datagram, _COOKIE_OFFSET)[0])


async def wait_until(is_met: Callable[[], Any], description: str) -> None:
    """Wait until a condition holds.

    Parameters
    ----------
    is_met : callable
        Function or coroutine function that evaluates the condition.
    description : str
        Condition in words, for the error message.

    Raises
    ------
    AssertionError
        If the condition does not hold within `WAIT_TIMEOUT_SECONDS`.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        outcome = is_met()
        if asyncio.iscoroutine(outcome):
            outcome = await outcome
        if outcome:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f'not within {WAIT_TIMEOUT_SECONDS} s: {description}')


def list_received(site: EdgeSite) -> list[tuple[int, int, bytes]]:
    """Return endpoint number, cookie and bytes of each received datagram."""
    return [
        (number, get_cookie(datagram), datagram)
        for number, endpoint in site.endpoints.items()
        for datagram in endpoint.received
    ]


async def open_flow(site: EdgeSite, host: str, flow: int) -> tuple[int, int]:
    """Open a flow and return its endpoint's number and its cookie.

    Clears the datagrams that the endpoints have recorded.
    """
    for endpoint in site.endpoints.values():
        endpoint.received.clear()
    site.send_packet(host, build_packet(SYN, flow))
    await wait_until(
        lambda: list_received(site), 'an opening packet at an endpoint'
    )
    received = list_received(site)
    assert len(received) == 1, received
    return received[0][:2]
