"""Guards against commands on single objects that mislead an operator."""

import json

import pytest

from balsamshed.commands.tests.fake_store import HANG, LOSE_RESPONSE, OUTAGE
from balsamshed.commands.tests.harness import make_server


def test_drain_and_undrain_keep_the_other_fields(harness):
    """A drain must not undo what else was declared."""
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
    """The rule is kept and new work refused, which must not be a surprise."""
    harness.declare(1)
    assert harness.run('drain', 'b1') == 0
    assert 'warning: service/creneau: no backend server' in harness.errors


@pytest.mark.parametrize('fault', [LOSE_RESPONSE, HANG])
def test_drain_survives_a_lost_response(harness, fault):
    """A drain must take effect once and be reported as done."""
    harness.declare(1, 2)
    harness.store.faults['PUT'] = [fault]
    assert harness.run('drain', 'b1') == 0
    assert len(harness.body('backend_server', 'b1')['changes']) == 1


def test_drain_reports_a_conflict(harness):
    """A drain that lost a race must not count as done."""
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
    """A misspelt name must not create or change an object."""
    harness.declare(1)
    assert harness.run(*arguments) == 2
    assert harness.errors.startswith('error: ')
    assert harness.puts == []


def test_quiet_periods_are_added_and_removed(harness):
    """Equal starts in different offsets are the same start."""
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
    """A time without an offset would differ from balancer to balancer."""
    harness.declare(1)
    arguments = (f'--start={start}', f'--duration-seconds={duration}')
    assert harness.run('add-quiet-period', 'b1', *arguments) == 2
    assert '$.quiet_periods[0]' in harness.errors
    assert harness.puts == []


def test_get_and_list_show_versions_and_authors(harness):
    """An operator must see what is declared and who did it."""
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
    """A deletion is a change with an author like any other."""
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
    """As for a drain, new work is refused afterwards."""
    harness.declare(1)
    assert harness.run('delete', 'backend_server', 'b1') == 0
    assert 'warning: service/creneau' in harness.errors


def test_history_names_the_version_of_each_change(harness):
    """The trail must say which change led to which version."""
    harness.declare(1, 2)
    for _round in range(10):
        harness.run('drain', 'b1')
        harness.run('undrain', 'b1')
    history = harness.run_json('history', 'backend_server', 'b1')
    assert [entry['version'] for entry in history] == list(range(8, 24))
    assert harness.run('history', 'backend_server', 'b1') == 0
    assert harness.lines[1].split()[:2] == ['8', '7']
    assert 'older changes were not found' in harness.errors


def test_history_goes_on_in_the_audit_objects(harness):
    """Changes beyond the 16 in the object must not be lost."""
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


def test_watch_shows_changes_once_and_survives_faults(harness):
    """A silent connection or a lost revision must not hide a change."""
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
    """Changes between the revisions must still be shown."""
    harness.declare(1)
    store = harness.store

    def forget():
        harness.put('backend_server', 'b2', make_server(2))
        store.oldest_revision = store.revision

    store.faults['WATCH'] = [forget]
    arguments = ('watch', 'backend_server', '--deadline-seconds', '5')
    assert harness.run(*arguments, '--output', 'json') == 0
    assert [json.loads(line)['key'] for line in harness.lines] == [
        'g/backend_server/b2',
    ]


def test_odd_bodies_of_other_tools_do_not_raise(harness):
    """An object without a change entry must still be shown."""
    harness.store.write('g/backend_server/b1', [1, 2])
    harness.store.write('g/service/s', {'spec': None, 'changes': 'x'})
    assert harness.run('list') == 0
    assert harness.run('get', 'service', 's') == 0
    assert harness.run('history', 'service', 's') == 0
    assert harness.run('status') == 0
