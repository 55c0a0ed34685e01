"""Measures placement and limits with the load model.

``python -m testbed.measure_load`` prints the figures. Each line is
``figure=NAME key=value ... value=V bound=B unit=U ok=B``. The exit status is 1
if the policy ``aged``, which the product uses, exceeds a bound.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from statistics import quantiles
from timeit import repeat
from types import MappingProxyType
from typing import Final

from balsamshed.configuration.resources import ListenerKind, WorkClass
from balsamshed.limits.limiter import admit, create_limiter
from balsamshed.limits.overload import OverloadState
from balsamshed.limits.verdicts import Refused
from balsamshed.placement.candidates import list_candidates
from balsamshed.placement.policy import (
    create_hash_policy,
    create_load_aware_policy,
    create_round_robin_policy,
    create_two_choices_policy,
)
from testbed.load_model import (
    COPIES_PER_SECOND,
    Flow,
    Model,
    PolicyFactory,
    SimulatedServer,
    run_model,
)
from testbed.load_scenarios import (
    CUSTOMERS,
    FEED_SCALE,
    FLOOD_END,
    FLOOD_SCENARIOS,
    FLOOD_START,
    REFERENCE_SCENARIOS,
    STEADY_SCENARIOS,
    Customer,
    Scenario,
    ServiceLoad,
    build_routes,
)

SEED: Final = 20_261_204

#: Requests run by a backend server in relation to its speed: the most loaded
#: server over the mean of its service. The bounds with ``UNEVEN`` apply to
#: the scenarios that are not in `EVEN_SCENARIOS`.
MAX_IMBALANCE: Final = 1.25
MAX_UNEVEN_IMBALANCE: Final = 2.0
#: The same for the mean number of requests at a backend server, which is
#: proportional to the sum of their latencies.
MAX_QUEUEING: Final = 1.5
MAX_UNEVEN_QUEUEING: Final = 2.0
#: 99th percentile of the latency, in multiples of the mean service time. The
#: service time alone has a 99th percentile of 2.8 times its mean.
MAX_LATENCY_FACTOR: Final = 5.0
MAX_UNEVEN_LATENCY_FACTOR: Final = 10.0
#: Share of refused or lost requests at ordinary load.
MAX_FAILED_SHARE: Final = 0.01
MAX_UNEVEN_FAILED_SHARE: Final = 0.05
#: Least share of the work without a flood, or of the capacity, that is still
#: done in a flood.
MIN_KEPT_SHARE: Final = 0.9
MAX_BROKEN_FEEDS: Final = 0
MAX_RETRY_SHARE: Final = 0.1
MAX_SETTLE_SECONDS: Final = 10.0
MAX_REFUSAL_MICROSECONDS: Final = 20.0
MAX_ORDER_MICROSECONDS: Final = 6.0

#: Scenarios in which all backend servers are equal.
EVEN_SCENARIOS: Final = frozenset(('calm', 'reports_lag', 'reports_stop'))
#: Start of the measured time, when limits and feeds have settled.
WARM_UP_SECONDS: Final = 5.0
#: The latency after a flood has settled below this multiple of the latency
#: before it.
SETTLED_LATENCY_FACTOR: Final = 1.5
#: Share of failed requests by which a settled service may exceed the share
#: before the flood.
SETTLED_FAILED_SHARE: Final = 0.01
#: As long as the time before the flood that it is compared with. Windows of
#: 1 s have as few as 36 requests and failed at random even without a flood.
SETTLE_WINDOW_SECONDS: Final = 5.0

POLICIES: Final = MappingProxyType(
    {
        'hash': lambda tracker, may_leave: create_hash_policy(),
        'round_robin': lambda tracker, may_leave: create_round_robin_policy(),
        'two_choices': lambda tracker, may_leave: create_two_choices_policy(
            tracker
        ),
        'aged': create_load_aware_policy,
    },
)
PRODUCT_POLICY: Final = 'aged'


@dataclass(frozen=True, slots=True)
class LoadFigure:
    """A measured value with its bound.

    Parameters
    ----------
    name : str
        Name of the figure.
    labels : str
        ``key=value`` pairs, separated by spaces.
    measured, bound : float
        The measured value and its bound.
    unit : str
        Unit of both.
    is_minimum : bool
        Whether the bound is the least allowed value, not the largest.
    """

    name: str
    labels: str
    measured: float
    bound: float
    unit: str
    is_minimum: bool = False

    @property
    def has_passed(self) -> bool:
        """Whether the value is within the bound."""
        if self.is_minimum:
            return self.measured >= self.bound
        return self.measured <= self.bound


def format_load_figure(figure: LoadFigure) -> str:
    """Return the line that shows a figure."""
    labels = f' {figure.labels}' if figure.labels else ''
    return (
        f'figure={figure.name}{labels} value={figure.measured:.4g} '
        f'bound={figure.bound:g} unit={figure.unit} '
        f'ok={str(figure.has_passed).lower()}'
    )


def measure_steady(
    customer: Customer,
    scenario: Scenario,
    policy: str,
) -> Iterator[LoadFigure]:
    """Measure a scenario without a flood.

    Parameters
    ----------
    customer : Customer
        Customer whose services are modelled.
    scenario : Scenario
        Scenario without a flood.
    policy : str
        Key of `POLICIES`.

    Yields
    ------
    LoadFigure
        Imbalance, latency and refused share for each service.
    """
    model = run_model(customer, scenario, _get_policy_factory(policy), SEED)
    is_even = scenario.name in EVEN_SCENARIOS
    for load in customer.services:
        labels = f'service={load.name} scenario={scenario.name} policy={policy}'
        servers = [
            server
            for server in model.servers.values()
            if server.service == load.name
        ]
        yield LoadFigure(
            'imbalance_max_over_mean',
            labels,
            _get_run_imbalance(servers),
            MAX_IMBALANCE if is_even else MAX_UNEVEN_IMBALANCE,
            'ratio',
        )
        yield LoadFigure(
            'queueing_max_over_mean',
            labels,
            _get_max_over_mean(
                [server.total_latency_seconds for server in servers]
            ),
            MAX_QUEUEING if is_even else MAX_UNEVEN_QUEUEING,
            'ratio',
        )
        flows = _select_ended_flows(
            model, load.listener, WARM_UP_SECONDS, scenario.seconds
        )
        factor = MAX_LATENCY_FACTOR if is_even else MAX_UNEVEN_LATENCY_FACTOR
        yield LoadFigure(
            'p99_latency',
            labels,
            1000 * _get_p99(flows),
            1000 * factor * load.service_seconds,
            'ms',
        )
        yield LoadFigure(
            'refused_or_lost_share',
            labels,
            _get_failed_share(flows),
            MAX_FAILED_SHARE if is_even else MAX_UNEVEN_FAILED_SHARE,
            'ratio',
        )
        if load.has_feeds and scenario.fault not in {
            'refuse',
            'silent',
            'cold',
        }:
            yield LoadFigure(
                'open_feeds_max_over_mean',
                labels,
                _get_max_over_mean([server.feeds for server in servers]),
                MAX_IMBALANCE,
                'ratio',
            )
    yield LoadFigure(
        'flow_copies_per_owner',
        f'customer={customer.name} scenario={scenario.name} policy={policy}',
        model.copies / scenario.seconds / len(model.owners),
        COPIES_PER_SECOND,
        '1/s',
    )


def measure_flood(
    customer: Customer,
    scenario: Scenario,
    reference: Model,
    policy: str,
) -> Iterator[LoadFigure]:
    """Measure a flood in comparison with the same run without it.

    Parameters
    ----------
    customer : Customer
        Customer whose services are modelled.
    scenario : Scenario
        Scenario with a flood.
    reference : Model
        State at the end of the same run without a flood.
    policy : str
        Key of `POLICIES`.

    Yields
    ------
    LoadFigure
        Work kept, broken feeds, retries and the time to settle.
    """
    model = run_model(customer, scenario, _get_policy_factory(policy), SEED)
    labels = (
        f'customer={customer.name} scenario={scenario.name} policy={policy}'
    )
    for load in customer.services:
        listener_labels = f'{labels} listener={load.listener}'
        during = _select_ended_flows(
            model, load.listener, FLOOD_START, FLOOD_END
        )
        finished = _count_timely_flows(during, load)
        if load.work_class in scenario.floods:
            yield _compare_with_capacity(model, load, listener_labels, finished)
            settle = _get_settle_seconds(model, load.listener)
            yield LoadFigure(
                'settle_seconds',
                listener_labels,
                settle,
                MAX_SETTLE_SECONDS,
                's',
            )
            continue
        before = _select_ended_flows(
            reference, load.listener, FLOOD_START, FLOOD_END
        )
        kept = finished / _count_timely_flows(before, load)
        yield LoadFigure(
            'flood_kept_share',
            listener_labels,
            kept,
            MIN_KEPT_SHARE,
            'ratio',
            is_minimum=True,
        )
    feeds = _count_open_feeds(model, FLOOD_START, FLOOD_END)
    kept = feeds / _count_open_feeds(reference, FLOOD_START, FLOOD_END)
    yield LoadFigure(
        'flood_kept_share',
        f'{labels} listener=feeds',
        kept,
        MIN_KEPT_SHARE,
        'ratio',
        is_minimum=True,
    )
    yield LoadFigure(
        'open_feeds_broken_in_flood',
        labels,
        _count_broken_feeds(model),
        MAX_BROKEN_FEEDS,
        'feeds',
    )
    attempts = model.connections + model.retries
    yield LoadFigure(
        'retry_share_in_flood',
        labels,
        model.retries / attempts,
        MAX_RETRY_SHARE,
        'ratio',
    )


def measure_costs() -> Iterator[LoadFigure]:
    """Measure the processor time of single decisions.

    Yields
    ------
    LoadFigure
        Time for a refusal and for ordering the candidates of a flow.
    """
    limiter = create_limiter(ListenerKind.REQUEST, 0.5)
    admit(limiter, 0)
    overload = OverloadState()

    def refuse() -> Refused | None:
        if WorkClass.URGENT in overload.refused:
            return None
        outcome = admit(limiter, 1)
        return outcome if isinstance(outcome, Refused) else None

    # The minimum of many short runs, as other processes disturb long ones.
    best = min(repeat(refuse, number=100, repeat=200))
    yield LoadFigure(
        'refusal_cost_microseconds',
        '',
        best * 1e4,
        MAX_REFUSAL_MICROSECONDS,
        'us',
    )
    for customer in CUSTOMERS:
        load = customer.services[0]
        route = build_routes(customer)[load.listener]

        def order() -> object:
            return list_candidates(route, b'flow-key-12b', 0)

        best = min(repeat(order, number=100, repeat=200))
        yield LoadFigure(
            'candidate_order_microseconds',
            f'service={load.name}',
            best * 1e4,
            MAX_ORDER_MICROSECONDS,
            'us',
        )


def run_all() -> Iterator[LoadFigure]:
    """Measure all scenarios with all policies.

    Yields
    ------
    LoadFigure
        Each figure as soon as it is measured.
    """
    yield from measure_costs()
    for policy in POLICIES:
        for customer in CUSTOMERS:
            for scenario in STEADY_SCENARIOS:
                yield from measure_steady(customer, scenario, policy)
            yield from _measure_floods(customer, policy)


def main() -> int:
    """Print all figures.

    Returns
    -------
    int
        Exit status: 1 if the product's policy exceeds a bound.
    """
    sys.stdout.write(f'seed={SEED} feed_scale={FEED_SCALE}\n')
    failures = 0
    for figure in run_all():
        sys.stdout.write(f'{format_load_figure(figure)}\n')
        sys.stdout.flush()
        is_other = 'policy=' in figure.labels and (
            f'policy={PRODUCT_POLICY}' not in figure.labels
        )
        failures += not figure.has_passed and not is_other
    sys.stdout.write(f'policy={PRODUCT_POLICY} failed_bounds={failures}\n')
    return int(failures > 0)


def _measure_floods(customer: Customer, policy: str) -> Iterator[LoadFigure]:
    factory = _get_policy_factory(policy)
    references = {
        scenario.event: run_model(customer, scenario, factory, SEED)
        for scenario in REFERENCE_SCENARIOS
    }
    for scenario in FLOOD_SCENARIOS:
        reference = references[scenario.event]
        yield from measure_flood(customer, scenario, reference, policy)


def _get_policy_factory(policy: str) -> PolicyFactory:
    factory: PolicyFactory = POLICIES[policy]
    return factory


def _select_ended_flows(
    model: Model,
    listener: str,
    start: float,
    end: float,
) -> list[Flow]:
    # Flows that are still open at the end of the run have no result yet.
    return [
        flow
        for flow in model.flows
        if flow.listener == listener
        and start <= flow.arrived_at < end
        and flow.result
    ]


def _get_p99(flows: list[Flow]) -> float:
    latencies = [
        flow.ended_at - flow.arrived_at
        for flow in flows
        if flow.result == 'finished'
    ]
    if len(latencies) < 2:
        return 0
    return quantiles(latencies, n=100)[-1]


def _get_failed_share(flows: list[Flow]) -> float:
    failed = sum(flow.result != 'finished' for flow in flows)
    return failed / max(1, len(flows))


def _count_timely_flows(flows: list[Flow], load: ServiceLoad) -> int:
    """Count requests that finished before their callers would time out."""
    limit = MAX_UNEVEN_LATENCY_FACTOR * load.service_seconds
    return sum(
        flow.result == 'finished' and flow.ended_at - flow.arrived_at < limit
        for flow in flows
    )


def _get_max_over_mean(loads: list[float]) -> float:
    return max(loads) * len(loads) / max(1e-9, sum(loads))


def _get_run_imbalance(servers: list[SimulatedServer]) -> float:
    start = WARM_UP_SECONDS
    speeds = {}
    for server in servers:
        speeds[server.host] = server.speed
        if server.fault in {'refuse', 'silent'}:
            speeds[server.host] = 0
        if server.fault == 'cold':
            # The server starts at FLOOD_START and is warm at this time.
            start = 2 * FLOOD_START
    usable_servers = [server for server in servers if speeds[server.host]]
    runs = [
        sum(time >= start for time in server.run_times)
        for server in usable_servers
    ]
    total_speed = sum(speeds.values())
    mean = sum(runs) / total_speed
    return max(
        run / speeds[server.host] / mean
        for run, server in zip(runs, usable_servers, strict=True)
    )


def _compare_with_capacity(
    model: Model,
    load: ServiceLoad,
    labels: str,
    finished: int,
) -> LoadFigure:
    seconds = FLOOD_END - FLOOD_START
    capacity = load.capacity * seconds
    if model.scenario.event == 'drain':
        # One backend server takes no new work in the second half.
        capacity *= 1 - 0.5 / load.server_count
    return LoadFigure(
        'flooded_goodput_share_of_capacity',
        labels,
        finished / capacity,
        MIN_KEPT_SHARE,
        'ratio',
        is_minimum=True,
    )


def _get_settle_seconds(model: Model, listener: str) -> float:
    before = _select_ended_flows(model, listener, WARM_UP_SECONDS, FLOOD_START)
    p99 = SETTLED_LATENCY_FACTOR * _get_p99(before)
    refused = SETTLED_FAILED_SHARE + _get_failed_share(before)
    last = int(model.scenario.seconds - FLOOD_END - SETTLE_WINDOW_SECONDS)
    settled = last + 1
    for second in reversed(range(last + 1)):
        start = FLOOD_END + second
        end = start + SETTLE_WINDOW_SECONDS
        flows = _select_ended_flows(model, listener, start, end)
        if _get_p99(flows) > p99 or _get_failed_share(flows) > refused:
            break
        settled = second
    return settled


def _count_open_feeds(model: Model, start: float, end: float) -> int:
    return sum(
        flow.listener == 'feeds'
        and start <= flow.arrived_at < end
        and flow.result in {'', 'finished'}
        for flow in model.flows
    )


def _count_broken_feeds(model: Model) -> int:
    """Compare the open feeds with those that live balancers count."""
    is_open = sum(
        flow.is_open and flow.listener == 'feeds' for flow in model.flows
    )
    counted = sum(
        host_load.open_feeds
        for owner in model.owners
        if owner.is_alive
        for host_load in owner.tracker.hosts.values()
    )
    return abs(is_open - counted)


if __name__ == '__main__':
    sys.exit(main())
