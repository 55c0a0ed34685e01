"""Replication of flow entries to backups and new owners.

At most one batch is in flight to each member, so that a delayed
retransmission cannot undo a newer batch.
"""

from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from balsamshed.flows.messages import FlowCopies, FlowCopy

#: Maximum rate of copies, out of the 5 KB/s for control traffic.
MAX_BYTES_PER_SECOND: Final = 3000.0
#: Maximum unused allowance.
BURST_BYTES: Final = 6000.0
#: Allowance reserved for copies of feeds and other unavoidable copies.
RESERVE_BYTES: Final = 1500.0
#: Encoded size of one copy, and of the rest of a batch including headers.
COPY_BYTES: Final = 24
BATCH_OVERHEAD_BYTES: Final = 90
#: Maximum number of copies in one batch.
MAX_COPIES_PER_BATCH: Final = 50
#: Time after which an unacknowledged batch is retransmitted.
RETRANSMIT_SECONDS: Final = 0.3


@dataclass(frozen=True, slots=True)
class OutgoingBatch:
    """A batch that waits for its acknowledgement.

    Parameters
    ----------
    target : str
        Name of the receiving member.
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
    """Copies that wait for transmission or for acknowledgement.

    Attributes
    ----------
    next_sequence : int
        Number of the next batch.
    pending : dict
        Newest copy of each flow to send, keyed by member name and flow key.
    in_flight : dict
        Unacknowledged batch, keyed by member name.
    received_sequences : dict
        Number of the last batch received from a member, keyed by its name.
    allowance_bytes : float
        Number of bytes that may be sent now.
    refilled_at : float
        Monotonic seconds of the last refill of the allowance.
    """

    next_sequence: int
    pending: dict[str, dict[bytes, FlowCopy]] = field(default_factory=dict)
    in_flight: dict[str, OutgoingBatch] = field(default_factory=dict)
    received_sequences: dict[str, int] = field(default_factory=dict)
    allowance_bytes: float = BURST_BYTES
    refilled_at: float = 0


def queue_copy(queue: CopyQueue, target: str, copy: FlowCopy) -> None:
    """Queue a copy for a member.

    Parameters
    ----------
    queue : CopyQueue
        Changed in place.
    target : str
        Name of the member; nothing is queued if it is empty.
    copy : FlowCopy
        The copy, which replaces a pending one of the same flow.
    """
    if target:
        queue.pending.setdefault(target, {})[copy.flow_key] = copy


def has_allowance(queue: CopyQueue) -> bool:
    """Tell whether the allowance suffices for avoidable copies."""
    pending_bytes = sum(map(len, queue.pending.values())) * COPY_BYTES
    return queue.allowance_bytes - pending_bytes > RESERVE_BYTES


def is_fully_acknowledged(queue: CopyQueue) -> bool:
    """Tell whether every copy has been acknowledged."""
    return not queue.in_flight and not any(queue.pending.values())


def discard_member(queue: CopyQueue, target: str) -> None:
    """Discard the copies for an unreachable member."""
    queue.pending.pop(target, None)
    queue.in_flight.pop(target, None)


def take_batches(queue: CopyQueue, now: float) -> list[OutgoingBatch]:
    """Return the batches to transmit now, including retransmissions.

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
    """Record that a member acknowledged a batch.

    Parameters
    ----------
    queue : CopyQueue
        Changed in place.
    target : str
        Name of the member.
    sequence : int
        Number of the batch; ignored unless this batch is in flight.
    """
    batch = queue.in_flight.get(target)
    if batch is not None and batch.copies.sequence == sequence:
        queue.in_flight.pop(target)


def record_received_batch(
    queue: CopyQueue, sender: str, copies: FlowCopies
) -> bool:
    """Record the number of a received batch and tell whether it is new.

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
        False for a duplicate, which is acknowledged but not applied.
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
    affordable = int(
        (queue.allowance_bytes - BATCH_OVERHEAD_BYTES) // COPY_BYTES
    )
    pending = queue.pending.get(target, {})
    keys = tuple(islice(pending, max(min(affordable, MAX_COPIES_PER_BATCH), 0)))
    queue.next_sequence += bool(keys)
    return FlowCopies(
        queue.next_sequence,
        tuple(pending.pop(flow_key) for flow_key in keys),
    )
