"""Peer messages of all aggregates and their envelope."""

from dataclasses import dataclass

from balsamshed.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RecordPush,
)
from balsamshed.flows.messages import FlowCopies, FlowCopiesAck
from balsamshed.members.messages import Ack, Ping, PingRequest
from balsamshed.placement.messages import LoadReports

PeerMessage = (
    Ping
    | Ack
    | PingRequest
    | RecordPush
    | BucketDigests
    | BucketVersions
    | FlowCopies
    | FlowCopiesAck
    | LoadReports
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A peer message and its sender.

    Parameters
    ----------
    sender : str
        Name of the sending member.
    incarnation : int
        Incarnation of the sending member.
    message : PeerMessage
        The message.
    """

    sender: str
    incarnation: int
    message: PeerMessage
