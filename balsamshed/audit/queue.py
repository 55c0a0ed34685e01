"""Audit objects that the store has not confirmed yet."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from balsamshed.audit.trail import AuditObject

#: A write without an answer for this long is made again.
RETRY_SECONDS: Final = 5.0


@dataclass(slots=True)
class AuditQueue:
    """Audit objects to be written.

    Attributes
    ----------
    waiting : dict of str to AuditObject
        Objects by key, oldest first.
    tried_at : dict of str to float
        Monotonic seconds of the last write of an object.
    """

    waiting: dict[str, AuditObject] = field(default_factory=dict)
    tried_at: dict[str, float] = field(default_factory=dict)


def queue_objects(queue: AuditQueue, objects: Iterable[AuditObject]) -> None:
    """Take over objects to be written.

    Parameters
    ----------
    queue : AuditQueue
        Changed in place.
    objects : iterable of AuditObject
        Objects in any order.
    """
    queue.waiting.update((entry.key, entry) for entry in objects)


def take_due(
    queue: AuditQueue,
    limit: int,
    now: float,
) -> tuple[AuditObject, ...]:
    """Return the objects to be written now, and note that they are.

    Parameters
    ----------
    queue : AuditQueue
        Changed in place.
    limit : int
        Largest number of objects.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of AuditObject
        Objects that were never tried or not confirmed for a while.
    """
    due: list[AuditObject] = []
    for key, entry in queue.waiting.items():
        if len(due) == limit:
            break
        tried_at = queue.tried_at.get(key)
        if tried_at is None or now - tried_at >= RETRY_SECONDS:
            queue.tried_at[key] = now
            due.append(entry)
    return tuple(due)


def settle_object(queue: AuditQueue, key: str) -> None:
    """Note that the store has an object, whoever wrote it."""
    queue.waiting.pop(key, None)
    queue.tried_at.pop(key, None)
