"""Tests of the evaluation of trials."""

from collections import Counter

from testbed.trials import TrialOutcome


def build_request(name, result='answered'):
    return {'id': name, 'result': result, 'complete': True}


def build_feed(name, broken_by=''):
    return {'id': name, 'broken_by': broken_by, 'refused': False}


def test_outcome_since_an_earlier_one_has_only_what_is_new():
    """Guards against one failure that fails every later test of a fleet, and
    against later failures that go unnoticed."""
    earlier = TrialOutcome(
        (build_feed('f1', 'reset'), build_feed('f2')),
        (build_request('r1', 'timeout'),),
        Counter(r1=1),
        wrong_service=1,
    )
    feeds = (build_feed('f1', 'reset'), build_feed('f2', 'gap'))
    requests = (*earlier.requests, build_request('r2', 'reset'))
    later = TrialOutcome(feeds, requests, Counter(r1=2, r2=1), wrong_service=2)
    outcome = later.since(earlier)
    assert [feed['id'] for feed in outcome.broken_feeds] == ['f2']
    assert [request['id'] for request in outcome.unanswered] == ['r2']
    assert outcome.double_runs == ['r1']
    assert outcome.wrong_service == 1
