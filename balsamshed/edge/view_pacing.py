"""Pacing of the large views that a balancer sends to its peers.

All peers of a data centre ask the first balancer that has a new table of
routes. Sent at once, the answers fill the link of a small VM for a second, and
the packets of flows wait behind them. A peer that is turned away asks again
shortly, this balancer or another one that has received the view meanwhile.
"""

from dataclasses import dataclass
from typing import Final

#: Bandwidth for large views: two fifths of a link of 5 Mbit/s.
LARGE_VIEW_BYTES_PER_SECOND: Final = 250_000
#: Limit of the bandwidth saved while no large views are sent.
MAX_SAVED_BYTES: Final = 50_000


@dataclass(slots=True)
class ViewPacing:
    """Bandwidth for large views.

    Attributes
    ----------
    budget_bytes : float
        Bytes that may be sent now; negative after a view that was larger.
    updated_at : float
        Time at which the budget was last updated.
    """

    budget_bytes: float = MAX_SAVED_BYTES
    updated_at: float = 0


def may_send_large_view(pacing: ViewPacing, now: float) -> bool:
    """Tell whether a large view may be sent now.

    Parameters
    ----------
    pacing : ViewPacing
        Its budget is updated.
    now : float
        Seconds of the balancer's clock.
    """
    elapsed = max(now - pacing.updated_at, 0)
    pacing.updated_at = now
    pacing.budget_bytes = min(
        pacing.budget_bytes + elapsed * LARGE_VIEW_BYTES_PER_SECOND,
        MAX_SAVED_BYTES,
    )
    return pacing.budget_bytes > 0


def record_large_view(pacing: ViewPacing, sent_bytes: int) -> None:
    """Record the size of a large view that is being sent."""
    pacing.budget_bytes -= sent_bytes
