"""Guards against configuration that is late or reverts (G8).

An accepted change has to be in force within 5 s on every reachable balancer.
"""

import time

import pytest

from testbed.configuration import (
    MAX_IN_FORCE_SECONDS,
    NO_FAULTS,
    count_reverts,
    declare_services_without_servers,
    find_in_force_at,
    read_log_lines,
    read_object,
    read_status,
    run_balancers,
    set_faults,
    update_spec,
    wait_until_in_force,
    write_object,
)
from testbed.fleet import (
    CRENEAU,
    GROUP,
    REGISTRE,
    call_json_api,
    read_metric,
    start_balancer,
    wait_until_ready,
)
from testbed.processes import (
    kill_process,
    pause_process,
    resume_process,
    wait_until,
)

# One of the three members of qc-1 does not read the store and gets its
# records from its peers.
PLACEMENTS = (
    ('lb-1', 'qc-1'),
    ('lb-2', 'qc-1'),
    ('lb-3', 'qc-2'),
    ('lb-4', 'qc-2'),
    ('lb-5', 'qc-1'),
)
VERSION_METRIC = 'balsamshed_catalog_highest_version'
SERVER = 'backend_server/creneau-1'


def declare_services(fleet):
    declare_services_without_servers(fleet, CRENEAU, REGISTRE)


@pytest.fixture(scope='module')
def shared_fleet():
    with run_balancers(PLACEMENTS) as fleet:
        declare_services(fleet)
        wait_until_ready(fleet)
        yield fleet


@pytest.fixture
def fleet(shared_fleet):
    """Return the shared fleet; remove faults after the test, and check that
    no version reverted."""
    yield shared_fleet
    set_faults(shared_fleet, **NO_FAULTS)
    for balancer in shared_fleet.balancers.values():
        resume_process(balancer.process)
    change_and_wait(shared_fleet, shared_fleet.balancers.values())
    assert count_reverts(shared_fleet.balancers.values()) == 0
    wait_until_ready(shared_fleet)


def change_and_wait(fleet, balancers, bound=MAX_IN_FORCE_SECONDS):
    """Change an object, and check that it is in force within the bound."""
    slots = read_object(fleet, SERVER)['body']['spec']['slots']
    version = update_spec(fleet, SERVER, slots=slots + 1)
    assert wait_until_in_force(balancers, version, time.time()) <= bound
    return version


def change_other_group(fleet):
    """Raise the revision of the store by a write to another group."""
    name = f'service/x{time.monotonic_ns()}'
    write_object(fleet, name, {'spec': {}}, 0, group='other')


def count_calls(fleet, *kinds):
    counters = call_json_api(fleet.store_port, '/counters')
    return sum(counters.get(kind, 0) for kind in kinds)


def wait_until_settled(fleet, version):
    """Wait until both status objects are current, so that none is written."""
    wait_until(
        lambda: all(
            (status := read_status(fleet, data_centre)).get('members')
            == len(fleet.balancers)
            and status['highest_version'] == version
            and not status['lagging']
            and not status['rejected']
            for data_centre in ('qc-1', 'qc-2')
        ),
        f'current status objects at version {version}',
    )


def wait_for_metric(balancers, version):
    wait_until(
        lambda: all(
            read_metric(balancer, VERSION_METRIC) >= version
            for balancer in balancers
        ),
        f'metrics show version {version}',
        2,
    )


def test_change_is_in_force_with_silent_watches(fleet):
    """Guards against a reader that keeps waiting for a silent watch."""
    set_faults(fleet, silent_watches=True)
    balancers = fleet.balancers.values()
    wait_for_metric(balancers, change_and_wait(fleet, balancers))


def test_change_is_in_force_with_one_killed_and_one_paused():
    """Guards against a change that depends on a single reader."""
    with run_balancers(PLACEMENTS) as fleet:
        declare_services(fleet)
        wait_until_ready(fleet)
        wait_until(lambda: read_status(fleet, 'qc-1'), 'status of qc-1')
        # The readers that write the status objects are the first readers of
        # their data centres.
        killed = fleet.balancers.pop(read_status(fleet, 'qc-1')['summarizer'])
        wait_until(lambda: read_status(fleet, 'qc-2'), 'status of qc-2')
        paused = fleet.balancers[read_status(fleet, 'qc-2')['summarizer']]
        kill_process(killed.process)
        pause_process(paused.process)
        running = [
            balancer
            for balancer in fleet.balancers.values()
            if balancer is not paused
        ]
        version = change_and_wait(fleet, running)
        resume_process(paused.process)
        resumed_at = time.time()
        took = wait_until_in_force([paused], version, resumed_at)
        assert took <= MAX_IN_FORCE_SECONDS
        wait_for_metric(fleet.balancers.values(), version)
        assert count_reverts(fleet.balancers.values()) == 0


def test_nothing_reverts_in_an_outage_and_recovery_is_fast(fleet):
    """Guards against records that expire in an outage of the store, and
    against a backoff that is longer than the bound."""
    balancers = fleet.balancers.values()
    version = change_and_wait(fleet, balancers)
    wait_for_metric(balancers, version)
    set_faults(fleet, outage=True)
    outage_end = time.monotonic() + 4
    wait_until(
        lambda: (
            time.monotonic() > outage_end
            or any(
                read_metric(balancer, VERSION_METRIC) < version
                for balancer in balancers
            )
        ),
        'the end of the outage',
    )
    assert time.monotonic() > outage_end
    set_faults(fleet, outage=False)
    change_and_wait(fleet, balancers)


def test_balancer_that_starts_in_an_outage_learns_from_peers():
    """Guards against a balancer that cannot start without the store."""
    with run_balancers(PLACEMENTS[:2]) as fleet:
        declare_services(fleet)
        wait_until_ready(fleet)
        version = change_and_wait(fleet, fleet.balancers.values())
        set_faults(fleet, outage=True)
        started_at = time.time()
        joined = start_balancer(fleet, 'lb-3', 'qc-2')
        # The measured time includes the start of the process.
        took = wait_until_in_force([joined], version, started_at)
        assert took <= MAX_IN_FORCE_SECONDS
        wait_until_ready(fleet)
        assert read_metric(joined, VERSION_METRIC) == version
        assert count_reverts(fleet.balancers.values()) == 0


def test_stale_reads_revert_nothing():
    """Guards against records that a stale read from a lagging replica
    reverts, also on a balancer that starts."""
    with run_balancers(PLACEMENTS[:3]) as fleet:
        declare_services(fleet)
        wait_until_ready(fleet)
        set_faults(fleet, stale_reads=True)
        current = read_object(fleet, SERVER)
        spec = {**current['body']['spec'], 'slots': 9}
        body = {**current['body'], 'spec': spec}
        version = write_object(fleet, SERVER, body, current['version'])
        took = wait_until_in_force(
            fleet.balancers.values(), version, time.time()
        )
        assert took <= MAX_IN_FORCE_SECONDS
        joined = start_balancer(fleet, 'lb-4', 'qc-2')
        took = wait_until_in_force([joined], version, time.time())
        assert took <= MAX_IN_FORCE_SECONDS
        # Every reader now gets the stale list, and its watch fails because
        # the revision is compacted.
        before = count_calls(fleet, 'list')
        change_other_group(fleet)
        set_faults(fleet, outage=True)
        set_faults(fleet, outage=False, compacted=True)
        wait_until(
            lambda: count_calls(fleet, 'list') > before + 3,
            'list calls to the lagging replica',
        )
        balancers = fleet.balancers.values()
        wait_for_metric(balancers, version)
        assert count_reverts(balancers) == 0


def test_lagging_replica_is_not_flooded(fleet):
    """Guards against list calls without backoff while each watch starts at a
    compacted revision."""
    set_faults(fleet, stale_reads=True)
    change_other_group(fleet)
    set_faults(fleet, outage=True)
    set_faults(fleet, outage=False, compacted=True)
    before = count_calls(fleet, 'list', 'watch')
    deadline = time.monotonic() + 2
    wait_until(lambda: time.monotonic() > deadline, 'two seconds')
    calls = count_calls(fleet, 'list', 'watch') - before
    # Four readers, each with a backoff of at least 0.1, 0.2, 0.4, 0.8 and 1 s.
    assert 4 < calls <= 4 * 12


def test_first_watch_after_a_gap_lists_again(fleet):
    """Guards against changes that a reader misses because the store has
    compacted them."""
    balancers = fleet.balancers.values()
    change_and_wait(fleet, balancers)
    before = count_calls(fleet, 'list')
    change_other_group(fleet)
    set_faults(fleet, outage=True)
    set_faults(fleet, outage=False, compacted=True)
    change_and_wait(fleet, balancers)
    assert count_calls(fleet, 'list') > before


def test_status_names_a_lagging_balancer_and_clears(fleet):
    """Guards against a lagging balancer that the status does not name."""
    balancers = fleet.balancers
    wait_until_settled(fleet, change_and_wait(fleet, balancers.values()))

    def list_lagging():
        return {
            entry['member']: entry
            for data_centre in ('qc-1', 'qc-2')
            for entry in read_status(fleet, data_centre).get('lagging', ())
        }

    summarizers = {
        read_status(fleet, data_centre)['summarizer']
        for data_centre in ('qc-1', 'qc-2')
    }
    lagging = next(
        balancer
        for name, balancer in balancers.items()
        if name not in summarizers
    )
    # The status is written at most once per second.
    started_at = time.monotonic()
    wait_until(lambda: time.monotonic() > started_at + 1, 'one second')
    paused_at = time.time()
    pause_process(lagging.process)
    version = update_spec(fleet, SERVER, slots=77)
    wait_until(
        lambda: lagging.name in list_lagging(),
        'status names the lagging balancer',
    )
    entry = list_lagging()[lagging.name]
    assert paused_at - 0.2 <= entry['since'] <= time.time()
    assert entry['highest_version'] < version
    resume_process(lagging.process)
    wait_until(lambda: not list_lagging(), 'status names no balancer')
    assert find_in_force_at(lagging, version) is not None


def test_status_is_right_after_another_reader_wrote_it(fleet):
    """Guards against a status that stays wrong after another reader wrote it
    while the first reader was paused."""

    def get_members():
        return read_status(fleet, 'qc-1')['members']

    count = len(fleet.balancers)
    wait_until_settled(fleet, change_and_wait(fleet, fleet.balancers.values()))
    first = read_status(fleet, 'qc-1')['summarizer']
    pause_process(fleet.balancers[first].process)
    wait_until(
        lambda: get_members() == count - 1, 'status by another reader', 8
    )
    resume_process(fleet.balancers[first].process)
    wait_until(lambda: get_members() == count, 'status of all members', 5)


@pytest.mark.parametrize(
    'body',
    [
        {'spec': {'service': 'creneau', 'slots': 0}},
        {'spec': [1]},
        {'spec': {'service': 'creneau', 'note': 'x' * 200_000}},
    ],
    ids=['wrong_fields', 'no_object', 'larger_than_a_datagram'],
)
def test_faulty_object_is_shown_and_not_applied(fleet, body):
    """Guards against an invalid object, written without the command line,
    that is applied, is not shown, or delays other changes."""
    balancers = fleet.balancers.values()
    key = 'backend_server/creneau-3'
    valid = read_object(fleet, key)
    version = write_object(fleet, key, body)

    def list_rejected(data_centre):
        return {
            entry['key']: entry
            for entry in read_status(fleet, data_centre).get('rejected', ())
        }

    for data_centre in ('qc-1', 'qc-2'):
        wait_until(
            lambda data_centre=data_centre: (
                list_rejected(data_centre)
                .get(f'{GROUP}/{key}', {})
                .get('version')
                == version
            ),
            f'status of {data_centre} shows the object',
            MAX_IN_FORCE_SECONDS,
        )
        assert list_rejected(data_centre)[f'{GROUP}/{key}']['findings']
    wait_until(
        lambda: all(
            read_metric(balancer, 'balsamshed_records_rejected') == 1
            for balancer in balancers
        ),
        'every balancer rejects the object',
        MAX_IN_FORCE_SECONDS,
    )
    change_and_wait(fleet, balancers)
    for balancer in balancers:
        assert find_in_force_at(balancer, version) is None
        assert read_log_lines(balancer, 'record_rejected')
    version = write_object(fleet, key, valid['body'])
    took = wait_until_in_force(balancers, version, time.time())
    assert took <= MAX_IN_FORCE_SECONDS
    wait_until(
        lambda: not list_rejected('qc-1') and not list_rejected('qc-2'),
        'status shows no rejected object',
        MAX_IN_FORCE_SECONDS,
    )
