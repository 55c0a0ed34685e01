"""Replays a load pattern against the packet path of edge balancers.

Callers, endpoints and the network are simulated in one process with simulated
time; where each packet goes is decided by the product. An endpoint has slots
and a queue, and rejects what its queue cannot hold.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from heapq import heappop, heappush
from typing import Final

from balsamshed.routes.table import make_listener_key
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions
from balsamshed.steering.packets import (
    FlowPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
)
from balsamshed.steering.state import Steering
from testbed.load_fleet import (
    ADDRESS,
    Caller,
    Replay,
    SimulatedEndpoint,
    create_replay,
    exchange_reports,
    exchange_speeds,
    list_endpoints,
    set_draining,
)
from testbed.load_patterns import (
    CallerClass,
    DataCentreDrain,
    LoadPattern,
    Outage,
)

#: One way between any two processes.
DELAY_SECONDS: Final = 0.001
REPORT_INTERVAL_SECONDS: Final = 0.1
SPEEDS_INTERVAL_SECONDS: Final = 1.0
#: Times of the copies of an opening packet, and when the caller gives up.
OPENING_COPY_SECONDS: Final = (0, 0.2, 0.6)
OPENING_TIMEOUT_SECONDS: Final = 1.4
MAX_TRIES: Final = 3
#: Pause of a caller of a long flow between an answer and its next request.
THINK_SECONDS: Final = 0.7

#: Time after which the entry of a silent endpoint expires.
ENTRY_LIFETIME_SECONDS: Final = 1.5

_RESPONSE_BYTES: Final = 600
_REJECTION_BYTES: Final = 120


def replay_load(
    pattern: LoadPattern,
    seed: int = 1,
    has_goals: bool = True,
    options: EdgeOptions = NO_OPTIONS,
) -> Replay:
    """Replay a load pattern.

    Parameters
    ----------
    pattern : LoadPattern
        What arrives when.
    seed : int
        Seed of the random numbers.
    has_goals : bool
        Whether the balancers know the latency goals; without them they admit
        every flow.
    options : EdgeOptions
        Optional parts of the balancers.

    Returns
    -------
    Replay
        State after the last event.
    """
    replay = create_replay(pattern, seed, has_goals, options)
    for caller_class in pattern.classes:
        _schedule_class(replay, pattern, caller_class)
    for tick in range(int(pattern.seconds / REPORT_INTERVAL_SECONDS)):
        at = tick * REPORT_INTERVAL_SECONDS
        _schedule(
            replay,
            at,
            partial(exchange_reports, replay, tick, REPORT_INTERVAL_SECONDS),
        )
    for round_number in range(int(pattern.seconds / SPEEDS_INTERVAL_SECONDS)):
        at = round_number * SPEEDS_INTERVAL_SECONDS
        _schedule(replay, at, partial(exchange_speeds, replay))
    _schedule_outage(replay, pattern.outage)
    _schedule_drain(replay, pattern.drain)
    while replay.events:
        at, _number, act = heappop(replay.events)
        replay.now = at
        act()
    return replay


def get_share(replay: Replay, name: str, outcome: str = 'in_goal') -> float:
    """Return the share of the requests of a class with an outcome."""
    total = sum(
        amount
        for (class_name, _outcome), amount in replay.outcomes.items()
        if class_name == name
    )
    return replay.outcomes[name, outcome] / total


def _schedule(replay: Replay, at: float, act: Callable[[], None]) -> None:
    heappush(replay.events, (at, next(replay.event_numbers), act))


def _schedule_outage(replay: Replay, outage: Outage | None) -> None:
    """Silence endpoints; their entries follow after a while."""
    if outage is None:
        return
    endpoints = list(replay.endpoints.values())[: outage.endpoints]

    def set_silent(is_silent: bool) -> None:
        for endpoint in endpoints:
            endpoint.is_silent = is_silent
            endpoint.lives += 1
            endpoint.running = 0
            endpoint.queue.clear()

    _schedule(replay, outage.start, partial(set_silent, True))
    _schedule(replay, outage.end, partial(set_silent, False))
    for at in (outage.start + ENTRY_LIFETIME_SECONDS, outage.end):
        _schedule(replay, at, partial(list_endpoints, replay))


def _schedule_drain(replay: Replay, drain: DataCentreDrain | None) -> None:
    """Let the endpoints of a data centre take no new flows for some time."""
    if drain is None:
        return
    for at, is_draining in ((drain.start, True), (drain.end, False)):
        act = partial(
            set_draining, replay, drain.data_centre, is_draining=is_draining
        )
        _schedule(replay, at, act)


def _schedule_class(
    replay: Replay, pattern: LoadPattern, caller_class: CallerClass
) -> None:
    """Schedule the arrival of all callers of a class."""
    spans: list[tuple[float, float, float]] = [(0, pattern.seconds, 1)]
    spans.extend(
        (burst.start, burst.end, burst.factor - 1)
        for burst in pattern.bursts
        if burst.name == caller_class.name
    )
    for start, end, factor in spans:
        rate = caller_class.per_second * factor
        if caller_class.has_long_flows:
            cycle_seconds = THINK_SECONDS + caller_class.work_seconds
            for _ in range(round(rate * cycle_seconds)):
                at = start + replay.numbers.uniform(0, cycle_seconds)
                _schedule_caller(replay, caller_class, at, end)
            continue
        at = start + replay.numbers.expovariate(rate)
        while at < end:
            _schedule_caller(replay, caller_class, at, at)
            at += replay.numbers.expovariate(rate)


def _schedule_caller(
    replay: Replay, caller_class: CallerClass, at: float, until: float
) -> None:
    caller = Caller(caller_class, at, until)
    _schedule(replay, at, lambda: _start_request(replay, caller))


def _start_request(replay: Replay, caller: Caller) -> None:
    caller.asked_at = replay.now
    caller.tries = 0
    replay.asked[int(replay.now)] += 1
    _try_request(replay, caller)


def _try_request(replay: Replay, caller: Caller) -> None:
    caller.tries += 1
    if caller.flow:
        _send_data(replay, caller)
        return
    caller.flow = next(replay.flow_numbers)
    caller.acknowledged = 1
    _send_opening(replay, caller, caller.flow, 0)


def _send_opening(
    replay: Replay, caller: Caller, flow: int, attempt: int
) -> None:
    packet = _build_packet(caller, PacketKind.OPENING, attempt)
    steering = _pick_balancer(replay, caller, flow)
    effect = steer_packet(steering, packet, replay.now)
    if isinstance(effect, ForwardFlow):
        data_centre = effect.endpoint.data_centre
        replay.placements[caller.caller_class.name, data_centre] += 1
        if _answers_opening(replay, effect.cookie):
            caller.cookie = effect.cookie
            at = replay.now + 2 * DELAY_SECONDS
            _schedule(replay, at, lambda: _send_data(replay, caller))
            return
        replay.refusals[caller.caller_class.name, 'unanswered'] += 1
    else:
        replay.refusals[caller.caller_class.name, effect.reason] += 1
    if isinstance(effect, ResetFlow):
        _fail_try(replay, caller)
    elif attempt + 1 < len(OPENING_COPY_SECONDS):
        gap = OPENING_COPY_SECONDS[attempt + 1] - OPENING_COPY_SECONDS[attempt]
        _schedule(
            replay,
            replay.now + gap,
            lambda: _send_opening(replay, caller, flow, attempt + 1),
        )
    else:
        rest = OPENING_TIMEOUT_SECONDS - OPENING_COPY_SECONDS[attempt]
        _schedule(replay, replay.now + rest, lambda: _fail_try(replay, caller))


def _answers_opening(replay: Replay, cookie: int) -> bool:
    endpoint = replay.endpoints[cookie]
    if endpoint.is_silent:
        return False
    is_full = len(endpoint.queue) >= endpoint.queue_limit
    return not (is_full and replay.pattern.leaves_openings_unanswered)


def _send_data(replay: Replay, caller: Caller) -> None:
    steering = _pick_balancer(replay, caller, caller.flow)
    packet = _build_packet(caller, PacketKind.DATA)
    effect = steer_packet(steering, packet, replay.now)
    if not isinstance(effect, ForwardFlow):
        raise TypeError(f'data of an open flow led to {effect}')
    endpoint = replay.endpoints[caller.cookie]
    _schedule(
        replay,
        replay.now + DELAY_SECONDS,
        lambda: _arrive(replay, endpoint, caller),
    )


def _arrive(
    replay: Replay, endpoint: SimulatedEndpoint, caller: Caller
) -> None:
    if endpoint.is_silent:
        _expire_request(replay, caller)
        return
    if len(endpoint.queue) >= endpoint.queue_limit:
        at = replay.now + DELAY_SECONDS
        _schedule(replay, at, lambda: _receive_rejection(replay, caller))
        return
    endpoint.queue.append(lambda: _run(replay, endpoint, caller))
    _start_queued(endpoint)


def _start_queued(endpoint: SimulatedEndpoint) -> None:
    while endpoint.queue and endpoint.running < endpoint.slots:
        endpoint.running += 1
        endpoint.queue.popleft()()


def _run(replay: Replay, endpoint: SimulatedEndpoint, caller: Caller) -> None:
    mean = caller.caller_class.work_seconds
    work_seconds = replay.numbers.uniform(0.5 * mean, 1.5 * mean)
    pattern = replay.pattern
    if pattern.tail_share and replay.numbers.random() < pattern.tail_share:
        work_seconds *= pattern.tail_factor
    work_seconds /= endpoint.speed
    lives = endpoint.lives

    def finish() -> None:
        if endpoint.lives != lives:
            _expire_request(replay, caller)
            return
        endpoint.running -= 1
        at = replay.now + DELAY_SECONDS
        _schedule(replay, at, lambda: _receive_answer(replay, caller))
        _start_queued(endpoint)

    _schedule(replay, replay.now + work_seconds, finish)


def _expire_request(replay: Replay, caller: Caller) -> None:
    """Let a caller wait out its deadline."""
    caller.flow = 0
    deadline = caller.asked_at + caller.caller_class.timeout_seconds
    _schedule(
        replay,
        max(replay.now, deadline),
        lambda: _finish_request(replay, caller, 'failed'),
    )


def _receive_answer(replay: Replay, caller: Caller) -> None:
    _acknowledge(replay, caller, _RESPONSE_BYTES)
    elapsed = replay.now - caller.asked_at
    replay.latencies.append(elapsed)
    goal_seconds = caller.caller_class.goal_seconds
    _finish_request(
        replay, caller, 'in_goal' if elapsed <= goal_seconds else 'late'
    )


def _receive_rejection(replay: Replay, caller: Caller) -> None:
    _acknowledge(replay, caller, _REJECTION_BYTES)
    _fail_try(replay, caller)


def _fail_try(replay: Replay, caller: Caller) -> None:
    # Each further try uses a new flow.
    caller.flow = 0
    elapsed = replay.now - caller.asked_at
    is_over = elapsed >= caller.caller_class.timeout_seconds
    if is_over or caller.tries >= MAX_TRIES:
        _finish_request(replay, caller, 'failed')
    else:
        _try_request(replay, caller)


def _finish_request(replay: Replay, caller: Caller, outcome: str) -> None:
    replay.outcomes[caller.caller_class.name, outcome] += 1
    if outcome == 'in_goal':
        replay.in_goal[int(replay.now)] += 1
        replay.asked_in_goal[int(caller.asked_at)] += 1
    at = replay.now + replay.numbers.uniform(0.5, 1.5) * THINK_SECONDS
    if at < caller.until:
        _schedule(replay, at, lambda: _start_request(replay, caller))


def _acknowledge(replay: Replay, caller: Caller, amount: int) -> None:
    caller.acknowledged += amount
    packet = _build_packet(caller, PacketKind.ACKNOWLEDGEMENT)
    steering = _pick_balancer(replay, caller, caller.flow)
    steer_packet(steering, packet, replay.now)


def _pick_balancer(replay: Replay, caller: Caller, flow: int) -> Steering:
    data_centre = caller.caller_class.data_centre
    local = [
        steering
        for steering in replay.balancers
        if steering.load_tracker.data_centre == data_centre
    ]
    return local[flow % len(local)]


def _build_packet(
    caller: Caller, kind: PacketKind, attempt: int = 0
) -> FlowPacket:
    packet = FlowPacket(
        kind,
        caller.flow.to_bytes(12, 'big'),
        make_listener_key(ADDRESS, caller.caller_class.port),
        cookie=0,
        attempt=attempt,
        acknowledged=0,
        sequence=0,
        raw=b'',
    )
    if kind is PacketKind.OPENING:
        return packet
    return replace(
        packet,
        cookie=caller.cookie,
        acknowledged=caller.acknowledged,
        sequence=caller.acknowledged,
    )
