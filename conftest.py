"""Settings of all tests."""

from pathlib import Path

import pytest
from hypothesis import settings

# Fixed examples give the same verdict on every run of the checks.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')

KNOWN_RED = Path(__file__).parent / 'KNOWN-RED.txt'
PREFIX = 'test: '


def read_known_failures():
    """Return the test names of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Run known failures without letting them fail the checks."""
    known = read_known_failures()
    for item in items:
        if item.nodeid in known:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Name the known failures at the end of each run."""
    for name in sorted(read_known_failures()):
        terminalreporter.write_line(f'known failure: {name}')
