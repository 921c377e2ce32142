"""Restores the stand-in store from an older copy after a short outage."""

import asyncio
import time

import aiohttp

SERVED = 200
# Time from the restore until the lost records are written again.
REWRITE_DELAY_S = 0.3
# Records that the copy lacks: many more than are written right after the restore.
LOST_RECORD_COUNT = 200
POLL_INTERVAL_S = 0.05


async def run_restore(context, away, age, trouble=None):
    deployment = context.deployment
    context.said_at = time.monotonic()
    write_lost_records(deployment.store)
    context.left_engines = [deployment.engines[name] for name in ("desk-0", "desk-1")]
    deployment.record(context.left_engines[0], "draining")
    deployment.store.remove("servers/desk-1")
    deployment.set_weight_version(2)
    deployment.configure(6, keys=("key-of-tenant-1", "key-2"))
    await asyncio.sleep(age - away - 1.0)
    troubling = asyncio.ensure_future(trouble(deployment)) if trouble else None
    await restore(deployment.store, away, age)
    context.restored_at = time.monotonic()
    context.restarted = await troubling if troubling is not None else None


def write_lost_records(store):
    for number in range(LOST_RECORD_COUNT):
        store.put(f"op/lost/{number}", {})


async def restore(store, away, age):
    """Make the store unavailable, and restore it from a copy of the given age."""
    store.fault = "reset"
    store.cut_watches()
    await asyncio.sleep(away)
    store.restore(age)
    store.fault = ""


async def rewrite_lost_records(context, other_count):
    deployment = context.deployment
    for number in range(other_count):
        deployment.store.put(f"op/other/{number}", {})
    await asyncio.sleep(0.0 if other_count else REWRITE_DELAY_S)
    deployment.configure(6, keys=("key-of-tenant-1", "key-2"))
    deployment.set_weight_version(2)
    for engine in deployment.engines.values():
        if engine not in context.left_engines:
            deployment.record(engine)
    deployment.record(context.left_engines[0], "draining")
    deployment.configure(7, keys=("key-of-tenant-1", "key-2", "key-3"))
    deployment.set_weight_version(3)
    context.rewritten_at = time.monotonic()
    context.key_delay_s = await key_delay_s(context, "key-3")
    context.load_delay_s = await load_delay_s(context, 3)
    context.calling.cancel()
    await asyncio.gather(*context.callers.tasks)


async def key_delay_s(context, key):
    """Return the seconds until all nodes accept a key and go on to do so, or infinity.

    They count from the writing, or from when a node that has not answered before takes connections.
    """
    nodes = context.deployment.nodes
    since = dict.fromkeys(nodes, context.rewritten_at)
    answered, accepted_at = set(), {}

    async def is_accepted(node):
        try:
            status, _, _, _ = await context.deployment.call(node, "/whole/x", key=key)
        except aiohttp.ClientConnectorError:
            # The node has not started yet.
            if node not in answered:
                since[node] = time.monotonic()
            return False
        answered.add(node)
        if status != SERVED:
            accepted_at.pop(node, None)
            return False
        accepted_at.setdefault(node, time.monotonic())
        return True

    while time.monotonic() < context.rewritten_at + 8.0:
        if all(await asyncio.gather(*map(is_accepted, nodes))):
            return max(accepted_at[node] - since[node] for node in nodes)
        await asyncio.sleep(POLL_INTERVAL_S)
    return float("inf")


async def load_delay_s(context, version):
    """Return the seconds from the writing until all engines have a version, or infinity."""
    engines = [e for e in context.deployment.engines.values() if e.service == "llm"]
    while time.monotonic() < context.rewritten_at + 10.0:
        if all(engine.weights["model-1"] == version for engine in engines):
            return time.monotonic() - context.rewritten_at
        await asyncio.sleep(POLL_INTERVAL_S)
    return float("inf")
