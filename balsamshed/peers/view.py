"""What a balancer passes on of its view of the store."""

from dataclasses import dataclass

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.history import EndpointChanges
from balsamshed.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class StoreView:
    """View of the store, or what a peer lacks of it.

    Parameters
    ----------
    endpoints : EndpointView or EndpointChanges
        All endpoints, or what changed since the peer's view.
    routes : RouteTable or None
        Routes in force; None if the peer has that version.
    """

    endpoints: EndpointView | EndpointChanges
    routes: RouteTable | None
