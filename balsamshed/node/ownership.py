"""Changes of ownership and the entries that move with it."""

from itertools import islice
from typing import Final

from balsamshed.flows.copies import discard_member, queue_copy
from balsamshed.flows.messages import FlowCopy
from balsamshed.flows.table import Placement
from balsamshed.limits.limiter import FlowOutcome
from balsamshed.members.membership import list_owners, list_reachable
from balsamshed.members.ownership import get_hash_slot
from balsamshed.members.ownership_history import (
    HISTORY_SECONDS,
    record_absence,
    replace_ownership,
)
from balsamshed.node.effects import Effect, LogEvent
from balsamshed.node.flow_release import record_feed_takeover, release_flow
from balsamshed.node.state import Node
from balsamshed.placement.load_tracker import set_member_count

#: Entries checked in one tick after a membership change: about 2 ms.
HANDOFF_ENTRIES_PER_TICK: Final = 2000
#: A process without peers looks for its group this long before it takes
#: itself for the only member: one sweep of all addresses.
DISCOVERY_SECONDS: Final = 5.0
#: After its first contact a member learns of the others within this time:
#: one protocol period.
JOIN_DELAY_SECONDS: Final = 0.5


def update_ownership(node: Node, now: float) -> tuple[Effect, ...]:
    """Assign the hash slots to the members that are alive now.

    Parameters
    ----------
    node : Node
        Changed in place.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        A log line.
    """
    node.view_version = node.membership.view_version
    owners = list_owners(node.membership)
    reachable = list_reachable(node.membership)
    node.reachable = frozenset(member.name for member in reachable)
    for target in (
        node.copy_queue.pending.keys() | node.copy_queue.in_flight.keys()
    ):
        if target not in node.reachable:
            discard_member(node.copy_queue, target)
    set_member_count(node.load_tracker, max(len(owners), 1))
    if len(reachable) > 1 and node.joined_at is None:
        node.joined_at = now
    former = node.ownership
    if owners and replace_ownership(node.ownership_history, owners, now):
        node.previous_ownership = former
        record_own_absence(node, now)
        node.handoff_scan = iter(tuple(node.flows.placements))
    fields = {
        'owners': len(owners),
        'reachable': len(reachable),
        'members': ','.join(sorted(member.name for member in owners)),
    }
    return (LogEvent('members_changed', fields),)


def record_own_absence(node: Node, now: float) -> None:
    """Note the assignment without this member if it came back just now.

    Parameters
    ----------
    node : Node
        Changed in place.
    now : float
        Monotonic seconds.
    """
    if now - node.running_since >= HISTORY_SECONDS:
        return
    owners = list_owners(node.membership)
    others = [member for member in owners if member.name != node.name]
    if others and len(others) < len(owners):
        record_absence(node.ownership_history, others, now)


def is_joining(node: Node, now: float) -> bool:
    """Tell whether this member does not know its group yet.

    It must not judge flows that others have placed: a reset would end them,
    whereas a dropped packet comes again.

    Parameters
    ----------
    node : Node
        The node.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        False also for a process that has no address to look for its group.
    """
    if node.joined_at is not None:
        return now - node.joined_at < JOIN_DELAY_SECONDS
    has_addresses = node.membership.seeds or node.membership.vm_addresses
    return bool(has_addresses) and now - node.running_since < DISCOVERY_SECONDS


def hand_off_entries(node: Node, limit: int, now: float) -> None:
    """Bring some entries to their new owner and backup.

    Parameters
    ----------
    node : Node
        Changed in place.
    limit : int
        Entries to check at most.
    now : float
        Monotonic seconds.
    """
    for flow_key in islice(node.handoff_scan, limit):
        placement = node.flows.placements.get(flow_key)
        if placement is None or flow_key in node.flows.ended:
            # Ended since the membership changed.
            continue
        if placement.is_copied:
            _hand_off_entry(node, flow_key, placement, now)


def _hand_off_entry(
    node: Node,
    flow_key: bytes,
    placement: Placement,
    now: float,
) -> None:
    slot = get_hash_slot(flow_key)
    owner = node.ownership.owners[slot]
    backup = node.ownership.backups[slot]
    copy = FlowCopy(flow_key, placement.host)
    if owner == node.name:
        record_feed_takeover(node, flow_key, now)
        queue_copy(node.copy_queue, backup, copy)
        return
    former = node.previous_ownership
    was_owner = former.owners[slot] == node.name
    owner_is_gone = former.owners[slot] not in node.reachable
    if was_owner:
        release_flow(node, flow_key, FlowOutcome.UNKNOWN, now)
    if was_owner or owner_is_gone:
        queue_copy(node.copy_queue, owner, copy)
        if backup != node.name:
            queue_copy(node.copy_queue, backup, copy)
