"""Steps on streams whose connection is lost, with nodes as separate processes."""

import asyncio
import itertools
import signal
import time
from collections import Counter

from behave import given, then, when

from features.standin.deployment import Deployment
from features.standin.engine_links import CutKind
from features.standin.stream_callers import StreamCallers
from features.steps.engine_partition_steps import add_nodes

EVENTS, EVENT_S = 30, 0.05
# The time before each node stands still.
STILL_AFTER_S = 0.4
# How long after the last stream has begun the crash comes.
CRASH_AFTER_S = 0.2


def start_deployment(context, engine_ids, nodes, seed=1, **options):
    """Start model engines that hold copies of each other's runs, and nodes."""
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    deployment.set_weight_version(1)
    deployment.configure(1, backups=True)
    context.callers = StreamCallers(deployment, seed)

    async def add():
        for engine_id in engine_ids:
            await deployment.add_engine(
                engine_id, "llm", weights={"model-1": 1}, names_version=True, slots=64, **options
            )
        for number in range(nodes):
            await deployment.ready(await deployment.add_node(f"node-{number + 1}"))

    context.run(add())


@given("{engines:d} model engines that hold copies of each other's runs, and {nodes:d} nodes")
def step_deployment(context, engines, nodes):
    engine_ids = [f"llm-{number + 1}" for number in range(engines)]
    start_deployment(context, engine_ids, nodes, events=EVENTS, event_seconds=EVENT_S)


@given("one engine {loses} of one of {every:d} streams, and {then}")
def step_loses(context, loses, every, then):
    engine = next(iter(context.deployment.engines.values()))
    engine.loses, engine.loses_every = loses, every
    engine.drops_lost = then == "drops the run"


async def begin_streams(context, count, route, seconds, **headers):
    """Begin streams in turn at the nodes; return tasks that wait for their ends."""
    nodes = itertools.cycle(context.deployment.nodes)
    tasks = []
    for _ in range(count):
        stream = context.callers.stream(route=route, node=next(nodes), **headers)
        tasks.append(asyncio.ensure_future(stream))
        await asyncio.sleep(seconds / count)
    return tasks


async def wait_for_ends(context, tasks):
    await asyncio.gather(*tasks)
    # The engines go on with the runs whose connection they lost.
    await asyncio.sleep(EVENTS * EVENT_S)


@when('{count:d} streams on "{route}" begin within {seconds:g} s')
def step_streams(context, count, route, seconds):
    async def play():
        await wait_for_ends(context, await begin_streams(context, count, route, seconds))

    context.run(play())


@when('{count:d} streams on "{route}" begin within {seconds:g} s, and an engine crashes {how}')
def step_crash(context, count, route, seconds, how):
    async def play():
        for engine in context.deployment.engines.values():
            engine.events = round((seconds + 1.0) / EVENT_S)
        tasks = await begin_streams(context, count, route, seconds)
        await asyncio.sleep(CRASH_AFTER_S)
        engine = max(context.deployment.engines.values(), key=lambda each: len(each.arrivals))
        context.crashed = engine
        await engine.crash(port_closes_after_s=0.0 if how == "at once" else float(how.split()[4]))
        await wait_for_ends(context, tasks)

    context.run(play())


@when(
    '{count:d} streams on "{route}" begin within {seconds:g} s,'
    " and the nodes stand still for {still:g} s each"
)
def step_stand_still(context, count, route, seconds, still):
    async def stand_still():
        for node in context.deployment.nodes:
            await asyncio.sleep(STILL_AFTER_S)
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(still)
            node.signal(signal.SIGCONT)

    async def play():
        standing = asyncio.ensure_future(stand_still())
        tasks = await begin_streams(context, count, route, seconds)
        await standing
        await wait_for_ends(context, tasks)

    context.run(play())


@given("the links of the nodes to engines can be cut")
def step_links(context):
    async def replace_nodes():
        nodes, context.deployment.nodes = context.deployment.nodes, []
        for node in nodes:
            await node.stop()
        await add_nodes(context, len(nodes))

    context.run(replace_nodes())


@when(
    '{count:d} streams on "{route}" begin within {seconds:g} s,'
    " and the links of one node to an engine are reset"
)
def step_cut_link(context, count, route, seconds):
    async def play():
        tasks = await begin_streams(context, count, route, seconds)
        engine = max(context.deployment.engines.values(), key=lambda each: len(each.arrivals))
        context.links["node-1"].cut(CutKind.RESET, {engine.address})
        await wait_for_ends(context, tasks)

    context.run(play())


@then('each interrupted stream was lost by that node, and its engine is "{evidence}"')
def step_evidence(context, evidence):
    rows = context.deployment.logged("stream_interrupted")
    found = Counter((row["node"], row["evidence"]) for row in rows)
    assert found.keys() == {("node-1", evidence)}, (found, rows)


def runs(context):
    """Return the arrivals that ran, by request, in order."""
    ran = sorted((a for a in context.deployment.arrivals() if a.ran), key=lambda a: a.at)
    by_request = {}
    for arrival in ran:
        by_request.setdefault(arrival.attempt_id, []).append(arrival)
    return by_request


def engine_of(context, arrival):
    engines = context.deployment.engines.values()
    return next(engine for engine in engines if arrival in engine.arrivals)


@then("no run was worked on by two engines {seconds:g} s later")
def step_no_overlap(context, seconds):
    now = time.monotonic()
    overlaps = []
    for arrivals in runs(context).values():
        for before, after in itertools.pairwise(arrivals):
            left_s = (before.ended_at or now) - after.at
            if engine_of(context, before) is not engine_of(context, after) and left_s > seconds:
                overlaps.append(left_s)
    assert not overlaps, f"{len(overlaps)} runs, for up to {max(overlaps):.2f} s more"


@then("at least {count:d} of the streams are complete, and the others broke off")
def step_complete(context, count):
    streams = context.callers.streams
    complete = [stream for stream in streams if stream.complete]
    print(f"{len(complete)} of {len(streams)} streams are complete")
    assert len(complete) >= count, len(complete)
    last = next(iter(context.deployment.engines.values())).events
    assert all(stream.last_event == last for stream in complete)
    assert all(stream.attempts[0].lost for stream in streams if not stream.complete)


@then("those of the crashed engine went on within {seconds:g} s")
def step_went_on(context, seconds):
    crashed_at = context.crashed.crashed_at
    lost = {a.attempt_id for a in context.crashed.arrivals if a.cut}
    later = [runs(context)[name][-1].at - crashed_at for name in lost]
    print(f"{len(later)} streams went on after up to {max(later):.3f} s")
    assert later and max(later) <= seconds, later


@then('each interrupted stream is logged and counted with a "{evidence}" engine')
def step_logged(context, evidence):
    lost = {a.attempt_id for a in context.deployment.arrivals() if a.lost}
    rows = context.deployment.logged("stream_interrupted")
    assert lost and {row["request"] for row in rows} == lost, (lost, rows)
    assert {row["evidence"] for row in rows} == {evidence}, rows
    metric = f'liftrill_interrupted_streams_total{{engine="{evidence}"}}'
    pages = [context.run(context.deployment.metrics(node)) for node in context.deployment.nodes]
    lines = [line for page in pages for line in page.splitlines() if line.startswith(metric)]
    assert sum(float(line.split()[-1]) for line in lines) == len(lost), lines
