"""Polling of the store by edge balancers.

A silent watch does not prove that nothing changed, because the store may
compact its history while the watch is open. Balancers therefore poll at a
fixed interval, which bounds the age of their views. The store counts all
changes in a single revision: a poll reads only that number, and endpoints and
routes only if it has changed. Peers that receive a report of a confirmed
revision need no read of their own.

A report takes time that its receiver does not know, so an age looks younger
with each balancer that passes it on. Each read of the store therefore has a
number, which reports name: of one read, a balancer keeps the earliest time that
it has learned, and a confirmation that comes back on another way is not newer.

At startup a balancer reads a view that may be stale, because such a read costs
a tenth of a current one and is not rate-limited. It serves with this view
until its own read or a peer's report confirms the revision.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from balsamshed.random_numbers import RandBelow

#: Age of the view at which the balancer of rank 0 polls. The interval, one
#: call and the delay of the next rank stay below the 3 s allowed for a drain.
READ_INTERVAL_SECONDS: Final = 0.8
#: Additional delay per rank: a balancer polls only if no one before it has.
READER_RANK_DELAY_SECONDS: Final = 0.2
#: Age of the view at which every balancer polls, whatever its rank.
MAX_READ_INTERVAL_SECONDS: Final = 1.6
#: Delay after which a seed polls to confirm a possibly stale view, unless a
#: peer's report has done so; reports of running peers arrive earlier. Other
#: balancers wait for `MAX_READ_INTERVAL_SECONDS`, because ranks are unknown
#: while a whole group starts, and 300 simultaneous lists exhausted the store's
#: rate limit for 30 s.
SEED_CONFIRMATION_DELAY_SECONDS: Final = 0.3
#: Attempts to read a possibly stale view before current reads are used. A
#: replica may lack the first configuration of a site for seconds.
MAX_STALE_READ_ATTEMPTS: Final = 4
#: Longest wait for data in one read. A slow store takes 60 times its usual
#: 4 ms.
READ_TIMEOUT_SECONDS: Final = 0.7
#: Backoff after the first failed read; doubles with each further failure.
INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.8
#: An outage counts as recent for this long after the last failed read. Failed
#: reads are retried within a second.
RECENT_OUTAGE_SECONDS: Final = 2.0
#: Reads whose times are kept. Peers name their latest one, so that older ones
#: are named for some seconds at most.
MAX_KNOWN_READS: Final = 64
#: Number of a read that is not known.
NO_READ: Final = 0
#: Numbers of reads are random, above `NO_READ` and below this limit: a report
#: has 15 bits for them, which are all ones in an unknown age. Two reads with
#: one number count as the earlier one, so that the later one confirms nothing.
READ_NUMBER_LIMIT: Final = (1 << 15) - 1
#: Resolution of the random jitter.
_JITTER_STEPS: Final = 1024


class Source(StrEnum):
    """Data that is read from the store or from a peer."""

    REVISION = 'revision'
    EVACUATIONS = 'evacuations'
    ENDPOINTS = 'endpoints'
    ROUTES = 'routes'
    PEER_VIEW = 'peer_view'


@dataclass(slots=True)
class ReadState:
    """State of one balancer's polling.

    Attributes
    ----------
    revision : int
        Store revision of the balancer's view; -1 without a view.
    confirmed_at : float or None
        Time at which the revision was last known to be the current one.
    started_at : float or None
        Start of the read in progress; None if there is none.
    may_be_stale : bool
        Whether the read in progress may return an outdated view.
    read_number : int
        Number of the read that confirmed the revision, by this balancer or by
        a peer; `NO_READ` if it is not known.
    read_times : dict of int to float
        Earliest known time of the latest reads, by their numbers.
    unconfirmed_since : float
        Time at which an unconfirmed view was read or taken from a peer.
    pending_revision : int
        Revision of the read in progress, applied when the read is complete.
    retry_at : float
        Time of the earliest retry after a failed read.
    consecutive_failures : int
        Failed reads since the last successful one.
    failed_at : float or None
        Time of the last failed read or of the end of the last pause.
    """

    revision: int = -1
    confirmed_at: float | None = None
    started_at: float | None = None
    may_be_stale: bool = False
    read_number: int = NO_READ
    read_times: dict[int, float] = field(default_factory=dict)
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
    """Return whether the balancer should poll the store now.

    Parameters
    ----------
    state : ReadState
        Polling state of this balancer.
    rank : int
        Number of live balancers that poll before it.
    is_seed : bool
        Whether it is a seed in the settings of the group.
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


def start_read(
    state: ReadState, now: float, follows_evacuations: bool = False
) -> Source:
    """Record the start of a read.

    Parameters
    ----------
    state : ReadState
        Changed in place.
    now : float
        Seconds of the balancer's clock.
    follows_evacuations : bool
        Whether each read begins with the evacuations. Their list is short and
        shows the store's revision, so it takes the place of that call.

    Returns
    -------
    Source
        The data to read first: evacuations if they are followed, else
        endpoints without a view and the revision with one.
    """
    state.started_at = now
    is_first = state.revision < 0
    state.may_be_stale = (
        is_first and state.consecutive_failures < MAX_STALE_READ_ATTEMPTS
    )
    if follows_evacuations:
        return Source.EVACUATIONS
    return Source.ENDPOINTS if is_first else Source.REVISION


def set_pending_revision(state: ReadState, revision: int) -> bool:
    """Record the revision that the read in progress has returned.

    Parameters
    ----------
    state : ReadState
        Changed in place; `finish_read` applies the revision.
    revision : int
        Current revision of the store, or that of a list of endpoints.

    Returns
    -------
    bool
        Whether the revision differs from the one of the balancer's view.
    """
    state.pending_revision = revision
    return revision != state.revision


def lower_pending_revision(state: ReadState, revision: int) -> None:
    """Record that a part of the read in progress may be older.

    Replicas lag differently: the routes that one returns may be older than
    the endpoints that another has returned before.
    """
    state.pending_revision = min(state.pending_revision, revision)


def finish_read(state: ReadState, randbelow: RandBelow) -> bool:
    """Record the successful end of a read.

    Parameters
    ----------
    state : ReadState
        Changed in place.
    randbelow : callable
        Returns a random integer from 0 to below its argument, for the number
        of a read that confirms the revision.

    Returns
    -------
    bool
        Whether this ends a series of failed reads.
    """
    if state.pending_revision >= state.revision:
        state.revision = state.pending_revision
        if state.may_be_stale:
            state.unconfirmed_since = state.started_at or 0
        elif state.started_at is not None:
            number = 1 + randbelow(READ_NUMBER_LIMIT - 1)
            state.read_times[number] = state.started_at
            _apply_latest_read(state)
    state.started_at = None
    was_failing = state.consecutive_failures > 0
    state.consecutive_failures = 0
    state.retry_at = 0
    return was_failing


def fail_read(
    state: ReadState,
    now: float,
    randbelow: RandBelow,
) -> bool:
    """Record a failed read and schedule its retry.

    Parameters
    ----------
    state : ReadState
        Changed in place.
    now : float
        Seconds of the balancer's clock.
    randbelow : callable
        Returns a random integer from 0 to below its argument. The jitter
        spreads the retries of balancers whose reads failed together.

    Returns
    -------
    bool
        Whether this is the first failure since a read succeeded.
    """
    state.started_at = None
    state.failed_at = now
    state.retry_at = now + compute_backoff(
        state.consecutive_failures,
        randbelow,
    )
    state.consecutive_failures += 1
    return state.consecutive_failures == 1


def compute_backoff(
    consecutive_failures: int,
    randbelow: RandBelow,
) -> float:
    """Return the backoff after a failure, in seconds.

    Parameters
    ----------
    consecutive_failures : int
        Failures in a row before this one; each doubles the backoff.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    """
    backoff_seconds = min(
        INITIAL_BACKOFF_SECONDS * (1 << min(consecutive_failures, 8)),
        MAX_BACKOFF_SECONDS,
    )
    return backoff_seconds * (1 + randbelow(_JITTER_STEPS) / _JITTER_STEPS) / 2


def record_pause(state: ReadState, now: float) -> None:
    """Record a pause of this balancer, which may have hidden an outage."""
    state.failed_at = now


def confirm_revision(
    state: ReadState,
    revision: int,
    confirmed_at: float,
    read_number: int,
) -> None:
    """Record a peer's report that a read has shown a revision.

    The report confirms this balancer's view only if both have the same
    revision, and if it names the read.

    Parameters
    ----------
    state : ReadState
        Changed in place.
    revision : int
        Revision of the peer's view.
    confirmed_at : float
        Time of the read on this balancer's clock; late by the time that
        reports were under way.
    read_number : int
        Number of the read; `NO_READ` from balancers of former builds.
    """
    if revision != state.revision or read_number == NO_READ:
        return
    known_at = state.read_times.get(read_number)
    if known_at is None or confirmed_at < known_at:
        state.read_times[read_number] = confirmed_at
        _apply_latest_read(state)


def _apply_latest_read(state: ReadState) -> None:
    """Let the latest of the known reads confirm the view."""
    times = state.read_times
    while len(times) > MAX_KNOWN_READS:
        oldest = next(number for number in times if number != state.read_number)
        del times[oldest]
    state.read_number = max(times, key=times.__getitem__)
    state.confirmed_at = times[state.read_number]


def apply_peer_revision(state: ReadState, revision: int, now: float) -> None:
    """Record that the newer view of a peer was applied.

    The view stays unconfirmed until a report of the same revision or a read
    confirms it. The time of the previous confirmation remains valid, since
    the new view is at least as fresh as the previous one.
    """
    if revision > state.revision:
        state.revision = revision
        state.unconfirmed_since = now


def had_recent_outage(state: ReadState, now: float) -> bool:
    """Return whether the store was unreachable a short time ago."""
    if state.failed_at is None:
        return False
    return now - state.failed_at <= RECENT_OUTAGE_SECONDS


def get_view_age(state: ReadState, now: float) -> float:
    """Return the age of the view in seconds; infinite if never confirmed."""
    if state.confirmed_at is None:
        return float('inf')
    return now - state.confirmed_at
