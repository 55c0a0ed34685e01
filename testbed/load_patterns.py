"""Load patterns of callers and endpoints for replays."""

from dataclasses import dataclass, replace
from typing import Final


@dataclass(frozen=True, slots=True)
class CallerClass:
    """Requests of one route.

    Parameters
    ----------
    name : str
        Name of the route.
    port : int
        Port of the route.
    priority : int
        Priority; zero is the most urgent.
    per_second : float
        Requests per second without a burst.
    goal_seconds, timeout_seconds : float
        Time in which a request should be answered, and after which its caller
        gives up.
    work_seconds : float
        Mean time that a request occupies a slot.
    has_long_flows : bool
        Whether a caller sends many requests on one flow; otherwise each
        request has a flow of its own.
    data_centre : str
        Data centre whose balancers its packets reach.
    """

    name: str
    port: int
    priority: int
    per_second: float
    goal_seconds: float
    timeout_seconds: float
    work_seconds: float
    has_long_flows: bool = False
    data_centre: str = 'a'


@dataclass(frozen=True, slots=True)
class Burst:
    """Time in which a class sends more requests.

    Parameters
    ----------
    name : str
        Name of the class.
    factor : float
        Multiple of the usual rate.
    start, end : float
        Simulated seconds.
    """

    name: str
    factor: float
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Time in which endpoints receive nothing; they lose what they had.

    Parameters
    ----------
    endpoints : int
        Number of endpoints.
    start, end : float
        Simulated seconds.
    """

    endpoints: int
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class DataCentreDrain:
    """Time in which the endpoints of a data centre take no new flows.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    start, end : float
        Simulated seconds.
    """

    data_centre: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """Callers, bursts and endpoints of a replay.

    Parameters
    ----------
    classes : tuple of CallerClass
        All requests go to one service.
    bursts : tuple of Burst
        At most one at a time for each class.
    endpoints, slots : int
        Number of endpoints, and of the slots of each.
    queued_per_slot : int
        Limit of the queue of an endpoint. In a full queue, a request waits
        longer than its latency goal.
    seconds : float
        Simulated time in which requests are sent.
    lost_endpoints : int
        Number of endpoints that take no new flows.
    balancers : int
        Number of balancers.
    report_round_seconds : float
        Time in which each balancer sends a report to every other one.
    leaves_openings_unanswered : bool
        Whether a full endpoint leaves an opening packet unanswered. Otherwise
        it rejects the request.
    outage : Outage or None
        Endpoints that receive nothing for some time.
    speeds : tuple of float
        Speeds that the endpoints have in turn; a request takes its work
        divided by the speed.
    tail_share, tail_factor : float
        Share of the requests that take longer, and how many times.
    data_centres : tuple of str
        Data centres to which endpoints and balancers belong in turn.
    drain : DataCentreDrain or None
        Loss and return of the endpoints of a data centre.
    """

    classes: tuple[CallerClass, ...]
    bursts: tuple[Burst, ...] = ()
    endpoints: int = 7
    slots: int = 2
    queued_per_slot: int = 6
    seconds: float = 12
    lost_endpoints: int = 0
    balancers: int = 4
    report_round_seconds: float = 0.1
    leaves_openings_unanswered: bool = False
    outage: Outage | None = None
    speeds: tuple[float, ...] = (1,)
    tail_share: float = 0
    tail_factor: float = 1
    data_centres: tuple[str, ...] = ('a',)
    drain: DataCentreDrain | None = None


FEEDS: Final = CallerClass(
    'feeds', 7001, 2, 140, 0.12, 1.5, 0.022, has_long_flows=True
)
NOTES: Final = CallerClass('notes', 7002, 1, 40, 0.15, 1.0, 0.029)

#: Nothing unusual: two fifths of the slots are in use.
CALM: Final = LoadPattern((FEEDS, NOTES))
#: A peak that is over before it is known to last.
SHORT_PEAK: Final = LoadPattern((FEEDS, NOTES), (Burst('feeds', 4, 4, 4.4),))
#: The less urgent requests arrive at five times their rate.
FLOOD_OF_FEEDS: Final = LoadPattern((FEEDS, NOTES), (Burst('feeds', 5, 3, 11),))
#: All requests arrive at four times their rate while endpoints are gone.
FLOOD_WITH_LOST_ENDPOINTS: Final = LoadPattern(
    (FEEDS, NOTES),
    (Burst('feeds', 4, 3, 9), Burst('notes', 4, 3, 9)),
    lost_endpoints=2,
)
#: The most urgent requests arrive at ten times their rate.
FLOOD_OF_NOTES: Final = LoadPattern((FEEDS, NOTES), (Burst('notes', 10, 3, 9),))
#: The flood of all requests with callers of feeds that give up soon.
FLOOD_OF_IMPATIENT_CALLERS: Final = replace(
    FLOOD_WITH_LOST_ENDPOINTS,
    classes=(replace(FEEDS, timeout_seconds=0.8), NOTES),
)

VIEWS: Final = CallerClass('views', 7003, 1, 193, 0.553, 2.764, 0.034)
BOOKINGS: Final = CallerClass('bookings', 7004, 0, 55, 0.552, 2.758, 0.044)

#: Many balancers with old reports, and a flow for each request.
MANY_BALANCERS: Final = LoadPattern(
    (VIEWS, BOOKINGS),
    endpoints=20,
    queued_per_slot=4,
    seconds=14,
    balancers=20,
    report_round_seconds=4,
    leaves_openings_unanswered=True,
)
#: All requests at several times their rate while endpoints are silent.
FLOOD_WITH_SILENT_ENDPOINTS: Final = replace(
    MANY_BALANCERS,
    bursts=(Burst('views', 6, 3, 10), Burst('bookings', 6, 3, 10)),
    outage=Outage(5, 3, 8),
)
#: The less urgent of many short flows at ten times their rate.
FLOOD_OF_VIEWS: Final = replace(
    MANY_BALANCERS, seconds=9, bursts=(Burst('views', 10, 3, 6),)
)

CUES: Final = CallerClass('cues', 7005, 1, 146, 0.25, 2.5, 0.055, True)
REMARKS: Final = CallerClass('remarks', 7006, 0, 41.6, 0.3, 3.0, 0.072)

#: Long flows at ten times their rate; full endpoints reject at once.
FLOOD_OF_CUES: Final = LoadPattern(
    (CUES, REMARKS),
    (Burst('cues', 10, 3, 6),),
    slots=3,
    queued_per_slot=3,
    seconds=9,
    balancers=9,
    report_round_seconds=0.4,
)

#: A quarter of the endpoints is less than half as fast as the others, a few
#: requests take long anywhere, and seven tenths of the room is in use.
UNEQUAL_ENDPOINTS: Final = LoadPattern(
    (CallerClass('lookups', 7003, 1, 640, 0.12, 2, 0.03),),
    endpoints=16,
    speeds=(0.5, 1.2, 1.2, 1.2),
    tail_share=0.03,
    tail_factor=7,
)

_NORTH: Final = CallerClass('north', 7004, 1, 100, 0.12, 1.5, 0.03)
_SOUTH: Final = replace(_NORTH, name='south', port=7005, data_centre='b')
#: Demand in opposite phase: most callers are in one of two data centres, and
#: then within no time in the other one.
OPPOSITE_DEMAND: Final = LoadPattern(
    (_NORTH, _SOUTH),
    (
        Burst('north', 6, 1, 4),
        Burst('south', 6, 4, 7),
        Burst('north', 6, 7, 10),
    ),
    endpoints=16,
    data_centres=('a', 'b'),
)
#: Even demand while the endpoints of one data centre are lost and return.
LOST_DATA_CENTRE: Final = LoadPattern(
    (
        replace(_NORTH, per_second=160),
        replace(_SOUTH, per_second=160),
    ),
    endpoints=16,
    data_centres=('a', 'b'),
    drain=DataCentreDrain('a', 3, 7),
)
#: Half of the endpoints of one data centre are slow, and its demand is high.
HALF_SLOW_DATA_CENTRE: Final = LoadPattern(
    (
        replace(_NORTH, per_second=400),
        replace(_SOUTH, per_second=160),
    ),
    endpoints=16,
    speeds=(0.4, 1, 1, 1),
    data_centres=('a', 'b'),
)
#: More callers in one data centre than the endpoints of both can serve.
FLOOD_OF_ONE_DATA_CENTRE: Final = replace(
    OPPOSITE_DEMAND,
    classes=(_NORTH, replace(_SOUTH, per_second=200)),
    bursts=(Burst('north', 10, 3, 8),),
)
