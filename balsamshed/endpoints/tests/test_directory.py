"""Tests of the endpoint directory."""

from balsamshed.edge.tests.builders import build_endpoint, build_view
from balsamshed.endpoints.directory import (
    MISSING_RETENTION_SECONDS,
    ChangeKind,
    EndpointDirectory,
    apply_view,
    expire_missing,
    find_endpoint,
    find_endpoint_of_any_service,
    list_available_endpoints,
)
from balsamshed.endpoints.endpoint import derive_cookie, derive_former_cookie
from balsamshed.store.revisions import combine_revision

LIFETIME = 60


def list_kinds(changes):
    return [change.kind for change in changes]


def test_older_view_is_ignored():
    """Guards against a lagging replica that reverts a drain."""
    directory = EndpointDirectory(LIFETIME)
    draining = build_endpoint(1, is_draining=True)
    apply_view(directory, build_view(9, draining), now=0)
    assert apply_view(directory, build_view(8, build_endpoint(1)), 1) == ()
    assert list_available_endpoints(directory, 'web') == ()


def test_draining_endpoint_takes_no_new_flows_but_keeps_open_ones():
    """Guards against new flows to a draining endpoint, and cut open ones."""
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, build_endpoint(1)), now=0)
    draining = build_endpoint(1, is_draining=True)
    changes = apply_view(directory, build_view(2, draining), now=1)
    assert list_kinds(changes) == [ChangeKind.DRAINING]
    assert list_available_endpoints(directory, 'web') == ()
    assert find_endpoint(directory, 'web', draining.cookie) == draining


def test_removed_endpoint_stays_reachable_for_open_flows():
    """Guards against cut flows when an entry expires before its endpoint."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    apply_view(directory, build_view(2), now=1)
    assert list_available_endpoints(directory, 'web') == ()
    assert find_endpoint(directory, 'web', endpoint.cookie) == endpoint
    apply_view(directory, build_view(3, build_endpoint(2)), now=LIFETIME + 2)
    assert find_endpoint(directory, 'web', endpoint.cookie) is None


def test_restart_with_the_same_instance_id_is_detected():
    """Guards against in-flight counts that outlive the endpoint's program."""
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, build_endpoint(1)), now=0)
    again = build_endpoint(1, started_at_ms=2)
    changes = apply_view(directory, build_view(2, again), now=1)
    assert list_kinds(changes) == [ChangeKind.RESTARTED]


def test_cookie_of_another_service_finds_nothing():
    """Guards against a packet delivered to another service."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    assert find_endpoint(directory, 'other', endpoint.cookie) is None


def test_numbered_ids_have_cookies_of_their_own():
    """Guards against the successor of one endpoint that takes the open flows
    of another one: IDs of a host number and a start number."""
    instances = [
        host << 32 | start for host in range(1, 65) for start in range(1, 65)
    ]
    assert len(set(map(derive_cookie, instances))) == len(instances)


def test_shared_cookie_stays_with_the_endpoint_that_started_first():
    """Guards against an endpoint that takes the open flows of an older one,
    whichever of the two a balancer learns of first."""
    older = build_endpoint(1, instance=9, started_at_ms=1)
    younger = build_endpoint(2, instance=5, started_at_ms=2)
    object.__setattr__(younger, 'cookie', older.cookie)
    for order in ((older, younger), (younger, older)):
        directory = EndpointDirectory(LIFETIME)
        apply_view(directory, build_view(1, order[0]), now=0)
        apply_view(directory, build_view(2, *order), now=1)
        assert list_available_endpoints(directory, 'web') == (older,)
        assert find_endpoint(directory, 'web', older.cookie) == older


def test_removed_endpoint_keeps_a_shared_cookie():
    """Guards against an endpoint that takes the open flows of an older one,
    whose entry has expired while it still runs."""
    older = build_endpoint(1, instance=9, started_at_ms=1)
    younger = build_endpoint(2, instance=5, started_at_ms=2)
    object.__setattr__(younger, 'cookie', older.cookie)
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, older, younger), now=0)
    apply_view(directory, build_view(2, younger), now=1)
    assert find_endpoint(directory, 'web', older.cookie) == older
    assert list_available_endpoints(directory, 'web') == ()
    # Its flows have ended.
    assert expire_missing(directory, LIFETIME + 2) == ()
    assert list_available_endpoints(directory, 'web') == (younger,)
    assert find_endpoint(directory, 'web', older.cookie) == younger


def test_flows_of_a_former_build_stay_with_the_endpoint_that_started_first():
    """Guards against a successor with a lower ID that takes the open flows of
    another endpoint after an upgrade, while that is present or removed."""
    older = build_endpoint(1, instance=0x200000001, started_at_ms=1)
    successor = build_endpoint(2, instance=0x100000002, started_at_ms=2)
    cookie = derive_former_cookie(older.instance)
    assert cookie == derive_former_cookie(successor.instance)
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, older), now=0)
    for revision, view in enumerate(((older, successor), (successor,)), 2):
        apply_view(directory, build_view(revision, *view), now=1)
        assert find_endpoint(directory, 'web', cookie) == older


def test_former_cookie_gives_way_to_a_cookie_of_any_service():
    """Guards against open flows that reach another service after a change of
    their route, since an endpoint there had their cookie in a former build."""
    endpoint = build_endpoint(1)
    other = build_endpoint(2, instance=endpoint.cookie, service='other')
    assert derive_former_cookie(other.instance) == endpoint.cookie
    directory = EndpointDirectory(LIFETIME)
    apply_view(directory, build_view(1, endpoint, other), now=0)
    assert find_endpoint(directory, 'other', endpoint.cookie) is None
    found = find_endpoint_of_any_service(directory, endpoint.cookie)
    assert found == endpoint


def test_flows_of_a_former_build_reach_their_endpoint():
    """Guards against open flows that break while balancers are replaced."""
    directory = EndpointDirectory(LIFETIME)
    first = build_endpoint(1, instance=0x700000001)
    second = build_endpoint(2, instance=0x100000007)
    cookie = derive_former_cookie(first.instance)
    assert cookie == derive_former_cookie(second.instance)
    apply_view(directory, build_view(1, first, second), now=0)
    # The former build assigns a shared cookie to the lower ID.
    assert find_endpoint(directory, 'web', cookie) == second
    apply_view(directory, build_view(2), now=1)
    assert find_endpoint(directory, 'web', cookie) == second


def test_cookie_is_never_that_of_an_opening_packet():
    """Guards against a cookie that marks packets of a flow as opening."""
    assert derive_cookie(0) == 1


def test_endpoints_missing_after_an_outage_are_retained():
    """Guards against resets until expired entries are written again."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    apply_view(directory, build_view(2), now=10, retain_missing=True)
    assert list_available_endpoints(directory, 'web') == (endpoint,)
    # Later reads no longer count as close to the outage.
    apply_view(directory, build_view(3), now=11)
    assert list_available_endpoints(directory, 'web') == (endpoint,)
    assert expire_missing(directory, 10 + MISSING_RETENTION_SECONDS) == ()
    changes = expire_missing(directory, 10.1 + MISSING_RETENTION_SECONDS)
    assert list_kinds(changes) == [ChangeKind.REMOVED]
    assert list_available_endpoints(directory, 'web') == ()


def test_endpoint_that_is_listed_again_is_not_removed():
    """Guards against a retention that outlasts the endpoint's absence."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_view(directory, build_view(1, endpoint), now=0)
    apply_view(directory, build_view(2), now=10, retain_missing=True)
    apply_view(directory, build_view(3, endpoint), now=11)
    assert expire_missing(directory, 20) == ()
    assert list_available_endpoints(directory, 'web') == (endpoint,)


def test_draining_endpoint_is_not_retained_after_an_outage():
    """Guards against flows to an endpoint that has ended its drain."""
    directory = EndpointDirectory(LIFETIME)
    draining = build_endpoint(1, is_draining=True)
    apply_view(directory, build_view(1, draining), now=0)
    changes = apply_view(directory, build_view(2), 10, retain_missing=True)
    assert list_kinds(changes) == [ChangeKind.REMOVED]


def test_expired_endpoint_does_not_extend_the_retention_of_others():
    """Guards against an endpoint that is gone and kept until the next view."""
    directory = EndpointDirectory(LIFETIME)
    first, second = build_endpoint(1), build_endpoint(2)
    apply_view(directory, build_view(1, first, second), now=0)
    apply_view(directory, build_view(2, second), 1, retain_missing=True)
    apply_view(directory, build_view(3), 2, retain_missing=True)
    assert len(expire_missing(directory, 1.1 + MISSING_RETENTION_SECONDS)) == 1
    assert len(expire_missing(directory, 2.1 + MISSING_RETENTION_SECONDS)) == 1


def apply_in_era(directory, era, number, *endpoints, now=0):
    """Apply a view of an era of the store."""
    view = build_view(combine_revision(era, number), *endpoints)
    return apply_view(directory, view, now)


def test_copy_of_a_restored_store_does_not_undo_a_drain():
    """Guards against new flows to an endpoint that drains or has ended."""
    directory = EndpointDirectory(LIFETIME)
    ready = build_endpoint(1, sequence=1)
    draining = build_endpoint(1, sequence=7, is_draining=True)
    apply_in_era(directory, 1, 90, ready)
    apply_in_era(directory, 1, 91, draining)
    assert apply_in_era(directory, 2, 50, ready) == ()
    assert apply_in_era(directory, 2, 51, ready, build_endpoint(2))
    assert directory.endpoints[ready.instance] == draining
    # What the endpoint writes itself counts again.
    again = build_endpoint(1, sequence=8)
    changes = apply_in_era(directory, 2, 52, again, build_endpoint(2))
    assert list_kinds(changes) == [ChangeKind.READY]


def test_copy_of_a_restored_store_brings_no_removed_endpoint_back():
    """Guards against new flows to an endpoint that has left."""
    directory = EndpointDirectory(LIFETIME)
    ready = build_endpoint(1, sequence=1)
    apply_in_era(directory, 1, 90, build_endpoint(1, sequence=7))
    apply_in_era(directory, 1, 91)
    assert apply_in_era(directory, 2, 50, ready) == ()
    assert list_available_endpoints(directory, 'web') == ()
    restarted = build_endpoint(1, started_at_ms=2)
    assert list_kinds(apply_in_era(directory, 2, 51, restarted)) == [
        ChangeKind.ADDED
    ]


def test_expiry_of_missing_endpoints_keeps_what_the_copy_must_not_undo():
    """Guards against a drain that is undone when another endpoint expires."""
    directory = EndpointDirectory(LIFETIME)
    draining = build_endpoint(1, sequence=7, is_draining=True)
    apply_in_era(directory, 1, 90, draining, build_endpoint(2))
    apply_in_era(directory, 2, 50, build_endpoint(1))
    assert expire_missing(directory, MISSING_RETENTION_SECONDS + 0.1)
    apply_in_era(directory, 2, 51, build_endpoint(1), build_endpoint(3), now=3)
    assert directory.endpoints[draining.instance] == draining


def test_endpoint_that_a_restored_store_lacks_is_retained():
    """Guards against callers that are refused until the endpoint has written
    its entry again, after an outage that no read has met."""
    directory = EndpointDirectory(LIFETIME)
    endpoint = build_endpoint(1)
    apply_in_era(directory, 1, 90, endpoint)
    assert apply_in_era(directory, 2, 50) == ()
    assert list_available_endpoints(directory, 'web') == (endpoint,)
    assert expire_missing(directory, MISSING_RETENTION_SECONDS + 0.1)
