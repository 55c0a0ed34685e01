"""Decisions about when to read the store.

A watch that stays silent does not prove that nothing changed, since the store
may drop its history while the watch waits. What a balancer believes is
therefore confirmed at a fixed interval, so that its age is bounded. One read
confirms it for every balancer that hears of it: the store counts its changes
in one revision, and only a new revision makes anybody read more than that.

A balancer that starts takes a view that may be stale, which costs a tenth and
is not limited, and serves with it until it or a peer has confirmed it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

#: Age at which the first reader reads again. With the call's own time, and
#: the next reader's turn, it stays below the 3 s in which drains are in force.
READ_INTERVAL_SECONDS: Final = 0.8
#: How much later each further reader reads, unless one before it has.
READER_RANK_DELAY_SECONDS: Final = 0.2
#: Age at which everybody reads, whatever its rank.
MAX_READ_INTERVAL_SECONDS: Final = 1.6
#: A seed reads again a view that may be stale after this time, unless a peer
#: confirms it. Reports of peers that run arrive within it. All others wait
#: for `MAX_READ_INTERVAL_SECONDS`: a whole group that starts knows no ranks
#: yet, and 300 lists at once exhausted the store's rate for 30 s.
SEED_CONFIRMATION_DELAY_SECONDS: Final = 0.3
#: Views that may be stale are tried so often; a replica may lack the first
#: configuration of a site for seconds.
MAX_STALE_READ_ATTEMPTS: Final = 4
#: A read without a response is given up after this time. A slow store takes
#: 60 times its usual 4 ms.
READ_TIMEOUT_SECONDS: Final = 0.7
#: First wait after a failed read, doubled for each further one.
INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.8
#: An outage counts as recent for this long after the last failed read: reads
#: are repeated within a second.
RECENT_OUTAGE_SECONDS: Final = 2.0
#: Draws from 0 to below this number spread the waits.
_JITTER_STEPS: Final = 1024


class Source(StrEnum):
    """What is read from the store, or from a peer."""

    REVISION = 'revision'
    ENDPOINTS = 'endpoints'
    ROUTES = 'routes'
    PEER_VIEW = 'peer_view'


@dataclass(slots=True)
class ReadState:
    """Reads of the store by one balancer.

    Attributes
    ----------
    revision : int
        Revision of the store that the balancer's view shows; -1 before the
        first one.
    confirmed_at : float or None
        When the store confirmed that revision as the current one.
    started_at : float or None
        Start of the read in progress.
    may_be_stale : bool
        Whether the read in progress may return an old view.
    unconfirmed_since : float
        When a view was taken over that nobody has confirmed yet.
    pending_revision : int
        Revision of the endpoints whose routes are being read.
    retry_at : float
        No read starts before, after a failed one.
    consecutive_failures : int
        Reads that failed since one succeeded.
    failed_at : float or None
        Time of the last failure, or of the end of a pause.
    """

    revision: int = -1
    confirmed_at: float | None = None
    started_at: float | None = None
    may_be_stale: bool = False
    unconfirmed_since: float = 0
    pending_revision: int = -1
    retry_at: float = 0
    consecutive_failures: int = 0
    failed_at: float | None = None


def is_read_due(
    state: ReadState,
    rank: int,
    is_seed: bool,
    now: float,
) -> bool:
    """Tell whether a balancer should read the store now.

    Parameters
    ----------
    state : ReadState
        Reads of this balancer.
    rank : int
        How many live balancers read before it.
    is_seed : bool
        Whether others know it from their settings.
    now : float
        Seconds of the balancer's clock.
    """
    if state.started_at is not None or now < state.retry_at:
        return False
    if state.revision < 0:
        return True
    since, first = state.confirmed_at, READ_INTERVAL_SECONDS
    if since is None:
        since = state.unconfirmed_since
        first = (
            SEED_CONFIRMATION_DELAY_SECONDS
            if is_seed
            else MAX_READ_INTERVAL_SECONDS
        )
    delay = min(
        first + rank * READER_RANK_DELAY_SECONDS,
        MAX_READ_INTERVAL_SECONDS,
    )
    return now - since >= delay


def start_read(state: ReadState, now: float) -> Source:
    """Note that a read starts.

    Returns
    -------
    Source
        What is read first.
    """
    state.started_at = now
    is_first = state.revision < 0
    state.may_be_stale = (
        is_first and state.consecutive_failures < MAX_STALE_READ_ATTEMPTS
    )
    return Source.ENDPOINTS if is_first else Source.REVISION


def set_pending_revision(state: ReadState, revision: int) -> bool:
    """Tell whether anything may differ from what is known.

    Parameters
    ----------
    state : ReadState
        Changed in place: the revision is kept for the end of the read.
    revision : int
        Revision of the store, or the one that a list of endpoints shows.
    """
    state.pending_revision = revision
    return revision != state.revision


def finish_read(state: ReadState) -> bool:
    """Note that a read is complete.

    Returns
    -------
    bool
        Whether reads had failed before, so that contact is regained.
    """
    if state.pending_revision >= state.revision:
        state.revision = state.pending_revision
        if state.may_be_stale:
            state.unconfirmed_since = state.started_at or 0
        else:
            state.confirmed_at = state.started_at
    state.started_at = None
    was_failing = state.consecutive_failures > 0
    state.consecutive_failures = 0
    state.retry_at = 0
    return was_failing


def fail_read(
    state: ReadState,
    now: float,
    randrange: Callable[[int], int],
) -> bool:
    """Note that a read failed, and choose when it may be repeated.

    Parameters
    ----------
    state : ReadState
        Changed in place.
    now : float
        Seconds of the balancer's clock.
    randrange : callable
        Returns a random integer from 0 to below its argument; spreads the
        repetitions of balancers that failed together.

    Returns
    -------
    bool
        Whether this is the first failure since a read succeeded.
    """
    state.started_at = None
    state.failed_at = now
    state.retry_at = now + compute_backoff(
        state.consecutive_failures,
        randrange,
    )
    state.consecutive_failures += 1
    return state.consecutive_failures == 1


def compute_backoff(
    consecutive_failures: int,
    randrange: Callable[[int], int],
) -> float:
    """Return the seconds to wait after a failure.

    Parameters
    ----------
    consecutive_failures : int
        Failures in a row before this one; each doubles the wait.
    randrange : callable
        Returns a random integer from 0 to below its argument.
    """
    wait = min(
        INITIAL_BACKOFF_SECONDS * (1 << min(consecutive_failures, 8)),
        MAX_BACKOFF_SECONDS,
    )
    return wait * (1 + randrange(_JITTER_STEPS) / _JITTER_STEPS) / 2


def record_pause(state: ReadState, now: float) -> None:
    """Note that this balancer was paused, and may have missed an outage."""
    state.failed_at = now


def confirm_revision(
    state: ReadState,
    revision: int,
    confirmed_at: float,
) -> None:
    """Take over from a peer that a revision was current at a time.

    It says something about this balancer's view only if that shows the same
    revision.
    """
    if revision != state.revision:
        return
    if state.confirmed_at is None or confirmed_at > state.confirmed_at:
        state.confirmed_at = confirmed_at


def apply_peer_revision(state: ReadState, revision: int, now: float) -> None:
    """Note that a peer's view with a newer revision was taken over.

    It is at least as fresh as the view before; a report of the same revision
    confirms it.
    """
    if revision > state.revision:
        state.revision = revision
        state.unconfirmed_since = now


def had_recent_outage(state: ReadState, now: float) -> bool:
    """Tell whether the store was out of reach a short time ago."""
    if state.failed_at is None:
        return False
    return now - state.failed_at <= RECENT_OUTAGE_SECONDS


def get_view_age(state: ReadState, now: float) -> float:
    """Return the age of what is believed, in seconds; infinite at first."""
    if state.confirmed_at is None:
        return float('inf')
    return now - state.confirmed_at
