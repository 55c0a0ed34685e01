"""Starts and stops processes for tests, only by their process IDs."""

import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from socket import create_connection
from subprocess import (  # noqa: S404  (starts this project's own modules)
    DEVNULL,
    Popen,
    TimeoutExpired,
)
from tempfile import TemporaryDirectory
from typing import Final
from urllib.error import HTTPError, URLError
from urllib.request import urlopen

#: Time between SIGTERM and SIGKILL, in seconds.
STOP_TIMEOUT_SECONDS: Final = 10
#: Default timeout for a process to become available, in seconds.
START_TIMEOUT_SECONDS: Final = 15

_LOOPBACK: Final = '127.0.0.1'
_POLL_INTERVAL_SECONDS: Final = 0.02
_MAX_PRINTED_CHARACTERS: Final = 20000


@dataclass(frozen=True, slots=True)
class RunningProcess:
    """A process that a test started.

    Parameters
    ----------
    name : str
        Name for error messages.
    popen : Popen
        Handle of the process.
    stdout_path : Path
        File that receives its standard output.
    stderr_path : Path
        File that receives its standard error.
    """

    name: str
    popen: Popen[bytes]
    stdout_path: Path
    stderr_path: Path


@contextmanager
def run_module(
    module: str,
    *arguments: object,
    name: str = '',
) -> Iterator[RunningProcess]:
    """Run a Python module as a process until the context exits.

    Its output is printed if the context exits with an exception.

    Parameters
    ----------
    module : str
        Name of the module, for example ``testbed.fabric``.
    *arguments : object
        Command-line arguments.
    name : str
        Name for error messages; the name of the module if empty.

    Yields
    ------
    RunningProcess
        The started process.
    """
    command = [sys.executable, '-m', module, *map(str, arguments)]
    with run_command(command, name or module) as process:
        yield process


@contextmanager
def run_command(command: list[str], name: str) -> Iterator[RunningProcess]:
    """Run a command as a process until the context exits.

    Its output is printed if the context exits with an exception.

    Parameters
    ----------
    command : list of str
        Program and arguments.
    name : str
        Name for error messages.

    Yields
    ------
    RunningProcess
        The started process.
    """
    with TemporaryDirectory(prefix='testbed-') as directory:
        process = _start_process(command, name, Path(directory))
        try:
            yield process
        except BaseException:
            stop_process(process)
            _print_output(process)
            raise
        finally:
            stop_process(process)


def stop_process(process: RunningProcess) -> int:
    """Send SIGTERM, and SIGKILL if the process does not exit in time.

    Parameters
    ----------
    process : RunningProcess
        The process; it may have exited already.

    Returns
    -------
    int
        Its exit code.
    """
    if process.popen.poll() is None:
        # A paused process handles SIGTERM only after SIGCONT.
        process.popen.terminate()
        resume_process(process)
    try:
        return process.popen.wait(STOP_TIMEOUT_SECONDS)
    except TimeoutExpired:
        return kill_process(process)


def kill_process(process: RunningProcess) -> int:
    """Send SIGKILL, wait for the exit and return the exit code."""
    process.popen.kill()
    return process.popen.wait(STOP_TIMEOUT_SECONDS)


def pause_process(process: RunningProcess) -> None:
    """Pause a process with SIGSTOP."""
    process.popen.send_signal(signal.SIGSTOP)


def resume_process(process: RunningProcess) -> None:
    """Resume a paused process with SIGCONT."""
    process.popen.send_signal(signal.SIGCONT)


def read_output(process: RunningProcess) -> str:
    """Return what a process has written to its standard output."""
    return process.stdout_path.read_text(errors='replace')


def wait_until(
    condition: Callable[[], bool],
    description: str,
    seconds: float = START_TIMEOUT_SECONDS,
) -> None:
    """Wait until a condition holds.

    Parameters
    ----------
    condition : callable
        Returns whether the condition holds.
    description : str
        Description of the condition for the error message.
    seconds : float
        Timeout.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'{description}: not within {seconds} s')
        time.sleep(_POLL_INTERVAL_SECONDS)


def wait_for_port(port: int, seconds: float = START_TIMEOUT_SECONDS) -> None:
    """Wait until a TCP port on 127.0.0.1 accepts connections.

    Parameters
    ----------
    port : int
        TCP port.
    seconds : float
        Timeout.

    Raises
    ------
    TimeoutError
        If nothing listens in time.
    """
    wait_until(
        lambda: _accepts_connections(port), f'port {port} accepts', seconds
    )


def wait_for_http(url: str, seconds: float = START_TIMEOUT_SECONDS) -> None:
    """Wait until a URL answers with any HTTP status.

    Parameters
    ----------
    url : str
        URL on the loopback interface.
    seconds : float
        Timeout.

    Raises
    ------
    TimeoutError
        If there is no response in time.
    """
    wait_until(lambda: _answers_http(url), f'{url} answers', seconds)


def is_url_found(url: str) -> bool:
    """Tell whether a URL on the loopback interface answers with success."""
    try:
        urlopen(url, timeout=1).close()  # noqa: S310
    except OSError:
        # An answer with an error status, or none.
        return False
    return True


def wait_for_exit(process: RunningProcess, seconds: float) -> int:
    """Wait until a process exits by itself.

    Parameters
    ----------
    process : RunningProcess
        The process.
    seconds : float
        Timeout.

    Returns
    -------
    int
        Its exit code.

    Raises
    ------
    TimeoutError
        If it does not exit in time.
    """
    try:
        return process.popen.wait(seconds)
    except TimeoutExpired as error:
        message = f'{process.name} did not exit within {seconds} s'
        raise TimeoutError(message) from error


def _start_process(
    command: list[str], name: str, directory: Path
) -> RunningProcess:
    stdout_path = directory / 'stdout'
    stderr_path = directory / 'stderr'
    with stdout_path.open('wb') as log, stderr_path.open('wb') as errors:
        popen = Popen(  # noqa: S603
            command,
            stdin=DEVNULL,
            stdout=log,
            stderr=errors,
            cwd=Path(__file__).parent.parent,
        )
    return RunningProcess(name, popen, stdout_path, stderr_path)


def _print_output(process: RunningProcess) -> None:
    for path in (process.stdout_path, process.stderr_path):
        text = path.read_text(errors='replace')[-_MAX_PRINTED_CHARACTERS:]
        title = f'--- {process.name} {path.name} ---'
        print(f'{title}\n{text}', file=sys.stderr)  # noqa: WPS421


def _accepts_connections(port: int) -> bool:
    try:
        create_connection((_LOOPBACK, port), timeout=1).close()
    except OSError:
        return False
    return True


def _answers_http(url: str) -> bool:
    try:
        urlopen(url, timeout=1).close()  # noqa: S310
    except HTTPError:
        return True
    except (URLError, OSError):
        return False
    return True
