"""A small deployment: balancers as processes, routers, store and clients."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from standins.client import ClientHost, hash_flow
from standins.endpoint import Endpoint
from standins.links import Links, Machine
from standins.record import Record
from standins.store import Store, serve
from standins.waits import Waits

ROOT = Path(__file__).resolve().parents[2]
#: Figures of the small sites on the users' pages.
HEARTBEAT_SECONDS = 0.77
DRAIN_SECONDS = 3.0
CONFIG_SECONDS = 3.0
STABLE_SECONDS = 4.0
MAX_STRETCH_SECONDS = 12.0
FLOW_LIFETIME_SECONDS = 60
GRACE_SECONDS = 6
_PROBE_SECONDS = 0.5
_RESERVATION_PORT = 9464
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


class CannotRun(Exception):
    """The case could not be run, for a reason other than the rule."""


class Node:
    """One machine with a balancer."""

    def __init__(self, number: int, host: str, link: str, zone: str) -> None:
        """Create a machine without a process."""
        self.number = number
        self.host = host
        self.link = link
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.misses = 2

    def is_ready(self) -> bool:
        """Tell whether the node is in rotation."""
        return self.misses < 2


class Site:
    """Processes and stand-ins of one case."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Reserve ports and addresses, without starting anything."""
        self.folder = folder
        self.record = record
        self.store = Store()
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []
        self.subnet, self.reserved = _reserve_subnet()
        self.packet_port = _find_free_port(socket.SOCK_DGRAM)
        self.ready_port = _find_free_port(socket.SOCK_STREAM)
        self.control_port = _find_free_port(socket.SOCK_STREAM)
        self.peer_port = _find_free_port(socket.SOCK_STREAM)
        self.store_port = _find_free_port(socket.SOCK_STREAM)
        self.client: ClientHost | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.count = 0
        self.has_links = False
        self.waits = Waits()

    async def start_platform(self) -> None:
        """Start the address of the clients; machines start the store's."""
        self.client = ClientHost(
            self.record,
            f'{self.subnet}.4.1',
            self.packet_port,
            self.select_node,
            self.waits,
        )
        await self.client.start()

    def write_configuration(
        self,
        version: int,
        routes: dict[tuple[str, int], str],
    ) -> float:
        """Write a configuration; return the time of its acknowledgement."""
        listed = [
            describe_route(f'r-{host}-{port}', host, port, service)
            for (host, port), service in routes.items()
        ]
        spec = {
            'version': version,
            'routes': listed,
            'services': [
                {'name': service, 'healthPath': '/health'}
                for service in sorted(set(routes.values()))
            ],
            'limits': {'idleTimeoutMs': 12_000},
        }
        self.store.put('config', 'main', spec)
        return self.record.add('configuration_acknowledged', version=version)

    async def start_endpoint(self, identity: str, service: str) -> Endpoint:
        """Start an endpoint, which registers itself."""
        host = f'{self.subnet}.5.{len(self.endpoints) + 1}'
        endpoint = Endpoint(
            self.record,
            identity,
            service,
            host,
            self.packet_port,
            self.waits,
        )
        self.endpoints.append(endpoint)
        await endpoint.start(self.store, HEARTBEAT_SECONDS)
        return endpoint

    async def add_node(self, zone: str = 'zone-a') -> Node:
        """Add a machine and start its balancer."""
        number = len(self.nodes) + 1
        host = self.get_host(number)
        link = self.get_link(number) if self.has_links else host
        node = Node(number, host, link, zone)
        self.nodes.append(node)
        await serve(
            self.store,
            self.get_store_host(number),
            self.store_port,
            host,
            self.waits,
        )
        self.tasks.append(
            asyncio.get_running_loop().create_task(self._probe(node))
        )
        self.start_balancer(node)
        return node

    def get_host(self, number: int) -> str:
        """Return the address of a machine."""
        return f'{self.subnet}.{10 + number}.2'

    def get_store_host(self, number: int) -> str:
        """Return the address at which a machine reaches the store."""
        return f'{self.subnet}.3.{number}'

    def get_link(self, number: int) -> str:
        """Return the address of a machine's link."""
        return f'{self.subnet}.{10 + number}.1'

    async def start_links(self, count: int) -> None:
        """Let the machines reach each other through links."""
        self.has_links = True
        machines = [
            Machine(number, self.get_host(number), self.get_link(number))
            for number in range(1, count + 1)
        ]
        await Links(machines, self.peer_port, self.waits).start()

    def start_balancer(self, node: Node) -> None:
        """Start a balancer as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        dependencies = ROOT / 'target/deps'
        if not (dependencies / 'balsamshed').is_dir():
            raise CannotRun('run the build of deploy/system.toml first')
        template = (ROOT / role['template']).read_text()
        settings = self.folder / f'{node.host}.json'
        settings.write_text(_fill_in(template, self._list_settings(node)))
        with (self.folder / f'{node.host}.log').open('ab') as log:
            node.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', os.defpath),
                    'HOME': str(self.folder),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(dependencies),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BALSAMSHED_BOOT': str(settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.add('balancer_started', node=node.host)

    def select_node(
        self, flow: tuple[str, int, str, int]
    ) -> tuple[str, int] | None:
        """Return the node that the routers send a packet to."""
        ready = [node for node in self.nodes if node.is_ready()]
        if 2 * len(ready) < len(self.nodes):
            ready = self.nodes
        if not ready:
            return None
        node = ready[hash_flow(flow) % len(ready)]
        return node.host, self.packet_port

    async def wait_until_ready(self, seconds: float = 10.0) -> None:
        """Wait until all nodes are in rotation."""
        for _ in range(int(seconds / 0.1)):
            if all(node.is_ready() for node in self.nodes):
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the balancers are not ready')

    async def send_request(self, listener: tuple[str, int]) -> str:
        """Send one request on a flow of its own; return how it ended."""
        if self.client is None:
            raise CannotRun('the platform is not started')
        self.count += 1
        flow = self.client.open(listener)
        outcome = await flow.request(f'q{self.count:05d}-{listener[1]}')
        flow.close()
        return outcome

    async def send_load(
        self, listener: tuple[str, int], per_second: float, seconds: float
    ) -> None:
        """Send requests at a constant rate, and wait for the last one."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        pending = []
        while loop.time() < ends_at:
            pending.append(loop.create_task(self.send_request(listener)))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*pending)

    def read_log(self, node: Node) -> str:
        """Return what a balancer has logged."""
        return (self.folder / f'{node.host}.log').read_text()

    def stop(self) -> None:
        """End all processes, each by its process ID."""
        self.reserved.close()
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            process = node.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def _list_settings(self, node: Node) -> dict[str, Any]:
        return {
            'nodeName': f'frontend-{node.host}',
            'zone': node.zone,
            'ip': node.host,
            'internalPorts': [self.peer_port, self.peer_port],
            'seeds': [f'{self.nodes[0].link}:{self.control_port}'],
            'listen': {
                'datagramAddr': f'{node.host}:{self.packet_port}',
                'ready': f'{node.host}:{self.ready_port}',
                'control': f'{node.host}:{self.control_port}',
            },
            'contractParams': {
                'flowTtlS': FLOW_LIFETIME_SECONDS,
                'graceS': GRACE_SECONDS,
            },
            'platform': {
                'address': (
                    f'{self.get_store_host(node.number)}:{self.store_port}'
                ),
            },
        }

    async def _probe(self, node: Node) -> None:
        while True:
            is_ready = await self._is_ready(node)
            was_ready = node.is_ready()
            node.misses = 0 if is_ready else node.misses + 1
            if was_ready != node.is_ready():
                self.record.add(
                    'rotation', node=node.host, is_ready=node.is_ready()
                )
            await asyncio.sleep(_PROBE_SECONDS)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                reader, writer = await asyncio.open_connection(
                    node.host, self.ready_port
                )
                try:
                    writer.write(
                        b'GET /v1/ready HTTP/1.1\r\nHost: node\r\n'
                        b'Connection: close\r\n\r\n'
                    )
                    return b' 200 ' in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False


@asynccontextmanager
async def open_site(record: Record) -> AsyncIterator[Site]:
    """Yield a site with its platform; end its processes on exit."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder), record)
        try:
            await site.start_platform()
            yield site
        finally:
            for node in site.nodes:
                record.events.extend(
                    (record.now(), f'log of {node.host}:', {'line': line})
                    for line in site.read_log(node).splitlines()
                    if 'event=opening_' not in line
                )
            site.stop()


def describe_route(
    name: str, host: str, port: int, service: str
) -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'host': host,
        'pathPrefix': f'/{port}/',
        'type': 'safe',
        'service': service,
        'timeoutMs': 1000,
        'latencyGoalMs': 150,
        'priority': 1,
        'maxAttempts': 2,
    }


def _fill_in(template: str, fields: dict[str, Any]) -> str:
    def replace(matched: re.Match[str]) -> str:
        value: Any = fields
        for key in matched[1].split('.'):
            value = value[key]
        return json.dumps(value) if matched[2] else str(value)

    return _PLACEHOLDER.sub(replace, template)


def _reserve_subnet() -> tuple[str, socket.socket]:
    """Return a part of the loopback range, and the socket that reserves it.

    Runs at the same time must not share it: the metrics have a fixed port.
    """
    for number in range(10, 210):
        subnet = f'127.{10 + (os.getpid() + number) % 200}'
        reserved = socket.socket()
        try:
            reserved.bind((f'{subnet}.250.1', _RESERVATION_PORT))
        except OSError:
            reserved.close()
        else:
            return subnet, reserved
    raise CannotRun('no part of the loopback range is free')


def _find_free_port(kind: int) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(('0.0.0.0', 0))
        return int(probe.getsockname()[1])
