"""Stand-in for an endpoint: it registers itself and answers requests."""

import asyncio
import random
import time
from dataclasses import dataclass, replace

from standins.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Packet,
    decode,
    encode,
    is_genuine,
)
from standins.record import Record
from standins.store import Store
from standins.waits import Waits

_RETRANSMISSIONS = 8
_FIRST_INTERVAL = 0.2
_MAX_INTERVAL = 1.6
_MASK = 0xFFFFFFFF


@dataclass
class _Flow:
    first_seq: int
    client_seq: int
    is_open: bool = False
    sent: int = 0
    acked: int = 0
    closing: bool = False


class Endpoint(asyncio.DatagramProtocol):
    """One start of an endpoint's program."""

    def __init__(
        self,
        record: Record,
        identity: str,
        service: str,
        host: str,
        client_port: int,
        waits: Waits,
        work_seconds: float = 0.02,
        zone: str = 'zone-a',
    ) -> None:
        """Create an endpoint that does not listen yet."""
        self.record = record
        self.identity = identity
        self.number = int(identity.removeprefix('i-'), 16)
        self.service = service
        self.host = host
        self.port = 0
        self.client_port = client_port
        self.waits = waits
        self.work_seconds = work_seconds
        self.zone = zone
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.flows: dict[tuple[str, int, str, int], _Flow] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.heartbeat: asyncio.Task[None] | None = None

    async def start(self, store: Store, heartbeat_seconds: float) -> None:
        """Listen, and register in the store."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, 0)
        )
        self.transport = transport
        self.port = transport.get_extra_info('sockname')[1]
        self.register(store)
        self.heartbeat = loop.create_task(
            self._register_again(store, heartbeat_seconds)
        )
        self.record.add(
            'endpoint_started',
            id=self.identity,
            service=self.service,
            address=f'{self.host}:{self.port}',
        )

    def register(self, store: Store) -> None:
        """Write the entry, which changes when more than ``sequence`` does."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'maxConcurrency': 2,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        store.put_entry(self.identity, entry)

    def drain(self, store: Store) -> float:
        """Report that the endpoint is draining; return the acknowledgement."""
        self.state = 'draining'
        self.register(store)
        return self.record.add('drain_acknowledged', id=self.identity)

    def leave(self, store: Store) -> None:
        """Exit: stop to listen, and remove the entry."""
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        store.delete('servers', self.identity)
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        for task in self.tasks:
            task.cancel()
        self.record.add('endpoint_left', id=self.identity)

    async def _register_again(self, store: Store, seconds: float) -> None:
        while True:
            await asyncio.sleep(seconds)
            self.register(store)

    def datagram_received(
        self, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        """Handle a datagram, once it has passed the link of its sender."""
        wait = self.waits.pass_link(sender[0])
        if wait:
            loop = asyncio.get_running_loop()
            loop.call_later(wait, self._receive, datagram, sender)
        else:
            self._receive(datagram, sender)

    def _receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        # Eight bytes name the intended endpoint; the packet follows.
        intended = int.from_bytes(datagram[:8], 'big')
        if intended not in {0, self.number}:
            self.record.add('not_intended', id=self.identity, via=sender[0])
            return
        packet = decode(datagram[8:])
        if packet is None or not is_genuine(packet):
            self.record.add(
                'forged_at_endpoint', id=self.identity, via=sender[0]
            )
            return
        self._handle(packet, sender[0])

    def _handle(self, packet: Packet, via: str) -> None:
        key = packet.get_flow()
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = _Flow(random.getrandbits(32), packet.seq)
                self.flows[key] = flow
                self.record.add(
                    'opening_arrived',
                    id=self.identity,
                    service=self.service,
                    client=f'{packet.src}:{packet.sport}',
                    via=via,
                )
            if not flow.is_open:
                self._send(packet, SYN | ACK, flow.first_seq, packet.seq + 1)
            return
        if flow is None:
            if not packet.flags & RST:
                self.record.add(
                    'reset_by_endpoint',
                    id=self.identity,
                    client=f'{packet.src}:{packet.sport}',
                    via=via,
                )
                self._send(packet, RST, packet.ack, packet.seq)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow.is_open:
            if packet.ack != (flow.first_seq + 1) & _MASK:
                return
            flow.is_open = True
            flow.client_seq = (flow.client_seq + 1) & _MASK
            flow.acked = flow.sent = packet.ack
            self.record.add(
                'flow_opened',
                id=self.identity,
                client=f'{packet.src}:{packet.sport}',
            )
        flow.acked = packet.ack
        if packet.data and packet.seq == flow.client_seq:
            flow.client_seq = (flow.client_seq + len(packet.data)) & _MASK
            self._send(packet, ACK, flow.sent, flow.client_seq)
            task = asyncio.get_running_loop().create_task(
                self._run(packet, flow, via)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif packet.data or packet.flags & FIN:
            self._send(packet, ACK, flow.sent, flow.client_seq)
        if packet.flags & FIN and not flow.closing:
            flow.closing = True
            self._send(packet, FIN | ACK, flow.sent, flow.client_seq)

    async def _run(self, packet: Packet, flow: _Flow, via: str) -> None:
        head = packet.data.decode('latin-1')
        request = head.split('X-Request-Id: ', 1)[1].split('\r\n', 1)[0]
        self.record.add(
            'run',
            request=request,
            id=self.identity,
            service=self.service,
            via=via,
        )
        await asyncio.sleep(self.work_seconds)
        body = f'{request} {self.identity}'.encode()
        answer = (
            b'HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s'
            % (self.identity.encode(), len(body), body)
        )
        start = flow.sent
        flow.sent = (flow.sent + len(answer)) & _MASK
        interval = _FIRST_INTERVAL
        for _ in range(_RETRANSMISSIONS + 1):
            self._send(packet, ACK, start, flow.client_seq, answer)
            await asyncio.sleep(interval)
            if (flow.acked - start) & _MASK >= len(answer):
                return
            interval = min(2 * interval, _MAX_INTERVAL)

    def _send(
        self, cause: Packet, flags: int, seq: int, ack: int, data: bytes = b''
    ) -> None:
        if self.transport is None:
            return
        reply = Packet(
            flags,
            cause.src,
            cause.dport,
            cause.sport,
            cause.dst,
            seq & _MASK,
            ack & _MASK,
            data,
            cause.echo,
        )
        self.transport.sendto(
            encode(replace(reply)), (cause.src, self.client_port)
        )
