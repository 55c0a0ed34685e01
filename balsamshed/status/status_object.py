"""Status object of a data centre: which configuration is in force where."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

#: Minimum interval between writes of a status object.
WRITE_INTERVAL_SECONDS: Final = 1.0
#: Interval of writes without a change, which serve as a heartbeat.
REFRESH_INTERVAL_SECONDS: Final = 60.0
#: A write without a response after this time counts as lost.
WRITE_TIMEOUT_SECONDS: Final = 4.0


@dataclass(frozen=True, slots=True)
class LaggingMember:
    """A member whose catalog differs from the summarizer's.

    Parameters
    ----------
    member : str
        Name of the member.
    since : float
        Start of the difference, in seconds since the Unix epoch.
    highest_version : int
        Highest version in its catalog.
    """

    member: str
    since: float
    highest_version: int


@dataclass(frozen=True, slots=True)
class UnmetRule:
    """A declared rule that cannot be met or that stops all work of a service.

    Parameters
    ----------
    backend_server : str
        Name of the backend server that the rule applies to.
    rule : str
        Name of the rule, such as ``drain``.
    reason : str
        Reason why it needs the operator's attention.
    """

    backend_server: str
    rule: str
    reason: str


@dataclass(frozen=True, slots=True)
class StatusSummary:
    """State of the group, as seen by the reader that summarizes it.

    Parameters
    ----------
    members : tuple of str
        Names of the live members, sorted.
    highest_version : int
        Highest version in the summarizer's catalog.
    lagging : tuple of LaggingMember
        Members whose catalog differs, sorted by name.
    unmet_rules : tuple of UnmetRule
        Rules that need attention, sorted by backend server.
    rejected : tuple of mapping
        Objects whose newest version is not in force, with the findings.
    """

    members: tuple[str, ...]
    highest_version: int
    lagging: tuple[LaggingMember, ...]
    unmet_rules: tuple[UnmetRule, ...]
    rejected: tuple[Mapping[str, Any], ...]


@dataclass(slots=True)
class StatusWriteState:
    """State of the writes of the status object.

    Attributes
    ----------
    last_written : StatusSummary or None
        Last summary that the store accepted.
    written_at : float
        Monotonic seconds of the start of the last write.
    version : int
        Last known version of the status object in the store.
    pending : StatusSummary or None
        Summary of the write that awaits its response.
    """

    last_written: StatusSummary | None = None
    written_at: float = field(default=float('-inf'))
    version: int = 0
    pending: StatusSummary | None = None


def start_write_if_due(
    status: StatusWriteState, summary: StatusSummary, now: float
) -> bool:
    """Tell whether a summary has to be written now, and record the write.

    Parameters
    ----------
    status : StatusWriteState
        Changed in place.
    summary : StatusSummary
        Current state.
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
    """Record that the store accepted the pending summary."""
    status.last_written = status.pending
    status.pending = None
    status.version = version


def record_conflict(status: StatusWriteState, version: int) -> None:
    """Record the version of another reader's write, for the next write."""
    status.pending = None
    status.version = version


def record_observed_version(
    status: StatusWriteState,
    version: int,
    *,
    is_own: bool,
) -> None:
    """Record a version of the status object that was read from the store.

    Parameters
    ----------
    status : StatusWriteState
        Changed in place.
    version : int
        Version of the object.
    is_own : bool
        Whether this member wrote it. Another summarizer may have written a
        different summary, so this member writes its own again.
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
        Current state.
    data_centre : str
        Data centre that the object describes.
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
