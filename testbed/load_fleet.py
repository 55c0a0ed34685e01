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
from balsamshed.placement.speeds import (
    join_reports,
    pick_reports,
    refresh_durations,
)
from balsamshed.routes.table import Route, ServiceShare, create_route_table
from balsamshed.steering.decisions import (
    Steering,
    create_steering,
    replace_routes,
)
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions
from balsamshed.steering.requests import expire_requests
from testbed.load_patterns import CallerClass, LoadPattern

BALANCERS: Final = 4
#: IPv4 address of all routes.
ADDRESS: Final = 0xC6120001

_SERVICE: Final = 'web'


@dataclass(slots=True)
class SimulatedEndpoint:
    """Slots and queue of an endpoint; entries of the queue start a request."""

    data_centre: str
    slots: int
    queue_limit: int
    speed: float = 1
    running: int = 0
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
    events : list of (float, int, callable)
        Heap of what happens next.
    outcomes : Counter of (str, str)
        Number of requests by class and outcome: ``in_goal``, ``late`` or
        ``failed``.
    refusals : Counter of (str, str)
        Number of postponed and refused openings, by class and reason.
    tail_share, tail_factor : float
        Share of the requests that take longer, and how many times.
    latencies : list of float
        Time of each answered request from its first try, in seconds.
    placements : Counter of (str, str)
        Number of openings by class and data centre of the endpoint.
    """

    balancers: list[Steering]
    peer_tables: list[PeerTable]
    endpoints: dict[int, SimulatedEndpoint]
    numbers: Random
    now: float = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    event_numbers: Any = field(default_factory=count)
    flow_numbers: Any = field(default_factory=lambda: count(1))
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    tail_share: float = 0
    tail_factor: float = 1
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
    replay = Replay(
        [],
        [],
        {},
        numbers,
        tail_share=pattern.tail_share,
        tail_factor=pattern.tail_factor,
    )
    for number in range(BALANCERS):
        data_centre = _pick_data_centre(pattern, number)
        peer_table = PeerTable(f'10.9.0.{number}', data_centre)
        steering = create_steering(
            data_centre, 60, peer_table, numbers.randrange, options
        )
        apply_view(steering.directory, view, 0)
        replace_routes(steering, table)
        replay.balancers.append(steering)
        replay.peer_tables.append(peer_table)
    for number, endpoint in enumerate(endpoints):
        replay.endpoints[endpoint.cookie] = SimulatedEndpoint(
            endpoint.data_centre,
            endpoint.slots,
            endpoint.slots * pattern.queued_per_slot,
            pattern.speeds[number % len(pattern.speeds)],
        )
    return replay


def set_outage(replay: Replay, data_centre: str, *, is_lost: bool) -> None:
    """Let all balancers learn that a data centre is lost or has returned."""
    for steering in replay.balancers:
        directory = steering.directory
        endpoints = tuple(
            replace(endpoint, is_draining=is_lost)
            if endpoint.data_centre == data_centre
            else endpoint
            for endpoint in directory.endpoints.values()
        )
        revision = directory.revision + 1
        view = EndpointView(revision, endpoints, revision)
        apply_view(directory, view, replay.now)


def _pick_data_centre(pattern: LoadPattern, number: int) -> str:
    return pattern.data_centres[number % len(pattern.data_centres)]


def exchange_reports(replay: Replay) -> None:
    """Let each balancer report its requests in flight to all others."""
    for sender, steering in enumerate(replay.balancers):
        expire_requests(steering.requests, replay.now)
        report = PeerReport(
            replay.peer_tables[sender].data_centre,
            1,
            0,
            tuple(
                EndpointReport(cookie, amount, is_suspected=False)
                for cookie, amount in steering.requests.counts.items()
            ),
            (),
        )
        for receiver, peer_table in enumerate(replay.peer_tables):
            if receiver != sender:
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
