"""Records of the store and the rejection of invalid ones."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from balsamshed.findings import Finding


@dataclass(frozen=True, slots=True)
class Record:
    """One version of an object of the store.

    Parameters
    ----------
    key : str
        ``<group>/<kind>/<name>``.
    version : int
        Number that the store assigned to the write. Increases across all
        objects.
    body : mapping
        JSON document with ``spec``, ``changes`` and ``deleted``.
    """

    key: str
    version: int
    body: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Rejection:
    """An object that is not applied, with the reasons.

    Parameters
    ----------
    key : str
        Key of the object.
    findings : tuple of Finding
        All faults of the object, at least one.
    """

    key: str
    findings: tuple[Finding, ...]
