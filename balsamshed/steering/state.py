"""State of the packet path of one balancer."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.directory import (
    EndpointDirectory,
)
from balsamshed.evacuations.state import (
    EvacuationState,
)
from balsamshed.limits.admission import (
    ServiceLoad,
)
from balsamshed.limits.hedging import (
    Hedging,
    create_hedging,
)
from balsamshed.peers.table import PeerTable
from balsamshed.placement.cold_starts import (
    ColdStarts,
)
from balsamshed.placement.data_centres import (
    ServiceSpread,
)
from balsamshed.placement.in_flight import (
    EndpointLoadTracker,
)
from balsamshed.placement.speeds import EndpointSpeeds, forget_routes
from balsamshed.random_numbers import RandBelow
from balsamshed.routes.table import RouteTable, choose_newer
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions
from balsamshed.steering.overload import (
    OverloadControl,
    forget_services,
)
from balsamshed.steering.requests import (
    LatencySample,
    RequestTable,
)

#: Capacity of the queue of samples for the next scrape of the metrics.
MAX_LATENCY_SAMPLES: Final = 1000


@dataclass(slots=True)
class Steering:
    """State of the packet path of one balancer.

    Attributes
    ----------
    directory : EndpointDirectory
        Known endpoints.
    requests : RequestTable
        Requests in flight.
    load_tracker : EndpointLoadTracker
        Load of endpoints; its `own_in_flight` is ``requests.counts``.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    routes : RouteTable
        Routes in force.
    removed_listeners : set of int
        Keys of listeners whose routes were removed by a newer version.
    service_loads : dict of str to ServiceLoad
        Durations and free slots of each service.
    latency_samples : deque of LatencySample
        Latest samples that the metrics have not yet read.
    evacuations : EvacuationState
        Data centres whose endpoints get no new flows.
    hedging : Hedging or None
        Budget and state of hedged openings; None where none are sent.
    options : EdgeOptions
        Optional parts that are switched on.
    cold_starts : ColdStarts or None
        Limits of the endpoints that are warming up; None if the part is off.
    overload : OverloadControl or None
        Limits of admission, if that part is on.
    speeds : EndpointSpeeds or None
        Speeds of endpoints; None if they are not balanced by speed.
    spreads : dict of str to ServiceSpread
        Load of each service by data centre, if data centres are balanced.
    reporting_data_centres : mapping of str to int
        Number of live peers by data centre.
    """

    directory: EndpointDirectory
    requests: RequestTable
    load_tracker: EndpointLoadTracker
    randbelow: RandBelow
    routes: RouteTable = field(default_factory=RouteTable)
    removed_listeners: set[int] = field(default_factory=set)
    service_loads: dict[str, ServiceLoad] = field(default_factory=dict)
    latency_samples: deque[LatencySample] = field(
        default_factory=lambda: deque(maxlen=MAX_LATENCY_SAMPLES),
    )
    evacuations: EvacuationState = field(default_factory=EvacuationState)
    hedging: Hedging | None = None
    options: EdgeOptions = NO_OPTIONS
    cold_starts: ColdStarts | None = None
    overload: OverloadControl | None = None
    speeds: EndpointSpeeds | None = None
    spreads: dict[str, ServiceSpread] = field(default_factory=dict)
    reporting_data_centres: Mapping[str, int] = field(default_factory=dict)


def create_steering(
    data_centre: str,
    flow_lifetime_seconds: float,
    peer_table: PeerTable,
    randbelow: RandBelow,
    options: EdgeOptions = NO_OPTIONS,
) -> Steering:
    """Create the state of a balancer without routes or endpoints.

    Parameters
    ----------
    data_centre : str
        Data centre of the balancer.
    flow_lifetime_seconds : float
        Longest life of a flow.
    peer_table : PeerTable
        Loads and suspicions that other balancers report.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    options : EdgeOptions
        Optional parts that are switched on.
    """
    directory = EndpointDirectory(flow_lifetime_seconds)
    requests = RequestTable()
    speeds = EndpointSpeeds() if options.balances_by_speed else None
    load_tracker = EndpointLoadTracker(
        data_centre,
        requests.counts,
        peer_table.in_flight,
        peer_table.suspecting_peers,
        relative_durations=(
            None if speeds is None else speeds.relative_durations
        ),
    )
    overload = None
    if options.limits_admission:
        overload = OverloadControl(
            directory, requests, load_tracker, peer_table
        )
    return Steering(
        directory,
        requests,
        load_tracker,
        randbelow,
        hedging=create_hedging(options.hedge_limit),
        options=options,
        cold_starts=(
            ColdStarts(options.cold_start_limit, peer_table.own_host)
            if options.cold_start_limit
            else None
        ),
        overload=overload,
        speeds=speeds,
        reporting_data_centres=peer_table.data_centres,
    )


def has_view(steering: Steering) -> bool:
    """Return whether routes are in force and endpoints were listed."""
    return steering.routes.version >= 0 and steering.directory.revision >= 0


def is_ready(steering: Steering) -> bool:
    """Return whether routes are in force and an endpoint takes new flows."""
    return has_view(steering) and bool(steering.directory.available_by_service)


def replace_routes(steering: Steering, table: RouteTable) -> bool:
    """Put a newer version of the routes in force.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    table : RouteTable
        Table of any version; unless it is newer than the one in force, it is
        ignored.

    Returns
    -------
    bool
        Whether the table was put in force.
    """
    previous = steering.routes
    if choose_newer(previous, table) is previous:
        return False
    steering.routes = table
    steering.removed_listeners.update(previous.routes)
    steering.removed_listeners.difference_update(table.routes)
    for service in steering.service_loads.keys() - table.services:
        del steering.service_loads[service]
    for service in steering.spreads.keys() - table.services:
        del steering.spreads[service]
    if steering.speeds is not None:
        forget_routes(steering.speeds, table.routes)
    if steering.overload is not None:
        forget_services(steering.overload, table.services)
    return True
