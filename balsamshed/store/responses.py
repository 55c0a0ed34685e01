"""Responses of the store's object API, independent of the transport."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from balsamshed.configuration.records import Record


class FailureReason(StrEnum):
    """Why a call of the object API returned no usable response."""

    UNREACHABLE = 'unreachable'
    LOST = 'connection lost'
    TIMED_OUT = 'timed out'
    OUTAGE = 'outage'
    TOO_LARGE = 'too large'
    TOO_OLD = 'revision too old'
    REFUSED = 'refused'
    BAD_RESPONSE = 'unexpected response'


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Result of a call that returned no usable response.

    Parameters
    ----------
    call : str
        HTTP method and path.
    reason : FailureReason
        Kind of failure.
    detail : str
        Details for operators.
    """

    call: str
    reason: FailureReason
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Listing:
    """Result of a list or watch call.

    Parameters
    ----------
    revision : int
        Revision of the store at which the objects were read.
    records : tuple of Record
        The objects.
    """

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """Result of reading an object that does not exist in the store.

    Parameters
    ----------
    key : str
        Key of the object.
    """

    key: str


@dataclass(frozen=True, slots=True)
class PutAccepted:
    """Response to a conditional write that took effect.

    Parameters
    ----------
    version : int
        Version that the store assigned to the write.
    """

    version: int


@dataclass(frozen=True, slots=True)
class PutConflict:
    """Response to a conditional write whose expected version was wrong.

    Parameters
    ----------
    version : int
        Current version of the object; zero if it does not exist.
    """

    version: int


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM in the platform's list, which lags behind the actual state.

    Parameters
    ----------
    name : str
        Name of the VM.
    data_centre : str
        Data centre in which it runs.
    host : str
        IPv4 address.
    control_port : int
        UDP port for peer messages.
    leaving : bool
        Whether the platform is about to stop it.
    """

    name: str
    data_centre: str
    host: str
    control_port: int
    leaving: bool


def parse_listing(content: object) -> Listing | None:
    """Parse a decoded list response; return None if it is malformed."""
    if not isinstance(content, Mapping):
        return None
    revision = parse_version(content.get('revision'))
    entries = content.get('objects')
    if revision is None or not isinstance(entries, list):
        return None
    records = [parse_record(entry) for entry in entries]
    valid = tuple(record for record in records if record is not None)
    return Listing(revision, valid) if len(valid) == len(records) else None


def parse_record(content: object) -> Record | None:
    """Parse one object of a decoded response.

    A body that is not a JSON object becomes the ``spec`` of one. Resource
    validation then reports it under its key, and the other objects of a list
    remain usable.

    Parameters
    ----------
    content : object
        Decoded JSON document.

    Returns
    -------
    Record or None
        The record, or None if the document is malformed.
    """
    if not isinstance(content, Mapping) or 'body' not in content:
        return None
    key = content.get('key')
    version = parse_version(content.get('version'))
    if not isinstance(key, str) or version is None:
        return None
    body = content['body']
    return Record(
        key,
        version,
        body if isinstance(body, Mapping) else {'spec': body},
    )


def parse_vms(content: object) -> tuple[VmEntry, ...] | None:
    """Parse the platform's list of VMs.

    Malformed entries are skipped, since the list is only a hint.

    Parameters
    ----------
    content : object
        Decoded JSON document.

    Returns
    -------
    tuple of VmEntry or None
        The VMs, or None if the document is malformed.
    """
    entries = content.get('vms') if isinstance(content, Mapping) else None
    if not isinstance(entries, list):
        return None
    vms = map(_parse_vm, entries)
    return tuple(vm for vm in vms if vm is not None)


def parse_version(content: object) -> int | None:
    """Return a version or revision; None if it is not a natural number."""
    if not isinstance(content, int) or isinstance(content, bool):
        return None
    return content if content >= 0 else None


def _parse_vm(content: object) -> VmEntry | None:
    if not isinstance(content, Mapping):
        return None
    texts: list[Any] = [
        content.get(key) for key in ('name', 'data_centre', 'host')
    ]
    port = parse_version(content.get('control_port'))
    if not all(isinstance(text, str) for text in texts) or port is None:
        return None
    leaving = content.get('leaving', False) is True
    return VmEntry(texts[0], texts[1], texts[2], port, leaving)
