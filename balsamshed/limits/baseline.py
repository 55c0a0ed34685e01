"""Baseline of durations: how long a request takes when it does not queue.

The baseline is the lowest recent mean of a number of durations. Single
durations vary too much: the shortest of many says nothing about queueing.
"""

from dataclasses import dataclass
from math import inf
from typing import Final

#: Number of requests in a window, whose mean duration is compared with the
#: baseline.
WINDOW_REQUESTS: Final = 10

#: Weight of a window's mean in the baseline, so that the baseline follows
#: lasting changes.
AGING_WEIGHT: Final = 0.01


@dataclass(slots=True)
class DurationBaseline:
    """Baseline of the durations of one kind of request.

    Attributes
    ----------
    seconds : float
        Lowest mean duration of a window, in seconds; rises slowly towards
        the current mean. Infinite until the first window is complete.
    window_seconds, window_count : float, int
        Sum and number of the durations in the current window.
    """

    seconds: float = inf
    window_seconds: float = 0
    window_count: int = 0


def complete_window(
    baseline: DurationBaseline, duration_seconds: float
) -> float | None:
    """Add a duration to the current window.

    Parameters
    ----------
    baseline : DurationBaseline
        Changed in place.
    duration_seconds : float
        Duration of a finished request.

    Returns
    -------
    float or None
        Mean duration of the window in seconds if it is complete. The caller
        passes it to `update_baseline`.
    """
    baseline.window_seconds += duration_seconds
    baseline.window_count += 1
    if baseline.window_count < WINDOW_REQUESTS:
        return None
    mean = baseline.window_seconds / baseline.window_count
    baseline.window_seconds = 0
    baseline.window_count = 0
    return mean


def update_baseline(
    baseline: DurationBaseline,
    mean_seconds: float,
    aging_weight: float = AGING_WEIGHT,
) -> None:
    """Lower the baseline to the mean of a window, or age it towards the mean.

    Parameters
    ----------
    baseline : DurationBaseline
        Changed in place.
    mean_seconds : float
        Mean duration of a complete window.
    aging_weight : float
        Weight of a higher mean, from 0 to 1.
    """
    if mean_seconds < baseline.seconds:
        baseline.seconds = mean_seconds
    else:
        change = mean_seconds - baseline.seconds
        baseline.seconds += aging_weight * change
