"""Tests of the placement policies: load, drains and the copy budget."""

from collections import Counter

import pytest

from balsamshed.configuration.resources import ListenerKind
from balsamshed.placement.candidates import list_candidates
from balsamshed.placement.load_tracker import (
    HostLoadTracker,
    record_opened,
    record_refused,
    record_unanswered,
    update_servers,
)
from balsamshed.placement.policy import (
    NoBackendServer,
    create_hash_policy,
    create_load_aware_policy,
    create_round_robin_policy,
    create_two_choices_policy,
)
from balsamshed.placement.tests.routes import (
    make_flow_key,
    make_route,
    make_server,
)

SERVERS = tuple(make_server(number) for number in range(7))
KEYS = tuple(make_flow_key(number) for number in range(700))


def list_policies(tracker):
    return (
        create_hash_policy(),
        create_round_robin_policy(),
        create_two_choices_policy(tracker),
        create_load_aware_policy(tracker, lambda: True),
    )


def make_load_aware(servers=SERVERS, may_leave=True, member_count=8):
    tracker = HostLoadTracker(member_count)
    update_servers(tracker, 'creneau', servers, 0)
    return tracker, create_load_aware_policy(tracker, lambda: may_leave)


def test_no_policy_uses_a_draining_server():
    """Guards against new work for a server that is being drained."""
    drained = make_server(0, draining=True)
    route = make_route((drained, *SERVERS[1:]))
    for policy in list_policies(HostLoadTracker()):
        for flow_key in KEYS[:100]:
            choice = policy(route, flow_key, 0, 0)
            assert drained not in choice.candidates
            assert len(choice.candidates) == 6
            default = list_candidates(route, flow_key, 0)[0]
            assert choice.is_default == (choice.candidates[0] is default)


def test_no_usable_server_is_explained():
    """Guards against an exception when the last server drains."""
    route = make_route((make_server(0, draining=True),))
    for policy in list_policies(HostLoadTracker()):
        outcome = policy(route, KEYS[0], 0, 0)
        assert outcome == NoBackendServer(
            'no backend server of creneau takes new work',
        )


def test_single_server_is_the_default():
    """Guards against policies that require at least two servers."""
    route = make_route(SERVERS[:1])
    for policy in list_policies(HostLoadTracker()):
        choice = policy(route, KEYS[0], 0, 0)
        assert choice.candidates == SERVERS[:1]
        assert choice.is_default


def test_load_aware_policy_keeps_the_default_at_equal_load():
    """Guards against flow copies without need."""
    _tracker, policy = make_load_aware()
    route = make_route(SERVERS)
    assert all(policy(route, key, 0, 0).is_default for key in KEYS)


@pytest.mark.parametrize('may_leave', [True, False])
def test_load_aware_policy_leaves_a_loaded_default_within_the_budget(may_leave):
    """Guards against moving requests off the default without copy budget.

    Only the default endpoint can be derived from the flow key.
    """
    tracker, policy = make_load_aware(may_leave=may_leave)
    route = make_route(SERVERS)
    default = policy(route, KEYS[0], 0, 0).candidates[0]
    for _request in range(4):
        record_opened(tracker, default.host, ListenerKind.REQUEST)
    choice = policy(route, KEYS[0], 0, 0)
    assert (choice.candidates[0] is not default) == may_leave
    assert choice.is_default != may_leave
    assert set(choice.candidates) == set(SERVERS)


def test_ejected_default_is_left_without_a_budget():
    """Guards against sending flows to a dead host without copy budget."""
    tracker, policy = make_load_aware(may_leave=False)
    route = make_route(SERVERS)
    default = policy(route, KEYS[0], 0, 0).candidates[0]
    for _attempt in range(3):
        record_unanswered(tracker, default.host, 0)
    choice = policy(route, KEYS[0], 0.5, 0)
    assert default not in choice.candidates
    assert not choice.is_default
    trial = policy(route, KEYS[0], 2, 0)
    assert trial.candidates[0] is default
    assert default not in policy(route, KEYS[0], 2, 0).candidates


def test_feeds_are_balanced_by_open_feeds():
    """Guards against placing feeds by the number of requests in flight."""
    tracker, policy = make_load_aware()
    route = make_route(SERVERS, ListenerKind.FEED)
    default = policy(route, KEYS[0], 0, 0).candidates[0]
    for _request in range(50):
        record_opened(tracker, default.host, ListenerKind.REQUEST)
    assert policy(route, KEYS[0], 0, 0).is_default
    for _feed in range(2):
        record_opened(tracker, default.host, ListenerKind.FEED)
    assert not policy(route, KEYS[0], 0, 0).is_default


def test_feeds_spread_evenly():
    """Guards against an uneven spread of feeds, which are long-lived."""
    tracker, policy = make_load_aware(member_count=1)
    route = make_route(SERVERS, ListenerKind.FEED)
    for key in KEYS:
        host = policy(route, key, 0, 0).candidates[0].host
        record_opened(tracker, host, ListenerKind.FEED)
    feeds = [tracker.hosts[server.host].open_feeds for server in SERVERS]
    assert max(feeds) < 1.06 * sum(feeds) / len(feeds)


def test_share_of_a_cold_host_rises_in_slow_start():
    """Guards against sending all flows to a cold host without load."""
    tracker, policy = make_load_aware(SERVERS[:6])
    route = make_route(SERVERS)
    cold = SERVERS[6]
    policy(route, KEYS[0], 100, 0)
    shares = []
    for now in (101, 105, 110):
        counts = Counter(
            policy(route, key, now, 0).candidates[0].name for key in KEYS
        )
        shares.append(counts[cold.name] / (len(KEYS) / 7))
    assert shares[0] < 0.3
    assert 0.3 < shares[1] < 0.75
    assert 0.75 < shares[2] < 1.25


def test_host_that_refuses_gets_no_flows():
    """Guards against preferring a host that sheds while reporting idle."""
    tracker, policy = make_load_aware()
    route = make_route(SERVERS)
    for _attempt in range(2):
        record_refused(tracker, SERVERS[0].host, 0)
    assert all(
        policy(route, key, 0, 0).candidates[0] is not SERVERS[0] for key in KEYS
    )
