"""Entry point of ``python -m balsamshed``."""

import sys

from balsamshed.commands.program import run_program

if __name__ == '__main__':
    sys.exit(run_program())
