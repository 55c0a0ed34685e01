"""Decoding of service discovery entries and of the configuration.

Other writers can store arbitrary values, so each field is checked before use.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.routes.table import (
    MAX_WARM_UP_RATE,
    MAX_WARM_UP_SECONDS,
    Route,
    RouteTable,
    ServicePolicy,
    ServiceShare,
    create_route_table,
)

_INSTANCE_PATTERN: Final = re.compile('i-([0-9a-f]{1,16})')
#: Number that addresses any endpoint, so that no endpoint may have it.
_ANY_ENDPOINT: Final = 0
_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_ADDRESS_PATTERN: Final = re.compile(
    rf'({_OCTET}(?:\.{_OCTET}){{3}}):([0-9]{{1,5}})'
)
_HOST_PATTERN: Final = re.compile(rf'{_OCTET}(?:\.{_OCTET}){{3}}')
_PORT_PATH_PATTERN: Final = re.compile('/([0-9]{1,5})/?')
_MAX_PORT: Final = 65535
_MS_PER_SECOND: Final = 1000
#: Limits of numbers. Larger ones are errors of a writer, and would overflow
#: where loads and times are computed as floating-point numbers.
_MAX_INTEGER: Final = 2**63 - 1
_MAX_SLOTS: Final = 1_000_000
_MAX_DURATION_MS: Final = 86_400_000
#: Characters of the longest name that an entry may give. Names go into log
#: lines and into the views of all peers.
MAX_NAME_LENGTH: Final = 255
#: Values of ``type`` for routes whose requests may run more than once.
_IDEMPOTENT_TYPES: Final = ('safe', 'download')
_READY: Final = 'ready'
_DRAINING: Final = 'draining'


@dataclass(frozen=True, slots=True)
class EntryRejection:
    """Sentinel for an entry that was rejected.

    Parameters
    ----------
    name : str
        Name of the object.
    field : str
        First invalid field.
    """

    name: str
    field: str


def decode_endpoint(item: object) -> Endpoint | EntryRejection:
    """Decode an object of kind ``servers``.

    Parameters
    ----------
    item : object
        Decoded object of the store.

    Returns
    -------
    Endpoint or EntryRejection
        The endpoint, or the first invalid field of the entry.
    """
    name, spec = _get_name_and_spec(item)
    instance = _INSTANCE_PATTERN.fullmatch(name)
    if instance is None or int(instance[1], 16) == _ANY_ENDPOINT:
        return EntryRejection(name, 'id')
    if spec is None:
        return EntryRejection(name, 'spec')
    for field, is_valid in _ENDPOINT_FIELD_CHECKS.items():
        if not is_valid(spec.get(field)):
            return EntryRejection(name, field)
    matched = _ADDRESS_PATTERN.fullmatch(spec['address'])
    if matched is None or not _is_port(matched[matched.lastindex or 0]):
        return EntryRejection(name, 'address')
    return Endpoint(
        instance=int(instance[1], 16),
        started_at_ms=spec['born'],
        service=spec['service'],
        host=matched[1],
        port=int(matched[matched.lastindex or 0]),
        data_centre=spec['zone'],
        slots=spec['maxConcurrency'],
        is_draining=spec['state'] == _DRAINING,
        warm_up_seconds=spec['warmupLeftMs'] / _MS_PER_SECOND,
        sequence=spec['sequence'],
    )


def decode_evacuation(item: object) -> str | EntryRejection:
    """Return the data centre that an object of kind ``evacuations`` names.

    Parameters
    ----------
    item : object
        Decoded object of the store.

    Returns
    -------
    str or EntryRejection
        The name of the data centre, or the first invalid field. Any printable
        name is accepted, as the endpoints of a data centre may come later.
    """
    name, spec = _get_name_and_spec(item)
    if not _is_name(name):
        return EntryRejection(name, 'name')
    return name if spec is not None else EntryRejection(name, 'spec')


def decode_routes(item: object) -> RouteTable | EntryRejection:
    """Decode the object ``config/main``.

    An invalid route is skipped, so that the others stay in force.

    Parameters
    ----------
    item : object
        Decoded object of the store.

    Returns
    -------
    RouteTable or EntryRejection
        The routes, or the first invalid field of the configuration.
    """
    name, spec = _get_name_and_spec(item)
    if spec is None:
        return EntryRejection(name, 'spec')
    if not _is_non_negative_integer(spec.get('version')):
        return EntryRejection(name, 'version')
    if not isinstance(spec.get('routes'), list):
        return EntryRejection(name, 'routes')
    services = spec.get('services')
    if not isinstance(services, list):
        return EntryRejection(name, 'services')
    routes = map(_decode_route, spec['routes'])
    return create_route_table(
        spec['version'],
        (route for route in routes if route is not None),
        (
            service['name']
            for service in services
            if isinstance(service, Mapping)
            and _is_non_empty_string(service.get('name'))
        ),
        _decode_policies(services),
    )


def _decode_policies(services: list[Any]) -> dict[str, ServicePolicy]:
    """Return the policies that set a warm-up; invalid fields count as zero."""
    policies: dict[str, ServicePolicy] = {}
    for service in services:
        if not isinstance(service, Mapping):
            continue
        name = service.get('name')
        if not _is_non_empty_string(name):
            continue
        policy = ServicePolicy(
            _decode_number(service.get('warmupS'), MAX_WARM_UP_SECONDS),
            _decode_number(service.get('warmupPerS'), MAX_WARM_UP_RATE),
        )
        if policy != ServicePolicy():
            policies[str(name)] = policy
    return policies


def _decode_number(number: Any, limit: float) -> float:
    """Return a number from 0 to a limit; zero if it is absent or invalid."""
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    return float(number) if is_number and 0 <= number <= limit else 0


def _decode_route(entry: object) -> Route | None:
    if not isinstance(entry, Mapping):
        return None
    host, path = entry.get('host'), entry.get('pathPrefix')
    if not isinstance(host, str) or not isinstance(path, str):
        return None
    port = _PORT_PATH_PATTERN.fullmatch(path)
    shares = _decode_shares(entry)
    if not _HOST_PATTERN.fullmatch(host) or port is None or not shares:
        return None
    return Route(
        name=str(entry.get('name')),
        address=_parse_host(host),
        port=int(port[1]),
        shares=shares,
        timeout_seconds=_decode_duration(entry.get('timeoutMs')),
        is_idempotent=entry.get('type') in _IDEMPOTENT_TYPES,
        latency_goal_seconds=_decode_duration(entry.get('latencyGoalMs')),
        priority=_decode_priority(entry.get('priority')),
    )


def _decode_priority(priority: Any) -> int:
    """Return a priority; the most urgent one if it is absent or invalid."""
    return int(priority) if _is_non_negative_integer(priority) else 0


def _decode_duration(milliseconds: Any) -> float:
    """Return a duration in seconds, zero if it is absent or invalid."""
    if not _is_duration(milliseconds):
        return 0
    return float(milliseconds) / _MS_PER_SECOND


def _decode_shares(entry: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    # A route has either one ``service`` or a list of weighted ``backends``,
    # each of which names a service.
    if _is_non_empty_string(entry.get('service')):
        return (ServiceShare(entry['service']),)
    backends = entry.get('backends')
    if not isinstance(backends, list):
        return ()
    return tuple(
        ServiceShare(backend['service'], backend['weight'])
        for backend in backends
        if isinstance(backend, Mapping)
        and _is_non_empty_string(backend.get('service'))
        and _is_non_negative_integer(backend.get('weight'))
    )


def _get_name_and_spec(item: object) -> tuple[str, Mapping[str, Any] | None]:
    if not isinstance(item, Mapping):
        return '', None
    meta, spec = item.get('meta'), item.get('spec')
    name = meta.get('name') if isinstance(meta, Mapping) else None
    return (
        name if isinstance(name, str) else '',
        spec if isinstance(spec, Mapping) else None,
    )


def _parse_host(host: str) -> int:
    return int.from_bytes(map(int, host.split('.')), 'big')


def _is_string(value: object) -> bool:
    return isinstance(value, str)


def _is_name(value: object) -> bool:
    # Text with lone surrogates, which JSON allows, can't be encoded.
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_LENGTH
        and value.isprintable()
    )


def _is_non_empty_string(value: object) -> bool:
    return isinstance(value, str) and bool(value)


def _is_non_negative_integer(value: object) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= _MAX_INTEGER
    )


def _is_slot_count(value: object) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 < value <= _MAX_SLOTS
    )


def _is_duration(value: object) -> bool:
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 <= value <= _MAX_DURATION_MS
    )


def _is_start_time(value: object) -> bool:
    # An endpoint always writes it, so an entry without it is not its own.
    return _is_non_negative_integer(value) and value != 0


def _is_state(value: object) -> bool:
    return value in (_READY, _DRAINING)


def _is_port(text: str) -> bool:
    return 0 < int(text) <= _MAX_PORT


_ENDPOINT_FIELD_CHECKS: Final = {
    'service': _is_name,
    'address': _is_name,
    'zone': _is_name,
    'version': _is_string,
    'maxConcurrency': _is_slot_count,
    'state': _is_state,
    'warmupLeftMs': _is_duration,
    'sequence': _is_non_negative_integer,
    'born': _is_start_time,
}
