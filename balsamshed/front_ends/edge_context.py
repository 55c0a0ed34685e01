"""State and helpers that the front ends of an edge balancer share."""

import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Final

from balsamshed.edge.effects import EdgeEffect, LogEvent
from balsamshed.edge.state import Edge
from balsamshed.front_ends.event_loop import EventLoop
from balsamshed.front_ends.http_server import (
    HttpServerConnection,
    ServerResponse,
)
from balsamshed.front_ends.http_session import HttpSession
from balsamshed.front_ends.streams import listen
from balsamshed.front_ends.wire_format import WireFormat
from balsamshed.logs.stream import LineQueue, enqueue_event
from balsamshed.settings.balancer import SocketAddress
from balsamshed.settings.edge import EdgeSettings

#: Durations of one name that are kept until the next metrics request; beyond
#: that the oldest are dropped.
MAX_PENDING_DURATIONS: Final = 1000


@dataclass(slots=True)
class EdgeProcess:
    """State and connections of an edge balancer process.

    Attributes
    ----------
    edge : Edge
        State of the balancer.
    settings : EdgeSettings
        Settings in force.
    wire : WireFormat
        Encodings of the platform.
    loop : EventLoop
        Event loop.
    store_session : HttpSession
        HTTP session to the store.
    counts : Counter of str
        Event counts by name.
    durations : dict of str to deque of float
        Durations in seconds by name, until the next metrics request.
    log_lines : LineQueue
        Log lines to be written.
    effect_handlers : dict of type to callable
        Function that carries out each type of effect.
    """

    edge: Edge
    settings: EdgeSettings
    wire: WireFormat
    loop: EventLoop
    store_session: HttpSession
    counts: Counter[str] = field(default_factory=Counter)
    durations: dict[str, deque[float]] = field(default_factory=dict)
    log_lines: LineQueue = field(default_factory=LineQueue)
    effect_handlers: dict[type, Callable[[Any], None]] = field(
        default_factory=dict
    )


def read_clock() -> float:
    """Return monotonic seconds that include time while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def execute_effects(
    process: EdgeProcess, effects: Iterable[EdgeEffect]
) -> None:
    """Carry out effects in order."""
    for effect in effects:
        process.effect_handlers[type(effect)](effect)


def log_event(
    process: EdgeProcess,
    name: str,
    create_fields: Callable[[], Mapping[str, object]],
) -> None:
    """Count an event and queue its log line."""
    process.counts[name] += 1
    enqueue_event(process.log_lines, name, create_fields, read_clock())


def log_event_effect(process: EdgeProcess, effect: LogEvent) -> None:
    """Log the event of an effect, with its flow key as text."""

    def create_fields() -> Mapping[str, object]:
        fields = dict(effect.fields)
        flow_key = fields.get('flow')
        if isinstance(flow_key, bytes):
            fields['flow'] = process.wire.describe_flow(flow_key)
        return fields

    log_event(process, effect.name, create_fields)


def record_duration(process: EdgeProcess, name: str, seconds: float) -> None:
    """Keep a duration until the next metrics request."""
    pending = process.durations.get(name)
    if pending is None:
        pending = deque(maxlen=MAX_PENDING_DURATIONS)
        process.durations[name] = pending
    pending.append(seconds)


def start_http_server(
    process: EdgeProcess,
    address: SocketAddress,
    handle_request: Callable[[str], ServerResponse],
) -> None:
    """Start an HTTP server."""
    listen(process.loop, address, lambda: HttpServerConnection(handle_request))


def report_error(process: EdgeProcess, error: Exception) -> None:
    """Count an unexpected error and log it with the line that raised it."""
    log_event(
        process,
        'internal_error',
        lambda: {
            'error': f'{type(error).__name__}: {error}',
            'place': _find_place(error.__traceback__),
        },
    )


def _find_place(traceback: TracebackType | None) -> str:
    """Return the file and the line of the innermost frame."""
    if traceback is None:
        return ''
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f'{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}'
