"""Tests of ``apply``: findings, conflicts, lost responses and warnings."""

import json

import pytest

from balsamshed.commands.tests.fake_store import HANG, LOSE_RESPONSE, OUTAGE
from balsamshed.commands.tests.harness import SERVICE, make_server


def make_entry(name, spec, kind='backend_server'):
    return {'kind': kind, 'name': name, 'spec': spec}


def test_objects_are_written_with_a_change_entry(harness):
    """Guards against a write without a change entry that has its author."""
    file = harness.write_file(
        make_entry('creneau', dict(SERVICE), 'service'),
        make_entry('b1', make_server(1)),
    )
    assert harness.run('apply', file) == 0, harness.messages
    assert '+  "slots": 2' in harness.output
    assert 'backend_server/b1: applied, version 2' in harness.output
    body = harness.body('backend_server', 'b1')
    assert body['spec'] == make_server(1)
    assert body['deleted'] is False
    (entry,) = body['changes']
    assert (entry['who'], entry['from_version'], entry['action']) == (
        'ada@desk',
        0,
        'apply',
    )
    assert entry['when'] == '2026-12-04T12:00:00Z'


def test_applying_again_changes_nothing(harness):
    """Guards against new versions of objects that have not changed."""
    harness.declare(1)
    file = harness.write_file(make_entry('b1', make_server(1)))
    assert harness.run('apply', file) == 0
    assert harness.lines == ['backend_server/b1: unchanged']
    assert harness.puts == []


def test_all_findings_of_all_objects_are_reported_and_nothing_applied(harness):
    """Guards against applying a part of a file with an invalid object."""
    harness.declare(1)
    file = harness.write_file(
        make_entry('b2', make_server(2)),
        make_entry('b3', make_server(3, slots=0, colour='red')),
        make_entry('B4', make_server(4)),
        make_entry('b5', make_server(5, service='x' * 65)),
        make_entry('b2', make_server(6)),
        make_entry('b7', make_server(1)),
        {'kind': 'balancer', 'name': 'b8'},
    )
    assert harness.run('apply', file) == 2
    for text in (
        'backend_server/b3: $[1].spec.slots: found 0, allowed: a whole',
        'backend_server/b3: $[1].spec.colour: found "red", allowed: only',
        '$[2].name: found "B4"',
        'backend_server/b5: $[3].spec.service',
        'backend_server/b2: $[4].name: found "b2", allowed: each object once',
        'backend_server/b7: $[5].spec.host: found "10.8.0.1", allowed: a host '
        'that backend_server/b1 does not have',
        '$[6].kind: found "balancer"',
        '$[6].spec: found nothing',
        '8 findings; nothing was applied',
    ):
        assert text in harness.errors, text
    assert harness.puts == []


def test_services_must_not_share_an_address_and_port(harness):
    """Guards against two services with the same address and port (G2).

    Packets for one service would reach the other.
    """
    harness.declare()
    file = harness.write_file(make_entry('registre', dict(SERVICE), 'service'))
    assert harness.run('apply', file) == 2
    assert '$[0].spec.listeners[0].port: found 7001' in harness.errors


@pytest.mark.parametrize(
    'text', ['', '{}', '[1]', '[{"a": 1, "a": 2}]', '[NaN]']
)
def test_malformed_files_are_bad_input(harness, tmp_path, text):
    """Guards against a stack trace for a malformed or missing file."""
    file = tmp_path / 'malformed.json'
    file.write_text(text, encoding='utf-8')
    assert harness.run('apply', str(file)) == 2
    assert harness.run('apply', str(tmp_path / 'missing')) == 2
    assert harness.puts == []


def test_findings_are_reported_during_an_outage(harness):
    """Guards against an invalid file reported as a failure of the store."""
    file = harness.write_file(make_entry('b1', make_server(1, slots=0)))
    harness.store.faults['GET'] = [OUTAGE]
    assert harness.run('apply', file) == 2
    harness.store.faults['GET'] = [OUTAGE]
    good = harness.write_file(make_entry('b1', make_server(1)))
    assert harness.run('apply', good) == 1
    assert 'outage (status 503)' in harness.errors


def test_dry_run_shows_the_difference_and_writes_nothing(harness):
    """Guards against a dry run that writes or does not show the difference."""
    harness.declare(1)
    file = harness.write_file(make_entry('b1', make_server(1, slots=3)))
    assert harness.run('apply', file, '--dry-run') == 0
    assert '--- backend_server/b1 (in the store)' in harness.output
    assert '-  "slots": 2\n+  "slots": 3' in harness.output
    assert 'backend_server/b1: would be applied' in harness.output
    assert harness.puts == []


def test_difference_is_shown_before_the_write(harness):
    """Guards against a failed write whose difference was not shown."""
    file = harness.write_file(make_entry('b1', make_server(1)))
    seen = []
    harness.store.faults['PUT'] = [lambda: seen.extend(harness.lines)]
    assert harness.run('apply', file) == 0
    assert '+  "slots": 2,' in seen or '+  "slots": 2' in seen


def test_expected_version_must_hold(harness):
    """Guards against a lost update by two operators who saw one version."""
    harness.declare(1)
    file = harness.write_file(make_entry('b1', make_server(1, slots=3)))
    assert harness.run('apply', file, '--expect-version', '1') == 3
    assert 'expected version 1, found version 2' in harness.errors
    assert harness.run('apply', file, '--expect-version', '0') == 3
    assert harness.puts == []
    assert harness.run('apply', file, '--expect-version', '2') == 0
    two = harness.write_file(
        make_entry('b1', make_server(1)),
        make_entry('b2', make_server(2)),
    )
    assert harness.run('apply', two, '--expect-version', '2') == 2


def test_conflict_names_the_other_writer_and_stops(harness):
    """Guards against a conflict that hides the other writer or the rest.

    The objects after the conflict must be reported as not applied.
    """
    harness.declare(1, 2, 3)
    file = harness.write_file(
        *(make_entry(f'b{n}', make_server(n, slots=9)) for n in (1, 2, 3)),
    )

    def race():
        harness.store.faults['PUT'] = [None]
        entry = {
            'change_id': 'x',
            'who': 'grace@desk',
            'when': '2026-12-04T11:59:59Z',
            'from_version': 3,
            'action': 'drain',
        }
        harness.put('backend_server', 'b2', make_server(2), changes=[entry])

    harness.store.faults['PUT'] = [None, race]
    assert harness.run('apply', file) == 3
    assert (
        'backend_server/b2: conflict: the change was for version 3, but '
        'grace@desk wrote version 6 at 2026-12-04T11:59:59Z first'
    ) in harness.errors
    assert 'backend_server/b1: applied, version 5' in harness.output
    assert 'backend_server/b2: not applied' in harness.output
    assert 'backend_server/b3: not applied' in harness.output
    assert harness.body('backend_server', 'b3')['spec']['slots'] == 2


@pytest.mark.parametrize('fault', [LOSE_RESPONSE, HANG])
def test_lost_response_counts_as_applied_once(harness, fault):
    """Guards against a second write or a conflict with the own write."""
    harness.declare(1)
    file = harness.write_file(make_entry('b1', make_server(1, slots=3)))
    harness.store.faults['PUT'] = [fault]
    assert harness.run('apply', file) == 0
    assert 'backend_server/b1: applied, version 3' in harness.output
    assert len(harness.puts) == 1


def test_long_outage_fails_and_reports_the_uncertain_outcome(harness):
    """Guards against a failed write reported as having no effect.

    It may still take effect.
    """
    harness.declare(1)
    file = harness.write_file(make_entry('b1', make_server(1, slots=3)))
    harness.store.faults['PUT'] = [OUTAGE] * 99
    assert harness.run('apply', file) == 1
    assert 'may have taken effect' in harness.errors
    assert 'balsamshed history backend_server b1' in harness.errors


def test_warns_when_a_service_is_left_without_backend_servers(harness):
    """Guards against a service that refuses new work without a warning."""
    harness.declare(1, 2)
    file = harness.write_file(
        make_entry('b1', make_server(1, draining=True)),
        make_entry('b2', make_server(2, draining=True)),
    )
    assert harness.run('apply', file, '--dry-run') == 0
    assert harness.messages == [
        'warning: service/creneau: no backend server takes new work from now '
        'on; new work will be refused',
    ]
    one = harness.write_file(make_entry('b1', make_server(1, draining=True)))
    assert harness.run('apply', one) == 0
    assert harness.messages == []


def test_warns_of_quiet_periods_that_will_overlap(harness):
    """Guards against a warning that only considers the present.

    All backend servers of the service have a quiet period in the evening.
    """
    harness.declare(1, 2)
    period = {'start': '2026-12-04T20:00:00Z', 'duration_seconds': 60}
    weekly = {
        'start': '2026-11-27T19:59:30Z',
        'duration_seconds': 60,
        'repeat_seconds': 7 * 86400,
    }
    file = harness.write_file(
        make_entry('b1', make_server(1, quiet_periods=[period])),
        make_entry('b2', make_server(2, quiet_periods=[weekly])),
    )
    assert harness.run('apply', file) == 0
    assert 'takes new work at 2026-12-04T20:00:00Z' in harness.errors


def test_json_output_is_one_document(harness):
    """Guards against text in the output that a script decodes as JSON."""
    harness.declare(1)
    file = harness.write_file(
        make_entry('b1', make_server(1, draining=True)),
        make_entry('creneau', dict(SERVICE), 'service'),
    )
    content = harness.run_json('apply', file)
    results = {entry['name']: entry for entry in content['objects']}
    assert results['b1']['result'] == 'applied'
    assert results['b1']['version'] == 3
    assert results['creneau']['result'] == 'unchanged'
    assert 'no backend server' in json.dumps(content['warnings'])


def test_deleted_objects_can_be_applied_again(harness):
    """Guards against a conflict when a deleted object is applied again.

    It still has a version, and the write must expect it.
    """
    harness.declare(1)
    assert harness.run('delete', 'backend_server', 'b1') == 0
    file = harness.write_file(make_entry('b1', make_server(1)))
    assert harness.run('apply', file) == 0
    body = harness.body('backend_server', 'b1')
    assert body['deleted'] is False
    assert [entry['action'] for entry in body['changes']] == ['delete', 'apply']
