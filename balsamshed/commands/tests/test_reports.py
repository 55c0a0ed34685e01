"""Tests of ``status`` and ``wait``: each gap must be reported."""

import pytest

from balsamshed.commands.tests.fake_store import OUTAGE
from balsamshed.commands.tests.harness import NOW, make_status


def put_status(harness, data_centre='qc-1', **changes):
    body = make_status(data_centre, **changes)
    harness.store.write(f'g/status/{data_centre}', body)


def test_all_in_force(harness):
    """Guards against a gap reported for a fleet where all is in force."""
    harness.declare(1)
    put_status(harness)
    put_status(harness, 'qc-2')
    assert harness.run('status') == 0
    assert harness.lines[0] == 'version 2 is in force'
    assert harness.run_json('status')['in_force'] is True


@pytest.mark.parametrize(
    ('changes', 'text'),
    [
        ({'highest_version': 1}, 'qc-2: has version 1, lacks version 2'),
        ({'in_force': 2}, 'qc-2: 2 of 3 members are in force'),
        ({'members': 0, 'in_force': 0}, 'qc-2: has no members'),
        (
            {
                'in_force': 2,
                'lagging': [
                    {'member': 'b3', 'since': NOW - 60, 'highest_version': 1},
                ],
            },
            'qc-2: member b3 lags behind at version 1 since '
            '2026-12-04T11:59:00Z',
        ),
        (
            {
                'rejected': [
                    {
                        'key': 'g/backend_server/b1',
                        'version': 2,
                        'findings': [
                            {'place': '$.slots', 'found': '0', 'allowed': '1'},
                        ],
                    },
                ],
            },
            'g/backend_server/b1: version 2 was rejected',
        ),
        ({'highest_version': 'x'}, 'its status object is malformed at'),
    ],
)
def test_each_gap_is_reported(harness, changes, text):
    """Guards against a gap masked by another data centre that is in force."""
    harness.declare(1)
    put_status(harness)
    put_status(harness, 'qc-2', **changes)
    assert harness.run('status') == 0
    assert harness.lines[0] == 'version 2 is NOT in force everywhere'
    assert text in harness.output
    content = harness.run_json('status')
    assert content['in_force'] is False
    assert harness.run('wait', '--deadline-seconds', '0') == 1
    assert text in harness.errors


def test_partitioned_data_centre_is_reported_with_a_time(harness):
    """Guards against a partitioned data centre counted as in force.

    Its status object is the last one that it could write. The time is that of
    the first change that it lacks.
    """
    harness.declare(1, 2)
    put_status(harness, highest_version=3)
    harness.run('drain', 'b1')
    assert harness.run('status') == 0
    assert (
        'qc-1: has version 3, lacks version 5 since 2026-12-04T12:00:00Z'
        in harness.output
    )


def test_no_status_object_is_not_in_force(harness):
    """Guards against missing status objects taken for success."""
    harness.declare(1)
    assert harness.run('status') == 0
    assert 'no data centre has written a status' in harness.output
    assert harness.run('wait', '--deadline-seconds', '1') == 1


def test_unmet_rules_and_unserved_services_are_shown(harness):
    """Guards against a rule that cannot be kept missing from the status."""
    harness.declare(1)
    harness.run('drain', 'b1')
    rule = {
        'backend_server': 'b1',
        'rule': 'draining',
        'reason': 'last backend server of creneau',
    }
    put_status(harness, unmet_rules=[rule])
    harness.run('status')
    assert (
        'rule not kept in qc-1: backend_server/b1: draining: last backend '
        'server of creneau'
    ) in harness.output
    assert 'note: service/creneau: no backend server' in harness.output


def test_rejection_of_a_corrected_version_is_not_shown(harness):
    """Guards against an old rejection applied to a newer version."""
    harness.declare(1)
    entry = {'key': 'g/backend_server/b1', 'version': 1, 'findings': []}
    put_status(harness, rejected=[entry])
    harness.run('status')
    assert harness.lines[0] == 'version 2 is in force'


def test_data_centres_and_vms_without_a_report_are_noted(harness):
    """Guards against a balancer that is in no status object going unnoticed."""
    harness.declare(1)
    put_status(harness, 'qc-2')
    harness.store.vms = [
        {'name': name, 'data_centre': 'qc-1', 'host': 'h', 'control_port': 1}
        for name in ('b1', 'b7')
    ]
    harness.run('status')
    assert 'note: data centre qc-1: has backend servers, but' in harness.output
    assert 'note: VM b7 in qc-1: no member sees a balancer' in harness.output
    assert 'VM b1' not in harness.output


def test_status_of_a_deleted_data_centre_does_not_count(harness):
    """Guards against a removed data centre that counts as a gap forever."""
    harness.declare(1)
    put_status(harness)
    put_status(harness, 'qc-9', highest_version=0)
    assert harness.run('delete', 'status', 'qc-9') == 0
    harness.run('status')
    assert harness.lines[0] == 'version 2 is in force'


def test_wait_ends_when_the_last_data_centre_catches_up(harness):
    """Guards against ``wait`` ending late, or not at all, after store faults."""
    harness.declare(1, 2)
    put_status(harness, highest_version=2)
    clock = harness.store_harness.clock
    clock.callLater(8, put_status, harness, highest_version=3)
    harness.store.faults['GET'] = [OUTAGE, OUTAGE]
    harness.store.faults['WATCH'] = [OUTAGE]
    assert harness.run('wait', '--deadline-seconds', '30') == 0
    assert harness.lines == ['version 3 is in force']
    assert 'waiting for version 3: qc-1: has version 2' in harness.errors
    assert clock.seconds() < 12


def test_wait_fails_at_its_deadline(harness):
    """Guards against ``wait`` hanging on a partition or an outage."""
    harness.declare(1)
    put_status(harness, highest_version=1)
    assert harness.run('wait', '--deadline-seconds', '7') == 1
    assert harness.store_harness.clock.seconds() < 9
    assert 'is not in force everywhere after 7 s' in harness.errors
    harness.store.faults['GET'] = [OUTAGE] * 99
    assert harness.run('wait', '--deadline-seconds', '7') == 1
    assert 'outage' in harness.errors
