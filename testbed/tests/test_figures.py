"""Guards against figures that pass although their bound is exceeded."""

import pytest

from testbed.figures import Figure, format_figure


@pytest.mark.parametrize(
    ('value', 'total', 'verdict'),
    [
        (0, 600, 'ok=true'),
        (2, 600, 'ok=true'),
        (2.001, 600, 'ok=false'),
        (float('nan'), 600, 'ok=false'),
        (0, 0, 'ok=false'),
    ],
)
def test_only_measured_values_within_the_bound_pass(value, total, verdict):
    """Guards against a pass for a run without samples or above its bound."""
    figure = Figure('late_flows', value, total, 2, 'flows')
    assert format_figure(figure).endswith(verdict)


def test_line_names_value_and_bound():
    """Guards against changed keys, which scripts that compare runs read."""
    figure = Figure('delay', 0.25, 40, 3, 'seconds')
    assert format_figure(figure) == (
        'figure=delay value=0.25 of=40 bound=3 unit=seconds ok=true'
    )
