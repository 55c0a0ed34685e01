"""Balancer process: its state, sockets and timer on one reactor."""

import random
import resource
import signal
import socket
import time
import traceback
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, Final

from twisted.internet import reactor
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import LoopingCall

from balsamshed.front_ends.control_port import ControlPort, create_peer_handlers
from balsamshed.front_ends.data_port import (
    RECEIVE_BUFFER_BYTES,
    Address,
    DataPort,
    create_packet_handlers,
    create_peer_check,
)
from balsamshed.front_ends.effect_handlers import (
    EffectHandlers,
    EventSink,
    contain_errors,
    create_event_sink,
)
from balsamshed.front_ends.http_client import create_http_agent
from balsamshed.front_ends.load_probes import create_probe_handlers
from balsamshed.front_ends.metrics import (
    Metrics,
    create_metrics,
    create_metrics_site,
)
from balsamshed.front_ends.name_resolver import create_literal_resolver
from balsamshed.front_ends.store_client import create_store_client
from balsamshed.front_ends.store_handlers import create_store_handlers
from balsamshed.logs.events import (
    EventLogger,
    configure_logging,
    create_event_logger,
)
from balsamshed.members.member import Member
from balsamshed.node.dispatch import handle_event
from balsamshed.node.effects import (
    CountEvent,
    DropPacket,
    Effect,
    LogEvent,
    StopProcess,
)
from balsamshed.node.events import Event, LeaveRequested, Ticked
from balsamshed.node.ownership import is_joining
from balsamshed.node.state import Node, create_node
from balsamshed.settings.balancer import BalancerSettings

#: Interval of ticks, and so the longest delay of a flow copy.
TICK_SECONDS: Final = 0.1
#: Number of ticks between updates of the gauges.
TICKS_PER_GAUGE_UPDATE: Final = 20

_KIBIBYTE: Final = 1024


def run_balancer(settings: BalancerSettings) -> None:
    """Run a balancer until it is asked to stop.

    SIGTERM and SIGINT start a graceful stop.

    Parameters
    ----------
    settings : BalancerSettings
        Validated settings.
    """
    configure_logging()
    node = _create_node(settings)
    metrics = create_metrics()
    effect_handlers: EffectHandlers = {}
    write_log = create_event_logger()
    report_failure = _create_failure_reporter(metrics, write_log)
    sink = create_event_sink(
        _create_event_handler(node),
        effect_handlers,
        report_failure,
    )
    reactor.installNameResolver(create_literal_resolver())
    with _open_ports(settings, node, metrics, sink, effect_handlers):
        effect_handlers.update(_create_process_handlers(metrics, write_log))
        agent = create_http_agent(reactor)
        client = create_store_client(settings.store_url, agent, reactor)
        effect_handlers.update(create_store_handlers(client, sink))
        effect_handlers.update(create_probe_handlers(agent, reactor, sink))
        _install_signal_handlers(sink)
        tick = _create_tick(node, metrics, sink)
        # A timer that raises an exception is not called again.
        LoopingCall(contain_errors(tick, report_failure)).start(TICK_SECONDS)
        write_log(
            'started',
            name=settings.name,
            group=settings.group,
            data_centre=settings.data_centre,
            data_port=settings.data_port,
            control_port=settings.control_port,
        )
        reactor.run(installSignalHandlers=False)
    write_log('stopped', name=settings.name)


def _create_node(settings: BalancerSettings) -> Node:
    own = Member(
        settings.name,
        settings.data_centre,
        settings.advertised_host,
        settings.advertised_data_port,
        settings.advertised_control_port,
    )
    seeds = [(peer.host, peer.port) for peer in settings.peers]
    return create_node(
        own,
        settings.group,
        seeds,
        random.SystemRandom().randrange,
        time.monotonic(),
        time.time(),
    )


def _create_failure_reporter(
    metrics: Metrics,
    write_log: EventLogger,
) -> Callable[[], None]:
    def report_failure() -> None:
        metrics.count_event('internal_error')
        write_log('internal_error', traceback=traceback.format_exc())

    return report_failure


def _create_event_handler(node: Node) -> Callable[[Event], Iterable[Effect]]:
    read_clock = time.monotonic

    def handle(event: Event) -> Iterable[Effect]:
        return handle_event(node, event, read_clock())

    return handle


@contextmanager
def _open_ports(
    settings: BalancerSettings,
    node: Node,
    metrics: Metrics,
    sink: EventSink,
    effect_handlers: EffectHandlers,
) -> Iterator[None]:
    fabric = (settings.fabric.host, settings.fabric.port)
    count = metrics.count_drop

    def find_data_address(name: str) -> Address | None:
        member = node.membership.peers.get(name)
        return None if member is None else (member.host, member.data_port)

    is_peer = create_peer_check(node.membership.peers)
    data_port = DataPort(fabric, is_peer, sink, count)
    control_port = ControlPort(
        settings.peer_key,
        sink,
        count,
        metrics.count_event,
    )
    effect_handlers.update(
        create_packet_handlers(data_port, fabric, find_data_address, count),
    )
    effect_handlers.update(create_peer_handlers(control_port, node))
    site = create_metrics_site(
        metrics, lambda: _is_ready(node, time.monotonic())
    )
    listening = [
        reactor.listenUDP(
            settings.data_port,
            data_port,
            settings.host,
            maxPacketSize=65536,
        ),
        reactor.listenUDP(
            settings.control_port,
            control_port,
            settings.host,
            maxPacketSize=65536,
        ),
        reactor.listenTCP(
            settings.metrics_port,
            site,
            interface=settings.host,
        ),
    ]
    _enlarge_receive_buffer(listening[0])
    try:
        yield
    finally:
        for port in listening:
            port.stopListening()


def _enlarge_receive_buffer(port: IListeningPort) -> None:
    port.socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        RECEIVE_BUFFER_BYTES,
    )


def _is_ready(node: Node, now: float) -> bool:
    """Tell whether the fabric should send packets to this balancer."""
    if node.is_leaving or is_joining(node, now):
        # A joining balancer drops openings; their callers repeat them later.
        return False
    return bool(node.catalog.records)


def _create_process_handlers(
    metrics: Metrics,
    write_log: EventLogger,
) -> EffectHandlers:
    def log_event(effect: LogEvent) -> None:
        write_log(effect.name, **effect.fields)

    def count_event(effect: CountEvent) -> None:
        metrics.count_event(effect.name)

    def count_drop(effect: DropPacket) -> None:
        metrics.count_drop(effect.reason)

    def stop(effect: StopProcess) -> None:
        if reactor.running:
            reactor.stop()

    return {
        LogEvent: log_event,
        CountEvent: count_event,
        DropPacket: count_drop,
        StopProcess: stop,
    }


def _install_signal_handlers(sink: EventSink) -> None:
    def request_leave(number: int, frame: Any) -> None:
        reactor.callFromThread(sink, LeaveRequested())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_leave)


def _create_tick(
    node: Node, metrics: Metrics, sink: EventSink
) -> Callable[[], None]:
    due_at = time.monotonic()
    ticks = 0
    shown_view_version = -1

    def tick() -> None:
        nonlocal due_at, ticks, shown_view_version
        now = time.monotonic()
        delay = max(now - due_at, 0)
        due_at = now + TICK_SECONDS
        sink(Ticked(time.time(), delay))
        ticks += 1
        # Operators and the fabric act on a change of the members at once.
        has_new_members = node.view_version != shown_view_version
        if has_new_members or ticks % TICKS_PER_GAUGE_UPDATE == 0:
            shown_view_version = node.view_version
            _set_gauges(node, metrics.set_gauge, delay)

    return tick


def _set_gauges(
    node: Node,
    set_gauge: Callable[..., None],
    delay: float,
) -> None:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    gauges = {
        'balsamshed_members': len(node.reachable),
        'balsamshed_flows_open': len(node.flows.placements),
        'balsamshed_copies_pending': sum(
            map(len, node.copy_queue.pending.values()),
        ),
        'balsamshed_catalog_highest_version': node.catalog.highest_version,
        'balsamshed_records_rejected': len(node.catalog.rejections),
        'balsamshed_resident_memory_bytes': usage.ru_maxrss * _KIBIBYTE,
        'balsamshed_cpu_seconds': usage.ru_utime + usage.ru_stime,
        'balsamshed_loop_delay_seconds': delay,
    }
    for name, amount in gauges.items():
        set_gauge(name, amount)
    for listener, limiter in node.limiters.items():
        set_gauge(
            'balsamshed_concurrency_limit',
            limiter.limit,
            listener=listener,
        )
        set_gauge(
            'balsamshed_requests_in_flight',
            limiter.open_count,
            listener=listener,
        )
