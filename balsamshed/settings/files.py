"""Settings files: reading, checks and defaults."""

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
    """Sentinel for settings that were not accepted.

    Parameters
    ----------
    file : str
        Name of the file.
    findings : tuple of Finding
        Every fault of the file, at least one.
    """

    file: str
    findings: tuple[Finding, ...]


def read_settings(path: str | Path) -> BalancerSettings | SettingsRejection:
    """Read and check a balancer's settings.

    Parameters
    ----------
    path : str or Path
        JSON file; its keys are those of ``balancer.schema.json``.

    Returns
    -------
    BalancerSettings or SettingsRejection
        The settings, or all findings if there are any.
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
    """Check decoded settings.

    Parameters
    ----------
    content : object
        Decoded JSON document.

    Returns
    -------
    BalancerSettings or tuple of Finding
        The settings, or every fault. No finding contains the peer key.
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
    """Return the values of the keys that may be left out."""
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
                f'another port than that of {used[port]}',
            )
        used.setdefault(port, key)


def _redact_secret(finding: Finding) -> Finding:
    # A misspelt key may hold the secret too, and so may broken JSON.
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
    """Return what peers use in place of a bound host or port."""
    advertised = content[f'advertised_{key}']
    return content[key] if advertised == unset else advertised


def _build_address(content: Mapping[str, Any]) -> SocketAddress:
    return SocketAddress(content['host'], content['port'])
