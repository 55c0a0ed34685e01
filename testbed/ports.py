"""Ports of test processes, reserved until the process that asked for them ends.

A port that is only checked and then released may be given out again before a
child process binds it: by the kernel to an outgoing connection, or by another
test run. Ports are therefore taken from below the range of outgoing
connections, and each is locked in a file that all test runs share.
"""

import os
from fcntl import LOCK_EX, LOCK_NB, lockf
from functools import cache
from pathlib import Path
from random import SystemRandom
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from tempfile import gettempdir
from typing import Final

_LOOPBACK: Final = '127.0.0.1'
_FIRST_PORT: Final = 10_000
_RANGE_PATH: Final = Path('/proc/sys/net/ipv4/ip_local_port_range')
_LOCK_NAME: Final = 'balsamshed-test-ports.lock'
_reserved: Final[set[int]] = set()


def reserve_ports(count: int) -> list[int]:
    """Reserve ports that are free for both TCP and UDP.

    No other call returns them while this process runs, in this process or in
    another one.

    Parameters
    ----------
    count : int
        Number of ports.

    Returns
    -------
    list of int
        Distinct ports on 127.0.0.1.

    Raises
    ------
    RuntimeError
        If too few ports are free.
    """
    ports: list[int] = []
    candidates = range(_FIRST_PORT, _read_first_outgoing_port())
    for port in SystemRandom().sample(candidates, len(candidates)):
        if len(ports) == count:
            return ports
        if port not in _reserved and _lock_port(port) and _is_free(port):
            _reserved.add(port)
            ports.append(port)
    raise RuntimeError(f'only {len(ports)} of {count} ports are free')


def _read_first_outgoing_port() -> int:
    return int(_RANGE_PATH.read_text().split()[0])


@cache
def _open_lock_file() -> int:
    # Stays open until the process ends, which releases its locks.
    path = Path(gettempdir()) / _LOCK_NAME
    return os.open(path, os.O_RDWR | os.O_CREAT, 0o666)


def _lock_port(port: int) -> bool:
    """Lock the byte of a port in the shared file, unless another run has."""
    try:
        lockf(_open_lock_file(), LOCK_EX | LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(port: int) -> bool:
    with socket(type=SOCK_STREAM) as stream, socket(type=SOCK_DGRAM) as udp:
        return _try_to_bind(stream, port) and _try_to_bind(udp, port)


def _try_to_bind(unbound: socket, port: int) -> bool:
    try:
        unbound.bind((_LOOPBACK, port))
    except OSError:
        return False
    return True
