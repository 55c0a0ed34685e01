"""Fixtures of the command line tests."""

import pytest

from balsamshed.commands.tests.harness import CommandHarness


@pytest.fixture
def harness(tmp_path):
    """A fake store and a way to run commands on it."""
    return CommandHarness(tmp_path)
