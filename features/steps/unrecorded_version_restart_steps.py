"""Steps on nodes that restart on an earlier record of versions."""

import asyncio
import time

from behave import given, when

from features.steps.fleet_restart_steps import (
    add_engines,
    begin_streams,
    end_engines,
    restart_nodes,
)
from liftrill.gateway.streams.version_record import VERSIONS_KEY

# How long the nodes have to see that an engine was replaced.
SEEN_AFTER_S = 1.0


@given("the store reports its era")
def step_era(context):
    context.deployment.store.era = "1"


@given("{count:d} engines of version {version} came {seconds:g} s ago")
def step_came(context, count, version, seconds):
    async def play():
        earlier_record = context.deployment.store.value(VERSIONS_KEY)
        assert version.encode() not in earlier_record, earlier_record
        context.came_at = time.monotonic()
        await add_engines(context.deployment, version, count)
        await asyncio.sleep(seconds)
        assert version.encode() in context.deployment.store.value(VERSIONS_KEY)

    context.run(play())


async def restore_store(context):
    """Bring the store to the state of before the version came, but for the engines' records."""
    deployment = context.deployment
    store = deployment.store
    store.restore(time.monotonic() - context.came_at)
    for engine in deployment.engines.values():
        deployment.record(engine)
    value = store.value(VERSIONS_KEY)
    assert value is not None and b"v1.1" in value and b"v1.2" not in value, value


async def restart_under_streams(context, count, change_meanwhile):
    """Begin streams, kill all nodes, change something, and start the nodes again."""
    tasks = await begin_streams(context, count, 0.5)
    nodes = context.deployment.nodes
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()
    await change_meanwhile()
    for node in nodes:
        await node.start()
    for node in nodes:
        await context.deployment.ready(node)
    await asyncio.gather(*tasks)


@when(
    "{count:d} streams begin, all nodes are killed and start again, "
    "and the store came back from a copy of before v1.2 came"
)
def step_kill_all(context, count):
    context.run(restart_under_streams(context, count, lambda: restore_store(context)))


@when(
    "v1.1 leaves, {count:d} streams begin, all nodes are killed, v1.1 comes back, "
    "the store takes writes, and the nodes start again"
)
def step_leaves_and_returns(context, count):
    async def come_back():
        context.deployment.store.refuses_writes = False
        await add_engines(context.deployment, "v1.1", 4, "other")

    async def play():
        await end_engines(context, "v1.1", "reset")
        await restart_under_streams(context, count, come_back)

    context.run(play())


@when(
    "{count:d} streams begin, {killed} are killed, 4 engines of v1.2 start, "
    "the nodes start again, and {then}"
)
def step_one_replaced(context, count, killed, then):
    async def play():
        nodes = context.deployment.nodes[1 if "but one" in killed else 0 :]
        tasks = await begin_streams(context, count, 1.2, nodes)
        for task in tasks:
            # Its caller comes back later.
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await restart_nodes(context, "4 engines of v1.2 start", nodes)
        if "replaced" in then:
            await replace_one(context)
        await asyncio.sleep(SEEN_AFTER_S)

    context.run(play())


async def replace_one(context):
    """Let another engine replace one of v1.2."""
    store = context.deployment.store
    gone = next(e for e in context.deployment.engines.values() if e.software_version == "v1.2")
    store.remove(f"servers/{gone.engine_id}")
    await gone.crash()
    await add_engines(context.deployment, "v1.2", 1, "again")
