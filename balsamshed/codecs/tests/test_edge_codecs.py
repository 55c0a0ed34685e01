"""Tests of the codecs between edge balancers."""

import json
from dataclasses import replace
from struct import unpack_from

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamshed.codecs.compression import (
    MAX_VIEW_BYTES,
    compress,
    decompress,
)
from balsamshed.codecs.reports import (
    MalformedReport,
    decode_report,
    encode_report,
)
from balsamshed.codecs.views import (
    create_routes_encoder,
    decode_view,
    encode_routes,
    encode_view,
)
from balsamshed.edge.tests.builders import (
    PORT,
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.endpoints.history import EndpointChanges
from balsamshed.evacuations.view import EvacuationView
from balsamshed.peers.report import (
    EndpointReport,
    PeerReport,
    calculate_wire_size,
)
from balsamshed.peers.view import StoreView
from balsamshed.routes.history import (
    RouteHistory,
    list_route_changes,
    merge_route_changes,
    record_table,
)
from balsamshed.routes.table import ServicePolicy, create_route_table

HOSTS = st.tuples(*[st.integers(0, 255)] * 4).map(
    lambda octets: '.'.join(map(str, octets))
)
#: Longest age that a report can tell.
LONGEST_AGE_SECONDS = 65.535
REPORTS = st.builds(
    PeerReport,
    st.text(max_size=20),
    st.integers(-1, 2**62),
    st.integers(0, 10**6).map(lambda age: age / 1000),
    st.lists(
        st.builds(
            EndpointReport,
            st.integers(1, 2**32 - 1),
            st.integers(0, 2**15 - 1),
            st.booleans(),
        ),
        max_size=20,
    ).map(tuple),
    st.lists(HOSTS, max_size=3).map(tuple),
    st.integers(-1, 2**62),
    st.integers(0, 2**15 - 2),
)


@given(REPORTS)
def test_report_survives_the_round_trip(report):
    """Guards against fields that are lost or changed by the codec."""
    decoded = decode_report(encode_report(report))
    assert decoded.endpoints == report.endpoints
    assert decoded.peers == report.peers
    assert decoded.revision == report.revision
    assert decoded.version == report.version
    assert decoded.data_centre == report.data_centre
    if report.age_seconds > LONGEST_AGE_SECONDS:
        assert decoded.age_seconds == float('inf')
        assert decoded.read_number == 0
    else:
        assert abs(decoded.age_seconds - report.age_seconds) <= 0.001
        assert decoded.read_number == report.read_number


@given(REPORTS)
def test_size_of_a_report_is_known_before_it_is_encoded(report):
    """Guards against a size estimate below the bytes on the network."""
    headers = 28
    assert len(encode_report(report)) + headers <= calculate_wire_size(
        report
    ) + len(report.data_centre.encode())
    plain = replace(report, data_centre='qc-est-a')
    assert len(encode_report(plain)) + headers == calculate_wire_size(plain)


@given(st.integers(0, 10**9).map(lambda age: age / 10**6))
def test_age_is_never_decoded_as_less_than_it_was(age):
    """Guards against a view that a peer takes for confirmed too recently."""
    report = PeerReport('a', 1, age, (), ())
    assert decode_report(encode_report(report)).age_seconds >= age


def test_infinite_age_survives_the_round_trip():
    """Guards against a view that appears confirmed although it never was."""
    report = PeerReport('a', -1, float('inf'), (), ())
    assert decode_report(encode_report(report)) == report


@given(st.binary(max_size=100))
def test_any_datagram_is_decoded_or_rejected(datagram):
    """Guards against a datagram whose decoding error stops the process."""
    assert isinstance(decode_report(datagram), PeerReport | MalformedReport)


def test_report_of_another_format_is_rejected():
    """Guards against a newer format that is decoded as this one."""
    datagram = b'\xff' + encode_report(PeerReport('a', 1, 0, (), ()))[1:]
    assert decode_report(datagram) is MalformedReport.WRONG_FORMAT


def test_report_of_the_former_build_is_decoded_without_a_read():
    """Guards against balancers of two builds that do not see each other's load
    while they run side by side."""
    endpoints = (EndpointReport(7, 3, True),)
    datagram = (
        b'\x02\x01\x01\x01'
        + (9).to_bytes(8, 'big')
        + (250).to_bytes(4, 'big')
        + (6).to_bytes(8, 'big')
        + b'a'
        + (7).to_bytes(4, 'big')
        + (3 | 1 << 15).to_bytes(2, 'big')
        + b'\x0a\x09\x00\x02'
    )
    expected = PeerReport('a', 9, 0.25, endpoints, ('10.9.0.2',), 6)
    assert decode_report(datagram) == expected
    assert expected.read_number == 0


@given(REPORTS)
def test_age_is_no_recent_one_to_a_former_build(report):
    """Guards against balancers of a former build that take the number of a
    read for a part of an age, and so an old view for a confirmed one."""
    (milliseconds,) = unpack_from('>I', encode_report(report), 12)
    assert milliseconds / 1000 > 24 * 24 * 3600


def test_view_survives_the_round_trip():
    """Guards against endpoints or routes that are changed by the codec."""
    table = build_table(4, p443='web', p80='files')
    view = build_view(
        9,
        build_endpoint(1, warm_up_seconds=1.5, sequence=3),
        build_endpoint(2, service='files', is_draining=True),
    )
    whole = StoreView(view, table)
    assert decode_view(encode_view(whole)) == whole


def test_changes_of_a_view_survive_the_round_trip():
    """Guards against changes that are decoded as a whole view."""
    changes = EndpointChanges(7, 9, (build_endpoint(1),), (0x1002,), 9, 0xC0DE)
    assert decode_view(encode_view(StoreView(changes, None))) == StoreView(
        changes, None
    )


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{}',
        b'{"version":1}',
        b'\xff',
        b'3',
        b'{"revision":Infinity,"newest":1,"endpoints":[]}',
        b'{"revision":1,"newest":1,"endpoints":[["i",1]]}',
        b'[' * 100_000,
    ],
)
def test_malformed_document_is_rejected(body):
    """Guards against a response whose decoding error stops the process."""
    assert decode_view(body) is None


def test_idempotent_routes_survive_the_round_trip():
    """Guards against flows that are reset, or never are, on balancers that got
    the routes from a peer."""
    table = build_table(4, p443='web', p80='files')
    routes = [
        replace(route, is_idempotent=route.port == PORT)
        for route in table.routes.values()
    ]
    mixed = create_route_table(4, routes, table.services)
    view = StoreView(build_view(9, build_endpoint(1)), mixed)
    assert decode_view(encode_view(view)) == view


def test_goals_of_routes_survive_the_round_trip():
    """Guards against floods that only the balancers that read the store turn
    away."""
    table = build_table(4, p443='web', p80='files')
    routes = [
        replace(route, latency_goal_seconds=0.1 * priority, priority=priority)
        for priority, route in enumerate(table.routes.values(), start=1)
    ]
    view = StoreView(
        build_view(9, build_endpoint(1)),
        create_route_table(4, routes, table.services),
    )
    assert decode_view(encode_view(view)) == view


def test_rows_of_routes_have_the_fields_of_older_builds():
    """Guards against a rolling upgrade in which older balancers cannot read
    the routes of newer ones, or newer ones those of older ones."""
    view = StoreView(build_view(9, build_endpoint(1)), build_table(4))
    document = json.loads(encode_view(view))
    assert [len(row) for row in document['routes']['routes']] == [5]
    del document['routes']['idempotent']
    del document['routes']['goals']
    assert decode_view(json.dumps(document).encode()) == view


def build_evacuated_view():
    evacuations = EvacuationView(
        8, {'b': 5, 'c': -1}, frozenset('d'), frozenset('e')
    )
    return StoreView(build_view(9, build_endpoint(1)), None, evacuations)


def test_evacuations_survive_the_round_trip():
    """Guards against evacuations that peers lose or take for others."""
    view = build_evacuated_view()
    assert decode_view(encode_view(view)) == view
    with_routes = replace(view, routes=build_table(4))
    assert decode_view(encode_view(with_routes)) == with_routes


def test_evacuations_leave_the_rest_of_a_view_as_older_builds_know_it():
    """Guards against a rolling upgrade in which older balancers cannot read
    the views of newer ones, or newer ones take a missing key for no
    evacuation."""
    view = build_evacuated_view()
    former = replace(view, evacuations=None)
    document = json.loads(encode_view(view))
    del document['evacuations']
    assert document == json.loads(encode_view(former))
    assert decode_view(json.dumps(document).encode()).evacuations is None


@pytest.mark.parametrize(
    'evacuations',
    [3, [], [8, {}, []], [8, [], [], []], [8, {'b': 'x'}, [], []], 'abcd'],
)
def test_malformed_evacuations_reject_the_document(evacuations):
    """Guards against a fetch of a peer's view that ends with an error."""
    document = json.loads(encode_view(build_evacuated_view()))
    document['evacuations'] = evacuations
    assert decode_view(json.dumps(document).encode()) is None


@pytest.mark.parametrize(
    'goals',
    [[[0.1, 1], [0.2, 2]], [[0.1]], [['soon', 1]], [[0.1, 1e400]], {'a': 1}],
)
def test_malformed_goals_reject_the_document(goals):
    """Guards against a fetch of a peer's view that ends with an error."""
    view = StoreView(build_view(9, build_endpoint(1)), build_table(4))
    document = json.loads(encode_view(view))
    document['routes']['goals'] = goals
    assert decode_view(json.dumps(document).encode()) is None


def test_fewer_goals_than_routes_reject_the_document():
    """Guards against goals that are taken for those of other routes."""
    table = build_table(4, p443='web', p80='files')
    view = StoreView(build_view(9, build_endpoint(1)), table)
    document = json.loads(encode_view(view))
    document['routes']['goals'] = [[0.1, 1]]
    assert decode_view(json.dumps(document).encode()) is None


@given(st.binary(max_size=2000))
def test_compressed_content_survives_the_round_trip(content):
    """Guards against views that are changed on their way to a peer."""
    assert decompress(compress(content)) == content


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{}',
        compress(b'x' * 1000)[:-6],
        compress(bytes(MAX_VIEW_BYTES + 1)),
    ],
)
def test_malformed_compressed_content_is_rejected(body):
    """Guards against a response that ends the process or uses up its memory."""
    assert decompress(body) is None


def test_routes_are_encoded_once_for_all_peers():
    """Guards against a holder that spends its processor time on encoding."""
    encode = create_routes_encoder()
    table, newer = build_table(1), build_table(2)
    assert encode(table) is encode(table)
    assert encode(newer) != encode(table)


def test_policies_of_services_travel_with_the_routes():
    """Guards against a peer that does not know how much a cold start bears."""
    policies = {'web': ServicePolicy(2.0, 10.0)}
    table = create_route_table(3, (), {'web'}, policies)
    view = StoreView(build_view(7), table)
    assert decode_view(encode_view(view)) == view


def test_routes_without_policies_are_encoded_as_before():
    """Guards against other bytes where no service warms up."""
    table = create_route_table(3, (), {'web'})
    assert b'policies' not in encode_routes(table)


def test_changed_routes_bring_the_policies_of_their_services():
    """Guards against a balancer that gets changes of routes from a peer and
    loses the warm-up of all services."""
    policies = {'web': ServicePolicy(2, 10)}
    history = RouteHistory()
    record_table(history, build_table(3))
    record_table(history, replace(build_table(4), policies=policies))
    changes = list_route_changes(history, 3)
    view = StoreView(build_view(9), changes)
    assert decode_view(encode_view(view)) == view
    peer = RouteHistory()
    record_table(peer, build_table(3))
    assert merge_route_changes(peer, changes).policies == policies


@pytest.mark.parametrize('row', [[2, 1e400], [-1, 0], ['x', 1], [1]])
def test_policy_out_of_range_rejects_the_document(row):
    """Guards against an error at each view of a cold endpoint, because of one
    peer's policy."""
    policies = {'web': ServicePolicy(2, 10)}
    table = replace(build_table(4), policies=policies)
    document = json.loads(encode_view(StoreView(build_view(9), table)))
    assert document['routes']['policies'] == {'web': [2, 10]}
    document['routes']['policies'] = {'web': row}
    assert decode_view(json.dumps(document).encode()) is None


def test_endpoint_without_slots_rejects_the_document():
    """Guards against a division by zero for each opening."""
    view = StoreView(build_view(9, build_endpoint(1, slots=0)), None)
    assert decode_view(encode_view(view)) is None
