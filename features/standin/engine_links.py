"""The links between one node and the engines, which a test can cut."""

import asyncio
import enum
import json
import socket
from contextlib import suppress

from features.standin.connections import reset

CHUNK_BYTES = 65_536
LOOPBACK = "127.0.0.1"


class CutKind(enum.Enum):
    """How the links of a node to engines fail."""

    HANG = "hang"
    RESET = "are reset and then refused"
    REFUSE = "refuse new connections"
    BUSY = "take no new connections"


class BlackHole:
    """An address at which connections are never established, because its queue is full."""

    def __init__(self):
        self._listening = socket.socket()
        self._listening.bind((LOOPBACK, 0))
        self._listening.listen(0)
        self.address = "{}:{}".format(*self._listening.getsockname())
        self._queued = [self._queue() for _ in range(3)]

    def _queue(self):
        connection = socket.socket()
        connection.setblocking(False)
        with suppress(BlockingIOError):
            connection.connect(self._listening.getsockname())
        return connection

    def close(self):
        for each in (self._listening, *self._queued):
            each.close()


class EngineLink:
    """Forwards the connections of one node to one engine, unless the link is cut.

    Attributes:
        target: address of the engine.
        address: where the node connects to instead.
        resets: whether a connection is reset once bytes are sent on it.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self._server = None
        self._tasks = set()
        self.resets = False
        self._passes = asyncio.Event()
        self._passes.set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def refuse(self):
        """Refuse connections from now on, as an engine does that has ended."""
        self._server.close()

    def hold(self):
        """Hold back all bytes until the link is restored."""
        self._passes.clear()

    def restore(self):
        self.resets = False
        self._passes.set()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self.target.rpartition(":")
        try:
            engine_reader, engine_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer.transport)
            return
        pumps = [
            asyncio.ensure_future(self._pump(reader, engine_writer)),
            asyncio.ensure_future(self._pump(engine_reader, writer)),
        ]
        try:
            # A close of either end, or a reset, ends the other one too.
            with suppress(asyncio.CancelledError):
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            was_reset = any(
                pump.done() and not pump.cancelled() and pump.result() for pump in pumps
            )
            for end in (writer, engine_writer):
                # An orderly close would make an answer without a length look complete.
                if was_reset or self.resets:
                    reset(end.transport)
                end.close()

    async def _pump(self, source, target):
        """Pass on bytes until one end closes; return whether it was reset."""
        try:
            while data := await source.read(CHUNK_BYTES):
                await self._passes.wait()
                if self.resets:
                    return True
                target.write(data)
                await target.drain()
        except OSError:
            return True
        await self._passes.wait()
        return False


class NodeLinks:
    """The links of one node to all engines.

    Attributes:
        path: the file in which the node's wrapper finds the addresses to connect to.
    """

    def __init__(self, path):
        self.path = path
        self._links = []
        self._addresses = {}
        self._black_hole = BlackHole()
        self._closed = socket.socket()
        # Bound and not listening: connections are refused, and no other process gets the port.
        self._closed.bind((LOOPBACK, 0))
        self.path.write_text("{}")

    async def start(self, engine_addresses):
        for address in engine_addresses:
            await self.add(address)

    async def add(self, engine_address):
        """Add the link to an engine; a cut of all links does not hold for it."""
        link = EngineLink(engine_address)
        await link.start()
        self._links.append(link)
        self._addresses[link.target] = link.address
        self._write()

    def engine_ended(self, engine_address):
        """Refuse connections to an engine that has ended."""
        for link in self._links:
            if link.target == engine_address:
                link.refuse()

    async def stop(self):
        for link in self._links:
            await link.stop()
        self._black_hole.close()
        self._closed.close()

    def cut(self, kind, targets=None):
        """Cut the links to some engines, by default to all."""
        cut = [link for link in self._links if targets is None or link.target in targets]
        closed = "{}:{}".format(*self._closed.getsockname())
        is_silent = kind in (CutKind.HANG, CutKind.BUSY)
        address = self._black_hole.address if is_silent else closed
        self._addresses |= {link.target: address for link in cut}
        self._write()
        for link in cut:
            if kind is CutKind.HANG:
                link.hold()
            elif kind is CutKind.RESET:
                link.resets = True

    def restore(self):
        self._addresses = {link.target: link.address for link in self._links}
        self._write()
        for link in self._links:
            link.restore()

    def _write(self):
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(self._addresses))
        written.replace(self.path)
