"""Guards against capacity figures of groups that have not settled."""

from testbed.capacity_model import change_object, run_group, start_group
from testbed.measure_capacity import MEASUREMENTS, Point, fit_line, main


def test_group_settles_and_applies_a_change():
    """Guards against idle usage that includes missing members or records."""
    group = start_group(4, 2, 10)
    assert len(group.nodes) == 4
    for node in group.nodes.values():
        assert len(node.membership.peers) == 3
        assert len(node.catalog.records) == 12
    assert all(not usage.messages for usage in group.usage.values())
    version = change_object(group, 0)
    run_group(group, 3)
    for name, node in group.nodes.items():
        assert node.catalog.highest_version == version
        assert (
            node.catalog.digest == group.nodes[name].membership.catalog.digest
        )
        assert group.usage[name].sent['Ping']
        assert group.usage[name].processor_seconds > 0


def test_fit_of_a_straight_line_has_no_residual():
    """Guards against wrong slopes, which all figures of the target use."""
    points = [Point(size, {'bytes': 5 + 2 * size}) for size in (1, 2, 4)]
    line, residual = fit_line('members', 'size', 'bytes', points).rsplit('=', 1)
    assert line == (
        'fit=members value=bytes scale=size points=3 range=1..4 slope=2 '
        'intercept=5 residual'
    )
    assert float(residual) < 1e-9


def test_unknown_measurement_is_rejected(monkeypatch, capsys):
    """Guards against a mistyped name that prints nothing and succeeds."""
    monkeypatch.setattr('sys.argv', ['measure_capacity', 'member'])
    assert main() == 2
    message = capsys.readouterr().err
    assert all(name in message for name in MEASUREMENTS)
