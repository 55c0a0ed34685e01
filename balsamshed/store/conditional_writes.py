"""Retries and outcomes of conditional writes to the object store."""

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

#: Backoff before the first retry of a call; doubles with each further retry.
INITIAL_BACKOFF_SECONDS: Final = 0.1
#: Limit of the backoff. Outages of the store last long, and its rate limit
#: leaves few calls for retries.
MAX_BACKOFF_SECONDS: Final = 2.0

# The request reached the store, which will never accept it: no retry.
_PERMANENT_REASONS: Final = frozenset(
    (FailureReason.TOO_LARGE, FailureReason.REFUSED)
)


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A conditional write with its deadline.

    Parameters
    ----------
    key : str
        Key of the object.
    body : mapping
        New body; its last change entry has the change id.
    expected_version : int
        Version that the write replaces; zero for a new object.
    change_id : str
        Identifies this write in ``changes``, so that it can be recognised
        after a lost response.
    deadline : float
        Time after which no call is started, in seconds of the same monotonic
        clock as ``now`` in `decide_step`.
    """

    key: str
    body: Mapping[str, Any]
    expected_version: int
    change_id: str
    deadline: float


@dataclass(slots=True)
class WriteProgress:
    """State of a write between its calls.

    Attributes
    ----------
    min_version : int
        Lower bound of the object's current version. A read that returns a
        lower one comes from a lagging replica.
    retries : int
        Number of retries so far.
    is_reading : bool
        Whether the last call was a read.
    maybe_applied : bool
        Whether a write without a response may have taken effect.
    has_conflict : bool
        Whether the store rejected a write because of its expected version.
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
    """Step: write the object after a delay.

    Parameters
    ----------
    wait_seconds : float
        Delay before the call.
    """

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Step: read the object back after a delay.

    Parameters
    ----------
    wait_seconds : float
        Delay before the call.
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
        Version that the store assigned to the write.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """Outcome: a concurrent write came first; this one had no effect.

    Parameters
    ----------
    key : str
        Key of the object.
    expected_version : int
        Version that the write would have replaced.
    version : int
        Version of the write that came first.
    who : str
        Author of that write; empty if unknown.
    when : str
        Time of that write in RFC 3339 format; empty if unknown.
    """

    key: str
    expected_version: int
    version: int
    who: str = ''
    when: str = ''


@dataclass(frozen=True, slots=True)
class WriteFailure:
    """Outcome: no result before the deadline, or a permanent failure.

    Parameters
    ----------
    key : str
        Key of the object.
    change_id : str
        Change id with which the write can be looked up later.
    reason : FailureReason
        Why the last call failed.
    detail : str
        Details for operators.
    maybe_applied : bool
        False only if the write has not taken effect and never will.
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
    """Return the initial state of a write; its first step is `PutObject`."""
    return WriteProgress(min_version=request.expected_version)


def decide_step(
    request: WriteRequest,
    progress: WriteProgress,
    response: WriteResponse,
    now: float,
    jitter: float,
) -> WriteStep:
    """Return the next step of a write after a response.

    After a lost response the object is read back, and the write is retried
    only if the object still has the expected version. A delayed first write
    and its retry cannot both take effect, since both expect the same version.

    Parameters
    ----------
    request : WriteRequest
        The write.
    progress : WriteProgress
        Changed in place.
    response : WriteResponse
        Response to the last step.
    now : float
        Time in seconds, on the clock of the request's deadline.
    jitter : float
        Random number from 0 to 1 that spreads the retries.

    Returns
    -------
    WriteStep
        The next call with its delay, or the outcome.
    """
    handle_response = _RESPONSE_HANDLERS[type(response)]
    step = handle_response(request, progress, response)
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
    # The current version may come from an earlier attempt of this write.
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
    # A deleted object keeps a version, so an object that ever existed is
    # missing only on a lagging replica.
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
                f'change entries of version {record.version} no longer reach '
                f'back to version {request.expected_version}'
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
