"""Messages that keep the backup's copies of flow entries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FlowCopy:
    """An entry for the backup or for a new owner.

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
    """A numbered batch, repeated until it is acknowledged.

    Parameters
    ----------
    sequence : int
        Number of the batch, rising for each sender.
    copies : tuple of FlowCopy
        Entries in the order in which they changed.
    """

    sequence: int
    copies: tuple[FlowCopy, ...]


@dataclass(frozen=True, slots=True)
class FlowCopiesAck:
    """Acknowledges one batch.

    Parameters
    ----------
    sequence : int
        Number of the batch.
    """

    sequence: int
