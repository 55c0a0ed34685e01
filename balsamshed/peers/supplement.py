"""Supplement to the reports of a balancer: the speeds of endpoints.

It goes to one peer at a time, out of the budget of the reports, of which it
takes a small share. Peers that were just found come first: a balancer that
has started knows nothing else of the endpoints' speeds.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from balsamshed.peers.table import (
    REPORT_BYTES_PER_SECOND,
    PeerTable,
    take_budget,
)
from balsamshed.placement.speeds import SpeedReport

#: Size on the network: 28 bytes of IP and UDP headers and 3 of its own header,
#: then each endpoint.
BASE_SUPPLEMENT_BYTES: Final = 28 + 3
SPEED_BYTES: Final = 6
#: Endpoints in one supplement.
MAX_SPEEDS: Final = 32
#: Share of the bandwidth for reports that supplements take.
BANDWIDTH_SHARE: Final = 0.125
#: Limit of the bandwidth saved while there is nothing to send.
SAVED_SECONDS: Final = 1.0
#: Bounds the peers that wait for their first supplement.
MAX_NEW_PEERS: Final = 512


@dataclass(frozen=True, slots=True)
class Supplement:
    """Speeds of endpoints as observed by one balancer.

    Parameters
    ----------
    speeds : tuple of SpeedReport
        Endpoints with recent samples.
    """

    speeds: tuple[SpeedReport, ...]


@dataclass(slots=True)
class SupplementSchedule:
    """When the next supplement is sent, and to which peer.

    Attributes
    ----------
    credit_bytes : float
        Bytes of supplements that may be sent now.
    updated_at : float
        Time of that value.
    new_peers : deque of str
        IPv4 addresses of peers that were found since their last supplement.
    next_index : int
        Round-robin position among all peers.
    """

    credit_bytes: float = 0
    updated_at: float = 0
    new_peers: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_NEW_PEERS),
    )
    next_index: int = 0


def calculate_supplement_size(supplement: Supplement) -> int:
    """Return the size of a supplement on the network, in bytes."""
    return BASE_SUPPLEMENT_BYTES + len(supplement.speeds) * SPEED_BYTES


def is_supplement_due(schedule: SupplementSchedule, now: float) -> bool:
    """Refill the credit, and tell whether it pays for a full supplement."""
    rate = REPORT_BYTES_PER_SECOND * BANDWIDTH_SHARE
    elapsed = max(0, now - schedule.updated_at)
    schedule.updated_at = now
    schedule.credit_bytes = min(
        schedule.credit_bytes + rate * elapsed, rate * SAVED_SECONDS
    )
    full_size = BASE_SUPPLEMENT_BYTES + MAX_SPEEDS * SPEED_BYTES
    return schedule.credit_bytes >= full_size


def pick_supplement_target(
    schedule: SupplementSchedule,
    table: PeerTable,
    supplement: Supplement,
    now: float,
) -> str | None:
    """Pick the receiver of a supplement, and take its bytes off the budget.

    Parameters
    ----------
    schedule : SupplementSchedule
        Changed in place.
    table : PeerTable
        Peers and the budget of the reports; changed in place.
    supplement : Supplement
        What is to be sent.
    now : float
        Seconds of this balancer's clock.

    Returns
    -------
    str or None
        IPv4 address; None without a live peer or without budget.
    """
    live = [host for host, peer in table.peers.items() if peer.report]
    size = calculate_supplement_size(supplement)
    if not live or not take_budget(table, size, now):
        return None
    schedule.credit_bytes -= size
    while schedule.new_peers:
        host = schedule.new_peers.popleft()
        if host in live:
            return host
    schedule.next_index += 1
    return live[schedule.next_index % len(live)]
