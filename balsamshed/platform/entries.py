"""Entries of service discovery and the configuration, decoded.

Anything may stand in the store: each field is checked before it is used.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.routes.table import (
    Route,
    RouteTable,
    ServiceShare,
    create_route_table,
)

_INSTANCE: Final = re.compile('i-([0-9a-f]{1,16})')
_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_ADDRESS: Final = re.compile(rf'({_OCTET}(?:\.{_OCTET}){{3}}):([0-9]{{1,5}})')
_HOST: Final = re.compile(rf'{_OCTET}(?:\.{_OCTET}){{3}}')
_PORT_PATH: Final = re.compile('/([0-9]{1,5})/?')
_HIGHEST_PORT: Final = 65535
_MILLISECONDS: Final = 1000
_READY: Final = 'ready'
_DRAINING: Final = 'draining'


@dataclass(frozen=True, slots=True)
class EntryRejection:
    """Sentinel for an entry that names nothing to use.

    Parameters
    ----------
    name : str
        Name of the object.
    field : str
        The first field that cannot be used.
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
        The endpoint, or the field that makes the entry unusable.
    """
    name, spec = _split_object(item)
    instance = _INSTANCE.fullmatch(name)
    if instance is None:
        return EntryRejection(name, 'id')
    if spec is None:
        return EntryRejection(name, 'spec')
    for field, is_valid in _ENDPOINT_FIELDS.items():
        if not is_valid(spec.get(field)):
            return EntryRejection(name, field)
    matched = _ADDRESS.fullmatch(spec['address'])
    if matched is None or not _is_port(matched[matched.lastindex or 0]):
        return EntryRejection(name, 'address')
    return Endpoint(
        instance=int(instance[1], 16),
        started_at_ms=spec.get('born') or 0,
        service=spec['service'],
        host=matched[1],
        port=int(matched[matched.lastindex or 0]),
        data_centre=spec['zone'],
        slots=spec['maxConcurrency'],
        is_draining=spec['state'] == _DRAINING,
        warm_up_seconds=spec['warmupLeftMs'] / _MILLISECONDS,
        sequence=spec['sequence'],
    )


def decode_routes(item: object) -> RouteTable | EntryRejection:
    """Decode the object ``config/main``.

    A route that cannot be read is left out, so that the others stay in force.

    Parameters
    ----------
    item : object
        Decoded object of the store.

    Returns
    -------
    RouteTable or EntryRejection
        The routes, or the field that makes the configuration unusable.
    """
    name, spec = _split_object(item)
    if spec is None:
        return EntryRejection(name, 'spec')
    if not _is_count(spec.get('version')):
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
            if isinstance(service, Mapping) and _is_text(service.get('name'))
        ),
    )


def _decode_route(entry: object) -> Route | None:
    if not isinstance(entry, Mapping):
        return None
    host, path = entry.get('host'), entry.get('pathPrefix')
    if not isinstance(host, str) or not isinstance(path, str):
        return None
    port = _PORT_PATH.fullmatch(path)
    shares = _decode_shares(entry)
    if not _HOST.fullmatch(host) or port is None or not shares:
        return None
    timeout: Any = entry.get('timeoutMs')
    return Route(
        name=str(entry.get('name')),
        address=_parse_host(host),
        port=int(port[1]),
        shares=shares,
        timeout_seconds=(timeout / _MILLISECONDS if _is_amount(timeout) else 0),
    )


def _decode_shares(entry: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    # A route has either one ``service`` or weighted ``backends``, which are
    # services too.
    if _is_text(entry.get('service')):
        return (ServiceShare(entry['service']),)
    backends = entry.get('backends')
    if not isinstance(backends, list):
        return ()
    return tuple(
        ServiceShare(backend['service'], backend['weight'])
        for backend in backends
        if isinstance(backend, Mapping)
        and _is_text(backend.get('service'))
        and _is_count(backend.get('weight'))
    )


def _split_object(item: object) -> tuple[str, Mapping[str, Any] | None]:
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


def _is_text(entry: object) -> bool:
    return isinstance(entry, str) and bool(entry)


def _is_count(entry: object) -> bool:
    return isinstance(entry, int) and not isinstance(entry, bool) and entry >= 0


def _is_positive(entry: object) -> bool:
    return _is_count(entry) and entry != 0


def _is_amount(entry: object) -> bool:
    return _is_count(entry) or (isinstance(entry, float) and entry >= 0)


def _is_start(entry: object) -> bool:
    # Deployments without restarts under one identity leave ``born`` out.
    return entry is None or _is_count(entry)


def _is_state(entry: object) -> bool:
    return entry in (_READY, _DRAINING)


def _is_port(text: str) -> bool:
    return 0 < int(text) <= _HIGHEST_PORT


_ENDPOINT_FIELDS: Final = {
    'service': _is_text,
    'address': _is_text,
    'zone': _is_text,
    'maxConcurrency': _is_positive,
    'state': _is_state,
    'warmupLeftMs': _is_amount,
    'sequence': _is_count,
    'born': _is_start,
}
