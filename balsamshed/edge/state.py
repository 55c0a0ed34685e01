"""State of an edge balancer."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.history import ViewHistory
from balsamshed.peers.table import PeerTable
from balsamshed.steering.decisions import Steering, create_steering, is_ready
from balsamshed.store.polling import ReadState

#: A tick that comes this late means that the process was paused.
MIN_PAUSE_SECONDS: Final = 0.6
#: Reports that waited in the socket during a pause are read within this time.
STALE_REPORTS_SECONDS: Final = 0.3


@dataclass(slots=True)
class Edge:
    """An edge balancer without its sockets, timers and codecs.

    Attributes
    ----------
    data_centre : str
        Data centre that it runs in.
    steering : Steering
        Packet path.
    reads : ReadState
        Reads of the store.
    peer_table : PeerTable
        Other balancers.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    grace_seconds : float
        Time from the request to stop until the process is killed.
    is_seed : bool
        Whether other balancers know it from their settings.
    started_at : float
        Seconds of the start.
    history : ViewHistory
        Last view of the store's endpoints and its changes.
    routes_applied_at : float or None
        Time at which the routes came into force.
    stop_requested_at : float or None
        Time of the request to stop.
    last_packet_at : float
        Time of the last packet.
    last_tick_at : float
        Time of the last tick.
    stale_reports_until : float
        Reports that arrive earlier may have waited while the process was
        paused.
    fetch_started_at : float or None
        Start of the fetch of a peer's view in progress.
    fetch_failures : int
        Fetches that failed since one succeeded.
    fetch_retry_at : float
        No fetch starts before, after a failed one.
    has_been_ready : bool
        Whether it has been ready before.
    suspected_cookies : frozenset of int
        Cookies of the endpoints that were suspected at the last tick.
    """

    data_centre: str
    steering: Steering
    reads: ReadState
    peer_table: PeerTable
    randbelow: Callable[[int], int]
    grace_seconds: float
    is_seed: bool
    started_at: float
    history: ViewHistory = field(default_factory=ViewHistory)
    routes_applied_at: float | None = None
    stop_requested_at: float | None = None
    last_packet_at: float = 0
    last_tick_at: float = 0
    stale_reports_until: float = 0
    fetch_started_at: float | None = None
    fetch_failures: int = 0
    fetch_retry_at: float = 0
    has_been_ready: bool = False
    suspected_cookies: frozenset[int] = frozenset()


def create_edge(
    data_centre: str,
    own_host: str,
    flow_lifetime_seconds: float,
    grace_seconds: float,
    is_seed: bool,
    randbelow: Callable[[int], int],
    now: float,
) -> Edge:
    """Create the state of an edge balancer that has just started."""
    peer_table = PeerTable(own_host, data_centre)
    steering = create_steering(
        data_centre,
        flow_lifetime_seconds,
        peer_table,
        randbelow,
    )
    return Edge(
        data_centre,
        steering,
        ReadState(),
        peer_table,
        randbelow,
        grace_seconds,
        is_seed,
        started_at=now,
        last_tick_at=now,
    )


def detect_pause(edge: Edge, now: float) -> float:
    """Distrust reports for a while if the process was paused.

    The loop serves sockets before timers, so that whatever comes first after
    a pause has to notice it.

    Parameters
    ----------
    edge : Edge
        Changed in place.
    now : float
        Seconds of the balancer's clock.

    Returns
    -------
    float
        Length of the pause in seconds; zero if there was none.
    """
    gap = now - edge.last_tick_at
    if gap < MIN_PAUSE_SECONDS:
        return 0
    edge.stale_reports_until = now + STALE_REPORTS_SECONDS
    return gap


def accepts_traffic(edge: Edge) -> bool:
    """Tell whether the routers should send packets to this balancer.

    A balancer that was ready stays so when every endpoint leaves: open flows
    still need it.
    """
    if edge.stop_requested_at is not None:
        return False
    return edge.has_been_ready or is_ready(edge.steering)
