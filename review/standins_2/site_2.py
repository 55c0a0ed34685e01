"""Stand-ins of the platform around balancers that run as real processes.

One asyncio loop holds the platform's store, the endpoints with their
heartbeats, the routers' readiness checks and a client. They speak what the
platform's protocol page says, over loopback addresses and the real clock.
Only the standard library is used.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from struct import Struct
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the small site `essoreuse`.
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'stableWindowMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4,
    'drainMs': 3000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 12000,
    'recoveryS': 12,
    'flowDisruptionMs': 2000,
    'flowTtlS': 60,
}
HEARTBEAT_S = 0.77
STORE_ANSWER_S = 0.004
#: A page of a list holds "about 500 or 1 MB at most".
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
#: `valueBytes`: most that an object may hold.
VALUE_BYTES = 1_048_576

SYN, ACK, FIN, RST, BOUNCED = 32, 128, 1, 2, 16
HEADER = Struct('<IB5sIIHHIIIH')
KEY = b'review-2'


@dataclass(frozen=True)
class Packet:
    flags: int
    echo: int
    dst: int
    sport: int
    dport: int
    src: int
    seq: int
    ack: int
    data: bytes = b''
    sum: int | None = None
    pad: bytes = bytes(5)

    def compute_sum(self) -> int:
        fields = (
            self.flags & ~BOUNCED,
            self.dst,
            self.sport,
            self.dport,
            self.src,
            self.seq,
            self.ack,
        )
        return zlib.crc32(KEY + repr(fields).encode() + self.data) or 1

    def encode(self) -> bytes:
        total = self.compute_sum() if self.sum is None else self.sum
        return (
            HEADER.pack(
                total,
                self.flags,
                self.pad,
                self.echo,
                self.dst,
                self.sport,
                self.dport,
                self.src,
                self.seq,
                self.ack,
                len(self.data),
            )
            + self.data
        )


def decode(datagram: bytes) -> Packet | None:
    if len(datagram) < HEADER.size:
        return None
    (total, flags, pad, echo, dst, sport, dport, src, seq, ack, length) = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size :]
    if len(data) != length:
        return None
    return Packet(
        flags, echo, dst, sport, dport, src, seq, ack, data, total, pad
    )


def to_number(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), 'big')


def to_host(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open('w', encoding='utf-8')

    def write(self, text: str) -> None:
        self.file.write(f'{time.monotonic() - self.started:8.3f} {text}\n')
        self.file.flush()


class Store:
    """The platform's store, as far as the balancers call it: lists."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        #: Encoded objects by kind and name; a `spec` may be any bytes.
        self.objects: dict[str, dict[str, bytes]] = {}
        self.created: dict[tuple[str, str], int] = {}
        self.calls = 0
        #: `serializable` calls are answered from this copy, if it is set.
        self.stale: tuple[int, dict[str, dict[str, bytes]]] | None = None
        #: Called with a client's address; returns 'serve', 'silent', 'busy'
        #: (503), 'many' (429) or 'reset'.
        self.judge = lambda host: 'serve'
        self.delay_s = STORE_ANSWER_S

    def put(self, kind: str, name: str, spec: object) -> float:
        """Create or replace an object and return the time of the answer."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        assert len(raw) <= VALUE_BYTES
        self.revision += 1
        created = self.created.setdefault((kind, name), self.revision)
        meta = {
            'name': name,
            'rev': self.revision,
            'createRev': created,
            'finalizers': [],
            'deleting': False,
        }
        self.objects.setdefault(kind, {})[name] = (
            b'{"meta":'
            + json.dumps(meta).encode()
            + b',"spec":'
            + raw
            + b',"status":null}'
        )
        return time.monotonic()

    def delete(self, kind: str, name: str) -> None:
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
            self.created.pop((kind, name), None)

    def copy(self) -> tuple[int, dict[str, dict[str, bytes]]]:
        return self.revision, {k: dict(v) for k, v in self.objects.items()}

    def answer(self, target: str) -> tuple[int, bytes]:
        self.calls += 1
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        matched = re.fullmatch('/v1/objects/([^/]+)', parts.path)
        if matched is None:
            return 404, b'{}'
        revision, objects = self.revision, self.objects
        if query.get('serializable') == ['1'] and self.stale is not None:
            revision, objects = self.stale
        after = query.get('after', [''])[0]
        kind = objects.get(matched[1], {})
        names = sorted(name for name in kind if name > after)
        items: list[bytes] = []
        size = 0
        for name in names[:PAGE_ITEMS]:
            if items and size + len(kind[name]) > PAGE_BYTES:
                break
            items.append(kind[name])
            size += len(kind[name])
        more = b'true' if len(items) < len(names) else b'false'
        return 200, b'{"items":[%s],"hasMore":%s,"currentRev":%d}' % (
            b','.join(items),
            more,
            revision,
        )

    async def serve(self, host: str) -> int:
        server = await asyncio.start_server(self._handle, host, 0)
        return server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer) -> None:
        peer = writer.get_extra_info('peername')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                verdict = self.judge(peer)
                if verdict == 'silent':
                    await asyncio.sleep(30)
                    return
                if verdict == 'reset':
                    writer.transport.abort()
                    return
                await asyncio.sleep(self.delay_s)
                status, body = {'busy': (503, b'{}'), 'many': (429, b'{}')}.get(
                    verdict
                ) or self.answer(target)
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(body)) + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@dataclass
class ServerFlow:
    seq: int
    client_seq: int
    opened_at: float | None = None
    echo: int = 0


class Endpoint(asyncio.DatagramProtocol):
    """Endpoint of a service; it answers each request at once."""

    def __init__(
        self, site: 'Site', service: str, zone: str, identity: int
    ) -> None:
        self.site = site
        self.service = service
        self.zone = zone
        self.identity = identity
        self.name = f'i-{identity:08x}'
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.flows: dict[tuple[int, int, int, int], ServerFlow] = {}
        self.address = ('', 0)
        self.is_heard = True
        #: Time of arrival of each opening packet that it answered.
        self.openings: list[tuple[float, tuple[int, int, int, int]]] = []

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.address = transport.get_extra_info('sockname')

    def write_entry(self) -> float:
        self.sequence += 1
        return self.site.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self.zone,
                'version': 'v1',
                'maxConcurrency': 2,
                'state': self.state,
                'warmupLeftMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    async def beat(self) -> None:
        while True:
            if self.is_heard:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def datagram_received(self, datagram: bytes, sender) -> None:
        identity = int.from_bytes(datagram[:8], 'big')
        if identity not in (0, self.identity):
            return
        packet = decode(datagram[8:])
        if packet is None or packet.sum != packet.compute_sum():
            self.site.record.write(f'FORGED {self.name} {datagram.hex()}')
            self.site.forged += 1
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = ServerFlow(random.getrandbits(32), packet.seq)
                self.flows[key] = flow
                self.openings.append((time.monotonic(), key))
            flow.echo = packet.echo
            self.send(packet, SYN | ACK, flow.seq, packet.seq + 1, flow.echo)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None or (
            flow.opened_at is None and packet.ack != flow.seq + 1
        ):
            self.send(packet, RST, packet.ack, 0, packet.echo, sums=0)
            return
        flow.echo = packet.echo
        if flow.opened_at is None:
            flow.opened_at = time.monotonic()
        if packet.data:
            self.serve(packet, flow)
        if packet.flags & FIN:
            self.flows.pop(key, None)

    def serve(self, packet: Packet, flow: ServerFlow) -> None:
        matched = re.search(rb'X-Request-Id: (\S+)', packet.data)
        request = matched[1].decode() if matched else '?'
        self.site.runs.setdefault(request, []).append(self)
        self.site.record.write(f'run {request} at {self.name} {self.service}')
        body = f'{self.name} ran {request}'.encode()
        answer = (
            b'HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nX-Request-Id: %s\r\n'
            b'Content-Length: %d\r\n\r\n'
            % (self.name.encode(), request.encode(), len(body))
        ) + body
        self.send(
            packet,
            ACK,
            flow.seq + 1,
            packet.seq + len(packet.data),
            flow.echo,
            answer,
        )

    def send(
        self,
        packet: Packet,
        flags: int,
        seq: int,
        ack: int,
        echo: int,
        data: bytes = b'',
        sums: int | None = None,
    ) -> None:
        reply = Packet(
            flags,
            echo,
            packet.src,
            packet.dport,
            packet.sport,
            packet.dst,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            data,
            sums,
        )
        self.transport.sendto(
            reply.encode(), (to_host(packet.src), self.site.packet_port)
        )


@dataclass
class ClientFlow:
    """A client's flow, from the opening packet to its end."""

    port: int
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    reset: asyncio.Event = field(default_factory=asyncio.Event)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    seq: int = 0
    ack: int = 0
    echo: int = 0
    answer: bytes = b''


class Client(asyncio.DatagramProtocol):
    """All clients, at one address; each flow has a port of its own."""

    def __init__(self, site: 'Site') -> None:
        self.site = site
        self.flows: dict[int, ClientFlow] = {}
        self.next_port = 20000

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, datagram: bytes, sender) -> None:
        packet = decode(datagram)
        flow = self.flows.get(packet.dport) if packet else None
        if packet is None or flow is None:
            return
        if packet.flags & RST:
            flow.reset.set()
        elif packet.flags & SYN:
            if not flow.opened.is_set():
                flow.ack = (packet.seq + 1) & 0xFFFFFFFF
                flow.echo = packet.echo
                flow.opened.set()
        elif packet.data:
            flow.echo = packet.echo
            flow.answer = packet.data
            flow.ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            flow.answered.set()
        flow.changed.set()

    def send(
        self,
        node: str,
        flow: ClientFlow,
        listener,
        flags: int,
        data=b'',
        ack=None,
    ) -> None:
        packet = Packet(
            flags,
            0 if flags & SYN else flow.echo,
            to_number(listener[0]),
            flow.port,
            listener[1],
            to_number(self.site.client_host),
            flow.seq,
            flow.ack if ack is None else ack,
            data,
        )
        self.transport.sendto(packet.encode(), (node, self.site.packet_port))

    async def request(
        self, node: str, listener, request: str, deadline_s: float = 2.0
    ) -> str:
        """Send one request on a flow of its own; return how it ended."""
        flow = ClientFlow(self.next_port, seq=random.getrandbits(31))
        self.next_port += 1
        self.flows[flow.port] = flow
        started = time.monotonic()
        self.site.record.write(f'open {request} {listener[1]} by {node}')
        end = await self._run(
            node, flow, listener, request, started, deadline_s
        )
        del self.flows[flow.port]
        self.site.record.write(f'end {request} {end}')
        return end

    async def _run(
        self, node, flow, listener, request, started, deadline_s
    ) -> str:
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(node, flow, listener, SYN, ack=copy)
            if await self._wait(flow, started + until, flow.opened):
                break
            if flow.reset.is_set():
                return 'reset'
        if not flow.opened.is_set():
            return 'unopened'
        flow.seq = (flow.seq + 1) & 0xFFFFFFFF
        data = (
            f'GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request}\r\n\r\n'
        ).encode()
        wait_s = 0.2
        self.send(node, flow, listener, ACK)
        while time.monotonic() < started + deadline_s:
            self.send(node, flow, listener, ACK, data)
            until = min(time.monotonic() + wait_s, started + deadline_s)
            if await self._wait(flow, until, flow.answered):
                break
            if flow.reset.is_set():
                return 'reset-open'
            wait_s = min(wait_s * 2, 1.6)
        if not flow.answered.is_set():
            return 'unanswered'
        flow.seq = (flow.seq + len(data)) & 0xFFFFFFFF
        self.send(node, flow, listener, ACK | FIN)
        stamp = re.search(rb'X-Server-Stamp: (\S+)', flow.answer)
        return 'served ' + (stamp[1].decode() if stamp else '?')

    async def _wait(self, flow: ClientFlow, until: float, event) -> bool:
        while not event.is_set() and not flow.reset.is_set():
            flow.changed.clear()
            left = until - time.monotonic()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(flow.changed.wait(), left)
            except TimeoutError:
                return event.is_set()
        return event.is_set()


class Site:
    """Store, endpoints, client and balancers of one run."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / 'record.txt')
        self.store = Store(self.record)
        self.prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.client_host = f'{self.prefix}.2'
        self.service_host = '198.18.0.1'
        self.endpoints: list[Endpoint] = []
        self.processes: dict[str, subprocess.Popen] = {}
        self.runs: dict[str, list[Endpoint]] = {}
        self.forged = 0
        self.tasks: list[asyncio.Task] = []
        self.work = Path(tempfile.mkdtemp(prefix='review-2-'))
        self.logs: dict[str, object] = {}

    async def start(self) -> None:
        self.packet_port, self.ready_port, self.peer_port = find_ports(
            self.prefix, 3
        )
        self.store_port = await self.store.serve(f'{self.prefix}.3')
        loop = asyncio.get_running_loop()
        _, self.client = await loop.create_datagram_endpoint(
            lambda: Client(self),
            local_addr=(self.client_host, self.packet_port),
        )

    async def add_endpoint(
        self, service: str, zone: str, identity: int | None = None
    ) -> Endpoint:
        endpoint = Endpoint(
            self, service, zone, identity or random.getrandbits(32) | 1
        )
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: endpoint,
            local_addr=(f'{self.prefix}.{100 + len(self.endpoints)}', 0),
        )
        self.endpoints.append(endpoint)
        self.tasks.append(asyncio.create_task(endpoint.beat()))
        return endpoint

    def write_config(self, version: int, routes: dict[int, str]) -> float:
        """Write routes, given as services by port; return the time."""
        return self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': [
                    {
                        'name': f'r-{port}',
                        'host': self.service_host,
                        'pathPrefix': f'/{port}/',
                        'type': 'safe',
                        'timeoutMs': 2000,
                        'latencyGoalMs': 120,
                        'priority': 2,
                        'service': service,
                        'maxAttempts': 2,
                    }
                    for port, service in routes.items()
                ],
                'services': [
                    {
                        'name': service,
                        'healthPath': '/health',
                        'maxConns': 2000,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for service in sorted(set(routes.values()))
                ],
                'limits': {'idleTimeoutMs': 15000},
            },
        )

    def start_balancer(self, number: int, zone: str) -> str:
        """Start a balancer as the deploy file says; return its address."""
        host = f'{self.prefix}.{10 + number}'
        fields = {
            'nodeName': f'frontend-{zone}-{number}',
            'zone': zone,
            'ip': host,
            'internalPorts': [self.peer_port, self.peer_port + 1],
            'seeds': [f'{self.prefix}.11:{self.ready_port}'],
            'listen': {
                'datagramAddr': f'{host}:{self.packet_port}',
                'ready': f'{host}:{self.ready_port}',
            },
            'platform': {'address': f'{self.prefix}.3:{self.store_port}'},
            'contractParams': BOUNDS,
        }
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())[
            'roles'
        ]['balancer']
        text = fill_template((ROOT / role['template']).read_text(), fields)
        boot = self.work / f'{number}.json'
        boot.write_text(text)
        log = self.logs.setdefault(
            host, (self.work / f'{10 + number}.log').open('ab')
        )
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['BALSAMSHED_BOOT'] = str(boot)
        self.processes[host] = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.record.write(f'started {host}')
        return host

    def read_log(self, host: str) -> str:
        return (self.work / f'{host.rpartition(".")[2]}.log').read_text()

    async def is_ready(self, host: str) -> bool:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, self.ready_port), 0.5
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 0.5)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line

    async def wait_ready(self, hosts, limit_s: float) -> bool:
        until = time.monotonic() + limit_s
        for host in hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    self.record.write(f'not ready: {host}')
                    return False
                await asyncio.sleep(0.1)
        self.record.write('ready: ' + ' '.join(hosts))
        return True

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def fill_template(text: str, fields: dict) -> str:
    """Fill `{{a.b}}` and `{{a.b|json}}`, all that the template uses."""

    def fill(match: re.Match) -> str:
        value: object = fields
        for part in match[1].split('.'):
            value = value[part]  # type: ignore[index]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r'\{\{([a-zA-Z.]+)(\|json)?\}\}', fill, text)


def find_ports(prefix: str, count: int) -> list[int]:
    """Return ports, each with the next one free, at addresses of the run."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(20000, 32000, 2)
        with socket.socket() as probe:
            try:
                probe.bind((f'{prefix}.11', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def run_case(folder: str, play) -> None:
    """Play a case and exit with 1 (broken), 0 (held) or 2 (did not run)."""
    site = Site(Path(folder).resolve())
    trouble = os.environ.get('TROUBLE', '1') != '0'
    site.record.write(f'trouble {int(trouble)}')

    async def main() -> int:
        await site.start()
        return await play(site, trouble)

    # A case that is stopped from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(asyncio.wait_for(main(), 110))
    except Exception as error:  # noqa: BLE001
        site.record.write(f'did not run: {error!r}')
        sys.stderr.write(f'did not run: {error!r}\n')
        status = 2
    finally:
        site.stop()
    site.record.write(f'exit {status}')
    sys.exit(status)
