"""Guards against membership traffic that exceeds the control budget."""

from collections import Counter

import pytest

from balsamshed.codecs.peers import encode_envelope
from balsamshed.members.tests.network import Network
from balsamshed.node.messages import Envelope

KEY = b'0123456789abcdef'
# Beside 3 KB/s of flow copies, within 5 KB/s for all control traffic.
BYTES_PER_SECOND = 1500
SECONDS = 20


@pytest.mark.parametrize('size', [9, 64])
def test_bytes_sent_without_news_stay_bounded(size):
    """The cost of a member must not grow with the group."""
    network = Network()
    network.start_group(size)
    network.run(10)
    # The news of 64 joins would take another minute to be sent out.
    for process in network.processes.values():
        assert len(process.membership.peers) == size - 1
        process.membership.news.clear()
    sent = Counter()

    def count_bytes(source, outgoing):
        envelope = Envelope(source, 0, outgoing.message)
        sent[source] += len(encode_envelope(envelope, KEY))

    network.sent = count_bytes
    network.run(SECONDS)
    assert len(sent) == size
    assert not any(p.membership.news for p in network.processes.values())
    highest = max(sent.values()) / SECONDS
    print(f'{size} members: at most {highest:.0f} bytes/s each')
    assert highest < BYTES_PER_SECOND
