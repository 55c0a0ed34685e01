"""Copies of flow entries for backups and new owners.

Batches to one member are sent one at a time, so that a late repetition can
never overtake a newer batch.
"""

from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from balsamshed.flows.messages import FlowCopies, FlowCopy

#: Bytes per second that copies may take, of the 5 KB/s for control.
MAX_BYTES_PER_SECOND: Final = 3000.0
#: Unused allowance that is kept at most.
BURST_BYTES: Final = 6000.0
#: Allowance below which only feeds and unavoidable copies are made.
RESERVE_BYTES: Final = 1500.0
#: Encoded size of one copy and of the rest of a batch with its headers.
COPY_BYTES: Final = 24
BATCH_OVERHEAD_BYTES: Final = 90
#: At most this many copies travel in one batch.
MAX_COPIES_PER_BATCH: Final = 50
#: A batch without acknowledgement is sent again after this time.
RETRANSMIT_SECONDS: Final = 0.3


@dataclass(frozen=True, slots=True)
class OutgoingBatch:
    """A batch on its way.

    Parameters
    ----------
    target : str
        Name of the member that gets it.
    copies : FlowCopies
        The batch.
    sent_at : float
        Monotonic seconds of the last transmission.
    """

    target: str
    copies: FlowCopies
    sent_at: float


@dataclass(slots=True)
class CopyQueue:
    """Copies that wait for transmission or for an acknowledgement.

    Attributes
    ----------
    next_sequence : int
        Number of the next batch.
    pending : dict
        Per member, the copies to send, the newest of each flow.
    in_flight : dict
        Per member, the batch that is not acknowledged yet.
    received_sequences : dict
        Per member, the number of the last batch taken over from it.
    allowance_bytes : float
        Bytes that may be sent now.
    refilled_at : float
        Monotonic seconds of the last refill.
    """

    next_sequence: int
    pending: dict[str, dict[bytes, FlowCopy]] = field(default_factory=dict)
    in_flight: dict[str, OutgoingBatch] = field(default_factory=dict)
    received_sequences: dict[str, int] = field(default_factory=dict)
    allowance_bytes: float = BURST_BYTES
    refilled_at: float = 0


def queue_copy(queue: CopyQueue, target: str, copy: FlowCopy) -> None:
    """Add a copy for a member; an empty name means that there is none.

    Parameters
    ----------
    queue : CopyQueue
        Changed in place.
    target : str
        Name of the member.
    copy : FlowCopy
        Replaces a waiting copy of the same flow.
    """
    if target:
        queue.pending.setdefault(target, {})[copy.flow_key] = copy


def has_allowance(queue: CopyQueue) -> bool:
    """Tell whether there is room for copies that could be avoided."""
    waiting = sum(map(len, queue.pending.values())) * COPY_BYTES
    return queue.allowance_bytes - waiting > RESERVE_BYTES


def is_fully_acknowledged(queue: CopyQueue) -> bool:
    """Tell whether every copy has been acknowledged."""
    return not queue.in_flight and not any(queue.pending.values())


def discard_member(queue: CopyQueue, target: str) -> None:
    """Forget the copies for a member that is gone."""
    queue.pending.pop(target, None)
    queue.in_flight.pop(target, None)


def take_batches(queue: CopyQueue, now: float) -> list[OutgoingBatch]:
    """Return the batches to transmit now, repetitions included.

    Parameters
    ----------
    queue : CopyQueue
        Changed in place.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of OutgoingBatch
        At most one for each member.
    """
    _refill_allowance(queue, now)
    batches = []
    for target in tuple(queue.pending.keys() | queue.in_flight.keys()):
        batch = _choose_batch(queue, target, now)
        if batch is not None:
            queue.in_flight[target] = batch
            batches.append(batch)
    return batches


def record_acknowledgement(
    queue: CopyQueue, target: str, sequence: int
) -> None:
    """Note that a member has taken a batch over.

    Parameters
    ----------
    queue : CopyQueue
        Changed in place.
    target : str
        Name of the member.
    sequence : int
        Number of the batch; other numbers than the current are ignored.
    """
    batch = queue.in_flight.get(target)
    if batch is not None and batch.copies.sequence == sequence:
        queue.in_flight.pop(target)


def record_received_batch(
    queue: CopyQueue, sender: str, copies: FlowCopies
) -> bool:
    """Tell whether a received batch is new, and note its number.

    Parameters
    ----------
    queue : CopyQueue
        Changed in place.
    sender : str
        Name of the sending member.
    copies : FlowCopies
        The batch.

    Returns
    -------
    bool
        False for a repetition, which is acknowledged but not applied.
    """
    if queue.received_sequences.get(sender, -1) >= copies.sequence:
        return False
    queue.received_sequences[sender] = copies.sequence
    return True


def _refill_allowance(queue: CopyQueue, now: float) -> None:
    elapsed = now - queue.refilled_at
    queue.refilled_at = now
    queue.allowance_bytes = min(
        queue.allowance_bytes + elapsed * MAX_BYTES_PER_SECOND,
        BURST_BYTES,
    )


def _choose_batch(
    queue: CopyQueue,
    target: str,
    now: float,
) -> OutgoingBatch | None:
    batch = queue.in_flight.get(target)
    if batch is not None:
        if now - batch.sent_at < RETRANSMIT_SECONDS:
            return None
        copies = batch.copies
    else:
        copies = _fill_batch(queue, target)
    if not copies.copies:
        return None
    size = len(copies.copies) * COPY_BYTES + BATCH_OVERHEAD_BYTES
    queue.allowance_bytes -= size
    return OutgoingBatch(target, copies, now)


def _fill_batch(queue: CopyQueue, target: str) -> FlowCopies:
    room = int((queue.allowance_bytes - BATCH_OVERHEAD_BYTES) // COPY_BYTES)
    waiting = queue.pending.get(target, {})
    keys = tuple(islice(waiting, max(min(room, MAX_COPIES_PER_BATCH), 0)))
    queue.next_sequence += bool(keys)
    return FlowCopies(
        queue.next_sequence,
        tuple(waiting.pop(flow_key) for flow_key in keys),
    )
