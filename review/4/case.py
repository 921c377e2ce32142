"""A second answer to a 421 is taken for the answer to the request that is sent again."""

import asyncio

from review.stand_ins_2 import case, fleet, wire
from review.stand_ins_2.case import TROUBLE
from review.stand_ins_2.engine import Engine
from review.stand_ins_2.store import Store

MODEL = "model-1"
TARGET = "/dossier/review"
ATTEMPT = "a0000001"
# With these the one extra answer is at most 0.03 of the engine's answers within 5 s.
LATER_REQUESTS = 60
SENT_AT_ONCE = 4
HEARTBEAT_AFTER_S = 0.04


class GarblingEngine(Engine):
    """An engine that gives its first 421 twice, the second time where the next answer is due."""

    on_refused = staticmethod(lambda: None)
    has_garbled = False

    async def refuse_version(self, attempt_id, headers, connection):
        """Answer 421, and keep the first such answer for the next one's place."""
        await super().refuse_version(attempt_id, headers, connection)
        if TROUBLE and not self.has_garbled:
            self.has_garbled = True
            connection.extra = wire.answer(421, headers)
        self.on_refused()

    async def run(self, request, attempt_id, headers, connection):
        """Run a request, after the answer too many if there is one."""
        if connection.extra:
            extra, connection.extra = connection.extra, b""
            self._log(f"{self.engine_id}: the answer too many comes, on {connection.number}")
            connection.write(extra)
        await super().run(request, attempt_id, headers, connection)


def fill(store, engine, leaving):
    """Write the configuration, the named version, and the entries of the engines."""
    dossier = fleet.route("dossier", "/dossier/", "streaming", "llm", TargetLatencyMs=2000)
    store.put("op/config", fleet.configuration([dossier]))
    store.put("op/version/" + MODEL, {"Model": MODEL, "Version": 2})
    # The entry as of the last heartbeat, at most 1.2 s ago: the engine has loaded version 2 since.
    store.put("servers/i-one", {**engine.record({MODEL: 1}), "SeqNo": 0})
    store.put("servers/i-two", leaving.record())


async def judge(node, log, engines):
    """Send the requests, and return the exit code."""
    status, _ = await fleet.send(node, log, ATTEMPT, TARGET, 6000, fleet.prompt())
    await asyncio.sleep(1.0)
    runs = sum(engine.runs.count(ATTEMPT) for engine in engines)
    log(f"{ATTEMPT} was answered {status} and was begun {runs} times")
    served = 0
    for first in range(0, LATER_REQUESTS, SENT_AT_ONCE):
        ids = [f"b{number:07}" for number in range(first, first + SENT_AT_ONCE)]
        sending = [fleet.send(node, log, i, TARGET, 6000, fleet.prompt()) for i in ids]
        served += [status for status, _ in await asyncio.gather(*sending)].count(200)
    log(f"{served} of {LATER_REQUESTS} later requests were served")
    if served < LATER_REQUESTS // 2:
        return 2
    if runs and status in (408, 421, 429, 503):
        log("REFUSED is broken: the answer promises that the request has not run")
        return 1
    if runs > 1:
        log("TWICE is broken")
        return 1
    return 0


async def play(folder, log):
    """Play the case, and return the exit code."""
    store = Store(log)
    await store.start(fleet.loopback_ip())
    engine = GarblingEngine("i-one", "llm", log, weights={MODEL: 2})
    leaving = Engine("i-two", "llm", log, weights={MODEL: 2}, state="draining")
    for each in (engine, leaving):
        each.sequence = 1
        await each.start(fleet.loopback_ip())
    fill(store, engine, leaving)
    tasks, watched = [], asyncio.Event()

    async def beat():
        await asyncio.sleep(HEARTBEAT_AFTER_S)
        log("i-one: heartbeat, its entry tells version 2")
        store.put("servers/i-one", engine.record())

    def refused():
        if not tasks:
            tasks.append(asyncio.ensure_future(beat()))

    def called(call):
        if call == "kv-watch":
            watched.set()

    engine.on_refused, store.on_call = refused, called
    node = fleet.Node("edge-1", folder, log)
    node.write_settings(store.address)
    await node.start()
    try:
        if not await node.wait_ready():
            return 2
        await asyncio.wait_for(watched.wait(), 10)
        code = await judge(node, log, (engine, leaving))
        log(f"i-one gave {engine.answers} answers, and {int(engine.has_garbled)} too many")
        return code if tasks else 2
    finally:
        await node.stop()
        store.stop()
        for each in (engine, leaving):
            each.stop()


if __name__ == "__main__":
    case.main(play, __file__)
