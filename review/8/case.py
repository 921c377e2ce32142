"""A node that is told to stop while the store is silent takes requests that it cannot finish."""

import asyncio
import json
import signal

from review.stand_ins_2 import case, fleet
from review.stand_ins_2.case import TROUBLE
from review.stand_ins_2.engine import Engine
from review.stand_ins_2.store import Store

TARGET = "/report/month"
ATTEMPT = "a0000001"
SENT_AFTER_S = 3.3
WORK_S = 4.3
GRACE_S = 8.0
# One of the site's days has the store silent for 2.6 s, 0.1 s of which are before the SIGTERM.
DOWN_S = 2.4


async def resolve(node, log):
    """Return the addresses that the directory names, or nothing."""
    try:
        target = f"/liftrill/resolve?Name={fleet.HOST}&Region=region-1&Zone=zone-1"
        status, _, body = await fleet.ask(node.address("directory"), "GET", target, [], b"", 1.0)
        found = json.loads(body)["Addresses"] if status == 200 else []
    except (OSError, TimeoutError):
        found = []
    log(f"client: the directory names {len(found)} addresses")
    return found


async def play(folder, log):
    """Play the case, and return the exit code."""
    now_s = asyncio.get_running_loop().time
    store = Store(log)
    await store.start(fleet.loopback_ip())
    engine = Engine("i-one", "desk", log, slots=6)
    engine.work_s[TARGET] = WORK_S
    await engine.start(fleet.loopback_ip())
    report = fleet.route(
        "report", "/report/", "idempotent", "desk", Public=True, TimeoutMs=10000, MaxAttempts=1
    )
    store.put("op/config", fleet.configuration([report]))
    store.put("servers/i-one", engine.record())
    node = fleet.Node("edge-1", folder, log)
    node.write_settings(store.address)
    await node.start()
    try:
        if not await node.wait_ready():
            return 2
        # The node leads by then, and nothing has been disrupted for ContactMs.
        await asyncio.sleep(5.0)
        if "liftrill/leader" not in store.items or not await resolve(node, log):
            return 2
        store.is_silent = TROUBLE
        if TROUBLE:
            log("the store is silent")
        await asyncio.sleep(0.1)
        node.signal(signal.SIGTERM)
        stopped_at = now_s()
        await asyncio.sleep(1.5)
        # The answer of before is a second old: none newer is to be had.
        await resolve(node, log)
        await asyncio.sleep(stopped_at + DOWN_S - now_s())
        store.is_silent = False
        log("the store is up")
        await asyncio.sleep(stopped_at + SENT_AFTER_S - now_s())
        sending = asyncio.ensure_future(fleet.send(node, log, ATTEMPT, TARGET, 10000))
        status, _ = await sending
        ended_s = now_s() - stopped_at
        await asyncio.wait_for(node.process.wait(), 10)
        log(f"the request ended {ended_s:.2f} s after SIGTERM, GraceS is {GRACE_S}")
        log(f"the process ended {now_s() - stopped_at:.2f} s after SIGTERM")
        if status == 0 and ATTEMPT in engine.runs and ended_s < GRACE_S + 1:
            log("LOST is broken: it was passed on and has no complete answer")
            return 1
        return 0
    finally:
        await node.stop()
        store.stop()
        engine.stop()


if __name__ == "__main__":
    case.main(play, __file__)
