"""Measures the guarantees of the design page and prints a line for each.

``make measure`` runs it. The exit status is 1 if a bound does not hold, a
measurement fails or the time limit is reached. A failure does not keep the
other measurements from running.
"""

import signal
import sys
from collections.abc import Callable, Iterator
from importlib import import_module
from types import FrameType
from typing import Final

from testbed.figures import Figure, format_figure
from testbed.processes import read_output, run_module, wait_for_exit

#: Modules with a function ``list_figures``.
MODULES: Final = (
    'testbed.measure_flows',
    'testbed.measure_configuration',
    'testbed.measure_packets',
)
#: Time limit of all measurements together.
MAX_MEASURE_SECONDS: Final = 290


def run_measure() -> int:
    """Run all measurements and print their figures.

    Returns
    -------
    int
        Exit status: 1 if a measurement failed or a bound does not hold.
    """
    signal.signal(signal.SIGALRM, _raise_timeout)
    signal.alarm(MAX_MEASURE_SECONDS)
    # The load model runs beside the others: it uses one processor and no
    # sockets.
    with run_module('testbed.measure_load') as load:
        outcomes = [_measure_module(module) for module in MODULES]
        outcomes.append(wait_for_exit(load, MAX_MEASURE_SECONDS) == 0)
        _write(read_output(load).strip())
    return int(not all(outcomes))


def _measure_module(module: str) -> bool:
    try:
        return _print_figures(import_module(module).list_figures)
    except (TimeoutError, RuntimeError, OSError) as error:
        _write(f'module={module} error={str(error)!r} ok=false')
        return False


def _print_figures(list_figures: Callable[[], Iterator[Figure]]) -> bool:
    has_passed = True
    for figure in list_figures():
        _write(format_figure(figure))
        has_passed = has_passed and figure.has_passed
    return has_passed


def _raise_timeout(_number: int, _frame: FrameType | None) -> None:
    raise TimeoutError(f'not finished within {MAX_MEASURE_SECONDS} s')


def _write(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run_measure())
