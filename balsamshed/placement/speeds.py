"""Estimates of how long endpoints take, relative to others.

A duration is compared with that of its route, as a binary logarithm, so that
requests of different kinds can be averaged. Each endpoint has a mean of such
values, in which older ones count less and none moves it far.

A balancer sees the packets of callers only. It cannot tell a rejection from an
answer, but a full endpoint rejects at once, and only while requests wait there.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain
from math import exp2, log2
from statistics import median
from typing import Final

#: Time in which the weight of a sample is halved. Slowness may last some
#: seconds only, and few requests of one balancer reach each endpoint then.
SAMPLE_HALF_LIFE_SECONDS: Final = 5.0
#: Samples of an average endpoint that each estimate starts with.
PRIOR_SAMPLES: Final = 2.0
#: Limit of the samples in an estimate, so that a busy endpoint that changes is
#: noticed as soon as others.
MAX_SAMPLES: Final = 40.0
#: Distance from the estimate beyond which a sample is cut off, in octaves: a
#: few requests take many times as long as others at any endpoint.
MAX_DEVIATION_OCTAVES: Final = 1.5
#: Requests in flight for each slot above which a duration says more about the
#: queue than about the endpoint, and may be that of a rejection.
MAX_SAMPLED_REQUESTS_PER_SLOT: Final = 1.5
#: Answers that come sooner, relative to the route, ran nothing.
MIN_PLAUSIBLE_OCTAVES: Final = -2.5
#: Durations whose median is the first reference of a route.
FIRST_DURATIONS: Final = 15
#: Weight of a further duration in the reference.
REFERENCE_WEIGHT: Final = 0.02
#: The same of a duration that is too short to be plausible.
IMPLAUSIBLE_WEIGHT: Final = 0.002
#: Octaves from which an endpoint counts as slower or faster than others, and
#: below which it no longer does. Those in between are equal to placement, so
#: that balancers do not all choose the one with the lowest estimate.
UNEQUAL_OCTAVES: Final = 0.45
EQUAL_OCTAVES: Final = 0.3
#: Estimates that placement uses are multiples of this part of an octave.
STEPS_PER_OCTAVE: Final = 4
MIN_OCTAVES: Final = -2.0
MAX_OCTAVES: Final = 3.0
#: Samples that one peer's report counts for at most, so that no single peer
#: decides on an endpoint.
MAX_REPORTED_SAMPLES: Final = 8.0
#: An endpoint with fewer recent samples of this balancer is not reported.
MIN_REPORTED_SAMPLES: Final = 0.5
#: Samples of an endpoint that counts for the median of its service.
MIN_COMPARED_SAMPLES: Final = 1.0
#: Endpoints with samples; those of peers are accepted before the first view.
MAX_ESTIMATES: Final = 2048


@dataclass(frozen=True, slots=True)
class DurationSample:
    """Duration of one request.

    Parameters
    ----------
    cookie : int
        Cookie of the endpoint.
    listener : int
        Listener key of the route.
    seconds : float
        Time from the request to the acknowledgement of its answer.
    requests_per_slot : float
        Requests in flight for each slot of the endpoint when it began, with
        itself.
    """

    cookie: int
    listener: int
    seconds: float
    requests_per_slot: float


@dataclass(frozen=True, slots=True)
class SpeedReport:
    """What one balancer has itself observed of an endpoint lately.

    Parameters
    ----------
    cookie : int
        Cookie of the endpoint.
    octaves : float
        Mean binary logarithm of the relative durations.
    samples : float
        Number of durations, in which older ones count less.
    """

    cookie: int
    octaves: float
    samples: float


@dataclass(slots=True)
class DecayingMean:
    """Mean of samples whose weight is halved at regular intervals.

    Attributes
    ----------
    total, samples : float
        Weighted sum and number of the samples at `updated_at`.
    updated_at : float
        Monotonic seconds.
    """

    total: float = 0
    samples: float = 0
    updated_at: float = 0


@dataclass(slots=True)
class SpeedEstimate:
    """Relative durations of one endpoint, in octaves.

    Attributes
    ----------
    own : DecayingMean
        Samples of this balancer, which it reports.
    joined : DecayingMean
        Samples of this balancer and of its peers, which it acts on.
    """

    own: DecayingMean = field(default_factory=DecayingMean)
    joined: DecayingMean = field(default_factory=DecayingMean)


@dataclass(slots=True)
class RouteDuration:
    """Typical duration of the requests of one route.

    Attributes
    ----------
    first_octaves : list of float
        Binary logarithms of the first durations.
    octaves : float or None
        Binary logarithm of the typical duration in seconds; None until there
        are enough durations.
    """

    first_octaves: list[float] = field(default_factory=list)
    octaves: float | None = None


@dataclass(slots=True)
class EndpointSpeeds:
    """Speeds of endpoints, as known to one balancer.

    Attributes
    ----------
    routes : dict of int to RouteDuration
        Typical durations by listener key.
    estimates : dict of int to SpeedEstimate
        Estimates by cookie.
    relative_durations : dict of int to float
        Factor of the durations of each endpoint that differs from the others,
        by cookie, as of the last refresh.
    next_report_index : int
        Position of the next endpoint to report.
    """

    routes: dict[int, RouteDuration] = field(default_factory=dict)
    estimates: dict[int, SpeedEstimate] = field(default_factory=dict)
    relative_durations: dict[int, float] = field(default_factory=dict)
    next_report_index: int = 0


@dataclass(frozen=True, slots=True)
class SpeedChanges:
    """Endpoints that a refresh found to be slow, or no longer slow.

    Parameters
    ----------
    slow, no_longer_slow : tuple of int
        Cookies.
    """

    slow: tuple[int, ...]
    no_longer_slow: tuple[int, ...]


def record_duration(
    speeds: EndpointSpeeds, sample: DurationSample, now: float
) -> None:
    """Record the duration of a request, unless it says little.

    Parameters
    ----------
    speeds : EndpointSpeeds
        Changed in place.
    sample : DurationSample
        The duration, and the load that the request met.
    now : float
        Monotonic seconds.
    """
    load = sample.requests_per_slot
    if sample.seconds <= 0 or load > MAX_SAMPLED_REQUESTS_PER_SLOT:
        return
    # With more requests than slots, the request waited for a part of them.
    octaves = log2(sample.seconds / max(1, load))
    route = speeds.routes.setdefault(sample.listener, RouteDuration())
    if route.octaves is None:
        _record_first_duration(route, octaves)
        return
    relative = octaves - route.octaves
    if relative < MIN_PLAUSIBLE_OCTAVES:
        # Durations that have become shorter for good are plausible again.
        route.octaves += IMPLAUSIBLE_WEIGHT * _cut_off(relative)
        return
    route.octaves += REFERENCE_WEIGHT * _cut_off(relative)
    estimate = _get_estimate(speeds, sample.cookie)
    if estimate is None:
        return
    octaves = _limit_deviation(estimate, relative, now)
    _add_samples(estimate.own, octaves, 1, now)
    _add_samples(estimate.joined, octaves, 1, now)


def forget_routes(speeds: EndpointSpeeds, listeners: Collection[int]) -> None:
    """Remove the typical durations of all routes but the given ones."""
    for listener in speeds.routes.keys() - set(listeners):
        del speeds.routes[listener]


def join_reports(
    speeds: EndpointSpeeds, reports: Iterable[SpeedReport], now: float
) -> None:
    """Add what a peer has observed itself.

    Parameters
    ----------
    speeds : EndpointSpeeds
        Changed in place.
    reports : iterable of SpeedReport
        Observations of one peer.
    now : float
        Monotonic seconds.
    """
    for report in reports:
        samples = min(report.samples, MAX_REPORTED_SAMPLES)
        if samples <= 0:
            continue
        estimate = _get_estimate(speeds, report.cookie)
        if estimate is not None:
            octaves = _limit_deviation(estimate, report.octaves, now)
            _add_samples(estimate.joined, octaves, samples, now)


def pick_reports(
    speeds: EndpointSpeeds, limit: int, now: float
) -> tuple[SpeedReport, ...]:
    """Pick the endpoints to report next, in turn.

    Parameters
    ----------
    speeds : EndpointSpeeds
        Changed in place.
    limit : int
        Maximum number of endpoints.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of SpeedReport
        Observations of this balancer only, since those of peers would come
        back to them.
    """
    reports = [
        SpeedReport(cookie, _get_mean(estimate.own), samples)
        for cookie, estimate in speeds.estimates.items()
        if (samples := _get_samples(estimate.own, now)) >= MIN_REPORTED_SAMPLES
    ]
    if len(reports) <= limit:
        return tuple(reports)
    start = speeds.next_report_index % len(reports)
    speeds.next_report_index = start + limit
    return tuple((reports + reports)[start : start + limit])


def refresh_durations(
    speeds: EndpointSpeeds,
    services: Mapping[str, Collection[int]],
    now: float,
) -> SpeedChanges:
    """Update the factors that placement uses.

    The endpoints of a service are compared with the median of them: most of
    them are then equal to placement, wherever the requests of a route went.

    Parameters
    ----------
    speeds : EndpointSpeeds
        Changed in place.
    services : mapping of str to collection of int
        Cookies of the known endpoints by service; estimates of others are
        removed, unless it is empty.
    now : float
        Monotonic seconds.

    Returns
    -------
    SpeedChanges
        Endpoints that are now slow, or no longer.
    """
    if services:
        known_cookies = set(chain.from_iterable(services.values()))
        for cookie in speeds.estimates.keys() - known_cookies:
            forget_speed(speeds, cookie)
    durations = speeds.relative_durations
    former_slow = {cookie for cookie in durations if durations[cookie] > 1}
    for cookies in services.values():
        _compare_endpoints(speeds, cookies, now)
    slow = {cookie for cookie in durations if durations[cookie] > 1}
    return SpeedChanges(tuple(slow - former_slow), tuple(former_slow - slow))


def forget_speed(speeds: EndpointSpeeds, cookie: int) -> None:
    """Remove what is known of an endpoint that left or was restarted."""
    speeds.estimates.pop(cookie, None)
    speeds.relative_durations.pop(cookie, None)


def _compare_endpoints(
    speeds: EndpointSpeeds, cookies: Collection[int], now: float
) -> None:
    """Update the factors of the endpoints of one service."""
    samples_by_cookie = {
        cookie: _get_samples(estimate.joined, now)
        for cookie in cookies
        if (estimate := speeds.estimates.get(cookie)) is not None
    }
    means = {
        cookie: _get_mean(speeds.estimates[cookie].joined)
        for cookie, samples in samples_by_cookie.items()
        if samples >= MIN_COMPARED_SAMPLES
    }
    typical = median(means.values()) if means else 0
    for cookie, samples in samples_by_cookie.items():
        weight = samples / (samples + PRIOR_SAMPLES)
        mean = _get_mean(speeds.estimates[cookie].joined)
        _set_factor(speeds, cookie, (mean - typical) * weight)


def _set_factor(speeds: EndpointSpeeds, cookie: int, octaves: float) -> None:
    durations = speeds.relative_durations
    threshold = EQUAL_OCTAVES if cookie in durations else UNEQUAL_OCTAVES
    if abs(octaves) < threshold:
        durations.pop(cookie, None)
        return
    step = round(octaves * STEPS_PER_OCTAVE) / STEPS_PER_OCTAVE
    durations[cookie] = exp2(max(MIN_OCTAVES, min(MAX_OCTAVES, step)))


def _record_first_duration(route: RouteDuration, octaves: float) -> None:
    route.first_octaves.append(octaves)
    if len(route.first_octaves) >= FIRST_DURATIONS:
        route.octaves = median(route.first_octaves)
        route.first_octaves.clear()


def _get_estimate(speeds: EndpointSpeeds, cookie: int) -> SpeedEstimate | None:
    estimate = speeds.estimates.get(cookie)
    if estimate is None and len(speeds.estimates) < MAX_ESTIMATES:
        estimate = SpeedEstimate()
        speeds.estimates[cookie] = estimate
    return estimate


def _get_octaves(estimate: SpeedEstimate, now: float) -> float:
    """Return the mean; it approaches zero while there are no samples."""
    samples = _get_samples(estimate.joined, now)
    weight = samples / (samples + PRIOR_SAMPLES)
    return _get_mean(estimate.joined) * weight


def _get_mean(mean: DecayingMean) -> float:
    return mean.total / mean.samples if mean.samples else 0


def _limit_deviation(
    estimate: SpeedEstimate, octaves: float, now: float
) -> float:
    expected = _get_octaves(estimate, now)
    return expected + _cut_off(octaves - expected)


def _cut_off(deviation: float) -> float:
    return max(-MAX_DEVIATION_OCTAVES, min(MAX_DEVIATION_OCTAVES, deviation))


def _add_samples(
    mean: DecayingMean, octaves: float, samples: float, now: float
) -> None:
    kept = min(_get_samples(mean, now), MAX_SAMPLES)
    if kept:
        mean.total *= kept / mean.samples
    else:
        mean.total = 0
    mean.total += octaves * samples
    mean.samples = kept + samples
    mean.updated_at = now


def _get_samples(mean: DecayingMean, now: float) -> float:
    age = now - mean.updated_at
    return mean.samples * exp2(-age / SAMPLE_HALF_LIFE_SECONDS)
