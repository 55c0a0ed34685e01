"""Records of the store and what may be wrong with them."""

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
        Number that the store gave to the write; rises over all objects.
    body : mapping
        JSON document with ``spec``, ``changes`` and ``deleted``.
    """

    key: str
    version: int
    body: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Rejection:
    """Sentinel for a resource that was not accepted.

    Parameters
    ----------
    key : str
        Key of the object.
    findings : tuple of Finding
        Every fault of the object, at least one.
    """

    key: str
    findings: tuple[Finding, ...]
