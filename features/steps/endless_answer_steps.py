"""Steps on engines whose answers do not end, before a real process with a memory limit."""

import asyncio
import time
from collections import Counter

import aiohttp
from behave import given, then, when

from features.standin.engine import CHUNKS, CONNECTION, LENGTH

MEGABYTE = 1_048_576
CALLERS = 12
# Callers go on for this long after the faulty engines have begun to answer.
BESIDE_SECONDS = 2.0
PAUSE_SECONDS = 0.02
MEMORY_CHECK_SECONDS = 0.01
# What callers that read slowly take at a time.
READ_SECONDS = 0.05
# Answers that are incomplete together: the time that their pieces but the last take, and for how
# long their ends are held back once all have begun.
PIECES_SECONDS, HELD_SECONDS = 0.05, 0.3
FRAMINGS = {"a length": LENGTH, "a last chunk": CHUNKS, "their connection": CONNECTION}
# Calls whose answers are followed by more bytes.
MORE_BYTES_CALLS = 4


@given("a node that the platform kills above {megabytes:d} MB")
def step_node(context, megabytes):
    async def add():
        node = await context.deployment.add_node("node-1")
        await context.deployment.ready(node)
        # The first requests allocate what a process needs to serve any.
        for _ in range(20):
            await context.deployment.call(node, "/whole/x")
        return node

    context.node = context.run(add())
    context.memory_limit = megabytes
    context.memory_before = context.node.memory_megabytes("VmRSS")


async def kill_above_limit(context):
    while context.node.process.returncode is None:
        if context.node.memory_megabytes("VmRSS") > context.memory_limit:
            print("the node exceeds its memory")
            await context.node.stop()
            return
        await asyncio.sleep(MEMORY_CHECK_SECONDS)


async def call_again_and_again(context, path, model, until):
    """Send requests until a time, and record the answer of each by its id."""
    number = 0
    while time.monotonic() < until:
        number += 1
        request_id = f"{id(asyncio.current_task()) & 0xFFFFFF:06x}{number:010x}"
        try:
            context.answers[request_id] = await context.deployment.call(
                context.node, path, model=model, **{"X-Attempt-Id": request_id}
            )
        except aiohttp.ClientError:
            context.answers[request_id] = None
        await asyncio.sleep(PAUSE_SECONDS)


@when('{count:d} engines answer a request to "{path}" with an endless "{what}" beside others')
def step_endless(context, count, path, what):
    model = "model-1" if path.startswith("/stream/") else ""
    service = "llm" if model else "desk"
    engines = [e for e in context.deployment.engines.values() if e.service == service]
    context.faulty = engines[:count]

    async def call_all():
        watching = asyncio.ensure_future(kill_above_limit(context))
        for engine in context.faulty:
            engine.fault = what
        until = time.monotonic() + BESIDE_SECONDS
        callers = (call_again_and_again(context, path, model, until) for _ in range(CALLERS))
        await asyncio.gather(*callers)
        watching.cancel()

    context.answers = {}
    context.run(call_all())


def faulty_ids(context):
    return {a.attempt_id for e in context.faulty for a in e.arrivals if a.fault}


@then("the node uses at most {megabytes:d} MB more than before")
def step_memory(context, megabytes):
    assert context.node.process.returncode is None, "the node was killed"
    more = context.node.memory_megabytes("VmHWM") - context.memory_before
    print(f"{more:.1f} MB more")
    assert more <= megabytes, more


@then("no request at another engine is cut")
def step_none_cut(context):
    faulty = faulty_ids(context)
    others = {name: each for name, each in context.answers.items() if name not in faulty}
    cut = {name: each for name, each in others.items() if each is None or not each[3]}
    assert len(others) > CALLERS and not cut, (len(others), cut)
    assert all(each[0] == 200 for each in others.values()), {e[0] for e in others.values()}


@then("the endless answers were cut off within {seconds:g} s")
def step_cut_off(context, seconds):
    endless = [each for engine in context.faulty for each in engine.endless]
    print(f"(bytes, seconds) until the connection was closed: {endless}")
    assert len(endless) == len(context.faulty), endless
    assert all(took <= seconds for _, took in endless), endless


@then("their callers get {outcome}")
def step_outcome(context, outcome):
    answers = [context.answers[name] for name in faulty_ids(context)]
    expected = {"success": (200, True), "an interrupted answer": (200, False)}
    wanted = expected.get(outcome) or (int(outcome), True)
    got = [answer and (answer[0], answer[3]) for answer in answers]
    assert got == [wanted] * len(context.faulty), got


@then(
    "the node has logged that a body exceeded {limit:d} bytes, and counted {count:d} such response"
)
def step_logged(context, limit, count):
    outcomes = [line["outcome"] for line in context.deployment.logged("attempt_failed")]
    assert len(outcomes) == count, outcomes
    words = outcomes[0].split()
    assert words[:2] == ["broken:", "body:"] and words[-1] == str(limit), outcomes
    assert int(words[2]) > limit, outcomes
    metrics = context.run(context.deployment.metrics(context.node))
    assert f"liftrill_rejected_responses_total {count}.0" in metrics, metrics


@given("desk engines whose answers have {megabytes:d} MB")
def step_large_answers(context, megabytes):
    context.body_bytes = megabytes * MEGABYTE
    for engine in context.deployment.engines.values():
        engine.body_bytes = context.body_bytes


@when("{count:d} callers read an answer at {rate:d} MB a second")
def step_read_at_rate(context, count, rate):
    piece_bytes = int(rate * MEGABYTE * READ_SECONDS)

    async def read():
        async with context.deployment.open_call(context.node, "/whole/x") as answer:
            received = 0
            async for data in answer.content.iter_chunked(piece_bytes):
                received += len(data)
                await asyncio.sleep(READ_SECONDS)
            return answer.status, received

    async def read_all():
        return await asyncio.gather(*(read() for _ in range(count)))

    context.received = context.run(read_all())


@when(
    "{count:d} callers ask for answers of {size:d} bytes with {framing},"
    " all of which are incomplete at the same time"
)
def step_incomplete_together(context, count, size, framing):
    context.body_bytes = size
    engines = [e for e in context.deployment.engines.values() if e.service == "desk"]

    async def call(session):
        answer = await context.deployment.call(context.node, "/whole/x", session=session)
        return answer[0], len(answer[2])

    async def call_all():
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await answers_of(session)

    async def answers_of(session):
        may_end = asyncio.Event()
        for engine in engines:
            engine.framing, engine.body_bytes = FRAMINGS[framing], size
            engine.body_seconds, engine.may_end = PIECES_SECONDS, may_end
            engine.arrivals.clear()
        calls = [asyncio.ensure_future(call(session)) for _ in range(count)]

        async def have_begun():
            return sum(len(engine.arrivals) for engine in engines) >= count

        await context.deployment.wait_until(have_begun)
        await asyncio.sleep(HELD_SECONDS)
        ended_before = Counter(each.result() for each in calls if each.done())
        may_end.set()
        received = Counter(await asyncio.gather(*calls))
        print(f"(status, bytes) of answers: {received}, ended before: {ended_before}")
        return received

    context.received = context.run(call_all())


@then("each has received the whole answer")
def step_received(context):
    assert set(context.received) == {(200, context.body_bytes)}, context.received


@when("a desk engine sends bytes after its answer in the same segment")
def step_extra(context):
    async def call_all():
        calls = [context.deployment.call(context.node, "/whole/x") for _ in range(MORE_BYTES_CALLS)]
        return await asyncio.gather(*calls)

    for engine in context.deployment.engines.values():
        # Calls that are not sent at the same time may share an engine.
        engine.fault, engine.fault_count = "extra_garbage", MORE_BYTES_CALLS
    context.received = context.run(call_all())
    for engine in context.deployment.engines.values():
        engine.fault = ""


@then("its caller gets the answer, and the connection is not used again")
def step_whole(context):
    bodies = [(status, body, whole) for status, _, body, whole in context.received]
    assert bodies == [(200, b"whole", True)] * MORE_BYTES_CALLS, bodies
    status, _, body, whole = context.run(context.deployment.call(context.node, "/whole/x"))
    assert status == 200 and whole and body.startswith(b"answer to"), (status, body)
