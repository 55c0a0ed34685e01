"""Process of an edge balancer: sockets and timers on one event loop."""

import random
import signal
import sys
from collections.abc import Callable
from functools import partial
from socket import socket as Socket
from typing import Final

from balsamshed.edge.effects import (
    FetchView,
    LogEvent,
    ReadSource,
    SendReport,
    StopProcess,
)
from balsamshed.edge.lifecycle import TICK_SECONDS, handle_stop, handle_tick
from balsamshed.edge.state import accepts_traffic, create_edge
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    execute_effects,
    log_event,
    log_event_effect,
    read_clock,
    report_error,
    start_http_server,
)
from balsamshed.front_ends.edge_packets import open_packet_socket
from balsamshed.front_ends.edge_peers import open_peer_port
from balsamshed.front_ends.edge_settings import reload_settings
from balsamshed.front_ends.edge_store import read_store
from balsamshed.front_ends.event_loop import EventLoop, call_periodically
from balsamshed.front_ends.http_server import ServerResponse
from balsamshed.front_ends.http_session import HttpSession
from balsamshed.front_ends.wire_format import WireFormat
from balsamshed.logs.stream import create_stream_writer, write_lines
from balsamshed.peers.table import add_peer_addresses
from balsamshed.settings.edge import EdgeSettings

#: Interval of checks of the settings file.
SETTINGS_CHECK_INTERVAL_SECONDS: Final = 2.0
#: Path of the metrics.
METRICS_PATH: Final = '/metrics'
#: Path of the summary for operators, at the same address.
SUMMARY_PATH: Final = '/summary'
#: Path of the explanation of a placement; a query names the route.
PLACEMENT_PATH: Final = '/placement'

_OK: Final = 200


def run_edge(
    settings: EdgeSettings,
    wire: WireFormat,
    loop: EventLoop,
    read_change: Callable[[], str | None],
    packet_socket: Socket,
) -> None:
    """Run an edge balancer until SIGTERM or SIGINT has been handled.

    Parameters
    ----------
    settings : EdgeSettings
        Validated settings.
    wire : WireFormat
        Encodings of the platform that the balancer runs on.
    loop : EventLoop
        Event loop, not running yet.
    read_change : callable
        Returns the text of the settings file if it has changed, else None.
    packet_socket : socket
        Bound socket that the platform's routers send packets to.
    """
    process = _create_process(settings, wire, loop)
    write = create_stream_writer(sys.stdout.fileno())
    open_packet_socket(process, packet_socket)
    if settings.peer_ports:
        open_peer_port(process)
    start_http_server(
        process, settings.ready, partial(_handle_readiness_request, process)
    )
    start_http_server(
        process, settings.metrics, partial(_handle_operator_request, process)
    )

    def tick() -> None:
        # First, so that the lines of a tick that failed are written too.
        write_lines(process.log_lines, write)
        execute_effects(process, handle_tick(process.edge, read_clock()))

    loop.set_error_handler(partial(report_error, process))
    check_settings = partial(reload_settings, process, read_change)
    _install_signal_handlers(process, check_settings)
    log_event(
        process,
        'started',
        lambda: {
            'node': settings.name,
            'data_centre': settings.data_centre,
            'seeds': len(settings.seeds),
        },
    )
    call_periodically(loop, TICK_SECONDS, tick)
    # The file may change without a SIGHUP, so it is also polled.
    call_periodically(loop, SETTINGS_CHECK_INTERVAL_SECONDS, check_settings)
    loop.run_forever()
    log_event(process, 'stopped', lambda: dict(process.counts))
    write_lines(process.log_lines, write)


def _create_process(
    settings: EdgeSettings,
    wire: WireFormat,
    loop: EventLoop,
) -> EdgeProcess:
    now = read_clock()
    own_host = settings.packets.host
    seeds = tuple(seed.host for seed in settings.seeds)
    edge = create_edge(
        settings.data_centre,
        own_host,
        settings.flow_lifetime_seconds,
        settings.grace_seconds,
        own_host in seeds,
        random.SystemRandom().randrange,
        now,
        settings.options,
    )
    add_peer_addresses(edge.peer_table, seeds, now)
    store = HttpSession(loop, settings.store)
    process = EdgeProcess(edge, settings, wire, loop, store)
    process.effect_handlers.update(
        {
            ReadSource: partial(read_store, process),
            LogEvent: partial(log_event_effect, process),
            StopProcess: lambda _effect: loop.stop(),
            # Without peer ports there are no peers. Otherwise `open_peer_port`
            # replaces these handlers.
            SendReport: lambda _effect: None,
            FetchView: lambda _effect: None,
        },
    )
    return process


def _install_signal_handlers(
    process: EdgeProcess,
    reload: Callable[[], None],
) -> None:
    def request_stop() -> None:
        execute_effects(process, handle_stop(process.edge, read_clock()))

    for number in (signal.SIGTERM, signal.SIGINT):
        process.loop.add_signal_handler(number, request_stop)
    process.loop.add_signal_handler(signal.SIGHUP, reload)


def _handle_readiness_request(
    process: EdgeProcess, target: str
) -> ServerResponse:
    if target != process.wire.ready_path:
        return ServerResponse(404)
    return ServerResponse(_OK if accepts_traffic(process.edge) else 503)


def _handle_operator_request(
    process: EdgeProcess, target: str
) -> ServerResponse:
    # These modules take 7 MB, so they are imported by the first request.
    if target == METRICS_PATH:
        from balsamshed.front_ends.edge_metrics import render_metrics

        content_type = 'text/plain; version=0.0.4'
        return ServerResponse(_OK, render_metrics(process), content_type)
    if target == SUMMARY_PATH:
        from balsamshed.front_ends.edge_summary import render_summary

        return ServerResponse(_OK, render_summary(process), 'application/json')
    path, _, query = target.partition('?')
    if path == PLACEMENT_PATH:
        from balsamshed.front_ends.edge_placement import render_placement

        return render_placement(process, query)
    return ServerResponse(404)
