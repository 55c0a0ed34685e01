"""Main loop of the test doubles' processes."""

from absl import logging
from twisted.internet import reactor


def run_until_stopped(kind: str, **fields: object) -> None:
    """Log the start and run the reactor until SIGTERM or SIGINT.

    Parameters
    ----------
    kind : str
        Kind of the test double, for the log line.
    **fields : object
        Additional fields of the log line.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    formatted = ' '.join(f'{key}={field}' for key, field in fields.items())
    logging.info('event=started kind=%s %s', kind, formatted)
    reactor.run()
