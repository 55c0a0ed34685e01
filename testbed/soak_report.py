"""HTML report of the soak test, with charts for each seed."""

from collections import Counter
from collections.abc import Iterable
from html import escape
from typing import Final

import pygal
from pygal.style import Style

from testbed.soak_results import OutcomeKind, SeedResult

#: Time covered by one bar of the flow charts.
BAR_SECONDS: Final = 0.5

#: Green, orange and red for served, late and unserved flows.
_FLOW_STYLE: Final = Style(colors=('#2e8b57', '#ff8c00', '#c0392b'))
_PAGE: Final = (
    '<!doctype html><meta charset="utf-8"><title>Fault soak</title>'
    '<style>body{font-family:sans-serif;max-width:70em;margin:auto}</style>'
    '<h1>Fault soak: %s seeds, %s failed</h1>%s'
)


def render_report(results: Iterable[SeedResult]) -> str:
    """Return an HTML page with the results of all seeds."""
    seed_results = tuple(results)
    failed = sum(bool(result.violations) for result in seed_results)
    sections = ''.join(map(_render_result, seed_results))
    return _PAGE % (len(seed_results), failed, sections)


def _render_result(result: SeedResult) -> str:
    violations = ''.join(
        f'<li>{escape(text)}</li>' for text in result.violations
    )
    flows = _build_flow_chart(result).render(
        is_unicode=True, disable_xml_declaration=True
    )
    faults = _build_fault_chart(result).render(
        is_unicode=True,
        disable_xml_declaration=True,
    )
    return f'<h2>Seed {result.seed}</h2><ul>{violations}</ul>{flows}{faults}'


def _build_flow_chart(result: SeedResult) -> pygal.StackedBar:
    last = max((outcome.started_at for outcome in result.outcomes), default=0)
    bars = range(int(last / BAR_SECONDS) + 1)
    chart = pygal.StackedBar(
        title='Flows by the time of their first opening packet',
        height=240,
        x_label_rotation=90,
        style=_FLOW_STYLE,
        js=(),
    )
    chart.x_labels = [f'{bar * BAR_SECONDS:.1f} s' for bar in bars]
    for kind in OutcomeKind:
        counts = Counter(
            int(outcome.started_at / BAR_SECONDS)
            for outcome in result.outcomes
            if outcome.kind is kind
        )
        chart.add(kind.value, [counts[bar] for bar in bars])
    return chart


def _build_fault_chart(result: SeedResult) -> pygal.XY:
    chart = pygal.XY(
        title='Faults, in seconds since the start',
        height=240,
        show_y_labels=False,
        js=(),
    )
    for height, fault in enumerate(result.faults, start=1):
        end = fault.starts_at + fault.duration_seconds
        chart.add(
            f'{fault.kind} {fault.target}',
            [(fault.starts_at, height), (end, height)],
        )
    return chart
