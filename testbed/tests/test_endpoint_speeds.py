"""Tests of the estimates of how fast endpoints are."""

from random import Random

import pytest

from balsamshed.edge.tests.builders import LISTENER, build_endpoint
from balsamshed.placement.in_flight import (
    PLACEMENTS_PER_TRIAL,
    EndpointLoadTracker,
    choose_least_loaded,
)
from balsamshed.placement.speeds import (
    FIRST_DURATIONS,
    MAX_REPORTED_SAMPLES,
    SAMPLE_HALF_LIFE_SECONDS,
    DurationSample,
    EndpointSpeeds,
    SpeedReport,
    join_reports,
    pick_reports,
    record_duration,
    refresh_durations,
)

COOKIES = tuple(range(1, 9))
SERVICES = {'web': COOKIES}


def run_requests(
    speeds, numbers, *, seconds, start=0, slow=(), factor=2.2, listeners=None
):
    """Let each endpoint answer four requests a second, with a heavy tail."""
    typical = listeners or {LISTENER: 0.03}
    for tick in range(int(seconds * 4)):
        now = start + tick / 4
        for cookie in COOKIES:
            listener = numbers.choice(tuple(typical))
            duration = typical[listener] * numbers.lognormvariate(0, 0.4)
            if numbers.random() < 0.03:
                duration *= 7
            if cookie in slow:
                duration *= factor
            sample = DurationSample(cookie, listener, duration, 0.5)
            record_duration(speeds, sample, now)
    return refresh_durations(speeds, SERVICES, start + seconds)


@pytest.mark.parametrize('seed', range(5))
def test_slow_endpoints_are_found_under_heavy_tails(seed):
    """Guards against a rare long request that makes an endpoint look slow,
    and against a slow endpoint that is hidden by them."""
    speeds = EndpointSpeeds()
    changes = run_requests(speeds, Random(seed), seconds=15, slow=(1, 2))
    assert set(changes.slow) == {1, 2}
    assert set(speeds.relative_durations) == {1, 2}
    assert all(
        1.5 <= speeds.relative_durations[cookie] <= 3 for cookie in (1, 2)
    )


def test_kinds_of_request_are_not_taken_for_speeds():
    """Guards against an endpoint that looks slow since it got the requests of
    a slow route."""
    listeners = {LISTENER: 0.03, LISTENER + 1: 0.3}
    speeds = EndpointSpeeds()
    run_requests(speeds, Random(1), seconds=15, listeners=listeners)
    assert speeds.relative_durations == {}
    for tick in range(200):
        sample = DurationSample(1, LISTENER + 1, 0.3, 0.5)
        record_duration(speeds, sample, 15 + tick / 100)
    refresh_durations(speeds, SERVICES, 17)
    assert 1 not in speeds.relative_durations


def test_endpoint_that_changes_is_noticed_within_seconds():
    """Guards against a slow endpoint that gets its full share for long, and
    against one that never comes back."""
    speeds, numbers = EndpointSpeeds(), Random(1)
    run_requests(speeds, numbers, seconds=10)
    changes = run_requests(
        speeds, numbers, seconds=4, start=10, slow=(3,), factor=5
    )
    assert changes.slow == (3,)
    changes = run_requests(speeds, numbers, seconds=10, start=14)
    assert changes.no_longer_slow == (3,)


def test_flapping_endpoint_stays_near_its_mean():
    """Guards against estimates that swing with each short change."""
    speeds, numbers = EndpointSpeeds(), Random(1)
    run_requests(speeds, numbers, seconds=10)
    seen = []
    for second in range(10, 22):
        slow = (3,) if second % 2 else ()
        run_requests(
            speeds, numbers, seconds=1, start=second, slow=slow, factor=8
        )
        seen.append(speeds.relative_durations.get(3, 1))
    assert all(1 < factor < 8 for factor in seen[-6:])


def test_rejections_do_not_make_an_endpoint_look_fast():
    """Guards against more requests for an endpoint whose queue is full, which
    rejects them faster than others answer."""
    speeds, numbers = EndpointSpeeds(), Random(1)
    run_requests(speeds, numbers, seconds=10)
    for tick in range(100):
        now = 10 + tick / 100
        # Rejected with the queue seen by this balancer, then with one that
        # only its peers filled.
        for load, seconds in ((5, 0.02), (0.5, 0.002)):
            sample = DurationSample(2, LISTENER, seconds, load)
            record_duration(speeds, sample, now)
    refresh_durations(speeds, SERVICES, 11)
    assert 2 not in speeds.relative_durations


def test_queueing_is_not_taken_for_slowness():
    """Guards against busy endpoints that are judged by their queues."""
    speeds, numbers = EndpointSpeeds(), Random(1)
    run_requests(speeds, numbers, seconds=10)
    for tick in range(100):
        sample = DurationSample(2, LISTENER, 0.045, 1.5)
        record_duration(speeds, sample, 10 + tick / 100)
    refresh_durations(speeds, SERVICES, 11)
    assert 2 not in speeds.relative_durations


def test_estimate_of_an_idle_endpoint_decays():
    """Guards against an endpoint that is avoided for good."""
    speeds = EndpointSpeeds()
    run_requests(speeds, Random(1), seconds=15, slow=(1,))
    later = 15 + 6 * SAMPLE_HALF_LIFE_SECONDS
    changes = refresh_durations(speeds, SERVICES, later)
    assert changes.no_longer_slow == (1,)


def test_reports_of_peers_replace_own_samples_of_a_started_balancer():
    """Guards against a balancer that learns anew what all others know."""
    known, started = EndpointSpeeds(), EndpointSpeeds()
    run_requests(known, Random(1), seconds=15, slow=(1, 2))
    join_reports(started, pick_reports(known, 32, 15), 15)
    assert set(refresh_durations(started, SERVICES, 15).slow) == {1, 2}
    assert pick_reports(started, 32, 15) == ()


def test_one_peer_does_not_decide_on_an_endpoint():
    """Guards against a faulty peer that takes endpoints out of service."""
    speeds, numbers = EndpointSpeeds(), Random(1)
    run_requests(speeds, numbers, seconds=20)
    join_reports(speeds, (SpeedReport(1, 7.9, 64), SpeedReport(2, 1, 0)), 20)
    assert MAX_REPORTED_SAMPLES < speeds.estimates[1].joined.samples / 2
    refresh_durations(speeds, SERVICES, 20)
    assert speeds.relative_durations.get(1, 1) < 2


def test_all_endpoints_are_reported_in_turn():
    """Guards against endpoints that no peer ever hears of."""
    speeds = EndpointSpeeds()
    run_requests(speeds, Random(1), seconds=10)
    reported = {
        report.cookie
        for _ in range(3)
        for report in pick_reports(speeds, 3, 10)
    }
    assert reported == set(COOKIES)


def test_unknown_endpoints_are_forgotten():
    """Guards against a table that grows with every release."""
    speeds = EndpointSpeeds()
    run_requests(speeds, Random(1), seconds=10, slow=(1,))
    refresh_durations(speeds, {'web': COOKIES[1:]}, 10)
    assert 1 not in speeds.estimates
    assert 1 not in speeds.relative_durations


def test_few_durations_say_nothing():
    """Guards against a reference that rests on one request."""
    speeds = EndpointSpeeds()
    for cookie in range(FIRST_DURATIONS):
        record_duration(speeds, DurationSample(cookie, LISTENER, 0.1, 0.5), 0)
    assert speeds.estimates == {}


def choose(tracker, candidates, randbelow):
    return choose_least_loaded(tracker, candidates, None, randbelow, 0)


def build_tracker(own=None, durations=None):
    return EndpointLoadTracker(
        'a', own or {}, {}, {}, relative_durations=durations
    )


def test_expected_time_decides():
    """Guards against equal shares for unequal endpoints."""
    fast, slow = build_endpoint(1), build_endpoint(2)
    candidates, last = (slow, fast), lambda limit: limit - 1
    durations = {slow.cookie: 2.5}
    tracker = build_tracker({fast.cookie: 1}, durations)
    assert choose(tracker, candidates, last) == fast
    tracker = build_tracker({fast.cookie: 2}, durations)
    assert choose(tracker, candidates, last) == slow


def test_slow_endpoint_is_tried_now_and_then():
    """Guards against an endpoint that has recovered and gets no requests."""
    candidates = tuple(map(build_endpoint, range(1, 5)))
    slow = candidates[0]
    tracker = build_tracker(durations={slow.cookie: 8})
    numbers = Random(1)
    amount = 20_000
    chosen = [
        choose(tracker, candidates, numbers.randrange) for _ in range(amount)
    ]
    share = chosen.count(slow) / amount
    assert 0.5 < share * PLACEMENTS_PER_TRIAL * len(candidates) < 1.5


def test_equal_endpoints_share_evenly():
    """Guards against all balancers choosing the one endpoint that seems a bit
    faster than the others."""
    numbers = Random(1)
    speeds = EndpointSpeeds()
    run_requests(speeds, numbers, seconds=15)
    tracker = build_tracker(durations=speeds.relative_durations)
    candidates = tuple(map(build_endpoint, range(1, 9)))
    chosen = [
        choose(tracker, candidates, numbers.randrange) for _ in range(4000)
    ]
    counts = [chosen.count(endpoint) for endpoint in candidates]
    assert max(counts) < 1.3 * min(counts)


def test_off_draws_no_further_random_numbers():
    """Guards against decisions that change although the part is off."""
    candidates = tuple(map(build_endpoint, range(1, 9)))
    limits = []

    def randbelow(limit):
        limits.append(limit)
        return 0

    choose(build_tracker(), candidates, randbelow)
    assert limits == [len(candidates)]


def test_reference_follows_durations_that_became_shorter_for_good():
    """Guards against a service whose speeds are unknown for the life of the
    process, since its first requests met a flood."""
    speeds = EndpointSpeeds()
    for number in range(FIRST_DURATIONS):
        record_duration(speeds, DurationSample(1, LISTENER, 1, 0.5), number)
    for number in range(4000):
        sample = DurationSample(1, LISTENER, 0.05, 0.5)
        record_duration(speeds, sample, 20 + number / 100)
    assert speeds.routes[LISTENER].octaves < -3.5
