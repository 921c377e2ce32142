"""A drill: the store is away for a moment and comes back from an older copy of itself."""

import asyncio
import time

import aiohttp

SERVED = 200
# From the store's return until what was written is written again (own choice).
WRITTEN_AGAIN_AFTER_S = 0.3
# Records written in the time that the copy lacks: many more than are written right after it.
LOST_RECORDS = 200
POLL_S = 0.05


async def run_restore(context, away, age, trouble=None):
    deployment = context.deployment
    context.said_at = time.monotonic()
    write_lost_records(deployment.store)
    context.left = [deployment.engines[name] for name in ("desk-0", "desk-1")]
    deployment.record(context.left[0], "draining")
    deployment.store.remove("servers/desk-1")
    deployment.name_weights(2)
    deployment.configure(6, keys=("key-of-tenant-1", "key-2"))
    await asyncio.sleep(age - away - 1.0)
    beside = asyncio.ensure_future(trouble(deployment)) if trouble else None
    await restore(deployment.store, away, age)
    context.back_at = time.monotonic()
    context.started = await beside if beside is not None else None


def write_lost_records(store):
    for number in range(LOST_RECORDS):
        store.put(f"op/lost/{number}", {})


async def restore(store, away, age):
    """Let the store be away, and come back from a copy."""
    store.fault = "reset"
    store.cut_watches()
    await asyncio.sleep(away)
    store.restore(age)
    store.fault = ""


async def rewrite_lost_records(context, others):
    deployment = context.deployment
    for number in range(others):
        deployment.store.put(f"op/other/{number}", {})
    await asyncio.sleep(0.0 if others else WRITTEN_AGAIN_AFTER_S)
    deployment.configure(6, keys=("key-of-tenant-1", "key-2"))
    deployment.name_weights(2)
    for engine in deployment.engines.values():
        if engine not in context.left:
            deployment.record(engine)
    deployment.record(context.left[0], "draining")
    deployment.configure(7, keys=("key-of-tenant-1", "key-2", "key-3"))
    deployment.name_weights(3)
    context.written_at = time.monotonic()
    context.key_at = await key_delay_s(context, "key-3")
    context.loaded_at = await load_delay_s(context, 3)
    context.calling.cancel()
    await asyncio.gather(*context.callers.tasks)


async def key_delay_s(context, key):
    """Return after what time all nodes take a key, or infinity."""

    async def taken(node):
        try:
            status, _, _, _ = await context.deployment.call(node, "/whole/x", key=key)
        except aiohttp.ClientConnectorError:
            # It has not started again yet.
            return False
        return status == SERVED

    while time.monotonic() < context.written_at + 8.0:
        if all(await asyncio.gather(*map(taken, context.deployment.nodes))):
            return time.monotonic() - context.written_at
        await asyncio.sleep(POLL_S)
    return float("inf")


async def load_delay_s(context, version):
    """Return after what time all engines have a version, or infinity."""
    engines = [e for e in context.deployment.engines.values() if e.service == "llm"]
    while time.monotonic() < context.written_at + 10.0:
        if all(engine.weights["model-1"] == version for engine in engines):
            return time.monotonic() - context.written_at
        await asyncio.sleep(POLL_S)
    return float("inf")
