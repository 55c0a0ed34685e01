"""Entry point of the command line."""

import sys
from collections.abc import Sequence
from typing import Final

_EPILOG: Final = (
    'Exit status: 0 done; 1 failed (store unreachable, time limit); '
    '2 bad input, nothing was changed; 3 conflict with another change.'
)
_RUN_ARGUMENT_COUNT: Final = 3


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command name and arguments; the default is ``sys.argv[1:]``.

    Returns
    -------
    int
        Exit status; see `ExitStatus`.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    if argv == ['edge']:
        # An edge balancer starts on a fifth of a core, so nothing that it
        # does not need is imported. Data classes with docstrings do not use
        # `inspect`, which takes a tenth of the start.
        from balsamshed.deferred_modules import defer_import

        defer_import('inspect')
        from balsamshed.platform.program import run_on_platform

        return run_on_platform()
    if len(argv) == _RUN_ARGUMENT_COUNT and argv[:2] == ['run', '--settings']:
        # The argument parser and its libraries would take 5 MB of the 64 MB
        # that a balancer may use.
        from balsamshed.commands.balancer_startup import run_balancer_process

        return run_balancer_process(argv[2])
    return _parse_and_run(argv)


def _parse_and_run(argv: list[str]) -> int:
    import defopt

    from balsamshed.commands.command_table import COMMANDS
    from balsamshed.commands.connections import run_store_command
    from balsamshed.commands.sessions import StoreCommand

    if not argv:
        argv = ['--help']
    outcome = defopt.run(
        dict(COMMANDS),
        short={},
        version=False,
        argparse_kwargs={'prog': 'balsamshed', 'epilog': _EPILOG},
        argv=argv,
    )
    if isinstance(outcome, StoreCommand):
        return run_store_command(outcome)
    return int(outcome)
