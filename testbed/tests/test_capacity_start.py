"""Guards against needless or missing audit objects at the start of a node."""

from testbed.capacity_model import (
    change_object,
    run_group,
    start_group,
    start_node,
)


def list_audit(group):
    return {key for key in group.platform.objects if key.startswith('audit/')}


def test_a_start_writes_only_audit_objects_of_recent_changes():
    """Every start wrote all of them again: 632 calls with 616 records."""
    group = start_group(4, 3, 9)
    change_object(group, 2)
    run_group(group, 6)
    (recent,) = list_audit(group)
    group.platform.objects.pop(recent)
    node = start_node(group, 4)
    run_group(group, 6)
    assert len(node.catalog.records) == 12
    # The missing one is written, and besides the node's status: once with an
    # unknown version, which conflicts, and once after that.
    assert list_audit(group) == {recent}
    assert 1 <= group.usage[node.name].calls['write'] <= 3
