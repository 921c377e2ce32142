"""Steps on answers that are cut short by the end of their engine's process."""

import asyncio
import itertools
import signal

from behave import given, then, when

from features.soak.fleet import now_unix_ms
from features.standin.deployment import Deployment
from features.standin.engine_process import EngineOfWorkers, EngineProcess, SupervisedEngine
from features.standin.stream_callers import StreamCallers
from features.steps.lost_connection_steps import begin_streams

EVENTS, EVENT_S = 60, 0.05
NODES = 2
# Half of an answer is larger than what nodes and sockets buffer for one read.
BODY_BYTES = 200_000
BODY_S = 2.5
BEGIN_WITHIN_S = 1.0
# Leaving engines exit within this time after the last byte of their last answers.
LATEST_EXIT_S = 0.01
# For how long a leaving engine is draining before it stops listening.
DRAINING_S = 1.2
# How long after the last request has begun the engine ends.
ENDS_AFTER_S = 0.2
# How long a step waits between two looks for the next event of a stream, and how often it looks.
LOOK_S, LOOKS = 0.001, 2000
# How long after the record of an engine changed streams begin elsewhere.
KNOWN_AFTER_S = 0.5


@given("{count:d} {kind} engines in processes of their own, whose answers end with {framing}")
def step_engines(context, count, kind, framing):
    service = {"model": "llm", "desk": "desk"}[kind]
    framing, _, start = framing.partition(", and whose records name ")
    framing, workers, _ = framing.partition(", and that have four workers")
    framing, copies, _ = framing.partition(", and that hold copies")
    framing, kept_open, _ = framing.partition(", and whose supervisors keep their ports open")
    framing = {"their connection": "connection", "a last chunk": "chunks"}.get(framing, "length")
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    deployment.set_weight_version(1)
    deployment.configure(1, backups=bool(copies))
    context.callers = StreamCallers(deployment)

    context.framing = framing
    context.names_start = start != "no start time"
    context.engine_kind = SupervisedEngine if kept_open else EngineProcess
    if workers:
        context.engine_kind = EngineOfWorkers

    async def add():
        for number in range(count):
            await add_engine(context, number, service, LATEST_EXIT_S * number / count)
        for number in range(NODES):
            await deployment.ready(await deployment.add_node(f"node-{number + 1}"))

    context.run(add())


async def add_engine(context, number, service, exits_after_s=0.0):
    return await context.deployment.add_engine(
        f"{service}-{number + 1}",
        service,
        kind=context.engine_kind,
        weights={"model-1": 1} if service == "llm" else {},
        names_version=True,
        slots=64,
        events=EVENTS,
        event_seconds=EVENT_S,
        body_bytes=BODY_BYTES,
        body_seconds=BODY_S,
        framing=context.framing,
        born_unix_ms=now_unix_ms() if context.names_start else 0,
        exits_after_s=exits_after_s,
    )


@given("{count:d} further nodes")
def step_further_nodes(context, count):
    async def add():
        deployment = context.deployment
        for _ in range(count):
            node = await deployment.add_node(f"node-{len(deployment.nodes) + 1}")
            await deployment.ready(node)

    context.run(add())


async def announce(context, engines):
    """Let engines drain for some time."""
    for engine in engines:
        context.deployment.record(engine, "draining")
    await asyncio.sleep(DRAINING_S)
    context.left = [arrival for engine in engines for arrival in engine.running]


@when('{count:d} streams on "{route}" begin within {seconds:g} s, and all engines but one leave')
def step_leave(context, count, route, seconds):
    async def play():
        tasks = await begin_streams(context, count, route, seconds)
        leaving = list(context.deployment.engines.values())[1:]
        await announce(context, leaving)
        await asyncio.gather(*(engine.leave() for engine in leaving))
        await asyncio.gather(*tasks)

    context.run(play())


@when('{count:d} clients post to "{path}", and all engines but one leave')
def step_leave_whole(context, count, path):
    async def play():
        nodes = itertools.cycle(context.deployment.nodes)
        calls = []
        for _ in range(count):
            call = context.deployment.call(next(nodes), path)
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(BEGIN_WITHIN_S / count)
        leaving = list(context.deployment.engines.values())[1:]
        await announce(context, leaving)
        await asyncio.gather(*(engine.leave() for engine in leaving))
        context.answers = await asyncio.gather(*calls)

    context.run(play())


def taken_for_incomplete(context):
    """Return what the nodes logged about the responses that they took for incomplete."""
    rows = context.deployment.logged("response_closed")
    return [row for row in rows if not row["complete"]] + context.deployment.logged(
        "attempt_failed"
    )


def describe_ends(context):
    """Print how long nodes took to find out that leaving engines had ended, and what they saw."""
    rows = [row for row in context.deployment.logged("response_closed") if row["leaving"]]
    rows = [row for row in rows if row["evidence"] == "ended"]
    for name in ("waited_ms", "close_delay_ms"):
        values = sorted(row[name] for row in rows) or [0.0]
        print(f"{name} of {len(rows)}: median {values[len(values) // 2]}, longest {values[-1]}")


@then("all {count:d} streams are whole")
def step_all_whole(context, count):
    streams = context.callers.streams
    whole = sum(is_whole(stream) for stream in streams)
    print(f"{whole} of {len(streams)} streams whole, {len(context.left)} at leaving engines")
    describe_ends(context)
    assert context.left
    assert whole == len(streams) == count, taken_for_incomplete(context)


@then("all {count:d} answers are whole")
def step_all_answers_whole(context, count):
    whole = [a for a in context.answers if a[0] == 200 and a[3] and len(a[2]) == BODY_BYTES]
    print(f"{len(whole)} of {len(context.answers)} whole, {len(context.left)} at leaving engines")
    describe_ends(context)
    assert context.left
    assert len(whole) == len(context.answers) == count, taken_for_incomplete(context)


def busiest_engine(context):
    return max(context.deployment.engines.values(), key=lambda engine: len(engine.running))


async def end_engine(context, how):
    """End the process of the engine with the most requests."""
    engine = context.ended = busiest_engine(context)
    how, starts_again, _ = how.partition(", and started again")
    if how == "killed as it leaves":
        await announce(context, [engine])
        how = "killed"
    await engine.crash(how=how)
    if starts_again:
        await engine.restart()


@when('{count:d} streams on "{route}" begin within {seconds:g} s, and an engine is {how}')
def step_streams(context, count, route, seconds, how):
    async def play():
        tasks = await begin_streams(context, count, route, seconds)
        await asyncio.sleep(ENDS_AFTER_S)
        await end_engine(context, how)
        await asyncio.gather(*tasks)

    context.run(play())


async def next_event(stream):
    """Wait for the next event of a stream."""
    before = stream.last_event
    for _ in range(LOOKS):
        await asyncio.sleep(LOOK_S)
        if stream.last_event != before:
            return
    raise AssertionError(f"no event after {before}")


async def kill_leaving(context, engine, stream):
    """Let an engine drain, and kill its process right after an event of a stream."""
    await announce(context, [engine])
    await next_event(stream)
    await engine.crash()


@when(
    '{count:d} engines in turn get one stream on "{route}" from each of two nodes,'
    " and are killed as they leave right after a piece"
)
def step_kill_each(context, count, route):
    callers = context.callers

    async def play():
        tasks = []
        nodes = itertools.cycle(context.deployment.nodes)
        for number in range(count):
            known = context.deployment.engines.get(f"llm-{number + 1}")
            engine = known or await add_engine(context, number, "llm")
            # By then the nodes know that the engine before leaves.
            await asyncio.sleep(KNOWN_AFTER_S)
            for _ in range(2):
                tasks.append(asyncio.ensure_future(callers.begin(next(nodes), route=route)))
                await asyncio.sleep(0.0)
            stream = callers.streams[-1]
            await next_event(stream)
            tasks.append(asyncio.ensure_future(kill_leaving(context, engine, stream)))
        await asyncio.gather(*tasks)

    context.run(play())


@when(
    '{count:d} streams on "{route}" begin within {seconds:g} s,'
    " and an engine starts again at its address while the nodes stand still"
)
def step_start_again(context, count, route, seconds):
    async def play():
        tasks = await begin_streams(context, count, route, seconds)
        for node in context.deployment.nodes:
            node.signal(signal.SIGSTOP)
        engine = context.ended = busiest_engine(context)
        port = int(engine.address.rpartition(":")[2])
        await engine.crash()
        engine.born_unix_ms = now_unix_ms()
        await engine.start(port)
        context.deployment.record(engine)
        for node in context.deployment.nodes:
            node.signal(signal.SIGCONT)
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


@then("no stream looks complete that had another beside it")
def step_none_complete(context):
    engines = context.deployment.engines.values()
    at_two = [e for e in engines if len(e.running) > 1]
    beside = {arrival.attempt_id for engine in at_two for arrival in engine.running}
    complete = [s for s in context.callers.streams if s.complete]
    early = [s.last_event for s in complete if s.attempts[0].request_id in beside]
    print(
        f"{len(at_two)} of {len(engines)} engines had two streams; complete of these after "
        f"{early}, of others {len(complete) - len(early)}"
    )
    assert len(at_two) >= len(engines) / 2, [len(e.running) for e in engines]
    rows = [row for row in context.deployment.logged("response_closed") if row["leaving"]]
    assert not early, f"streams of {EVENTS} events end as complete after {early}: {rows}"


def is_whole(stream):
    return stream.complete and stream.last_event == EVENTS


@then("all streams are whole")
def step_all_go_on(context):
    broken = [s.attempts[0].request_id for s in context.callers.streams if not is_whole(s)]
    rows = [row for row in taken_for_incomplete(context) if row["request"] in broken]
    assert not broken, rows


@then("only streams of that engine broke off")
def step_broke_off(context):
    lost = {arrival.attempt_id for arrival in context.ended.running}
    broken = [s.attempts[0] for s in context.callers.streams if not is_whole(s)]
    print(f"{len(broken)} of {len(lost)} broke off")
    assert {attempt.request_id for attempt in broken} == lost
    assert all(attempt.lost for attempt in broken)


@then("each answer that ended with its connection is logged and counted with its evidence")
def step_logged(context):
    deployment, streams = context.deployment, context.callers.streams
    rows = {row["request"]: row for row in deployment.logged("response_closed")}
    assert len(rows) == len(streams), len(rows)
    for stream in streams:
        row = rows[stream.attempts[0].request_id]
        assert row["framing"] == "connection" and row["complete"] is is_whole(stream), row
        assert row["evidence"] == ("running" if is_whole(stream) else "ended"), row
    pages = [context.run(deployment.metrics(node)) for node in deployment.nodes]
    metric = "liftrill_closed_responses_total{engine="
    lines = [line for page in pages for line in page.splitlines() if line.startswith(metric)]
    assert sum(float(line.split()[-1]) for line in lines) == len(streams), lines


@then("no success lacks a part of its body")
def step_whole_bodies(context):
    sizes = [len(body) for status, _, body, whole in context.answers if status == 200 and whole]
    print(f"{len(context.ended.running)} at the engine that ended, {len(sizes)} successes")
    assert context.ended.running
    assert set(sizes) == {BODY_BYTES}, f"successes with bodies of {sorted(set(sizes))} bytes"
