"""Choice of the data centre of a flow, by the room that each one has.

Flows stay in the data centre of their balancer until most of its slots are in
use. From then on, each opening is compared with one other data centre, chosen
at random in proportion to the room there, so that balancers do not all choose
the same one. It leaves only if an endpoint there is less loaded by more than
the penalty of another data centre.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.placement.in_flight import EndpointLoadTracker, is_suspected
from balsamshed.random_numbers import RandBelow

#: Requests in flight for each slot of a data centre from which openings may
#: leave it, and below which they no longer do.
LEAVING_LOAD: Final = 0.8
STAYING_LOAD: Final = 0.6
#: Requests in flight for each slot up to which another data centre has room.
#: Beyond it, its queues are left to its own callers.
LENDING_LOAD: Final = 2.5
#: Time for which the sums of a service are kept.
REFRESH_SECONDS: Final = 0.05


@dataclass(slots=True)
class DataCentreLoad:
    """Slots and load of the endpoints of a service in one data centre.

    Attributes
    ----------
    endpoints : list of Endpoint
        Endpoints that take new flows and are not suspected.
    slots : int
        Sum of their slots.
    requests : int
        Requests in flight there, of this balancer and its peers.
    """

    endpoints: list[Endpoint] = field(default_factory=list)
    slots: int = 0
    requests: int = 0


@dataclass(slots=True)
class ServiceSpread:
    """Load of a service by data centre, as of the last refresh.

    Attributes
    ----------
    loads : dict of str to DataCentreLoad
        Loads by data centre.
    candidates : sequence of Endpoint
        Endpoints that the loads were summed for.
    refreshed_at : float
        Monotonic time of the refresh; minus infinity before the first.
    is_leaving : bool
        Whether openings leave the data centre of this balancer.
    """

    loads: dict[str, DataCentreLoad] = field(default_factory=dict)
    candidates: Sequence[Endpoint] = ()
    refreshed_at: float = float('-inf')
    is_leaving: bool = False


def choose_data_centres(
    spread: ServiceSpread,
    tracker: EndpointLoadTracker,
    candidates: Sequence[Endpoint],
    reporting: Collection[str],
    randbelow: RandBelow,
    now: float,
) -> Sequence[Endpoint]:
    """Return the candidates in the data centres that a new flow may go to.

    Parameters
    ----------
    spread : ServiceSpread
        Load of the service; changed in place.
    tracker : EndpointLoadTracker
        Load and suspicions of the endpoints.
    candidates : sequence of Endpoint
        Endpoints of the service that take new flows.
    reporting : collection of str
        Data centres with a live peer. The load of others is not known, which
        does not make them idle.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    now : float
        Monotonic seconds.

    Returns
    -------
    sequence of Endpoint
        Candidates in the data centre of this balancer, with those of another
        one if flows may leave it. All candidates if none of its own endpoints
        is usable, and no other data centre is known to have room.
    """
    is_due = now - spread.refreshed_at >= REFRESH_SECONDS
    if is_due or spread.candidates != candidates:
        _refresh(spread, tracker, candidates, now)
    own = spread.loads.get(tracker.data_centre)
    if own is not None and not spread.is_leaving:
        return own.endpoints
    others = [
        load
        for name, load in spread.loads.items()
        if load is not own and name in reporting
    ]
    room = sum(map(get_room, others))
    if own is None:
        return _choose_by_room(others, randbelow(room)) if room else candidates
    if not room:
        return own.endpoints
    return [*own.endpoints, *_choose_by_room(others, randbelow(room))]


def get_room(load: DataCentreLoad) -> int:
    """Return the requests that a data centre takes from others."""
    return max(0, int(load.slots * LENDING_LOAD) - load.requests)


def _refresh(
    spread: ServiceSpread,
    tracker: EndpointLoadTracker,
    candidates: Sequence[Endpoint],
    now: float,
) -> None:
    loads: dict[str, DataCentreLoad] = {}
    own_in_flight, peer_in_flight = (
        tracker.own_in_flight,
        tracker.peer_in_flight,
    )
    for endpoint in candidates:
        cookie = endpoint.cookie
        if is_suspected(tracker, cookie, now):
            continue
        load = loads.get(endpoint.data_centre)
        if load is None:
            load = DataCentreLoad()
            loads[endpoint.data_centre] = load
        load.endpoints.append(endpoint)
        load.slots += endpoint.slots
        load.requests += own_in_flight.get(cookie, 0)
        load.requests += peer_in_flight.get(cookie, 0)
    spread.loads = loads
    spread.candidates = candidates
    spread.refreshed_at = now
    own = loads.get(tracker.data_centre)
    if own is not None:
        bound = STAYING_LOAD if spread.is_leaving else LEAVING_LOAD
        spread.is_leaving = own.requests > bound * own.slots


def _choose_by_room(
    loads: Iterable[DataCentreLoad], position: int
) -> Sequence[Endpoint]:
    """Return the endpoints at a position from 0 to below the whole room."""
    for load in loads:
        position -= get_room(load)
        if position < 0:
            break
    return load.endpoints
