"""Checks of a demonstration, printed as a table."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Check:
    """Result of one check, a row of the table.

    Parameters
    ----------
    name : str
        What was checked.
    found : str
        Observed value.
    has_passed : bool
        Whether the value is allowed.
    """

    name: str
    found: str
    has_passed: bool


def print_checks(checks: Sequence[Check]) -> int:
    """Print the table.

    Returns
    -------
    int
        Exit status: 1 if a check failed.
    """
    width = max(len(check.name) for check in checks)
    for check in checks:
        verdict = 'ok' if check.has_passed else 'FAILED'
        write_line(f'{check.name:<{width}}  {check.found:<16}  {verdict}')
    return int(not all(check.has_passed for check in checks))


def write_line(text: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
