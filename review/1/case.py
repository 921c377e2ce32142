"""LOST: one answer of wrong bytes ends a node's process, and with it all requests that it holds.

One of four engines of a plain service spoils one in twenty of its answers: it sends bytes without
end, as fast as its link allows, until the node closes the connection. The node keeps all of them
in memory. As the platform does, the case kills a process that exceeds `MemoryMb`.
"""

import asyncio
from pathlib import Path

from stand_ins.deployment import Deployment, Node, Record, run_case
from stand_ins.engine import ATTEMPT, SIGNATURE, Connection, Engine
from stand_ins.http import Answer, Message
from stand_ins.kept_client import KeptClient
from stand_ins.operator import configuration, plain_service, route, tenant

KEY = "key-of-tenant-1"
MEMORY_MB = 150
CLIENTS = 12
PAUSE_RANGE_S = (0.02, 0.1)
WORK_S = 0.25
FOR_S = 5.0
# No answer is spoiled later than this, so that the last one has ended after 5 s: the node waits for
# an answer no longer than the route's timeout.
SPOILS_FOR_S = 3.5
ANSWERS_PER_SPOILED = 20
# The links of the site carry 1,000 Mbit/s, which is 125 bytes a microsecond.
PIECE_BYTES = 600_000
PIECE_S = 0.005
MEMORY_CHECK_S = 0.02
RESTART_S = 0.5
# So many requests that are cut without an answer are allowed.
ALLOWED = 3


class DeskEngine(Engine):
    """An engine of the plain service, which may spoil some of its answers."""

    record_file: Record
    executed: dict[str, str]
    spoils = False
    count = 0

    async def run(self, request: Message, connection: Connection) -> Answer | None:
        """Run a request, and answer it."""
        attempt = request.header(ATTEMPT)
        self.executed[attempt] = self.engine_id
        self.record_file.write(f"engine {self.engine_id} runs {attempt}")
        await asyncio.sleep(WORK_S)
        self.count += 1
        if not self.spoils or self.count % ANSWERS_PER_SPOILED:
            return self.answer(request, b"booked " + attempt.encode())
        self.record_file.write(f"engine {self.engine_id} spoils its answer to {attempt}")
        head = [
            "HTTP/1.1 200 OK",
            f"{ATTEMPT}: {attempt}",
            f"{SIGNATURE}: {self.engine_id}.c9f2a4d1",
        ]
        writer = connection.writer
        writer.write("\r\n".join([*head, "", ""]).encode())
        sent = 0
        try:
            while not writer.is_closing():
                writer.write(bytes(PIECE_BYTES))
                await writer.drain()
                sent += PIECE_BYTES
                await asyncio.sleep(PIECE_S)
        finally:
            self.record_file.write(f"engine {self.engine_id} has sent {sent} wrong bytes")
        return None


async def watch_memory(node: Node, deployment: Deployment) -> None:
    """Kill a process that exceeds its memory, and start it again, as the platform does."""
    peak_mb = 0.0
    while True:
        resident_mb = node.resident_mb()
        peak_mb = max(peak_mb, resident_mb)
        if resident_mb > MEMORY_MB:
            deployment.record.write(f"{node.name} exceeds its memory: {resident_mb:.0f} MB")
            await node.stop()
            deployment.record.write(f"{node.name} is killed")
            await asyncio.sleep(RESTART_S)
            await node.start(deployment.store.address, deployment.seeds, first_start=False)
        await asyncio.sleep(MEMORY_CHECK_S)


async def case(record: Record, trouble: bool) -> bool:
    """Send requests on kept connections, and count those that were cut without an answer."""
    executed: dict[str, str] = {}
    async with Deployment(4, record, nodes=2) as deployment:
        routes = [route("book", "non_idempotent", "desk", TimeoutMs=1500, MaxAttempts=1)]
        deployment.store.put(
            "op/config",
            configuration(1, routes, [plain_service("desk")], [tenant("tenant-1", KEY)]),
        )
        for number in range(1, 5):
            engine = await deployment.add_engine(DeskEngine, f"i-desk{number}", "desk")
            engine.record_file, engine.executed = record, executed
            deployment.enter(engine)
        for node in deployment.nodes:
            node.memory_mb = MEMORY_MB
        await deployment.start_nodes()
        node = deployment.nodes[0]
        record.write(f"{node.name} has {node.resident_mb():.0f} MB of {MEMORY_MB} MB")
        watching = asyncio.ensure_future(watch_memory(node, deployment))
        deployment.engines[0].spoils = trouble
        clients = [KeptClient(node.address("Front"), KEY, record) for _ in range(CLIENTS)]
        stop = asyncio.Event()
        running = [
            asyncio.ensure_future(client.run("/book/title", stop, PAUSE_RANGE_S))
            for client in clients
        ]
        await asyncio.sleep(SPOILS_FOR_S)
        deployment.engines[0].spoils = False
        await asyncio.sleep(FOR_S - SPOILS_FOR_S)
        stop.set()
        await asyncio.gather(*running)
        watching.cancel()
    sound = {engine.engine_id for engine in deployment.engines[1:]}
    lost = [
        attempt
        for client in clients
        for attempt in client.unanswered
        if executed.get(attempt) in sound
    ]
    for attempt in lost:
        record.write(f"{attempt} ran at {executed[attempt]}, and its client has no answer")
    record.write(f"{len(lost)} of {len(executed)} requests at sound engines were cut")
    return len(lost) <= ALLOWED


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
