"""Tests of the choice of the data centre of a flow."""

from collections import Counter
from random import Random

from balsamshed.edge.tests.builders import build_endpoint
from balsamshed.placement.data_centres import (
    LEAVING_LOAD,
    LENDING_LOAD,
    REFRESH_SECONDS,
    STAYING_LOAD,
    ServiceSpread,
    choose_data_centres,
)
from balsamshed.placement.in_flight import (
    EndpointLoadTracker,
    record_unanswered_packet,
)

ENDPOINTS = {
    name: tuple(
        build_endpoint(10 * position + number, data_centre=name)
        for number in range(1, 6)
    )
    for position, name in enumerate('abc')
}
CANDIDATES = tuple(
    endpoint for endpoints in ENDPOINTS.values() for endpoint in endpoints
)
#: Slots of each data centre.
SLOTS = 10


def build_tracker(**loads):
    """Return a tracker of a balancer in ``a`` with requests by data centre."""
    tracker = EndpointLoadTracker('a', {}, {}, {})
    set_loads(tracker, **loads)
    return tracker


def set_loads(tracker, **loads):
    tracker.peer_in_flight = {
        ENDPOINTS[name][0].cookie: requests for name, requests in loads.items()
    }


def choose(tracker, reporting='abc', spread=None, now=0, randbelow=None):
    """Return the names of the data centres that a flow may go to."""
    chosen = choose_data_centres(
        spread or ServiceSpread(),
        tracker,
        CANDIDATES,
        tuple(reporting),
        randbelow or Random(1).randrange,
        now,
    )
    return {endpoint.data_centre for endpoint in chosen}


def test_flows_stay_while_there_are_slots():
    """Guards against needless flows that a partition would break."""
    tracker = build_tracker(a=int(SLOTS * LEAVING_LOAD))
    assert choose(tracker) == {'a'}


def test_balancers_choose_others_by_their_room():
    """Guards against a whole group that chooses the same idle data centre."""
    tracker = build_tracker(a=30, b=5, c=20)
    numbers = Random(1).randrange
    counts = Counter()
    for _ in range(1000):
        chosen = choose(tracker, randbelow=numbers)
        assert 'a' in chosen
        counts.update(chosen - {'a'})
    room = SLOTS * LENDING_LOAD
    expected = (room - 5) / (room - 20)
    assert 0.8 < counts['b'] / counts['c'] / expected < 1.25


def test_full_data_centre_takes_no_others():
    """Guards against callers who are pushed out by those of another place."""
    full = int(SLOTS * LENDING_LOAD)
    assert choose(build_tracker(a=80, b=full, c=full)) == {'a'}


def test_unknown_data_centre_is_not_idle():
    """Guards against flows sent across a cut, since expired reports leave
    their data centre without any requests in flight."""
    tracker = build_tracker(a=80, c=25)
    assert choose(tracker, reporting='a') == {'a'}
    assert choose(tracker, reporting='ab') == {'a', 'b'}


def test_small_changes_do_not_swing_flows():
    """Guards against flows that leave and return with each report."""
    tracker, spread = build_tracker(a=9), ServiceSpread()
    assert choose(tracker, spread=spread) != {'a'}
    set_loads(tracker, a=7)
    assert choose(tracker, spread=spread, now=REFRESH_SECONDS) != {'a'}
    set_loads(tracker, a=int(SLOTS * STAYING_LOAD))
    assert choose(tracker, spread=spread, now=2 * REFRESH_SECONDS) == {'a'}
    set_loads(tracker, a=8)
    assert choose(tracker, spread=spread, now=3 * REFRESH_SECONDS) == {'a'}


def test_suspected_endpoints_leave_no_room():
    """Guards against flows kept in, or sent to, a place that is down."""
    tracker = build_tracker(b=5)
    for name in 'ab':
        for endpoint in ENDPOINTS[name]:
            record_unanswered_packet(tracker, endpoint.cookie, b'flow', 0)
    assert choose(tracker, now=0.1) == {'c'}


def test_without_any_knowledge_all_endpoints_are_candidates():
    """Guards against refusals by a balancer that has just started in a data
    centre without endpoints."""
    tracker = build_tracker()
    for endpoint in ENDPOINTS['a']:
        record_unanswered_packet(tracker, endpoint.cookie, b'flow', 0)
    assert choose(tracker, reporting='', now=0.1) == {'a', 'b', 'c'}


def test_changed_candidates_are_seen_at_once():
    """Guards against new flows to an endpoint that has begun to drain."""
    tracker, spread = build_tracker(), ServiceSpread()
    choose(tracker, spread=spread)
    rest = CANDIDATES[1:]
    chosen = choose_data_centres(
        spread, tracker, rest, (), Random(1).randrange, 0
    )
    assert CANDIDATES[0] not in chosen
