"""Tests of the command line as a process: exit statuses, streams, imports."""

import json
import os
import subprocess
import sys
from contextlib import contextmanager
from types import SimpleNamespace

import pytest

from balsamshed.commands.connections import StoreTarget, resolve_store_target
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.program import run_program
from balsamshed.commands.sessions import StoreCommand
from balsamshed.commands.tests.harness import SERVICE, make_server

SETTINGS = {
    'name': 'b1',
    'group': 'laval',
    'data_centre': 'qc-1',
    'fabric': {'host': '127.0.0.1', 'port': 9000},
    'store_url': 'http://127.0.0.1:8080',
    'peer_key': 'ab' * 16,
}


@pytest.fixture
def settings_file(tmp_path):
    file = tmp_path / 'settings.json'
    file.write_text(json.dumps(SETTINGS), encoding='utf-8')
    return str(file)


@contextmanager
def start_store():
    """Run the fake store as a process; it ends with its standard input."""
    command = (sys.executable, '-m', 'balsamshed.commands.tests.fake_store')
    with subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        port = process.stdout.readline().strip()
        try:
            yield f'http://127.0.0.1:{port}'
        finally:
            process.stdin.close()
            process.wait(timeout=10)


def run_process(*arguments, **environment):
    return subprocess.run(
        (sys.executable, '-m', 'balsamshed', *arguments),
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
        env={**os.environ, **environment},
    )


def test_commands_reach_a_store_over_http(tmp_path):
    """Guards against faults in the parts that other tests replace.

    These are the HTTP client, the reactor and the standard streams.
    """
    file = tmp_path / 'objects.json'
    entries = [
        {'kind': 'service', 'name': 'creneau', 'spec': dict(SERVICE)},
        {'kind': 'backend_server', 'name': 'b1', 'spec': make_server(1)},
    ]
    file.write_text(json.dumps(entries), encoding='utf-8')
    with start_store() as url:
        names = {'BALSAMSHED_GROUP': 'g', 'BALSAMSHED_STORE_URL': url}
        applied = run_process('apply', str(file), **names)
        assert applied.returncode == 0, applied.stderr
        assert 'backend_server/b1: applied, version 2' in applied.stdout
        drained = run_process('drain', 'b1', '--output', 'json', **names)
        assert drained.returncode == 0, drained.stderr
        assert json.loads(drained.stdout)['objects'][0]['version'] == 3
        assert 'warning: service/creneau' in drained.stderr
    failed = run_process('list', '--group', 'g', '--store-url', url)
    assert failed.returncode == 1
    assert 'unreachable' in failed.stderr
    assert failed.stdout == ''


def test_help_states_the_exit_statuses(capsys):
    """Guards against exit statuses that differ from the documented ones."""
    with pytest.raises(SystemExit) as stopped:
        run_program(())
    assert stopped.value.code == 0
    text = capsys.readouterr().out
    assert '0 done; 1 failed' in text
    assert '3 conflict' in text
    assert [int(status) for status in ExitStatus] == [0, 1, 2, 3]


@pytest.mark.parametrize(
    'arguments',
    [
        ('fly',),
        ('get', 'balancer', 'b1'),
        ('wait',),
        ('add-quiet-period', 'b1', '--start', 'x', '--duration-seconds', 'y'),
    ],
)
def test_bad_arguments_are_bad_input(arguments, capsys):
    """Guards against an exit status of the argument parser other than 2."""
    with pytest.raises(SystemExit) as stopped:
        run_program(arguments)
    assert stopped.value.code == ExitStatus.BAD_INPUT
    assert 'usage: balsamshed' in capsys.readouterr().err


def test_group_and_store_come_from_options_or_environment():
    """Guards against a command that uses the wrong group or store.

    Options take precedence over the environment; there is no default.
    """
    variables = {
        'BALSAMSHED_GROUP': 'laval',
        'BALSAMSHED_STORE_URL': 'http://a:1',
    }
    command = StoreCommand('', '', 'table', None)
    assert resolve_store_target(command, variables) == StoreTarget(
        'laval', 'http://a:1'
    )
    command = StoreCommand('loxley', 'http://b:2', 'table', None)
    assert resolve_store_target(command, variables) == StoreTarget(
        'loxley', 'http://b:2'
    )
    command = StoreCommand('', '', 'table', None)
    errors = resolve_store_target(command, {'BALSAMSHED_STORE_URL': 'ftp://x'})
    assert len(errors) == 2
    assert "--store-url: found 'ftp://x'" in errors[1]


def test_missing_group_is_bad_input(monkeypatch, capsys):
    """Guards against a command without a group running on some group."""
    monkeypatch.delenv('BALSAMSHED_GROUP', raising=False)
    monkeypatch.delenv('BALSAMSHED_STORE_URL', raising=False)
    assert run_program(('list',)) == ExitStatus.BAD_INPUT
    assert 'set BALSAMSHED_GROUP' in capsys.readouterr().err


def test_check_settings_reports_all_findings(settings_file, tmp_path, capsys):
    """Guards against reporting only the first finding of a settings file."""
    assert run_program(('check-settings', settings_file)) == ExitStatus.DONE
    assert 'no findings' in capsys.readouterr().out
    file = tmp_path / 'bad.json'
    bad = {**SETTINGS, 'data_port': 0, 'host': 'x'}
    file.write_text(json.dumps(bad), encoding='utf-8')
    assert run_program(('check-settings', str(file))) == ExitStatus.BAD_INPUT
    errors = capsys.readouterr().err
    assert f'{file}: $.data_port: found 0, allowed: ' in errors
    assert f'{file}: $.host: found "x", allowed: ' in errors


def test_defaults_and_version_are_shown(capsys):
    """Guards against commands that show wrong defaults or no version."""
    assert run_program(('show-defaults', '--output', 'json')) == 0
    defaults = json.loads(capsys.readouterr().out)
    assert defaults['host'] == '127.0.0.1'
    assert run_program(('version',)) == 0
    assert capsys.readouterr().out.startswith('balsamshed 0.')


def test_run_starts_the_process_with_its_settings(settings_file, monkeypatch):
    """Guards against losing the settings or the exit status of a balancer."""
    started = []
    fake = SimpleNamespace(run_balancer=started.append)
    monkeypatch.setitem(sys.modules, 'balsamshed.front_ends.process', fake)
    assert run_program(('run', '--settings', settings_file)) == 0
    assert run_program(('run', f'--settings={settings_file}')) == 0
    assert [settings.name for settings in started] == ['b1', 'b1']
    assert run_program(('run', '--settings', '/missing')) == 2


def test_run_does_not_load_what_other_commands_need(settings_file):
    """Guards against imports that a balancer with 64 MB has no room for."""
    program = (
        'import sys, types\n'
        'fake = types.ModuleType("balsamshed.front_ends.process")\n'
        'fake.run_balancer = lambda settings: 0\n'
        'sys.modules["balsamshed.front_ends.process"] = fake\n'
        'from balsamshed.commands.program import run_program\n'
        f'assert run_program(["run", "--settings", {settings_file!r}]) == 0\n'
        'heavy = {"defopt", "docutils", "difflib", "treq", "twisted"}\n'
        'assert not heavy & set(sys.modules), heavy & set(sys.modules)\n'
    )
    subprocess.run((sys.executable, '-c', program), check=True, timeout=20)


def test_run_does_not_load_openssl(settings_file):
    """Guards against loading OpenSSL, which takes 13 MB of 64 MB.

    A balancer does not use TLS.
    """
    program = (
        'import sys\n'
        'from importlib import import_module\n'
        'from unittest.mock import patch\n'
        'from balsamshed.commands import balancer_startup\n'
        'def load(name):\n'
        '    process = import_module(name)\n'
        '    process.run_balancer = lambda settings: 0\n'
        '    return process\n'
        'with patch.object(balancer_startup, "import_module", load):\n'
        '    run = balancer_startup.run_balancer_process\n'
        f'    assert run({settings_file!r}) == 0\n'
        'assert "twisted.internet.reactor" in sys.modules\n'
        'loaded = {name.split(".")[0] for name, module in sys.modules.items()\n'
        '          if module is not None}\n'
        'assert not {"OpenSSL", "cryptography"} & loaded\n'
    )
    subprocess.run((sys.executable, '-c', program), check=True, timeout=20)
