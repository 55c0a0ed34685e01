"""Tests of the directory of endpoints."""

from balsamshed.edge.tests.builders import build_endpoint, build_view
from balsamshed.endpoints.directory import (
    MISSING_RETENTION_SECONDS,
    ChangeKind,
    EndpointDirectory,
    apply_view,
    expire_missing,
    find_endpoint,
    list_available_endpoints,
)
from balsamshed.endpoints.endpoint import derive_cookie

LIFETIME = 60


def list_kinds(changes):
    return [change.kind for change in changes]


def test_older_view_changes_nothing():
    """Guards against a lagging replica that brings back a drained endpoint."""
    directory = EndpointDirectory(LIFETIME)
    draining = build_endpoint(1, is_draining=True)
    apply_view(directory, build_view(9, draining), now=0)
    assert apply_view(directory, build_view(8, build_endpoint(1)), 1) == ()
    assert list_available_endpoints(directory, 'web') == ()


def test_draining_endpoint_takes_no_new_flows_but_keeps_open_ones():
    """Guards against new flows to a leaving endpoint, and lost open ones."""
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, build_endpoint(1)), now=0)
    draining = build_endpoint(1, is_draining=True)
    changes = apply_view(directory, build_view(2, draining), now=1)
    assert list_kinds(changes) == [ChangeKind.DRAINING]
    assert list_available_endpoints(directory, 'web') == ()
    assert find_endpoint(directory, 'web', draining.cookie) == draining


def test_removed_endpoint_stays_reachable_for_open_flows():
    """Guards against cut flows when an entry vanishes before its endpoint."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    apply_view(directory, build_view(2), now=1)
    assert list_available_endpoints(directory, 'web') == ()
    assert find_endpoint(directory, 'web', endpoint.cookie) == endpoint
    apply_view(directory, build_view(3, build_endpoint(2)), now=LIFETIME + 2)
    assert find_endpoint(directory, 'web', endpoint.cookie) is None


def test_restart_under_one_identity_is_seen():
    """Guards against old counts for an endpoint that knows nothing of them."""
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, build_endpoint(1)), now=0)
    again = build_endpoint(1, started_at_ms=2)
    changes = apply_view(directory, build_view(2, again), now=1)
    assert list_kinds(changes) == [ChangeKind.RESTARTED]


def test_cookie_of_another_service_finds_nothing():
    """Guards against a packet that reaches a service it was not sent to."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    assert find_endpoint(directory, 'other', endpoint.cookie) is None


def test_equal_cookies_leave_one_endpoint_in_use():
    """Guards against flows that two balancers take to different endpoints."""
    first = build_endpoint(1, instance=5)
    second = build_endpoint(2, instance=(1 << 32) | (5 ^ 1))
    assert derive_cookie(first.instance) == derive_cookie(second.instance)
    for order in ((first, second), (second, first)):
        directory = EndpointDirectory(LIFETIME)
        apply_view(directory, build_view(1, *order), now=0)
        assert list_available_endpoints(directory, 'web') == (first,)
        assert find_endpoint(directory, 'web', first.cookie) == first


def test_cookie_is_never_that_of_an_opening_packet():
    """Guards against an open flow that looks like one without endpoint."""
    assert derive_cookie(0) == 1
    assert derive_cookie((7 << 32) | 7) == 1


def test_endpoints_missing_after_an_outage_are_kept_for_a_while():
    """Guards against resets while entries that lapsed are written anew."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    apply_view(directory, build_view(2), now=10, retain_missing=True)
    assert list_available_endpoints(directory, 'web') == (endpoint,)
    # Later reads happen after the outage is forgotten.
    apply_view(directory, build_view(3), now=11)
    assert list_available_endpoints(directory, 'web') == (endpoint,)
    assert expire_missing(directory, 10 + MISSING_RETENTION_SECONDS) == ()
    changes = expire_missing(directory, 10.1 + MISSING_RETENTION_SECONDS)
    assert list_kinds(changes) == [ChangeKind.REMOVED]
    assert list_available_endpoints(directory, 'web') == ()


def test_endpoint_that_is_back_is_not_removed_later():
    """Guards against a removal by an absence that has ended."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    apply_view(directory, build_view(2), now=10, retain_missing=True)
    apply_view(directory, build_view(3, endpoint), now=11)
    assert expire_missing(directory, 20) == ()
    assert list_available_endpoints(directory, 'web') == (endpoint,)


def test_draining_endpoint_is_not_kept_after_an_outage():
    """Guards against flows to an endpoint that has left for good."""
    directory = EndpointDirectory(LIFETIME)
    draining = build_endpoint(1, is_draining=True)
    apply_view(directory, build_view(1, draining), now=0)
    changes = apply_view(directory, build_view(2), 10, retain_missing=True)
    assert list_kinds(changes) == [ChangeKind.REMOVED]
