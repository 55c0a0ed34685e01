"""Tests of changes of routes between versions."""

from hypothesis import given
from hypothesis import strategies as st

from balsamshed.codecs.views import decode_view, encode_view
from balsamshed.edge.tests.builders import (
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.peers.view import StoreView
from balsamshed.routes.history import (
    MAX_CHANGES,
    RouteHistory,
    calculate_route_digest,
    list_route_changes,
    merge_route_changes,
    record_table,
)
from balsamshed.routes.table import Route, ServiceShare, create_route_table

ROUTES = st.builds(
    Route,
    st.sampled_from(['a', 'b']),
    st.just(0xC6120001),
    st.integers(1, 4),
    st.sampled_from([(ServiceShare('web'),), (ServiceShare('files', 2),)]),
    st.sampled_from([1, 2.5]),
    st.booleans(),
    st.sampled_from([0, 0.5]),
    st.integers(0, 1),
)
TABLES = st.lists(
    st.builds(
        create_route_table,
        st.just(0),
        st.lists(ROUTES, max_size=4),
        st.sets(st.sampled_from(['web', 'files'])),
    ),
    min_size=2,
    max_size=6,
)


def build_history(tables, versions):
    """Return the history of a balancer that got some versions of a table."""
    history = RouteHistory()
    for version in versions:
        table = tables[version]
        record_table(
            history,
            create_route_table(version, table.routes.values(), table.services),
        )
    return history


def transfer(changes):
    """Return changes of routes after they have been encoded and decoded."""
    view = StoreView(build_view(1, build_endpoint(1)), changes)
    return decode_view(encode_view(view)).routes


@given(st.data(), TABLES)
def test_changes_lead_to_the_table_of_the_sender_or_are_refused(data, tables):
    """Guards against a balancer with routes that no version has.

    Sender and receiver may have skipped any versions.
    """
    versions = st.lists(
        st.integers(0, len(tables) - 1), min_size=1, unique=True
    ).map(sorted)
    sender = build_history(tables, data.draw(versions))
    receiver = build_history(tables, data.draw(versions))
    changes = list_route_changes(sender, receiver.table.version)
    if changes is None:
        return
    merged = merge_route_changes(receiver, transfer(changes))
    assert merged is None or merged == sender.table


@given(TABLES)
def test_changes_from_version_to_version_are_never_refused(tables):
    """Guards against peers that fetch all routes after every change."""
    receiver = build_history(tables, [0])
    sender = build_history(tables, [0])
    for version, table in enumerate(tables[1:], start=1):
        record_table(
            sender,
            create_route_table(version, table.routes.values(), table.services),
        )
        changes = list_route_changes(sender, version - 1)
        merged = merge_route_changes(receiver, transfer(changes))
        assert merged == sender.table
        record_table(receiver, merged)
        digest = calculate_route_digest(merged.routes.values())
        assert receiver.digest == digest


def test_remembered_changes_are_limited():
    """Guards against memory that grows with every change of the routes."""
    history = RouteHistory()
    record_table(history, build_table(1, p1='web'))
    ports = range(2, MAX_CHANGES + 10)
    services = {f'p{port}': 'web' for port in ports}
    record_table(history, build_table(2, **services))
    assert len(history.change_versions) == MAX_CHANGES
    assert list_route_changes(history, 1) is None
    assert list_route_changes(history, 2).updated == ()
