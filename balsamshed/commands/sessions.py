"""Session and shared options of commands that use the object store."""

import inspect
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, Literal

from twisted.internet.interfaces import IReactorTime

from balsamshed.front_ends.store_client import StoreClient

OutputFormat = Literal['table', 'json']
#: Kinds of objects that the commands accept.
Kind = Literal['service', 'backend_server', 'status', 'audit']


@dataclass(frozen=True, slots=True)
class Session:
    """Settings, store client and outputs of one command.

    Parameters
    ----------
    group : str
        Group whose objects the command uses.
    output : OutputFormat
        Output format of the results.
    client : StoreClient
        Client of the object store.
    clock : IReactorTime
        Clock for delays and deadlines.
    get_time : callable
        Returns the seconds since the Unix epoch.
    author : str
        Author recorded in change entries.
    write_line : callable
        Writes a line of the result.
    write_message : callable
        Writes a progress message, a warning or an error.
    """

    group: str
    output: OutputFormat
    client: StoreClient
    clock: IReactorTime
    get_time: Callable[[], float]
    author: str
    write_line: Callable[[str], None]
    write_message: Callable[[str], None]


StoreAction = Callable[[Session], Awaitable[int]]


@dataclass(frozen=True, slots=True)
class StoreCommand:
    """A parsed command that uses the object store.

    Parameters
    ----------
    group : str
        Value of ``--group``, or empty.
    store_url : str
        Value of ``--store-url``, or empty.
    output : OutputFormat
        Value of ``--output``.
    run : callable
        Runs the command in a session and returns its exit status.
    """

    group: str
    store_url: str
    output: OutputFormat
    run: StoreAction


_SHARED_OPTIONS: Final = {
    'group': (str, '', 'Group; BALSAMSHED_GROUP if left out.'),
    'store_url': (
        str,
        '',
        'Address of the object API; BALSAMSHED_STORE_URL if left out.',
    ),
    'output': (OutputFormat, 'table', 'Output format.'),
}


def store_command(
    function: Callable[..., StoreAction],
) -> Callable[..., StoreCommand]:
    """Add the options that all store commands share.

    Parameters
    ----------
    function : callable
        Takes the command's own arguments and returns its action. If its
        docstring has a section of parameters, that must be the last one.

    Returns
    -------
    callable
        Function for the argument parser, with the shared options.
    """

    def command(*positional: Any, **named: Any) -> StoreCommand:
        group = named.pop('group', '')
        store_url = named.pop('store_url', '')
        output = named.pop('output', 'table')
        return StoreCommand(
            group,
            store_url,
            output,
            function(*positional, **named),
        )

    signature = inspect.signature(function)
    shared = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=default,
            annotation=kind,
        )
        for name, (kind, default, _text) in _SHARED_OPTIONS.items()
    ]
    # defopt reads names, types and descriptions from these attributes.
    command.__dict__['__signature__'] = signature.replace(
        parameters=[*signature.parameters.values(), *shared],
    )
    command.__annotations__ = {
        **function.__annotations__,
        **{name: part[0] for name, part in _SHARED_OPTIONS.items()},
    }
    command.__name__ = function.__name__
    command.__module__ = function.__module__
    command.__doc__ = _build_docstring(function)
    return command


def _build_docstring(function: Callable[..., StoreAction]) -> str:
    text = inspect.getdoc(function) or ''
    if 'Parameters\n' not in text:
        text = f'{text}\n\nParameters\n----------'
    parts = [
        f'{name}\n    {description}'
        for name, (_kind, _default, description) in _SHARED_OPTIONS.items()
    ]
    return '\n'.join((text.rstrip(), *parts))
