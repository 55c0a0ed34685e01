"""Validation and parsing of declared resources."""

from collections.abc import Callable, Mapping
from datetime import datetime
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Any, Final

from balsamshed.configuration.records import Rejection
from balsamshed.configuration.resources import (
    BackendServer,
    Listener,
    ListenerKind,
    QuietPeriod,
    Resource,
    Service,
    WorkClass,
)
from balsamshed.configuration.schemas import (
    BACKEND_SERVER_SCHEMA,
    SERVICE_SCHEMA,
)
from balsamshed.findings import Finding
from balsamshed.schemas import find_schema_violations

_DEFAULT_DEADLINE_SECONDS: Final = 5.0


def parse_resource(key: str, spec: object) -> Resource | Rejection:
    """Validate and parse the specification of an object.

    Parameters
    ----------
    key : str
        ``<group>/<kind>/<name>``.
    spec : object
        Decoded JSON document.

    Returns
    -------
    Resource or Rejection
        The resource, or all findings if the specification is invalid.
    """
    _group, kind, name = key.split('/', maxsplit=2)
    schema = _SCHEMAS.get(kind)
    if schema is None:
        allowed = ', '.join(_SCHEMAS)
        return Rejection(key, (Finding('$.kind', kind, allowed),))
    findings = find_schema_violations(schema, spec)
    if findings or not isinstance(spec, Mapping):
        return Rejection(key, findings)
    findings = tuple(_find_duplicate_ports(spec))
    if findings:
        return Rejection(key, findings)
    return _BUILDERS[kind](name, spec)


def parse_wall_time(text: str) -> float:
    """Convert an RFC 3339 time to seconds since the Unix epoch.

    Parameters
    ----------
    text : str
        Time with an offset, such as ``2026-12-04T20:00:00Z``.

    Returns
    -------
    float
        Seconds since the Unix epoch.
    """
    return datetime.fromisoformat(text).timestamp()


def _find_duplicate_ports(spec: Mapping[str, Any]) -> list[Finding]:
    findings = []
    seen: set[int] = set()
    for position, listener in enumerate(spec.get('listeners', ())):
        port = listener['port']
        if port in seen:
            place = f'$.listeners[{position}].port'
            findings.append(
                Finding(
                    place,
                    str(port),
                    'a port used once in the service',
                ),
            )
        seen.add(port)
    return findings


def _build_service(name: str, spec: Mapping[str, Any]) -> Service:
    return Service(
        name=name,
        customer=spec['customer'],
        address=int(IPv4Address(spec['address'])),
        listeners=tuple(map(_build_listener, spec['listeners'])),
    )


def _build_listener(spec: Mapping[str, Any]) -> Listener:
    return Listener(
        name=spec['name'],
        port=spec['port'],
        kind=ListenerKind(spec['kind']),
        work_class=WorkClass(spec['work_class']),
        deadline_seconds=spec.get(
            'deadline_seconds',
            _DEFAULT_DEADLINE_SECONDS,
        ),
    )


def _build_backend_server(name: str, spec: Mapping[str, Any]) -> BackendServer:
    return BackendServer(
        name=name,
        service=spec['service'],
        host=int(IPv4Address(spec['host'])),
        data_centre=spec['data_centre'],
        slots=spec['slots'],
        load_url=spec.get('load_url', ''),
        draining=spec.get('draining', False),
        quiet_periods=tuple(
            map(_build_quiet_period, spec.get('quiet_periods', ())),
        ),
    )


def _build_quiet_period(spec: Mapping[str, Any]) -> QuietPeriod:
    return QuietPeriod(
        start_seconds=parse_wall_time(spec['start']),
        duration_seconds=spec['duration_seconds'],
        repeat_seconds=spec.get('repeat_seconds', 0),
    )


_SCHEMAS = MappingProxyType(
    {
        'service': SERVICE_SCHEMA,
        'backend_server': BACKEND_SERVER_SCHEMA,
    }
)
_BUILDERS: Mapping[str, Callable[[str, Mapping[str, Any]], Resource]] = (
    MappingProxyType(
        {
            'service': _build_service,
            'backend_server': _build_backend_server,
        }
    )
)
