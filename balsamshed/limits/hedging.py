"""Limit of hedged openings, and the delay after which one is sent.

It is for this load: most openings are taken up within milliseconds, and a few
wait for the caller's repetition after 200 ms, since a packet was lost or their
endpoint has just stopped. The same opening, sent to a second endpoint, answers
them earlier (Dean and Barroso, "The tail at scale", CACM 2013). Each hedge is
extra work, so hedges are a share of all openings, and none is sent to an
endpoint without a free slot.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from balsamshed.steering.options import HedgeLimit

#: Recent openings from which the delay is learned.
MAX_SAMPLES: Final = 100
#: With fewer, nothing is known about how long an opening takes.
MIN_SAMPLES: Final = 20
#: Openings after which the delay is computed again.
SAMPLES_PER_UPDATE: Final = 10
#: Share of the recent openings that were taken up within the delay. The few
#: later ones cost a hedge each.
TAKEN_UP_SHARE: Final = 0.95
#: Allowance above that time for the jitter of links and timers.
DELAY_FACTOR: Final = 2.0
MIN_DELAY_SECONDS: Final = 0.01
#: Callers repeat an opening after 200 ms, and the repetition goes to another
#: endpoint anyway.
MAX_DELAY_SECONDS: Final = 0.1
#: Time without an answer after which the first endpoint is suspected, as if
#: its caller had repeated the opening.
SILENCE_SECONDS: Final = 0.2


@dataclass(frozen=True, slots=True)
class SentHedge:
    """Opening that was sent to a second endpoint.

    Parameters
    ----------
    flow_key : bytes
        Key of the flow.
    first_cookie, second_cookie : int
        Cookies of the two endpoints.
    opened_at : float
        Monotonic time at which the first endpoint got the opening.
    """

    flow_key: bytes
    first_cookie: int
    second_cookie: int
    opened_at: float


@dataclass(slots=True)
class Hedging:
    """Budget of hedges, recent openings and open hedges of one balancer.

    Attributes
    ----------
    limit : HedgeLimit
        Limit that the operator has set.
    tokens : float
        Hedges that may be sent now.
    connect_seconds : deque of float
        Durations from an opening to the packet that takes it up, for the
        latest openings without a hedge.
    samples_since_update : int
        Openings since the delay was computed.
    delay_seconds : float or None
        Time after which an opening is hedged; None while it is unknown.
    sent : dict of bytes to SentHedge
        Hedges that wait for their answer, by flow key.
    won : dict of bytes to SentHedge
        Hedges that were answered first, while their first endpoint is
        observed.
    """

    limit: HedgeLimit
    tokens: float = 0
    connect_seconds: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    samples_since_update: int = 0
    delay_seconds: float | None = None
    sent: dict[bytes, SentHedge] = field(default_factory=dict)
    won: dict[bytes, SentHedge] = field(default_factory=dict)


def create_hedging(limit: HedgeLimit | None) -> Hedging | None:
    """Return the state for a limit; None without one."""
    return None if limit is None else Hedging(limit)


def record_opened(hedging: Hedging) -> None:
    """Record an opening, which pays for its share of a hedge.

    Parameters
    ----------
    hedging : Hedging
        Changed in place. Over any time, hedges are at most the operator's
        share of the openings and one burst.
    """
    tokens = hedging.tokens + hedging.limit.share
    hedging.tokens = min(tokens, hedging.limit.burst)


def may_send_hedge(hedging: Hedging) -> bool:
    """Tell whether the limit allows one more hedge now."""
    return hedging.tokens >= 1


def record_sent(hedging: Hedging, hedge: SentHedge) -> None:
    """Pay for a hedge, and remember it until it is answered."""
    hedging.tokens -= 1
    hedging.sent[hedge.flow_key] = hedge


def record_taken_up(
    hedging: Hedging,
    flow_key: bytes,
    cookie: int,
    connect_seconds: float,
) -> bool:
    """Record that a caller has taken up an opening.

    Parameters
    ----------
    hedging : Hedging
        Changed in place.
    flow_key : bytes
        Key of the flow.
    cookie : int
        Cookie of the endpoint whose answer the caller has taken.
    connect_seconds : float
        Time since the opening.

    Returns
    -------
    bool
        Whether a hedge was answered first.
    """
    hedge = hedging.sent.pop(flow_key, None)
    if hedge is None:
        # A later one has been repeated, or its hedge has been forgotten.
        if connect_seconds < SILENCE_SECONDS:
            _learn_delay(hedging, connect_seconds)
        return False
    if cookie != hedge.second_cookie:
        return False
    hedging.won[flow_key] = hedge
    return True


def take_silent(hedging: Hedging, now: float) -> tuple[SentHedge, ...]:
    """Remove and return the won hedges whose first endpoint may be silent.

    Hedges that nobody has answered are forgotten: their callers repeat the
    opening, which tells as much.
    """
    silent = tuple(_remove_old(hedging.won, now))
    _remove_old(hedging.sent, now)
    return silent


def _remove_old(hedges: dict[bytes, SentHedge], now: float) -> list[SentHedge]:
    old = [
        hedge
        for hedge in hedges.values()
        if now - hedge.opened_at >= SILENCE_SECONDS
    ]
    for hedge in old:
        del hedges[hedge.flow_key]
    return old


def _learn_delay(hedging: Hedging, connect_seconds: float) -> None:
    samples = hedging.connect_seconds
    samples.append(connect_seconds)
    hedging.samples_since_update += 1
    if len(samples) < MIN_SAMPLES:
        return
    if hedging.samples_since_update < SAMPLES_PER_UPDATE:
        return
    hedging.samples_since_update = 0
    position = int(len(samples) * TAKEN_UP_SHARE)
    usual_seconds = sorted(samples)[min(position, len(samples) - 1)]
    hedging.delay_seconds = min(
        max(usual_seconds * DELAY_FACTOR, MIN_DELAY_SECONDS),
        MAX_DELAY_SECONDS,
    )
