"""Change entries in the body of an object."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any, Final

#: Entries kept in a body. Older ones are dropped to limit its size.
MAX_CHANGES: Final = 16


@dataclass(frozen=True, slots=True)
class ChangeEntry:
    """One change of an object.

    Parameters
    ----------
    change_id : str
        Unique identifier of one attempt to change an object. It shows after a
        lost response whether the write took effect.
    who : str
        Author of the change.
    when : str
        Time of the change in RFC 3339 format and UTC, by the writer's clock.
    from_version : int
        Version replaced by the change; zero for a new object.
    action : str
        Kind of change, for example ``apply`` or ``drain``.
    """

    change_id: str
    who: str
    when: str
    from_version: int
    action: str


@dataclass(frozen=True, slots=True)
class VersionedChange:
    """A change entry with the version it created.

    Parameters
    ----------
    version : int
        Version that the store assigned to the write.
    entry : ChangeEntry
        The change.
    """

    version: int
    entry: ChangeEntry


def append_change(
    body: Mapping[str, Any],
    entry: ChangeEntry,
) -> dict[str, Any]:
    """Return a copy of a body with a change entry appended.

    Parameters
    ----------
    body : mapping
        Body of an object, with or without ``changes``.
    entry : ChangeEntry
        The change to add.

    Returns
    -------
    dict
        The copy, with the last `MAX_CHANGES` entries.
    """
    previous = body.get('changes')
    changes = list(previous) if isinstance(previous, list) else []
    changes.append(asdict(entry))
    return {**body, 'changes': changes[-MAX_CHANGES:]}


def read_changes(body: Mapping[str, Any]) -> tuple[ChangeEntry, ...]:
    """Return the change entries of a body, oldest first.

    Parameters
    ----------
    body : mapping
        Body of an object. Malformed entries are skipped.

    Returns
    -------
    tuple of ChangeEntry
        At most `MAX_CHANGES` entries if this package wrote the body.
    """
    changes = body.get('changes')
    if not isinstance(changes, list):
        return ()
    entries = map(_parse_entry, changes)
    return tuple(entry for entry in entries if entry is not None)


def read_versioned_changes(
    version: int,
    body: Mapping[str, Any],
) -> tuple[VersionedChange, ...]:
    """Return the changes of a body with the versions they created.

    Parameters
    ----------
    version : int
        Version of the object.
    body : mapping
        Body of the object.

    Returns
    -------
    tuple of VersionedChange
        Oldest first. Each change created the version that the next one
        replaced.
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
