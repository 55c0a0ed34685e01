"""View of the store that a balancer sends to a peer."""

from dataclasses import dataclass

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.history import EndpointChanges
from balsamshed.evacuations.view import EvacuationView
from balsamshed.routes.history import RouteChanges
from balsamshed.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class StoreView:
    """View of the store, or the part of it that a peer lacks.

    Parameters
    ----------
    endpoints : EndpointView or EndpointChanges
        All endpoints, or the changes since the peer's view.
    routes : RouteTable or RouteChanges or None
        Routes in force, or their changes since the peer's version; None if
        the peer has the same version.
    evacuations : EvacuationView or None
        Evacuations, at a revision of their own; None if they are not known.
    """

    endpoints: EndpointView | EndpointChanges
    routes: RouteTable | RouteChanges | None
    evacuations: EvacuationView | None = None
