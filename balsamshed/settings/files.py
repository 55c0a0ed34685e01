"""Settings files of a balancer: reading, validation and defaults."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any, Final

from balsamshed.documents import DocumentRejection, read_document
from balsamshed.findings import Finding
from balsamshed.schemas import find_schema_violations
from balsamshed.settings.balancer import BalancerSettings, SocketAddress

_PORT_KEYS: Final = ('data_port', 'control_port', 'metrics_port')
_UNSPECIFIED_HOST: Final = '0.0.0.0'  # noqa: S104  (never bound)


@dataclass(frozen=True, slots=True)
class SettingsRejection:
    """Sentinel for settings that were rejected.

    Parameters
    ----------
    file : str
        Name of the file.
    findings : tuple of Finding
        All faults of the file, at least one.
    """

    file: str
    findings: tuple[Finding, ...]


def read_settings(path: str | Path) -> BalancerSettings | SettingsRejection:
    """Read and validate a balancer's settings.

    Parameters
    ----------
    path : str or Path
        JSON file; its keys are those of ``balancer.schema.json``.

    Returns
    -------
    BalancerSettings or SettingsRejection
        The settings, or all findings.
    """
    document = read_document(path)
    if isinstance(document, DocumentRejection):
        findings = tuple(map(_redact_secret, document.findings))
        return SettingsRejection(document.file, findings)
    outcome = parse_settings(document.content)
    if isinstance(outcome, BalancerSettings):
        return outcome
    return SettingsRejection(str(path), outcome)


def parse_settings(content: object) -> BalancerSettings | tuple[Finding, ...]:
    """Validate decoded settings.

    Parameters
    ----------
    content : object
        Decoded JSON document.

    Returns
    -------
    BalancerSettings or tuple of Finding
        The settings, or all faults. No finding contains the peer key.
    """
    findings = list(
        map(_redact_secret, find_schema_violations(load_schema(), content))
    )
    if not isinstance(content, Mapping):
        return tuple(findings)
    complete = {**get_defaults(), **content}
    findings.extend(_find_duplicate_ports(complete))
    if findings:
        return tuple(findings)
    return _build_settings(complete)


@cache
def load_schema() -> Mapping[str, Any]:
    """Return the JSON schema of the settings, as shipped in the package."""
    source = files('balsamshed.settings').joinpath('balancer.schema.json')
    schema: Mapping[str, Any] = json.loads(source.read_text('utf-8'))
    return schema


def get_defaults() -> dict[str, Any]:
    """Return the default values of the optional keys."""
    return {
        key: part['default']
        for key, part in load_schema()['properties'].items()
        if 'default' in part
    }


def _find_duplicate_ports(content: Mapping[str, Any]) -> Iterator[Finding]:
    used: dict[int, str] = {}
    for key in _PORT_KEYS:
        port = content[key]
        if not isinstance(port, int):
            continue
        if port in used:
            yield Finding(
                f'$.{key}',
                str(port),
                f'a port that differs from {used[port]}',
            )
        used.setdefault(port, key)


def _redact_secret(finding: Finding) -> Finding:
    # The peer key may also appear under a misspelt key or in invalid JSON.
    if finding.place.startswith('line') or 'key' in finding.place:
        return replace(finding, found='a value that is not shown')
    return finding


def _build_settings(content: Mapping[str, Any]) -> BalancerSettings:
    return BalancerSettings(
        name=content['name'],
        group=content['group'],
        data_centre=content['data_centre'],
        host=content['host'],
        data_port=content['data_port'],
        control_port=content['control_port'],
        metrics_port=content['metrics_port'],
        advertised_host=_get_advertised(content, 'host', _UNSPECIFIED_HOST),
        advertised_data_port=_get_advertised(content, 'data_port', 0),
        advertised_control_port=_get_advertised(content, 'control_port', 0),
        fabric=_build_address(content['fabric']),
        store_url=content['store_url'].rstrip('/'),
        peers=tuple(map(_build_address, content['peers'])),
        peer_key=bytes.fromhex(content['peer_key']),
    )


def _get_advertised(
    content: Mapping[str, Any], key: str, unset: str | int
) -> Any:
    """Return the advertised host or port; the bound one if it is unset."""
    advertised = content[f'advertised_{key}']
    return content[key] if advertised == unset else advertised


def _build_address(content: Mapping[str, Any]) -> SocketAddress:
    return SocketAddress(content['host'], content['port'])
