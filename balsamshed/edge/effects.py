"""What an edge balancer asks of its front ends, besides packets."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from balsamshed.store.reading import Source


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Effect: read a source from the store.

    Parameters
    ----------
    source : Source
        What to read.
    """

    source: Source


@dataclass(frozen=True, slots=True)
class WriteEvent:
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
class StopProcess:
    """Effect: end the process."""


EdgeEffect = ReadSource | WriteEvent | StopProcess
