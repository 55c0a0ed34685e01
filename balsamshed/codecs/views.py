"""Codec of a balancer's view of the store, which peers fetch as JSON.

The document has the endpoints of the whole view or, with ``base``, of the
changes since that revision. ``routes`` is absent if the peer already has them,
and ``evacuations`` if the sender does not know them. ``route_changes`` has only
the changed routes in the same form; it is sent only to peers that ask for
changes of routes.
"""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.endpoints.history import EndpointChanges
from balsamshed.evacuations.view import EvacuationView
from balsamshed.peers.view import StoreView
from balsamshed.routes.history import RouteChanges
from balsamshed.routes.table import (
    MAX_WARM_UP_RATE,
    MAX_WARM_UP_SECONDS,
    Route,
    RouteTable,
    ServicePolicy,
    ServiceShare,
    create_route_table,
)

_DECODE_ERRORS: Final = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)
#: Types of an endpoint's row. The remaining warm-up time, its last field but
#: one, is a whole number where the endpoint is warm.
_FIRST_TYPES: Final = (int, int, str, str, int, str, int, bool)
_ROW_TYPES: Final = ((*_FIRST_TYPES, float, int), (*_FIRST_TYPES, int, int))

#: Encodes a table of routes as JSON.
RoutesEncoder = Callable[[RouteTable], bytes]


def encode_routes(table: RouteTable) -> bytes:
    """Encode a table of routes as JSON."""
    return _encode_json(_encode_table(table))


def create_routes_encoder() -> RoutesEncoder:
    """Return an encoder that encodes each table only once.

    A holder sends one table to every peer of its data centre, and encoding
    3,000 routes takes a small VM a tenth of a second.
    """
    last: tuple[RouteTable, bytes] | None = None

    def encode(table: RouteTable) -> bytes:
        nonlocal last
        if last is None or last[0] is not table:
            last = (table, encode_routes(table))
        return last[1]

    return encode


def encode_view(
    view: StoreView, encode_table: RoutesEncoder = encode_routes
) -> bytes:
    """Encode a view as a JSON document.

    Parameters
    ----------
    view : StoreView
        The view.
    encode_table : callable
        Encodes its routes.
    """
    document = _encode_endpoint_view(view.endpoints)
    if view.evacuations is not None:
        document['evacuations'] = _encode_evacuations(view.evacuations)
    content = _encode_json(document)
    if view.routes is None:
        return content
    if isinstance(view.routes, RouteChanges):
        changes = _encode_json(_encode_route_changes(view.routes))
        return b'%s,"route_changes":%s}' % (content[:-1], changes)
    return b'%s,"routes":%s}' % (content[:-1], encode_table(view.routes))


def decode_view(body: bytes) -> StoreView | None:
    """Decode a view from a JSON document; None if it is malformed."""
    try:
        document = json.loads(body)
        return StoreView(
            _decode_endpoint_view(document),
            _decode_any_routes(document),
            _decode_evacuations(document.get('evacuations')),
        )
    except _DECODE_ERRORS:
        return None


def _encode_endpoint_view(
    view: EndpointView | EndpointChanges,
) -> dict[str, Any]:
    if isinstance(view, EndpointView):
        return {
            'revision': view.revision,
            'newest': view.max_revision,
            'endpoints': _encode_endpoints(view.endpoints),
        }
    return {
        'revision': view.revision,
        'newest': view.max_revision,
        'base': view.base_revision,
        'endpoints': _encode_endpoints(view.updated),
        'removed': view.removed,
        'digest': view.digest,
    }


def _encode_endpoints(endpoints: Sequence[Endpoint]) -> list[list[Any]]:
    return [
        [
            endpoint.instance,
            endpoint.started_at_ms,
            endpoint.service,
            endpoint.host,
            endpoint.port,
            endpoint.data_centre,
            endpoint.slots,
            endpoint.is_draining,
            endpoint.warm_up_seconds,
            endpoint.sequence,
        ]
        for endpoint in endpoints
    ]


def _encode_evacuations(view: EvacuationView) -> list[Any]:
    return [
        view.revision,
        dict(view.listed),
        sorted(view.unreadable),
        sorted(view.kept),
    ]


def _decode_evacuations(row: Any) -> EvacuationView | None:
    if row is None:
        return None
    revision, listed, unreadable, kept = row
    return EvacuationView(
        int(revision),
        {name: int(number) for name, number in listed.items()},
        frozenset(map(str, unreadable)),
        frozenset(map(str, kept)),
    )


def _encode_json(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()


def _encode_table(table: RouteTable) -> dict[str, Any]:
    return {
        'version': table.version,
        'services': sorted(table.services),
        **_encode_routes(tuple(table.routes.values())),
        **_encode_policies(table.policies),
    }


def _encode_route_changes(changes: RouteChanges) -> dict[str, Any]:
    return {
        'base': changes.base_version,
        'version': changes.version,
        'services': sorted(changes.services),
        'removed': changes.removed,
        'digest': changes.digest,
        **_encode_routes(changes.updated),
        **_encode_policies(changes.policies),
    }


def _encode_policies(policies: Mapping[str, ServicePolicy]) -> dict[str, Any]:
    if not policies:
        return {}
    rows = {
        name: [policy.warm_up_seconds, policy.warm_up_rate]
        for name, policy in sorted(policies.items())
    }
    return {'policies': rows}


def _encode_routes(routes: Sequence[Route]) -> dict[str, Any]:
    return {
        'routes': [
            [
                route.name,
                route.address,
                route.port,
                [[share.service, share.weight] for share in route.shares],
                route.timeout_seconds,
            ]
            for route in routes
        ],
        # Not in the rows, whose length balancers of older builds check.
        'goals': [
            [route.latency_goal_seconds, route.priority] for route in routes
        ],
        'idempotent': [
            position
            for position, route in enumerate(routes)
            if route.is_idempotent
        ],
    }


def _decode_endpoint_view(document: Any) -> EndpointView | EndpointChanges:
    revision, max_revision = int(document['revision']), int(document['newest'])
    endpoints = tuple(map(_decode_endpoint, document['endpoints']))
    if 'base' not in document:
        return EndpointView(revision, endpoints, max_revision)
    return EndpointChanges(
        int(document['base']),
        revision,
        endpoints,
        tuple(document['removed']),
        max_revision,
        document.get('digest'),
    )


def _decode_endpoint(row: Any) -> Endpoint:
    types = tuple(map(type, row))
    if types not in _ROW_TYPES:
        raise TypeError(f'row of an endpoint has the types {types}')
    endpoint = Endpoint(*row)
    if endpoint.slots < 1:
        raise ValueError(f'endpoint with {endpoint.slots} slots')
    return endpoint


def _decode_any_routes(document: Any) -> RouteTable | RouteChanges | None:
    changes = document.get('route_changes')
    if changes is not None:
        return RouteChanges(
            int(changes['base']),
            int(changes['version']),
            tuple(_decode_routes(changes)),
            tuple(map(int, changes['removed'])),
            frozenset(map(str, changes['services'])),
            int(changes['digest']),
            _decode_policies(changes),
        )
    table = document.get('routes')
    if table is None:
        return None
    return create_route_table(
        table['version'],
        _decode_routes(table),
        table['services'],
        _decode_policies(table),
    )


def _decode_policies(document: Any) -> dict[str, ServicePolicy]:
    return {
        name: _decode_policy(*row)
        for name, row in document.get('policies', {}).items()
    }


def _decode_policy(seconds: Any, rate: Any) -> ServicePolicy:
    policy = ServicePolicy(float(seconds), float(rate))
    is_valid = (
        0 <= policy.warm_up_seconds <= MAX_WARM_UP_SECONDS
        and 0 <= policy.warm_up_rate <= MAX_WARM_UP_RATE
    )
    if not is_valid:
        raise ValueError(f'policy out of range: {policy}')
    return policy


def _decode_routes(document: Any) -> list[Route]:
    rows = document['routes']
    # Both are absent from balancers of older builds.
    idempotent = set(document.get('idempotent', ()))
    goals = document.get('goals') or [(0, 0) for _ in rows]
    return [
        _decode_route(row, goal, is_idempotent=position in idempotent)
        for position, (row, goal) in enumerate(zip(rows, goals, strict=True))
    ]


def _decode_route(row: Any, goal: Any, is_idempotent: bool) -> Route:
    name, address, port, shares, timeout = row
    latency_goal_seconds, priority = goal
    return Route(
        name,
        address,
        port,
        tuple(ServiceShare(*share) for share in shares),
        timeout,
        is_idempotent,
        float(latency_goal_seconds),
        int(priority),
    )
