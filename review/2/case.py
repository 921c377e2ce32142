"""TWICE: a run goes on at another engine while the engine before still works on it.

One of three model engines loses one in twenty of its answers: its connection closes in the middle
of a stream, and it goes on with the run. Its health check is good, and it takes connections.
"""

import asyncio
import itertools
from pathlib import Path

from stand_ins.deployment import Deployment, Record, run_case
from stand_ins.engine import ATTEMPT, SIGNATURE, Connection, Engine
from stand_ins.http import Answer, Message
from stand_ins.operator import MODEL, configuration, model_service, route, tenant
from stand_ins.times import now_s

KEY = "key-of-tenant-1"
REQUESTS = 48
REQUESTS_PER_S = 12
EVENTS = 40
EVENT_S = 0.05
ANSWERS_PER_LOST = 20
LOST_AFTER_EVENTS = 10
# How long the engine before may still work once a run goes on elsewhere.
OVERLAP_S = 0.4


class ModelEngine(Engine):
    """A model engine that sends copies of its runs to others, and may lose answers.

    Attributes:
        copies: the copies that engines hold, as ADDRESS/ID.
        works: by request, the engine, and when it began and ended its work.
    """

    record_file: Record
    copies: set[str]
    works: dict[str, list[list]]
    loses = False
    count = 0

    async def run(self, request: Message, connection: Connection) -> Answer | None:
        """Run a request, or go on with the copy of a run."""
        attempt = request.header(ATTEMPT)
        copy = request.header("Kv-From")
        if copy and copy not in self.copies:
            return Answer(503, [(ATTEMPT, attempt), ("X-Not-Executed", "1")])
        if request.header("X-Kv-Backup"):
            self.copies.add(f"{request.header('X-Kv-Backup')}/{attempt}")
        first = int(request.header("Last-Event-Id", "0")) + 1
        self.count += 1
        is_lost = self.loses and not copy and self.count % ANSWERS_PER_LOST == 0
        how = f"goes on with {attempt} at event {first}" if copy else f"runs {attempt}"
        self.record_file.write(f"engine {self.engine_id} {how}")
        work = [self.engine_id, now_s(), 0.0]
        self.works.setdefault(attempt, []).append(work)
        try:
            await self._work(connection, attempt, first, is_lost)
        finally:
            work[2] = now_s()
            self.record_file.write(f"engine {self.engine_id} has ended its work on {attempt}")
        return None

    async def _work(self, connection: Connection, attempt: str, first: int, is_lost: bool) -> None:
        head = [
            "HTTP/1.1 200 OK",
            f"{ATTEMPT}: {attempt}",
            f"{SIGNATURE}: {self.engine_id}.c9f2a4d1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer = connection.writer
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(first, EVENTS + 1):
            if is_lost and number > LOST_AFTER_EVENTS:
                if number == LOST_AFTER_EVENTS + 1:
                    self.record_file.write(f"engine {self.engine_id} loses its answer to {attempt}")
                    writer.close()
            elif writer.is_closing():
                # The node has closed the connection: this engine drops the request.
                return
            else:
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            await asyncio.sleep(EVENT_S)
        if not is_lost:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


async def case(record: Record, trouble: bool) -> bool:
    """Send streams that may not be resumed, and look for two engines that work on one."""
    copies: set[str] = set()
    works: dict[str, list[list]] = {}
    prompt = (
        ("X-Model", MODEL),
        ("X-Token-Usage", "1460,1200"),
        ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    )
    async with Deployment(3, record, nodes=2) as deployment:
        routes = [
            route("draft", "streaming", "llm", TargetLatencyMs=800, TimeoutMs=15000, MaxAttempts=1)
        ]
        deployment.store.put(
            "op/config",
            configuration(1, routes, [model_service("llm", True)], [tenant("tenant-1", KEY)]),
        )
        deployment.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 1})
        for name in ("i-llm1", "i-llm2", "i-llm3"):
            engine = await deployment.add_engine(ModelEngine, name, "llm")
            engine.record_file, engine.copies, engine.works = record, copies, works
            engine.weights, engine.slots = {MODEL: 1}, 64
            deployment.enter(engine)
        await deployment.start_nodes()
        deployment.engines[0].loses = trouble
        pending = []
        for number in range(REQUESTS):
            sent = deployment.send("/draft/deed", KEY, number % 2, prompt, deadline_ms=15000)
            pending.append(asyncio.ensure_future(sent))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*pending)
        await asyncio.sleep(EVENTS * EVENT_S)
    broken = 0
    for attempt, done in works.items():
        for (engine, _, ended_at), (next_engine, began_at, _) in itertools.pairwise(done):
            if ended_at - began_at > OVERLAP_S:
                broken += 1
                record.write(
                    f"{attempt} went on at {next_engine}, and {engine} still worked on it"
                    f" {ended_at - began_at:.2f} s later"
                )
    record.write(f"{broken} of {len(works)} runs went on while the engine before still worked")
    return not broken


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
