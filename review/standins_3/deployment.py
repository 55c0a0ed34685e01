"""Stand-ins for the platform of a small deployment, on loopback addresses.

The store, the routers, the endpoints and the clients run in one process, on
asyncio and with the standard library only. The balancers are processes of
their own, started with the command of the deploy file. All times are seconds
of the monotonic clock.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, *'-P -S -O -m balsamshed edge'.split()]

SYN, ACK, FIN, RST = 32, 128, 1, 2
HEAD = struct.Struct('<I B 5s I I H H I I I H')
KEY = b'key of the stand-ins'

DRAIN_S = 3.0
CONFIG_S = 3.0
STABLE_S = 4.0
GRACE_S = 6
HEARTBEAT_S = 0.77
STORE_ANSWER_S = 0.004
PAGE_BYTES = 1_000_000
SYN_COPIES_S = (0.2, 0.6)
OPENING_S = 1.4


def number(address):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(address), 'big')


def text(address):
    """Return the number of an IPv4 address as text."""
    return socket.inet_ntoa(address.to_bytes(4, 'big'))


class Packet:
    """One packet of a flow."""

    def __init__(self, raw):
        """Decode a packet."""
        (
            self.sum,
            self.flags,
            _,
            self.echo,
            self.dst,
            self.sport,
            self.dport,
            self.src,
            self.seq,
            self.ack,
            self.length,
        ) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size :]
        self.raw = raw

    def is_genuine(self):
        """Tell whether the sender wrote the packet so."""
        return self.sum == checksum(self.raw)


def checksum(raw):
    """Return the keyed sum over all fields but ``sum``, ``pad``, ``echo``."""
    covered = bytes((raw[4] & ~16,)) + raw[14:]
    return zlib.crc32(KEY + covered) or 1


def encode(flags, src, sport, dst, dport, seq, ack, echo=0, data=b''):
    """Encode a packet with its sum."""
    raw = HEAD.pack(
        0,
        flags,
        bytes(5),
        echo,
        dst,
        sport,
        dport,
        src,
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
        len(data),
    )
    raw += data
    return struct.pack('<I', checksum(raw)) + raw[4:]


def encode_object(listed):
    """Encode an object; a spec that another writer left as it wrote it."""
    if not isinstance(listed['spec'], bytes):
        return json.dumps(listed, separators=(',', ':')).encode()
    meta = json.dumps(listed['meta'], separators=(',', ':')).encode()
    return b'{"meta":%s,"spec":%s,"status":null}' % (meta, listed['spec'])


class Store:
    """The platform's store: lists of objects, with one revision."""

    def __init__(self, page_size=50):
        """Create an empty store."""
        self.revision = 500
        self.page_size = page_size
        self.objects = {}
        self.calls = 0
        #: Mode by name of the balancer: 'busy' answers 503, 'silent' nothing.
        self.modes = {}
        self.delays = {}

    def put(self, kind, name, spec):
        """Write an object and return the time of the acknowledgement."""
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        created = objects[name]['meta']['createRev'] if name in objects else 0
        objects[name] = {
            'meta': {
                'name': name,
                'rev': self.revision,
                'createRev': created or self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        return time.monotonic()

    def delete(self, kind, name):
        """Remove an object and return the time of the acknowledgement."""
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
        return time.monotonic()

    def answer(self, target):
        """Return status and body of a call."""
        parts = urlsplit(target)
        if not parts.path.startswith('/v1/objects/'):
            return 404, b'{}'
        after = parse_qs(parts.query).get('after', [''])[0]
        kind = parts.path.removeprefix('/v1/objects/')
        objects = self.objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page, size = [], 0
        for name in names[: self.page_size]:
            encoded = encode_object(objects[name])
            size += len(encoded)
            if page and size > PAGE_BYTES:
                break
            page.append(encoded)
        has_more = json.dumps(len(names) > len(page)).encode()
        return 200, b'{"items":[%s],"hasMore":%s,"currentRev":%d}' % (
            b','.join(page),
            has_more,
            self.revision,
        )

    async def serve(self, name, host='127.0.0.1'):
        """Listen for one balancer and return the port."""

        async def handle(reader, writer):
            try:
                while True:
                    head = await reader.readuntil(b'\r\n\r\n')
                    self.calls += 1
                    mode = self.modes.get(name, '')
                    if mode == 'silent':
                        await asyncio.sleep(30)
                        return
                    if mode == 'reset':
                        writer.transport.abort()
                        return
                    delay = self.delays.get(name, STORE_ANSWER_S)
                    await asyncio.sleep(delay)
                    target = head.split(b' ', 2)[1].decode()
                    status, body = self.answer(target)
                    if mode == 'busy':
                        status, body = 503, b'{}'
                    writer.write(
                        b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                        b'Content-Length: %d\r\n\r\n'
                        % (status, len(body))
                        + body
                    )
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                # The loop is closed already where the case has ended.
                with suppress(RuntimeError):
                    writer.transport.abort()

        server = await asyncio.start_server(handle, host, 0)
        return server.sockets[0].getsockname()[1]


class EndpointFlow:
    """A flow as its endpoint knows it."""

    def __init__(self, packet, seq):
        """Create a flow that waits for the end of its handshake."""
        self.seq = seq
        self.expected = (packet.seq + 1) & 0xFFFFFFFF
        self.echo = packet.echo
        self.opened_at = None
        self.sent_syn_at = 0.0
        self.answer = None
        self.answered = b''
        self.is_closed = False


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint: flows over UDP and an entry in the store."""

    def __init__(self, site, service, identity, address, zone):
        """Create an endpoint that is not started."""
        self.site = site
        self.service = service
        self.identity = identity
        self.address = address
        self.zone = zone
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.is_alive = True
        self.is_writing = True
        self.drained_at = None
        self.work_s = 0.01
        self.transport = None
        self.beats = None

    @property
    def name(self):
        """Return the name of the entry."""
        return f'i-{self.identity:x}'

    async def start(self):
        """Open the socket and write the entry every heartbeat."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self.write_entry()
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while self.is_alive:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))
            if self.is_alive and self.is_writing:
                self.write_entry()

    def write_entry(self):
        """Write the entry and return the time of the acknowledgement."""
        self.sequence += 1
        host, port = self.address
        spec = {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'maxConcurrency': 2,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        return self.site.store.put('servers', self.name, spec)

    def drain(self):
        """Report that the endpoint is draining."""
        self.state = 'draining'
        self.drained_at = self.write_entry()
        self.site.log('drain', endpoint=self.name)

    def stop(self, is_planned=True):
        """End the endpoint; a crash leaves its entry for three heartbeats."""
        self.is_alive = False
        self.flows.clear()
        if self.transport is not None:
            self.transport.close()
        if self.beats is not None:
            self.beats.cancel()
        if is_planned:
            self.site.store.delete('servers', self.name)

    def datagram_received(self, datagram, _sender):
        """Handle a packet that a balancer has forwarded."""
        wanted = int.from_bytes(datagram[:8], 'big')
        if wanted not in (0, self.identity):
            return
        packet = Packet(datagram[8:])
        if not packet.is_genuine():
            self.site.broken(
                'UNASKED', 'a packet that its sender did not write'
            )
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._handle_opening(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None or flow.is_closed:
            if packet.flags & RST:
                return
            if packet.flags & FIN and flow is not None:
                self._send(key, ACK, flow, flow.seq + 1)
            else:
                self._reset(key, packet)
            return
        self._handle_packet(key, flow, packet)

    def _handle_opening(self, key, packet):
        self.site.record_opening(self, key, packet)
        flow = self.flows.get(key)
        if flow is None:
            flow = EndpointFlow(packet, random.getrandbits(32))
            self.flows[key] = flow
        if flow.opened_at is None:
            flow.echo = packet.echo
            self._send(key, SYN | ACK, flow, flow.seq)

    def _handle_packet(self, key, flow, packet):
        now = time.monotonic()
        if flow.opened_at is None:
            if packet.ack != (flow.seq + 1) & 0xFFFFFFFF:
                # The handshake was completed with another endpoint.
                self._reset(key, packet)
                del self.flows[key]
                return
            flow.opened_at = now
            self.site.record_open(self, key, now)
        flow.echo = packet.echo
        if packet.flags & RST:
            flow.is_closed = True
        elif packet.flags & FIN:
            flow.is_closed = True
            self._send(key, FIN | ACK, flow, flow.seq + 1)
        elif packet.length:
            self._handle_request(key, flow, packet)

    def _handle_request(self, key, flow, packet):
        if packet.seq == flow.expected:
            flow.expected = (packet.seq + packet.length) & 0xFFFFFFFF
            self.site.record_run(self, key, packet.data)
            loop = asyncio.get_running_loop()
            flow.answer = None
            loop.call_later(self.work_s, self._respond, key, flow, packet.data)
        self._send(key, ACK, flow, flow.seq + 1 + len(flow.answered))
        if flow.answer is not None:
            self._send_answer(key, flow)

    def _respond(self, key, flow, request):
        if not self.is_alive or flow.is_closed:
            return
        flow.answer = b'answer ' + self.name.encode() + b' ' + request
        self._send_answer(key, flow)
        flow.answered += flow.answer

    def _send_answer(self, key, flow):
        start = len(flow.answered)
        if flow.answered.endswith(flow.answer):
            start -= len(flow.answer)
        self._send(key, ACK, flow, flow.seq + 1 + start, flow.answer)

    def _send(self, key, flags, flow, seq, data=b''):
        src, sport, dst, dport = key
        raw = encode(
            flags, dst, dport, src, sport, seq, flow.expected, flow.echo, data
        )
        self.transport.sendto(raw, (text(src), self.site.packet_port))

    def _reset(self, key, packet):
        src, sport, dst, dport = key
        raw = encode(RST, dst, dport, src, sport, packet.ack, packet.seq)
        self.transport.sendto(raw, (text(src), self.site.packet_port))


class ClientFlow:
    """A flow as its client knows it."""

    def __init__(self, client, sport, route, direct=None):
        """Create a flow that is not open."""
        self.client = client
        self.sport = sport
        self.route = route
        self.direct = direct
        self.created_at = time.monotonic()
        self.isn = random.getrandbits(31)
        self.next_seq = (self.isn + 1) & 0xFFFFFFFF
        self.peer_seq = 0
        self.echo = 0
        #: Position up to which the endpoint has received this flow.
        self.acknowledged = self.next_seq
        self.is_open = False
        self.reset = None
        self.opened = asyncio.Event()
        self.answer = None
        self.answered = asyncio.Event()

    @property
    def key(self):
        """Return the four addresses and ports."""
        address, port = self.route
        return (self.client.number, self.sport, number(address), port)

    def send(self, flags, seq, ack, data=b''):
        """Send a packet through a router."""
        src, sport, dst, dport = self.key
        raw = encode(flags, src, sport, dst, dport, seq, ack, self.echo, data)
        self.client.site.route_packet(self, raw)

    async def open(self):
        """Open the flow; return 'open', 'reset' or 'silent'."""
        started = time.monotonic()
        for copy, until in enumerate((*SYN_COPIES_S, OPENING_S)):
            self.send(SYN, self.isn, copy)
            rest = started + until - time.monotonic()
            try:
                await asyncio.wait_for(self.opened.wait(), max(rest, 0))
            except TimeoutError:
                continue
            break
        if self.reset is not None:
            return 'reset'
        return 'open' if self.is_open else 'silent'

    async def request(self, data, deadline_s=1.0):
        """Send a request; return 'answered', 'reset' or 'deadline'."""
        self.answer = None
        self.answered.clear()
        if self.reset is not None:
            return 'reset'
        started = time.monotonic()
        seq = self.next_seq
        self.next_seq = (seq + len(data)) & 0xFFFFFFFF
        wait = 0.2
        while True:
            if self.acknowledged != self.next_seq:
                self.send(ACK, seq, self.peer_seq, data)
            rest = started + deadline_s - time.monotonic()
            if rest <= 0:
                return 'deadline'
            try:
                await asyncio.wait_for(self.answered.wait(), min(wait, rest))
            except TimeoutError:
                wait = min(wait * 2, 1.6)
                continue
            return 'answered' if self.answer is not None else 'reset'

    def close(self):
        """End the flow."""
        if self.is_open and self.reset is None:
            self.send(FIN | ACK, self.next_seq, self.peer_seq)
        self.client.flows.pop((self.sport, self.route), None)

    def handle(self, packet):
        """Handle a packet from an endpoint, or a reset."""
        if packet.flags & RST:
            is_system = packet.sum == 0
            if not is_system and not packet.is_genuine():
                self.client.site.broken('MIXED', 'a forged packet at a client')
                return
            if self.is_open and is_system:
                distance = (packet.seq - self.peer_seq) & 0xFFFFFFFF
                if min(distance, (1 << 32) - distance) > 76_800:
                    return
            if self.reset is None:
                self.reset = 'system' if is_system else 'endpoint'
                self.client.site.record_reset(self, packet)
            self.opened.set()
            self.answered.set()
            return
        if not packet.is_genuine():
            self.client.site.broken('MIXED', 'a forged packet at a client')
            return
        if packet.flags & SYN:
            if self.is_open:
                return
            self.is_open = True
            self.peer_seq = (packet.seq + 1) & 0xFFFFFFFF
            self.echo = packet.echo
            self.send(ACK, self.next_seq, self.peer_seq)
            self.opened.set()
            return
        if not self.is_open:
            return
        self.echo = packet.echo
        self.acknowledged = packet.ack
        if packet.length and packet.seq == self.peer_seq:
            self.peer_seq = (packet.seq + packet.length) & 0xFFFFFFFF
            self.answer = packet.data
            self.answered.set()
        if packet.length:
            self.send(ACK, self.next_seq, self.peer_seq)


class Client(asyncio.DatagramProtocol):
    """A client's machine with its flows."""

    def __init__(self, site, host, zone):
        """Create a client without flows."""
        self.site = site
        self.host = host
        self.zone = zone
        self.number = number(host)
        self.flows = {}
        self.next_port = 20_000
        self.transport = None

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.site.packet_port)
        )

    def create_flow(self, route, direct=None):
        """Return a new flow from a new port."""
        self.next_port += 1
        flow = ClientFlow(self, self.next_port, route, direct)
        self.flows[flow.sport, route] = flow
        return flow

    def datagram_received(self, datagram, _sender):
        """Pass a packet to its flow."""
        packet = Packet(datagram)
        flow = self.flows.get((packet.dport, (text(packet.src), packet.sport)))
        if flow is not None:
            flow.handle(packet)


class Balancer:
    """A process of the product."""

    def __init__(self, site, index, zone):
        """Create a balancer that is not started."""
        self.site = site
        self.name = f'frontend-{zone}-{index}'
        self.host = f'{site.network}.{10 + index}'
        self.zone = zone
        self.process = None
        self.store_port = 0
        self.is_in_rotation = False
        self.misses = 0
        self.untouched_since = time.monotonic()
        self.log_path = site.folder / f'{self.name}.log'

    def write_settings(self):
        """Fill in the template of the deploy file."""
        site = self.site
        fields = {
            'nodeName': self.name,
            'zone': self.zone,
            'listen.datagramAddr': f'{self.host}:{site.packet_port}',
            'listen.ready': f'{self.host}:{site.ready_port}',
            'platform.address': f'127.0.0.1:{self.store_port}',
            'internalPorts': [site.peer_port, site.peer_port + 15],
            'seeds': [f'{host}:{site.ready_port}' for host in site.seeds],
            'contractParams.flowTtlS': 60,
            'contractParams.graceS': GRACE_S,
            'contractParams': {
                'drainMs': 3000,
                'configApplyMs': 3000,
                'graceS': GRACE_S,
                'flowTtlS': 60,
            },
        }
        content = (ROOT / 'deploy/settings.json').read_text()
        for name, value in fields.items():
            content = content.replace('{{%s|json}}' % name, json.dumps(value))
        content = content.replace('{{ip}}', self.host)
        path = site.folder / f'{self.name}.json'
        path.write_text(content)
        return path

    async def start(self):
        """Start the process."""
        if not self.store_port:
            self.store_port = await self.site.store.serve(self.name)
        path = self.write_settings()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'BALSAMSHED_BOOT': str(path),
        }
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.untouched_since = time.monotonic()
        self.site.log('start', balancer=self.name)

    async def stop(self):
        """Stop the process as the platform does."""
        self.site.log('stop', balancer=self.name)
        self.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    def is_in_touch(self, at):
        """Tell whether nothing has disturbed the machine for long enough."""
        return at - self.untouched_since >= STABLE_S

    def read_events(self, *names):
        """Return lines of the log that report one of some events."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return [
            line
            for line in lines
            if any(f'event={name} ' in line + ' ' for name in names)
        ]


class Site:
    """A small deployment and what its clients and endpoints have seen."""

    def __init__(self, record, balancers=3, zones=('za', 'zb', 'zc')):
        """Reserve ports and create balancers."""
        self.folder = Path(tempfile.mkdtemp(prefix='balsamshed-review-'))
        self.record_path = Path(record)
        self.lines = []
        self.started_at = time.monotonic()
        #: Several cases may run at once, and the metrics have a fixed port.
        self.network = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
        base = random.randrange(20_000, 30_000, 100)
        self.packet_port = base
        self.ready_port = base + 1
        self.peer_port = base + 10
        self.store = Store()
        self.zones = zones
        self.balancers = [
            Balancer(self, index, zones[index % len(zones)])
            for index in range(balancers)
        ]
        self.seeds = [balancer.host for balancer in self.balancers[:3]]
        self.endpoints = []
        self.clients = []
        self.version = 0
        self.breaks = []
        self.flows = {}
        self.openings = []
        self.runs = {}
        self.opened = {}
        self.resets = []
        self.next_endpoint = 1
        #: Acknowledged configurations: (time, version, routes).
        self.configurations = []
        self.tasks = []

    def log(self, event, **fields):
        """Add a line to the record."""
        at = time.monotonic() - self.started_at
        rest = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.lines.append(f'{at:8.3f} {event} {rest}')

    def broken(self, rule, what):
        """Record that a rule is broken."""
        self.breaks.append((rule, what))
        self.log('BROKEN', rule=rule, what=what.replace(' ', '_'))

    def write_configuration(self, routes):
        """Write a configuration: services by (address, port)."""
        self.version += random.randint(1, 5)
        spec = {
            'version': self.version,
            'routes': [
                {
                    'name': f'r-{port}-{address}',
                    'host': address,
                    'pathPrefix': f'/{port}/',
                    'service': service,
                    'type': kind,
                    'timeoutMs': 1000,
                    'latencyGoalMs': 150,
                    'priority': 1,
                    'maxAttempts': 2,
                }
                for (address, port), (service, kind) in routes.items()
            ],
            'services': [
                {
                    'name': service,
                    'healthPath': '/health',
                    'maxConns': 2000,
                    'protocol': 'h1',
                    'tls': False,
                }
                for service in sorted({name for name, _ in routes.values()})
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        at = self.store.put('config', 'main', spec)
        self.configurations.append((at, self.version, dict(routes)))
        ports = ','.join(str(port) for _, port in routes)
        self.log('config', version=self.version, ports=ports)
        return at

    async def add_endpoint(self, service, zone, identity=None, address=None):
        """Start an endpoint."""
        if identity is None:
            identity = random.getrandbits(32) | 1
        if address is None:
            host = f'{self.network}.{100 + self.next_endpoint}'
            self.next_endpoint += 1
            address = (host, self.packet_port + 2)
        endpoint = Endpoint(self, service, identity, address, zone)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.log('endpoint', endpoint=endpoint.name, service=service)
        return endpoint

    async def add_client(self):
        """Start a client's machine."""
        count = len(self.clients)
        zone = self.zones[count % len(self.zones)]
        client = Client(self, f'{self.network}.{200 + count}', zone)
        await client.start()
        self.clients.append(client)
        return client

    async def start(self):
        """Start the balancers and the routers."""
        for balancer in self.balancers:
            await balancer.start()
        self.tasks.append(asyncio.create_task(self._probe_all()))
        deadline = time.monotonic() + 20
        while not all(b.is_in_rotation for b in self.balancers):
            if time.monotonic() > deadline:
                raise RuntimeError('balancers are not ready')
            await asyncio.sleep(0.05)
        self.log('ready')

    async def _probe_all(self):
        while True:
            started = time.monotonic()
            await asyncio.gather(*map(self._probe, self.balancers))
            rest = started + 0.5 - time.monotonic()
            await asyncio.sleep(max(rest, 0.01))

    async def _probe(self, balancer):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(balancer.host, self.ready_port), 0.3
            )
            try:
                writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await asyncio.wait_for(reader.readline(), 0.3)
                is_ready = b' 200 ' in line
            finally:
                writer.close()
        except (OSError, TimeoutError):
            is_ready = False
        balancer.misses = 0 if is_ready else balancer.misses + 1
        was_in = balancer.is_in_rotation
        if is_ready:
            balancer.is_in_rotation = True
        elif balancer.misses >= 2:
            balancer.is_in_rotation = False
        if was_in != balancer.is_in_rotation:
            self.log(
                'rotation',
                balancer=balancer.name,
                is_in=balancer.is_in_rotation,
            )

    def route_packet(self, flow, raw):
        """Send a packet of a client to the balancer that the hash selects."""
        target = flow.direct or self.select(flow.key, flow.client.zone)
        if target is not None:
            flow.client.transport.sendto(raw, (target.host, self.packet_port))

    def select(self, key, zone):
        """Return the balancer of a flow: hash ``mod`` of those in rotation."""
        local = [b for b in self.balancers if b.zone == zone]
        nodes = [b for b in local if b.is_in_rotation]
        if not nodes:
            nodes = [b for b in self.balancers if b.is_in_rotation]
        elif 2 * len(nodes) < len(local):
            nodes = local
        if not nodes:
            nodes = self.balancers
        digest = zlib.crc32(struct.pack('<IHIH', *key))
        return nodes[digest % len(nodes)]

    def record_opening(self, endpoint, key, packet):
        """Record an opening packet at an endpoint."""
        self.openings.append((time.monotonic(), endpoint, key, packet.ack))

    def record_open(self, endpoint, key, at):
        """Record the end of a handshake at an endpoint."""
        self.opened[key] = (endpoint, at)

    def record_run(self, endpoint, key, data):
        """Record that an endpoint has begun to work on a request."""
        self.runs.setdefault(data, []).append((endpoint, key))

    def record_reset(self, flow, packet):
        """Record a reset at a client."""
        self.resets.append((time.monotonic(), flow, packet))
        self.log(
            'reset',
            sender=flow.reset,
            flow=f'{flow.client.host}:{flow.sport}',
            port=flow.route[1],
            open=flow.is_open,
            age=f'{time.monotonic() - flow.created_at:.3f}',
        )

    def close(self):
        """End all processes and write the record."""
        for balancer in self.balancers:
            process = balancer.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.record_path.write_text('\n'.join(self.lines) + '\n')
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)


async def _play(site, play, has_trouble):
    loop = asyncio.get_running_loop()
    # Connections of the balancers are open when the case ends.
    loop.set_exception_handler(lambda _loop, _context: None)
    await play(site, has_trouble)
    for task in site.tasks:
        task.cancel()


def run_case(record, play, has_trouble, balancers=3):
    """Play a case; exit with 1 if a rule was broken, 0 if not, 2 on failure."""
    site = Site(record, balancers=balancers)
    try:
        asyncio.run(asyncio.wait_for(_play(site, play, has_trouble), 115))
    except Exception as error:  # noqa: BLE001
        site.log('FAILED', error=repr(error).replace(' ', '_'))
        print(f'could not run: {error!r}')
        return 2
    finally:
        site.close()
    for rule, what in site.breaks[:10]:
        print(f'{rule} broken: {what}')
    print(f'{len(site.breaks)} breaks')
    return 1 if site.breaks else 0
