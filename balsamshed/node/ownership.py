"""Changes of hash slot ownership and the handoff of flow entries."""

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

#: Entries checked in one tick after a change of ownership: about 2 ms.
HANDOFF_ENTRIES_PER_TICK: Final = 2000
#: Time in which a process without peers searches for its group before it
#: acts as the only member: one round of pings to addresses without a
#: reachable member, see `RECONNECT_SECONDS` in `members.protocol`.
DISCOVERY_SECONDS: Final = 5.0
#: Time after its first contact in which a member learns of the other members:
#: one protocol period.
JOIN_DELAY_SECONDS: Final = 0.5


def update_ownership(node: Node, now: float) -> tuple[Effect, ...]:
    """Update the ownership of hash slots after a change of the membership.

    Parameters
    ----------
    node : Node
        Changed in place.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        The log event of the change.
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
    previous = node.ownership
    if owners and replace_ownership(node.ownership_history, owners, now):
        node.previous_ownership = previous
        record_own_absence(node, now)
        node.handoff_scan = iter(tuple(node.flows.placements))
    fields = {
        'owners': len(owners),
        'reachable': len(reachable),
        'members': ','.join(sorted(member.name for member in owners)),
    }
    return (LogEvent('members_changed', fields),)


def record_own_absence(node: Node, now: float) -> None:
    """Record the assignment without this member if it returned recently.

    While it was absent, other members may have placed flows of its slots.

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
    """Tell whether this member has not discovered its group yet.

    It must not reset flows that other members may have placed: a reset would
    end them, whereas a dropped packet is retransmitted.

    Parameters
    ----------
    node : Node
        State of the balancer.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        False also for a process without any address to search for its group.
    """
    if node.joined_at is not None:
        return now - node.joined_at < JOIN_DELAY_SECONDS
    has_addresses = node.membership.seeds or node.membership.vm_addresses
    return bool(has_addresses) and now - node.running_since < DISCOVERY_SECONDS


def hand_off_entries(node: Node, limit: int, now: float) -> None:
    """Send the next entries of the handoff to their new owner and backup.

    Parameters
    ----------
    node : Node
        Changed in place.
    limit : int
        Maximum number of entries to check.
    now : float
        Monotonic seconds.
    """
    for flow_key in islice(node.handoff_scan, limit):
        placement = node.flows.placements.get(flow_key)
        if placement is None or flow_key in node.flows.ended:
            # The flow has ended since the ownership changed.
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
    previous = node.previous_ownership
    was_owner = previous.owners[slot] == node.name
    owner_is_gone = previous.owners[slot] not in node.reachable
    if was_owner:
        release_flow(node, flow_key, FlowOutcome.UNKNOWN, now)
    if was_owner or owner_is_gone:
        queue_copy(node.copy_queue, owner, copy)
        if backup != node.name:
            queue_copy(node.copy_queue, backup, copy)
