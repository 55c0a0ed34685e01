"""Tests of the reservation of ports for test processes."""

import sys
from socket import SOCK_STREAM, create_connection, socket
from subprocess import run

import pytest

from testbed.ports import reserve_ports

MANY = 400


def test_no_port_is_given_out_twice():
    """Guards against two balancers of a test with the same port."""
    calls = [reserve_ports(4) for _ in range(MANY // 4)]
    ports = [port for call in calls for port in call]
    assert len(set(ports)) == len(ports)


def test_another_run_does_not_get_a_reserved_port(monkeypatch):
    """Guards against collisions of two runs of the checks beside each other."""
    (port,) = reserve_ports(1)
    code = (
        'import testbed.ports as ports\n'
        f'ports._FIRST_PORT = {port}\n'
        f'ports._read_first_outgoing_port = lambda: {port + 1}\n'
        'ports.reserve_ports(1)\n'
    )
    other = run([sys.executable, '-c', code], capture_output=True, text=True)
    assert 'RuntimeError: only 0 of 1 ports are free' in other.stderr


def test_outgoing_connections_take_no_reserved_port():
    """Guards against a port that the kernel gives to a connection before the
    process that it is meant for has bound it."""
    reserved = set(reserve_ports(MANY))
    with socket(type=SOCK_STREAM) as server:
        server.bind(('127.0.0.1', 0))
        server.listen(MANY)
        for _ in range(MANY):
            with create_connection(server.getsockname()) as connection:
                assert connection.getsockname()[1] not in reserved


def test_port_in_use_is_not_reserved(monkeypatch):
    """Guards against a port that another program has bound."""
    with socket(type=SOCK_STREAM) as server:
        server.bind(('127.0.0.1', 0))
        port = server.getsockname()[1]
        monkeypatch.setattr('testbed.ports._FIRST_PORT', port)
        monkeypatch.setattr(
            'testbed.ports._read_first_outgoing_port', lambda: port + 1
        )
        with pytest.raises(RuntimeError):
            reserve_ports(1)
