"""Steps on streams over established connections whose engine takes no new ones."""

import asyncio
import time
from collections import Counter

from behave import then, when

from features.standin.engine_links import CutKind
from features.steps.proxied_requests_steps import model_engines

SERVED = 200
# Long enough for the heads of all streams, and for idle connections to be used by others.
BEGIN_S = 0.8
OTHERS_READY = "others are"


async def begin_streams(context, count):
    deployment = context.deployment
    node = deployment.nodes[0]
    calls = [deployment.call(node, "/resume/x", model="model-1") for _ in range(count)]
    context.streams = [asyncio.ensure_future(call) for call in calls]
    await asyncio.sleep(BEGIN_S)


@when(
    "{count:d} resumable streams run, and no new connection is taken for {seconds:g} s"
    " as {more:d} more begin"
)
def step_not_taken(context, count, seconds, more):
    deployment = context.deployment
    node = deployment.nodes[0]
    links = context.links[node.name]

    async def run():
        await begin_streams(context, count)
        context.arrived = [a.attempt_id for e in model_engines(context) for a in e.arrivals]
        links.cut(CutKind.BUSY)
        others = [deployment.call(node, "/stream/x", model="model-1") for _ in range(more)]
        sending = asyncio.gather(*others)
        await asyncio.sleep(seconds)
        links.restore()
        context.restored_at = time.time()
        await sending
        context.answers = await asyncio.gather(*context.streams)

    context.run(run())


@when("{count:d} resumable streams run, and links of the engine with most hang for {seconds:g} s")
def step_hang(context, count, seconds):
    links = context.links[context.deployment.nodes[0].name]

    async def run():
        await begin_streams(context, count)
        busiest = max(model_engines(context), key=lambda engine: len(engine.arrivals))
        links.cut(CutKind.HANG, {busiest.address})
        await asyncio.sleep(seconds)
        links.restore()
        context.answers = await asyncio.gather(*context.streams)

    context.run(run())


@then("the callers of all {count:d} streams got them whole")
def step_whole(context, count):
    expected = model_engines(context)[0].events
    found = [(answer[0], answer[2].count(b"\n\n"), answer[3]) for answer in context.answers]
    assert found == [(SERVED, expected, True)] * count, found


@then("the callers of all {count:d} streams got them whole, and each ran once")
def step_whole_once(context, count):
    step_whole(context, count)
    runs = Counter(a.attempt_id for e in model_engines(context) for a in e.arrivals if a.ran)
    assert all(runs[attempt_id] == 1 for attempt_id in context.arrived), runs


@then("a link went down, and was restored within {seconds:g} s of the end")
def step_restored(context, seconds):
    changes = context.deployment.logged("engine_link")
    assert any(not change["up"] for change in changes), changes
    restored = [change["timestamp"] for change in changes if change["up"]]
    assert restored and restored[-1] - context.restored_at <= seconds, restored


@then("it may leave a link that goes down, while {engines} ready")
def step_leaves(context, engines):
    context.ports.ready = engines == OTHERS_READY
    assert context.machine.may_move


@then("it stays on a link that goes down, while {engines} ready")
def step_stays(context, engines):
    context.ports.ready = engines == OTHERS_READY
    assert not context.machine.may_move
