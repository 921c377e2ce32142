"""Steps on a store that comes back from an older copy of itself."""

import asyncio
import itertools
import time

from behave import given, then, when

SERVED = 200
# From the store's return until what was written is written again (own choice).
WRITTEN_AGAIN_AFTER_S = 0.3
# Records written in the time that the copy lacks: many more than are written right after it.
LOST_RECORDS = 200
POLL_S = 0.05


@given("a store that tells its era")
def step_era(context):
    context.deployment.store.era = "1"
    # What was written before it told is part of all copies.
    context.deployment.store.put("op/era", {})


@when(
    "keys, weights and engines change, and the store is away for {away:g} s"
    " and back from a copy {age:g} s old"
)
def step_drill(context, away, age):
    context.run(drill(context, away, age))


async def drill(context, away, age):
    deployment = context.deployment
    context.said_at = time.monotonic()
    write_what_will_be_lost(deployment.store)
    context.left = [deployment.engines[name] for name in ("desk-0", "desk-1")]
    deployment.record(context.left[0], "draining")
    deployment.store.remove("servers/desk-1")
    deployment.name_weights(2)
    deployment.configure(6, keys=("key-of-tenant-1", "key-2"))
    await asyncio.sleep(age - away - 1.0)
    await restore(deployment.store, away, age)
    context.back_at = time.monotonic()


def write_what_will_be_lost(store):
    for number in range(LOST_RECORDS):
        store.put(f"op/lost/{number}", {})


async def restore(store, away, age):
    """Let the store be away, and come back from a copy."""
    store.fault = "reset"
    store.cut_watches()
    await asyncio.sleep(away)
    store.restore(age)
    store.fault = ""


@when("what operators and engines wrote is written again, and then a further key and version")
def step_again(context):
    context.run(write_again(context, 0))


@when("{count:d} other records are written, and then all again with a further key and version")
def step_again_later(context, count):
    context.run(write_again(context, count))


async def write_again(context, others):
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
    context.key_at = await key_in_force(context, "key-3")
    context.loaded_at = await loaded(context, 3)
    context.calling.cancel()
    await asyncio.gather(*context.callers.tasks)


async def key_in_force(context, key):
    """Return after what time all nodes take a key, or infinity."""

    async def taken(node):
        status, _, _, _ = await context.deployment.call(node, "/whole/x", key=key)
        return status == SERVED

    while time.monotonic() < context.written_at + 8.0:
        if all(await asyncio.gather(*map(taken, context.deployment.nodes))):
            return time.monotonic() - context.written_at
        await asyncio.sleep(POLL_S)
    return float("inf")


async def loaded(context, version):
    """Return after what time all engines have a version, or infinity."""
    engines = [e for e in context.deployment.engines.values() if e.service == "llm"]
    while time.monotonic() < context.written_at + 10.0:
        if all(engine.weights["model-1"] == version for engine in engines):
            return time.monotonic() - context.written_at
        await asyncio.sleep(POLL_S)
    return float("inf")


@then("the further key is in force at all nodes within {seconds:g} s")
def step_key(context, seconds):
    assert context.key_at <= seconds, context.key_at


@then("the further version is loaded by all engines within {seconds:g} s")
def step_loaded(context, seconds):
    assert context.loaded_at <= seconds, context.loaded_at


@then(
    "no engine that had left got a request later than {seconds:g} s after its word,"
    " nor after the store was back"
)
def step_left(context, seconds):
    for engine in context.left:
        late = [a.at - context.said_at for a in engine.arrivals if a.at > context.said_at + seconds]
        assert not late, (engine.engine_id, len(late), late[0], context.back_at - context.said_at)


@when("versions are named while the store comes back from copies twice within {seconds:g} s")
def step_two_drills(context, seconds):
    context.run(two_drills(context, seconds))


async def two_drills(context, seconds):
    deployment = context.deployment
    await asyncio.sleep(0.6)
    write_what_will_be_lost(deployment.store)
    deployment.name_weights(2)
    await asyncio.sleep(1.0)
    for version in (3, 4):
        await restore(deployment.store, 0.5, 1.8)
        for engine in deployment.engines.values():
            deployment.record(engine)
        deployment.configure(6)
        deployment.name_weights(version)
        await asyncio.sleep(seconds / 2 - 0.5)
    context.written_at = time.monotonic()
    context.loaded_at = await loaded(context, 4)


@then("all engines reach the last version, with fences that never go back and one holder each")
def step_fences(context):
    assert context.loaded_at < 10.0, "not loaded"
    for engine in context.deployment.engines.values():
        fences = [order["Fence"] for order in engine.orders]
        assert fences == sorted(fences), fences
        for _, orders in itertools.groupby(engine.orders, key=lambda order: order["Fence"]):
            assert len({order["Holder"] for order in orders}) == 1, engine.orders
