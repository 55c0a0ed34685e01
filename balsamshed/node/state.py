"""State of a balancer: one instance of each aggregate."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial

from balsamshed.audit.trail import AuditQueue
from balsamshed.configuration.catalog import Catalog, derive_routing_table
from balsamshed.configuration.resources import BackendServer
from balsamshed.configuration.routing import RoutingTable
from balsamshed.flows.copies import CopyQueue, has_allowance
from balsamshed.flows.derivation import CandidateHistory
from balsamshed.flows.table import FlowTable
from balsamshed.limits.limiter import Limiter
from balsamshed.limits.overload import OverloadState
from balsamshed.limits.retries import RetryBudget
from balsamshed.members.member import Member
from balsamshed.members.membership import (
    ControlAddress,
    Membership,
    create_membership,
)
from balsamshed.members.ownership import Ownership, assign_slots
from balsamshed.members.ownership_history import OwnershipHistory
from balsamshed.placement.load_tracker import HostLoadTracker
from balsamshed.placement.messages import LoadReport
from balsamshed.placement.policy import (
    PlacementPolicy,
    create_load_aware_policy,
)
from balsamshed.random_numbers import RandBelow
from balsamshed.status.status_object import StatusWriteState
from balsamshed.store.session import StoreSession


@dataclass(slots=True)
class Node:
    """A balancer without its sockets, timers and codecs.

    Attributes
    ----------
    name, data_centre, group : str
        Values from the settings.
    wall_offset_seconds : float
        Unix time minus the time of the monotonic clock.
    catalog : Catalog
        The balancer's replica of its group's records.
    routing : RoutingTable
        Routing table derived from the catalog.
    membership : Membership
        Membership of the group.
    view_version : int
        Version of the membership view that the ownership was computed from.
    ownership_history : OwnershipHistory
        Current and previous owners of the hash slots.
    ownership : Ownership
        Current assignment of hash slots, ``ownership_history.current``.
    reachable : frozenset of str
        Names of the members that packets may be relayed to.
    flows : FlowTable
        Entries of the flows that the balancer owns or backs up.
    copy_queue : CopyQueue
        Copies of flow entries to send to other members.
    previous_ownership : Ownership
        Assignment before the current one.
    running_since : float
        Monotonic seconds of the process start or of the end of the last pause.
    joined_at : float or None
        Monotonic seconds of the first contact with a member since then; None
        before it.
    handoff_scan : iterator of bytes
        Keys of the flows still to be checked after a change of ownership.
    candidate_history : CandidateHistory
        Candidate lists of the last minute, see `CandidateHistory`.
    load_tracker : HostLoadTracker
        Load of the backend servers.
    policy : PlacementPolicy
        Selects a backend server for a new flow.
    limiters : dict of str to Limiter
        Concurrency limiters, keyed by route name.
    retry_budgets : dict of str to RetryBudget
        Retry budgets, keyed by route name.
    overload : OverloadState
        Work classes that are refused because this process is overloaded.
    store_session : StoreSession
        State of the list and watch calls on the object store.
    status_writes : StatusWriteState
        State of the writes of the status object.
    audit_queue : AuditQueue
        Audit objects whose write the store has not confirmed.
    readers : tuple of str
        Names of the members that watch the store for this data centre.
    probe_targets : tuple of BackendServer
        Backend servers that this balancer probes on behalf of its group.
    unsent_reports : dict of int to (LoadReport, float)
        Load reports to send to peers, with the monotonic seconds of their
        arrival; keyed by host.
    idle_scan : iterator of bytes
        Keys of the flows still to be checked for idleness.
    compared_at : dict of str to float
        Monotonic seconds of the last catalog comparison, keyed by member name.
    due_at : dict of str to float
        Monotonic seconds at which each periodic task is due, keyed by task
        name.
    is_leaving : bool
        Whether the process was requested to stop.
    leave_requested_at : float
        Monotonic seconds of the stop request.
    """

    name: str
    data_centre: str
    group: str
    wall_offset_seconds: float
    catalog: Catalog
    routing: RoutingTable
    membership: Membership
    ownership_history: OwnershipHistory
    flows: FlowTable
    copy_queue: CopyQueue
    candidate_history: CandidateHistory
    load_tracker: HostLoadTracker
    policy: PlacementPolicy
    store_session: StoreSession
    status_writes: StatusWriteState
    overload: OverloadState
    previous_ownership: Ownership
    running_since: float
    joined_at: float | None = None
    view_version: int = -1
    reachable: frozenset[str] = frozenset()
    handoff_scan: Iterator[bytes] = field(default_factory=lambda: iter(()))
    limiters: dict[str, Limiter] = field(default_factory=dict)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    audit_queue: AuditQueue = field(default_factory=AuditQueue)
    readers: tuple[str, ...] = ()
    probe_targets: tuple[BackendServer, ...] = ()
    unsent_reports: dict[int, tuple[LoadReport, float]] = field(
        default_factory=dict,
    )
    idle_scan: Iterator[bytes] = field(default_factory=lambda: iter(()))
    compared_at: dict[str, float] = field(default_factory=dict)
    due_at: dict[str, float] = field(default_factory=dict)
    is_leaving: bool = False
    leave_requested_at: float = 0

    @property
    def ownership(self) -> Ownership:
        """The current assignment of hash slots."""
        return self.ownership_history.current


def create_node(
    own: Member,
    group: str,
    seeds: Iterable[ControlAddress],
    randbelow: RandBelow,
    now: float,
    wall_time: float,
) -> Node:
    """Create the state of a balancer that has just started.

    Parameters
    ----------
    own : Member
        The balancer itself.
    group : str
        Name of its group.
    seeds : iterable of (str, int)
        Control addresses of members of the group.
    randbelow : callable
        Returns a random integer from 0 to below its argument.
    now : float
        Monotonic seconds.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    Node
        State without records, in which the balancer owns every hash slot.
    """
    catalog = Catalog()
    load_tracker = HostLoadTracker()
    # Batch numbers start from the wall time, so that those of a restarted
    # process are above those of the previous one.
    copy_queue = CopyQueue(int(wall_time * 1000), refilled_at=now)
    ownership = assign_slots((own,))
    return Node(
        name=own.name,
        data_centre=own.data_centre,
        group=group,
        wall_offset_seconds=wall_time - now,
        catalog=catalog,
        routing=derive_routing_table(catalog),
        membership=create_membership(own, seeds, randbelow),
        ownership_history=OwnershipHistory(ownership),
        previous_ownership=ownership,
        running_since=now,
        flows=FlowTable(),
        copy_queue=copy_queue,
        candidate_history=CandidateHistory(now),
        load_tracker=load_tracker,
        policy=create_load_aware_policy(
            load_tracker, partial(has_allowance, copy_queue)
        ),
        store_session=StoreSession(),
        status_writes=StatusWriteState(),
        overload=OverloadState(),
    )
