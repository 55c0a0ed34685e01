"""Measures the guarantees of the design page and prints a line for each.

Run it with ``make measure``. It exits with 1 if a bound does not hold, if a
measurement fails or after the time limit.
"""

import signal
import sys
from collections.abc import Callable, Iterator
from importlib import import_module
from importlib.util import find_spec
from types import FrameType
from typing import Final

from testbed.figures import Figure, format_figure

#: Modules with a function ``list_figures``; one that is missing is skipped.
MODULES: Final = ('testbed.measure_flows', 'testbed.measure_configuration')
#: Time after which the measurement ends with a failure.
LIMIT_SECONDS: Final = 150


def run_measure() -> int:
    """Measure and print all figures.

    Returns
    -------
    int
        Exit status.
    """
    signal.signal(signal.SIGALRM, _end)
    signal.alarm(LIMIT_SECONDS)
    is_good = True
    for module in MODULES:
        if find_spec(module) is None:
            continue
        try:
            is_good = _print_figures(import_module(module).list_figures)
        except (TimeoutError, RuntimeError, OSError) as error:
            _write(f'module={module} error={str(error)!r} ok=false')
            return 1
        if not is_good:
            return 1
    return 0


def _print_figures(list_figures: Callable[[], Iterator[Figure]]) -> bool:
    is_good = True
    for figure in list_figures():
        _write(format_figure(figure))
        is_good = is_good and figure.is_good
    return is_good


def _end(_number: int, _frame: FrameType | None) -> None:
    raise TimeoutError(f'not done within {LIMIT_SECONDS} s')


def _write(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run_measure())
