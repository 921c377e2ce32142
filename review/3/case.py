"""MIXED: a caller gets a success without the engine's signature.

One of three engines of a plain service spoils one in twenty of its answers: what it sends instead
is no answer in the protocol, since it has no `X-Response-Signature`.
"""

import asyncio
from pathlib import Path

from stand_ins.deployment import Deployment, Record, run_case
from stand_ins.engine import ATTEMPT, SIGNATURE, Connection, Engine
from stand_ins.http import Answer, Message
from stand_ins.operator import configuration, plain_service, route, tenant

KEY = "key-of-tenant-1"
REQUESTS = 150
REQUESTS_PER_S = 30
WORK_S = 0.03
ANSWERS_PER_SPOILED = 20


class DeskEngine(Engine):
    """An engine of the plain service, which may spoil some of its answers."""

    record_file: Record
    spoils = False
    count = 0

    async def run(self, request: Message, connection: Connection) -> Answer:
        """Run a request, and answer it."""
        attempt = request.header(ATTEMPT)
        self.record_file.write(f"engine {self.engine_id} runs {attempt}")
        await asyncio.sleep(WORK_S)
        self.count += 1
        if self.spoils and self.count % ANSWERS_PER_SPOILED == 0:
            self.record_file.write(f"engine {self.engine_id} spoils its answer to {attempt}")
            return Answer(200, [(ATTEMPT, attempt)], b"\x00wrong bytes")
        return self.answer(request, b"booked " + attempt.encode())


async def case(record: Record, trouble: bool) -> bool:
    """Send requests, and look for successes without a signature."""
    async with Deployment(3, record, nodes=2) as deployment:
        routes = [route("book", "non_idempotent", "desk"), route("look", "idempotent", "desk")]
        deployment.store.put(
            "op/config",
            configuration(1, routes, [plain_service("desk")], [tenant("tenant-1", KEY)]),
        )
        for name in ("i-desk1", "i-desk2", "i-desk3"):
            engine = await deployment.add_engine(DeskEngine, name, "desk")
            engine.record_file = record
            deployment.enter(engine)
        await deployment.start_nodes()
        deployment.engines[0].spoils = trouble
        pending = []
        for number in range(REQUESTS):
            path = ("/book/title", "/look/title")[number // 2 % 2]
            pending.append(asyncio.ensure_future(deployment.send(path, KEY, node=number % 2)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        answers = await asyncio.gather(*pending)
    broken = [
        attempt
        for attempt, answer in answers
        if answer is not None and 200 <= answer.status < 300 and not answer.header(SIGNATURE)
    ]
    for attempt in broken:
        record.write(f"{attempt} was answered as a success without the engine's signature")
    record.write(f"{len(broken)} of {REQUESTS} clients got a success without a signature")
    return not broken


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
