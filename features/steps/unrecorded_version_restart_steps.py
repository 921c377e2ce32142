"""Steps on nodes that restart on an earlier record of versions."""

import asyncio
import time
from types import SimpleNamespace

from behave import given, when

from features.standin.deployment import HOST
from features.standin.engine_process import EngineProcess
from features.standin.stream_callers import StreamCallers
from features.steps.fleet_restart_steps import (
    DEADLINE_MS,
    add_engines,
    begin_streams,
    describe,
    end_engines,
    engine_options,
    restart_nodes,
)
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.streams.stream_origins import holders, origin_key, store_writers
from liftrill.gateway.streams.version_record import VERSIONS_KEY

# How long the nodes have to see that an engine was replaced.
SEEN_AFTER_S = 1.0
# Within these times the nodes that serve have read a record, and have written an origin.
READ_AFTER_S = 0.25
STORED_AFTER_S = 0.15


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


class CallersOfOthers(StreamCallers):
    """Callers whose streams begin at the first node, and of which the last one holds no origin."""

    def new_id(self):
        while True:
            name = super().new_id()
            if not self._last_knows(name):
                return name

    def _last_knows(self, name):
        first, *others = [
            Member(node.name, "", "region-1", "zone-1", 1) for node in self.deployment.nodes
        ]
        route = SimpleNamespace(host=HOST, path_prefix="/resume/")
        key = origin_key(SimpleNamespace(tenant="tenant-1", route=route), name)
        writers = store_writers([first, *others])
        return others[-1] in (*holders(key, others), writers[key % len(writers)])


@when(
    "a new node has read the store and hears no changes, {added:d} engines of v1.2 come, "
    "and once these are recorded {count:d} streams of which it holds no origin begin at the first"
)
def step_begin_beside_new(context, added, count):
    async def play():
        deployment = context.deployment
        first, *_ = deployment.nodes
        engines = [
            EngineProcess(f"v1.2-{n}", "llm", **engine_options("v1.2")) for n in range(added)
        ]
        for engine in engines:
            await engine.start()
            deployment.engines[engine.engine_id] = engine
        new = await deployment.add_node(f"node-{len(deployment.nodes) + 1}")
        deployment.store.unnotified_ips.add(new.ip)
        context.callers = CallersOfOthers(deployment)

        async def has_read():
            return '"liftrill:store_read"' in new.log()

        async def is_recorded():
            return b"v1.2" in deployment.store.value(VERSIONS_KEY)

        await deployment.wait_until(has_read)
        for engine in engines:
            deployment.record(engine)
        await deployment.wait_until(is_recorded)
        await asyncio.sleep(READ_AFTER_S)
        context.begun = await begin_streams(context, count, 0.05, [first], STORED_AFTER_S)

    context.run(play())


@when(
    "the other nodes are killed, and the callers resume their streams at the new one "
    "for {seconds:g} s"
)
def step_resume_at_new(context, seconds):
    async def play():
        *others, _ = context.deployment.nodes
        for node in others:
            node.process.kill()
        for node in others:
            await node.process.wait()
        until = time.monotonic() + seconds

        async def read_on(begun):
            stream = await begun
            await context.callers.resume(stream, until, deadline_ms=DEADLINE_MS)

        await asyncio.gather(*map(read_on, context.begun))

    context.run(play())
    describe(context)
