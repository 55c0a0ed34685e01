"""Stand-in for clients: flows through the platform's routers."""

import asyncio
import random
import zlib
from collections.abc import Callable

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
from standins.waits import Waits

_MASK = 0xFFFFFFFF
_RESET_WINDOW = 76_800
_SYN_TIMES = (0.0, 0.2, 0.6)
_OPEN_SECONDS = 1.4
_FIRST_INTERVAL = 0.2
_MAX_INTERVAL = 1.6


class ClientHost(asyncio.DatagramProtocol):
    """Address of clients, with one socket for all of its flows."""

    def __init__(
        self,
        record: Record,
        host: str,
        port: int,
        route: Callable[[tuple[str, int, str, int]], tuple[str, int] | None],
        waits: Waits,
    ) -> None:
        """Create an address that does not listen yet."""
        self.record = record
        self.host = host
        self.port = port
        self.route = route
        self.waits = waits
        self.flows: dict[int, Flow] = {}
        self.next_port = random.randrange(20_000, 30_000)
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen at the address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )

    def datagram_received(
        self, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        """Pass a packet to its flow."""
        packet = decode(datagram)
        if packet is None:
            self.record.add('malformed_at_client', via=sender[0])
            return
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.handle(packet, sender)

    def send(self, packet: Packet) -> None:
        """Send a packet through the routers."""
        node = self.route(packet.get_flow())
        if node is None or self.transport is None:
            return
        datagram = encode(packet)
        wait = self.waits.pass_link(node[0])
        if wait:
            asyncio.get_running_loop().call_later(
                wait, self.transport.sendto, datagram, node
            )
        else:
            self.transport.sendto(datagram, node)

    def open(self, listener: tuple[str, int]) -> 'Flow':
        """Return a new flow from a new port."""
        self.next_port += 1
        flow = Flow(self, self.next_port, listener)
        self.flows[self.next_port] = flow
        return flow


class Flow:
    """Flow of a client to a route's address."""

    def __init__(
        self, client: ClientHost, port: int, listener: tuple[str, int]
    ) -> None:
        """Create a flow that has sent nothing."""
        self.client = client
        self.port = port
        self.listener = listener
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        self.ended = ''
        self.acked = 0
        self.expected = b''
        self.answer: bytes | None = None
        self.changed = asyncio.Event()

    def get_name(self) -> str:
        """Return the client's end."""
        return f'{self.client.host}:{self.port}'

    async def open(self) -> str:
        """Open the flow; return how that ended: open, reset or timeout."""
        first = self.seq
        started_at = asyncio.get_running_loop().time()
        for attempt, at in enumerate(_SYN_TIMES):
            await self._wait(started_at + at)
            if self.is_open or self.ended:
                break
            self._send(SYN, first, attempt)
        if not self.is_open:
            await self._wait(started_at + _OPEN_SECONDS)
        if not self.is_open and not self.ended:
            self.ended = 'timeout'
        return self.ended or 'open'

    async def request(self, request: str, deadline: float = 1.0) -> str:
        """Send a request; return how it ended: served or a failure."""
        name = self.get_name()
        self.client.record.add('sent', request=request, client=name)
        if not self.is_open:
            await self.open()
        if self.is_open and not self.ended:
            await self._exchange(request, deadline)
        outcome = self.ended
        if not outcome:
            outcome = (
                'deadline' if self.answer is None else self._judge(request)
            )
        self.client.record.add(
            'answered', request=request, client=name, outcome=outcome
        )
        return outcome

    def close(self) -> None:
        """Send a FIN, and forget the flow."""
        if self.is_open and not self.ended:
            self._send(FIN | ACK, self.seq, self.ack)
        self.client.flows.pop(self.port, None)

    def handle(self, packet: Packet, sender: tuple[str, int]) -> None:
        """Handle a packet of an endpoint, or a reset of the system."""
        if packet.flags & RST:
            self._handle_reset(packet, sender)
            return
        if not is_genuine(packet):
            self.client.record.add(
                'forged_at_client', client=self.get_name(), via=sender[0]
            )
            return
        if packet.flags & SYN:
            if not self.is_open and not self.ended:
                self.is_open = True
                self.echo = packet.echo
                self.ack = (packet.seq + 1) & _MASK
                self.seq = self.acked = packet.ack
                self._send(ACK, self.seq, self.ack)
                self.changed.set()
            return
        if not self.is_open:
            return
        self.echo = packet.echo
        self.acked = packet.ack
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & _MASK
            self.answer = packet.data
        if packet.data:
            self._send(ACK, self.seq, self.ack)
        self.changed.set()

    def _handle_reset(self, packet: Packet, sender: tuple[str, int]) -> None:
        is_own = is_genuine(packet)
        distance = (packet.seq - self.ack) & _MASK
        distance = min(distance, _MASK + 1 - distance)
        if not is_own and (packet.sum or packet.data):
            return
        if not is_own and self.is_open and distance > _RESET_WINDOW:
            return
        if self.ended:
            return
        by = 'endpoint' if is_own else 'system'
        self.ended = f'reset_by_{by}'
        self.client.record.add(
            'reset_at_client',
            client=self.get_name(),
            by=by,
            sender=f'{sender[0]}:{sender[1]}',
            was_open=self.is_open,
        )
        self.changed.set()

    async def _exchange(self, request: str, deadline: float) -> None:
        data = (
            'GET /work HTTP/1.1\r\nHost: service\r\n'
            f'X-Request-Id: {request}\r\n\r\n'
        ).encode()
        self.answer = None
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + deadline
        start = self.seq
        self.seq = (self.seq + len(data)) & _MASK
        interval = _FIRST_INTERVAL
        while loop.time() < ends_at and self.answer is None and not self.ended:
            if (self.acked - start) & _MASK != len(data):
                self._send(ACK, start, self.ack, data)
            await self._wait(min(loop.time() + interval, ends_at))
            interval = min(2 * interval, _MAX_INTERVAL)

    def _judge(self, request: str) -> str:
        answer = (self.answer or b'').decode('latin-1')
        if 'X-Server-Stamp: ' not in answer:
            return 'no_stamp'
        body = answer.split('\r\n\r\n', 1)[1]
        return 'served' if body.startswith(f'{request} ') else 'foreign_answer'

    async def _wait(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while (rest := until - loop.time()) > 0:
            if self.ended or (self.is_open and self.answer is not None):
                return
            was_open = self.is_open
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), rest)
            except TimeoutError:
                return
            if self.is_open and not was_open:
                return

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        host, port = self.listener
        packet = Packet(
            flags,
            host,
            self.port,
            port,
            self.client.host,
            seq & _MASK,
            ack & _MASK,
            data,
            0 if flags & SYN else self.echo,
        )
        self.client.send(packet)


def hash_flow(flow: tuple[str, int, str, int]) -> int:
    """Return the hash by which routers select a node."""
    return zlib.crc32(repr(flow).encode())
