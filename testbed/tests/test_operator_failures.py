"""Guards against operators' changes that fail, are late or leave no trace.

Covers G6 and section 5 of the design page: changes under failure, and their
audit trail.
"""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from datetime import UTC, datetime

import pytest

from testbed.configuration import (
    MAX_IN_FORCE_SECONDS,
    NO_FAULTS,
    declare_services_without_servers,
    read_object,
    read_object_by_key,
    read_status,
    run_balancers,
    set_faults,
    wait_until_in_force,
    write_object,
)
from testbed.fleet import (
    CRENEAU,
    GROUP,
    REGISTRE,
    REQUEST_PORT,
    apply_objects,
    build_service_objects,
    call_json_api,
    read_metric,
    read_runs,
    run_operator_command,
    start_balancer,
    start_servers,
    update_fabric,
    wait_until_ready,
)
from testbed.processes import (
    kill_process,
    pause_process,
    read_output,
    resume_process,
    run_module,
    wait_for_exit,
    wait_until,
)

PLACEMENTS = (('lb-1', 'qc-1'), ('lb-2', 'qc-1'), ('lb-3', 'qc-2'))
#: Bound of G6 for new work after the start of a drain or quiet period, in
#: seconds.
MAX_NEW_WORK_SECONDS = 3.0
#: Bound for new work after the start of a quiet period, in seconds. It is
#: shorter, since only the balancers' clocks start the period and no message.
MAX_QUIET_START_SECONDS = 0.5


@pytest.fixture(scope='module')
def shared_fleet():
    with run_balancers(PLACEMENTS) as fleet:
        for plan in (CRENEAU, REGISTRE):
            servers = start_servers(fleet, plan)
            apply_objects(fleet, build_service_objects(plan, servers))
        wait_until_ready(fleet)
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    """Return the shared fleet; remove faults and drains after the test."""
    yield shared_fleet
    set_faults(shared_fleet, **NO_FAULTS)
    for balancer in shared_fleet.balancers.values():
        resume_process(balancer.process)
    for name in shared_fleet.servers:
        if read_spec(shared_fleet, name).get('draining'):
            assert run_operator_command(shared_fleet, 'undrain', name)[0] == 0


@contextmanager
def run_callers(fleet, plan, seconds):
    """Run callers that send 80 requests per second."""
    with run_module(
        'testbed.caller',
        *('--fabric-port', fleet.fabric_port, '--address', plan.address),
        *('--service', plan.name, '--prefix', f'{time.monotonic_ns()}'),
        *('--request-port', REQUEST_PORT, '--requests-per-second', 80),
        *('--seconds', seconds),
        # Each run has its own hosts, so that flow keys are not reused.
        *('--first-host', f'10.9.{int(time.monotonic()) % 250}.1'),
    ) as process:
        yield process


def read_report(process, seconds):
    wait_for_exit(process, seconds + 10)
    return json.loads(read_output(process).splitlines()[-1])


def read_spec(fleet, name):
    return read_object(fleet, f'backend_server/{name}')['body']['spec']


def read_history(fleet, name):
    status, output = run_operator_command(
        fleet, 'history', 'backend_server', name, '--output', 'json'
    )
    assert status == 0, output
    return json.loads(output)


def list_accepted(fleet, name):
    """Return the time of each SYN that a backend server accepted."""
    return [at for at, _port in read_runs(fleet)[name]['accepted']]


def test_drain_ends_new_work_in_time_while_a_balancer_dies():
    """Guards against late new work on a draining backend server (G6) when a
    balancer dies at the same time."""
    with run_balancers((*PLACEMENTS, ('lb-4', 'qc-2'))) as fleet:
        servers = start_servers(fleet, CRENEAU)
        apply_objects(fleet, build_service_objects(CRENEAU, servers))
        wait_until_ready(fleet)
        # Beside load, the command alone takes seconds; callers have to go on
        # for longer than the bound after it.
        with run_callers(fleet, CRENEAU, 12) as callers:
            wait_until(
                lambda: list_accepted(fleet, 'creneau-2'),
                'new work on creneau-2',
            )
            killed = fleet.balancers.pop('lb-4')
            kill_process(killed.process)
            update_fabric(fleet)
            status, output = run_operator_command(fleet, 'drain', 'creneau-2')
            drained_at = time.time()
            assert status == 0, output
            version = read_object(fleet, 'backend_server/creneau-2')['version']
            took = wait_until_in_force(
                fleet.balancers.values(), version, drained_at
            )
            assert took <= MAX_NEW_WORK_SECONDS
            read_report(callers, 12)
        accepted = list_accepted(fleet, 'creneau-2')
        late = [at for at in accepted if at > drained_at + MAX_NEW_WORK_SECONDS]
        assert accepted and not late
        assert any(
            at > drained_at + MAX_NEW_WORK_SECONDS
            for at in list_accepted(fleet, 'creneau-1')
        )


def test_lost_response_is_read_back_and_applied_once(fleet):
    """Guards against a change that is written twice or reported as failed
    because the response to its write was lost."""
    before = read_history(fleet, 'creneau-1')
    set_faults(fleet, lose_write_responses=1000)
    status, output = run_operator_command(fleet, 'drain', 'creneau-1')
    set_faults(fleet, lose_write_responses=0)
    assert status == 0, output
    assert call_json_api(fleet.store_port, '/counters')['lost_response'] >= 1
    after = read_history(fleet, 'creneau-1')
    assert len(after) == len(before) + 1
    assert after[-1]['action'] == 'drain'
    assert after[-1]['from_version'] == before[-1]['version']
    assert read_spec(fleet, 'creneau-1')['draining'] is True


def test_exactly_one_of_racing_operators_wins(fleet):
    """Guards against concurrent changes that overwrite each other silently."""
    initial = read_object(fleet, 'backend_server/creneau-3')
    before = read_history(fleet, 'creneau-3')

    def apply_slots(slots):
        path = fleet.directory / f'race-{slots}.json'
        spec = {**initial['body']['spec'], 'slots': slots}
        entry = {'kind': 'backend_server', 'name': 'creneau-3', 'spec': spec}
        path.write_text(json.dumps([entry]))
        return run_operator_command(
            fleet, 'apply', path, '--expect-version', initial['version']
        )

    # With this delay, all operators read before the first one writes.
    set_faults(fleet, delay_ms=400)
    slots = range(11, 15)
    with ThreadPoolExecutor(len(slots)) as pool:
        outcomes = list(pool.map(apply_slots, slots))
    set_faults(fleet, delay_ms=0)
    current = read_object(fleet, 'backend_server/creneau-3')
    winners = [
        number
        for number, (status, _output) in zip(slots, outcomes, strict=True)
        if status == 0
    ]
    assert winners == [current['body']['spec']['slots']]
    for status, output in outcomes:
        if status:
            assert status == 3
            assert f'version {current["version"]}' in output
    after = read_history(fleet, 'creneau-3')
    assert len(after) == len(before) + 1
    assert after[-1]['version'] == current['version']
    write_object(fleet, 'backend_server/creneau-3', initial['body'])


def test_quiet_periods_start_on_time_while_the_store_is_down(fleet):
    """Guards against a quiet period, or a repetition of it, that does not
    start because the store or a peer is unreachable at its start (G6)."""
    # Beside load, the command and its effect take seconds.
    start = time.time() + 6
    text = datetime.fromtimestamp(start, UTC).isoformat()
    status, output = run_operator_command(
        fleet,
        'add-quiet-period',
        'creneau-2',
        *('--start', text, '--duration-seconds', 1.5, '--repeat-seconds', 3),
    )
    assert status == 0, output
    version = read_object(fleet, 'backend_server/creneau-2')['version']
    wait_until_in_force(fleet.balancers.values(), version, time.time())
    set_faults(fleet, outage=True)
    assert time.time() < start
    with run_callers(fleet, CRENEAU, start + 5 - time.time()) as callers:
        report = read_report(callers, 10)
    set_faults(fleet, outage=False)
    assert report['answered'] == report['requests'] > 200
    accepted = [
        at - start for at in list_accepted(fleet, 'creneau-2') if at > start
    ]
    quiet = [
        at
        for at in accepted
        if MAX_QUIET_START_SECONDS < at % 3 < 1.5 and at < 4.5
    ]
    assert not quiet
    # The backend server gets new work between the quiet periods.
    assert any(1.5 < at < 3 for at in accepted), accepted
    status, output = run_operator_command(
        fleet, 'remove-quiet-period', 'creneau-2', '--start', text
    )
    assert status == 0, output


def test_serving_goes_on_in_an_outage_with_one_killed_and_one_paused():
    """Guards against requests that fail in an outage of the store while one
    balancer is killed and another one paused."""
    with run_balancers((*PLACEMENTS, ('lb-4', 'qc-2'))) as fleet:
        servers = start_servers(fleet, CRENEAU)
        apply_objects(fleet, build_service_objects(CRENEAU, servers))
        wait_until_ready(fleet)
        set_faults(fleet, outage=True)
        killed = fleet.balancers.pop('lb-4')
        kill_process(killed.process)
        paused = fleet.balancers['lb-3']
        pause_process(paused.process)
        alive = [fleet.balancers['lb-1'], fleet.balancers['lb-2']]
        wait_until(
            lambda: all(
                read_metric(balancer, 'balsamshed_members') == 2
                for balancer in alive
            ),
            'both balancers are removed from the members',
            5,
        )
        # The platform removes dead balancers from the fabric.
        table = {
            balancer.name: f'127.0.0.1:{balancer.data_port}'
            for balancer in alive
        }
        call_json_api(fleet.fabric_control_port, '/balancers', 'PUT', table)
        with run_callers(fleet, CRENEAU, 1) as callers:
            report = read_report(callers, 1)
        assert report['answered'] == report['requests'] > 50


def test_drain_of_the_last_backend_server_is_shown_and_refuses(fleet):
    """Guards against a drain of the last backend server of a service that is
    ignored, or that refuses requests without a warning."""
    for position in (1, 2):
        status, output = run_operator_command(
            fleet, 'drain', f'registre-{position}'
        )
        assert status == 0, output
    assert 'no backend server takes new work' in output
    version = read_object(fleet, 'backend_server/registre-2')['version']
    balancers = fleet.balancers.values()
    wait_until_in_force(balancers, version, time.time())
    count = len(list_accepted(fleet, 'registre-1'))
    with run_callers(fleet, REGISTRE, 1) as callers:
        report = read_report(callers, 1)
    assert report['refused'] == report['requests'] > 0
    assert len(list_accepted(fleet, 'registre-1')) == count
    for data_centre in ('qc-1', 'qc-2'):
        wait_until(
            lambda data_centre=data_centre: (
                {
                    rule['backend_server']
                    for rule in read_status(fleet, data_centre)['unmet_rules']
                }
                == {'registre-1', 'registre-2'}
            ),
            f'status of {data_centre} shows the drains',
            MAX_IN_FORCE_SECONDS,
        )
    status, output = run_operator_command(fleet, 'status')
    assert status == 0
    assert 'registre has no backend server that takes new work' in output


def test_audit_trail_survives_the_replacement_of_all_balancers():
    """Guards against changes that are missing from the audit trail.

    Balancers store nothing, and an object holds only its last 16 changes.
    """
    with run_balancers(PLACEMENTS[:2]) as fleet:
        declare_services_without_servers(fleet, CRENEAU)
        wait_until_ready(fleet)
        actions = []
        for action in ('drain', 'undrain'):
            assert run_operator_command(fleet, action, 'creneau-1')[0] == 0
            actions.append(action)
        previous = list(fleet.balancers.values())
        fleet.balancers.clear()
        for name in ('lb-8', 'lb-9'):
            start_balancer(fleet, name, 'qc-1')
        wait_until_ready(fleet)
        for balancer in previous:
            kill_process(balancer.process)
        assert run_operator_command(fleet, 'drain', 'creneau-1')[0] == 0
        actions.append('drain')
        changes = read_history(fleet, 'creneau-1')
        assert [entry['action'] for entry in changes] == actions
        replaced = [entry['from_version'] for entry in changes]
        assert replaced[1:] == [entry['version'] for entry in changes[:-1]]
        for entry in changes:
            assert entry['who'] and entry['when']
            name = f'backend_server.creneau-1.{entry["version"]}'
            key = f'audit/{GROUP}/{name}'
            wait_until(lambda key=key: read_object_by_key(fleet, key), key, 5)
            spec = read_object_by_key(fleet, key)['body']['spec']
            assert spec['key'] == f'{GROUP}/backend_server/creneau-1'
            assert spec['change_id'] == entry['change_id']
            assert spec['who'] == entry['who']
