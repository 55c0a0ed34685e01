"""Simulates a backend server of the test network.

`testbed.messages` defines its protocol with callers. HTTP API on the report
port: ``GET /load``, ``GET /runs`` and ``POST /faults``.
``python -m testbed.backend_server --help`` lists the options.
"""

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any, Final

import defopt
from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from testbed.addresses import SocketAddress, parse_address
from testbed.connection import (
    Connection,
    ConnectionEnded,
    DataReceived,
    Event,
    FinReceived,
    is_open,
)
from testbed.datagrams import listen_datagrams, send_datagram
from testbed.faults import change_faults
from testbed.http_api import (
    RequestHandler,
    answer_json,
    build_query_handler,
    build_router,
    build_update_handler,
    listen_http,
)
from testbed.messages import (
    FeedLine,
    Line,
    RequestLine,
    build_payload,
    compute_payload_checksum,
    format_line,
    parse_line,
)
from testbed.packets import Segment
from testbed.programs import run_until_stopped
from testbed.tcp_stack import (
    ConnectionKey,
    SynDecision,
    TcpStack,
    abort,
    count_open,
    finish,
    get_key,
    receive_packet,
    send_payload,
)

#: Factor on the service time of a cold server at its start.
COLD_START_FACTOR: Final = 4
#: Maximum length of a line; a connection that exceeds it is reset.
MAX_LINE_BYTES: Final = 1000


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of a backend server.

    Parameters
    ----------
    name : str
        Name of the backend server.
    service : str
        Service that it answers for.
    host : int
        Its IPv4 address in the test network.
    feed_ports, request_ports : frozenset of int
        Ports on which it accepts feeds and requests.
    slots : int
        Maximum number of requests that run at the same time.
    max_queued : int
        Number of queued requests above which it refuses connections to
        request ports.
    tick_ms : float
        Time between two ticks of a feed.
    cold_start_seconds : float
        How long it is slower after its start; zero for no cold start.
    report_lag_ms : float
        Time between two updates of the load report; zero for live reports.
    """

    name: str
    service: str
    host: int
    feed_ports: frozenset[int]
    request_ports: frozenset[int]
    slots: int
    max_queued: int
    tick_ms: float
    cold_start_seconds: float
    report_lag_ms: float


@dataclass(frozen=True, slots=True)
class ServerFaults:
    """Faults of a backend server, and its service time.

    Parameters
    ----------
    service_time_ms : float
        Service time of a request.
    shed : bool
        Refuse every new connection.
    unresponsive : bool
        Neither receive nor send packets.
    lie_idle : bool
        Report no load.
    hang_reports : bool
        Accept requests for the load report without answering them.
    """

    service_time_ms: float
    shed: bool = False
    unresponsive: bool = False
    lie_idle: bool = False
    hang_reports: bool = False


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Load of a backend server at one moment.

    Parameters
    ----------
    in_flight : int
        Number of running requests.
    queued : int
        Number of requests that wait for a slot.
    open_connections : int
        Number of connections on which data may still flow.
    taken_at : float
        Monotonic time in seconds.
    """

    in_flight: int
    queued: int
    open_connections: int
    taken_at: float


@dataclass(eq=False, slots=True)
class Session:
    """Feed or request on a connection.

    Attributes
    ----------
    connection : Connection
        Connection of the session.
    received : bytearray
        Received part of an incomplete line.
    ticks : int
        Number of sent ticks.
    timer : object
        Timer of the next tick; None if the session is not a feed.
    request : RequestLine or None
        The request, once received.
    expires_at : float
        Monotonic time after which the request must not start.
    """

    connection: Connection
    received: bytearray = field(default_factory=bytearray)
    ticks: int = 0
    timer: Any = None
    request: RequestLine | None = None
    expires_at: float = 0


@dataclass(slots=True)
class Server:
    """State of a backend server.

    Attributes
    ----------
    settings : ServerSettings
        Settings of the process.
    faults : ServerFaults
        Active faults.
    clock : object
        Twisted's reactor, or a clock for tests.
    started_at : float
        Monotonic time of the start.
    tcp_stack : TcpStack
        Connections of the server.
    sessions : dict of ConnectionKey to Session
        Sessions of open connections.
    queue : deque of Session
        Requests that wait for a slot, oldest first.
    running : int
        Number of running requests.
    runs : Counter of str
        Number of runs of each request.
    wrong_service : int
        Number of requests and feeds that named another service.
    accepted : list of (float, int)
        Wall-clock time and port of each accepted SYN, without repeated ones.
    report : LoadSnapshot
        Load in the last update of the report, if reports lag.
    """

    settings: ServerSettings
    faults: ServerFaults
    clock: Any
    started_at: float
    tcp_stack: TcpStack = field(init=False)
    sessions: dict[ConnectionKey, Session] = field(default_factory=dict)
    queue: deque[Session] = field(default_factory=deque)
    running: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    wrong_service: int = 0
    accepted: list[tuple[float, int]] = field(default_factory=list)
    report: LoadSnapshot = LoadSnapshot(0, 0, 0, 0)


def build_server(
    settings: ServerSettings,
    faults: ServerFaults,
    clock: Any,
    send: Callable[[bytes], object],
) -> Server:
    """Build a backend server.

    Parameters
    ----------
    settings : ServerSettings
        Settings of the process.
    faults : ServerFaults
        Initial faults.
    clock : object
        Twisted's reactor, or a clock for tests.
    send : callable
        Sends one packet.

    Returns
    -------
    Server
        Backend server without connections.
    """
    server = Server(settings, faults, clock, clock.seconds())

    def classify_syn(segment: Segment) -> SynDecision:
        return _classify_syn(server, segment)

    def notify(connection: Connection, event: Event) -> None:
        _handle_event(server, connection, event)

    def send_if_responsive(raw: bytes) -> None:
        if not server.faults.unresponsive:
            send(raw)

    # No fixed seed: two servers must not use the same sequence numbers.
    numbers = Random()  # noqa: S311
    server.tcp_stack = TcpStack(
        send=send_if_responsive,
        clock=clock,
        choose_sequence=lambda: numbers.getrandbits(32),
        classify_syn=classify_syn,
        notify=notify,
    )
    return server


def receive_datagram(server: Server, raw: bytes) -> None:
    """Handle a packet from the fabric.

    Parameters
    ----------
    server : Server
        Changed in place.
    raw : bytes
        The packet.
    """
    if not server.faults.unresponsive:
        receive_packet(server.tcp_stack, raw)


def take_snapshot(server: Server) -> LoadSnapshot:
    """Return the current load."""
    return LoadSnapshot(
        server.running,
        len(server.queue),
        count_open(server.tcp_stack),
        server.clock.seconds(),
    )


def describe_load(server: Server) -> dict[str, object]:
    """Return the load report, which may be outdated or false.

    Parameters
    ----------
    server : Server
        Server to describe.

    Returns
    -------
    dict
        JSON document of ``GET /load``.
    """
    snapshot = server.report
    if not server.settings.report_lag_ms:
        snapshot = take_snapshot(server)
    if server.faults.lie_idle:
        snapshot = LoadSnapshot(0, 0, 0, server.clock.seconds())
    age_seconds = server.clock.seconds() - snapshot.taken_at
    return {
        'in_flight': snapshot.in_flight,
        'queued': snapshot.queued,
        'open_connections': snapshot.open_connections,
        'age_ms': round(age_seconds * 1000),
    }


def describe_runs(server: Server) -> dict[str, object]:
    """Return the JSON document of ``GET /runs``."""
    counters = server.tcp_stack.counters
    return {
        'runs': dict(server.runs),
        'wrong_service': server.wrong_service,
        'unknown_packets': counters['unknown_packets'],
        'unknown_resets': counters['unknown_resets'],
        'malformed': counters['malformed'],
        'mismatched': counters['mismatched'],
        'accepted': server.accepted,
    }


def get_service_seconds(server: Server) -> float:
    """Return the service time of a request that starts now."""
    base = server.faults.service_time_ms / 1000
    cold = server.settings.cold_start_seconds
    if not cold:
        return base
    warmed: float = min((server.clock.seconds() - server.started_at) / cold, 1)
    return base * (COLD_START_FACTOR - (COLD_START_FACTOR - 1) * warmed)


def run_backend_server(
    *,
    name: str,
    service: str,
    host: str,
    port: int,
    report_port: int,
    fabric_port: int,
    feed_ports: list[int],
    request_ports: list[int],
    slots: int = 2,
    service_time_ms: float = 20,
    max_queued: int = 100,
    tick_ms: float = 200,
    cold_start_seconds: float = 0,
    report_lag_ms: float = 0,
    unresponsive: bool = False,
) -> None:
    """Run a backend server until it gets SIGTERM.

    Parameters
    ----------
    name : str
        Name of the backend server.
    service : str
        Service that it answers for.
    host : str
        Its IPv4 address in the test network.
    port : int
        UDP port for packets.
    report_port : int
        TCP port for GET /load, GET /runs and POST /faults.
    fabric_port : int
        UDP port of the fabric.
    feed_ports : list[int]
        Ports of the test network for feeds.
    request_ports : list[int]
        Ports of the test network for requests.
    slots : int
        Maximum number of requests that run at the same time.
    service_time_ms : float
        Service time of a request.
    max_queued : int
        Number of queued requests above which it refuses connections for
        requests.
    tick_ms : float
        Time between two ticks of a feed.
    cold_start_seconds : float
        How long it is slower after its start.
    report_lag_ms : float
        Time between two updates of the load report.
    unresponsive : bool
        Neither receive nor send packets.
    """
    settings = ServerSettings(
        name=name,
        service=service,
        host=parse_address(host),
        feed_ports=frozenset(feed_ports),
        request_ports=frozenset(request_ports),
        slots=slots,
        max_queued=max_queued,
        tick_ms=tick_ms,
        cold_start_seconds=cold_start_seconds,
        report_lag_ms=report_lag_ms,
    )
    faults = ServerFaults(service_time_ms, unresponsive=unresponsive)
    fabric = ('127.0.0.1', fabric_port)
    server = _listen(settings, faults, port, fabric)
    listen_http(report_port, _build_reports(server))
    if report_lag_ms:
        LoopingCall(_refresh_report, server).start(report_lag_ms / 1000)
    run_until_stopped('backend_server', name=name, port=port)


def _listen(
    settings: ServerSettings,
    faults: ServerFaults,
    port: int,
    fabric: SocketAddress,
) -> Server:
    def receive(raw: bytes, sender: SocketAddress) -> None:
        if sender == fabric:
            receive_datagram(server, raw)

    listening = listen_datagrams(port, receive)
    server = build_server(
        settings,
        faults,
        reactor,
        lambda raw: send_datagram(listening, raw, fabric),
    )
    return server


def _build_reports(server: Server) -> RequestHandler:
    def serve_load(request: Any) -> None:
        if not server.faults.hang_reports:
            answer_json(request, 200, describe_load(server))

    def post_faults(changes: dict[str, Any]) -> object:
        server.faults = change_faults(server.faults, changes)
        return asdict(server.faults)

    return build_router(
        {
            ('GET', '/load'): serve_load,
            ('GET', '/runs'): build_query_handler(
                lambda: describe_runs(server)
            ),
            ('POST', '/faults'): build_update_handler(post_faults),
        }
    )


def _refresh_report(server: Server) -> None:
    server.report = take_snapshot(server)


def _classify_syn(server: Server, segment: Segment) -> SynDecision:
    settings = server.settings
    port = segment.destination_port
    is_request = port in settings.request_ports
    if segment.destination != settings.host:
        return SynDecision.REFUSE
    if not is_request and port not in settings.feed_ports:
        return SynDecision.REFUSE
    overloaded = is_request and len(server.queue) > settings.max_queued
    if overloaded or server.faults.shed:
        return SynDecision.REFUSE
    server.accepted.append((time.time(), port))
    return SynDecision.ACCEPT


def _handle_event(server: Server, connection: Connection, event: Event) -> None:
    key = get_key(connection)
    if isinstance(event, DataReceived):
        session = server.sessions.setdefault(key, Session(connection))
        _receive_data(server, session, event.payload)
    elif isinstance(event, FinReceived):
        _handle_fin(server, connection, server.sessions.get(key))
    elif isinstance(event, ConnectionEnded):
        _remove_session(server, key)


def _receive_data(server: Server, session: Session, payload: bytes) -> None:
    session.received += payload
    line, end, rest = session.received.partition(b'\n')
    if end and session.timer is None and session.request is None:
        session.received = rest
        _receive_line(server, session, parse_line(bytes(line)))
    elif len(session.received) > MAX_LINE_BYTES:
        _reset_session(server, session)


def _receive_line(server: Server, session: Session, line: Line) -> None:
    port = session.connection.local[1]
    settings = server.settings
    if isinstance(line, FeedLine) and port in settings.feed_ports:
        if line.service in {'', settings.service}:
            _send_tick(server, session)
            return
        server.wrong_service += 1
    elif isinstance(line, RequestLine) and port in settings.request_ports:
        if line.service == settings.service:
            _enqueue(server, session, line)
            return
        server.wrong_service += 1
    _reset_session(server, session)


def _send_tick(server: Server, session: Session) -> None:
    session.ticks += 1
    line = format_line('tick', server.settings.service, session.ticks)
    session.timer = server.clock.callLater(
        server.settings.tick_ms / 1000, _send_tick, server, session
    )
    send_payload(server.tcp_stack, session.connection, line)


def _enqueue(server: Server, session: Session, line: RequestLine) -> None:
    session.request = line
    session.expires_at = server.clock.seconds() + line.deadline_ms / 1000
    server.queue.append(session)
    _start_requests(server)


def _start_requests(server: Server) -> None:
    while server.queue and server.running < server.settings.slots:
        session = server.queue.popleft()
        request = session.request
        if request is None:
            continue
        if server.clock.seconds() > session.expires_at:
            line = format_line('expired', request.request_id)
            send_payload(server.tcp_stack, session.connection, line)
            finish(server.tcp_stack, session.connection)
            continue
        server.running += 1
        server.runs[request.request_id] += 1
        server.clock.callLater(
            get_service_seconds(server),
            _finish_request,
            server,
            session,
            request,
        )


def _finish_request(
    server: Server,
    session: Session,
    request: RequestLine,
) -> None:
    server.running -= 1
    if is_open(session.connection):
        payload = build_payload(request.request_id, request.size)
        line = format_line(
            'done',
            request.request_id,
            server.settings.name,
            request.size,
            compute_payload_checksum(payload),
        )
        send_payload(server.tcp_stack, session.connection, line + payload)
        finish(server.tcp_stack, session.connection)
    _start_requests(server)


def _handle_fin(
    server: Server,
    connection: Connection,
    session: Session | None,
) -> None:
    is_running = session is not None and session.request is not None
    if session is not None and session in server.queue:
        server.queue.remove(session)
        is_running = False
    if not is_running:
        # A feed was closed, or a request was cancelled before it ran.
        _remove_session(server, get_key(connection))
        finish(server.tcp_stack, connection)


def _reset_session(server: Server, session: Session) -> None:
    abort(server.tcp_stack, session.connection)
    _remove_session(server, get_key(session.connection))


def _remove_session(server: Server, key: ConnectionKey) -> None:
    session = server.sessions.pop(key, None)
    if session is None:
        return
    if session.timer is not None and session.timer.active():
        session.timer.cancel()
    if session in server.queue:
        server.queue.remove(session)


if __name__ == '__main__':
    defopt.run(run_backend_server)
