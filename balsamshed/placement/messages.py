"""Load reports, as probed and as spread between members."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server said about itself.

    Parameters
    ----------
    host : int
        IPv4 address of the backend server's endpoint.
    in_flight : int
        Requests that it runs.
    queued : int
        Requests that wait for a slot.
    age_seconds : float
        Time since it said so.
    """

    host: int
    in_flight: int
    queued: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class LoadReports:
    """Reports for the other members.

    Parameters
    ----------
    reports : tuple of LoadReport
        At most one for each backend server.
    """

    reports: tuple[LoadReport, ...]
