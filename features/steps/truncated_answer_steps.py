"""Steps on answers that are cut short by the end of their engine's process."""

import asyncio
import itertools

from behave import given, then, when

from features.standin.deployment import Deployment
from features.standin.engine_process import EngineProcess
from features.standin.stream_callers import StreamCallers

EVENTS, EVENT_S = 40, 0.05
NODES = 2
# Half of an answer is larger than what nodes and sockets buffer for one read.
BODY_BYTES = 200_000
BODY_S = 0.4
# How long after the last request has begun the engine ends.
ENDS_AFTER_S = 0.2


@given("{count:d} {kind} engines in processes of their own, whose answers end with {framing}")
def step_engines(context, count, kind, framing):
    service = {"model": "llm", "desk": "desk"}[kind]
    framing, copies, _ = framing.partition(", and that hold copies")
    framing = {"their connection": "connection", "a last chunk": "chunks"}.get(framing, "length")
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    deployment.set_weight_version(1)
    deployment.configure(1, backups=bool(copies))
    context.callers = StreamCallers(deployment)

    async def add():
        for number in range(count):
            await deployment.add_engine(
                f"{service}-{number + 1}",
                service,
                kind=EngineProcess,
                weights={"model-1": 1} if service == "llm" else {},
                names_version=True,
                slots=64,
                events=EVENTS,
                event_seconds=EVENT_S,
                body_bytes=BODY_BYTES,
                body_seconds=BODY_S,
                framing=framing,
            )
        for number in range(NODES):
            await deployment.ready(await deployment.add_node(f"node-{number + 1}"))

    context.run(add())


def busiest_engine(context):
    return max(context.deployment.engines.values(), key=lambda engine: len(engine.running))


async def end_engine(context, how):
    """End the process of the engine with the most requests."""
    engine = context.ended = busiest_engine(context)
    await engine.crash(how=how)


@when('{count:d} streams on "{route}" begin within {seconds:g} s, and an engine is {how}')
def step_streams(context, count, route, seconds, how):
    async def play():
        nodes = itertools.cycle(context.deployment.nodes)
        tasks = []
        for _ in range(count):
            stream = context.callers.stream(route=route, node=next(nodes))
            tasks.append(asyncio.ensure_future(stream))
            await asyncio.sleep(seconds / count)
        await asyncio.sleep(ENDS_AFTER_S)
        await end_engine(context, how)
        await asyncio.gather(*tasks)

    context.run(play())


@when('{count:d} clients post to "{path}", and an engine is {how} half-way')
def step_whole(context, count, path, how):
    async def play():
        nodes = itertools.cycle(context.deployment.nodes)
        calls = [
            asyncio.ensure_future(context.deployment.call(next(nodes), path)) for _ in range(count)
        ]
        await asyncio.sleep(BODY_S / 2)
        await end_engine(context, how)
        context.answers = await asyncio.gather(*calls)

    context.run(play())


@then("no stream looks complete that is not")
def step_none_too_early(context):
    streams = context.callers.streams
    lost = context.ended.running
    early = [s.last_event for s in streams if s.complete and s.last_event != EVENTS]
    print(f"{len(streams)} streams, {len(lost)} at the engine that ended, too early: {early}")
    assert lost
    assert not early, f"{len(early)} of {len(lost)} streams end as complete after events {early}"


@then("{count:d} streams are whole, and the others broke off")
def step_complete(context, count):
    streams = context.callers.streams
    whole = [s for s in streams if s.complete and s.last_event == EVENTS]
    broken = [s for s in streams if not s.complete and s.attempts[-1].lost]
    assert (len(whole), len(broken)) == (count, len(streams) - count), (len(whole), len(broken))


@then("no success lacks a part of its body")
def step_whole_bodies(context):
    sizes = [len(body) for status, _, body, whole in context.answers if status == 200 and whole]
    print(f"{len(context.ended.running)} at the engine that ended, {len(sizes)} successes")
    assert context.ended.running
    assert set(sizes) == {BODY_BYTES}, f"successes with bodies of {sorted(set(sizes))} bytes"
