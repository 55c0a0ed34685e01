"""Tests of the translation of the platform's part of the settings."""

import json

import pytest

from balsamshed.platform.settings import translate_settings


def translate(**content):
    return json.loads(translate_settings(json.dumps(content)))


def test_bounds_become_options():
    """Guards against parts that stay off where the platform asks for them."""
    bounds = {'evacuateMs': 5000, 'warmupExcess': 1.5, 'warmupSlack': 5}
    assert translate(bounds=bounds, options={'hedged_share': 0}) == {
        'options': {
            'hedged_share': 0,
            'follow_evacuations': True,
            'cold_start_excess': 1.5,
            'cold_start_slack': 5,
        },
    }


def test_absent_bounds_switch_nothing_on():
    """Guards against parts that change a site that does not ask for them."""
    assert translate(bounds={'graceS': 6}) == {'options': {}}
    assert translate(bounds=[], name='a') == {'name': 'a'}


def test_an_option_that_is_set_goes_before_a_bound():
    """Guards against a part that acts although its option is off."""
    bounds = {'evacuateMs': 5000}
    options = {'follow_evacuations': False}
    assert translate(bounds=bounds, options=options)['options'] == options
    assert translate(bounds=bounds, options=None)['options'] == {
        'follow_evacuations': True,
    }


@pytest.mark.parametrize('text', ['', '{', '[]', '[' * 100_000])
def test_text_that_is_no_object_is_left_to_the_check(text):
    """Guards against an exception in place of a finding."""
    assert translate_settings(text) == text
