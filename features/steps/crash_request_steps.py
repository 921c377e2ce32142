"""Steps about requests under which engines end, on real processes before the stand-in."""

import asyncio
import itertools
import json
import random
import re
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from behave import given, then, when

from features.standin.deployment import ROOT, Deployment
from liftrill.errors import ResultCode
from liftrill.gateway.quarantine_records import QUARANTINE_KEY_PREFIX

DEADLY = b"the request under which engines end"
OTHER_CALLERS = 8
# Engines that end under a request before all nodes keep it from them, at the most.
MOST_ENDED = 3
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


async def add_engine(play, service="llm", crashes_on=frozenset({DEADLY})):
    options = {"weights": {"model-1": 1}, "events": 12} if service == "llm" else {}
    engine = await play.deployment.add_engine(
        f"{service}-{next(play.numbers)}", service, crashes_on=crashes_on, **options
    )
    play.replacing.append(asyncio.ensure_future(replace_when_ended(play, engine)))
    return engine


async def replace_when_ended(play, engine):
    await engine.crashed.wait()
    play.ended_at[engine.engine_id] = time.monotonic()
    await asyncio.sleep(BACK_AFTER_S)
    await add_engine(play, engine.service, engine.crashes_on)
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
        await add_engine(context.play, "desk", crashes_on=frozenset())
        for _ in range(engines):
            await add_engine(context.play)
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
    model = "" if path.startswith("/safe") else "model-1"
    try:
        status, headers, body, _ = await play.deployment.call(
            node, path, model=model, body=DEADLY, **options
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


async def call_others(play, number, among):
    nodes = itertools.cycle(among)
    for count in itertools.count():
        if play.over:
            return
        body = f"request {number}/{count}".encode()
        await call_other(play, next(nodes), f"/stream/{number}", body)
        await asyncio.sleep(0.02)


async def call_other(play, node, path, body):
    """Send another request, and return how it ended."""
    try:
        status, _, answer, whole = await play.deployment.call(
            node, path, model="model-1", body=body
        )
    except (aiohttp.ClientError, OSError, TimeoutError):
        play.others["no answer"] += 1
        return "no answer"
    code = json.loads(answer)["Code"] if status >= 400 and answer.startswith(b"{") else status
    ending = code if whole else "broken"
    play.others[ending] += 1
    return ending


async def come_again(play, seconds, path="/stream/deadly", nodes=None):
    """Send the request to each node in turn, beside other callers."""
    play.over = False
    among = nodes or play.deployment.nodes
    others = [asyncio.ensure_future(call_others(play, n, among)) for n in range(OTHER_CALLERS)]
    until = time.monotonic() + seconds
    calls = []
    nodes = itertools.cycle(among)
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


@given("desk engines that end when they begin the request")
def step_deadly_desks(context):
    async def add():
        for _ in range(4):
            await add_engine(context.play, "desk")

    # One that served the request would clear it of suspicion.
    for engine in context.deployment.engines.values():
        engine.crashes_on = frozenset({DEADLY})
    context.run(add())


@when(
    "it comes again at each node in turn as an idempotent call for {seconds:g} s, "
    "beside other streams"
)
def step_again_idempotent(context, seconds):
    context.run(come_again(context.play, seconds, "/safe/deadly"))


async def restart(play, nodes):
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()
        others = [other for other in play.deployment.nodes if other is not node]
        store = play.deployment.store.address_for(node.ip)
        node.write_settings(store, others, play.deployment.bounds, first_start=False)
        await node.start()
    for node in nodes:
        await play.deployment.ready(node)


@when("another node starts")
def step_another(context):
    deployment = context.deployment

    async def add():
        name = f"node-{len(deployment.nodes) + 1}"
        await deployment.ready(await deployment.add_node(name))

    context.run(add())


@when("all nodes are killed and start again")
def step_all_killed(context):
    context.run(restart(context.play, context.deployment.nodes))


@when("a node is killed and starts again")
def step_one_killed(context):
    context.run(restart(context.play, context.deployment.nodes[1:2]))


@when("the store refuses a node that is killed and starts again")
def step_killed_without_store(context):
    node = context.deployment.nodes[1]
    context.deployment.store.refused_ips.add(node.ip)
    context.run(restart(context.play, [node]))


@when("a node stands still while the request comes again at the others for {seconds:g} s")
def step_frozen(context, seconds):
    first, *others = context.deployment.nodes

    async def play():
        first.signal(signal.SIGSTOP)
        await come_again(context.play, seconds, nodes=others)
        first.signal(signal.SIGCONT)

    context.run(play())


@when("the store is down while the request comes again at each node in turn for {seconds:g} s")
def step_store_down(context, seconds):
    context.deployment.store.fault = "down"
    context.run(come_again(context.play, seconds))


@when("the store is back, and all nodes are killed and start again once it has the record")
def step_store_back(context):
    play = context.play

    async def back():
        play.deployment.store.fault = ""

        async def is_kept():
            return bool(records_of(play))

        await play.deployment.wait_until(is_kept, 10.0)
        await restart(play, play.deployment.nodes)

    context.run(back())


def records_of(play):
    return [key for key in play.deployment.store.items if key.startswith(QUARANTINE_KEY_PREFIX)]


def run_command(context, *arguments):
    """Run the operator's command; return its exit code and what it printed."""

    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "quarantine.py"),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    return context.run(run())


@then("the command lists it, with its route, its tenant and the engines that ended under it")
def step_listed(context):
    (key,) = records_of(context.play)
    code, output = run_command(context, "show", context.deployment.store.address)
    assert code == 0 and output.startswith(key.removeprefix(QUARANTINE_KEY_PREFIX)), output
    engines = context.play.deployment.engines.values()
    crashed = {engine.engine_id for engine in engines if engine.crashed_on}
    listed = re.findall(r"llm-\d+", output)
    assert "route stream, tenant tenant-1" in output, output
    assert 2 <= len(listed) <= MOST_ENDED and set(listed) <= crashed, (output, crashed)


@when("the command releases it")
def step_release(context):
    (key,) = records_of(context.play)
    fingerprint = key.removeprefix(QUARANTINE_KEY_PREFIX)
    code, output = run_command(context, "release", context.deployment.store.address, fingerprint)
    assert code == 0, output


@then('the command given "{arguments}" fails and says "{says}"')
def step_command_fails(context, arguments, says):
    address = context.deployment.store.address
    words = [address if word == "STORE" else word for word in arguments.split()]
    code, output = run_command(context, *words)
    assert code == 1 and says in output and "Traceback" not in output, (code, output)


@then("the next send of it reaches an engine")
def step_reaches_again(context):
    play = context.play
    before = len(play.ended_at)
    nodes = itertools.cycle(play.deployment.nodes)

    async def has_reached():
        await call_deadly(play, next(nodes))
        return len(play.ended_at) > before

    context.run(play.deployment.wait_until(has_reached, 3.0))


@then("each node refuses it, and no further engine ends")
def step_each_refuses(context):
    play = context.play
    before = len(play.ended_at)
    assert 0 < before <= 3, before

    async def call_each():
        return [await call_deadly(play, node) for node in play.deployment.nodes]

    answers = context.run(call_each())
    sent = [answer.node for answer in answers if not quarantined(answer)]
    if sent:
        for node in play.deployment.nodes:
            print(node.log()[-100_000:])
    assert not sent, answers
    assert len(play.ended_at) == before, (before, answers)


@given("engines that end under no request")
def step_sound(context):
    for engine in context.deployment.engines.values():
        engine.crashes_on = frozenset()


@when(
    "every {gap_s:g} s a third of the engines ends for {seconds:g} s, "
    "and each caller repeats what failed"
)
def step_spells(context, gap_s, seconds):
    play = context.play

    async def end_a_third(draw):
        running = [e for e in play.deployment.engines.values() if not e.crashed.is_set()]
        models = [engine for engine in running if engine.service == "llm"]
        for engine in draw.sample(models, max(1, len(models) // 3)):
            await engine.crash()

    async def run():
        draw = random.Random(35)
        callers = [asyncio.ensure_future(call_until_served(play, n)) for n in range(24)]
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(gap_s)
            await end_a_third(draw)
        play.over = True
        await asyncio.gather(*callers)

    context.run(run())


async def call_until_served(play, number):
    """Send one request after the other, each until it is served, at another node each time."""
    nodes = itertools.cycle(play.deployment.nodes)
    for count in itertools.count():
        served = False
        while not served:
            if play.over:
                return
            body = f"request {number}/{count}".encode()
            code = await call_other(play, next(nodes), f"/stream/{number}", body)
            served = code == 200
            await asyncio.sleep(0.02)


@then("no request was kept from engines")
def step_nobody_refused(context):
    play = context.play
    print(f"{len(play.ended_at)} ended; {play.others}")
    assert len(play.ended_at) > 5, play.ended_at
    step_others_served(context)
    assert not records_of(play), records_of(play)
