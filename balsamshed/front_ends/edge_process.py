"""Process of an edge balancer: sockets and timers on one loop."""

import random
import signal
import sys
import time
from asyncio import AbstractEventLoop
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.edge.effects import (
    EdgeEffect,
    ReadSource,
    StopProcess,
    WriteEvent,
)
from balsamshed.edge.state import (
    Edge,
    accepts_traffic,
    create_edge,
    handle_endpoints,
    handle_read_failed,
    handle_routes,
    handle_stop,
    handle_tick,
)
from balsamshed.endpoints.directory import EndpointView
from balsamshed.front_ends.http_port import HttpAnswer, HttpServerConnection
from balsamshed.front_ends.http_session import HttpFailure, HttpSession
from balsamshed.front_ends.packet_socket import PacketSocket
from balsamshed.front_ends.source_reader import (
    SourceListing,
    StoreFormat,
    read_source,
)
from balsamshed.logs.stream import (
    LineQueue,
    add_line,
    create_stream_writer,
    write_lines,
)
from balsamshed.routes.table import RouteTable
from balsamshed.settings.edge import EdgeSettings
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.packets import FlowPacket, ForwardFlow, ResetFlow
from balsamshed.store.reading import Source

#: Time between ticks: expired requests, due reads and waiting log lines.
TICK_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class WireFormat:
    """How packets, the store and the readiness check are spoken.

    Parameters
    ----------
    decode_packet : callable
        Returns the packet of a datagram, or a sentinel with a ``reason``.
    encode_forwarded : callable
        Takes a raw packet, the identity of its endpoint and the cookie.
    encode_reset : callable
        Takes the raw packet of the flow to reset.
    get_caller_address : callable
        Returns the host of a raw packet's sender.
    decode_endpoints : callable
        Takes a listing; returns the view and descriptions of rejected items.
    decode_routes : callable
        Takes a listing; returns the routes, or a description of the fault.
    store : StoreFormat
        Paths and pages of the store.
    ready_path : str
        Path of the readiness check.
    """

    decode_packet: Callable[[bytes], Any]
    encode_forwarded: Callable[[bytes, int, int], bytes]
    encode_reset: Callable[[bytes], bytes]
    get_caller_address: Callable[[bytes], str]
    decode_endpoints: Callable[
        [SourceListing],
        tuple[EndpointView, tuple[str, ...]],
    ]
    decode_routes: Callable[[SourceListing], RouteTable | str]
    store: StoreFormat
    ready_path: str


def run_edge(
    settings: EdgeSettings,
    wire: WireFormat,
    loop: AbstractEventLoop,
) -> None:
    """Run an edge balancer until SIGTERM or SIGINT has been handled.

    Parameters
    ----------
    settings : EdgeSettings
        Checked settings.
    wire : WireFormat
        Encodings of the platform that it runs on.
    loop : AbstractEventLoop
        Event loop, not running yet.
    """
    edge = create_edge(
        settings.data_centre,
        settings.flow_lifetime_seconds,
        settings.grace_seconds,
        random.SystemRandom().randrange,
        time.monotonic(),
    )
    counts: Counter[str] = Counter()
    queue = LineQueue()
    write = create_stream_writer(sys.stdout.fileno())

    def log(name: str, /, **fields: object) -> None:
        add_line(queue, name, fields)

    perform = _create_performer(edge, settings, wire, loop, log)
    _open_packet_socket(edge, settings, wire, loop, counts)
    answer = _create_answers(edge, wire)
    loop.run_until_complete(
        loop.create_server(
            lambda: HttpServerConnection(answer),
            settings.ready.host,
            settings.ready.port,
        ),
    )

    def tick() -> None:
        perform(handle_tick(edge, time.monotonic()))
        write_lines(queue, write)
        loop.call_later(TICK_SECONDS, tick)

    def request_stop() -> None:
        perform(handle_stop(edge, time.monotonic()))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log('started', node=settings.name, data_centre=settings.data_centre)
    loop.call_soon(tick)
    loop.run_forever()
    log('stopped', **counts)
    write_lines(queue, write)


def _create_answers(
    edge: Edge,
    wire: WireFormat,
) -> Callable[[str], HttpAnswer]:
    def answer(path: str) -> HttpAnswer:
        if path != wire.ready_path:
            return HttpAnswer(404)
        return HttpAnswer(200 if accepts_traffic(edge) else 503)

    return answer


def _open_packet_socket(
    edge: Edge,
    settings: EdgeSettings,
    wire: WireFormat,
    loop: AbstractEventLoop,
    counts: Counter[str],
) -> None:
    steering = edge.steering
    caller_port = settings.packets.port
    read_clock = time.monotonic

    def count(name: str) -> None:
        counts[name] += 1

    def take_datagram(datagram: bytes, _sender: tuple[str, int]) -> None:
        packet = wire.decode_packet(datagram)
        if not isinstance(packet, FlowPacket):
            count(f'malformed_{packet.reason}')
            return
        now = read_clock()
        edge.last_packet_at = now
        effect = steer_packet(steering, packet, now)
        if isinstance(effect, ForwardFlow):
            endpoint = effect.endpoint
            port.send(
                wire.encode_forwarded(
                    datagram,
                    endpoint.instance,
                    effect.cookie,
                ),
                (endpoint.host, endpoint.port),
            )
        elif isinstance(effect, ResetFlow):
            count(f'reset_{effect.reason}')
            caller = (wire.get_caller_address(datagram), caller_port)
            port.send(wire.encode_reset(datagram), caller)
        else:
            count(f'dropped_{effect.reason}')

    port = PacketSocket(settings.packets, take_datagram, count)
    port.watch(loop)


def _create_performer(
    edge: Edge,
    settings: EdgeSettings,
    wire: WireFormat,
    loop: AbstractEventLoop,
    log: Callable[..., None],
) -> Callable[[Iterable[EdgeEffect]], None]:
    sessions = {
        source: HttpSession(loop, settings.store) for source in Source
    }

    def take_listing(
        source: Source,
        outcome: SourceListing | HttpFailure,
    ) -> None:
        now = time.monotonic()
        if isinstance(outcome, HttpFailure):
            perform(handle_read_failed(edge, source, outcome.reason, now))
        elif source is Source.ENDPOINTS:
            view, rejected = wire.decode_endpoints(outcome)
            _log_rejected(rejected, log)
            perform(handle_endpoints(edge, view, now))
        else:
            table = wire.decode_routes(outcome)
            if isinstance(table, str):
                perform(handle_read_failed(edge, source, table, now))
            else:
                perform(handle_routes(edge, table, now))

    def perform(effects: Iterable[EdgeEffect]) -> None:
        for effect in effects:
            if isinstance(effect, ReadSource):
                source = effect.source
                read_source(
                    sessions[source],
                    wire.store,
                    source,
                    _bind_source(take_listing, source),
                )
            elif isinstance(effect, WriteEvent):
                log(effect.name, **effect.fields)
            elif isinstance(effect, StopProcess):
                loop.stop()

    return perform


def _bind_source(
    take_listing: Callable[[Source, SourceListing | HttpFailure], None],
    source: Source,
) -> Callable[[SourceListing | HttpFailure], None]:
    return lambda outcome: take_listing(source, outcome)


def _log_rejected(
    rejected: tuple[str, ...],
    log: Callable[..., None],
) -> None:
    if rejected:
        log(
            'entries_rejected',
            count=len(rejected),
            first=rejected[0],
        )
