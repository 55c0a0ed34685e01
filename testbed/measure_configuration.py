"""Measures how fast configuration comes into force, and at what cost.

``python -m testbed.measure_configuration`` prints the figures.
"""

import sys
import time
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Final

from testbed.configuration import (
    MAX_IN_FORCE_SECONDS,
    count_reverts,
    declare_services_without_servers,
    read_log_lines,
    read_object,
    read_status,
    run_balancers,
    set_faults,
    update_spec,
    wait_until_in_force,
)
from testbed.figures import Figure, format_figure
from testbed.fleet import (
    CRENEAU,
    REGISTRE,
    Fleet,
    call_json_api,
    read_metric,
    wait_until_ready,
)
from testbed.processes import kill_process, wait_until

#: Names and data centres of the balancers. One balancer of qc-1 does not read
#: the store, as a data centre has two readers.
BALANCERS: Final = (
    ('lb-1', 'qc-1'),
    ('lb-2', 'qc-1'),
    ('lb-3', 'qc-2'),
    ('lb-4', 'qc-2'),
    ('lb-5', 'qc-1'),
)
#: Number of changes for each figure.
CHANGE_COUNT: Final = 5
#: Longer than the longest backoff of a reader.
OUTAGE_SECONDS: Final = 12.0
#: Time for which traffic is counted.
TRAFFIC_SECONDS: Final = 10.0
#: Bound of G6 and of the detection of a death.
MAX_LEAVING_SECONDS: Final = 3.0
#: Budget for the control traffic of a balancer (section 1.5).
MAX_CONTROL_BYTES_PER_SECOND: Final = 5000
#: 2,000 reads per second divided by 172 groups (section 2.2).
MAX_STORE_CALLS_PER_SECOND: Final = 11
#: 18,000 changes per day with 100 calls each make 21 calls per second.
MAX_STORE_CALLS_PER_CHANGE: Final = 100

_SERVER_KEY: Final = 'backend_server/creneau-1'
_QUIET_PERIOD_LEAD_SECONDS: Final = 2.0


def list_figures() -> Iterator[Figure]:
    """Measure the figures one after the other.

    Yields
    ------
    Figure
        Each figure as soon as it is measured.
    """
    with run_balancers(BALANCERS) as fleet:
        declare_services_without_servers(fleet, CRENEAU, REGISTRE)
        wait_until_ready(fleet)
        balancers = tuple(fleet.balancers.values())
        yield _measure_changes(fleet, 'config_in_force_seconds', CHANGE_COUNT)
        yield from _measure_traffic(fleet)
        set_faults(fleet, silent_watches=True)
        name = 'config_in_force_with_silent_watches_seconds'
        yield _measure_changes(fleet, name, 2)
        set_faults(fleet, silent_watches=False)
        yield from _measure_death(fleet)
        yield from _measure_outage(fleet)
        record_count = sum(
            len(read_log_lines(balancer, 'record_in_force'))
            for balancer in balancers
        )
        reverts = count_reverts(balancers)
        yield Figure('config_reverts', reverts, record_count, 0, 'records')


def print_figures() -> int:
    """Measure and print the figures.

    Returns
    -------
    int
        Exit status: 1 if a bound does not hold.
    """
    has_passed = True
    for figure in list_figures():
        sys.stdout.write(f'{format_figure(figure)}\n')
        sys.stdout.flush()
        has_passed = has_passed and figure.has_passed
    return int(not has_passed)


def _change_slots(fleet: Fleet) -> float:
    slots = read_object(fleet, _SERVER_KEY)['body']['spec']['slots']
    version = update_spec(fleet, _SERVER_KEY, slots=slots + 1)
    return wait_until_in_force(fleet.balancers.values(), version, time.time())


def _measure_changes(fleet: Fleet, name: str, changes: int) -> Figure:
    longest = max(_change_slots(fleet) for _ in range(changes))
    count = changes * len(fleet.balancers)
    return Figure(name, longest, count, MAX_IN_FORCE_SECONDS, 'seconds')


def _measure_traffic(fleet: Fleet) -> Iterator[Figure]:
    # Without changes, as a group of this size has one every few minutes on
    # average.
    calls_before = _count_calls(fleet)
    time.sleep(TRAFFIC_SECONDS)
    calls = _count_calls(fleet) - calls_before
    yield Figure(
        'store_calls_per_second',
        calls / TRAFFIC_SECONDS,
        calls,
        MAX_STORE_CALLS_PER_SECOND,
        'calls_per_second',
    )
    bytes_before = _read_control_bytes(fleet)
    calls_before = _count_calls(fleet)
    start = time.monotonic()
    for _ in range(CHANGE_COUNT):
        _change_slots(fleet)
        time.sleep(TRAFFIC_SECONDS / CHANGE_COUNT)
    seconds = time.monotonic() - start
    max_bytes = max(
        total - bytes_before[name]
        for name, total in _read_control_bytes(fleet).items()
    )
    # Includes the read and the write that make the change.
    additional_calls = (
        _count_calls(fleet) - calls_before - calls * seconds / TRAFFIC_SECONDS
    )
    yield Figure(
        'control_bytes_per_second',
        max_bytes / seconds,
        int(max_bytes),
        MAX_CONTROL_BYTES_PER_SECOND,
        'bytes_per_second',
    )
    yield Figure(
        'store_calls_for_a_change',
        additional_calls / CHANGE_COUNT,
        CHANGE_COUNT,
        MAX_STORE_CALLS_PER_CHANGE,
        'calls',
    )


def _measure_death(fleet: Fleet) -> Iterator[Figure]:
    # Kills the member that writes the status, which is also a reader.
    wait_until(lambda: bool(read_status(fleet, 'qc-1')), 'status of qc-1')
    killed = fleet.balancers.pop(read_status(fleet, 'qc-1')['summarizer'])
    kill_process(killed.process)
    killed_at = time.time()
    name = 'config_in_force_with_a_killed_balancer_seconds'
    yield _measure_changes(fleet, name, CHANGE_COUNT)
    wait_until(
        lambda: all(
            killed.name not in members
            for _at, members in _list_memberships(fleet)
        ),
        f'the death of {killed.name} is known',
    )
    longest = max(at - killed_at for at, _members in _list_memberships(fleet))
    yield Figure(
        'death_detection_seconds',
        longest,
        len(fleet.balancers),
        MAX_LEAVING_SECONDS,
        'seconds',
    )


def _measure_outage(fleet: Fleet) -> Iterator[Figure]:
    start = time.time() + OUTAGE_SECONDS - _QUIET_PERIOD_LEAD_SECONDS
    period = {
        'start': datetime.fromtimestamp(start, UTC).isoformat(),
        'duration_seconds': 60,
    }
    version = update_spec(fleet, _SERVER_KEY, quiet_periods=[period])
    wait_until_in_force(fleet.balancers.values(), version, time.time())
    set_faults(fleet, outage=True)
    time.sleep(OUTAGE_SECONDS)
    starts = [
        max(
            _read_time(line) - start
            for line in read_log_lines(balancer, 'candidates_changed')
        )
        for balancer in fleet.balancers.values()
    ]
    started = [late for late in starts if late >= 0]
    missing = len(starts) - len(started)
    yield Figure(
        'quiet_period_start_in_outage_seconds',
        float('inf') if missing else max(started),
        len(starts),
        MAX_LEAVING_SECONDS,
        'seconds',
    )
    set_faults(fleet, outage=False)
    name = 'recovery_after_platform_outage_seconds'
    yield _measure_changes(fleet, name, 1)


def _list_memberships(fleet: Fleet) -> list[tuple[float, list[str]]]:
    """Return time and members of each balancer's last logged change."""
    lines = [
        read_log_lines(balancer, 'members_changed')[-1]
        for balancer in fleet.balancers.values()
    ]
    return [(_read_time(line), line['members'].split(',')) for line in lines]


def _read_time(line: dict[str, str]) -> float:
    return datetime.fromisoformat(line['time']).timestamp()


def _read_control_bytes(fleet: Fleet) -> dict[str, float]:
    return {
        name: sum(
            read_metric(
                balancer,
                f'balsamshed_control_bytes_total{{direction="{direction}"}}',
            )
            for direction in ('sent', 'received')
        )
        for name, balancer in fleet.balancers.items()
    }


def _count_calls(fleet: Fleet) -> int:
    counters = call_json_api(fleet.store_port, '/counters')
    kinds = ('list', 'watch', 'read', 'write', 'vms')
    return sum(counters.get(kind, 0) for kind in kinds)


if __name__ == '__main__':
    sys.exit(print_figures())
