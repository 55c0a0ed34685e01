"""Status object of a data centre: what is in force, and what is not."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

#: A status object is written at most this often.
WRITE_INTERVAL_SECONDS: Final = 1.0
#: Written again after this time without a change, as a sign of life.
REFRESH_INTERVAL_SECONDS: Final = 60.0
#: A write without an answer for this long is taken for lost.
WRITE_TIMEOUT_SECONDS: Final = 4.0


@dataclass(frozen=True, slots=True)
class LaggingMember:
    """A member whose catalog differs from the summarizer's.

    Parameters
    ----------
    member : str
        Name of the member.
    since : float
        Seconds since the Unix epoch.
    highest_version : int
        Highest version that it has.
    """

    member: str
    since: float
    highest_version: int


@dataclass(frozen=True, slots=True)
class UnmetRule:
    """A declared rule that cannot be kept or that costs a service its work.

    Parameters
    ----------
    backend_server : str
        Name of the backend server that the rule is about.
    rule : str
        The rule, such as ``drain``.
    reason : str
        Why it needs the operator's attention.
    """

    backend_server: str
    rule: str
    reason: str


@dataclass(frozen=True, slots=True)
class StatusSummary:
    """State of the fleet, as one reader sees it.

    Parameters
    ----------
    members : tuple of str
        Names of the members that are alive, sorted.
    highest_version : int
        Highest version in the summarizer's catalog.
    lagging : tuple of LaggingMember
        Members that lack something, sorted by name.
    unmet_rules : tuple of UnmetRule
        Rules that need attention, sorted by backend server.
    rejected : tuple of mapping
        Objects that were not applied, with their findings.
    """

    members: tuple[str, ...]
    highest_version: int
    lagging: tuple[LaggingMember, ...]
    unmet_rules: tuple[UnmetRule, ...]
    rejected: tuple[Mapping[str, Any], ...]


@dataclass(slots=True)
class StatusWriteState:
    """Progress of writing the status object.

    Attributes
    ----------
    last_written : StatusSummary or None
        Last summary that the store took.
    written_at : float
        Monotonic seconds of the last write.
    version : int
        Version of the status object in the store, as far as known.
    pending : StatusSummary or None
        Summary of the write that waits for its answer.
    """

    last_written: StatusSummary | None = None
    written_at: float = field(default=float('-inf'))
    version: int = 0
    pending: StatusSummary | None = None


def start_write_if_due(
    status: StatusWriteState, summary: StatusSummary, now: float
) -> bool:
    """Tell whether a summary is to be written now, and note that it is.

    Parameters
    ----------
    status : StatusWriteState
        Changed in place.
    summary : StatusSummary
        The present state.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        True if the caller has to write it.
    """
    age = now - status.written_at
    wait = WRITE_INTERVAL_SECONDS
    if status.pending is not None:
        wait = WRITE_TIMEOUT_SECONDS
    elif status.last_written == summary:
        wait = REFRESH_INTERVAL_SECONDS
    if age < wait:
        return False
    status.pending = summary
    status.written_at = now
    return True


def record_write(status: StatusWriteState, version: int) -> None:
    """Note that the store took the pending summary."""
    status.last_written = status.pending
    status.pending = None
    status.version = version


def record_conflict(status: StatusWriteState, version: int) -> None:
    """Note that another reader wrote the object; the next write follows it."""
    status.pending = None
    status.version = version


def record_observed_version(
    status: StatusWriteState,
    version: int,
    *,
    is_own: bool,
) -> None:
    """Note a version of the status object that the store shows.

    Parameters
    ----------
    status : StatusWriteState
        Changed in place.
    version : int
        Version of the object.
    is_own : bool
        Whether this member wrote it. What a stand-in wrote may differ from
        the last own summary, which is therefore written again.
    """
    if is_own or version <= status.version:
        return
    status.version = version
    status.last_written = None


def build_body(
    summary: StatusSummary,
    data_centre: str,
    summarizer: str,
    wall_time: float,
) -> dict[str, Any]:
    """Return the body of the status object.

    Parameters
    ----------
    summary : StatusSummary
        The present state.
    data_centre : str
        Data centre that the object is about.
    summarizer : str
        Name of the member that writes it.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    dict
        JSON document.
    """
    return {
        'spec': {
            'data_centre': data_centre,
            'summarizer': summarizer,
            'written_at': wall_time,
            'members': len(summary.members),
            'in_force': len(summary.members) - len(summary.lagging),
            'highest_version': summary.highest_version,
            'lagging': [
                {
                    'member': entry.member,
                    'since': entry.since,
                    'highest_version': entry.highest_version,
                }
                for entry in summary.lagging
            ],
            'unmet_rules': [
                {
                    'backend_server': entry.backend_server,
                    'rule': entry.rule,
                    'reason': entry.reason,
                }
                for entry in summary.unmet_rules
            ],
            'rejected': list(summary.rejected),
            'member_names': list(summary.members),
        },
    }
