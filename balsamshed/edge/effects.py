"""Effects that an edge balancer requests from its front ends."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from balsamshed.peers.report import PeerReport
from balsamshed.peers.supplement import Supplement
from balsamshed.store.polling import Source


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Effect: read a source from the store.

    Parameters
    ----------
    source : Source
        Part of the store to read.
    may_be_stale : bool
        Whether the response may come from a replica that lags by seconds.
    """

    source: Source
    may_be_stale: bool = False


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Effect: write one event to the log.

    Parameters
    ----------
    name : str
        Name of the event.
    fields : mapping of str to object
        Fields of the event.
    """

    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchView:
    """Effect: fetch a peer's view of the store.

    Parameters
    ----------
    host : str
        IPv4 address of the peer.
    revision : int
        Revision of this balancer's view; -1 without one.
    version : int
        Version of this balancer's routes; -1 without any.
    """

    host: str
    revision: int
    version: int


@dataclass(frozen=True, slots=True)
class SendReport:
    """Effect: send a report to peers.

    Parameters
    ----------
    report : PeerReport
        State of this balancer.
    hosts : tuple of str
        IPv4 addresses of the receiving peers.
    """

    report: PeerReport
    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SendSupplement:
    """Effect: send a supplement of the reports to a peer.

    Parameters
    ----------
    supplement : Supplement
        What this balancer has observed.
    host : str
        IPv4 address of the peer.
    """

    supplement: Supplement
    host: str


@dataclass(frozen=True, slots=True)
class DiscardPackets:
    """Effect: discard the packets of callers that have arrived so far."""


@dataclass(frozen=True, slots=True)
class AcceptPackets:
    """Effect: start to read the packets of callers."""


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Effect: end the process."""


EdgeEffect = (
    ReadSource
    | FetchView
    | SendReport
    | SendSupplement
    | LogEvent
    | DiscardPackets
    | AcceptPackets
    | StopProcess
)
