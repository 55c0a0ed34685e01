"""Fixtures of the command line tests."""

import pytest

from balsamshed.commands.tests.harness import Harness


@pytest.fixture
def harness(tmp_path):
    """A fake store and a way to run commands on it."""
    return Harness(tmp_path)
