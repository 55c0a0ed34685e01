"""Evaluation of quiet periods."""

from balsamshed.configuration.resources import BackendServer, QuietPeriod


def is_in_period(period: QuietPeriod, wall_time: float) -> bool:
    """Return whether a quiet period covers a point in time.

    Parameters
    ----------
    period : QuietPeriod
        The period, single or repeated.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    bool
        True from the start, inclusive, to the end, exclusive.
    """
    elapsed = wall_time - period.start_seconds
    if elapsed < 0:
        return False
    if period.repeat_seconds > 0:
        elapsed %= period.repeat_seconds
    return elapsed < period.duration_seconds


def takes_new_work(backend_server: BackendServer, wall_time: float) -> bool:
    """Return whether the configuration allows new work on a backend server.

    Parameters
    ----------
    backend_server : BackendServer
        The backend server as declared.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    bool
        False while the server is draining or in a quiet period.
    """
    if backend_server.draining:
        return False
    return not any(
        is_in_period(period, wall_time)
        for period in backend_server.quiet_periods
    )
