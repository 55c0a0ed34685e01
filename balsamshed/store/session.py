"""Reading the group's records from the platform's object store."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

#: How long the store may hold a watch without news.
WATCH_TIMEOUT_SECONDS: Final = 1.5
#: A watch without a response for this much longer has gone silent. Until the
#: list that follows is complete, less than the 3 s of a drain have passed.
WATCH_GRACE_SECONDS: Final = 0.6
#: Any call without a response for this long has gone silent.
CALL_TIMEOUT_SECONDS: Final = 4.0
#: Readers list everything this often, in case an event was left out.
FULL_LIST_INTERVAL_SECONDS: Final = 300.0
INITIAL_BACKOFF_SECONDS: Final = 0.2
#: After an outage of any length, a change has to be in force within 5 s.
MAX_BACKOFF_SECONDS: Final = 2.0

# Keeps the power of two small; the back-off has its limit long before.
_MAX_DOUBLINGS: Final = 10


class SessionPhase(Enum):
    """What the session waits for."""

    IDLE = 'idle'
    LISTING = 'listing'
    WATCHING = 'watching'
    BACKING_OFF = 'backing_off'


class StoreCall(Enum):
    """Call that is to be made."""

    LIST = 'list'
    WATCH = 'watch'


@dataclass(slots=True)
class StoreSession:
    """Progress of one node with the store.

    Attributes
    ----------
    phase : SessionPhase
        What it waits for.
    revision : int
        Revision that the next watch starts from.
    has_listed : bool
        Whether a list was ever complete in this process.
    deadline : float
        Monotonic seconds at which the wait ends.
    listed_at : float
        Monotonic seconds of the last complete list.
    backoff_seconds : float
        Length of the last back-off, zero after a success.
    consecutive_expirations : int
        Watches whose revision was too old since the last one that was not.
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

    Every node lists once when it starts; only readers go on to watch.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    now : float
        Monotonic seconds.
    is_reader : bool
        Whether this node watches the store for its data centre.

    Returns
    -------
    StoreCall or None
        The call, which the session takes for started.
    """
    if session.phase is not SessionPhase.IDLE and now < session.deadline:
        return None
    if session.phase in {SessionPhase.LISTING, SessionPhase.WATCHING}:
        # No progress: the connection may have gone silent for good.
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
    """Note that a list is complete.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    revision : int
        Revision of the store that the list shows. A lagging replica may
        show an older one; the watch then starts from there.
    now : float
        Monotonic seconds.
    """
    session.revision = revision
    session.has_listed = True
    session.listed_at = now
    session.phase = SessionPhase.IDLE
    session.backoff_seconds = 0


def record_watch(session: StoreSession, revision: int) -> None:
    """Note that a watch ended with or without news."""
    session.revision = max(session.revision, revision)
    session.phase = SessionPhase.IDLE
    session.backoff_seconds = 0
    session.consecutive_expirations = 0


def record_expired_revision(
    session: StoreSession,
    now: float,
    jitter: float,
) -> None:
    """Note that the watched revision is too old, so that a list follows.

    A list from a lagging replica may show a revision that is too old as
    well, so the lists after the first one wait.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    now : float
        Monotonic seconds.
    jitter : float
        Random number from 0 to 1, so that nodes do not return together.
    """
    session.has_listed = False
    session.phase = SessionPhase.IDLE
    session.consecutive_expirations += 1
    if session.consecutive_expirations > 1:
        doublings = min(session.consecutive_expirations - 2, _MAX_DOUBLINGS)
        _back_off(session, INITIAL_BACKOFF_SECONDS * 2**doublings, now, jitter)


def record_failure(session: StoreSession, now: float, jitter: float) -> None:
    """Back off after a call that failed.

    Parameters
    ----------
    session : StoreSession
        Changed in place.
    now : float
        Monotonic seconds.
    jitter : float
        Random number from 0 to 1, so that nodes do not return together.
    """
    # The client may give a silent watch up before the session does.
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
