"""A loopback proxy that injects faults into the connections that pass through it."""

import asyncio
import enum
import socket
import struct
from contextlib import suppress

CHUNK_BYTES = 65_536


class ProxyFault(enum.Enum):
    """A fault that a proxy applies to its connections."""

    NONE = enum.auto()
    DELAY = enum.auto()
    RESET = enum.auto()
    DROP_ANSWERS = enum.auto()
    SILENCE = enum.auto()


class FaultProxy:
    """Forwards connections to a target, and applies a fault to them while one is set.

    Attributes:
        fault: the current fault, for open and for new connections.
        delay_s: the delay of each chunk under `ProxyFault.DELAY`.
    """

    def __init__(self, address, target, delay_s=0.3):
        self.address = address
        self.target = target
        self.delay_s = delay_s
        self.fault = ProxyFault.NONE
        self._server = None
        self._tasks = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        with suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, target_writer, answers=False),
                self._pump(target_reader, writer, answers=True),
            )
        target_writer.close()
        writer.close()

    async def _pump(self, source, target, answers):
        while data := await source.read(CHUNK_BYTES):
            if self.fault is ProxyFault.DELAY:
                await asyncio.sleep(self.delay_s)
            if self.fault is ProxyFault.RESET:
                reset(target)
                return
            is_lost = self.fault is ProxyFault.SILENCE or (
                self.fault is ProxyFault.DROP_ANSWERS and answers
            )
            if not is_lost:
                target.write(data)
                await target.drain()
        target.close()


def reset(writer):
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
