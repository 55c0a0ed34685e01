"""Process of an edge balancer: sockets and timers on one loop."""

import random
import signal
import sys
from asyncio import AbstractEventLoop
from functools import partial
from typing import Final

from balsamshed.edge.effects import (
    FetchView,
    ReadSource,
    SendReport,
    StopProcess,
    WriteEvent,
)
from balsamshed.edge.lifecycle import TICK_SECONDS, handle_stop, handle_tick
from balsamshed.edge.state import accepts_traffic, create_edge
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    listen,
    log_event,
    perform,
    read_clock,
    write_event,
)
from balsamshed.front_ends.edge_packets import open_packet_socket
from balsamshed.front_ends.edge_peers import open_peer_port
from balsamshed.front_ends.edge_store import read_store
from balsamshed.front_ends.http_port import HttpAnswer
from balsamshed.front_ends.http_session import HttpSession
from balsamshed.front_ends.wire_format import WireFormat
from balsamshed.logs.stream import create_stream_writer, write_lines
from balsamshed.peers.roster import add_addresses
from balsamshed.settings.edge import EdgeSettings

#: Path of the metrics.
METRICS_PATH: Final = '/metrics'

_OK: Final = 200


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
    open_packet_socket(process)
    if settings.peer_ports:
        open_peer_port(process)
    listen(process, settings.ready, partial(_answer_readiness, process))
    listen(process, settings.metrics, partial(_answer_metrics, process))

    def tick() -> None:
        perform(process, handle_tick(process.edge, read_clock()))
        write_lines(process.lines, write)
        loop.call_later(TICK_SECONDS, tick)

    _install_signals(process)
    log_event(
        process,
        'started',
        lambda: {
            'node': settings.name,
            'data_centre': settings.data_centre,
            'seeds': len(settings.seeds),
        },
    )
    loop.call_soon(tick)
    loop.run_forever()
    log_event(process, 'stopped', lambda: dict(process.counts))
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
    store = HttpSession(loop, settings.store)
    process = EdgeProcess(edge, settings, wire, loop, store)
    process.performers.update(
        {
            ReadSource: partial(read_store, process),
            WriteEvent: partial(write_event, process),
            StopProcess: lambda _effect: loop.stop(),
            # Without ports for peers there is nobody to talk to.
            SendReport: lambda _effect: None,
            FetchView: lambda _effect: None,
        },
    )
    return process


def _install_signals(process: EdgeProcess) -> None:
    def request_stop() -> None:
        perform(process, handle_stop(process.edge, read_clock()))

    def note_reload() -> None:
        # The settings name addresses only, and those of a running process
        # cannot change; routes and endpoints come from the store.
        log_event(process, 'reload_ignored', dict)

    for number in (signal.SIGTERM, signal.SIGINT):
        process.loop.add_signal_handler(number, request_stop)
    process.loop.add_signal_handler(signal.SIGHUP, note_reload)


def _answer_readiness(process: EdgeProcess, target: str) -> HttpAnswer:
    if target != process.wire.ready_path:
        return HttpAnswer(404)
    return HttpAnswer(_OK if accepts_traffic(process.edge) else 503)


def _answer_metrics(process: EdgeProcess, target: str) -> HttpAnswer:
    if target != METRICS_PATH:
        return HttpAnswer(404)
    # The library is loaded by the first fetch: it takes 7 MB.
    from balsamshed.front_ends.edge_metrics import render_metrics

    return HttpAnswer(_OK, render_metrics(process), 'text/plain; version=0.0.4')
