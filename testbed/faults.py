"""Partial updates of the faults that tests set over HTTP."""

from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any, TypeVar

_Faults = TypeVar('_Faults')


def change_faults(faults: _Faults, changes: Mapping[str, Any]) -> _Faults:
    """Replace the named fields and keep the others.

    Parameters
    ----------
    faults : frozen data class
        Current faults.
    changes : mapping of str to object
        New values by field name.

    Returns
    -------
    frozen data class
        The new faults.

    Raises
    ------
    ValueError
        If a field name is unknown.
    """
    known = {entry.name for entry in fields(faults)}  # type: ignore[arg-type]
    unknown = set(changes) - known
    if unknown:
        raise ValueError(f'unknown faults: {sorted(unknown)}')
    return replace(faults, **changes)  # type: ignore[type-var]
