"""Change entries inside the body of an object."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any, Final

#: Entries kept in a body; older ones are dropped, so that a body stays small.
MAX_CHANGES: Final = 16


@dataclass(frozen=True, slots=True)
class ChangeEntry:
    """One change of an object.

    Parameters
    ----------
    change_id : str
        Unique for each attempt to change an object; tells after a lost
        response whether the write took effect.
    who : str
        Who made the change.
    when : str
        Time of the change as RFC 3339 text in UTC, by the writer's clock.
    from_version : int
        Version that the change replaced; zero for a new object.
    action : str
        What was done, for example ``apply`` or ``drain``.
    """

    change_id: str
    who: str
    when: str
    from_version: int
    action: str


@dataclass(frozen=True, slots=True)
class VersionedChange:
    """A change entry with the version that it led to.

    Parameters
    ----------
    version : int
        Version that the store gave to the write.
    entry : ChangeEntry
        The change.
    """

    version: int
    entry: ChangeEntry


def append_change(
    body: Mapping[str, Any],
    entry: ChangeEntry,
) -> dict[str, Any]:
    """Return a body with one more change entry.

    Parameters
    ----------
    body : mapping
        Body of an object, with or without ``changes``.
    entry : ChangeEntry
        The change to add.

    Returns
    -------
    dict
        A copy of the body with the last `MAX_CHANGES` entries.
    """
    known = body.get('changes')
    changes = list(known) if isinstance(known, list) else []
    changes.append(asdict(entry))
    return {**body, 'changes': changes[-MAX_CHANGES:]}


def read_changes(body: Mapping[str, Any]) -> tuple[ChangeEntry, ...]:
    """Return the change entries of a body, oldest first.

    Parameters
    ----------
    body : mapping
        Body of an object. Entries of another form are left out.

    Returns
    -------
    tuple of ChangeEntry
        At most `MAX_CHANGES` entries of a body written by this package.
    """
    known = body.get('changes')
    if not isinstance(known, list):
        return ()
    entries = map(_parse_entry, known)
    return tuple(entry for entry in entries if entry is not None)


def read_versioned_changes(
    version: int,
    body: Mapping[str, Any],
) -> tuple[VersionedChange, ...]:
    """Return the changes with the versions that they led to.

    Parameters
    ----------
    version : int
        Version of the object.
    body : mapping
        Body of the object.

    Returns
    -------
    tuple of VersionedChange
        Oldest first. The version of each change is the one that the next
        change replaced.
    """
    entries = read_changes(body)
    versions = [entry.from_version for entry in entries[1:]]
    return tuple(map(VersionedChange, [*versions, version], entries))


def _parse_entry(content: object) -> ChangeEntry | None:
    if not isinstance(content, Mapping):
        return None
    texts = [content.get(key) for key in ('change_id', 'who', 'when', 'action')]
    from_version = content.get('from_version')
    if not all(isinstance(text, str) for text in texts):
        return None
    if not isinstance(from_version, int):
        return None
    return ChangeEntry(
        change_id=content['change_id'],
        who=content['who'],
        when=content['when'],
        from_version=from_version,
        action=content['action'],
    )
