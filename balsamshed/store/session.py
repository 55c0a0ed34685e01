"""List and watch of the group's records in the object store."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

#: How long the store may hold a watch open without a change.
WATCH_TIMEOUT_SECONDS: Final = 1.5
#: Additional time before a watch without a response counts as silent. Detecting
#: it and completing the list that follows takes less than the 3 s allowed for a
#: drain.
WATCH_GRACE_SECONDS: Final = 0.6
#: Time after which a call without a response is abandoned.
CALL_TIMEOUT_SECONDS: Final = 4.0
#: Readers list all records at this interval, in case a watch missed an event.
FULL_LIST_INTERVAL_SECONDS: Final = 300.0
INITIAL_BACKOFF_SECONDS: Final = 0.2
#: After an outage of any length, a change must be in force within 5 s.
MAX_BACKOFF_SECONDS: Final = 2.0

# Bounds the power of two; MAX_BACKOFF_SECONDS is reached earlier.
_MAX_DOUBLINGS: Final = 10


class SessionPhase(Enum):
    """State of the session."""

    IDLE = 'idle'
    LISTING = 'listing'
    WATCHING = 'watching'
    BACKING_OFF = 'backing_off'


class StoreCall(Enum):
    """Call to the store."""

    LIST = 'list'
    WATCH = 'watch'


@dataclass(slots=True)
class StoreSession:
    """State of one balancer's session with the store.

    Attributes
    ----------
    phase : SessionPhase
        State of the session.
    revision : int
        Revision from which the next watch starts.
    has_listed : bool
        Whether a list was completed since the last failure or expiry.
    deadline : float
        Time at which the current call times out or the backoff ends, in
        monotonic seconds.
    listed_at : float
        Monotonic seconds of the last complete list.
    backoff_seconds : float
        Last backoff; zero after a successful call.
    consecutive_expirations : int
        Watches since the last successful one that failed because the store no
        longer has their revision.
    """

    phase: SessionPhase = SessionPhase.IDLE
    revision: int = 0
    has_listed: bool = False
    deadline: float = 0
    listed_at: float = 0
    backoff_seconds: float = 0
    consecutive_expirations: int = 0


def advance_session(
    session: StoreSession,
    now: float,
    *,
    is_reader: bool,
) -> StoreCall | None:
    """Return the call to make now, if any.

    Every balancer lists once at startup; only readers then watch.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    now : float
        Monotonic seconds.
    is_reader : bool
        Whether this balancer watches the store for its data centre.

    Returns
    -------
    StoreCall or None
        The call to start; the session already counts it as started.
    """
    if session.phase is not SessionPhase.IDLE and now < session.deadline:
        return None
    if session.phase in {SessionPhase.LISTING, SessionPhase.WATCHING}:
        # Timed out: the connection may be dead, so list again.
        session.listed_at = 0
        session.has_listed = False
    if not session.has_listed:
        return _start_call(session, SessionPhase.LISTING, now)
    if not is_reader:
        session.phase = SessionPhase.IDLE
        return None
    if now - session.listed_at > FULL_LIST_INTERVAL_SECONDS:
        return _start_call(session, SessionPhase.LISTING, now)
    return _start_call(session, SessionPhase.WATCHING, now)


def record_list(session: StoreSession, revision: int, now: float) -> None:
    """Record a complete list.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    revision : int
        Revision of the store at which the list was read. A lagging replica
        may return an older one; the next watch then starts from there.
    now : float
        Monotonic seconds.
    """
    session.revision = revision
    session.has_listed = True
    session.listed_at = now
    session.phase = SessionPhase.IDLE
    session.backoff_seconds = 0


def record_watch(session: StoreSession, revision: int) -> None:
    """Record the end of a watch, with or without changes."""
    session.revision = max(session.revision, revision)
    session.phase = SessionPhase.IDLE
    session.backoff_seconds = 0
    session.consecutive_expirations = 0


def record_expired_revision(
    session: StoreSession,
    now: float,
    jitter: float,
) -> None:
    """Record that the store no longer has the watched revision.

    A new list follows. Since a lagging replica may again return a revision
    that has expired, only the first list starts without a backoff.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    now : float
        Monotonic seconds.
    jitter : float
        Random number from 0 to 1 that spreads the retries of balancers.
    """
    session.has_listed = False
    session.phase = SessionPhase.IDLE
    session.consecutive_expirations += 1
    if session.consecutive_expirations > 1:
        doublings = min(session.consecutive_expirations - 2, _MAX_DOUBLINGS)
        _back_off(session, INITIAL_BACKOFF_SECONDS * 2**doublings, now, jitter)


def record_failure(session: StoreSession, now: float, jitter: float) -> None:
    """Record a failed call and back off.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    now : float
        Monotonic seconds.
    jitter : float
        Random number from 0 to 1 that spreads the retries of balancers.
    """
    # The client may report a silent watch before the session's own timeout.
    session.has_listed = False
    doubled = session.backoff_seconds * 2
    wait_seconds = max(doubled, INITIAL_BACKOFF_SECONDS)
    _back_off(session, wait_seconds, now, jitter)


def _back_off(
    session: StoreSession,
    seconds: float,
    now: float,
    jitter: float,
) -> None:
    session.backoff_seconds = min(seconds, MAX_BACKOFF_SECONDS)
    session.phase = SessionPhase.BACKING_OFF
    session.deadline = now + session.backoff_seconds * (0.5 + jitter / 2)


def _start_call(
    session: StoreSession,
    phase: SessionPhase,
    now: float,
) -> StoreCall:
    session.phase = phase
    session.deadline = now + CALL_TIMEOUT_SECONDS
    if phase is SessionPhase.LISTING:
        return StoreCall.LIST
    return StoreCall.WATCH
