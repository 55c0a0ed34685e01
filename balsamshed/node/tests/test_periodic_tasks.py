"""Guards against periodic tasks whose cost grows with the platform."""

import pytest

from balsamshed.members.member import Member
from balsamshed.node.dispatch import handle_event
from balsamshed.node.effects import ListVms
from balsamshed.node.events import Ticked, VmsListed
from balsamshed.node.state import create_node

OWN = Member('balancer-1', 'qc-1', '10.20.0.1', 7000, 7001)
PEER = Member('balancer-2', 'qc-2', '10.20.0.2', 7000, 7001)


def count_vm_lists(peers, vms, seconds):
    node = create_node(OWN, 'qc-est', (), lambda limit: 0, 0, 0)
    node.membership.peers.update({peer.name: peer for peer in peers})
    listed = tuple(
        Member(
            f'vm-{index}', 'qc-1', f'10.40.{index // 250}.{index % 250}', 0, 1
        )
        for index in range(vms)
    )
    lists = 0
    for tick in range(seconds * 10):
        now = tick / 10
        # The peer responds to every ping.
        node.membership.probe = None
        node.membership.checked_at.update({peer.name: now for peer in peers})
        for effect in handle_event(node, Ticked(now, 0), now):
            if isinstance(effect, ListVms):
                lists += 1
                handle_event(node, VmsListed(listed), now)
    return lists


@pytest.mark.parametrize(
    ('peers', 'vms', 'lists'),
    [((PEER,), 9, 20), ((PEER,), 11_000, 1), ((), 11_000, 20)],
)
def test_long_vm_lists_are_requested_rarely(peers, vms, lists):
    """A list of 1.3 MB every 10 s takes 130 KB/s, above the limit of 5 KB/s.

    A member without peers depends on the list and requests it every 10 s.
    """
    assert count_vm_lists(peers, vms, 200) == pytest.approx(lists, abs=1)
