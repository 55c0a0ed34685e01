"""Balancers, endpoints and callers of a replay, with simulated time."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any, Final

from balsamshed.endpoints.directory import EndpointView, apply_view
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.peers.report import EndpointReport, PeerReport
from balsamshed.peers.supplement import MAX_SPEEDS
from balsamshed.peers.table import PeerTable, record_report
from balsamshed.placement.in_flight import is_suspected
from balsamshed.placement.speeds import (
    join_reports,
    pick_reports,
    refresh_durations,
)
from balsamshed.routes.table import Route, ServiceShare, create_route_table
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions
from balsamshed.steering.requests import expire_requests
from balsamshed.steering.state import Steering, create_steering, replace_routes
from testbed.load_patterns import CallerClass, LoadPattern

#: IPv4 address of all routes.
ADDRESS: Final = 0xC6120001

_SERVICE: Final = 'web'


@dataclass(slots=True)
class SimulatedEndpoint:
    """Slots and queue of an endpoint.

    Attributes
    ----------
    slots, queue_limit : int
        Requests that run at once, and that wait.
    running : int
        Requests that run.
    is_silent : bool
        Whether it receives nothing.
    lives : int
        Number of times that it has lost all its requests.
    queue : deque of callable
        Start the requests that wait.
    """

    data_centre: str
    slots: int
    queue_limit: int
    speed: float = 1
    running: int = 0
    is_silent: bool = False
    lives: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass(slots=True)
class Caller:
    """A caller with at most one flow and one request.

    Attributes
    ----------
    caller_class : CallerClass
        Kind of its requests.
    asked_at : float
        Time at which the current request was first tried.
    tries : int
        Tries of the current request.
    until : float
        Time after which it starts no further request.
    flow : int
        Number of its flow; zero without one.
    cookie : int
        Cookie of the flow's endpoint.
    acknowledged : int
        Bytes received on the flow.
    """

    caller_class: CallerClass
    asked_at: float
    until: float
    tries: int = 0
    flow: int = 0
    cookie: int = 0
    acknowledged: int = 0


@dataclass(slots=True)
class Replay:
    """State of a replay.

    Attributes
    ----------
    pattern : LoadPattern
        What arrives when.
    balancers : list of Steering
        Packet paths of the balancers.
    peer_tables : list of PeerTable
        What each balancer knows of the others.
    endpoints : dict of int to SimulatedEndpoint
        Endpoints by cookie.
    numbers : Random
        Source of all random numbers.
    now : float
        Simulated seconds.
    listed : tuple of Endpoint
        All endpoints.
    events : list of (float, int, callable)
        Heap of what happens next.
    outcomes : Counter of (str, str)
        Number of requests by class and outcome: ``in_goal``, ``late`` or
        ``failed``.
    refusals : Counter of (str, str)
        Number of postponed and refused openings, by class and reason.
    asked, asked_in_goal : Counter of int
        Number of requests, and of those answered in time, by the second in
        which they were first tried.
    in_goal : Counter of int
        Number of requests answered in time, by the second of the answer.
    latencies : list of float
        Time of each answered request from its first try, in seconds.
    placements : Counter of (str, str)
        Number of openings by class and data centre of the endpoint.
    """

    pattern: LoadPattern
    balancers: list[Steering]
    peer_tables: list[PeerTable]
    endpoints: dict[int, SimulatedEndpoint]
    numbers: Random
    now: float = 0
    listed: tuple[Endpoint, ...] = ()
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    event_numbers: Any = field(default_factory=count)
    flow_numbers: Any = field(default_factory=lambda: count(1))
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    asked: Counter[int] = field(default_factory=Counter)
    in_goal: Counter[int] = field(default_factory=Counter)
    asked_in_goal: Counter[int] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)
    placements: Counter[tuple[str, str]] = field(default_factory=Counter)


def create_replay(
    pattern: LoadPattern,
    seed: int,
    has_goals: bool,
    options: EdgeOptions = NO_OPTIONS,
) -> Replay:
    """Create the state of a replay without events.

    Parameters
    ----------
    pattern : LoadPattern
        Classes of callers, and endpoints.
    seed : int
        Seed of the random numbers.
    has_goals : bool
        Whether the routes have latency goals.
    options : EdgeOptions
        Optional parts of the balancers.
    """
    numbers = Random(seed)  # noqa: S311
    endpoints = [
        Endpoint(
            number + 1,
            1,
            _SERVICE,
            f'10.0.0.{number + 1}',
            8080,
            _pick_data_centre(pattern, number),
            pattern.slots,
            is_draining=number < pattern.lost_endpoints,
        )
        for number in range(pattern.endpoints)
    ]
    routes = [
        Route(
            caller_class.name,
            ADDRESS,
            caller_class.port,
            (ServiceShare(_SERVICE),),
            caller_class.timeout_seconds,
            latency_goal_seconds=caller_class.goal_seconds * has_goals,
            priority=caller_class.priority,
        )
        for caller_class in pattern.classes
    ]
    table = create_route_table(1, routes, [_SERVICE])
    view = EndpointView(1, tuple(endpoints), 1)
    replay = Replay(pattern, [], [], {}, numbers)
    for number in range(pattern.balancers):
        data_centre = _pick_data_centre(pattern, number)
        peer_table = PeerTable(f'10.9.0.{number}', data_centre)
        steering = create_steering(
            data_centre, 60, peer_table, numbers.randrange, options
        )
        apply_view(steering.directory, view, 0)
        replace_routes(steering, table)
        replay.balancers.append(steering)
        replay.peer_tables.append(peer_table)
    replay.listed = view.endpoints
    for number, endpoint in enumerate(endpoints):
        replay.endpoints[endpoint.cookie] = SimulatedEndpoint(
            endpoint.data_centre,
            endpoint.slots,
            endpoint.slots * pattern.queued_per_slot,
            pattern.speeds[number % len(pattern.speeds)],
        )
    return replay


def _pick_data_centre(pattern: LoadPattern, number: int) -> str:
    return pattern.data_centres[number % len(pattern.data_centres)]


def exchange_reports(replay: Replay, tick: int, interval: float) -> None:
    """Let each balancer report its requests in flight to the next peers."""
    others = len(replay.balancers) - 1
    share = min(1, interval / replay.pattern.report_round_seconds)
    first, last = int(tick * share * others), int((tick + 1) * share * others)
    for sender, steering in enumerate(replay.balancers):
        expire_requests(steering.requests, replay.now)
        tracker = steering.load_tracker
        suspected = {
            cookie
            for cookie in tracker.suspicions
            if is_suspected(tracker, cookie, replay.now)
        }
        counts = steering.requests.counts
        report = PeerReport(
            replay.peer_tables[sender].data_centre,
            1,
            0,
            tuple(
                EndpointReport(
                    cookie, counts.get(cookie, 0), cookie in suspected
                )
                for cookie in counts.keys() | suspected
            ),
            (),
        )
        for number in range(first, last):
            receiver = (sender + 1 + number % others) % (others + 1)
            peer_table = replay.peer_tables[receiver]
            host = f'10.9.0.{sender}'
            record_report(peer_table, host, report, replay.now)


def exchange_speeds(replay: Replay) -> None:
    """Let each balancer report the speeds that it observed to all others."""
    services = {_SERVICE: tuple(replay.endpoints)}
    for sender in replay.balancers:
        if sender.speeds is None:
            continue
        reports = pick_reports(sender.speeds, MAX_SPEEDS, replay.now)
        for receiver in replay.balancers:
            if receiver is not sender and receiver.speeds is not None:
                join_reports(receiver.speeds, reports, replay.now)
        refresh_durations(sender.speeds, services, replay.now)


def list_endpoints(replay: Replay) -> None:
    """Let all balancers know which endpoints are silent at present."""
    for steering in replay.balancers:
        directory = steering.directory
        endpoints = tuple(
            endpoint
            for endpoint in replay.listed
            if not replay.endpoints[endpoint.cookie].is_silent
        )
        view = EndpointView(directory.revision + 1, endpoints)
        apply_view(directory, view, replay.now)


def set_draining(
    replay: Replay, data_centre: str, *, is_draining: bool
) -> None:
    """Let the endpoints of a data centre take no new flows, or take them."""
    replay.listed = tuple(
        replace(endpoint, is_draining=is_draining)
        if endpoint.data_centre == data_centre
        else endpoint
        for endpoint in replay.listed
    )
    list_endpoints(replay)
