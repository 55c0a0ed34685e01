"""Guards against needless or missing audit objects when a balancer starts."""

from testbed.capacity_model import (
    change_object,
    run_group,
    start_group,
    start_node,
)


def list_audit_keys(group):
    return {key for key in group.platform.objects if key.startswith('audit/')}


def test_start_writes_only_audit_objects_of_recent_changes():
    """Guards against a start that writes all audit objects again.

    With 616 records, this took 632 calls to the store.
    """
    group = start_group(4, 3, 9)
    change_object(group, 2)
    run_group(group, 6)
    (recent,) = list_audit_keys(group)
    group.platform.objects.pop(recent)
    node = start_node(group, 4)
    run_group(group, 6)
    assert len(node.catalog.records) == 12
    # The missing object is written, and so is the status of the balancer: once
    # with an unknown version, which conflicts, and once after the conflict.
    assert list_audit_keys(group) == {recent}
    assert 1 <= group.usage[node.name].calls['write'] <= 3
