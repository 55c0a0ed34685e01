"""Tests that membership traffic stays within the budget of control traffic."""

from collections import Counter

import pytest

from balsamshed.codecs.peers import encode_envelope
from balsamshed.members.tests.network import Network
from balsamshed.node.messages import Envelope

KEY = b'0123456789abcdef'
# Share of the budget of 5 KB/s for all control traffic, of which flow copies
# take 3 KB/s.
MAX_BYTES_PER_SECOND = 1500
MEASURED_SECONDS = 20


@pytest.mark.parametrize('size', [9, 64])
def test_idle_membership_traffic_is_bounded(size):
    """Guards against traffic per member that grows with the group."""
    network = Network()
    network.start_group(size)
    network.run(10)
    # Sending the updates of 64 joins would take another minute.
    for process in network.processes.values():
        assert len(process.membership.peers) == size - 1
        process.membership.pending_updates.clear()
    sent = Counter()

    def count_bytes(source, outgoing):
        envelope = Envelope(source, 0, outgoing.message)
        sent[source] += len(encode_envelope(envelope, KEY))

    network.on_sent = count_bytes
    network.run(MEASURED_SECONDS)
    assert len(sent) == size
    assert not any(
        p.membership.pending_updates for p in network.processes.values()
    )
    highest = max(sent.values()) / MEASURED_SECONDS
    print(f'{size} members: at most {highest:.0f} bytes/s each')
    assert highest < MAX_BYTES_PER_SECOND
