"""Messages that replicate flow entries to other members."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FlowCopy:
    """Copy of a flow entry for the backup or a new owner.

    Parameters
    ----------
    flow_key : bytes
        Key of the flow, 12 bytes.
    host : int
        IPv4 address of its backend server; zero removes the entry.
    """

    flow_key: bytes
    host: int


@dataclass(frozen=True, slots=True)
class FlowCopies:
    """A numbered batch of copies, retransmitted until it is acknowledged.

    Parameters
    ----------
    sequence : int
        Number of the batch, increasing for each sender.
    copies : tuple of FlowCopy
        Entries in the order in which they changed.
    """

    sequence: int
    copies: tuple[FlowCopy, ...]


@dataclass(frozen=True, slots=True)
class FlowCopiesAck:
    """Acknowledgement of one batch.

    Parameters
    ----------
    sequence : int
        Number of the batch.
    """

    sequence: int
