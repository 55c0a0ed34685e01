"""Workloads and scenarios of the load model."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from balsamshed.configuration.resources import (
    BackendServer,
    Listener,
    ListenerKind,
    Service,
    WorkClass,
)
from balsamshed.configuration.routing import Route

#: Feeds in the model for each real feed; a backend server has about 2,000.
FEED_SCALE: Final = 0.1
FEEDS_PER_SERVER: Final = 200
MEAN_FEED_SECONDS: Final = 60.0

#: Ordinary load as a share of the capacity of a service.
ORDINARY_LOAD: Final = 0.6

#: Start and end of a flood, in seconds from the start of the run.
FLOOD_START: Final = 10.0
FLOOD_END: Final = 20.0
#: Time of a death or drain, half-way through the flood.
EVENT_TIME: Final = 15.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """A service and its load of requests.

    Parameters
    ----------
    name : str
        Name of the service.
    server_count, slots : int
        Number of backend servers and the slots of each.
    listener : str
        Name of its request listener.
    work_class : WorkClass
        Class of its requests.
    service_seconds : float
        Mean run time of a request at an idle backend server.
    has_feeds : bool
        Whether the service has a listener for feeds.
    """

    name: str
    server_count: int
    slots: int
    listener: str
    work_class: WorkClass
    service_seconds: float
    has_feeds: bool

    @property
    def capacity(self) -> float:
        """Requests per second that all backend servers run together."""
        return self.server_count * self.slots / self.service_seconds


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its own group of balancers.

    Parameters
    ----------
    name : str
        Name of the customer.
    services : tuple of ServiceLoad
        Services, the most urgent one first.
    delay_range_seconds : tuple of float
        Shortest and longest one-way delay to a backend server, in seconds.
    """

    name: str
    services: tuple[ServiceLoad, ...]
    delay_range_seconds: tuple[float, float]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Faults and load of a run.

    Parameters
    ----------
    name : str
        Name in the printed lines.
    seconds : float
        Duration of the run.
    report_lag_seconds : float
        Age of the content of a load report that the report does not state.
    reports_stop_at : float
        Time from which no load reports are sent.
    fault : str
        Fault of the first backend server of each service from the start:
        ``slow``, ``refuse``, ``silent``, ``cold`` or empty. Slow and
        refusing servers report that they are idle; a cold one joins when a
        flood would start.
    speeds : tuple of float
        Speeds of the first backend servers of each service; the others
        have 1.
    floods : mapping of WorkClass to float
        Total arrivals of a class during the flood, as a multiple of the
        service's capacity.
    event : str
        ``death`` of a balancer or ``drain`` of a backend server at
        `EVENT_TIME`, or empty.
    """

    name: str
    seconds: float = 30
    report_lag_seconds: float = 0
    reports_stop_at: float = 1e9
    fault: str = ''
    speeds: tuple[float, ...] = ()
    floods: Mapping[WorkClass, float] = field(default_factory=dict)
    event: str = ''


CUSTOMERS: Final = (
    Customer(
        'buanderie',
        (
            ServiceLoad(
                'creneau', 7, 2, 'reservations', WorkClass.URGENT, 0.04, True
            ),
            ServiceLoad(
                'registre', 3, 2, 'receipts', WorkClass.BULK, 0.1, False
            ),
        ),
        (0.0005, 0.001),
    ),
    Customer(
        'loxley',
        (
            ServiceLoad('cuedesk', 7, 3, 'notes', WorkClass.URGENT, 0.04, True),
            ServiceLoad(
                'scriptvault', 4, 3, 'files', WorkClass.BULK, 0.2, False
            ),
        ),
        (0.0005, 0.001),
    ),
)

STEADY_SCENARIOS: Final = (
    Scenario('calm'),
    Scenario('reports_lag', report_lag_seconds=1),
    Scenario('reports_stop', reports_stop_at=10),
    Scenario('lie_slow', fault='slow'),
    Scenario('lie_refuse', fault='refuse'),
    Scenario('silent', fault='silent'),
    Scenario('cold_start', fault='cold'),
    Scenario('unequal_speed', speeds=(0.5, 0.75)),
)

FLOOD_SCENARIOS: Final = tuple(
    Scenario(
        f'flood_{work_class}_{factor}x{suffix}',
        seconds=35,
        floods={work_class: factor},
        event=suffix.removeprefix('_'),
    )
    for work_class in (WorkClass.BULK, WorkClass.URGENT)
    for factor, suffix in ((2, ''), (10, ''), (10, '_death'), (10, '_drain'))
)

#: The runs of the flood scenarios without a flood, for comparison.
REFERENCE_SCENARIOS: Final = tuple(
    Scenario(f'reference_{event or "calm"}', seconds=35, event=event)
    for event in ('', 'death', 'drain')
)


def build_routes(customer: Customer) -> dict[str, Route]:
    """Return the routes of a customer, keyed by the listener's name."""
    routes = {}
    for index, load in enumerate(customer.services):
        listeners = [
            Listener(
                load.listener, 7001, ListenerKind.REQUEST, load.work_class, 2
            ),
        ]
        if load.has_feeds:
            listeners.append(
                Listener('feeds', 7000, ListenerKind.FEED, WorkClass.FEED, 2),
            )
        service = Service(
            load.name, customer.name, 0x0A090000 + index, tuple(listeners)
        )
        servers = tuple(
            BackendServer(
                name=f'{load.name}-{number}',
                service=load.name,
                host=0x0A080000 + 256 * index + number,
                data_centre=f'dc-{number % 3}',
                slots=load.slots,
                load_url='',
                draining=False,
                quiet_periods=(),
            )
            for number in range(load.server_count)
        )
        for listener in listeners:
            routes[listener.name] = Route(service, listener, servers)
    return routes
