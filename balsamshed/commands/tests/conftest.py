"""Fixtures of the command line tests."""

import pytest

from balsamshed.commands.tests.harness import CommandHarness


@pytest.fixture
def harness(tmp_path):
    """Return a harness that runs commands against a fake store."""
    return CommandHarness(tmp_path)
