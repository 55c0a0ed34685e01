"""Loss of packets on the way between a balancer and its endpoints.

A balancer whose own link or processor is full loses packets of flows to all
endpoints. Seen from a single flow, this looks like an endpoint that has
stopped. The difference shows in packets that had to be repeated although their
endpoint answered other flows meanwhile: it runs, and the way loses packets.
"""

from dataclasses import dataclass
from typing import Final

#: Answers are counted in two windows of this length, the current one and the
#: one before.
WINDOW_SECONDS: Final = 1.0
#: With fewer answers, nothing shows that the way to the endpoints works.
MIN_ANSWERS: Final = 3
#: Lost packets per answer, above which the silence of one endpoint shows
#: nothing. At this loss, three copies of a request are lost in a row once in
#: 8,000 requests.
MAX_LOSS_SHARE: Final = 0.05
#: Losses that are tolerated however few answers there were: networks lose
#: single packets at any time.
TOLERATED_LOSSES: Final = 1


@dataclass(slots=True)
class PathLoss:
    """Answers and losses of the current window and the one before.

    Attributes
    ----------
    window_started_at : float
        Monotonic time at which the current window started.
    answered, previous_answered : int
        Number of answered requests in each window.
    lost, previous_lost : int
        Number of packets that were lost on the way in each window.
    """

    window_started_at: float = 0
    answered: int = 0
    lost: int = 0
    previous_answered: int = 0
    previous_lost: int = 0


def record_answer(path_loss: PathLoss, now: float) -> None:
    """Record that an endpoint answered a request.

    Parameters
    ----------
    path_loss : PathLoss
        Changed in place.
    now : float
        Monotonic seconds.
    """
    _update_windows(path_loss, now)
    path_loss.answered += 1


def record_loss(path_loss: PathLoss, now: float) -> None:
    """Record that a packet was lost on the way to an endpoint that runs.

    Parameters
    ----------
    path_loss : PathLoss
        Changed in place.
    now : float
        Monotonic seconds.
    """
    _update_windows(path_loss, now)
    path_loss.lost += 1


def is_path_lossy(path_loss: PathLoss, now: float) -> bool:
    """Tell whether packets are lost on the way to endpoints that run.

    Parameters
    ----------
    path_loss : PathLoss
        Its windows are updated.
    now : float
        Monotonic seconds.
    """
    _update_windows(path_loss, now)
    answered = path_loss.answered + path_loss.previous_answered
    lost = path_loss.lost + path_loss.previous_lost
    return lost > max(TOLERATED_LOSSES, MAX_LOSS_SHARE * answered)


def is_path_reliable(path_loss: PathLoss, now: float) -> bool:
    """Tell whether the silence of one endpoint is likely its own.

    Parameters
    ----------
    path_loss : PathLoss
        Its windows are updated.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether enough requests were answered lately, and hardly any packet was
        lost.
    """
    if is_path_lossy(path_loss, now):
        return False
    return path_loss.answered + path_loss.previous_answered >= MIN_ANSWERS


def _update_windows(path_loss: PathLoss, now: float) -> None:
    age = now - path_loss.window_started_at
    if age < WINDOW_SECONDS:
        return
    is_adjacent = age < 2 * WINDOW_SECONDS
    path_loss.previous_answered = path_loss.answered if is_adjacent else 0
    path_loss.previous_lost = path_loss.lost if is_adjacent else 0
    path_loss.answered = 0
    path_loss.lost = 0
    path_loss.window_started_at = now
