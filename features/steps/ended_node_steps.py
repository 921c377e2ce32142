"""Steps on answers whose node, engine or first connection ends before they do."""

import asyncio
import itertools
import signal
import time
from collections import Counter

from behave import given, then, when

from features.standin.deployment import Deployment, terminate
from features.standin.engine_process import EngineProcess
from features.standin.raw_callers import (
    HTTP_1_0,
    HTTP_1_1,
    SILENT,
    STREAMS,
    RawCaller,
)

ROUTES = (*STREAMS, "whole")
BODY_BYTES, BODY_S = 1_000_000, 0.1
FRAMINGS = ("chunks", "connection", "length")
MODEL_ENGINES, DESK_ENGINES = 4, 2
SLOTS = 256
# For how long slow callers, and all callers of whole answers, read nothing.
SLOW_S = 2.5
# Longer than any of these answers takes.
ROUTE_TIMEOUT_MS = 20_000
# The time in which the answers of one play begin, and until the last one is in progress.
BEGIN_S, IN_PROGRESS_S = 1.0, 0.3
SUSPENDED_S = 1.5
LEFT_AFTER_EVENT = 5


@given("2 nodes, and engines that send {events:d} events of {size:d} KB in {seconds:g} s")
def step_unlimited(context, events, size, seconds):
    start(context, {}, events, size, seconds)


@given(
    "2 nodes with a memory limit of {megabytes:d} MB, and engines that send {events:d} events "
    "of {size:d} KB in {seconds:g} s"
)
def step_limited(context, megabytes, events, size, seconds):
    changes = {"Contracts": '["pressure"]', "Limits": f"{{ MemoryMb = {megabytes} }}"}
    start(context, changes, events, size, seconds)


def start(context, changes, events, size, seconds):
    """Start the nodes with such settings, and the engines."""
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    deployment.set_weight_version(1)
    deployment.configure(1, timeout_ms=ROUTE_TIMEOUT_MS)
    context.callers = RawCaller(events, BODY_BYTES)

    async def add(name, service, framing):
        await deployment.add_engine(
            name,
            service,
            kind=EngineProcess,
            weights={"model-1": 1} if service == "llm" else {},
            names_version=True,
            slots=SLOTS,
            events=events,
            event_seconds=seconds / events,
            event_bytes=size * 1024,
            body_bytes=BODY_BYTES,
            body_seconds=BODY_S,
            framing=framing,
        )

    async def add_all():
        framings = itertools.cycle(FRAMINGS)
        for number in range(MODEL_ENGINES):
            await add(f"llm-{number}", "llm", next(framings))
        for number in range(DESK_ENGINES):
            await add(f"desk-{number}", "desk", FRAMINGS[number])
        for number in range(2):
            await deployment.ready(await deployment.add_node(f"node-{number}", changes=changes))

    context.run(add_all())


def begin(context, count, protocols, slow=False, routes=ROUTES, **headers):
    """Begin so many answers of each protocol and route, spread over the nodes."""

    async def begin_all():
        nodes = itertools.cycle(context.deployment.nodes)
        context.tasks = []
        for _ in range(count):
            node = next(nodes)
            for protocol, route in itertools.product(protocols, routes):
                waits_s = SLOW_S if slow or route not in STREAMS else 0.0
                asked = context.callers.ask(node, protocol, route, waits_s, **headers)
                context.tasks.append(asyncio.ensure_future(asked))
            await asyncio.sleep(BEGIN_S / count)
        await asyncio.sleep(IN_PROGRESS_S)

    context.run(begin_all())


@when("{count:d} callers of either HTTP version ask for each kind of answer")
def step_begin(context, count):
    begin(context, count, (HTTP_1_1, HTTP_1_0))


@when("{count:d} callers of HTTP/1.0 ask for each kind of answer")
def step_begin_http_1_0(context, count):
    begin(context, count, (HTTP_1_0,))


@when("{count:d} callers of HTTP/1.0 that keep their connections ask for each kind of stream")
def step_begin_kept(context, count):
    begin(context, count, (HTTP_1_0,), routes=STREAMS, Connection="keep-alive")


@when("{count:d} slow callers of either HTTP version ask for each kind of answer")
def step_begin_slow(context, count):
    begin(context, count, (HTTP_1_1, HTTP_1_0), slow=True)


@when("{count:d} callers of either HTTP version take up a stream at the other node")
def step_take_up(context, count):
    first_node, second_node = context.deployment.nodes
    context.second = []

    async def take_up(protocol):
        first = asyncio.ensure_future(context.callers.ask(first_node, protocol, "resume"))
        await asyncio.sleep(0)
        answer = context.callers.answers[-1]

        async def has_begun():
            return answer.events >= LEFT_AFTER_EVENT

        await context.deployment.wait_until(has_begun)
        assert not first.done(), (answer.status, answer.events)
        second = await context.callers.ask(
            second_node, protocol, "resume", after=answer.events, Resumes=answer.request_id
        )
        context.second.append(second)
        await first

    async def take_up_all():
        context.tasks = []
        for _ in range(count):
            for protocol in (HTTP_1_1, HTTP_1_0):
                context.tasks.append(asyncio.ensure_future(take_up(protocol)))
            await asyncio.sleep(BEGIN_S / count)

    context.run(take_up_all())


@when("a node is killed")
def step_kill(context):
    context.run(context.deployment.nodes[0].stop())


@when("a node is told to stop")
def step_terminate(context):
    terminate(context.deployment.nodes[0])


@when("a node is suspended and resumed")
def step_suspend(context):
    async def suspend():
        node = context.deployment.nodes[0]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(SUSPENDED_S)
        node.signal(signal.SIGCONT)

    context.run(suspend())


@when("an engine of each service is killed")
def step_kill_engines(context):
    async def kill():
        engines = context.deployment.engines.values()
        for service in ("llm", "desk"):
            of_service = [engine for engine in engines if engine.service == service]
            engine = max(of_service, key=lambda engine: len(engine.running))
            await engine.crash(how="killed")

    context.run(kill())


@then("no answer says that it is whole and is not, and no piece comes twice or out of order")
def step_judge(context):
    began = time.monotonic()
    context.run(asyncio.wait_for(asyncio.gather(*context.tasks), 60.0))
    print(f"ended {time.monotonic() - began:.1f} s later")
    answers = context.callers.answers
    rows = Counter()
    for answer in answers:
        row = answer.protocol, answer.route
        rows[row, "played"] += 1
        rows[row, "whole"] += answer.says_whole and answer.is_whole
        rows[row, "says whole and is not"] += answer.says_whole and not answer.is_whole
        rows[row, "misplaced"] += answer.misplaced
        rows[row, "cut"] += answer.status == 200 and not answer.says_whole
        rows[row, "unanswered"] += answer.status != 200
        rows[row, "silent"] += answer.ending == SILENT
    names = list(dict.fromkeys(name for _, name in rows))
    for row in dict.fromkeys(row for row, _ in rows):
        print(*row, *(f"{name} {rows[row, name]}" for name in names), sep=", ")
    early = [(a.protocol, a.route, a.events) for a in answers if a.says_whole and not a.is_whole]
    misplaced = [(a.protocol, a.route, a.misplaced) for a in answers if a.misplaced]
    assert not early and not misplaced, (len(early), early[:9], len(misplaced), misplaced[:9])


@then("some {kind} were cut")
def step_some_cut(context, kind):
    answers = context.callers.answers
    routes = {"streams": STREAMS, "whole answers": ("whole",)}[kind]
    for protocol in {answer.protocol for answer in answers}:
        of_kind = [a for a in answers if a.protocol == protocol and a.route in routes]
        cut = [a for a in of_kind if a.status == 200 and not a.says_whole]
        assert cut, f"{protocol}: none of {len(of_kind)} was cut"


@then("all are whole")
def step_all_whole(context):
    broken = [a for a in context.callers.answers if not (a.says_whole and a.is_whole)]
    shown = [(a.protocol, a.route, a.status, a.ending, a.events) for a in broken[:9]]
    assert not broken, (len(broken), shown)


@then("all that were taken up are whole")
def step_taken_up(context):
    broken = [a for a in context.second if not (a.says_whole and a.is_whole)]
    shown = [(a.protocol, a.status, a.ending, a.after, a.events) for a in broken[:9]]
    assert context.second and not broken, (len(broken), shown)


@then("some were let go to free memory")
def step_let_go(context):
    lines = [line for node in context.deployment.nodes for line in node.log().splitlines()]
    let_go = [line for line in lines if '"LET_GO"' in line]
    for_memory = [line for line in let_go if '"why":"memory"' in line]
    print(f"{len(let_go)} were let go, {len(for_memory)} of them to free memory")
    assert for_memory
