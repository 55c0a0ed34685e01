"""Guards against a zipapp with the wrong packages or without build facts."""

import json
from pathlib import Path

import pytest

from balsamshed import __version__, builds
from testbed.build import list_requirements

ROOT = Path(__file__).parent.parent.parent


def read_names(wanted=None):
    text = wanted or (ROOT / 'requirements.in').read_text()
    locked = (ROOT / 'requirements.lock').read_text()
    pinned = list_requirements(text, locked)
    assert set(pinned) <= set(locked.splitlines())
    return {line.partition('==')[0].lower() for line in pinned}


def test_only_run_time_packages_are_shipped():
    """Guards against packages that are shipped but not used.

    Entry VMs have no disk, so that every shipped package takes memory.
    """
    names = read_names()
    assert {'twisted', 'thrift', 'attrs', 'zope.interface'} <= names
    unshipped = {'treq', 'pyopenssl', 'cryptography', 'service-identity'}
    assert not names & (unshipped | {'pytest', 'shiv', 'mypy'})


def test_packages_outside_the_lock_file_are_not_fetched():
    """Guards against an unpinned package, which could differ between builds."""
    with pytest.raises(KeyError):
        read_names('twisted\nunpinned-package\n')


def test_origin_is_shown(tmp_path, monkeypatch):
    """Guards against a balancer whose commit an operator cannot see."""
    monkeypatch.setattr(builds, 'files', lambda _package: tmp_path)
    unbuilt = builds.BuildInfo(__version__, builds.UNBUILT, builds.UNBUILT)
    assert builds.read_build_info() == unbuilt
    facts = {'commit': 'abc', 'built_at': '2026-12-04T09:00:00+00:00'}
    (tmp_path / builds.BUILD_FILE).write_text(json.dumps(facts))
    assert builds.read_build_info() == builds.BuildInfo(__version__, **facts)
