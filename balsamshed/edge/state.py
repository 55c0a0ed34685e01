"""State of an edge balancer."""

from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.history import ViewHistory
from balsamshed.peers.supplement import SupplementSchedule
from balsamshed.peers.table import PeerTable
from balsamshed.random_numbers import RandBelow
from balsamshed.routes.history import RouteHistory
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions
from balsamshed.steering.state import Steering, create_steering, is_ready
from balsamshed.store.polling import ReadState

#: Minimum gap between ticks that counts as a pause of the process.
MIN_PAUSE_SECONDS: Final = 0.6
#: Time in which reports queued in the socket during a pause are all read.
STALE_REPORTS_SECONDS: Final = 0.3
#: Callers give up on an opening packet after this time.
OPENING_LIFETIME_SECONDS: Final = 1.4
#: Packets wait for the first view of a balancer no longer than this, so that
#: their callers have not given up when they are read.
MAX_QUEUED_SECONDS: Final = 1.0


@dataclass(slots=True)
class Edge:
    """An edge balancer without its sockets, timers and codecs.

    Attributes
    ----------
    data_centre : str
        Data centre that it runs in.
    steering : Steering
        State of the packet path.
    reads : ReadState
        State of the reads of the store.
    peer_table : PeerTable
        Peers and their reports.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    grace_seconds : float
        Time from the request to stop until the process is killed, in
        seconds.
    is_seed : bool
        Whether the settings of other balancers list it as a seed.
    started_at : float
        Time of the start.
    history : ViewHistory
        Last view of the store's endpoints and the latest changes to it.
    route_history : RouteHistory
        Routes in force and their latest changes.
    routes_applied_at : float or None
        Time at which the current routes came into force.
    stop_requested_at : float or None
        Time of the request to stop.
    last_packet_at : float
        Time of the last packet.
    last_tick_at : float
        Time of the last tick.
    stale_reports_until : float
        Until then, reports may have been queued while the process was paused,
        so their ages are not trusted.
    openings_dropped_until : float
        Until then, opening packets may have been queued during a pause that
        outlasted their callers' patience, and the view may be as old.
    fetch_started_at : float or None
        Start of the fetch of a peer's view that is in progress.
    fetch_failures : int
        Consecutive failed fetches.
    fetch_retry_at : float
        Earliest time of the next fetch after a failure.
    needs_whole_view : bool
        Whether the next fetch asks for a whole view, since the changes that
        a peer sent did not lead to its view.
    needs_all_routes : bool
        The same for the routes.
    packets_discarded_at : float
        Time at which waiting packets were last discarded; that of the start
        before.
    has_accepted_packets : bool
        Whether it has started to read the packets of callers.
    has_been_ready : bool
        Whether it has ever been ready.
    read_started_at : float
        Start of the last read of the store.
    suspected_cookies : frozenset of int
        Cookies of the endpoints that were under suspicion at the last tick.
    supplements : SupplementSchedule
        When supplements to the reports are sent.
    busy_services : frozenset of str
        Services whose flows could leave this data centre at the last tick.
    speeds_refreshed_at : float
        Time at which the speeds of endpoints were last refreshed.
    """

    data_centre: str
    steering: Steering
    reads: ReadState
    peer_table: PeerTable
    randbelow: RandBelow
    grace_seconds: float
    is_seed: bool
    started_at: float
    history: ViewHistory = field(default_factory=ViewHistory)
    route_history: RouteHistory = field(default_factory=RouteHistory)
    routes_applied_at: float | None = None
    stop_requested_at: float | None = None
    last_packet_at: float = 0
    last_tick_at: float = 0
    stale_reports_until: float = 0
    openings_dropped_until: float = 0
    fetch_started_at: float | None = None
    fetch_failures: int = 0
    fetch_retry_at: float = 0
    needs_whole_view: bool = False
    needs_all_routes: bool = False
    packets_discarded_at: float = 0
    has_accepted_packets: bool = False
    has_been_ready: bool = False
    read_started_at: float = 0
    suspected_cookies: frozenset[int] = frozenset()
    supplements: SupplementSchedule = field(default_factory=SupplementSchedule)
    busy_services: frozenset[str] = frozenset()
    speeds_refreshed_at: float = 0


def create_edge(
    data_centre: str,
    own_host: str,
    flow_lifetime_seconds: float,
    grace_seconds: float,
    is_seed: bool,
    randbelow: RandBelow,
    now: float,
    options: EdgeOptions = NO_OPTIONS,
) -> Edge:
    """Create the state of an edge balancer that has just started."""
    peer_table = PeerTable(own_host, data_centre)
    steering = create_steering(
        data_centre,
        flow_lifetime_seconds,
        peer_table,
        randbelow,
        options,
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
        history=ViewHistory(
            tracks_warm_ups=options.cold_start_limit is not None,
        ),
        last_tick_at=now,
        packets_discarded_at=now,
    )


def detect_pause(edge: Edge, now: float) -> float:
    """Detect a pause of the process, and distrust what was queued in it.

    The event loop serves sockets before timers, so the handlers of reports
    and packets call this as well as the tick.

    Parameters
    ----------
    edge : Edge
        Changed in place.
    now : float
        Seconds of the balancer's clock.

    Returns
    -------
    float
        Length of the pause in seconds; 0 without one.
    """
    gap = now - edge.last_tick_at
    if gap < MIN_PAUSE_SECONDS:
        return 0
    edge.stale_reports_until = now + STALE_REPORTS_SECONDS
    if gap >= OPENING_LIFETIME_SECONDS:
        edge.openings_dropped_until = edge.stale_reports_until
    return gap


def accepts_traffic(edge: Edge) -> bool:
    """Tell whether the routers should send packets to this balancer.

    A balancer stays ready after its last endpoint leaves, since open flows
    still pass through it.
    """
    if edge.stop_requested_at is not None:
        return False
    return edge.has_been_ready or is_ready(edge.steering)
