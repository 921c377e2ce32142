"""Steps on copies of runs while engines load new weights, with nodes as separate processes."""

import asyncio
import random

from behave import given, then, when

from features.steps.lost_connection_steps import begin_streams, start_deployment, wait_for_ends

# Streams last longer than the loads of all engines.
EVENTS, EVENT_S = 60, 0.05
BEGIN_S = 1.0
LOAD_S = 0.6
MODEL = "model-1"


@given("{engines:d} model engines with ids of seed {seed:d}, and {nodes:d} nodes")
def step_deployment(context, engines, seed, nodes):
    source = random.Random(seed)
    engine_ids = [f"i-{source.getrandbits(32):08x}" for _ in range(engines)]
    options = {"events": EVENTS, "event_seconds": EVENT_S, "load_seconds": LOAD_S}
    start_deployment(context, engine_ids, nodes, seed, **options)


def record_loads(context):
    """Write the records of engines whose weights have changed, as engines do."""
    for engine in context.deployment.engines.values():
        if engine.weights[MODEL] == 2:
            context.deployment.record(engine)


async def loaded(context, count):
    """Wait until so many engines have loaded the new weights; return them."""

    async def found():
        record_loads(context)
        engines = context.deployment.engines.values()
        return [e for e in engines if e.weights[MODEL] == 2][: count or None]

    async def enough():
        engines = await found()
        return engines if len(engines) >= count else []

    return await context.deployment.wait_until(enough)


def with_most_copies(context, engines, version=1):
    """Return the engine whose running streams have the most copies at engines with a version."""
    holders = {
        e.address for e in context.deployment.engines.values() if e.weights[MODEL] == version
    }

    def copies(engine):
        running = [a for a in engine.arrivals if a.ended_at is None]
        return sum(a.headers.get("X-Kv-Backup") in holders for a in running)

    return max(engines, key=copies)


@when(
    "{count:d} streams run, new weights are named, and an engine crashes {seconds:g} s after it"
    " has loaded them"
)
def step_crash_after_load(context, count, seconds):
    async def play():
        tasks = await begin_streams(context, count, "stream", BEGIN_S)
        context.deployment.set_weight_version(2)
        newer = await loaded(context, 1)
        await asyncio.sleep(seconds)
        context.crashed = with_most_copies(context, newer)
        await context.crashed.crash()
        await wait_for_ends(context, tasks)

    context.run(play())


@when("{count:d} streams run, and an engine crashes {when}")
def step_crash(context, count, when):
    engines = context.deployment.engines

    async def play():
        if when.startswith("after"):
            context.deployment.set_weight_version(2)
            await loaded(context, len(engines))
        tasks = await begin_streams(context, count, "stream", BEGIN_S)
        version = 2 if when.startswith("after") else 1
        context.crashed = with_most_copies(context, engines.values(), version)
        await context.crashed.crash()
        await wait_for_ends(context, tasks)

    context.run(play())


@then("no run continues from memory of other weights")
def step_not_stale(context):
    continued = [a for a in context.deployment.arrivals() if "Kv-From" in a.headers and a.ran]
    stale = [a for a in continued if a.copied - {a.version}]
    print(f"{len(continued)} runs continued from copies, {len(stale)} from other weights")
    assert not stale, [(a.attempt_id, a.copied, a.version) for a in stale]


@then("some streams of that engine broke off")
def step_some_broke_off(context):
    cut = {a.attempt_id for a in context.crashed.arrivals if a.cut}
    broken = [s for s in context.callers.streams if not s.complete]
    print(f"{len(cut)} streams lost their engine, {len(broken)} broke off")
    assert cut and {stream.first_attempt_id for stream in broken} <= cut, (cut, broken)


@then("all streams are complete")
def step_all_complete(context):
    cut = [a for a in context.crashed.arrivals if a.cut]
    complete = sum(stream.complete for stream in context.callers.streams)
    print(f"{len(cut)} streams lost their engine, {complete} are complete")
    assert cut and complete == len(context.callers.streams), complete
