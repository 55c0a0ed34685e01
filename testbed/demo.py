"""Demonstrates the complete packet path on loopback, with test doubles.

Run it with ``make demo``. The exit status is 1 if a feed broke, a packet
reached the wrong service, a request ran twice, or a request got no response.
A demonstration of edge balancers follows, see `testbed.edge_demo`.
"""

import json
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack
from typing import Any, Final

from testbed.checks import Check, print_checks, write_line
from testbed.edge_demo import run_edge_checks
from testbed.fleet import (
    CRENEAU,
    FEED_PORT,
    REGISTRE,
    REQUEST_PORT,
    Fleet,
    ServicePlan,
    apply_objects,
    build_service_objects,
    read_runs,
    run_fleet,
    run_operator_command,
    start_balancer,
    start_servers,
    wait_until_serving,
)
from testbed.processes import (
    RunningProcess,
    read_output,
    run_module,
    wait_for_exit,
)

#: Name and data centre of each balancer of the demonstration.
BALANCERS: Final = (('lb-1', 'qc-1'), ('lb-2', 'qc-1'), ('lb-3', 'qc-2'))
#: How long callers send requests, in seconds.
LOAD_SECONDS: Final = 10
#: Time from the start of the load to the drain, in seconds.
DRAIN_AFTER_SECONDS: Final = 3
#: Bound for new work on a backend server that drains, in seconds.
MAX_DRAIN_SECONDS: Final = 3.0

_DRAINED_SERVER: Final = 'creneau-2'
_EXIT_TIMEOUT_SECONDS: Final = 20


def run_demo() -> int:
    """Run the demonstration and print its table of checks.

    Returns
    -------
    int
        Exit status: 1 if a check failed.
    """
    with run_fleet() as fleet:
        _start_fleet(fleet)
        with ExitStack() as stack:
            processes = {
                plan.name: stack.enter_context(_run_callers(fleet, plan))
                for plan in (CRENEAU, REGISTRE)
            }
            time.sleep(DRAIN_AFTER_SECONDS)
            drained_at = time.time()
            exit_status, output = run_operator_command(
                fleet, 'drain', _DRAINED_SERVER
            )
            write_line(
                f'$ balsamshed drain {_DRAINED_SERVER}\n{output.strip()}'
            )
            reports = {
                name: _read_report(process)
                for name, process in processes.items()
            }
        checks = list(_list_checks(fleet, reports, drained_at))
        checks.append(
            Check(
                'drain command', f'exit status {exit_status}', not exit_status
            ),
        )
        write_line(run_operator_command(fleet, 'status')[1].strip())
    checks.extend(run_edge_checks())
    return print_checks(checks)


def _start_fleet(fleet: Fleet) -> None:
    for name, data_centre in BALANCERS:
        start_balancer(fleet, name, data_centre)
    objects: list[dict[str, Any]] = []
    for plan in (CRENEAU, REGISTRE):
        objects.extend(build_service_objects(plan, start_servers(fleet, plan)))
    apply_objects(fleet, objects)
    wait_until_serving(fleet)
    write_line(
        f'{len(BALANCERS)} balancers ready, {len(objects)} objects applied'
    )


def _run_callers(fleet: Fleet, plan: ServicePlan) -> Any:
    return run_module(
        'testbed.caller',
        *('--fabric-port', fleet.fabric_port, '--address', plan.address),
        *('--service', plan.name, '--prefix', plan.name),
        *('--feed-port', FEED_PORT, '--request-port', REQUEST_PORT),
        *('--feeds', 30 if plan.has_feeds else 0),
        *('--requests-per-second', 60, '--seconds', LOAD_SECONDS),
        *('--first-host', f'10.9.{plan.host_prefix[-1]}.1'),
        name=f'callers of {plan.name}',
    )


def _read_report(process: RunningProcess) -> dict[str, Any]:
    wait_for_exit(process, LOAD_SECONDS + _EXIT_TIMEOUT_SECONDS)
    report = json.loads(read_output(process).splitlines()[-1])
    return dict(report)


def _list_checks(
    fleet: Fleet,
    reports: dict[str, dict[str, Any]],
    drained_at: float,
) -> Iterator[Check]:
    runs = read_runs(fleet)
    for name, report in reports.items():
        feeds, broken = report['feeds'], report['feeds_broken']
        refused = report['feeds_refused']
        if feeds:
            yield Check(
                f'{name}: feeds broken',
                f'{broken + refused} of {feeds}',
                not broken and not refused,
            )
        requests, answered = report['requests'], report['answered']
        yield Check(
            f'{name}: requests answered',
            f'{answered} of {requests}',
            answered == requests and requests > 0,
        )
    wrong = sum(entry['wrong_service'] for entry in runs.values())
    yield Check('packets for the wrong service', str(wrong), not wrong)
    double_runs = _count_double_runs(runs)
    yield Check('requests that ran twice', str(double_runs), not double_runs)
    last_accepted_at = max(
        (wall_time for wall_time, _port in runs[_DRAINED_SERVER]['accepted']),
        default=drained_at,
    )
    late_seconds = max(last_accepted_at - drained_at, 0)
    yield Check(
        f'new work on {_DRAINED_SERVER} after its drain',
        f'for {late_seconds:.2f} s',
        late_seconds <= MAX_DRAIN_SECONDS,
    )


def _count_double_runs(runs: dict[str, Any]) -> int:
    totals: dict[str, int] = {}
    for entry in runs.values():
        for request_id, count in entry['runs'].items():
            totals[request_id] = totals.get(request_id, 0) + count
    return sum(count > 1 for count in totals.values())


if __name__ == '__main__':
    sys.exit(run_demo())
