"""Minimal Twisted UDP relay, a baseline for the packet path.

Each datagram is sent unchanged to one fixed port, without parsing it.
``python -m testbed.bare_relay --help`` lists the options.
"""

from typing import Final

import defopt

from testbed.addresses import SocketAddress
from testbed.datagrams import listen_datagrams
from testbed.programs import run_until_stopped

_LOOPBACK: Final = '127.0.0.1'


def run_bare_relay(*, port: int, target_port: int) -> None:
    """Relay datagrams until SIGTERM.

    Parameters
    ----------
    port : int
        UDP port to receive on.
    target_port : int
        UDP port on the loopback interface to send to.
    """
    target = (_LOOPBACK, target_port)

    def relay(datagram: bytes, _sender: SocketAddress) -> None:
        listening.write(datagram, target)

    listening = listen_datagrams(port, relay)
    run_until_stopped('bare_relay', port=port, target_port=target_port)


if __name__ == '__main__':
    defopt.run(run_bare_relay)
