"""Tests of modules that are imported when they are first used."""

import sys
from subprocess import run

START = """
import sys
from balsamshed.deferred_modules import defer_import
defer_import('inspect')
"""


def run_code(code):
    """Run code in a new interpreter and return its errors."""
    command = [sys.executable, '-S', '-P', '-c', START + code]
    done = run(
        command, capture_output=True, text=True, env={'PYTHONPATH': PATH}
    )
    return done.stderr


PATH = ':'.join(path for path in sys.path if path)


def test_start_of_an_edge_balancer_does_not_use_the_module():
    """Guards against a start that takes a tenth longer: a data class without
    a docstring makes `dataclasses` use the module."""
    code = """
import balsamshed.platform.program
import balsamshed.platform.wire
import balsamshed.front_ends.edge_process
assert 'ast' not in sys.modules, 'inspect is imported'
assert 'asyncio' not in sys.modules, 'asyncio is imported'
"""
    assert run_code(code) == ''


def test_deferred_module_works_when_it_is_used():
    """Guards against a placeholder that other libraries fail on."""
    code = """
import inspect
assert inspect.isfunction(defer_import)
assert inspect.signature(defer_import).parameters
import inspect as again
assert again is not inspect
assert again.getdoc(defer_import)
"""
    assert run_code(code) == ''


def test_imported_module_is_not_replaced():
    """Guards against two copies of a module."""
    code = """
import string
before = string
defer_import('string')
import string
assert string is before
"""
    assert run_code(code) == ''
