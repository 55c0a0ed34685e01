"""Guards against needless or missing audit objects at the start of a node."""

from testbed.capacity_model import build_group, run_group, start_node


def test_a_start_writes_no_audit_object_that_the_store_has():
    """Every start wrote all of them again: 632 calls with 616 records."""
    group = build_group(4, 3, 9)
    audit = {key for key in group.platform.objects if '/audit/' in key}
    assert len(audit) == 12
    missing = sorted(audit)[5]
    group.platform.objects.pop(missing)
    node = start_node(group, 4)
    run_group(group, 0.5)
    assert len(node.catalog.records) == 12
    # One that is missing is written, and besides at most its status.
    assert missing in group.platform.objects
    assert 1 <= group.usage[node.name].calls['write'] <= 2
