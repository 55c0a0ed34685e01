"""Short seeded runs of the soak test, and tests of its tools."""

import asyncio
from random import Random

import pytest

from testbed.soak import run_seed
from testbed.soak_faults import plan_faults
from testbed.soak_report import render_report
from testbed.soak_results import (
    FlowOutcome,
    OutcomeKind,
    SeedResult,
    shrink_schedule,
)


# Faults that these seeds have found:
# 102: overlapping outages ended each other, and entries expired while the
# store was up, in which case balancers keep no endpoint (a fault of the soak's
# schedule).
# 402, 517: a balancer that was paused after an outage dropped the endpoints
# that it had kept, and refused opening packets that were queued in its socket.
# 408: a balancer that skipped the revision at which all entries were missing
# answered a peer with that view that nothing had changed since.
# 408, 523: entries expired within outages of 0.6 and 1.3 s, which not every
# balancer had noticed (a fault of the schedule: three heartbeats take 2.4 s).
@pytest.mark.parametrize(
    ('seed', 'seconds'),
    [(101, 5), (102, 5), (402, 10), (408, 10), (517, 10), (523, 10)],
)
def test_short_run_has_no_violations(seed, seconds, tmp_path):
    """Guards against errors that only combinations of faults reveal."""
    result = asyncio.run(run_seed(seed, seconds, tmp_path))
    assert result.violations == ()


@pytest.mark.parametrize('seed', [601, 602])
def test_short_run_with_a_restored_store_has_no_violations(seed, tmp_path):
    """Guards against drains and routes that are lost, or ignored, when the
    store comes back from an older copy beside other faults."""
    result = asyncio.run(run_seed(seed, 8, tmp_path, restores_store=True))
    assert result.violations == ()


@pytest.mark.parametrize('seed', [701, 702])
def test_short_run_with_odd_entries_has_no_violations(seed, tmp_path):
    """Guards against entries of another writer that keep drains, routes or
    recovery from being in time beside other faults."""
    result = asyncio.run(run_seed(seed, 8, tmp_path, odd_entries=True))
    assert result.violations == ()


def test_seed_determines_the_schedule():
    """Guards against a failing schedule that cannot be reproduced."""
    assert plan_faults(Random(7), 10) == plan_faults(Random(7), 10)
    assert plan_faults(Random(7), 10) != plan_faults(Random(8), 10)


def test_shrinking_keeps_the_faults_that_a_failure_needs():
    """Guards against a reduced schedule with too many or too few faults."""
    faults = plan_faults(Random(7), 10)
    needed = {faults[0], faults[2]}
    assert set(shrink_schedule(faults, needed.issubset)) == needed


def test_report_shows_violations_faults_and_flows():
    """Guards against a report that omits violations or faults."""
    faults = plan_faults(Random(7), 10)
    outcomes = tuple(
        FlowOutcome(at, kind) for at, kind in enumerate(OutcomeKind, start=1)
    )
    page = render_report([SeedResult(7, faults, outcomes, ('flow <1> moved',))])
    assert '1 seeds, 1 failed' in page
    assert 'flow &lt;1&gt; moved' in page
    assert page.count('<svg') == 2
    for fault in faults:
        assert f'{fault.kind} {fault.target}' in page
