"""Links between the machines, at which messages may wait.

Each machine is reached by the others at an address of its link. Datagrams and
connections that arrive there are passed on with a delay, from the address of
the sender's link.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

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
        self, machines: list[Machine], port: int, waits: Mapping[str, float]
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

    def delay(self, first: int, second: int) -> float:
        """Return the time that a message takes between two machines."""
        hosts = (self.machines[first].host, self.machines[second].host)
        return _FREE_SECONDS + sum(self.waits.get(host, 0) for host in hosts)

    def pass_on(self, datagram: bytes, sender: str, receiver: int) -> None:
        """Pass a datagram on after the delay of its link."""
        number = self.numbers.get(sender)
        if number is None or number == receiver:
            return
        target = (self.machines[receiver].host, self.port)
        asyncio.get_running_loop().call_later(
            self.delay(number, receiver),
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
        sender = self.numbers.get(writer.get_extra_info('peername')[0])
        try:
            if sender is None or sender == receiver:
                return
            far_reader, far_writer = await asyncio.open_connection(
                self.machines[receiver].host, self.port
            )
            await asyncio.gather(
                _copy(reader, far_writer, self.delay(sender, receiver)),
                _copy(far_reader, writer, self.delay(receiver, sender)),
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
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay: float
) -> None:
    try:
        while chunk := await reader.read(65_536):
            await asyncio.sleep(delay)
            writer.write(chunk)
            await writer.drain()
        await asyncio.sleep(delay)
    except OSError:
        pass
    finally:
        writer.close()
