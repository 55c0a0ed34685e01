"""The oracle of the soak test detects each kind of violation."""

from dataclasses import replace

from testbed.soak_oracle import (
    Delivery,
    FaultHistory,
    Reset,
    find_violations,
    is_undisturbed,
)

NO_FAULTS = FaultHistory({}, {}, ())
OPENING = Delivery(10, 5000, True, 1, 2, 2, 443, True)
DATA = replace(OPENING, sent_at=11, is_opening=False, balancer=3)


def list_violations(history, *deliveries, resets=()):
    return list(find_violations(history, list(deliveries), list(resets)))


def test_correct_flow_is_accepted():
    """Guards against an oracle that reports correct flows."""
    assert list_violations(NO_FAULTS, OPENING, DATA) == []


def test_data_at_another_endpoint_is_reported():
    """Guards against an oracle that misses data at the wrong endpoint."""
    moved = replace(DATA, endpoint=4, addressed_endpoint=4)
    assert len(list_violations(NO_FAULTS, OPENING, moved)) == 1


def test_packet_for_another_endpoint_is_reported():
    """Guards against an oracle that misses a reused endpoint address."""
    assert (
        len(list_violations(NO_FAULTS, replace(OPENING, addressed_endpoint=9)))
        == 1
    )


def test_changed_packet_is_reported():
    """Guards against an oracle that misses modified packets."""
    assert (
        len(list_violations(NO_FAULTS, replace(OPENING, is_intact=False))) == 1
    )


def test_opening_on_a_draining_endpoint_is_reported():
    """Guards against an oracle that misses a drain that is in force late."""
    history = FaultHistory({2: 6.9}, {}, ())
    assert len(list_violations(history, OPENING)) == 1
    assert list_violations(FaultHistory({2: 7.1}, {}, ()), OPENING) == []


def test_opening_on_a_removed_route_is_reported():
    """Guards against an oracle that misses the use of an old
    configuration."""
    assert len(list_violations(FaultHistory({}, {443: 6.9}, ()), OPENING)) == 1


def test_bounds_apply_only_to_undisturbed_balancers():
    """Guards against violations for a balancer that a fault has cut off."""
    history = FaultHistory({2: 1.0}, {}, ((7.0, 8.0, 1),))
    assert list_violations(history, OPENING) == []
    assert not is_undisturbed(history, 1, 10)
    assert is_undisturbed(history, 1, 12.1)
    assert is_undisturbed(history, 2, 10)


def test_reset_of_an_open_flow_is_reported():
    """Guards against an oracle that misses the reset of an open flow."""
    reset = Reset(12, 5000, 443, was_open=True)
    assert len(list_violations(NO_FAULTS, OPENING, resets=[reset])) == 1
    refused = replace(reset, was_open=False)
    assert list_violations(NO_FAULTS, OPENING, resets=[refused]) == []
    removed = FaultHistory({}, {443: 11.5}, ())
    assert list_violations(removed, OPENING, resets=[reset]) == []
