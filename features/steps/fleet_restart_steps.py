"""Steps on nodes that are all killed at once and start again, under streams."""

import asyncio
import time
from collections import Counter

from behave import given, then, when

from features.soak.fleet import now_unix_ms
from features.standin.deployment import Deployment
from features.standin.engine_process import EngineProcess
from features.standin.stream_callers import StreamCallers
from liftrill.gateway.streams.version_record import VERSIONS_KEY

EVENTS, EVENT_S = 40, 0.05
DEADLINE_MS = "12000"
# How long the nodes are down, without the time that they need to start.
DOWN_S = 0.2
# How long the last stream runs before all nodes are killed.
KILLED_AFTER_S = 0.25
BETWEEN_RESTARTS_S = 1.0
# Long enough for the nodes to know that engines have ended.
KNOWN_AFTER_S = 1.0
# How long the store is silent from the start of the nodes on.
SILENT_S = 1.0
# How long before their nodes are killed streams begin whose origins the store lacks in part.
UNWRITTEN_S = 0.4
NOTHING = "nothing else changes"


def engine_options(version):
    return {
        "weights": {"model-1": 1},
        "names_version": True,
        "software_version": version,
        "slots": 64,
        "events": EVENTS,
        "event_seconds": EVENT_S,
        "born_unix_ms": now_unix_ms(),
    }


async def add_engines(deployment, version, count, name="", **options):
    for number in range(count):
        engine_id = f"{version}-{name}{number + 1}"
        fields = engine_options(version) | options
        await deployment.add_engine(engine_id, "llm", kind=EngineProcess, **fields)


@given(
    "{older:d} engines of version {old} and {newer:d} of version {new} in processes of their own"
)
def step_engines(context, older, old, newer, new):
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    deployment.set_weight_version(1)
    deployment.configure(1)
    context.callers = StreamCallers(deployment)
    context.run(add_engines(deployment, old, older))
    context.run(add_engines(deployment, new, newer))


@given("{count:d} engines of version {version} without start times in processes of their own")
def step_engines_without_starts(context, count, version):
    step_engines(context, 0, version, 0, version)
    context.run(add_engines(context.deployment, version, count, born_unix_ms=0))


@given("{count:d} nodes before them, which have been ready for {seconds:g} s")
def step_nodes(context, count, seconds):
    async def add():
        await context.deployment.add_nodes(count)
        await asyncio.sleep(seconds)

    context.run(add())


def of_version(context, version):
    engines = context.deployment.engines.values()
    return [e for e in engines if e.software_version == version and not e.crashed.is_set()]


async def end_engines(context, version, how):
    """Kill the engines of a version, or let them leave; remove their records."""
    for engine in of_version(context, version):
        context.deployment.store.remove(f"servers/{engine.engine_id}")
        await engine.crash(how=how)


async def take_over(context):
    """Let engines of the other version replace those that serve."""
    await add_engines(context.deployment, "v1.2", 4)
    await end_engines(context, "v1.1", "killed")


async def change(context, what):
    """Change the engines or the store while no node runs."""
    deployment = context.deployment
    if what == "the engines of v1.1 leave":
        await end_engines(context, "v1.1", "reset")
    elif what == "the engines of v1.1 crash":
        await end_engines(context, "v1.1", "killed")
    elif what == "4 engines of v1.2 start":
        await add_engines(deployment, "v1.2", 4)
    elif what == "other engines of v1.1 start":
        former = of_version(context, "v1.1")
        await add_engines(deployment, "v1.1", 4, "other")
        for engine in former:
            deployment.store.remove(f"servers/{engine.engine_id}")
            await engine.crash()
    elif what == "engines of v1.2 take over":
        await take_over(context)
    elif what == "the store falls silent":
        deployment.store.fault = "silent"
        asyncio.get_running_loop().call_later(SILENT_S, setattr, deployment.store, "fault", "")
    elif what == "the store takes writes":
        deployment.store.refuses_writes = False
    elif what == "v1.1 and the record go":
        await end_engines(context, "v1.1", "killed")
        deployment.store.remove(VERSIONS_KEY)
    else:
        assert what == NOTHING, what


async def begin_streams(context, count, seconds, nodes=None, killed_after_s=KILLED_AFTER_S):
    """Begin streams at nodes drawn at random; wait until each has an event, and a little longer."""
    callers = context.callers
    tasks = []
    for number in range(count):
        node = nodes[number % len(nodes)] if nodes else None
        tasks.append(asyncio.ensure_future(callers.begin(node, DEADLINE_MS)))
        await asyncio.sleep(seconds / count)

    async def all_began():
        return len([stream for stream in callers.streams if stream.first_attempt_id]) == count

    await context.deployment.wait_until(all_began)
    await asyncio.sleep(killed_after_s)
    return tasks


async def restart_nodes(context, meanwhile=NOTHING, nodes=None):
    """Kill nodes at once, change something, and start them again."""
    nodes = nodes or context.deployment.nodes
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()
    await asyncio.sleep(DOWN_S)
    await change(context, meanwhile)
    for node in nodes:
        await node.start()
    for node in nodes:
        await context.deployment.ready(node)


async def restart_twice(context, nodes):
    await restart_nodes(context, nodes=nodes)
    await asyncio.sleep(BETWEEN_RESTARTS_S)
    await restart_nodes(context, nodes=nodes)


async def restart_in_turn(context, nodes):
    for node in nodes:
        await restart_nodes(context, nodes=[node])


RESTARTS = {
    "all nodes restart": lambda context, nodes: restart_nodes(context, nodes=nodes),
    "all nodes restart twice": restart_twice,
    "the nodes restart one after another": restart_in_turn,
    "all nodes but one restart": lambda context, nodes: restart_nodes(context, nodes=nodes[1:]),
}


@when(
    "{count:d} streams begin within {seconds:g} s, engines of v1.2 take over while no node runs, "
    "and all nodes restart"
)
def step_replace_meanwhile(context, count, seconds):
    async def play():
        tasks = await begin_streams(context, count, seconds)
        await restart_nodes(context, "engines of v1.2 take over")
        await asyncio.gather(*tasks)

    context.run(play())


@when(
    "{count:d} streams begin within {seconds:g} s, engines of v1.2 take over before, and {restart}"
)
def step_replace(context, count, seconds, restart):
    async def play():
        callers, deployment = context.callers, context.deployment
        tasks = await begin_streams(context, count, seconds)
        for task in tasks:
            # Its caller leaves, and resumes the stream later.
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not any(stream.complete for stream in callers.streams)
        await take_over(context)
        await asyncio.sleep(KNOWN_AFTER_S)
        await RESTARTS[restart](context, deployment.nodes)

    context.run(play())


@given(
    "all nodes restarted {restarted:g} s ago, "
    "and {count:d} engines of version {version} came {came:g} s ago"
)
def step_young_nodes(context, restarted, count, version, came):
    async def play():
        await restart_nodes(context)
        await asyncio.sleep(restarted - came)
        await add_engines(context.deployment, version, count)
        await asyncio.sleep(came)

    context.run(play())


@given(
    "the store has refused writes since before {count:d} engines of version {version} "
    "came {seconds:g} s ago"
)
def step_refused_writes(context, count, version, seconds):
    async def play():
        context.deployment.store.refuses_writes = True
        await add_engines(context.deployment, version, count)
        await asyncio.sleep(seconds)

    context.run(play())


@when("{count:d} streams begin at the nodes but the first, and these are killed")
def step_kill_others(context, count):
    async def play():
        _, *others = context.deployment.nodes
        tasks = await begin_streams(context, count, 0.0, others)
        for node in others:
            node.process.kill()
        for node in others:
            await node.process.wait()
        await asyncio.gather(*tasks)

    context.run(play())


@when(
    "{count:d} streams begin within {seconds:g} s, all nodes are killed, {meanwhile}, "
    "and the nodes start again"
)
def step_restart(context, count, seconds, meanwhile):
    async def play():
        tasks = await begin_streams(context, count, seconds)
        await restart_nodes(context, meanwhile)
        await asyncio.gather(*tasks)

    context.run(play())


@when(
    "{count:d} streams begin within {seconds:g} s, all nodes are killed {after:g} s later, "
    "and start again"
)
def step_restart_soon(context, count, seconds, after):
    async def play():
        tasks = await begin_streams(context, count, seconds, killed_after_s=after)
        await restart_nodes(context)
        await asyncio.gather(*tasks)

    context.run(play())


@when(
    "{count:d} streams begin within {seconds:g} s, "
    "the engines of {version} crash between two restarts of all nodes"
)
def step_restart_twice(context, count, seconds, version):
    async def play():
        tasks = await begin_streams(context, count, seconds)
        await restart_nodes(context, NOTHING)
        await asyncio.gather(*tasks)
        await end_engines(context, version, "killed")
        await asyncio.sleep(BETWEEN_RESTARTS_S)
        await restart_nodes(context, NOTHING)

    context.run(play())


@when(
    "all nodes restart, {added:d} engines of {version} start {seconds:g} s later, "
    "and all nodes but one are killed as {count:d} streams begin"
)
def step_kill_but_one(context, added, version, seconds, count):
    async def play():
        await restart_nodes(context, NOTHING)
        await asyncio.sleep(seconds)
        await add_engines(context.deployment, version, added)
        await asyncio.sleep(BETWEEN_RESTARTS_S)
        begun = []
        for _ in range(count):
            begun.append(asyncio.ensure_future(context.callers.begin(deadline_ms=DEADLINE_MS)))
            await asyncio.sleep(UNWRITTEN_S / count)
        for node in context.deployment.nodes[1:]:
            node.process.kill()
        for node in context.deployment.nodes[1:]:
            await node.process.wait()
        context.begun = begun

    context.run(play())


@when("callers resume each stream as soon as it is lost, for {seconds:g} s")
def step_resume_at_once(context, seconds):
    until = time.monotonic() + seconds

    async def read_on(begun):
        stream = await begun
        if stream.first_attempt_id and not stream.complete:
            await context.callers.resume(stream, until, deadline_ms=DEADLINE_MS)

    async def resume():
        await asyncio.gather(*map(read_on, context.begun))
        context.callers.streams = [s for s in context.callers.streams if s.first_attempt_id]

    context.run(resume())
    describe(context)


@when("the callers resume their streams until they are complete or refused for {seconds:g} s")
def step_resume(context, seconds):
    async def resume():
        callers = context.callers
        until = time.monotonic() + seconds
        streams = [each for each in callers.streams if not each.complete]
        await asyncio.gather(
            *(callers.resume(each, until, deadline_ms=DEADLINE_MS) for each in streams)
        )

    context.run(resume())
    describe(context)


def describe(context):
    """Print how many streams of each version began, are mixed and are complete, and who knew."""
    began, mixed, complete = Counter(), Counter(), Counter()
    for stream in context.callers.streams:
        version = stream.attempts[0].engine_versions[0]
        began[version] += 1
        mixed[version] += len(stream.versions) > 1
        complete[version] += stream.complete
    sources = Counter(row["source"] for row in context.deployment.logged("stream_resumed"))
    refusals = Counter(
        sum(not each.events for each in stream.resumptions)
        for stream in context.callers.streams
        if not stream.complete
    )
    print(f"began {began}, mixed {mixed}, complete {complete}, sources {sources}")
    print(f"refusals of a stream that did not go on: {refusals}")


@then("of the streams whose version has engines, at least {share:g} are complete")
def step_complete(context, share):
    engines = context.deployment.engines.values()
    serving = {e.software_version for e in engines if not e.crashed.is_set()}
    streams = [s for s in context.callers.streams if s.versions <= serving]
    complete = sum(stream.complete for stream in streams)
    assert streams and complete >= share * len(streams), f"{complete} of {len(streams)}"
