"""Guards against records that revert or faulty objects that are applied."""

from hypothesis import given
from hypothesis import strategies as st

from balsamshed.configuration.catalog import (
    Catalog,
    derive_routing_table,
    merge_records,
)
from balsamshed.configuration.records import Record

BACKEND_KEY = 'g/backend_server/b1'


def make_record(version, **changes):
    spec = {
        'service': 'creneau',
        'host': '10.8.0.1',
        'data_centre': 'qc-1',
        'slots': 2,
        **changes,
    }
    return Record(BACKEND_KEY, version, {'spec': spec})


@given(st.permutations(range(1, 6)))
def test_any_order_of_versions_gives_the_highest(order):
    """A late answer of a lagging store replica must not revert a record."""
    catalog = Catalog()
    for version in order:
        merge_records(catalog, (make_record(version, slots=version),))
    assert catalog.resources[BACKEND_KEY].slots == 5
    fresh = Catalog()
    merge_records(fresh, (make_record(5, slots=5),))
    assert catalog.digest == fresh.digest


def test_faulty_version_keeps_the_last_good_one_in_force():
    """A bad object must not take a backend server out of service."""
    catalog = Catalog()
    merge_records(catalog, (make_record(1),))
    merge_records(catalog, (make_record(2, slots=0, host='x', extra=1),))
    assert catalog.resources[BACKEND_KEY].slots == 2
    places = [f.place for f in catalog.rejections[BACKEND_KEY].findings]
    assert places == ['$.extra', '$.host', '$.slots']


def test_impossible_times_are_findings_and_do_not_raise():
    """A date that does not exist must not stop a balancer."""
    catalog = Catalog()
    periods = [
        {'start': '2026-02-30T00:00:00Z', 'duration_seconds': 1},
        {'start': '2026-02-28T00:00:00Z', 'duration_seconds': 10**400},
    ]
    merge_records(catalog, (make_record(1, quiet_periods=periods),))
    places = [f.place for f in catalog.rejections[BACKEND_KEY].findings]
    assert places == [
        '$.quiet_periods[0].start',
        '$.quiet_periods[1].duration_seconds',
    ]


def test_trailing_newline_and_whole_float_are_findings():
    """A name with a newline would break keys, a float the packet codec."""
    catalog = Catalog()
    merge_records(catalog, (make_record(1, service='creneau\n', slots=2.0),))
    places = [f.place for f in catalog.rejections[BACKEND_KEY].findings]
    assert places == ['$.service', '$.slots']


def make_service(name, version, address):
    listener = {
        'name': 'requests',
        'port': 7002,
        'kind': 'request',
        'work_class': 'urgent',
    }
    spec = {
        'customer': 'buanderie',
        'address': address,
        'listeners': [listener],
    }
    return Record(f'g/service/{name}', version, {'spec': spec})


@given(st.permutations(range(4)))
def test_a_host_never_moves_to_a_newcomer(order):
    """Packets for creneau would reach a backend server of registre."""
    newcomer = make_record(9, service='registre')
    records = [
        make_service('creneau', 1, '192.0.2.10'),
        make_service('registre', 2, '192.0.2.11'),
        make_record(3),
        Record('g/backend_server/a0', 9, newcomer.body),
    ]
    catalog = Catalog()
    for position in order:
        merge_records(catalog, (records[position],))
    routing = derive_routing_table(catalog)
    host = routing.endpoints[0x0A080001, 7002]
    assert host.service.name == 'creneau'
    assert list(catalog.losers) == ['g/backend_server/a0']
    assert catalog.losers['g/backend_server/a0'].findings[0].place == '$.host'
