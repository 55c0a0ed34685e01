"""What an edge balancer asks of its front ends, besides packets."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from balsamshed.peers.report import PeerReport
from balsamshed.store.polling import Source


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Effect: read a source from the store.

    Parameters
    ----------
    source : Source
        What to read.
    may_be_stale : bool
        Whether a view that is some seconds old will do.
    """

    source: Source
    may_be_stale: bool = False


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Effect: write one line to the log.

    Parameters
    ----------
    name : str
        Name of the event.
    fields : mapping of str to object
        Values of the event.
    """

    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchView:
    """Effect: fetch what a peer knows of the store.

    Parameters
    ----------
    host : str
        IPv4 address of the peer.
    revision : int
        Revision of the own view; -1 without one.
    version : int
        Version of the own routes; -1 without any.
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
        IPv4 addresses of the peers.
    """

    report: PeerReport
    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Effect: end the process."""


EdgeEffect = ReadSource | FetchView | SendReport | LogEvent | StopProcess
