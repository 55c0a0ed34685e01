"""Guards against figures that pass although their bound does not hold."""

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
    """A run without flows, or above its bound, must not look like a pass."""
    figure = Figure('late_flows', value, total, 2, 'flows')
    assert format_figure(figure).endswith(verdict)


def test_line_names_value_and_bound():
    """Scripts that compare runs read these keys."""
    figure = Figure('delay', 0.25, 40, 3, 'seconds')
    assert format_figure(figure) == (
        'figure=delay value=0.25 of=40 bound=3 unit=seconds ok=true'
    )
