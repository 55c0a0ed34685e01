"""Tests of the decoding of service discovery entries and the configuration."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from balsamshed.codecs.views import decode_view, encode_view
from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.logs.stream import LineQueue, enqueue_event
from balsamshed.peers.view import StoreView
from balsamshed.placement.in_flight import (
    EndpointLoadTracker,
    choose_least_loaded,
)
from balsamshed.platform.entries import (
    EntryRejection,
    decode_endpoint,
    decode_routes,
)
from balsamshed.routes.table import (
    RouteTable,
    ServicePolicy,
    ServiceShare,
    make_listener_key,
)


def build_entry(name='i-2fa0', **changes):
    spec = {
        'service': 'web',
        'address': '10.1.2.3:8080',
        'zone': 'north-a',
        'version': 'v1',
        'maxConcurrency': 2,
        'state': 'ready',
        'warmupLeftMs': 1500,
        'sequence': 4,
        'born': 1700000000000,
        **changes,
    }
    return {'meta': {'name': name}, 'spec': spec, 'status': None}


def build_configuration(**changes):
    spec = {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'host': '198.51.0.1',
                'pathPrefix': '/443/',
                'service': 'web',
                'timeoutMs': 800,
            },
        ],
        'services': [{'name': 'web'}],
        **changes,
    }
    return {'meta': {'name': 'main'}, 'spec': spec}


def test_entry_is_decoded_to_an_endpoint():
    """Guards against fields that are mixed up or converted wrongly."""
    assert decode_endpoint(build_entry()) == Endpoint(
        instance=0x2FA0,
        started_at_ms=1700000000000,
        service='web',
        host='10.1.2.3',
        port=8080,
        data_centre='north-a',
        slots=2,
        is_draining=False,
        warm_up_seconds=1.5,
        sequence=4,
    )
    assert decode_endpoint(build_entry(state='draining')).is_draining


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 3},
        {'service': ''},
        {'service': 256 * 'w'},
        {'service': 'web\ud800'},
        {'service': 'web\n'},
        {'zone': 256 * 'a'},
        {'zone': '\x00'},
        {'address': '10.1.2.3'},
        {'address': '10.1.2.300:80'},
        {'address': '10.1.2.3:0'},
        {'address': '10.1.2.3:99999'},
        {'address': 'host:80'},
        {'address': None},
        {'zone': None},
        {'maxConcurrency': 0},
        {'maxConcurrency': '2'},
        {'maxConcurrency': True},
        {'state': 'gone'},
        {'state': ['ready']},
        {'version': None},
        {'version': 3},
        {'warmupLeftMs': None},
        {'warmupLeftMs': -1},
        {'sequence': 1.5},
        {'born': 'yesterday'},
        {'born': None},
        {'born': 0},
        {'born': -1},
        {'born': True},
        {'born': 1700000000000.5},
    ],
)
def test_invalid_field_rejects_the_entry(changes):
    """Guards against flows to endpoints from invalid data in the store."""
    entry = decode_endpoint(build_entry(**changes))
    (field,) = changes
    assert entry == EntryRejection('i-2fa0', field)


def test_long_and_accented_names_are_accepted():
    """Guards against a limit of names that leaves out sound endpoints."""
    entry = build_entry(service=255 * 'w', zone='qu\u00e9bec est')
    assert decode_endpoint(entry).data_centre == 'qu\u00e9bec est'


@pytest.mark.parametrize('field', build_entry()['spec'])
def test_entry_without_a_field_is_rejected(field):
    """Guards against flows to an endpoint of another service, under whose ID
    another writer has left an entry that lacks a field."""
    entry = build_entry()
    del entry['spec'][field]
    assert decode_endpoint(entry) == EntryRejection('i-2fa0', field)


@pytest.mark.parametrize(
    'name', ['', '2fa0', 'i-', 'i-xyz', 'i-' + 17 * 'a', 'i-0', 'i-000']
)
def test_invalid_name_rejects_the_entry(name):
    """Guards against packets sent with an instance ID that no endpoint has, or
    that any endpoint accepts."""
    assert decode_endpoint(build_entry(name)) == EntryRejection(name, 'id')


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from(sorted(build_entry()['spec'])), JSON))
def test_any_entry_is_decoded_or_rejected(changes):
    """Guards against an entry whose decoding error stops every balancer."""
    entry = decode_endpoint(build_entry(**changes))
    assert isinstance(entry, Endpoint | EntryRejection)


@given(JSON)
def test_any_object_is_decoded_or_rejected(item):
    """Guards against an object whose decoding error stops every balancer."""
    assert isinstance(decode_endpoint(item), EntryRejection)
    assert isinstance(decode_routes(item), EntryRejection)


def test_configuration_is_decoded_to_routes():
    """Guards against routes with a wrong address or service."""
    table = decode_routes(build_configuration())
    assert table.version == 7
    assert table.services == {'web'}
    route = table.routes[make_listener_key(0xC6330001, 443)]
    assert route.shares == (ServiceShare('web'),)
    assert route.timeout_seconds == 0.8


def test_weights_of_a_route_are_decoded():
    """Guards against weights that are lost or ignored."""
    route = {
        'name': 'r1',
        'host': '198.51.0.1',
        'pathPrefix': '/443/',
        'backends': [
            {'service': 'web', 'weight': 90},
            {'service': 'next', 'weight': 10},
            {'service': 'off', 'weight': 0},
        ],
    }
    table = decode_routes(build_configuration(routes=[route]))
    (decoded,) = table.routes.values()
    # A service with weight 0 stays in the route for its open flows.
    assert decoded.shares == (
        ServiceShare('web', 90),
        ServiceShare('next', 10),
        ServiceShare('off', 0),
    )


@given(JSON)
def test_invalid_route_leaves_the_others_in_force(route):
    """Guards against one invalid route that disables all routes."""
    routes = [route, *build_configuration()['spec']['routes']]
    table = decode_routes(build_configuration(routes=routes))
    assert isinstance(table, RouteTable)
    assert len(table.routes) == 1


@pytest.mark.parametrize('field', ['version', 'routes', 'services'])
def test_configuration_without_a_field_is_rejected(field):
    """Guards against an empty configuration that replaces a valid one."""
    entry = decode_routes(build_configuration(**{field: None}))
    assert entry == EntryRejection('main', field)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**400)])
    | st.floats()
    | st.text()
    | st.just('\ud800'),
    lambda nested: st.lists(nested) | st.dictionaries(st.text(), nested),
    max_leaves=5,
)


@given(
    st.dictionaries(
        st.sampled_from(sorted(build_entry()['spec'])), JSON_VALUES
    ),
    JSON_VALUES,
)
@example({'maxConcurrency': 10**400}, 'i-2')
@example({'warmupLeftMs': 10**400}, 'i-2')
@example({'service': '\ud800'}, 'i-2')
def test_entries_of_other_writers_never_raise_an_error(changes, name):
    """Guards against one entry that ends the reads, placement or logs of a
    balancer, whatever its fields hold."""
    for entry_name in ('i-1', name):
        endpoint = decode_endpoint(build_entry(entry_name, **changes))
        if isinstance(endpoint, EntryRejection):
            continue
        tracker = EndpointLoadTracker('a', {}, {}, {})
        chosen = choose_least_loaded(
            tracker, [endpoint], None, lambda below: 0, 0
        )
        assert chosen is endpoint
        queue = LineQueue()
        fields = {'service': endpoint.service, 'zone': endpoint.data_centre}
        enqueue_event(queue, 'endpoint_added', lambda found=fields: found, 0)
        assert len(queue.lines) == 1
        view = StoreView(EndpointView(1, (endpoint,), 1), None)
        assert decode_view(encode_view(view)) == view


@given(
    st.dictionaries(
        st.sampled_from(['version', 'routes', 'services']), JSON_VALUES
    )
)
def test_configurations_of_other_writers_never_raise_an_error(changes):
    """Guards against a configuration that ends the reads of a balancer."""
    table = decode_routes(build_configuration(**changes))
    assert isinstance(table, RouteTable | EntryRejection)


@given(
    st.dictionaries(
        st.sampled_from(
            ['name', 'host', 'pathPrefix', 'service', 'timeoutMs', 'backends']
        ),
        JSON_VALUES,
    )
)
def test_routes_of_other_writers_never_raise_an_error(route):
    """Guards against a route that ends the reads of a balancer."""
    table = decode_routes(build_configuration(routes=[route]))
    assert isinstance(table, RouteTable)


@pytest.mark.parametrize(
    ('type_name', 'expected'),
    [
        ('safe', True),
        ('download', True),
        ('unsafe', False),
        ('upload', False),
        (None, False),
        (['safe'], False),
    ],
)
def test_only_known_types_of_requests_may_be_repeated(type_name, expected):
    """Guards against a request that runs twice because its type is new."""
    configuration = build_configuration()
    configuration['spec']['routes'][0]['type'] = type_name
    (route,) = decode_routes(configuration).routes.values()
    assert route.is_idempotent is expected


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'latencyGoalMs': 250, 'priority': 2}, (0.25, 2)),
        ({}, (0, 0)),
        ({'latencyGoalMs': 'soon', 'priority': -1}, (0, 0)),
        ({'latencyGoalMs': True, 'priority': 1.5}, (0, 0)),
    ],
)
def test_goal_and_priority_of_a_route_are_decoded(fields, expected):
    """Guards against urgent requests that are turned away as less urgent, and
    against routes lost for an invalid goal."""
    route = {
        'host': '198.51.0.1',
        'pathPrefix': '/443/',
        'service': 'web',
        **fields,
    }
    table = decode_routes(build_configuration(routes=[route]))
    (decoded,) = table.routes.values()
    assert (decoded.latency_goal_seconds, decoded.priority) == expected


def test_warm_up_of_services_is_decoded():
    """Guards against a cold start without a limit, or an invalid one."""
    services = [
        {'name': 'web', 'warmupS': 2.0, 'warmupPerS': 10},
        {'name': 'odd', 'warmupS': 'x', 'warmupPerS': -1},
        {'name': 'plain', 'warmupS': 0, 'warmupPerS': 0.0},
    ]
    spec = {'version': 1, 'routes': [], 'services': services}
    table = decode_routes({'meta': {'name': 'main'}, 'spec': spec})
    assert table.policies == {'web': ServicePolicy(2, 10)}
