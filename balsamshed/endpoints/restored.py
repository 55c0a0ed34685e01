"""Entries that a restored store lists in an older state than before.

A store that comes back from an older copy lists a draining endpoint as ready
again, and one that has left as present. An endpoint that lives writes its entry
again, with a higher sequence number. Until then the state that was known
before is used in place of the copy.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from balsamshed.endpoints.endpoint import Endpoint


@dataclass(frozen=True, slots=True)
class OutdatedEntry:
    """An entry of the copy, and what was known before.

    Parameters
    ----------
    listed : Endpoint
        State of the endpoint in the copy.
    known : Endpoint or None
        Later state of the endpoint; None if its entry was removed later.
    """

    listed: Endpoint
    known: Endpoint | None


def find_outdated_entries(
    listed: Mapping[int, Endpoint],
    known: Mapping[int, Endpoint],
    removed: Mapping[int, Endpoint],
) -> dict[int, OutdatedEntry]:
    """Return the entries of the first view of an era that are out of date.

    Parameters
    ----------
    listed : mapping of int to Endpoint
        Endpoints that the store lists, by instance ID.
    known : mapping of int to Endpoint
        Endpoints before, by instance ID.
    removed : mapping of int to Endpoint
        Endpoints whose entries were removed before, by instance ID.
    """
    outdated: dict[int, OutdatedEntry] = {}
    for instance, endpoint in listed.items():
        if instance in known and _is_older(endpoint, known[instance]):
            outdated[instance] = OutdatedEntry(endpoint, known[instance])
        elif instance in removed and _is_older(endpoint, removed[instance]):
            outdated[instance] = OutdatedEntry(endpoint, None)
    return outdated


def keep_outdated_entries(
    outdated: Mapping[int, OutdatedEntry], listed: Mapping[int, Endpoint]
) -> dict[int, OutdatedEntry]:
    """Return the outdated entries that have not been written again."""
    return {
        instance: entry
        for instance, entry in outdated.items()
        if listed.get(instance) == entry.listed
    }


def replace_outdated_entries(
    outdated: Mapping[int, OutdatedEntry], listed: Mapping[int, Endpoint]
) -> dict[int, Endpoint]:
    """Return the listed endpoints, with what was known before the copy."""
    present = dict(listed)
    for instance, entry in outdated.items():
        if entry.known is None:
            del present[instance]
        else:
            present[instance] = entry.known
    return present


def _is_older(endpoint: Endpoint, other: Endpoint) -> bool:
    """Return whether a state is older than another of the same instance."""
    return (endpoint.started_at_ms, endpoint.sequence) < (
        other.started_at_ms,
        other.sequence,
    )
