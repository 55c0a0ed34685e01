"""Ejection of a failing host, and trial flows that readmit it."""

from math import inf
from typing import Final

from balsamshed.placement.hosts import HostLoad

#: Delay before a trial; doubles with each consecutive ejection. Each failed
#: trial costs one caller's connection at each balancer.
MIN_TRIAL_DELAY_SECONDS: Final = 2.0
MAX_TRIAL_DELAY_SECONDS: Final = 60.0

#: A trial without an outcome is replaced after this time: its flow may have
#: been dropped before it was forwarded.
TRIAL_TIMEOUT_SECONDS: Final = 5.0

#: An ejection this long after the host was readmitted starts again with the
#: minimum delay.
EJECTION_RESET_SECONDS: Final = 60.0


def get_ejection_bound(server_count: int) -> int:
    """Return the maximum number of ejected hosts of a service.

    Parameters
    ----------
    server_count : int
        Number of backend servers of the service that take new work.

    Returns
    -------
    int
        A third, rounded down, but at least one of two or more servers.
    """
    if server_count < 2:
        return 0
    return max(1, server_count // 3)


def eject(host_load: HostLoad, now: float) -> None:
    """Eject a host, so that it gets no new flows except trials."""
    if now - host_load.slow_start_at > EJECTION_RESET_SECONDS:
        host_load.ejections = 0
    host_load.is_ejected = True
    schedule_trial(host_load, now)


def schedule_trial(host_load: HostLoad, now: float) -> None:
    """Schedule the next trial of an ejected host."""
    # The exponent is bounded so that the power cannot overflow.
    wait = MIN_TRIAL_DELAY_SECONDS * 2.0 ** min(host_load.ejections, 10)
    host_load.ejected_until = now + min(wait, MAX_TRIAL_DELAY_SECONDS)
    host_load.ejections += 1
    host_load.trial_at = -inf


def start_trial(host_load: HostLoad, now: float) -> bool:
    """Start the trial of an ejected host if one is due.

    Parameters
    ----------
    host_load : HostLoad
        Changed in place if the trial is due.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether a flow must be sent to the host as a trial; at most one trial
        runs at a time.
    """
    if not host_load.is_ejected or now < host_load.ejected_until:
        return False
    if now - host_load.trial_at < TRIAL_TIMEOUT_SECONDS:
        return False
    host_load.trial_at = now
    return True


def readmit(host_load: HostLoad, now: float) -> None:
    """Readmit an ejected host, which begins its slow start."""
    host_load.is_ejected = False
    host_load.trial_at = -inf
    host_load.slow_start_at = now
