"""Tests of the route table."""

from balsamshed.edge.tests.builders import build_table
from balsamshed.routes.table import choose_newer, make_listener_key


def test_older_version_is_never_chosen():
    """Guards against reverting to an older configuration."""
    newer, older = build_table(7), build_table(6)
    assert choose_newer(newer, older) is newer
    assert choose_newer(older, newer) is newer
    assert choose_newer(newer, build_table(7)) is newer


def test_first_route_of_a_listener_is_kept():
    """Guards against balancers that choose different services."""
    table = build_table(1, p443='web')
    assert list(table.routes) == [make_listener_key(0xC6120001, 443)]
