"""Starts and stops processes for tests, by their ids only."""

import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from socket import SOCK_DGRAM, SOCK_STREAM, create_connection, socket
from subprocess import (  # noqa: S404  (starts this project's own modules)
    DEVNULL,
    Popen,
    TimeoutExpired,
)
from tempfile import TemporaryDirectory
from typing import Final
from urllib.error import HTTPError, URLError
from urllib.request import urlopen

#: Wait for a process that was told to stop, before it is killed.
STOP_TIMEOUT_SECONDS: Final = 10
#: Default wait for a process to answer.
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
        Name for messages.
    popen : Popen
        The process.
    stdout_path : Path
        File with its standard output.
    stderr_path : Path
        File with its standard error.
    """

    name: str
    popen: Popen[bytes]
    stdout_path: Path
    stderr_path: Path


def pick_free_ports(count: int) -> list[int]:
    """Pick ports that are free for TCP and UDP.

    Parameters
    ----------
    count : int
        Number of ports.

    Returns
    -------
    list of int
        Different ports on 127.0.0.1.

    Raises
    ------
    RuntimeError
        If too few ports are free.
    """
    ports: list[int] = []
    with ExitStack() as stack:
        # All sockets stay open until the end, so that no port repeats.
        for _ in range(count * 10):
            if len(ports) == count:
                break
            stream = stack.enter_context(socket(type=SOCK_STREAM))
            stream.bind((_LOOPBACK, 0))
            port = stream.getsockname()[1]
            datagram = stack.enter_context(socket(type=SOCK_DGRAM))
            if _try_to_bind(datagram, port):
                ports.append(port)
    if len(ports) < count:
        raise RuntimeError(f'only {len(ports)} of {count} ports are free')
    return ports


@contextmanager
def run_module(
    module: str,
    *arguments: object,
    name: str = '',
) -> Iterator[RunningProcess]:
    """Run a Python module as a process until the context ends.

    Its output is printed if the context ends with an exception.

    Parameters
    ----------
    module : str
        Name of the module, for example ``testbed.fabric``.
    *arguments : object
        Command line arguments.
    name : str
        Name for messages; the module's if empty.

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
    """Run a command as a process until the context ends.

    Parameters
    ----------
    command : list of str
        Program and arguments.
    name : str
        Name for messages.

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
    """Send SIGTERM, and SIGKILL if the process does not end.

    Parameters
    ----------
    process : RunningProcess
        The process; it may have ended.

    Returns
    -------
    int
        Its exit code.
    """
    if process.popen.poll() is None:
        # A stopped process handles SIGTERM only once it continues.
        process.popen.terminate()
        resume_process(process)
    try:
        return process.popen.wait(STOP_TIMEOUT_SECONDS)
    except TimeoutExpired:
        return kill_process(process)


def kill_process(process: RunningProcess) -> int:
    """Send SIGKILL and wait for the end."""
    process.popen.kill()
    return process.popen.wait(STOP_TIMEOUT_SECONDS)


def pause_process(process: RunningProcess) -> None:
    """Send SIGSTOP."""
    process.popen.send_signal(signal.SIGSTOP)


def resume_process(process: RunningProcess) -> None:
    """Send SIGCONT."""
    process.popen.send_signal(signal.SIGCONT)


def read_output(process: RunningProcess) -> str:
    """Return the standard output of a process so far."""
    return process.stdout_path.read_text(errors='replace')


def wait_until(
    check: Callable[[], bool],
    subject: str,
    seconds: float = START_TIMEOUT_SECONDS,
) -> None:
    """Wait until a condition holds.

    Parameters
    ----------
    check : callable
        Returns whether the condition holds.
    subject : str
        Condition, for the error message.
    seconds : float
        Longest wait.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            raise TimeoutError(f'{subject}: not within {seconds} s')
        time.sleep(_POLL_INTERVAL_SECONDS)


def wait_for_port(port: int, seconds: float = START_TIMEOUT_SECONDS) -> None:
    """Wait until a TCP port on 127.0.0.1 accepts connections.

    Parameters
    ----------
    port : int
        TCP port.
    seconds : float
        Longest wait.

    Raises
    ------
    TimeoutError
        If nothing listens in time.
    """
    wait_until(
        lambda: _accepts_connections(port), f'port {port} accepts', seconds
    )


def wait_for_http(url: str, seconds: float = START_TIMEOUT_SECONDS) -> None:
    """Wait until an HTTP address answers with any status code.

    Parameters
    ----------
    url : str
        Address on the loopback interface.
    seconds : float
        Longest wait.

    Raises
    ------
    TimeoutError
        If there is no answer in time.
    """
    wait_until(lambda: _answers_http(url), f'{url} answers', seconds)


def wait_for_exit(process: RunningProcess, seconds: float) -> int:
    """Wait until a process ends by itself.

    Parameters
    ----------
    process : RunningProcess
        The process.
    seconds : float
        Longest wait.

    Returns
    -------
    int
        Its exit code.

    Raises
    ------
    TimeoutError
        If it does not end in time.
    """
    try:
        return process.popen.wait(seconds)
    except TimeoutExpired as error:
        message = f'{process.name} did not end within {seconds} s'
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


def _try_to_bind(datagram: socket, port: int) -> bool:
    try:
        datagram.bind((_LOOPBACK, port))
    except OSError:
        return False
    return True


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
