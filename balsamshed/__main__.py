"""Entry point of ``python -m balsamshed``."""

import signal
import sys

#: Commands that run a balancer, which reloads its settings on SIGHUP.
_BALANCER_COMMANDS = ('edge', 'run')


def _main() -> int:
    """Run one command. A balancer ignores SIGHUP until it has a handler."""
    if sys.argv[1:2] and sys.argv[1] in _BALANCER_COMMANDS:
        # The default action ends the process. The settings are read later, so
        # a reload that is asked for now loses nothing.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported late, since this import takes most of the time until a handler
    # is installed.
    from balsamshed.commands.program import run_program

    return run_program()


if __name__ == '__main__':
    sys.exit(_main())
