"""Steps about requests under which engines end, on real processes before the stand-in."""

import asyncio
import itertools
import json
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from behave import given, then, when

from features.standin.deployment import Deployment
from liftrill.errors import ResultCode

DEADLY = b"the request under which engines end"
OTHER_CALLERS = 8
# Between two sends of the request (own choice): an engine is back sooner than all have ended.
SPACING_S = 0.25
BACK_AFTER_S = 1.0
# When the record of an engine that ended goes: three beats of 1.2 s, less what passed of one.
RECORD_LAPSES_AFTER_S = 2.5
REFUSED_WITHIN_S = 0.3


@dataclass
class CrashPlay:
    """What happened in a scenario.

    Attributes:
        ended_at: by engine that ended under a request, when.
        answers: to the deadly request: when it was sent, where, status, body, Retry-After, time.
        others: how other requests ended.
    """

    deployment: Deployment
    ended_at: dict = field(default_factory=dict)
    answers: list = field(default_factory=list)
    others: Counter = field(default_factory=Counter)
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    replacing: list = field(default_factory=list)
    over: bool = False


@dataclass(frozen=True)
class DeadlyAnswer:
    """How the deadly request ended once."""

    node: str
    sent_at: float
    took_s: float
    status: int | None
    code: int | None
    retry_after_s: float | None


async def add_model_engine(play, ends_under=DEADLY):
    name = f"llm-{next(play.numbers)}"
    engine = await play.deployment.add_engine(
        name, "llm", weights={"model-1": 1}, ends_under=ends_under, events=12
    )
    play.replacing.append(asyncio.ensure_future(replace_when_ended(play, engine)))
    return engine


async def replace_when_ended(play, engine):
    await engine.ended.wait()
    play.ended_at[engine.engine_id] = time.monotonic()
    await asyncio.sleep(BACK_AFTER_S)
    await add_model_engine(play, engine.ends_under)
    await asyncio.sleep(RECORD_LAPSES_AFTER_S - BACK_AFTER_S)
    play.deployment.store.remove(f"servers/{engine.engine_id}")


@given(
    "{nodes:d} nodes before {engines:d} model engines that end when they begin a certain request"
)
def step_deadly(context, nodes, engines):
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    context.play = CrashPlay(deployment)

    async def begin():
        await deployment.add_engine("desk-1", "desk")
        for _ in range(engines):
            await add_model_engine(context.play)
        deployment.configure(5)
        for number in range(nodes):
            await deployment.ready(await deployment.add_node(f"node-{number + 1}"))

        async def all_known():
            found = await deployment.resolve(deployment.nodes[0])
            return len(found["Addresses"]) == nodes

        await deployment.wait_until(all_known)

    context.run(begin())


async def call_deadly(play, node, path="/stream/deadly", **options):
    sent_at = time.monotonic()
    status = code = retry_after_s = None
    try:
        status, headers, body, _ = await play.deployment.call(
            node, path, model="model-1", body=DEADLY, **options
        )
        if "Retry-After" in headers:
            retry_after_s = float(headers["Retry-After"])
        if status >= 400 and body.startswith(b"{"):
            code = json.loads(body)["Code"]
    except (aiohttp.ClientError, OSError, TimeoutError):
        pass
    took_s = time.monotonic() - sent_at
    answer = DeadlyAnswer(node.name, sent_at, took_s, status, code, retry_after_s)
    play.answers.append(answer)
    return answer


async def call_others(play, number):
    nodes = itertools.cycle(play.deployment.nodes)
    for count in itertools.count():
        if play.over:
            return
        body = f"request {number}/{count}".encode()
        try:
            status, _, answer, whole = await play.deployment.call(
                next(nodes), f"/stream/{number}", model="model-1", body=body
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            play.others["no answer"] += 1
            continue
        code = json.loads(answer)["Code"] if status >= 400 and answer.startswith(b"{") else status
        play.others[code if whole else "broken"] += 1
        await asyncio.sleep(0.02)


async def come_again(play, seconds, path="/stream/deadly"):
    """Send the request to each node in turn, beside other callers."""
    others = [asyncio.ensure_future(call_others(play, n)) for n in range(OTHER_CALLERS)]
    until = time.monotonic() + seconds
    calls = []
    nodes = itertools.cycle(play.deployment.nodes)
    while time.monotonic() < until:
        calls.append(asyncio.ensure_future(call_deadly(play, next(nodes), path)))
        await asyncio.sleep(SPACING_S)
    play.over = True
    await asyncio.gather(*calls, *others)


@when("it comes again at each node in turn for {seconds:g} s, beside other streams")
def step_again(context, seconds):
    context.run(come_again(context.play, seconds))


@when(
    "it comes again at each node in turn as a resumable stream for {seconds:g} s, "
    "beside other streams"
)
def step_again_resumable(context, seconds):
    context.run(come_again(context.play, seconds, "/resume/deadly"))


@then("no more than {count:d} engines have ended")
def step_few_ended(context, count):
    play = context.play
    statuses = Counter((answer.status, answer.code) for answer in play.answers)
    told = f"{len(play.ended_at)} ended; the request: {statuses}; others: {play.others}"
    print(told)
    assert 0 < len(play.ended_at) <= count, told


def quarantined(answer):
    return answer.code == ResultCode.REQUEST_QUARANTINED.number


@then("it was refused at once, with a true time to come back")
def step_refused(context):
    refused = [answer for answer in context.play.answers if quarantined(answer)]
    assert refused, context.play.answers
    last = context.play.answers[-1]
    assert quarantined(last), last
    for answer in refused:
        assert answer.status == 503 and answer.took_s < REFUSED_WITHIN_S, answer
    # Whoever came back sooner than told would be refused again: the time told runs out.
    first = refused[0]
    for answer in refused[1:]:
        until_s = answer.sent_at + answer.retry_after_s - first.sent_at
        assert abs(until_s - first.retry_after_s) < 1.0, (first, answer)


@then("no other request was refused for it")
def step_others_served(context):
    others = context.play.others
    assert others[200] > 0 and not others[ResultCode.REQUEST_QUARANTINED.number], others
