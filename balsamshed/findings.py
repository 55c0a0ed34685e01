"""Findings: faults of an input with their location."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of an input.

    Parameters
    ----------
    place : str
        Location, usually a JSON path such as ``$.listeners[0].port``.
    found : str
        The value that was found, as JSON text.
    allowed : str
        What is allowed at that place.
    """

    place: str
    found: str
    allowed: str


def format_findings(source: str, findings: Iterable[Finding]) -> str:
    """Format findings as text, one line each.

    Parameters
    ----------
    source : str
        Name of the file or key of the object.
    findings : iterable of Finding
        The faults in the order in which they were found.

    Returns
    -------
    str
        Lines joined by newlines, without a trailing newline.
    """
    return '\n'.join(
        f'{source}: {finding.place}: found {finding.found}, '
        f'allowed: {finding.allowed}'
        for finding in findings
    )
