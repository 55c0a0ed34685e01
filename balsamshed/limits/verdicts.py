"""Verdicts on a new flow, as sentinel values with a reason."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class Admitted:
    """Sentinel: the flow may be placed."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Sentinel: the flow must be refused before anything is forwarded.

    Parameters
    ----------
    reason : str
        Reason for the refusal.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Postponed:
    """Sentinel: the opening packet is dropped; the caller will repeat it.

    Parameters
    ----------
    reason : str
        Reason for the delay.
    """

    reason: str


ADMITTED: Final = Admitted()
