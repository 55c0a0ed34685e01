"""Runs a command against the object store over HTTP."""

import getpass
import os
import socket
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from twisted.internet.defer import Deferred

from balsamshed.commands.changes import is_valid_name
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.sessions import Session, StoreCommand
from balsamshed.front_ends.http_client import create_http_agent
from balsamshed.front_ends.store_client import create_store_client
from balsamshed.schemas import is_http_url

#: Environment variables that are read if the options are left out.
GROUP_VARIABLE: Final = 'BALSAMSHED_GROUP'
STORE_URL_VARIABLE: Final = 'BALSAMSHED_STORE_URL'

#: Exit status after SIGINT, as shells report it (128 + 2).
_INTERRUPTED_STATUS: Final = 130


@dataclass(frozen=True, slots=True)
class StoreTarget:
    """Group and object store that a command uses.

    Parameters
    ----------
    group : str
        Group whose objects the command uses.
    store_url : str
        Address of the object API.
    """

    group: str
    store_url: str


def resolve_store_target(
    command: StoreCommand,
    environment: Mapping[str, str],
) -> StoreTarget | tuple[str, ...]:
    """Return the group and store address from options or environment.

    Parameters
    ----------
    command : StoreCommand
        The parsed command.
    environment : mapping of str to str
        Environment variables.

    Returns
    -------
    StoreTarget or tuple of str
        The target, or all error messages.
    """
    group = command.group or environment.get(GROUP_VARIABLE, '')
    store_url = command.store_url or environment.get(STORE_URL_VARIABLE, '')
    errors = []
    if not is_valid_name(group):
        errors.append(
            f'--group: found {group!r}, allowed: up to 64 lower-case letters, '
            f'digits and hyphens; give --group or set {GROUP_VARIABLE}'
        )
    if not is_http_url(store_url):
        errors.append(
            f'--store-url: found {store_url!r}, allowed: an address such as '
            f'http://10.0.0.1:8080; give --store-url or set '
            f'{STORE_URL_VARIABLE}'
        )
    return tuple(errors) or StoreTarget(group, store_url)


def run_store_command(command: StoreCommand) -> int:
    """Run a command in the reactor and return its exit status.

    Parameters
    ----------
    command : StoreCommand
        The parsed command.

    Returns
    -------
    int
        Exit status.
    """
    target = resolve_store_target(command, os.environ)
    if not isinstance(target, StoreTarget):
        for error in target:
            _write_message(f'error: {error}')
        return ExitStatus.BAD_INPUT

    from twisted.internet import reactor

    session = create_session(command, target, reactor)
    outcomes: list[Any] = []

    def start() -> None:
        pending = Deferred.fromCoroutine(command.run(session))
        pending.addBoth(outcomes.append)
        pending.addBoth(lambda _outcome: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not outcomes:
        return _INTERRUPTED_STATUS
    if not isinstance(outcomes[0], int):
        outcomes[0].raiseException()
    return int(outcomes[0])


def create_session(
    command: StoreCommand,
    target: StoreTarget,
    reactor: Any,
) -> Session:
    """Create the session of a command that runs in this process."""
    client = create_store_client(
        target.store_url,
        create_http_agent(reactor),
        reactor,
    )
    return Session(
        group=target.group,
        output=command.output,
        client=client,
        clock=reactor,
        get_time=time.time,
        author=get_author(),
        write_line=_write_line,
        write_message=_write_message,
    )


def get_author() -> str:
    """Return ``user@host`` for change entries."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = 'unknown'
    return f'{user}@{socket.gethostname()}'


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    # A reader of a pipe must get each change that "watch" shows at once.
    sys.stdout.flush()


def _write_message(line: str) -> None:
    sys.stderr.write(f'{line}\n')
