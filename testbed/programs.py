"""Main loop of the test doubles."""

from absl import logging
from twisted.internet import reactor


def run_until_stopped(kind: str, **fields: object) -> None:
    """Log the start and run the reactor until SIGTERM or SIGINT.

    Parameters
    ----------
    kind : str
        Which test double this is.
    **fields : object
        Further fields of the log line.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    pairs = ' '.join(f'{key}={shown}' for key, shown in fields.items())
    logging.info('event=started kind=%s %s', kind, pairs)
    reactor.run()
