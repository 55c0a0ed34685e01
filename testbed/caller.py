"""Simulates many callers in one process, over one UDP socket.

Tests import the functions. The process prints one line of JSON at the end;
``python -m testbed.caller --help`` lists its options.
"""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Any, Final

import defopt
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import LoopingCall

from testbed.addresses import parse_address
from testbed.connection import (
    Connection,
    ConnectionEnded,
    DataReceived,
    EndReason,
    Event,
    FinReceived,
)
from testbed.datagrams import listen_datagrams, send_datagram
from testbed.messages import (
    DoneLine,
    ExpiredLine,
    TickLine,
    build_payload,
    compute_payload_checksum,
    format_line,
    parse_line,
)
from testbed.programs import run_until_stopped
from testbed.tcp_stack import (
    ConnectionKey,
    SynDecision,
    TcpStack,
    abort,
    connect,
    finish,
    get_key,
    receive_packet,
    send_payload,
)

#: Time without a tick after which a feed counts as broken.
FEED_TIMEOUT_SECONDS: Final = 5
#: Time from the deadline of a request to the timeout of its caller.
RESPONSE_GRACE_SECONDS: Final = 5

_FIRST_PORT: Final = 10000
_LAST_PORT: Final = 59999


class RequestResult(StrEnum):
    """Result of a request, as its caller knows it."""

    ANSWERED = 'answered'
    # Reset before the handshake was complete: the request did not run.
    REFUSED = 'refused'
    # The backend server reported that the request did not run.
    EXPIRED = 'expired'
    # Ended without a complete response after data was sent: the request may
    # have run.
    RESET = 'reset'
    # No response in time: the request may have run.
    TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request.

    Parameters
    ----------
    request_id : str
        Name of the request.
    result : RequestResult
        Result, as the caller knows it.
    elapsed_seconds : float
        Time from the first SYN to the end of the request.
    server : str
        Backend server that answered; empty if none did.
    complete : bool
        Whether the response has the complete payload of this request and the
        correct checksum.
    """

    request_id: str
    result: RequestResult
    elapsed_seconds: float
    server: str = ''
    complete: bool = False


@dataclass(eq=False, slots=True)
class FeedState:
    """State of a feed at its caller.

    Attributes
    ----------
    feed_id : str
        Name of the feed.
    service : str
        Service that the ticks have to name; taken from the first tick if the
        caller did not name one.
    connection : Connection
        Connection of the feed.
    opened_at, last_tick_at : float
        Monotonic times in seconds.
    ticks : int
        Number of received ticks.
    broken_by : str
        First reason why the feed broke; empty if it is not broken.
    refused : bool
        Whether the handshake was refused.
    is_closed : bool
        Whether the caller has closed the feed.
    received : bytearray
        Received part of an incomplete line.
    """

    feed_id: str
    service: str
    connection: Connection
    opened_at: float
    last_tick_at: float
    ticks: int = 0
    broken_by: str = ''
    refused: bool = False
    is_closed: bool = False
    received: bytearray = field(default_factory=bytearray)


@dataclass(eq=False, slots=True)
class RequestState:
    """State of a request that has no outcome yet.

    Attributes
    ----------
    request_id : str
        Name of the request.
    size : int
        Requested length of the payload in bytes.
    connection : Connection
        Connection of the request.
    sent_at : float
        Monotonic time of the first SYN.
    done : Deferred
        Fires with the outcome.
    timer : object
        Timer of the caller's timeout.
    received : bytearray
        Received part of the response.
    """

    request_id: str
    size: int
    connection: Connection
    sent_at: float
    done: Any
    timer: Any
    received: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Callers:
    """All simulated callers of a process.

    Attributes
    ----------
    clock : object
        Twisted's reactor, or a clock for tests.
    first_host : int
        IPv4 address of the first caller.
    host_count : int
        Number of consecutive addresses of callers.
    tcp_stack : TcpStack
        Connections of the callers.
    connection_count : int
        Number of connections so far; determines the next address and port.
    feeds : dict of ConnectionKey to FeedState
        Feeds whose connections have not ended.
    requests : dict of ConnectionKey to RequestState
        Requests that have no outcome yet.
    """

    clock: Any
    first_host: int
    host_count: int
    tcp_stack: TcpStack = field(init=False)
    connection_count: int = 0
    feeds: dict[ConnectionKey, FeedState] = field(default_factory=dict)
    requests: dict[ConnectionKey, RequestState] = field(default_factory=dict)


def build_callers(
    clock: Any,
    send: Callable[[bytes], object],
    first_host: str = '10.9.0.1',
    host_count: int = 250,
) -> Callers:
    """Build callers without connections.

    Parameters
    ----------
    clock : object
        Twisted's reactor, or a clock for tests.
    send : callable
        Sends one packet.
    first_host : str
        IPv4 address of the first caller.
    host_count : int
        Number of addresses of callers; each uses 50,000 ports in turn.

    Returns
    -------
    Callers
        Callers, which receive packets through `receive_datagram`.
    """
    callers = Callers(clock, parse_address(first_host), host_count)

    def notify(connection: Connection, event: Event) -> None:
        _handle_event(callers, connection, event)

    numbers = Random()  # noqa: S311
    callers.tcp_stack = TcpStack(
        send=send,
        clock=clock,
        choose_sequence=lambda: numbers.getrandbits(32),
        classify_syn=lambda _segment: SynDecision.REFUSE,
        notify=notify,
    )
    return callers


def listen_callers(
    fabric_port: int,
    first_host: str = '10.9.0.1',
    host_count: int = 250,
    port: int = 0,
) -> tuple[Callers, Any]:
    """Build callers with a UDP socket on the reactor.

    Parameters
    ----------
    fabric_port : int
        UDP port of the fabric.
    first_host : str
        IPv4 address of the first caller.
    host_count : int
        Number of addresses of callers.
    port : int
        UDP port for packets; zero for any free one.

    Returns
    -------
    tuple of (Callers, object)
        The callers and Twisted's listening port.
    """
    fabric = ('127.0.0.1', fabric_port)
    callers = build_callers(
        reactor,
        lambda raw: send_datagram(listening, raw, fabric),
        first_host,
        host_count,
    )
    listening = listen_datagrams(
        port, lambda raw, _sender: receive_datagram(callers, raw)
    )
    return callers, listening


def receive_datagram(callers: Callers, raw: bytes) -> None:
    """Handle a packet from the fabric."""
    receive_packet(callers.tcp_stack, raw)


def open_feed(
    callers: Callers,
    address: int,
    port: int,
    service: str = '',
) -> FeedState:
    """Open a feed.

    Parameters
    ----------
    callers : Callers
        Changed in place.
    address : int
        IPv4 address of the service.
    port : int
        Port of the listener.
    service : str
        Service that has to answer; empty for any service.

    Returns
    -------
    FeedState
        State that is updated with the feed; see `get_break_reason`.
    """
    connection = _connect(callers, address, port)
    now = callers.clock.seconds()
    feed_id = f'f{callers.connection_count}'
    feed = FeedState(feed_id, service, connection, now, now)
    callers.feeds[get_key(connection)] = feed
    words = ('feed', feed_id, service) if service else ('feed', feed_id)
    send_payload(callers.tcp_stack, connection, format_line(*words))
    return feed


def close_feed(callers: Callers, feed: FeedState) -> None:
    """Close a feed from the caller's side, so that it can no longer break.

    Parameters
    ----------
    callers : Callers
        Changed in place.
    feed : FeedState
        Feed to close.
    """
    feed.broken_by = get_break_reason(feed, callers.clock.seconds())
    feed.is_closed = True
    finish(callers.tcp_stack, feed.connection)


def get_break_reason(feed: FeedState, now: float) -> str:
    """Return why a feed is broken.

    Parameters
    ----------
    feed : FeedState
        Feed to check.
    now : float
        Monotonic time in seconds of the callers' clock.

    Returns
    -------
    str
        ``reset``, ``closed``, ``gap``, ``wrong_service``, ``malformed`` or
        ``silent``; empty if the feed is not broken. A refused feed is not
        broken, since it never was open.
    """
    if feed.broken_by or feed.refused or feed.is_closed:
        return feed.broken_by
    silent = now - feed.last_tick_at > FEED_TIMEOUT_SECONDS
    return 'silent' if silent else ''


def send_request(
    callers: Callers,
    address: int,
    port: int,
    service: str,
    request_id: str,
    size: int = 100,
    deadline_ms: int = 5000,
) -> Any:
    """Send a request on a connection of its own.

    Parameters
    ----------
    callers : Callers
        Changed in place.
    address : int
        IPv4 address of the service.
    port : int
        Port of the listener.
    service : str
        Service that has to answer.
    request_id : str
        Unique name of the request, without spaces.
    size : int
        Requested length of the payload in bytes.
    deadline_ms : int
        Deadline for the backend server; the caller times out 5 s later.

    Returns
    -------
    Deferred
        Fires with an `Outcome`, never with a failure.
    """
    connection = _connect(callers, address, port)
    now = callers.clock.seconds()
    request = RequestState(
        request_id, size, connection, now, Deferred(), timer=None
    )
    request.timer = callers.clock.callLater(
        deadline_ms / 1000 + RESPONSE_GRACE_SECONDS,
        _time_out_request,
        callers,
        request,
    )
    callers.requests[get_key(connection)] = request
    line = format_line('request', request_id, service, size, deadline_ms)
    send_payload(callers.tcp_stack, connection, line)
    return request.done


def cancel_request(callers: Callers, request_id: str) -> None:
    """Reset the connection of a request; its outcome is ``reset``.

    Parameters
    ----------
    callers : Callers
        Changed in place.
    request_id : str
        Name of the request; ignored if the request has an outcome.
    """
    for request in tuple(callers.requests.values()):
        if request.request_id == request_id:
            abort(callers.tcp_stack, request.connection)
            _complete_request(callers, request, RequestResult.RESET)


def summarize(
    callers: Callers,
    feeds: list[FeedState],
    outcomes: list[Outcome],
) -> dict[str, object]:
    """Summarize feeds and outcomes as a JSON document.

    Parameters
    ----------
    callers : Callers
        Callers that provide the time and the packet counters.
    feeds : list of FeedState
        All opened feeds.
    outcomes : list of Outcome
        Outcomes of the requests that have ended.

    Returns
    -------
    dict
        Counts, percentiles in milliseconds and responses by backend server.
    """
    now = callers.clock.seconds()
    breaks = Counter(get_break_reason(feed, now) for feed in feeds)
    broken = {reason: count for reason, count in breaks.items() if reason}
    answered = [
        outcome
        for outcome in outcomes
        if outcome.result == RequestResult.ANSWERED
    ]
    elapsed = sorted(outcome.elapsed_seconds for outcome in answered)
    counted = Counter(outcome.result.value for outcome in outcomes)
    return {
        'feeds': len(feeds),
        'feeds_refused': sum(feed.refused for feed in feeds),
        'feeds_broken': sum(broken.values()),
        'feed_breaks': broken,
        'ticks': sum(feed.ticks for feed in feeds),
        'requests': len(outcomes),
        'pending': len(callers.requests),
        **{member.value: counted[member.value] for member in RequestResult},
        'incomplete': sum(not outcome.complete for outcome in answered),
        'p50_ms': _get_percentile_ms(elapsed, 0.5),
        'p99_ms': _get_percentile_ms(elapsed, 0.99),
        'servers': dict(Counter(outcome.server for outcome in answered)),
        'unknown_packets': callers.tcp_stack.counters['unknown_packets'],
        'malformed': callers.tcp_stack.counters['malformed'],
    }


def run_callers(
    *,
    fabric_port: int,
    address: str,
    service: str,
    feed_port: int = 7001,
    request_port: int = 7002,
    feeds: int = 0,
    requests_per_second: float = 0,
    seconds: float = 10,
    size: int = 100,
    deadline_ms: int = 5000,
    first_host: str = '10.9.0.1',
    host_count: int = 250,
    port: int = 0,
    prefix: str = 'r',
) -> None:
    """Open feeds, send requests and print a summary as one line of JSON.

    Parameters
    ----------
    fabric_port : int
        UDP port of the fabric.
    address : str
        IPv4 address of the service.
    service : str
        Name of the service.
    feed_port : int
        Port of the listener for feeds.
    request_port : int
        Port of the listener for requests.
    feeds : int
        Number of feeds, opened within the first second.
    requests_per_second : float
        Rate of requests, which do not wait for each other.
    seconds : float
        How long requests are sent; then the pending ones are awaited.
    size : int
        Payload of each response in bytes.
    deadline_ms : int
        Deadline of each request.
    first_host : str
        IPv4 address of the first caller.
    host_count : int
        Number of addresses of callers.
    port : int
        UDP port for packets; zero for any free one.
    prefix : str
        Prefix of the requests' names, different in each process.
    """
    callers, _listening = listen_callers(
        fabric_port, first_host, host_count, port
    )
    opened: list[FeedState] = []
    outcomes: list[Outcome] = []
    target = parse_address(address)

    def open_one() -> None:
        opened.append(open_feed(callers, target, feed_port, service))

    def request_one() -> None:
        sent = len(outcomes) + len(callers.requests)
        send_request(
            callers,
            target,
            request_port,
            service,
            f'{prefix}{sent}',
            size,
            deadline_ms,
        ).addCallback(outcomes.append)

    def await_outcomes() -> None:
        pending = [request.done for request in callers.requests.values()]
        DeferredList(pending).addCallback(finish_run)

    def finish_run(_results: object) -> None:
        # Flushed, so that a test can read it before the process ends.
        print(  # noqa: WPS421  (the result of the process)
            json.dumps(summarize(callers, opened, outcomes)), flush=True
        )
        reactor.stop()

    for number in range(feeds):
        reactor.callLater(number / feeds, open_one)
    if requests_per_second:
        _repeat(request_one, requests_per_second, seconds)
    reactor.callLater(seconds, await_outcomes)
    run_until_stopped('caller', service=service, fabric_port=fabric_port)


def _repeat(act: Callable[[], None], rate: float, seconds: float) -> None:
    def act_for_all(count: int) -> None:
        # If the loop was late, the missed calls are made now.
        for _ in range(count):
            act()

    repeating = LoopingCall.withCount(act_for_all)
    repeating.start(1 / rate)
    reactor.callLater(seconds, repeating.stop)


def _get_percentile_ms(elapsed: list[float], share: float) -> float | None:
    if not elapsed:
        return None
    position = min(int(len(elapsed) * share), len(elapsed) - 1)
    return round(elapsed[position] * 1000, 1)


def _connect(callers: Callers, address: int, port: int) -> Connection:
    turn, host = divmod(callers.connection_count, callers.host_count)
    callers.connection_count += 1
    own_port = _FIRST_PORT + turn % (_LAST_PORT - _FIRST_PORT + 1)
    local = callers.first_host + host, own_port
    return connect(callers.tcp_stack, local, (address, port))


def _handle_event(
    callers: Callers,
    connection: Connection,
    event: Event,
) -> None:
    key = get_key(connection)
    feed = callers.feeds.get(key)
    if feed is not None:
        _handle_feed_event(callers, feed, event)
    request = callers.requests.get(key)
    if request is not None:
        _handle_request_event(callers, request, event)
    if isinstance(event, FinReceived):
        finish(callers.tcp_stack, connection)
    if isinstance(event, ConnectionEnded):
        callers.feeds.pop(key, None)


def _handle_feed_event(
    callers: Callers,
    feed: FeedState,
    event: Event,
) -> None:
    if feed.is_closed:
        return
    if isinstance(event, DataReceived):
        feed.received += event.payload
        complete, end, rest = feed.received.rpartition(b'\n')
        feed.received = rest
        for line in complete.split(b'\n') if end else ():
            _handle_tick(feed, bytes(line), callers.clock.seconds())
    elif isinstance(event, FinReceived):
        feed.broken_by = feed.broken_by or 'closed'
    elif isinstance(event, ConnectionEnded):
        if event.reason == EndReason.REFUSED:
            feed.refused = True
        else:
            has_timed_out = event.reason == EndReason.TIMED_OUT
            reason = 'silent' if has_timed_out else 'reset'
            feed.broken_by = feed.broken_by or reason


def _handle_tick(feed: FeedState, line: bytes, now: float) -> None:
    feed.broken_by = get_break_reason(feed, now)
    feed.last_tick_at = now
    tick = parse_line(line)
    if not isinstance(tick, TickLine):
        feed.broken_by = feed.broken_by or 'malformed'
        return
    feed.service = feed.service or tick.service
    if tick.service != feed.service:
        feed.broken_by = feed.broken_by or 'wrong_service'
    elif tick.number != feed.ticks + 1:
        feed.broken_by = feed.broken_by or 'gap'
    feed.ticks += 1


def _handle_request_event(
    callers: Callers,
    request: RequestState,
    event: Event,
) -> None:
    if isinstance(event, DataReceived):
        request.received += event.payload
    elif isinstance(event, FinReceived):
        _handle_response(callers, request)
    elif isinstance(event, ConnectionEnded):
        results = {
            EndReason.REFUSED: RequestResult.REFUSED,
            EndReason.TIMED_OUT: RequestResult.TIMEOUT,
        }
        result = results.get(event.reason, RequestResult.RESET)
        _complete_request(callers, request, result)


def _handle_response(callers: Callers, request: RequestState) -> None:
    first, _end, payload = request.received.partition(b'\n')
    line = parse_line(bytes(first))
    if isinstance(line, ExpiredLine):
        _complete_request(callers, request, RequestResult.EXPIRED)
    elif isinstance(line, DoneLine):
        expected = build_payload(request.request_id, request.size)
        complete = (
            line.request_id == request.request_id
            and payload == expected
            and compute_payload_checksum(bytes(payload)) == line.checksum
        )
        _complete_request(
            callers, request, RequestResult.ANSWERED, line.server, complete
        )
    else:
        _complete_request(callers, request, RequestResult.RESET)


def _time_out_request(callers: Callers, request: RequestState) -> None:
    abort(callers.tcp_stack, request.connection)
    _complete_request(callers, request, RequestResult.TIMEOUT)


def _complete_request(
    callers: Callers,
    request: RequestState,
    result: RequestResult,
    server: str = '',
    complete: bool = False,
) -> None:
    callers.requests.pop(get_key(request.connection), None)
    if request.timer.active():
        request.timer.cancel()
    elapsed = callers.clock.seconds() - request.sent_at
    request.done.callback(
        Outcome(request.request_id, result, elapsed, server, complete)
    )


if __name__ == '__main__':
    defopt.run(run_callers)
