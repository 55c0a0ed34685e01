"""State of a soak run: its callers, and what endpoints and callers observed."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from testbed.edge_site import (
    ACK,
    FIN,
    SERVICE_PORT,
    SYN,
    EdgeSite,
    build_packet,
    get_cookie,
    get_host,
)
from testbed.soak_oracle import Delivery, Reset
from testbed.soak_results import FlowOutcome, OutcomeKind
from testbed.store_proxy import StoreProxy

BALANCER_COUNT: Final = 4
ENDPOINT_COUNT: Final = 6
#: Interval at which flows are opened.
FLOW_INTERVAL_SECONDS: Final = 0.03
#: Port of the route that faults add and remove.
EXTRA_ROUTE_PORT: Final = 8080
#: Waits after an opening packet and after each of its two retries.
OPENING_WAITS_SECONDS: Final = (0.2, 0.4, 0.8)
#: Share of the flows that use the extra route.
EXTRA_ROUTE_SHARE: Final = 0.1
_FIRST_FLOW: Final = 20000


@dataclass(frozen=True, slots=True)
class SentPacket:
    """A packet that a caller sent.

    Parameters
    ----------
    sent_at : float
        Seconds since the start.
    balancer : int
        Balancer to which the packet was sent.
    route_port : int
        Service port to which the packet was sent.
    packet : bytes
        The encoded packet.
    """

    sent_at: float
    balancer: int
    route_port: int
    packet: bytes


class SoakRun:
    """State of one run: the injected faults and what was observed.

    Parameters
    ----------
    site : EdgeSite
        Store, endpoints and balancers.
    random : Random
        Random numbers of the callers and of the faults.
    """

    def __init__(self, site: EdgeSite, random: Random) -> None:
        """Create a run in which nothing has happened yet."""
        self.site = site
        self.random = random
        self.started_at = time.monotonic()
        self.store_proxies: dict[int, StoreProxy] = {}
        self.deliveries: list[Delivery] = []
        self.resets: list[Reset] = []
        self.fault_intervals: list[tuple[float, float, int]] = []
        self.draining_since: dict[int, float] = {}
        self.route_removed_at: dict[int, float] = {}
        self.sent_packets: dict[int, list[SentPacket]] = {}
        self.cookies: dict[int, int] = {}
        self.outcomes: list[FlowOutcome] = []
        self.version = 1
        self.extra_ports: tuple[int, ...] = ()
        self.next_flow = _FIRST_FLOW
        self.active_outages = 0

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at


def create_receiver(soak: SoakRun, endpoint: int) -> Callable[[bytes], None]:
    """Return a function that records the datagrams of an endpoint."""

    def handle_datagram(datagram: bytes) -> None:
        flow = int.from_bytes(datagram[26:28], 'little')
        sent_packets = soak.sent_packets.get(flow)
        if sent_packets is None:
            return
        # A balancer that was paused may forward old packets after newer ones,
        # so the datagram is matched by content.
        matching = [
            sent_packet
            for sent_packet in sent_packets
            if _is_equal_except_cookie(datagram, sent_packet.packet)
        ]
        sent_packet = (matching or sent_packets)[-1]
        is_opening = bool(datagram[12] & SYN)
        soak.deliveries.append(
            Delivery(
                sent_packet.sent_at,
                flow,
                is_opening,
                sent_packet.balancer,
                endpoint,
                int.from_bytes(datagram[:8], 'big'),
                sent_packet.route_port,
                bool(matching),
            ),
        )
        if is_opening:
            soak.cookies.setdefault(flow, get_cookie(datagram))

    return handle_datagram


def _is_equal_except_cookie(datagram: bytes, packet: bytes) -> bool:
    """Return whether a datagram holds a packet, ignoring the cookie."""
    return datagram[8:18] + datagram[22:] == packet[:10] + packet[14:]


def receive_reset(soak: SoakRun) -> None:
    """Record a reset that has arrived at the callers' port."""
    datagram = soak.site.caller_socket.recv(2048)
    flow = int.from_bytes(datagram[20:22], 'little')
    sent_packets = soak.sent_packets.get(flow)
    if sent_packets:
        was_open = flow in soak.cookies
        route_port = sent_packets[-1].route_port
        soak.resets.append(Reset(soak.now(), flow, route_port, was_open))


async def open_flows(soak: SoakRun) -> None:
    """Open flows until the run is cancelled."""
    flows: list[asyncio.Task[bool]] = []
    while True:
        is_extra = soak.random.random() < EXTRA_ROUTE_SHARE
        route_port = EXTRA_ROUTE_PORT if is_extra else SERVICE_PORT
        flows.append(asyncio.create_task(run_flow(soak, route_port)))
        await asyncio.sleep(FLOW_INTERVAL_SECONDS)


async def run_flow(soak: SoakRun, route_port: int) -> bool:
    """Open a flow, send data through several balancers, and close it."""
    flow = soak.next_flow
    soak.next_flow += 1
    begin = soak.now()
    kind = OutcomeKind.SERVED
    for attempt, wait_seconds in enumerate(OPENING_WAITS_SECONDS):
        _send(soak, flow, route_port, SYN, attempt=attempt)
        await asyncio.sleep(wait_seconds)
        cookie = soak.cookies.get(flow)
        if cookie is not None:
            break
        kind = OutcomeKind.LATE
    else:
        soak.outcomes.append(FlowOutcome(begin, OutcomeKind.NOT_SERVED))
        return False
    soak.outcomes.append(FlowOutcome(begin, kind))
    for flags in (ACK, ACK, ACK | FIN):
        _send(soak, flow, route_port, flags, cookie)
        await asyncio.sleep(soak.random.uniform(0.05, 0.6))
    return True


def _send(
    soak: SoakRun,
    flow: int,
    route_port: int,
    flags: int,
    cookie: int = 0,
    attempt: int = 0,
) -> None:
    balancer = soak.random.randint(1, BALANCER_COUNT)
    sent_packets = soak.sent_packets.setdefault(flow, [])
    packet = build_packet(flags, flow, acknowledged=attempt, port=route_port)
    if flags != SYN:
        # The data differ in each packet of a flow, so that the endpoint can
        # match a datagram to the packet that was sent.
        data = bytes([len(sent_packets)]) * 40
        packet = build_packet(flags, flow, cookie, data, 1, port=route_port)
    sent_packets.append(SentPacket(soak.now(), balancer, route_port, packet))
    soak.site.send_packet(get_host(balancer), packet)
