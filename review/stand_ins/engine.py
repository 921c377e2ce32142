"""An engine of the platform; subclasses decide how it answers the requests of clients."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress

from stand_ins.http import Answer, Message, read_message

SIGNATURE = "X-Response-Signature"
ATTEMPT = "X-Attempt-Id"
# How long an engine takes to load new weights.
LOAD_S = 0.63


class Connection:
    """One connection from a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def reset(self) -> None:
        """Drop the connection; the node sees it break."""
        self.writer.transport.abort()


class Engine:
    """One incarnation of an engine, listening on a port."""

    def __init__(self, engine_id: str, service: str, host: str, port: int, slots: int = 16) -> None:
        self.engine_id = engine_id
        self.service = service
        self.address = f"{host}:{port}"
        self.slots = slots
        self.weights: dict[str, int] = {}
        self.sequence = 0
        self.highest_fence = 0
        self.loading = False
        self.crashed = False
        self._connections: set[Connection] = set()
        self.on_loaded: Callable[[], None] = lambda: None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the socket."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Close the socket."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Stop listening and drop all connections, as when the process dies."""
        self.crashed = True
        self.close()
        for connection in list(self._connections):
            connection.reset()

    def record(self) -> dict:
        """Return the engine's entry in the platform's store."""
        models = [{"Name": n, "Version": v, "Adapters": []} for n, v in self.weights.items()]
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-1",
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Stage": "colocated",
            "Models": models,
            "SeqNo": self.sequence,
        }

    async def run(self, request: Message, connection: Connection) -> Answer | None:
        """Run a client's request; return its answer, or None if all was written already."""
        raise NotImplementedError

    def answer(self, request: Message, body: bytes, status: int = 200) -> Answer:
        """Return a sound answer to a request."""
        headers = [(ATTEMPT, request.header(ATTEMPT)), (SIGNATURE, f"{self.engine_id}.c9f2a4d1")]
        return Answer(status, headers, body)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self._connections.add(connection)
        with suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            while True:
                request = await read_message(reader)
                answer = await self._respond(request, connection)
                if answer is not None:
                    writer.write(answer.encode())
                    await writer.drain()
        self._connections.discard(connection)
        with suppress(OSError):
            writer.close()

    async def _respond(self, request: Message, connection: Connection) -> Answer | None:
        instance = [("X-Instance-Id", self.engine_id)]
        if request.target == "/healthz":
            return Answer(200, instance)
        expected = request.header("X-Expect-Instance", self.engine_id)
        version = request.header("X-Expect-Version")
        model = request.header("X-Model")
        if expected != self.engine_id or (version and int(version) != self.weights.get(model)):
            return Answer(421, [(ATTEMPT, request.header(ATTEMPT)), *instance])
        if request.target == "/liftrill/report":
            models = [{"Name": n, "Version": v, "Adapters": []} for n, v in self.weights.items()]
            report = {"Models": models, "Utilization": self.loading, "SeqNo": self.sequence}
            return Answer(200, [("Content-Type", "application/json")], json.dumps(report).encode())
        if request.target == "/liftrill/order":
            return self._order(json.loads(request.body))
        if self.loading and not request.header("Kv-From"):
            headers = [(ATTEMPT, request.header(ATTEMPT)), ("X-Not-Executed", "1")]
            return Answer(503, headers)
        return await self.run(request, connection)

    def _order(self, order: dict) -> Answer:
        if order["Fence"] < self.highest_fence:
            return Answer(412)
        if self.loading or order.get("Expected", self.sequence) != self.sequence:
            return Answer(409)
        self.highest_fence = order["Fence"]
        self.sequence += 1
        if self.weights[order["Model"]] >= order["Version"]:
            return Answer(200)
        self.loading = True
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_S, self._loaded, order["Model"], order["Version"])
        return Answer(202)

    def _loaded(self, model: str, version: int) -> None:
        self.loading = False
        self.weights[model] = version
        self.on_loaded()


async def write_stream(
    request: Message, connection: Connection, signature: str, events: int, gap_s: float
) -> None:
    """Write a sound answer of events, in chunks, as the engine makes them."""
    head = [
        "HTTP/1.1 200 OK",
        f"{ATTEMPT}: {request.header(ATTEMPT)}",
        f"{SIGNATURE}: {signature}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        "",
        "",
    ]
    connection.writer.write("\r\n".join(head).encode())
    first = int(request.header("Last-Event-Id", "0")) + 1
    for number in range(first, first + events):
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        connection.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await connection.writer.drain()
        await asyncio.sleep(gap_s)
    connection.writer.write(b"0\r\n\r\n")
    await connection.writer.drain()
