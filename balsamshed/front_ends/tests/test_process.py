"""Tests of the process of a balancer."""

from balsamshed.front_ends.metrics import create_metrics
from balsamshed.front_ends.process import (
    TICKS_PER_GAUGE_UPDATE,
    _create_tick,
)
from balsamshed.node.tests.builders import make_node


def test_change_of_the_members_shows_in_the_next_tick(monkeypatch):
    """Guards against a fabric that sends packets to a dead balancer for two
    seconds more, since the metric shows it as a member."""
    node = make_node()
    metrics = create_metrics()
    shown = []
    monkeypatch.setattr(
        'balsamshed.front_ends.process._set_gauges',
        lambda node, set_gauge, delay: shown.append(len(node.reachable)),
    )
    tick = _create_tick(node, metrics, lambda event: None)
    for reachable in (('lb-1', 'lb-2'), ('lb-1',)):
        node.reachable = frozenset(reachable)
        node.view_version += 1
        tick()
    assert shown == [2, 1]
    for _ in range(TICKS_PER_GAUGE_UPDATE):
        tick()
    assert shown == [2, 1, 1]
