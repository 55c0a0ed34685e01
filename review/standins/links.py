"""Links between the machines, at which messages may wait.

Each machine is reached by the others at an address of its link. Datagrams and
connections that arrive there are passed on with a delay, from the address of
the sender's link.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from standins.waits import Waits

#: Time that a message takes between two machines whose links are free.
_FREE_SECONDS = 0.0005


@dataclass(frozen=True)
class Machine:
    """Address of a machine, and the one at which the others reach it."""

    number: int
    host: str
    link: str


class Links:
    """All links of a site."""

    def __init__(
        self, machines: list[Machine], port: int, waits: Waits
    ) -> None:
        """Create links that do not listen yet."""
        self.machines = {machine.number: machine for machine in machines}
        self.numbers = {machine.host: machine.number for machine in machines}
        self.port = port
        self.waits = waits
        self.sockets: dict[int, asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Listen at the address of each link."""
        loop = asyncio.get_running_loop()
        for machine in self.machines.values():
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=machine.number: _Link(self, number),
                local_addr=(machine.link, self.port),
            )
            self.sockets[machine.number] = transport
            await asyncio.start_server(
                lambda reader, writer, number=machine.number: self._connect(
                    number, reader, writer
                ),
                machine.link,
                self.port,
            )

    def get_delay(self, sender: int, receiver: int) -> float:
        """Return the time that a message takes between two machines."""
        leave = self.waits.pass_link(self.machines[sender].host)
        enter = self.waits.pass_link(self.machines[receiver].host)
        return _FREE_SECONDS + leave + enter

    def pass_on(self, datagram: bytes, sender: str, receiver: int) -> None:
        """Pass a datagram on after the delay of its link."""
        number = self.numbers.get(sender)
        if number is None or number == receiver:
            return
        target = (self.machines[receiver].host, self.port)
        asyncio.get_running_loop().call_later(
            self.get_delay(number, receiver),
            self.sockets[number].sendto,
            datagram,
            target,
        )

    async def _connect(
        self,
        receiver: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        # The address of the caller does not show which machine it is, so the
        # connection waits at the link of the called machine only.
        host = self.machines[receiver].host
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, self.port
            )
            await asyncio.gather(
                _copy(reader, far_writer, partial(self.waits.pass_link, host)),
                _copy(far_reader, writer, partial(self.waits.pass_link, host)),
            )
        except OSError:
            pass
        finally:
            writer.close()


class _Link(asyncio.DatagramProtocol):
    def __init__(self, links: Links, number: int) -> None:
        self._links = links
        self._number = number

    def datagram_received(
        self, datagram: bytes, sender: tuple[str, int]
    ) -> None:
        self._links.pass_on(datagram, sender[0], self._number)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    get_delay: Callable[[], float],
) -> None:
    try:
        while chunk := await reader.read(65_536):
            await asyncio.sleep(get_delay())
            writer.write(chunk)
            await writer.drain()
        await asyncio.sleep(get_delay())
    except OSError:
        pass
    finally:
        writer.close()
