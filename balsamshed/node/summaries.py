"""Summary of the fleet, as a reader sees it."""

from balsamshed.members.membership import get_peer_catalogs, list_owners
from balsamshed.node.state import Node
from balsamshed.status.rules import list_rejections, list_unmet_rules
from balsamshed.status.status_object import LaggingMember, StatusSummary


def build_summary(node: Node, now: float) -> StatusSummary:
    """Summarize what is in force on the members of the group.

    Parameters
    ----------
    node : Node
        The summarizing node.
    now : float
        Monotonic seconds.

    Returns
    -------
    StatusSummary
        State of the fleet.
    """
    names = {member.name for member in list_owners(node.membership)}
    lagging = tuple(
        LaggingMember(
            name,
            round(seen.lagging_since + node.wall_offset_seconds, 1),
            seen.digest.highest_version,
        )
        for name, seen in sorted(get_peer_catalogs(node.membership).items())
        if seen.lagging_since is not None and name in names
    )
    return StatusSummary(
        members=tuple(sorted(names)),
        highest_version=node.catalog.highest_version,
        lagging=lagging,
        unmet_rules=list_unmet_rules(
            node.routing, now + node.wall_offset_seconds
        ),
        rejected=list_rejections(node.catalog),
    )
