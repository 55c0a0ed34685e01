"""Summary of the group as seen by a reader of the store."""

from balsamshed.members.membership import get_peer_catalogs, list_owners
from balsamshed.node.state import Node
from balsamshed.status.rules import list_rejections, list_unmet_rules
from balsamshed.status.status_object import LaggingMember, StatusSummary


def build_summary(node: Node, now: float) -> StatusSummary:
    """Summarize the state of the configuration on the group's members.

    Parameters
    ----------
    node : Node
        State of the summarizing balancer.
    now : float
        Monotonic seconds.

    Returns
    -------
    StatusSummary
        Summary for the status object.
    """
    names = {member.name for member in list_owners(node.membership)}
    lagging = tuple(
        LaggingMember(
            name,
            round(catalog.lagging_since + node.wall_offset_seconds, 1),
            catalog.digest.highest_version,
        )
        for name, catalog in sorted(get_peer_catalogs(node.membership).items())
        if catalog.lagging_since is not None and name in names
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
