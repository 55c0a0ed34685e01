"""Measures the guarantees for flows under planned changes and failures.

Bounds come from sections 1.2 and 2.3 of the design page.
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
    Verdict,
    assign_owners,
    find_last_accepted,
    find_owner,
    find_request_key,
    finish_load,
    kill_balancer,
    open_feeds,
    retire_balancer,
    run_trial,
    start_load,
    wait_for,
    wait_for_answers,
    wait_for_members,
    wait_for_ticks,
)

#: Feeds of each trial.
FEEDS: Final = 300
#: Requests per second to each service.
RATE: Final = 20
#: Bound of G6.
LEAVING_BOUND_SECONDS: Final = 3.0
#: A process derives flows only if it has run for this long (section 2.3).
DERIVING_SECONDS: Final = 61.0
#: A copy may lack its acknowledgement for one batch of 50 ms and one
#: repetition after 300 ms.
UNACKNOWLEDGED_SECONDS: Final = 0.35

_BALANCERS: Final = (
    ('lb-1', 'qc-1'),
    ('lb-2', 'qc-2'),
    ('lb-3', 'qc-1'),
    ('lb-4', 'qc-2'),
)
#: Long requests on the real number of endpoints, so that some are in flight.
_SLOW_MS: Final = 300
_WIDE: Final = replace(CRENEAU, server_count=7)
_KILLED: Final = 'lb-2'
_PAUSED: Final = 'lb-3'


@dataclass(frozen=True, slots=True)
class Kill:
    """A balancer's death.

    Parameters
    ----------
    ownership : Ownership
        Owners before it.
    at : float
        Wall time in seconds.
    unprotected : int
        Flows that the balancer had placed without protection.
    """

    ownership: Ownership
    at: float
    unprotected: int


def list_figures() -> Iterator[Figure]:
    """Run the trials.

    Yields
    ------
    Figure
        One for each guarantee.
    """
    # The fleet of the kill ages while the other trial runs.
    with run_trial(_BALANCERS, [_WIDE], service_time_ms=_SLOW_MS) as aging:
        started_at = time.monotonic()
        open_feeds(aging, FEEDS)
        with run_trial(_BALANCERS) as trial:
            leaving_seconds, planned = _change_everything(trial)
        yield _judge_planned(planned)
        wait_for(
            lambda: time.monotonic() - started_at > DERIVING_SECONDS,
            'age of the balancers',
            DERIVING_SECONDS,
        )
        kill, killed = _kill_one(aging)
        yield _judge_feeds(killed, kill)
        yield _judge_requests(killed, kill)
        _pause_one(aging)
        paused = finish_load(aging)
    yield from _judge_all([planned, paused])
    yield Figure(
        'new_work_to_leaving_seconds',
        leaving_seconds,
        1,
        LEAVING_BOUND_SECONDS,
        'seconds',
    )


def _change_everything(trial: Trial) -> tuple[float, Verdict]:
    """Replace all balancers while backend servers leave and join."""
    open_feeds(trial, FEEDS)
    start_load(trial, RATE)
    drained_at = time.time()
    run_operator_command(trial.fleet, 'drain', 'creneau-2')
    joined = start_server(trial.fleet, CRENEAU, 4)
    apply_objects(trial.fleet, build_service_objects(CRENEAU, [joined])[1:])
    for number, (name, data_centre) in enumerate(_BALANCERS, start=5):
        start_balancer(trial.fleet, f'lb-{number}', data_centre)
        wait_until_ready(trial.fleet)
        retire_balancer(trial, name)
    drained = read_runs(trial.fleet)['creneau-2']
    run_operator_command(trial.fleet, 'delete', 'backend_server', 'creneau-2')
    wait_for_ticks(trial, 10)
    return find_last_accepted(drained, drained_at), finish_load(trial)


def _kill_one(trial: Trial) -> tuple[Kill, Verdict]:
    start_load(trial, RATE, [_WIDE])
    wait_for_answers(trial, 3 * RATE)
    balancer = trial.fleet.balancers[_KILLED]
    unprotected = read_metric(balancer, 'balsamshed_flows_unprotected_total')
    kill = Kill(assign_owners(trial.fleet), time.time(), int(unprotected))
    kill_balancer(trial, _KILLED)
    wait_for_ticks(trial, 10)
    return kill, finish_load(trial)


def _pause_one(trial: Trial) -> None:
    start_load(trial, RATE, [_WIDE])
    paused = trial.fleet.balancers.pop(_PAUSED)
    pause_process(paused.process)
    wait_for_members(trial.fleet)
    update_fabric(trial.fleet)
    wait_for_ticks(trial, 3)
    resume_process(paused.process)
    trial.fleet.balancers[_PAUSED] = paused
    wait_for_members(trial.fleet)
    update_fabric(trial.fleet)
    wait_for_ticks(trial, 5)


def _judge_planned(verdict: Verdict) -> Figure:
    lost = verdict.broken_feeds + verdict.refused_feeds + verdict.unanswered
    total = len(verdict.feeds) + len(verdict.requests)
    return Figure('broken_flows_planned', len(lost), total, 0, 'flows')


def _judge_feeds(verdict: Verdict, kill: Kill) -> Figure:
    old = [feed for feed in verdict.feeds if kill.at - feed['opened_at'] > 1]
    broken = [feed for feed in old if feed['broken_by']]
    return Figure(
        'broken_flows_balancer_killed',
        len(broken),
        len(old),
        0,
        'feeds',
    )


def _judge_requests(verdict: Verdict, kill: Kill) -> Figure:
    owned = [
        request
        for request in verdict.requests
        if request['sent_at']
        <= kill.at
        < request['sent_at'] + request['seconds']
        and find_owner(kill.ownership, request, _WIDE) == _KILLED
    ]
    allowed = sum(
        kill.at - request['sent_at'] <= UNACKNOWLEDGED_SECONDS
        and request['server'] not in {'', _find_default(request, _WIDE)}
        for request in owned
    )
    return Figure(
        'broken_requests_balancer_killed',
        len(verdict.unanswered),
        len(owned),
        allowed + kill.unprotected,
        'requests',
    )


def _find_default(request: dict[str, Any], plan: ServicePlan) -> str:
    """Return the first endpoint in rendezvous order; all slots are equal."""
    flow_key = find_request_key(request, plan)

    def get_score(name: str) -> int:
        return xxh3_64_intdigest(flow_key, xxh3_64_intdigest(name.encode()))

    names = [f'{plan.name}-{number + 1}' for number in range(plan.server_count)]
    return max(names, key=get_score)


def _judge_all(verdicts: Sequence[Verdict]) -> Iterator[Figure]:
    requests = sum(len(verdict.requests) for verdict in verdicts)
    refused = sum(len(verdict.refused) for verdict in verdicts)
    flows = requests + sum(len(verdict.feeds) for verdict in verdicts)
    doubles = sum(len(verdict.double_runs) for verdict in verdicts)
    false = sum(len(verdict.false_not_run) for verdict in verdicts)
    wrong = sum(verdict.wrong_service for verdict in verdicts)
    incomplete = sum(len(verdict.incomplete) for verdict in verdicts)
    yield Figure('double_runs', doubles, requests, 0, 'requests')
    yield Figure('false_not_run', false, requests, 0, 'requests')
    yield Figure('wrong_service_packets', wrong, flows, 0, 'packets')
    answered = requests - refused
    yield Figure('incomplete_responses', incomplete, answered, 0, 'requests')
