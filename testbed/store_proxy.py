"""TCP proxy with faults between one balancer and the metadata store."""

import asyncio
from enum import StrEnum
from typing import Any


class ProxyMode(StrEnum):
    """What the proxy does with connections.

    ``DELAY`` delays each chunk, ``SILENT`` discards all data,
    ``LOSE_RESPONSES`` discards the data from the store, and ``RESET`` resets
    open and new connections.
    """

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    LOSE_RESPONSES = 'lose_responses'
    RESET = 'reset'


#: Delay of each chunk; shorter than the read timeout of a balancer.
DELAY_SECONDS = 0.3
#: Data that is forwarded at once; a limited rate applies between chunks.
CHUNK_BYTES = 16_384


class StoreProxy:
    """Proxy whose mode can change while connections are open.

    Parameters
    ----------
    store_port : int
        Port of the store on loopback.
    """

    def __init__(self, store_port: int) -> None:
        """Create a proxy that forwards all data."""
        self.mode = ProxyMode.PASS
        #: Rate of the data from the store, as of a small link; None for no
        #: limit.
        self.bytes_per_second: float | None = None
        self._store_port = store_port
        self._writers: set[Any] = set()

    def change_mode(self, mode: ProxyMode) -> None:
        """Change the mode; ``RESET`` also aborts the open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def serve(self, port: int) -> None:
        """Listen on a loopback port."""
        await asyncio.start_server(self._accept, '127.0.0.1', port)

    async def _accept(self, reader: Any, writer: Any) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        store_reader, store_writer = await asyncio.open_connection(
            '127.0.0.1',
            self._store_port,
        )
        self._writers |= {writer, store_writer}
        try:
            await asyncio.gather(
                self._forward(reader, store_writer, is_response=False),
                self._forward(store_reader, writer, is_response=True),
            )
        except asyncio.CancelledError:
            # Cancelled at the end of the loop. Not re-raised, because the
            # code that awaits the task expects no error.
            writer.transport.abort()
        finally:
            self._writers -= {writer, store_writer}

    async def _forward(
        self,
        reader: Any,
        writer: Any,
        *,
        is_response: bool,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                if writer.is_closing():
                    # The balancer has given the request up.
                    break
                if self._is_dropped(is_response=is_response):
                    continue
                writer.write(chunk)
                if is_response and self.bytes_per_second is not None:
                    await asyncio.sleep(len(chunk) / self.bytes_per_second)
        except OSError:
            # One end reset the connection; reset the other one as well.
            writer.transport.abort()
            return
        writer.close()

    def _is_dropped(self, *, is_response: bool) -> bool:
        if self.mode is ProxyMode.SILENT:
            return True
        return is_response and self.mode is ProxyMode.LOSE_RESPONSES
