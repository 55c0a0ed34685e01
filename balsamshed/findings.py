"""Findings: faults of an input, collected with their place."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of an input.

    Parameters
    ----------
    place : str
        Where the fault is, as a JSON path such as ``$.listeners[0].port``.
    found : str
        The value that was found, as JSON text.
    allowed : str
        What is allowed at that place.
    """

    place: str
    found: str
    allowed: str


def format_findings(source: str, findings: Iterable[Finding]) -> str:
    """Return one line of text for each finding.

    Parameters
    ----------
    source : str
        File name or object key that the findings belong to.
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
