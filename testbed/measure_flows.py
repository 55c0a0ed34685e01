"""Measures the guarantees for flows during planned changes and failures.

The bounds come from sections 1.2 and 2.3 of the design page.
"""

import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from xxhash import xxh3_64_intdigest

from balsamshed.members.ownership import Ownership
from testbed.figures import Figure
from testbed.fleet import (
    CRENEAU,
    ServicePlan,
    apply_objects,
    build_service_objects,
    read_metric,
    read_runs,
    run_operator_command,
    start_balancer,
    start_server,
    update_fabric,
    wait_until_ready,
)
from testbed.processes import pause_process, resume_process
from testbed.trials import (
    Trial,
    TrialOutcome,
    assign_owners,
    find_owner,
    find_request_key,
    finish_load,
    get_last_accepted_delay,
    kill_balancer,
    open_feeds,
    run_trial,
    start_load,
    stop_balancer,
    wait_for,
    wait_for_answers,
    wait_for_members,
    wait_for_ticks,
)

#: Feeds that each trial opens.
FEED_COUNT: Final = 300
#: Rate of requests to each service.
REQUESTS_PER_SECOND: Final = 20
#: Bound of G6: time until a draining backend server gets no new work.
MAX_DRAIN_SECONDS: Final = 3.0
#: A balancer derives flows only after it has run for this long (section 2.3).
MIN_DERIVATION_AGE_SECONDS: Final = 61.0
#: A flow copy may be unacknowledged for one batch interval of 50 ms and one
#: retry after 300 ms.
MAX_UNACKNOWLEDGED_SECONDS: Final = 0.35

_BALANCERS: Final = (
    ('lb-1', 'qc-1'),
    ('lb-2', 'qc-2'),
    ('lb-3', 'qc-1'),
    ('lb-4', 'qc-2'),
)
#: Long requests, so that some are in flight when the balancer is killed, and
#: the real number of backend servers.
_SERVICE_TIME_MS: Final = 300
_LARGE_SERVICE: Final = replace(CRENEAU, server_count=7)
_KILLED_BALANCER: Final = 'lb-2'
_PAUSED_BALANCER: Final = 'lb-3'


@dataclass(frozen=True, slots=True)
class BalancerDeath:
    """State of the group when a balancer was killed.

    Parameters
    ----------
    ownership : Ownership
        Owners of the hash slots before the death.
    killed_at : float
        Wall time in seconds.
    unprotected_flows : int
        Flows that the balancer had placed off their default backend server
        without a copy.
    """

    ownership: Ownership
    killed_at: float
    unprotected_flows: int


def list_figures() -> Iterator[Figure]:
    """Run the trials and measure the guarantees.

    Yields
    ------
    Figure
        One or more figures for each guarantee.
    """
    # This trial's balancers get old enough to derive flows while the other
    # trial runs.
    with run_trial(
        _BALANCERS, [_LARGE_SERVICE], service_time_ms=_SERVICE_TIME_MS
    ) as older_trial:
        started_at = time.monotonic()
        open_feeds(older_trial, FEED_COUNT)
        with run_trial(_BALANCERS) as trial:
            drain_seconds, planned_changes = _replace_balancers(trial)
        yield _evaluate_planned_changes(planned_changes)
        wait_for(
            lambda: time.monotonic() - started_at > MIN_DERIVATION_AGE_SECONDS,
            'age of the balancers',
            MIN_DERIVATION_AGE_SECONDS,
        )
        death, killed = _measure_death(older_trial)
        yield _evaluate_feeds(killed, death)
        yield _evaluate_requests(killed, death)
        _pause_balancer(older_trial)
        paused = finish_load(older_trial)
    yield from _evaluate_all([planned_changes, paused])
    yield Figure(
        'new_work_to_leaving_seconds',
        drain_seconds,
        1,
        MAX_DRAIN_SECONDS,
        'seconds',
    )


def _replace_balancers(trial: Trial) -> tuple[float, TrialOutcome]:
    """Replace all balancers while one backend server leaves and one joins."""
    open_feeds(trial, FEED_COUNT)
    start_load(trial, REQUESTS_PER_SECOND)
    drained_at = time.time()
    run_operator_command(trial.fleet, 'drain', 'creneau-2')
    joined = start_server(trial.fleet, CRENEAU, 4)
    apply_objects(trial.fleet, build_service_objects(CRENEAU, [joined])[1:])
    for number, (name, data_centre) in enumerate(_BALANCERS, start=5):
        start_balancer(trial.fleet, f'lb-{number}', data_centre)
        wait_until_ready(trial.fleet)
        stop_balancer(trial, name)
    drained = read_runs(trial.fleet)['creneau-2']
    run_operator_command(trial.fleet, 'delete', 'backend_server', 'creneau-2')
    wait_for_ticks(trial, 10)
    return get_last_accepted_delay(drained, drained_at), finish_load(trial)


def _measure_death(trial: Trial) -> tuple[BalancerDeath, TrialOutcome]:
    start_load(trial, REQUESTS_PER_SECOND, [_LARGE_SERVICE])
    wait_for_answers(trial, 3 * REQUESTS_PER_SECOND)
    balancer = trial.fleet.balancers[_KILLED_BALANCER]
    unprotected_flows = read_metric(
        balancer, 'balsamshed_flows_unprotected_total'
    )
    death = BalancerDeath(
        assign_owners(trial.fleet), time.time(), int(unprotected_flows)
    )
    kill_balancer(trial, _KILLED_BALANCER)
    wait_for_ticks(trial, 10)
    return death, finish_load(trial)


def _pause_balancer(trial: Trial) -> None:
    start_load(trial, REQUESTS_PER_SECOND, [_LARGE_SERVICE])
    paused = trial.fleet.balancers.pop(_PAUSED_BALANCER)
    pause_process(paused.process)
    wait_for_members(trial.fleet)
    update_fabric(trial.fleet)
    wait_for_ticks(trial, 3)
    resume_process(paused.process)
    trial.fleet.balancers[_PAUSED_BALANCER] = paused
    wait_for_members(trial.fleet)
    update_fabric(trial.fleet)
    wait_for_ticks(trial, 5)


def _evaluate_planned_changes(outcome: TrialOutcome) -> Figure:
    lost = outcome.broken_feeds + outcome.refused_feeds + outcome.unanswered
    total = len(outcome.feeds) + len(outcome.requests)
    return Figure('broken_flows_planned', len(lost), total, 0, 'flows')


def _evaluate_feeds(outcome: TrialOutcome, death: BalancerDeath) -> Figure:
    old = [
        feed
        for feed in outcome.feeds
        if death.killed_at - feed['opened_at'] > 1
    ]
    broken = [feed for feed in old if feed['broken_by']]
    return Figure(
        'broken_flows_balancer_killed',
        len(broken),
        len(old),
        0,
        'feeds',
    )


def _evaluate_requests(outcome: TrialOutcome, death: BalancerDeath) -> Figure:
    owned = [
        request
        for request in outcome.requests
        if request['sent_at']
        <= death.killed_at
        < request['sent_at'] + request['seconds']
        and find_owner(death.ownership, request, _LARGE_SERVICE)
        == _KILLED_BALANCER
    ]
    allowed = sum(
        death.killed_at - request['sent_at'] <= MAX_UNACKNOWLEDGED_SECONDS
        and request['server']
        not in {'', _find_default_server(request, _LARGE_SERVICE)}
        for request in owned
    )
    return Figure(
        'broken_requests_balancer_killed',
        len(outcome.unanswered),
        len(owned),
        allowed + death.unprotected_flows,
        'requests',
    )


def _find_default_server(request: dict[str, Any], plan: ServicePlan) -> str:
    """Return the first backend server in rendezvous order.

    All backend servers have the same number of slots, so no weights apply.
    """
    flow_key = find_request_key(request, plan)

    def get_score(name: str) -> int:
        return xxh3_64_intdigest(flow_key, xxh3_64_intdigest(name.encode()))

    names = [f'{plan.name}-{number + 1}' for number in range(plan.server_count)]
    return max(names, key=get_score)


def _evaluate_all(outcomes: Sequence[TrialOutcome]) -> Iterator[Figure]:
    requests = sum(len(outcome.requests) for outcome in outcomes)
    refused = sum(len(outcome.refused) for outcome in outcomes)
    flows = requests + sum(len(outcome.feeds) for outcome in outcomes)
    doubles = sum(len(outcome.double_runs) for outcome in outcomes)
    false = sum(len(outcome.false_not_run) for outcome in outcomes)
    wrong = sum(outcome.wrong_service for outcome in outcomes)
    incomplete = sum(len(outcome.incomplete) for outcome in outcomes)
    yield Figure('double_runs', doubles, requests, 0, 'requests')
    yield Figure('false_not_run', false, requests, 0, 'requests')
    yield Figure('wrong_service_packets', wrong, flows, 0, 'packets')
    answered = requests - refused
    yield Figure('incomplete_responses', incomplete, answered, 0, 'requests')
