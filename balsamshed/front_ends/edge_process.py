"""Process of an edge balancer: sockets and timers on one loop."""

import random
import signal
import sys
import time
from asyncio import AbstractEventLoop
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Any, Final

from balsamshed.codecs.reports import (
    MalformedReport,
    decode_report,
    encode_report,
)
from balsamshed.codecs.views import decode_view, encode_view
from balsamshed.edge.effects import (
    EdgeEffect,
    FetchView,
    ReadSource,
    SendReport,
    StopProcess,
    WriteEvent,
)
from balsamshed.edge.lifecycle import TICK_SECONDS, handle_stop, handle_tick
from balsamshed.edge.state import Edge, accepts_traffic, create_edge
from balsamshed.edge.views import (
    get_view,
    handle_endpoints,
    handle_peer_view,
    handle_read_failed,
    handle_report,
    handle_routes,
)
from balsamshed.endpoints.directory import EndpointView
from balsamshed.front_ends.datagram_socket import DatagramSocket
from balsamshed.front_ends.http_port import HttpAnswer, HttpServerConnection
from balsamshed.front_ends.http_session import (
    HttpFailure,
    HttpResponse,
    HttpSession,
)
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
from balsamshed.peers.roster import add_addresses
from balsamshed.routes.table import RouteTable
from balsamshed.settings.balancer import SocketAddress
from balsamshed.settings.edge import EdgeSettings
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.packets import FlowPacket, ForwardFlow, ResetFlow
from balsamshed.store.reading import Source

#: Path of a balancer's view of the store, for its peers.
VIEW_PATH: Final = '/view'
#: A peer that does not answer in this time is not asked any more.
FETCH_TIMEOUT_SECONDS: Final = 0.5

_OK: Final = 200


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


def read_clock() -> float:
    """Return seconds of a clock that also counts while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class EdgeProcess:
    """Sockets and connections of a process, with the state that they serve.

    Attributes
    ----------
    edge : Edge
        State.
    settings : EdgeSettings
        Settings.
    wire : WireFormat
        Encodings of the platform.
    loop : AbstractEventLoop
        Event loop.
    store : HttpSession
        Connection to the store.
    counts : Counter of str
        Events without a line of their own.
    lines : LineQueue
        Log lines.
    reports : DatagramSocket or None
        Socket for reports of peers; None on a machine without ports for it.
    """

    edge: Edge
    settings: EdgeSettings
    wire: WireFormat
    loop: AbstractEventLoop
    store: HttpSession
    counts: Counter[str]
    lines: LineQueue
    reports: DatagramSocket | None = None


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
    process = _create_process(settings, wire, loop)
    write = create_stream_writer(sys.stdout.fileno())
    _open_packet_socket(process)
    _open_peer_port(process)
    _listen(process, settings.ready, _answer_readiness)

    def tick() -> None:
        _perform(process, handle_tick(process.edge, read_clock()))
        write_lines(process.lines, write)
        loop.call_later(TICK_SECONDS, tick)

    def request_stop() -> None:
        _perform(process, handle_stop(process.edge, read_clock()))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    add_line(
        process.lines,
        'started',
        {
            'node': settings.name,
            'data_centre': settings.data_centre,
            'seeds': len(settings.seeds),
        },
    )
    loop.call_soon(tick)
    loop.run_forever()
    add_line(process.lines, 'stopped', dict(process.counts))
    write_lines(process.lines, write)


def _create_process(
    settings: EdgeSettings,
    wire: WireFormat,
    loop: AbstractEventLoop,
) -> EdgeProcess:
    now = read_clock()
    edge = create_edge(
        settings.data_centre,
        settings.packets.host,
        settings.flow_lifetime_seconds,
        settings.grace_seconds,
        random.SystemRandom().randrange,
        now,
    )
    add_addresses(edge.roster, (seed.host for seed in settings.seeds), now)
    return EdgeProcess(
        edge,
        settings,
        wire,
        loop,
        HttpSession(loop, settings.store),
        Counter(),
        LineQueue(),
    )


def _listen(
    process: EdgeProcess,
    address: SocketAddress,
    answer: Callable[[EdgeProcess, str], HttpAnswer],
) -> None:
    loop = process.loop
    loop.run_until_complete(
        loop.create_server(
            lambda: HttpServerConnection(partial(answer, process)),
            address.host,
            address.port,
        ),
    )


def _answer_readiness(process: EdgeProcess, path: str) -> HttpAnswer:
    if path != process.wire.ready_path:
        return HttpAnswer(404)
    return HttpAnswer(_OK if accepts_traffic(process.edge) else 503)


def _answer_peer(process: EdgeProcess, path: str) -> HttpAnswer:
    if path != VIEW_PATH:
        return HttpAnswer(404)
    if process.edge.reads.revision < 0:
        return HttpAnswer(503)
    body = encode_view(*get_view(process.edge))
    return HttpAnswer(_OK, body, 'application/json')


def _open_packet_socket(process: EdgeProcess) -> None:
    edge, wire, counts = process.edge, process.wire, process.counts
    steering = edge.steering
    caller_port = process.settings.packets.port

    def take_datagram(datagram: bytes, _sender: tuple[str, int]) -> None:
        packet = wire.decode_packet(datagram)
        if not isinstance(packet, FlowPacket):
            counts[f'malformed_{packet.reason}'] += 1
            return
        now = read_clock()
        edge.last_packet_at = now
        effect = steer_packet(steering, packet, now)
        if isinstance(effect, ForwardFlow):
            endpoint = effect.endpoint
            forwarded = wire.encode_forwarded(
                datagram,
                endpoint.instance,
                effect.cookie,
            )
            port.send(forwarded, (endpoint.host, endpoint.port))
        elif isinstance(effect, ResetFlow):
            counts[f'reset_{effect.reason}'] += 1
            caller = (wire.get_caller_address(datagram), caller_port)
            port.send(wire.encode_reset(datagram), caller)
        else:
            counts[f'dropped_{effect.reason}'] += 1

    port = DatagramSocket(
        process.settings.packets,
        take_datagram,
        _create_counter(counts),
    )
    port.watch(process.loop)


def _open_peer_port(process: EdgeProcess) -> None:
    if not process.settings.peer_ports:
        return

    def take_datagram(datagram: bytes, sender: tuple[str, int]) -> None:
        report = decode_report(datagram)
        if isinstance(report, MalformedReport):
            process.counts[f'malformed_report_{report}'] += 1
            return
        effects = handle_report(process.edge, sender[0], report, read_clock())
        _perform(process, effects)

    address = _get_peer_address(process, process.settings.packets.host)
    process.reports = DatagramSocket(
        address,
        take_datagram,
        _create_counter(process.counts),
    )
    process.reports.watch(process.loop)
    _listen(process, address, _answer_peer)


def _create_counter(counts: Counter[str]) -> Callable[[str], None]:
    def count(name: str) -> None:
        counts[name] += 1

    return count


def _get_peer_address(process: EdgeProcess, host: str) -> SocketAddress:
    return SocketAddress(host, process.settings.peer_ports[0])


def _perform(process: EdgeProcess, effects: Iterable[EdgeEffect]) -> None:
    for effect in effects:
        _PERFORMERS[type(effect)](process, effect)


def _read_source(process: EdgeProcess, effect: ReadSource) -> None:
    read_source(
        process.store,
        process.wire.store,
        effect.source,
        partial(_take_listing, process, effect.source),
    )


def _take_listing(
    process: EdgeProcess,
    source: Source,
    outcome: SourceListing | HttpFailure,
) -> None:
    edge, wire, now = process.edge, process.wire, read_clock()
    if isinstance(outcome, HttpFailure):
        effects = handle_read_failed(edge, source, outcome.reason, now)
    elif source is Source.ENDPOINTS:
        view, rejected = wire.decode_endpoints(outcome)
        _log_rejected(process, rejected)
        effects = handle_endpoints(edge, view, now)
    else:
        table = wire.decode_routes(outcome)
        if isinstance(table, str):
            effects = handle_read_failed(edge, source, table, now)
        else:
            effects = handle_routes(edge, table, now)
    _perform(process, effects)


def _log_rejected(process: EdgeProcess, rejected: tuple[str, ...]) -> None:
    # The same entries are rejected at each read: only news gets a line.
    known = process.counts['entries_rejected']
    process.counts['entries_rejected'] = len(rejected)
    if len(rejected) != known:
        fields = {'count': len(rejected), 'first': ''.join(rejected[:1])}
        add_line(process.lines, 'entries_rejected', fields)


def _fetch_view(process: EdgeProcess, effect: FetchView) -> None:
    peer = HttpSession(process.loop, _get_peer_address(process, effect.host))

    def take_response(outcome: HttpResponse | HttpFailure) -> None:
        peer.close()
        _perform(process, _handle_view(process.edge, outcome))

    peer.get(VIEW_PATH, FETCH_TIMEOUT_SECONDS, take_response)


def _handle_view(
    edge: Edge,
    outcome: HttpResponse | HttpFailure,
) -> list[EdgeEffect]:
    now = read_clock()
    if isinstance(outcome, HttpFailure):
        reason = outcome.reason
    elif outcome.status != _OK:
        reason = f'status_{outcome.status}'
    elif (view := decode_view(outcome.body)) is None:
        reason = 'malformed'
    else:
        return handle_peer_view(edge, *view, now)
    return handle_read_failed(edge, Source.PEER_VIEW, reason, now)


def _send_report(process: EdgeProcess, effect: SendReport) -> None:
    if process.reports is None:
        return
    datagram = encode_report(effect.report)
    for host in effect.hosts:
        process.reports.send(datagram, (host, process.settings.peer_ports[0]))


def _write_event(process: EdgeProcess, effect: WriteEvent) -> None:
    add_line(process.lines, effect.name, dict(effect.fields))


def _stop(process: EdgeProcess, _effect: StopProcess) -> None:
    process.loop.stop()


_PERFORMERS: Mapping[type, Callable[[EdgeProcess, Any], None]] = (
    MappingProxyType(
        {
            ReadSource: _read_source,
            FetchView: _fetch_view,
            SendReport: _send_report,
            WriteEvent: _write_event,
            StopProcess: _stop,
        },
    )
)
