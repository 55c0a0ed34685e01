"""Discrete-event model of one customer's balancers and backend servers.

Runs the product's code for placement, load tracking and limits in eight
balancers against a queueing model of the backend servers. Time is simulated.
Each source of random numbers has its own seeded stream, so that a run is
repeatable and all policies see the same arrivals and the same work.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Final

from balsamshed.configuration.resources import ListenerKind
from balsamshed.configuration.routing import Route
from balsamshed.limits.limiter import (
    FlowOutcome,
    Limiter,
    admit,
    create_limiter,
    record_admitted,
    release,
)
from balsamshed.limits.overload import OverloadState, record_loop_delay
from balsamshed.limits.retries import RetryBudget, record_success, take_retry
from balsamshed.limits.verdicts import ADMITTED
from balsamshed.members.member import Member
from balsamshed.members.ownership import assign_slots, get_hash_slot
from balsamshed.placement.load_tracker import (
    HostLoadTracker,
    record_accepted,
    record_closed,
    record_opened,
    record_refused,
    record_report,
    record_unanswered,
    set_member_count,
)
from balsamshed.placement.messages import LoadReport
from balsamshed.placement.policy import Choice, PlacementPolicy
from testbed.load_scenarios import (
    EVENT_TIME,
    FEEDS_PER_SERVER,
    FLOOD_END,
    FLOOD_START,
    MEAN_FEED_SECONDS,
    ORDINARY_LOAD,
    Customer,
    Scenario,
    ServiceLoad,
    build_routes,
)

OWNER_COUNT: Final = 8

#: Processor time of a balancer for one SYN.
SYN_PROCESSOR_SECONDS: Final = 0.0001
#: Longest wait of a SYN in the socket buffer of a balancer; SYNs that would
#: wait longer are dropped.
MAX_SOCKET_WAIT_SECONDS: Final = 0.5
#: Limit of the queue of a backend server, in requests per slot.
MAX_QUEUED_PER_SLOT: Final = 4
REPORT_INTERVAL_SECONDS: Final = 0.5
#: Age of a load report when it reaches the balancers.
REPORT_AGE_SECONDS: Final = 0.1
LOOP_DELAY_INTERVAL_SECONDS: Final = 0.1
CONNECT_TIMEOUT_SECONDS: Final = 1.0
MAX_RETRIES: Final = 2
#: Flow copies that the byte budget of a balancer allows.
COPIES_PER_SECOND: Final = 125.0
#: Time until the members take over the hash slots of a dead member.
DETECTION_SECONDS: Final = 2.0
#: Waits before a caller sends a lost SYN again.
RETRANSMIT_SECONDS: Final = (1.0, 2.0, 4.0)
#: Time after its start during which a backend server with the fault ``cold``
#: is slower than others.
COLD_START_SECONDS: Final = 10.0
#: Factor by which such a server is slower right after its start.
COLD_START_SLOWDOWN: Final = 3.0
#: Relative speed of a backend server with the fault ``slow``.
SLOW_SPEED: Final = 0.1

PolicyFactory = Callable[[HostLoadTracker, Callable[[], bool]], PlacementPolicy]


@dataclass(slots=True)
class SimulatedServer:
    """A backend server with slots and a queue.

    Attributes
    ----------
    host : int
        Address of the server.
    service : str
        Name of its service.
    slots : int
        Requests that run at the same time.
    speed : float
        Relative speed; the usual one is 1.
    fault : str
        Fault of the scenario, or empty.
    started_at : float
        Time from which a cold server warms up.
    running : int
        Requests that occupy a slot.
    queue : deque of Flow
        Requests that wait for a slot.
    feeds : int
        Open feeds.
    recent_loads : deque of (float, int, int)
        Time, running and queued requests at past reports. The first entry is
        the one that the next report shows.
    run_times : list of float
        Times at which requests started to run.
    total_latency_seconds : float
        Sum of the times from arrival to end of all requests.
    """

    host: int
    service: str
    slots: int
    speed: float = 1
    fault: str = ''
    started_at: float = -1e9
    running: int = 0
    queue: deque['Flow'] = field(default_factory=deque)
    feeds: int = 0
    recent_loads: deque[tuple[float, int, int]] = field(default_factory=deque)
    run_times: list[float] = field(default_factory=list)
    total_latency_seconds: float = 0


@dataclass(slots=True)
class Owner:
    """A balancer, the owner of its share of the hash slots.

    Attributes
    ----------
    name : str
        Name of the member.
    tracker : HostLoadTracker
        Load of the backend servers as this balancer sees it.
    policy : PlacementPolicy
        Chooses the backend server of a flow.
    limiters : dict of str to Limiter
        Keyed by the listener's name.
    retry_budgets : dict of str to RetryBudget
        Keyed by the listener's name.
    overload : OverloadState
        Which work classes are refused.
    busy_until : float
        Time at which all SYNs that have arrived are processed.
    is_alive : bool
        Whether the process runs.
    copy_allowance : float
        Flow copies that may be sent now; refilled at `COPIES_PER_SECOND`.
    copies_refilled_at : float
        Time of the last refill.
    """

    name: str
    tracker: HostLoadTracker
    policy: PlacementPolicy
    limiters: dict[str, Limiter]
    retry_budgets: dict[str, RetryBudget]
    overload: OverloadState = field(default_factory=OverloadState)
    busy_until: float = 0
    is_alive: bool = True
    copy_allowance: float = COPIES_PER_SECOND
    copies_refilled_at: float = 0


@dataclass(slots=True)
class Flow:
    """A flow of a caller.

    Attributes
    ----------
    listener : str
        Name of the listener.
    flow_key : bytes
        Key of the flow.
    arrived_at : float
        Time of the first SYN.
    work_seconds : float
        Run time at a server of speed 1, or how long a feed stays open.
    owner, server : Owner, SimulatedServer, optional
        Balancer that has the flow, and the backend server it was sent to.
    transmissions : int
        How often the caller has sent the SYN again.
    result : str
        ``finished``, ``refused`` or ``lost``; empty before the end.
    ended_at : float
        Time of the end.
    is_open : bool
        Whether it was sent to a backend server and has not ended.
    """

    listener: str
    flow_key: bytes
    arrived_at: float
    work_seconds: float
    owner: Owner | None = None
    server: SimulatedServer | None = None
    transmissions: int = 0
    result: str = ''
    ended_at: float = 0
    is_open: bool = False


@dataclass(slots=True)
class Model:
    """State of a run.

    Attributes
    ----------
    customer, scenario : Customer, Scenario
        What is modelled.
    routes : dict of str to Route
        Keyed by the listener's name.
    owners : list of Owner
        All balancers, including dead ones.
    servers : dict of int to SimulatedServer
        Keyed by host.
    slot_owners : list of Owner
        Owner of each hash slot.
    flows : list of Flow
        All flows in the order of their arrival.
    now : float
        Simulated time in seconds.
    events : list of tuple
        Heap of scheduled events: time, number, function and arguments.
    event_numbers : iterator of int
        Keeps events of the same time in the order of their scheduling.
    delay_random : Random
        Random numbers of the network delays.
    connections, retries, copies : int
        Flows sent to a backend server for the first time, retries, and flows
        copied to a backup.
    """

    customer: Customer
    scenario: Scenario
    routes: dict[str, Route]
    owners: list[Owner]
    servers: dict[int, SimulatedServer]
    slot_owners: list[Owner] = field(default_factory=list)
    flows: list[Flow] = field(default_factory=list)
    now: float = 0
    events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = (
        field(default_factory=list)
    )
    event_numbers: Any = field(default_factory=count)
    delay_random: Random = field(default_factory=Random)
    connections: int = 0
    retries: int = 0
    copies: int = 0


def run_model(
    customer: Customer,
    scenario: Scenario,
    create_policy: PolicyFactory,
    seed: int,
) -> Model:
    """Run a scenario to its end.

    Parameters
    ----------
    customer : Customer
        Services and network delays.
    scenario : Scenario
        Faults and load of the run.
    create_policy : callable
        Creates the placement policy of one balancer.
    seed : int
        Seed of all random streams.

    Returns
    -------
    Model
        The state at the end of the run.
    """
    model = _create_model(customer, scenario, create_policy, seed)
    while model.events and model.events[0][0] <= scenario.seconds:
        time, _number, handle, arguments = heappop(model.events)
        model.now = time
        handle(model, *arguments)
    model.now = scenario.seconds
    return model


def _create_model(
    customer: Customer,
    scenario: Scenario,
    create_policy: PolicyFactory,
    seed: int,
) -> Model:
    routes = build_routes(customer)
    servers = {
        server.host: SimulatedServer(server.host, server.service, server.slots)
        for route in routes.values()
        for server in route.backend_servers
    }
    owners = [
        _create_owner(f'b{number}', routes, create_policy)
        for number in range(OWNER_COUNT)
    ]
    model = Model(customer, scenario, routes, owners, servers)
    model.delay_random.seed(f'{seed}/delays')
    _apply_server_faults(model)
    _assign_owners(model)
    for load in customer.services:
        _schedule_arrivals(model, load, seed)
    _schedule(model, 0, _send_reports)
    _schedule(model, 0, _sample_loop_delays)
    if scenario.event == 'death':
        _schedule(model, EVENT_TIME, _kill_owner)
    if scenario.event == 'drain':
        _schedule(model, EVENT_TIME, _drain_servers)
    return model


def _create_owner(
    name: str,
    routes: dict[str, Route],
    create_policy: PolicyFactory,
) -> Owner:
    tracker = HostLoadTracker()
    set_member_count(tracker, OWNER_COUNT)
    limiters = {
        listener: create_limiter(
            route.listener.kind,
            sum(server.slots for server in route.backend_servers) / OWNER_COUNT,
        )
        for listener, route in routes.items()
    }
    retry_budgets = {listener: RetryBudget() for listener in routes}

    def may_leave_default() -> bool:
        return owner.copy_allowance >= 1

    owner = Owner(
        name,
        tracker,
        create_policy(tracker, may_leave_default),
        limiters,
        retry_budgets,
    )
    return owner


def _apply_server_faults(model: Model) -> None:
    scenario = model.scenario
    for load in model.customer.services:
        service_servers = [
            server
            for server in model.servers.values()
            if server.service == load.name
        ]
        for server, speed in zip(
            service_servers, scenario.speeds, strict=False
        ):
            server.speed = speed
        if scenario.fault:
            service_servers[0].fault = scenario.fault
        if scenario.fault == 'slow':
            service_servers[0].speed = SLOW_SPEED
    if scenario.fault == 'cold':
        _set_draining(model, is_draining=True)
        _schedule(model, FLOOD_START, _start_cold_servers)


def _schedule_arrivals(model: Model, load: ServiceLoad, seed: int) -> None:
    name = load.listener
    ordinary_rate = ORDINARY_LOAD * load.capacity
    random = Random(f'{seed}/{name}')
    _schedule(
        model,
        0,
        _generate_request,
        load,
        random,
        ordinary_rate,
        model.scenario.seconds,
    )
    factor = model.scenario.floods.get(load.work_class)
    if factor:
        extra_rate = factor * load.capacity - ordinary_rate
        flood_random = Random(f'{seed}/{name}/flood')
        _schedule(
            model,
            FLOOD_START,
            _generate_request,
            load,
            flood_random,
            extra_rate,
            FLOOD_END,
        )
    if load.has_feeds:
        feed_random = Random(f'{seed}/{load.name}/feeds')
        total = FEEDS_PER_SERVER * load.server_count
        starts = [2 * feed_random.random() for _feed in range(total)]
        for start in starts:
            _schedule(model, start, _open_feed, feed_random)
        _schedule(
            model, 2, _generate_feed, feed_random, total / MEAN_FEED_SECONDS
        )


def _schedule(
    model: Model,
    delay: float,
    handle: Callable[..., None],
    *arguments: Any,
) -> None:
    event = (model.now + delay, next(model.event_numbers), handle, arguments)
    heappush(model.events, event)


def _generate_request(
    model: Model,
    load: ServiceLoad,
    random: Random,
    rate: float,
    until: float,
) -> None:
    work = load.service_seconds * (0.5 + 0.5 * random.expovariate(1))
    _start_flow(model, load.listener, random, work)
    wait = random.expovariate(rate)
    if model.now + wait < until:
        _schedule(model, wait, _generate_request, load, random, rate, until)


def _generate_feed(model: Model, random: Random, rate: float) -> None:
    _open_feed(model, random)
    _schedule(model, random.expovariate(rate), _generate_feed, random, rate)


def _open_feed(model: Model, random: Random) -> None:
    duration = random.expovariate(1 / MEAN_FEED_SECONDS)
    _start_flow(model, 'feeds', random, duration)


def _start_flow(
    model: Model,
    listener: str,
    random: Random,
    work_seconds: float,
) -> None:
    flow = Flow(listener, random.randbytes(12), model.now, work_seconds)
    model.flows.append(flow)
    _receive_syn(model, flow)


def _receive_syn(model: Model, flow: Flow) -> None:
    owner = model.slot_owners[get_hash_slot(flow.flow_key)]
    waiting = owner.busy_until - model.now
    if not owner.is_alive or waiting > MAX_SOCKET_WAIT_SECONDS:
        if flow.transmissions >= len(RETRANSMIT_SECONDS):
            _end_flow(model, flow, 'lost')
            return
        wait = RETRANSMIT_SECONDS[flow.transmissions]
        flow.transmissions += 1
        _schedule(model, wait, _receive_syn, flow)
        return
    owner.busy_until = max(owner.busy_until, model.now) + SYN_PROCESSOR_SECONDS
    flow.owner = owner
    _schedule(model, owner.busy_until - model.now, _place_flow, flow, owner)


def _place_flow(model: Model, flow: Flow, owner: Owner) -> None:
    route = model.routes[flow.listener]
    limiter = owner.limiters[flow.listener]
    if route.listener.work_class in owner.overload.refused:
        _end_flow(model, flow, 'refused')
        return
    if admit(limiter, model.now) is not ADMITTED:
        _end_flow(model, flow, 'refused')
        return
    _refill_copy_allowance(owner, model.now)
    choice = owner.policy(route, flow.flow_key, model.now, model.now)
    if not isinstance(choice, Choice):
        release(limiter, 0, FlowOutcome.UNKNOWN, model.now)
        _end_flow(model, flow, 'refused')
        return
    if flow.listener == 'feeds' or not choice.is_default:
        owner.copy_allowance -= 1
        model.copies += 1
    model.connections += 1
    _connect(model, flow, owner, choice, 0)


def _refill_copy_allowance(owner: Owner, now: float) -> None:
    refill = (now - owner.copies_refilled_at) * COPIES_PER_SECOND
    owner.copy_allowance = min(COPIES_PER_SECOND, owner.copy_allowance + refill)
    owner.copies_refilled_at = now


def _connect(
    model: Model,
    flow: Flow,
    owner: Owner,
    choice: Choice,
    attempt: int,
) -> None:
    host = choice.candidates[attempt].host
    flow.server = model.servers[host]
    flow.is_open = True
    record_opened(
        owner.tracker, host, model.routes[flow.listener].listener.kind
    )
    _schedule(
        model,
        _pick_network_delay(model),
        _receive_at_server,
        flow,
        owner,
        choice,
        attempt,
    )


def _receive_at_server(
    model: Model,
    flow: Flow,
    owner: Owner,
    choice: Choice,
    attempt: int,
) -> None:
    server = model.servers[choice.candidates[attempt].host]
    if server.fault == 'silent':
        _schedule(
            model,
            CONNECT_TIMEOUT_SECONDS,
            _time_out_flow,
            flow,
            owner,
            server,
        )
        return
    is_feed = flow.listener == 'feeds'
    is_full = len(server.queue) >= MAX_QUEUED_PER_SLOT * server.slots
    if server.fault == 'refuse' or (is_full and not is_feed):
        _schedule(
            model,
            _pick_network_delay(model),
            _handle_refusal,
            flow,
            owner,
            choice,
            attempt,
        )
        return
    _schedule(
        model,
        _pick_network_delay(model),
        _record_accepted,
        flow,
        owner,
        server,
    )
    if is_feed:
        server.feeds += 1
        _schedule(model, flow.work_seconds, _close_feed, flow)
    else:
        server.queue.append(flow)
        _run_queued_flows(model, server)


def _record_accepted(
    model: Model,
    flow: Flow,
    owner: Owner,
    server: SimulatedServer,
) -> None:
    if owner.is_alive:
        record_accepted(owner.tracker, server.host, model.now)
        record_success(owner.retry_budgets[flow.listener])


def _handle_refusal(
    model: Model,
    flow: Flow,
    owner: Owner,
    choice: Choice,
    attempt: int,
) -> None:
    if not owner.is_alive:
        _end_flow(model, flow, 'lost')
        return
    host = choice.candidates[attempt].host
    listener = model.routes[flow.listener].listener
    record_refused(owner.tracker, host, model.now)
    record_closed(owner.tracker, host, listener.kind, model.now)
    elapsed = model.now - flow.arrived_at
    if (
        attempt < min(MAX_RETRIES, len(choice.candidates) - 1)
        and elapsed < listener.deadline_seconds
        and take_retry(owner.retry_budgets[flow.listener])
    ):
        model.retries += 1
        _connect(model, flow, owner, choice, attempt + 1)
        return
    release(owner.limiters[flow.listener], elapsed, FlowOutcome.SHED, model.now)
    _end_flow(model, flow, 'refused')


def _time_out_flow(
    model: Model,
    flow: Flow,
    owner: Owner,
    server: SimulatedServer,
) -> None:
    if owner.is_alive:
        record_unanswered(owner.tracker, server.host, model.now)
        _record_end(model, flow, owner, FlowOutcome.UNKNOWN)
    _end_flow(model, flow, 'lost')


def _run_queued_flows(model: Model, server: SimulatedServer) -> None:
    while server.queue and server.running < server.slots:
        flow = server.queue.popleft()
        server.running += 1
        server.run_times.append(model.now)
        duration = flow.work_seconds / _get_speed(server, model.now)
        _schedule(model, duration, _finish_request, flow, server)


def _get_speed(server: SimulatedServer, now: float) -> float:
    if server.fault != 'cold':
        return server.speed
    cold_share = max(0, 1 - (now - server.started_at) / COLD_START_SECONDS)
    return 1 / (1 + (COLD_START_SLOWDOWN - 1) * cold_share)


def _finish_request(model: Model, flow: Flow, server: SimulatedServer) -> None:
    server.running -= 1
    server.total_latency_seconds += model.now - flow.arrived_at
    _run_queued_flows(model, server)
    _schedule(model, _pick_network_delay(model), _finish_flow, flow)


def _finish_flow(model: Model, flow: Flow) -> None:
    owner = flow.owner
    if owner is not None and owner.is_alive:
        _record_end(model, flow, owner, FlowOutcome.FINISHED)
    _end_flow(model, flow, 'finished')


def _close_feed(model: Model, flow: Flow) -> None:
    if flow.server is not None:
        flow.server.feeds -= 1
    _finish_flow(model, flow)


def _record_end(
    model: Model,
    flow: Flow,
    owner: Owner,
    outcome: FlowOutcome,
) -> None:
    kind = model.routes[flow.listener].listener.kind
    duration = model.now - flow.arrived_at
    finished = duration if outcome is FlowOutcome.FINISHED else None
    if flow.server is not None:
        host = flow.server.host
        record_closed(owner.tracker, host, kind, model.now, finished)
    release(owner.limiters[flow.listener], duration, outcome, model.now)


def _end_flow(model: Model, flow: Flow, result: str) -> None:
    flow.result = result
    flow.ended_at = model.now
    flow.is_open = False


def _pick_network_delay(model: Model) -> float:
    return model.delay_random.uniform(*model.customer.delay_range_seconds)


def _send_reports(model: Model) -> None:
    if model.now >= model.scenario.reports_stop_at:
        return
    for server in model.servers.values():
        loads = server.recent_loads
        loads.append((model.now, server.running, len(server.queue)))
        while (
            len(loads) > 1
            and loads[1][0] <= model.now - model.scenario.report_lag_seconds
        ):
            loads.popleft()
        _taken_at, running, queued = loads[0]
        if server.fault in {'slow', 'refuse'}:
            running, queued = 0, 0
        if server.fault != 'silent':
            report = LoadReport(
                server.host, running, queued, REPORT_AGE_SECONDS
            )
            _schedule(model, REPORT_AGE_SECONDS, _deliver_report, report)
    _schedule(model, REPORT_INTERVAL_SECONDS, _send_reports)


def _deliver_report(model: Model, report: LoadReport) -> None:
    for owner in model.owners:
        record_report(owner.tracker, report, model.now)


def _sample_loop_delays(model: Model) -> None:
    for owner in model.owners:
        waiting = max(0, owner.busy_until - model.now)
        record_loop_delay(owner.overload, waiting, model.now)
    _schedule(model, LOOP_DELAY_INTERVAL_SECONDS, _sample_loop_delays)


def _assign_owners(model: Model) -> None:
    alive = {owner.name: owner for owner in model.owners if owner.is_alive}
    members = [
        Member(name, f'dc-{index % 3}', '127.0.0.1', 1, 1)
        for index, name in enumerate(alive)
    ]
    model.slot_owners = [alive[name] for name in assign_slots(members).owners]
    for owner in alive.values():
        set_member_count(owner.tracker, len(alive))


def _kill_owner(model: Model) -> None:
    model.owners[0].is_alive = False
    _schedule(model, DETECTION_SECONDS, _reassign_flows)


def _reassign_flows(model: Model) -> None:
    _assign_owners(model)
    for flow in model.flows:
        if not flow.is_open or flow.listener != 'feeds':
            continue
        if flow.owner is None or flow.owner.is_alive or flow.server is None:
            continue
        # The new owner gets the flow from the copy that the backup holds.
        flow.owner = model.slot_owners[get_hash_slot(flow.flow_key)]
        record_opened(flow.owner.tracker, flow.server.host, ListenerKind.FEED)
        record_admitted(flow.owner.limiters['feeds'])


def _drain_servers(model: Model) -> None:
    _set_draining(model, is_draining=True)


def _start_cold_servers(model: Model) -> None:
    for server in model.servers.values():
        server.started_at = model.now
    _set_draining(model, is_draining=False)


def _set_draining(model: Model, is_draining: bool) -> None:
    """Set whether the first backend server of each service drains."""
    for name, route in model.routes.items():
        first, *others = route.backend_servers
        changed = replace(first, draining=is_draining)
        servers = (changed, *others)
        model.routes[name] = replace(route, backend_servers=servers)
