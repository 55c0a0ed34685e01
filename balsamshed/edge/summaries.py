"""Summary of an edge balancer for operators."""

from dataclasses import dataclass

from balsamshed.edge.state import Edge
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.state import is_evacuated
from balsamshed.store.polling import get_view_age
from balsamshed.store.revisions import format_revision


@dataclass(frozen=True, slots=True)
class EndpointSummary:
    """An endpoint as one balancer sees it.

    Parameters
    ----------
    endpoint : str
        Instance ID in hexadecimal.
    service : str
        Service that it serves.
    address : str
        Host and port.
    data_centre : str
        Data centre that it runs in.
    state : str
        ``ready``, ``draining``, ``evacuated`` if its data centre is, or
        ``missing`` if its entry expired during an outage of the store and the
        endpoint is retained for a short time.
    is_suspected : bool
        Whether new flows avoid it because it left opening packets unanswered.
    in_flight : int
        Requests in flight from this balancer and its peers.
    relative_duration : float
        Factor of the durations of its requests that placement uses; 1 for an
        endpoint that is as fast as the others of its service.
    """

    endpoint: str
    service: str
    address: str
    data_centre: str
    state: str
    is_suspected: bool
    in_flight: int
    relative_duration: float


@dataclass(frozen=True, slots=True)
class EdgeSummary:
    """State of an edge balancer at one moment.

    Parameters
    ----------
    name : str
        Name of the balancer.
    data_centre : str
        Data centre that it runs in.
    is_ready : bool
        Whether it accepts traffic.
    version : int
        Version of the configuration in force; -1 without one.
    version_seconds : float or None
        Time since that version came into force.
    revision : str
        Store revision of its view, with the store's era; -1 without a view.
    age_seconds : float or None
        Time since the store confirmed the view; None without a confirmation.
    routes : int
        Number of routes in force.
    endpoints : tuple of EndpointSummary
        Known endpoints, sorted by service and address.
    peers : tuple of str
        IPv4 addresses of the peers with a current report.
    evacuated : tuple of str
        Evacuated data centres, sorted.
    """

    name: str
    data_centre: str
    is_ready: bool
    version: int
    version_seconds: float | None
    revision: str
    age_seconds: float | None
    routes: int
    endpoints: tuple[EndpointSummary, ...]
    peers: tuple[str, ...]
    evacuated: tuple[str, ...] = ()


def summarize_edge(edge: Edge, name: str, now: float) -> EdgeSummary:
    """Return the summary of an edge balancer.

    Parameters
    ----------
    edge : Edge
        State of the balancer.
    name : str
        Name of the balancer.
    now : float
        Seconds of the balancer's clock.
    """
    routes = edge.steering.routes
    endpoints = [
        _summarize_endpoint(edge, endpoint)
        for endpoint in edge.steering.directory.endpoints.values()
    ]
    has_age = edge.reads.confirmed_at is not None
    since = edge.routes_applied_at
    return EdgeSummary(
        name=name,
        data_centre=edge.data_centre,
        is_ready=edge.has_been_ready and edge.stop_requested_at is None,
        version=routes.version,
        version_seconds=None if since is None else now - since,
        revision=format_revision(edge.reads.revision),
        age_seconds=get_view_age(edge.reads, now) if has_age else None,
        routes=len(routes.routes),
        endpoints=tuple(sorted(endpoints, key=_get_sort_key)),
        peers=tuple(
            sorted(
                host
                for host, peer in edge.peer_table.peers.items()
                if peer.report is not None
            ),
        ),
        evacuated=tuple(sorted(edge.steering.evacuations.in_force)),
    )


def _summarize_endpoint(edge: Edge, endpoint: Endpoint) -> EndpointSummary:
    tracker = edge.steering.load_tracker
    cookie = endpoint.cookie
    state = 'draining' if endpoint.is_draining else 'ready'
    if is_evacuated(edge.steering.evacuations, endpoint):
        state = 'evacuated'
    if endpoint.instance in edge.steering.directory.missing_since:
        state = 'missing'
    return EndpointSummary(
        endpoint=f'{endpoint.instance:x}',
        service=endpoint.service,
        address=f'{endpoint.host}:{endpoint.port}',
        data_centre=endpoint.data_centre,
        state=state,
        is_suspected=cookie in edge.suspected_cookies,
        in_flight=tracker.own_in_flight.get(cookie, 0)
        + tracker.peer_in_flight.get(cookie, 0),
        relative_duration=(tracker.relative_durations or {}).get(cookie, 1),
    )


def _get_sort_key(summary: EndpointSummary) -> tuple[str, str]:
    return summary.service, summary.address
