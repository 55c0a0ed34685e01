"""Tests of the comparison of edge balancers by their summaries."""

from balsamshed.commands.edges import SummaryFailure, evaluate_summaries


def build_summary(**changes):
    return {
        'version': 7,
        'version_seconds': 4.0,
        'revision': 20,
        'age_seconds': 0.5,
        'is_ready': True,
        **changes,
    }


def test_balancers_that_agree_have_no_findings():
    """Guards against findings about balancers with the same version."""
    found = {'a': build_summary(), 'b': build_summary(version_seconds=3.0)}
    assert evaluate_summaries(found) == {'a': [], 'b': []}


def test_lagging_balancer_is_reported_with_the_missing_version():
    """Guards against a balancer with an old configuration going unreported.

    The time is that of the balancers with the newest version, and not that
    for which the lagging balancer has had its own.
    """
    found = {
        'a': build_summary(),
        'b': build_summary(version=5, version_seconds=60.0),
    }
    assert evaluate_summaries(found)['b'] == ['lacks version 7 for 4.0 s']


def test_balancer_that_does_not_follow_an_evacuation_is_reported():
    """Guards against an evacuation that one balancer does not follow."""
    found = {'a': build_summary(evacuated=['b']), 'b': build_summary()}
    assert evaluate_summaries(found) == {
        'a': [],
        'b': ['does not follow the evacuation of b'],
    }


def test_all_findings_are_reported_together():
    """Guards against reporting only the first finding of a balancer."""
    found = {
        'a': build_summary(age_seconds=9.04, is_ready=False),
        'b': build_summary(age_seconds=None, version_seconds=None, version=-1),
        'c': SummaryFailure('c', 'timed out'),
    }
    findings = evaluate_summaries(found)
    assert findings['a'] == ['view is 9.0 s old', 'not ready']
    assert findings['b'] == [
        'lacks version 7 for 4.0 s',
        'view was never confirmed',
    ]
    assert findings['c'] == ['timed out']
