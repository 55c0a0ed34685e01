"""Responses of the object API, apart from their transport."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from balsamshed.configuration.records import Record


class FailureReason(StrEnum):
    """Why a call of the object API has no usable response."""

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
    """Sentinel for a call without a usable response.

    Parameters
    ----------
    call : str
        Method and path.
    reason : FailureReason
        Kind of the failure.
    detail : str
        Text for operators.
    """

    call: str
    reason: FailureReason
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects of a list or watch call.

    Parameters
    ----------
    revision : int
        Revision of the store that the list shows.
    records : tuple of Record
        The objects.
    """

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """Sentinel for an object that the store does not have.

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
        Version that the store gave to the write.
    """

    version: int


@dataclass(frozen=True, slots=True)
class PutConflict:
    """Response to a conditional write whose condition did not hold.

    Parameters
    ----------
    version : int
        Current version of the object; zero if it does not exist.
    """

    version: int


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM as the platform lists it, which lags behind the truth.

    Parameters
    ----------
    name : str
        Name of the VM.
    data_centre : str
        Data centre that it runs in.
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
    """Return the listing of a decoded response, or None for another form."""
    if not isinstance(content, Mapping):
        return None
    revision = parse_version(content.get('revision'))
    entries = content.get('objects')
    if revision is None or not isinstance(entries, list):
        return None
    records = [parse_record(entry) for entry in entries]
    known = tuple(record for record in records if record is not None)
    return Listing(revision, known) if len(known) == len(records) else None


def parse_record(content: object) -> Record | None:
    """Return the record of a decoded response, or None for another form.

    A body that is no JSON object becomes the ``spec`` of one, so that the
    check of resources reports it for its key and the other objects of a list
    stay readable.

    Parameters
    ----------
    content : object
        Decoded JSON document.

    Returns
    -------
    Record or None
        The record.
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
    """Return the VMs of a decoded response, or None for another form.

    Entries of another form are left out, since the list is only a hint.

    Parameters
    ----------
    content : object
        Decoded JSON document.

    Returns
    -------
    tuple of VmEntry or None
        The VMs.
    """
    entries = content.get('vms') if isinstance(content, Mapping) else None
    if not isinstance(entries, list):
        return None
    vms = map(_parse_vm, entries)
    return tuple(vm for vm in vms if vm is not None)


def parse_version(content: object) -> int | None:
    """Return a version or revision, or None for anything else."""
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
