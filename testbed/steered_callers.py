"""Simulated callers that a test controls over HTTP while they run.

HTTP calls on the control port, with JSON bodies:

- ``POST /feeds`` ``{"address", "port", "service", "count"}`` opens feeds;
- ``POST /requests`` ``{"address", "port", "service", "count", ...}`` sends
  requests at once;
- ``POST /load`` ``{"address", ..., "per_second"}`` sends requests at a constant
  rate; a rate of zero stops them;
- ``GET /report`` returns each feed, the outcome of each finished request and
  the number of pending requests.

``python -m testbed.steered_callers --help`` lists the options.
"""

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import defopt
from twisted.internet.task import LoopingCall

from testbed.addresses import parse_address
from testbed.caller import (
    Callers,
    FeedState,
    Outcome,
    get_break_reason,
    listen_callers,
    open_feed,
    send_request,
)
from testbed.connection import is_open
from testbed.http_api import (
    RequestHandler,
    build_query_handler,
    build_router,
    build_update_handler,
    listen_http,
)
from testbed.programs import run_until_stopped

#: Size of a response if the call names none.
DEFAULT_RESPONSE_BYTES: Final = 3000
#: Deadline of a request if the call names none.
DEFAULT_DEADLINE_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent.

    Parameters
    ----------
    request_id, service : str
        Name of the request and of the service it is sent to.
    sent_at : float
        Wall time at which the first SYN was sent.
    local : tuple of (int, int)
        Address and port of the caller.
    """

    request_id: str
    service: str
    sent_at: float
    local: tuple[int, int]


@dataclass(slots=True)
class SteeredCallers:
    """Callers with their feeds, requests and outcomes.

    Attributes
    ----------
    callers : Callers
        The simulated callers.
    prefix : str
        Prefix of the request names.
    feeds : list of (FeedState, float)
        Feeds with the wall time at which their first SYN was sent.
    sent_requests : dict of str to SentRequest
        Sent requests by name.
    outcomes : list of Outcome
        Outcomes of the finished requests.
    load_loops : dict of str to LoopingCall
        Loops that send requests at a constant rate, by address.
    """

    callers: Callers
    prefix: str
    feeds: list[tuple[FeedState, float]] = field(default_factory=list)
    sent_requests: dict[str, SentRequest] = field(default_factory=dict)
    outcomes: list[Outcome] = field(default_factory=list)
    load_loops: dict[str, LoopingCall] = field(default_factory=dict)


def run_steered_callers(
    *,
    fabric_port: int,
    port: int,
    control_port: int,
    first_host: str = '10.9.0.1',
    prefix: str = 'r',
) -> None:
    """Run the callers until SIGTERM.

    Parameters
    ----------
    fabric_port : int
        UDP port of the fabric.
    port : int
        UDP port for packets.
    control_port : int
        TCP port of the control API.
    first_host : str
        IPv4 address of the first caller.
    prefix : str
        Prefix of the request names; it must differ between processes.
    """
    callers, _listening = listen_callers(fabric_port, first_host, port=port)
    listen_http(control_port, build_control(SteeredCallers(callers, prefix)))
    run_until_stopped('steered_callers', port=port, control_port=control_port)


def build_control(steered: SteeredCallers) -> RequestHandler:
    """Build the handler of the control API.

    Parameters
    ----------
    steered : SteeredCallers
        Changed in place by the calls.

    Returns
    -------
    callable
        The handler.
    """

    def post_feeds(command: dict[str, Any]) -> object:
        for _ in range(int(command.get('count', 1))):
            _open_feed(steered, command)
        return command

    def post_requests(command: dict[str, Any]) -> object:
        for _ in range(int(command.get('count', 1))):
            _send_request(steered, command)
        return command

    def post_load(command: dict[str, Any]) -> object:
        _set_load(steered, command)
        return command

    return build_router(
        {
            ('POST', '/feeds'): build_update_handler(post_feeds),
            ('POST', '/requests'): build_update_handler(post_requests),
            ('POST', '/load'): build_update_handler(post_load),
            ('GET', '/report'): build_query_handler(
                lambda: build_report(steered)
            ),
        },
    )


def build_report(steered: SteeredCallers) -> dict[str, object]:
    """Return the JSON document of ``GET /report``."""
    now = steered.callers.clock.seconds()
    return {
        'feeds': [
            {
                'id': feed.feed_id,
                'ticks': feed.ticks,
                'broken_by': get_break_reason(feed, now),
                'refused': feed.refused,
                'open': is_open(feed.connection),
                'opened_at': opened_at,
                'local': feed.connection.local,
            }
            for feed, opened_at in steered.feeds
        ],
        'requests': [
            {
                'id': outcome.request_id,
                'result': outcome.result.value,
                'server': outcome.server,
                'complete': outcome.complete,
                'seconds': outcome.elapsed_seconds,
                'service': steered.sent_requests[outcome.request_id].service,
                'sent_at': steered.sent_requests[outcome.request_id].sent_at,
                'local': steered.sent_requests[outcome.request_id].local,
            }
            for outcome in steered.outcomes
        ],
        'pending': len(steered.callers.requests),
    }


def _open_feed(steered: SteeredCallers, command: Mapping[str, Any]) -> None:
    feed = open_feed(
        steered.callers,
        parse_address(command['address']),
        int(command['port']),
        str(command['service']),
    )
    steered.feeds.append((feed, time.time()))


def _send_request(steered: SteeredCallers, command: Mapping[str, Any]) -> None:
    callers = steered.callers
    request_id = f'{steered.prefix}{len(steered.sent_requests)}'
    service = str(command['service'])
    done = send_request(
        callers,
        parse_address(command['address']),
        int(command['port']),
        service,
        request_id,
        int(command.get('size', DEFAULT_RESPONSE_BYTES)),
        int(command.get('deadline_ms', DEFAULT_DEADLINE_MS)),
    )
    newest = next(reversed(callers.requests.values()))
    local = newest.connection.local
    steered.sent_requests[request_id] = SentRequest(
        request_id, service, time.time(), local
    )
    done.addCallback(steered.outcomes.append)


def _set_load(steered: SteeredCallers, command: Mapping[str, Any]) -> None:
    address = str(command['address'])
    running = steered.load_loops.pop(address, None)
    if running is not None:
        running.stop()
    rate = float(command['per_second'])
    if rate:
        repeating = LoopingCall(_send_request, steered, command)
        repeating.start(1 / rate)
        steered.load_loops[address] = repeating


if __name__ == '__main__':
    defopt.run(run_steered_callers)
