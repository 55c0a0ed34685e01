"""Tests of the options of an edge balancer."""

import json

import pytest

from balsamshed.settings.edge import EdgeSettings, parse_edge_settings
from balsamshed.settings.tests.test_edge import VALID
from balsamshed.steering.options import (
    ColdStartLimit,
    EdgeOptions,
    HedgeLimit,
)


def parse(options):
    return parse_edge_settings(json.dumps({**VALID, 'options': options}))


@pytest.mark.parametrize('text', [json.dumps(VALID), '{"options": {}}'])
def test_every_option_is_off_by_default(text):
    """Guards against parts that change sites whose settings do not ask."""
    settings = parse_edge_settings(json.dumps({**VALID, **json.loads(text)}))
    assert settings.options == EdgeOptions()


def test_options_are_decoded():
    """Guards against options that are mixed up."""
    settings = parse(
        {
            'follow_evacuations': True,
            'cold_start_excess': 1.5,
            'cold_start_slack': 5,
            'hedged_share': 0.05,
            'unknown': 1,
        },
    )
    assert isinstance(settings, EdgeSettings)
    assert settings.options == EdgeOptions(
        follows_evacuations=True,
        cold_start_limit=ColdStartLimit(1.5, 5),
        hedge_limit=HedgeLimit(0.05, 2),
    )


@pytest.mark.parametrize(
    ('options', 'place'),
    [
        ([], '$.options'),
        ({'follow_evacuations': 1}, '$.options.follow_evacuations'),
        ({'hedged_share': 1.5}, '$.options.hedged_share'),
        ({'hedge_burst': True}, '$.options.hedge_burst'),
        ({'hedge_burst': 0}, '$.options.hedge_burst'),
        (
            {'cold_start_excess': float('inf'), 'cold_start_slack': 1},
            '$.options.cold_start_excess',
        ),
        ({'cold_start_excess': 1.5}, '$.options'),
    ],
)
def test_invalid_option_is_a_finding(options, place):
    """Guards against an invalid option that fails only after the start."""
    assert [finding.place for finding in parse(options)] == [place]
