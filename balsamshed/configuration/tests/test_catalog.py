"""Guards against reverted records and invalid objects that are applied."""

from hypothesis import given
from hypothesis import strategies as st

from balsamshed.configuration.anti_entropy import batch_records
from balsamshed.configuration.catalog import (
    Catalog,
    derive_routing_table,
    merge_records,
)
from balsamshed.configuration.records import Record
from balsamshed.configuration.schemas import (
    MAX_PERIOD_SECONDS,
    MAX_QUIET_PERIODS,
    MAX_URL_LENGTH,
)

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
def test_highest_version_wins_in_any_order_of_arrival(order):
    """Guards against a late response of a lagging replica that reverts a
    record."""
    catalog = Catalog()
    for version in order:
        merge_records(catalog, (make_record(version, slots=version),))
    assert catalog.resources[BACKEND_KEY].slots == 5
    fresh = Catalog()
    merge_records(fresh, (make_record(5, slots=5),))
    assert catalog.digest == fresh.digest


def test_invalid_version_keeps_the_last_valid_one_in_force():
    """Guards against an invalid object that takes a backend server out of
    service."""
    catalog = Catalog()
    merge_records(catalog, (make_record(1),))
    merge_records(catalog, (make_record(2, slots=0, host='x', extra=1),))
    assert catalog.resources[BACKEND_KEY].slots == 2
    places = [f.place for f in catalog.rejections[BACKEND_KEY].findings]
    assert places == ['$.extra', '$.host', '$.slots']


def test_impossible_times_are_findings_and_do_not_raise():
    """Guards against a balancer that stops on a date that does not exist."""
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


def test_trailing_newline_and_integral_float_are_findings():
    """Guards against a name with a newline, which breaks keys, and a float,
    which breaks the packet codec."""
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
def test_new_object_does_not_take_over_a_host(order):
    """Guards against packets for creneau that reach a backend server of
    registre."""
    new_record = make_record(9, service='registre')
    records = [
        make_service('creneau', 1, '192.0.2.10'),
        make_service('registre', 2, '192.0.2.11'),
        make_record(3),
        Record('g/backend_server/a0', 9, new_record.body),
    ]
    catalog = Catalog()
    for position in order:
        merge_records(catalog, (records[position],))
    routing = derive_routing_table(catalog)
    host = routing.endpoints[0x0A080001, 7002]
    assert host.service.name == 'creneau'
    assert list(catalog.address_conflicts) == ['g/backend_server/a0']
    assert (
        catalog.address_conflicts['g/backend_server/a0'].findings[0].place
        == '$.host'
    )


def test_body_larger_than_a_datagram_is_rejected_by_every_member():
    """Guards against an object that exceeds the size of a peer message and
    blocks its own distribution and that of other records."""
    first, second = Catalog(), Catalog()
    merge_records(first, (make_record(1),))
    merge_records(second, (make_record(1),))
    large = make_record(2, note='x' * 900_000)
    merged = merge_records(first, (large,))
    for push in batch_records((*merged, *merged)):
        merge_records(second, push.records)
    assert first.digest == second.digest
    assert first.rejections == second.rejections
    (finding,) = first.rejections[BACKEND_KEY].findings
    assert 'bytes' in finding.found
    assert first.resources[BACKEND_KEY].slots == 2
    assert merge_records(first, (large,)) == ()
    merge_records(first, (make_record(3, slots=5),))
    assert not first.rejections
    assert first.resources[BACKEND_KEY].slots == 5


def test_largest_allowed_object_is_applied():
    """G8: guards against an object that the command line accepts although it
    exceeds the limit of peer messages."""
    period = {
        'start': '2026-12-04T20:00:00.123456+01:00',
        'duration_seconds': MAX_PERIOD_SECONDS - 0.123456,
        'repeat_seconds': MAX_PERIOD_SECONDS - 0.123456,
    }
    record = make_record(
        1,
        load_url='http://' + 'x' * (MAX_URL_LENGTH - 7),
        quiet_periods=[period] * MAX_QUIET_PERIODS,
        draining=True,
    )
    change = {
        'change_id': 'f' * 32,
        'who': 'u' * 32 + '@' + 'h' * 64,
        'when': '2026-12-04T20:00:00.123456Z',
        'from_version': 10**12,
        'action': 'remove-quiet-period',
    }
    body = {**record.body, 'changes': [change] * 16, 'deleted': False}
    catalog = Catalog()
    merge_records(catalog, (Record(BACKEND_KEY, 1, body),))
    assert BACKEND_KEY in catalog.resources
