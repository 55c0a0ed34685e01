"""Load reports from probes and from gossip between members."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a backend server reported.

    Parameters
    ----------
    host : int
        IPv4 address of the backend server.
    in_flight : int
        Number of running requests.
    queued : int
        Number of requests waiting for a slot.
    age_seconds : float
        Time since the backend server made the report.
    """

    host: int
    in_flight: int
    queued: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class LoadReports:
    """Message with load reports for the other members.

    Parameters
    ----------
    reports : tuple of LoadReport
        At most one for each backend server.
    """

    reports: tuple[LoadReport, ...]
