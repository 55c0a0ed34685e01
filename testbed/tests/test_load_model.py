"""Guards against a load model that is not repeatable or loses flows."""

from collections import Counter
from types import SimpleNamespace

from balsamshed.configuration.resources import WorkClass
from testbed.load_model import Flow, run_model
from testbed.load_scenarios import CUSTOMERS, Scenario
from testbed.measure_load import (
    MAX_SETTLE_SECONDS,
    POLICIES,
    LoadFigure,
    _get_settle_seconds,
    format_load_figure,
    measure_steady,
)

SHORT = Scenario('short', seconds=6, floods={WorkClass.BULK: 2})


def summarize(model):
    return [(flow.flow_key, flow.result, flow.ended_at) for flow in model.flows]


def test_run_is_repeatable_and_accounts_for_each_flow():
    """Guards against figures that differ between runs, and lost flows."""
    runs = [
        run_model(CUSTOMERS[0], SHORT, POLICIES['aged'], 1) for _run in range(2)
    ]
    assert summarize(runs[0]) == summarize(runs[1])
    model = runs[0]
    results = Counter(flow.result for flow in model.flows)
    assert set(results) <= {'', 'finished', 'refused', 'lost'}
    in_flight = sum(flow.is_open for flow in model.flows)
    counted = sum(
        limiter.open_count
        for owner in model.owners
        for limiter in owner.limiters.values()
    )
    assert counted == in_flight


def test_policies_see_the_same_arrivals():
    """Guards against a policy that looks better due to an easier load."""
    keys = [
        [
            (flow.flow_key, flow.work_seconds)
            for flow in run_model(CUSTOMERS[1], SHORT, policy, 1).flows
        ]
        for policy in POLICIES.values()
    ]
    assert all(entry == keys[0] for entry in keys)


def test_figures_of_a_short_run_have_the_documented_form():
    """Guards against changed names and lines, which other programs read."""
    scenario = Scenario('calm', seconds=7)
    figures = list(measure_steady(CUSTOMERS[0], scenario, 'aged'))
    assert {figure.name for figure in figures} == {
        'imbalance_max_over_mean',
        'queueing_max_over_mean',
        'p99_latency',
        'refused_or_lost_share',
        'open_feeds_max_over_mean',
        'flow_copies_per_owner',
    }
    line = format_load_figure(
        LoadFigure('name', 'a=b', 0.5, 0.9, 'ratio', True)
    )
    assert line == 'figure=name a=b value=0.5 bound=0.9 unit=ratio ok=false'


def test_late_second_of_refusals_counts_as_unsettled():
    """Guards against windows so long that they hide a second of refusals."""
    flows = [
        Flow('receipts', b'', start / 36, 0.1, result='finished', ended_at=end)
        for start in range(5 * 36, 35 * 36)
        for end in (start / 36 + 0.1,)
    ]
    model = SimpleNamespace(flows=flows, scenario=Scenario('any', seconds=35))
    assert _get_settle_seconds(model, 'receipts') == 0
    for flow in flows:
        if 24 <= flow.arrived_at < 25:
            flow.result = 'refused'
    assert _get_settle_seconds(model, 'receipts') == 5
    for flow in flows:
        if 34 <= flow.arrived_at:
            flow.result = 'refused'
    assert _get_settle_seconds(model, 'receipts') > MAX_SETTLE_SECONDS
