"""Tests of the commands on single objects."""

import json

import pytest

from balsamshed.commands.tests.fake_store import HANG, LOSE_RESPONSE, OUTAGE
from balsamshed.commands.tests.harness import make_server


def test_drain_and_undrain_keep_the_other_fields(harness):
    """Guards against a drain that changes other fields of the object."""
    harness.declare(1, 2)
    assert harness.run('drain', 'b1') == 0
    assert harness.body('backend_server', 'b1')['spec'] == make_server(
        1,
        draining=True,
    )
    assert harness.messages == []
    assert '+  "draining": true,' in harness.output
    assert harness.run('drain', 'b1') == 0
    assert harness.lines == ['backend_server/b1: unchanged']
    assert harness.run('undrain', 'b1') == 0
    body = harness.body('backend_server', 'b1')
    assert body['spec'] == make_server(1)
    actions = [entry['action'] for entry in body['changes']]
    assert actions == ['drain', 'undrain']


def test_drain_of_the_last_backend_server_warns(harness):
    """Guards against a service that refuses new work without a warning.

    A drain of the last backend server is carried out all the same.
    """
    harness.declare(1)
    assert harness.run('drain', 'b1') == 0
    assert 'warning: service/creneau: no backend server' in harness.errors


@pytest.mark.parametrize('fault', [LOSE_RESPONSE, HANG])
def test_drain_with_a_lost_response_is_written_once(harness, fault):
    """Guards against a second write or a failure after a lost response."""
    harness.declare(1, 2)
    harness.store.faults['PUT'] = [fault]
    assert harness.run('drain', 'b1') == 0
    assert len(harness.body('backend_server', 'b1')['changes']) == 1


def test_drain_reports_a_conflict(harness):
    """Guards against a drain reported as done though another write won."""
    harness.declare(1, 2)

    def race():
        harness.put('backend_server', 'b1', make_server(1, slots=5))

    harness.store.faults['PUT'] = [race]
    assert harness.run('drain', 'b1') == 3
    assert 'conflict: the change was for version 2' in harness.errors
    assert 'draining' not in harness.body('backend_server', 'b1')['spec']


@pytest.mark.parametrize(
    'arguments',
    [
        ('drain', 'b9'),
        ('drain', 'B/9'),
        ('get', 'service', 'registre'),
        ('delete', 'service', 'registre'),
        ('history', 'backend_server', 'b9'),
        ('remove-quiet-period', 'b1', '--start', '2026-12-04T20:00:00Z'),
    ],
)
def test_unknown_objects_are_bad_input(harness, arguments):
    """Guards against creating or changing an object by a misspelt name."""
    harness.declare(1)
    assert harness.run(*arguments) == 2
    assert harness.errors.startswith('error: ')
    assert harness.puts == []


def test_quiet_periods_are_added_and_removed(harness):
    """Guards against a quiet period that can only be removed by equal text.

    A start with another UTC offset may be the same time.
    """
    harness.declare(1, 2)
    arguments = ('--start', '2026-12-04T20:00:00Z', '--duration-seconds', '90')
    repeat = ('--repeat-seconds', '86400')
    assert harness.run('add-quiet-period', 'b1', *arguments, *repeat) == 0
    assert harness.body('backend_server', 'b1')['spec']['quiet_periods'] == [
        {
            'start': '2026-12-04T20:00:00Z',
            'duration_seconds': 90,
            'repeat_seconds': 86400,
        },
    ]
    assert harness.run('add-quiet-period', 'b1', *arguments, *repeat) == 0
    assert harness.lines == ['backend_server/b1: unchanged']
    start = ('--start', '2026-12-04T15:00:00-05:00')
    assert harness.run('remove-quiet-period', 'b1', *start) == 0
    assert harness.body('backend_server', 'b1')['spec']['quiet_periods'] == []


@pytest.mark.parametrize(
    ('start', 'duration'),
    [
        ('tomorrow', '60'),
        ('2026-12-04T20:00:00', '60'),
        ('2026-02-30T20:00:00Z', '60'),
        ('2026-12-04T20:00:00Z', '0'),
        ('2026-12-04T20:00:00Z', '-1'),
        ('2026-12-04T20:00:00Z', 'nan'),
        ('2026-12-04T20:00:00Z', 'inf'),
    ],
)
def test_bad_quiet_periods_are_bad_input(harness, start, duration):
    """Guards against starts and durations that balancers cannot evaluate.

    A start without an offset would depend on each balancer's time zone.
    """
    harness.declare(1)
    arguments = (f'--start={start}', f'--duration-seconds={duration}')
    assert harness.run('add-quiet-period', 'b1', *arguments) == 2
    assert '$.quiet_periods[0]' in harness.errors
    assert harness.puts == []


def test_get_and_list_show_versions_and_authors(harness):
    """Guards against wrong versions, authors or specifications."""
    harness.declare(1, 2)
    harness.run('drain', 'b1')
    assert harness.run('get', 'backend_server', 'b1') == 0
    assert 'backend_server/b1, version 4' in harness.output
    assert 'changed by ada@desk at 2026-12-04T12:00:00Z' in harness.output
    record = harness.run_json('get', 'backend_server', 'b1')
    assert (record['version'], record['body']['spec']['draining']) == (4, True)
    assert harness.run('list') == 0
    assert [line.split()[:2] for line in harness.lines[1:]] == [
        ['service/creneau', '1'],
        ['backend_server/b1', '4'],
        ['backend_server/b2', '3'],
    ]
    assert 'draining' in harness.output
    assert len(harness.run_json('list', 'service')) == 1


def test_deleted_objects_are_not_listed_but_keep_their_history(harness):
    """Guards against a deletion that loses the history of the object."""
    harness.declare(1, 2)
    arguments = ('delete', 'backend_server', 'b2')
    assert harness.run(*arguments, '--expect-version', '9') == 3
    assert harness.run(*arguments, '--expect-version', '3') == 0
    assert harness.body('backend_server', 'b2')['deleted'] is True
    assert len(harness.run_json('list', 'backend_server')) == 1
    assert harness.run(*arguments) == 2
    history = harness.run_json('history', 'backend_server', 'b2')
    assert [entry['action'] for entry in history] == ['delete']


def test_deletion_of_the_last_backend_server_warns(harness):
    """Guards against a service that refuses new work without a warning."""
    harness.declare(1)
    assert harness.run('delete', 'backend_server', 'b1') == 0
    assert 'warning: service/creneau' in harness.errors


def test_history_names_the_version_of_each_change(harness):
    """Guards against changes assigned to the wrong version."""
    harness.declare(1, 2)
    for _round in range(10):
        harness.run('drain', 'b1')
        harness.run('undrain', 'b1')
    history = harness.run_json('history', 'backend_server', 'b1')
    assert [entry['version'] for entry in history] == list(range(8, 24))
    assert harness.run('history', 'backend_server', 'b1') == 0
    assert harness.lines[1].split()[:2] == ['8', '7']
    assert 'older changes were not found' in harness.errors


def test_history_includes_the_audit_objects(harness):
    """Guards against losing changes older than the 16 in the object."""
    harness.declare(1)
    change = {
        'version': 1,
        'change_id': 'first',
        'who': 'ana@desk',
        'when': '2026-12-04T08:00:00+00:00',
        'from_version': 0,
        'action': 'apply',
    }
    key = 'audit/g/backend_server.b1.1'
    harness.store.write(key, {'spec': change})
    history = harness.run_json('history', 'backend_server', 'b1')
    assert history[0] == change


def test_watch_shows_changes_once_despite_faults(harness):
    """Guards against changes missed or repeated after a failed watch.

    The store does not respond to the first watch and fails the second.
    """
    harness.declare(1)
    store = harness.store
    store.faults['WATCH'] = [HANG, OUTAGE]
    clock = harness.store_harness.clock
    clock.callLater(5, harness.put, 'backend_server', 'b2', make_server(2))
    clock.callLater(40, harness.put, 'backend_server', 'b3', make_server(3))
    arguments = ('watch', 'backend_server', '--deadline-seconds', '60')
    assert harness.run(*arguments) == 0
    names = [line.split()[1] for line in harness.lines]
    assert names == ['backend_server/b2', 'backend_server/b3']


def test_watch_lists_again_when_its_revision_is_too_old(harness):
    """Guards against missing the changes between the two revisions."""
    harness.declare(1)
    store = harness.store

    def compact():
        harness.put('backend_server', 'b2', make_server(2))
        store.oldest_revision = store.revision

    store.faults['WATCH'] = [compact]
    arguments = ('watch', 'backend_server', '--deadline-seconds', '5')
    assert harness.run(*arguments, '--output', 'json') == 0
    assert [json.loads(line)['key'] for line in harness.lines] == [
        'g/backend_server/b2',
    ]


def test_malformed_bodies_do_not_raise(harness):
    """Guards against a stack trace for objects without change entries."""
    harness.store.write('g/backend_server/b1', [1, 2])
    harness.store.write('g/service/s', {'spec': None, 'changes': 'x'})
    assert harness.run('list') == 0
    assert harness.run('get', 'service', 's') == 0
    assert harness.run('history', 'service', 's') == 0
    assert harness.run('status') == 0
