"""STALE: a run goes on, on older weights, from memory that was made under newer ones.

New weights are named while long streams run. Engines load them one after the other and retain
their runs. Then one engine that has loaded them crashes; the copies of its runs lie at engines
that still have the older weights.
"""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from stand_ins.deployment import Deployment, Record, run_case
from stand_ins.engine import ATTEMPT, SIGNATURE, Connection, Engine
from stand_ins.http import Answer, Message
from stand_ins.operator import MODEL, configuration, model_service, route, tenant

KEY = "key-of-tenant-1"
# Engines load weights in the order of their ids. Copies go to the engine with the fewest runs, and
# with these ids that is one of the last to load.
ENGINE_IDS = (
    "i-001d9a88",
    "i-096d3737",
    "i-14a03569",
    "i-42f9a039",
    "i-7c2b3abe",
    "i-92e5dfe8",
    "i-c320a473",
    "i-cb1855fe",
    "i-d26b9496",
)
STREAMS = 90
EVENTS = 100
EVENT_S = 0.1
# How long the engine that crashes has had the newer weights by then.
NEWER_WEIGHTS_S = 0.3
# The entry of an engine that is lost goes after three heartbeats of silence.
ENTRY_GONE_S = 3 * 1.2


@dataclass
class Fleet:
    """What all engines know together.

    Attributes:
        copies: by ADDRESS/ID, the weight version under which each event of a run was made.
        stale: descriptions of the runs that went on from memory of other weights.
    """

    record: Record
    engines: dict[str, "ModelEngine"] = field(default_factory=dict)
    copies: dict[str, list[int]] = field(default_factory=dict)
    stale: list[str] = field(default_factory=list)


class ModelEngine(Engine):
    """A model engine that loads weights when ordered and sends copies of its runs to others.

    Attributes:
        runs: by request, the address of the engine that holds the copy, or "".
    """

    fleet: Fleet

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.slots = 64
        self.weights = {MODEL: 1}
        self.runs: dict[str, str] = {}

    async def run(self, request: Message, connection: Connection) -> Answer | None:
        """Run a request, or go on with the copy of a run."""
        fleet, attempt = self.fleet, request.header(ATTEMPT)
        copy = request.header("Kv-From")
        if copy and copy not in fleet.copies:
            return Answer(503, [(ATTEMPT, attempt), ("X-Not-Executed", "1")])
        memory = list(fleet.copies.get(copy, ()))
        version = self.weights[MODEL]
        how = "goes on with" if copy else "runs"
        fleet.record.write(f"engine {self.engine_id} {how} {attempt} on version {version}")
        if any(made != version for made in memory):
            text = (
                f"{attempt} goes on at {self.engine_id} on version {version}, from memory made"
                f" under versions {sorted(set(memory))}"
            )
            fleet.stale.append(text)
            fleet.record.write(text)
        backup = request.header("X-Kv-Backup")
        if backup:
            fleet.copies[f"{backup}/{attempt}"] = memory
        fleet.record.write(f"the copy of {attempt} goes to {backup or None}")
        self.runs[attempt] = backup
        try:
            await self._write(request, connection, memory)
        finally:
            del self.runs[attempt]
        return None

    async def _write(self, request: Message, connection: Connection, memory: list[int]) -> None:
        writer = connection.writer
        version = self.weights[MODEL]
        head = [
            "HTTP/1.1 200 OK",
            f"{ATTEMPT}: {request.header(ATTEMPT)}",
            f"{SIGNATURE}: {self.engine_id}.c9f2a4d1",
            f"X-Weight-Versions: {version}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(int(request.header("Last-Event-Id", "0")) + 1, EVENTS + 1):
            if self.crashed or writer.is_closing():
                return
            event = f"id: {number}\ndata: token {number}\n\n"
            if self.weights[MODEL] != version:
                # The order retains the run: it continues under the new weights, and says so.
                version = self.weights[MODEL]
                event = f"x-weight-versions: {version}\n{event}"
            memory.append(version)
            data = event.encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def engine_to_crash(fleet: Fleet) -> ModelEngine | None:
    """Return an engine on the newer weights with copies at engines on the older ones."""
    by_address = {engine.address: engine for engine in fleet.engines.values()}

    def older_copies(engine: ModelEngine) -> int:
        holders = [by_address[at] for at in engine.runs.values() if at]
        return sum(at.weights[MODEL] == 1 and not at.loading for at in holders)

    while any(engine.weights[MODEL] == 1 for engine in fleet.engines.values()):
        newer = [engine for engine in fleet.engines.values() if engine.weights[MODEL] == 2]
        if newer:
            # By now the runs that it retained have gone on under the newer weights.
            await asyncio.sleep(NEWER_WEIGHTS_S)
            return max(newer, key=older_copies)
        await asyncio.sleep(0.02)
    return None


async def case(record: Record, trouble: bool) -> bool:
    """Name new weights while streams run, and let an engine crash meanwhile."""
    fleet = Fleet(record)
    async with Deployment(len(ENGINE_IDS), record, nodes=2) as deployment:
        routes = [route("draft", "streaming", "llm", TargetLatencyMs=800, TimeoutMs=15000)]
        deployment.store.put(
            "op/config",
            configuration(1, routes, [model_service("llm", True)], [tenant("tenant-1", KEY)]),
        )
        deployment.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 1})
        for name in ENGINE_IDS:
            engine = await deployment.add_engine(ModelEngine, name, "llm")
            engine.fleet = fleet
            engine.on_loaded = lambda engine=engine: deployment.enter(engine)
            fleet.engines[engine.engine_id] = engine
            deployment.enter(engine)
        await deployment.start_nodes()
        pending = []
        for number in range(STREAMS):
            prompt = (
                ("X-Model", MODEL),
                ("X-Token-Usage", "1460,1200"),
                (
                    "X-Prompt-Prefix",
                    f"5c1e07{number:02x}:800,91bd3f{number:02x}:410,e4402b{number:02x}:250",
                ),
            )
            sent = deployment.send("/draft/deed", KEY, number % 2, prompt, deadline_ms=15000)
            pending.append(asyncio.ensure_future(sent))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        deployment.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        record.write("version 2 is acknowledged")
        engine = await engine_to_crash(fleet)
        if engine is None:
            record.write("no engine with newer weights had a copy at one with older weights")
        elif trouble:
            record.write(f"engine {engine.engine_id} crashes on version {engine.weights[MODEL]}")
            engine.crash()
            loop = asyncio.get_running_loop()
            loop.call_later(ENTRY_GONE_S, deployment.store.remove, f"servers/{engine.engine_id}")
        answers = await asyncio.gather(*pending)
    whole = sum(answer is not None and answer.complete for _, answer in answers)
    record.write(f"{whole} of {STREAMS} clients got a whole stream")
    record.write(f"{len(fleet.stale)} runs went on from memory of other weights")
    return not fleet.stale


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
