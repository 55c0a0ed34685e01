"""Decisions about conditional writes to the object store."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from balsamshed.audit.entries import VersionedChange, read_versioned_changes
from balsamshed.configuration.records import Record
from balsamshed.store.responses import (
    FailureReason,
    ObjectMissing,
    PutAccepted,
    PutConflict,
    StoreFailure,
)

#: First wait before a call is tried again, doubled for each further one.
INITIAL_BACKOFF_SECONDS: Final = 0.1
#: Longest wait. The store's outages last long, its budget of calls is small.
MAX_BACKOFF_SECONDS: Final = 2.0

# The request reached the store, which will never accept it.
_PERMANENT_REASONS: Final = frozenset(
    (FailureReason.TOO_LARGE, FailureReason.REFUSED)
)


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A conditional write with its limit.

    Parameters
    ----------
    key : str
        Key of the object.
    body : mapping
        New body; its last change entry has the change id.
    expected_version : int
        Version that the write replaces; zero for a new object.
    change_id : str
        Identifies this write in ``changes``.
    deadline : float
        Time after which no call is started, in seconds of the caller's
        monotonic clock.
    """

    key: str
    body: Mapping[str, Any]
    expected_version: int
    change_id: str
    deadline: float


@dataclass(slots=True)
class WriteProgress:
    """What is known about a write.

    Attributes
    ----------
    min_version : int
        Lowest version that a read can show unless the replica lags.
    retries : int
        Calls that have to be repeated so far.
    is_reading : bool
        Whether the last call was a read.
    maybe_applied : bool
        Whether a write without a response may have taken effect.
    refused : bool
        Whether the store reported another version.
    failure : StoreFailure or None
        The last failed call.
    """

    min_version: int
    retries: int = 0
    is_reading: bool = False
    maybe_applied: bool = False
    has_conflict: bool = False
    failure: StoreFailure | None = None


@dataclass(frozen=True, slots=True)
class PutObject:
    """Step: write the object after a wait.

    Parameters
    ----------
    wait_seconds : float
        Time to wait before the call.
    """

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Step: read the object back after a wait.

    Parameters
    ----------
    wait_seconds : float
        Time to wait before the call.
    """

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class WriteAccepted:
    """Outcome: the write took effect, exactly once.

    Parameters
    ----------
    key : str
        Key of the object.
    version : int
        Version that the store gave to the write.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Outcome: another write came first; this one did not take effect.

    Parameters
    ----------
    key : str
        Key of the object.
    expected_version : int
        Version that the write would have replaced.
    version : int
        Version of the write that came first.
    who : str
        Who made that write; empty if unknown.
    when : str
        When it was made, as RFC 3339 text; empty if unknown.
    """

    key: str
    expected_version: int
    version: int
    who: str = ''
    when: str = ''


@dataclass(frozen=True, slots=True)
class WriteFailure:
    """Outcome: no result before the deadline, or a refusal.

    Parameters
    ----------
    key : str
        Key of the object.
    change_id : str
        Change id to look for later.
    reason : FailureReason
        Why the last call failed.
    detail : str
        Text for operators.
    maybe_applied : bool
        False if the write certainly did not and will not take effect.
    """

    key: str
    change_id: str
    reason: FailureReason
    detail: str
    maybe_applied: bool


PutResponse = PutAccepted | PutConflict | StoreFailure
ReadResponse = Record | ObjectMissing | StoreFailure
WriteResponse = PutResponse | ReadResponse
WriteOutcome = WriteAccepted | WriteConflict | WriteFailure
WriteStep = PutObject | ReadObject | WriteOutcome


def start_write(request: WriteRequest) -> WriteProgress:
    """Return the state of a write before its first step, a `PutObject`."""
    return WriteProgress(min_version=request.expected_version)


def decide_step(
    request: WriteRequest,
    progress: WriteProgress,
    response: WriteResponse,
    now: float,
    jitter: float,
) -> WriteStep:
    """Decide what follows a response.

    After a lost response the object is read back, and it is written again
    only if it still has the expected version. A late first write and its
    repetition cannot both take effect, since both have the same condition.

    Parameters
    ----------
    request : WriteRequest
        The write.
    progress : WriteProgress
        Changed in place.
    response : WriteResponse
        Response to the last step.
    now : float
        Time, in seconds of the clock of the request's deadline.
    jitter : float
        Random number from 0 to 1, which spreads the waits.

    Returns
    -------
    WriteStep
        The next call with its wait, or the outcome.
    """
    decide = _RESPONSE_HANDLERS[type(response)]
    step = decide(request, progress, response)
    if not isinstance(step, PutObject | ReadObject):
        return step
    wait_seconds = step.wait_seconds * (1 + jitter) / 2
    if now + wait_seconds >= request.deadline:
        return _give_up(request, progress)
    progress.is_reading = isinstance(step, ReadObject)
    return type(step)(wait_seconds)


def _handle_accepted(
    request: WriteRequest,
    progress: WriteProgress,
    response: PutAccepted,
) -> WriteStep:
    return WriteAccepted(request.key, response.version)


def _handle_conflict(
    request: WriteRequest,
    progress: WriteProgress,
    response: PutConflict,
) -> WriteStep:
    # The version may be that of an earlier attempt of this write.
    progress.has_conflict = True
    progress.min_version = max(progress.min_version, response.version)
    return ReadObject(0)


def _handle_failure(
    request: WriteRequest,
    progress: WriteProgress,
    response: StoreFailure,
) -> WriteStep:
    progress.failure = response
    if response.reason in _PERMANENT_REASONS and not progress.is_reading:
        return _give_up(request, progress)
    if progress.is_reading:
        return ReadObject(_increase_backoff(progress))
    if response.reason is FailureReason.UNREACHABLE:
        return PutObject(_increase_backoff(progress))
    progress.maybe_applied = True
    return ReadObject(_increase_backoff(progress))


def _handle_record(
    request: WriteRequest,
    progress: WriteProgress,
    response: Record,
) -> WriteStep:
    changes = read_versioned_changes(response.version, response.body)
    for change in changes:
        if change.entry.change_id == request.change_id:
            return WriteAccepted(request.key, change.version)
    if response.version < progress.min_version:
        return ReadObject(_increase_backoff(progress))
    if response.version == request.expected_version:
        return PutObject(_increase_backoff(progress))
    return _classify_conflict(request, progress, response, changes)


def _handle_missing(
    request: WriteRequest,
    progress: WriteProgress,
    response: ObjectMissing,
) -> WriteStep:
    # Deletions leave a version behind, so a known object cannot be missing.
    if progress.min_version > 0:
        return ReadObject(_increase_backoff(progress))
    return PutObject(_increase_backoff(progress))


def _classify_conflict(
    request: WriteRequest,
    progress: WriteProgress,
    record: Record,
    changes: tuple[VersionedChange, ...],
) -> WriteOutcome:
    for change in changes:
        if change.entry.from_version == request.expected_version:
            return _describe_conflict(request, change)
    if progress.maybe_applied:
        return WriteFailure(
            request.key,
            request.change_id,
            FailureReason.LOST,
            (
                f'version {record.version} no longer lists the change of '
                f'version {request.expected_version}'
            ),
            maybe_applied=True,
        )
    if changes:
        return _describe_conflict(request, changes[-1])
    return WriteConflict(request.key, request.expected_version, record.version)


def _describe_conflict(
    request: WriteRequest,
    change: VersionedChange,
) -> WriteConflict:
    return WriteConflict(
        request.key,
        request.expected_version,
        change.version,
        change.entry.who,
        change.entry.when,
    )


def _give_up(request: WriteRequest, progress: WriteProgress) -> WriteOutcome:
    if progress.has_conflict and not progress.maybe_applied:
        return WriteConflict(
            request.key,
            request.expected_version,
            progress.min_version,
        )
    failure = progress.failure
    return WriteFailure(
        request.key,
        request.change_id,
        failure.reason if failure else FailureReason.TIMED_OUT,
        failure.detail if failure else 'only outdated versions were read',
        maybe_applied=progress.maybe_applied,
    )


def _increase_backoff(progress: WriteProgress) -> float:
    progress.retries += 1
    doublings = min(progress.retries - 1, 8)
    return min(INITIAL_BACKOFF_SECONDS * (1 << doublings), MAX_BACKOFF_SECONDS)


_RESPONSE_HANDLERS: Mapping[type, Callable[..., WriteStep]] = MappingProxyType(
    {
        PutAccepted: _handle_accepted,
        PutConflict: _handle_conflict,
        StoreFailure: _handle_failure,
        Record: _handle_record,
        ObjectMissing: _handle_missing,
    }
)
