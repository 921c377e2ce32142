"""An engine, as the page PROTOCOL.md tells it. What it does with one request is overridden."""

import asyncio
import json

from . import wire


class Engine:
    """One incarnation of an engine.

    Attributes:
        runs: the attempt ids of the requests that it began to run, in order.
        arrivals: the attempt ids that arrived, in order.
    """

    def __init__(self, engine_id, service, log, slots=64, state="ready", weights=None):
        self.engine_id = engine_id
        self.service = service
        self.slots = slots
        self.state = state
        self.weights = weights or {}
        self.sequence = 0
        self.fence = 0
        self.runs = []
        self.arrivals = []
        self.answers = 0
        self.work_s = {}
        self._active = 0
        self._log = log

    async def start(self, ip):
        """Listen at a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Stop listening."""
        self._server.close()

    def record(self, weights=None):
        """Return its entry in the store."""
        models = weights if weights is not None else self.weights
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-1",
            "Version": "1.0",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "SeqNo": self.sequence,
        }
        if models:
            entry["Stage"] = "colocated"
            entry["Models"] = _models(models)
        return entry

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        try:
            while (request := await wire.read_request(reader)) is not None:
                await self._handle(request, connection)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, connection):
        if request.path == "/liftrill/report":
            connection.write(self._report(request))
            return
        if request.path == "/liftrill/order":
            connection.write(self._order(request))
            return
        attempt_id = request.header("X-Attempt-Id")
        self.arrivals.append(attempt_id)
        self.answers += 1
        expected = request.header("X-Expect-Version")
        self._log(
            f"{self.engine_id}: {attempt_id} arrives, X-Expect-Version {expected or '-'},"
            f" connection {connection.number}"
        )
        own = [("X-Attempt-Id", attempt_id), ("X-Instance-Id", self.engine_id)]
        if request.header("X-Expect-Instance", self.engine_id) != self.engine_id:
            connection.write(wire.answer(421, own))
            return
        model = request.header("X-Model")
        if expected and int(expected) != self.weights.get(model):
            await self.refuse_version(attempt_id, own, connection)
            return
        await self.run(request, attempt_id, own, connection)

    async def refuse_version(self, attempt_id, headers, connection):
        """Answer that its weights are of another version."""
        self._log(f"{self.engine_id}: {attempt_id} gets 421, not run")
        connection.write(wire.answer(421, headers))

    async def run(self, request, attempt_id, headers, connection):
        """Run a request: an event stream for those that name a model, else a whole answer."""
        self.runs.append(attempt_id)
        self._log(f"{self.engine_id}: {attempt_id} begins to run")
        signed = [*headers, ("X-Response-Signature", f"sig.{attempt_id}")]
        if not request.header("X-Model"):
            await asyncio.sleep(self.work_s.get(request.path, 0.02))
            connection.write(wire.answer(200, signed, b"done " + attempt_id.encode()))
            self._log(f"{self.engine_id}: {attempt_id} is answered 200")
            return
        version = self.weights[request.header("X-Model")]
        connection.write(wire.stream_head([*signed, ("X-Weight-Versions", str(version))]))
        for number in range(1, 6):
            await asyncio.sleep(0.02)
            connection.write(wire.chunk(f"id: {number}\ndata: {attempt_id}\n\n".encode()))
        connection.write(wire.chunk(b""))
        self._log(f"{self.engine_id}: {attempt_id} is answered 200, 5 events")

    def _report(self, request):
        if request.header("X-Expect-Instance", self.engine_id) != self.engine_id:
            return wire.answer(421)
        body = {
            "Stage": "colocated",
            "Models": _models(self.weights),
            "Utilization": False,
            "SeqNo": self.sequence,
            "Queued": 0,
            "Active": self._active,
            "KvUsed": 0,
            "KvTotal": 100000,
            "Handles": 0,
        }
        return wire.answer(200, [("Content-Type", "application/json")], json.dumps(body).encode())

    def _order(self, request):
        body = json.loads(request.body)
        if body["Fence"] < self.fence:
            return wire.answer(412)
        self.fence = body["Fence"]
        if self.weights.get(body["Model"]) == body["Version"]:
            return wire.answer(200)
        if body.get("Expected", self.sequence) != self.sequence:
            return wire.answer(409)
        self.sequence += 1
        self.weights[body["Model"]] = body["Version"]
        return wire.answer(202)


class Connection:
    """One connection to an engine."""

    _count = 0

    def __init__(self, reader, writer):
        Connection._count += 1
        self.number = Connection._count
        self.extra = b""
        self._writer = writer

    def write(self, data):
        """Write bytes, or raise ConnectionResetError if the connection is closed."""
        if self._writer.is_closing():
            raise ConnectionResetError
        self._writer.write(data)


def _models(weights):
    return [{"Name": n, "Version": v, "Adapters": []} for n, v in weights.items()]
