"""Loss of packets on the way between a balancer and its endpoints.

A balancer whose own link or processor is full loses packets of flows to all
endpoints. Seen from a single flow, this looks like an endpoint that has
stopped. The difference shows in packets that had to be repeated although their
endpoint answered other flows meanwhile: it runs, and the way loses packets.

A way on which all packets wait loses none and answers nothing. Queues keep the
order of packets, so a packet has left this balancer once a later one was
answered. Only answers to packets sent later prove that the way worked.
"""

from dataclasses import dataclass, field
from typing import Final

#: Answers are counted in two windows of this length, the current one and the
#: one before.
WINDOW_SECONDS: Final = 1.0
#: With fewer answers to packets that were sent after a request, nothing shows
#: that the way to the endpoints works.
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
    proven_at : list of float
        The latest times at which packets were sent that have been answered
        since, at most `MIN_ANSWERS`, in ascending order.
    """

    window_started_at: float = 0
    answered: int = 0
    lost: int = 0
    previous_answered: int = 0
    previous_lost: int = 0
    proven_at: list[float] = field(default_factory=list)


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


def record_proof(path_loss: PathLoss, sent_at: float) -> None:
    """Record that a packet which was sent once has been answered.

    Parameters
    ----------
    path_loss : PathLoss
        Changed in place.
    sent_at : float
        Monotonic time at which the packet was sent.
    """
    proven_at = path_loss.proven_at
    proven_at.append(sent_at)
    proven_at.sort()
    del proven_at[:-MIN_ANSWERS]


def is_proven_since(path_loss: PathLoss, since: float) -> bool:
    """Tell whether a packet that was sent after a time has been answered."""
    proven_at = path_loss.proven_at
    return bool(proven_at) and proven_at[-1] >= since


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


def is_path_reliable(path_loss: PathLoss, since: float, now: float) -> bool:
    """Tell whether the silence of one endpoint is likely its own.

    Parameters
    ----------
    path_loss : PathLoss
        Its windows are updated.
    since : float
        Monotonic time from which the endpoint has been silent.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether enough packets that were sent since then have been answered,
        and hardly any packet was lost.
    """
    if is_path_lossy(path_loss, now):
        return False
    proven_at = path_loss.proven_at
    return len(proven_at) >= MIN_ANSWERS and proven_at[0] >= since


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
