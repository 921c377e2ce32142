"""Steps on requests that crash engines, with nodes as separate processes and stand-in engines."""

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
# The most engines that a request may crash before all nodes quarantine it.
MAX_CRASHED = 3
# Between two sends of the request: crashed engines are replaced before all have crashed.
SEND_INTERVAL_S = 0.25
REPLACED_AFTER_S = 1.0
# When the record of a crashed engine expires: three heartbeats of 1.2 s, less a part of one.
RECORD_EXPIRES_AFTER_S = 2.5
REFUSED_WITHIN_S = 0.3


@dataclass
class CrashTestRun:
    """The engines, nodes and answers of one scenario.

    Attributes:
        crashed_at: the crash time of each engine that crashed under a request.
        answers: the answers to the deadly request.
        others: the number of other requests by their status or error code.
    """

    deployment: Deployment
    crashed_at: dict = field(default_factory=dict)
    answers: list = field(default_factory=list)
    others: Counter = field(default_factory=Counter)
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    replacing: list = field(default_factory=list)
    is_over: bool = False


@dataclass(frozen=True)
class DeadlyAnswer:
    """The answer to one send of the crash request; fields that did not arrive are None."""

    node: str
    sent_at: float
    took_s: float
    status: int | None
    code: int | None
    retry_after_s: float | None


async def add_engine(test_run, service="llm", crashes_on=frozenset({DEADLY})):
    options = {"weights": {"model-1": 1}, "events": 12} if service == "llm" else {}
    engine = await test_run.deployment.add_engine(
        f"{service}-{next(test_run.numbers)}", service, crashes_on=crashes_on, **options
    )
    test_run.replacing.append(asyncio.ensure_future(replace_when_crashed(test_run, engine)))
    return engine


async def replace_when_crashed(test_run, engine):
    await engine.crashed.wait()
    test_run.crashed_at[engine.engine_id] = time.monotonic()
    await asyncio.sleep(REPLACED_AFTER_S)
    await add_engine(test_run, engine.service, engine.crashes_on)
    await asyncio.sleep(RECORD_EXPIRES_AFTER_S - REPLACED_AFTER_S)
    test_run.deployment.store.remove(f"servers/{engine.engine_id}")


@given("{nodes:d} nodes and {engines:d} model engines that crash when they begin a certain request")
def step_deadly(context, nodes, engines):
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    context.test_run = CrashTestRun(deployment)

    async def begin():
        await add_engine(context.test_run, "desk", crashes_on=frozenset())
        for _ in range(engines):
            await add_engine(context.test_run)
        deployment.configure(5)
        for number in range(nodes):
            await deployment.ready(await deployment.add_node(f"node-{number + 1}"))

        async def all_known():
            found = await deployment.resolve(deployment.nodes[0])
            return len(found["Addresses"]) == nodes

        await deployment.wait_until(all_known)

    context.run(begin())


async def call_deadly(test_run, node, path="/stream/deadly", **options):
    sent_at = time.monotonic()
    status = code = retry_after_s = None
    model = "" if path.startswith("/safe") else "model-1"
    try:
        status, headers, body, _ = await test_run.deployment.call(
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
    test_run.answers.append(answer)
    return answer


async def call_others(test_run, number, among):
    nodes = itertools.cycle(among)
    for count in itertools.count():
        if test_run.is_over:
            return
        body = f"request {number}/{count}".encode()
        await call_other(test_run, next(nodes), f"/stream/{number}", body)
        await asyncio.sleep(0.02)


async def call_other(test_run, node, path, body):
    """Send another request, and return its status or error code."""
    try:
        status, _, answer, whole = await test_run.deployment.call(
            node, path, model="model-1", body=body
        )
    except (aiohttp.ClientError, OSError, TimeoutError):
        test_run.others["no answer"] += 1
        return "no answer"
    code = json.loads(answer)["Code"] if status >= 400 and answer.startswith(b"{") else status
    result = code if whole else "broken"
    test_run.others[result] += 1
    return result


async def repeat_request(test_run, seconds, path="/stream/deadly", nodes=None):
    """Send the crash request to each node in turn, beside the requests of other callers."""
    test_run.is_over = False
    among = nodes or test_run.deployment.nodes
    others = [asyncio.ensure_future(call_others(test_run, n, among)) for n in range(OTHER_CALLERS)]
    until = time.monotonic() + seconds
    calls = []
    nodes = itertools.cycle(among)
    while time.monotonic() < until:
        calls.append(asyncio.ensure_future(call_deadly(test_run, next(nodes), path)))
        await asyncio.sleep(SEND_INTERVAL_S)
    test_run.is_over = True
    await asyncio.gather(*calls, *others)


@when("it is repeated at each node in turn for {seconds:g} s, beside other streams")
def step_repeated(context, seconds):
    context.run(repeat_request(context.test_run, seconds))


@when(
    "it is repeated at each node in turn as a resumable stream for {seconds:g} s, "
    "beside other streams"
)
def step_repeated_resumable(context, seconds):
    context.run(repeat_request(context.test_run, seconds, "/resume/deadly"))


@then("no more than {count:d} engines have crashed")
def step_few_crashed(context, count):
    test_run = context.test_run
    statuses = Counter((answer.status, answer.code) for answer in test_run.answers)
    summary = (
        f"{len(test_run.crashed_at)} crashed; the request: {statuses}; others: {test_run.others}"
    )
    print(summary)
    assert 0 < len(test_run.crashed_at) <= count, summary


def is_quarantined(answer):
    return answer.code == ResultCode.REQUEST_QUARANTINED.number


@then("it was refused at once, with a consistent time to retry")
def step_refused(context):
    refused = [answer for answer in context.test_run.answers if is_quarantined(answer)]
    assert refused, context.test_run.answers
    last = context.test_run.answers[-1]
    assert is_quarantined(last), last
    for answer in refused:
        assert answer.status == 503 and answer.took_s < REFUSED_WITHIN_S, answer
    # Retry-After counts down: all refusals name about the same time for a retry.
    first = refused[0]
    for answer in refused[1:]:
        until_s = answer.sent_at + answer.retry_after_s - first.sent_at
        assert abs(until_s - first.retry_after_s) < 1.0, (first, answer)


@then("no other request was quarantined")
def step_others_served(context):
    others = context.test_run.others
    assert others[200] > 0 and not others[ResultCode.REQUEST_QUARANTINED.number], others


@given("desk engines that crash when they begin the request")
def step_deadly_desks(context):
    async def add():
        for _ in range(4):
            await add_engine(context.test_run, "desk")

    # An engine that served the request would clear the evidence against it.
    for engine in context.deployment.engines.values():
        engine.crashes_on = frozenset({DEADLY})
    context.run(add())


@when(
    "it is repeated at each node in turn as an idempotent call for {seconds:g} s, "
    "beside other streams"
)
def step_repeated_idempotent(context, seconds):
    context.run(repeat_request(context.test_run, seconds, "/safe/deadly"))


async def restart(test_run, nodes):
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()
        others = [other for other in test_run.deployment.nodes if other is not node]
        store = test_run.deployment.store.address_for(node.ip)
        node.write_settings(store, others, test_run.deployment.bounds, first_start=False)
        await node.start()
    for node in nodes:
        await test_run.deployment.ready(node)


@when("another node starts")
def step_another(context):
    deployment = context.deployment

    async def add():
        name = f"node-{len(deployment.nodes) + 1}"
        await deployment.ready(await deployment.add_node(name))

    context.run(add())


@when("all nodes are killed and restart")
def step_all_killed(context):
    context.run(restart(context.test_run, context.deployment.nodes))


@when("a node is killed and restarts")
def step_one_killed(context):
    context.run(restart(context.test_run, context.deployment.nodes[1:2]))


@when("the store refuses a node that is killed and restarts")
def step_killed_without_store(context):
    node = context.deployment.nodes[1]
    context.deployment.store.refused_ips.add(node.ip)
    context.run(restart(context.test_run, [node]))


@when("a node is suspended while the request is repeated at the others for {seconds:g} s")
def step_suspended(context, seconds):
    first, *others = context.deployment.nodes

    async def suspend_first():
        first.signal(signal.SIGSTOP)
        await repeat_request(context.test_run, seconds, nodes=others)
        first.signal(signal.SIGCONT)

    context.run(suspend_first())


@when("the store is down while the request is repeated at each node in turn for {seconds:g} s")
def step_store_down(context, seconds):
    context.deployment.store.fault = "down"
    context.run(repeat_request(context.test_run, seconds))


@when("the store is back, and all nodes are killed and restart once it has the record")
def step_store_back(context):
    test_run = context.test_run

    async def restart_after_outage():
        test_run.deployment.store.fault = ""

        async def is_recorded():
            return bool(quarantine_keys(test_run))

        await test_run.deployment.wait_until(is_recorded, 10.0)
        await restart(test_run, test_run.deployment.nodes)

    context.run(restart_after_outage())


def quarantine_keys(test_run):
    return [key for key in test_run.deployment.store.items if key.startswith(QUARANTINE_KEY_PREFIX)]


def run_command(context, *arguments):
    """Run the operator's command; return its exit code and its output."""

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


@then("the command lists it, with its route, its tenant and the engines that it crashed")
def step_listed(context):
    (key,) = quarantine_keys(context.test_run)
    code, output = run_command(context, "show", context.deployment.store.address)
    assert code == 0 and output.startswith(key.removeprefix(QUARANTINE_KEY_PREFIX)), output
    engines = context.test_run.deployment.engines.values()
    crashed = {engine.engine_id for engine in engines if engine.crashed_on}
    listed = re.findall(r"llm-\d+", output)
    assert "route stream, tenant tenant-1" in output, output
    assert 2 <= len(listed) <= MAX_CRASHED and set(listed) <= crashed, (output, crashed)


@when("the command releases it")
def step_release(context):
    (key,) = quarantine_keys(context.test_run)
    fingerprint = key.removeprefix(QUARANTINE_KEY_PREFIX)
    code, output = run_command(context, "release", context.deployment.store.address, fingerprint)
    assert code == 0, output


@then('the command given "{arguments}" fails and says "{says}"')
def step_command_fails(context, arguments, says):
    address = context.deployment.store.address
    parts = [address if part == "STORE" else part for part in arguments.split()]
    code, output = run_command(context, *parts)
    assert code == 1 and says in output and "Traceback" not in output, (code, output)


@then("the next send of it reaches an engine")
def step_reaches_again(context):
    test_run = context.test_run
    before = len(test_run.crashed_at)
    nodes = itertools.cycle(test_run.deployment.nodes)

    async def has_reached():
        await call_deadly(test_run, next(nodes))
        return len(test_run.crashed_at) > before

    context.run(test_run.deployment.wait_until(has_reached, 3.0))


@then("each node refuses it, and no further engine crashes")
def step_each_refuses(context):
    test_run = context.test_run
    before = len(test_run.crashed_at)
    assert 0 < before <= 3, before

    async def call_each():
        return [await call_deadly(test_run, node) for node in test_run.deployment.nodes]

    answers = context.run(call_each())
    sent = [answer.node for answer in answers if not is_quarantined(answer)]
    if sent:
        for node in test_run.deployment.nodes:
            print(node.log()[-100_000:])
    assert not sent, answers
    assert len(test_run.crashed_at) == before, (before, answers)


@given("engines that crash under no request")
def step_no_crashing_request(context):
    for engine in context.deployment.engines.values():
        engine.crashes_on = frozenset()


@when(
    "every {gap_s:g} s a third of the engines crashes for {seconds:g} s, "
    "and each caller repeats failed requests"
)
def step_random_crashes(context, gap_s, seconds):
    test_run = context.test_run

    async def crash_a_third(draw):
        running = [e for e in test_run.deployment.engines.values() if not e.crashed.is_set()]
        models = [engine for engine in running if engine.service == "llm"]
        for engine in draw.sample(models, max(1, len(models) // 3)):
            await engine.crash()

    async def run():
        draw = random.Random(35)
        callers = [asyncio.ensure_future(call_until_served(test_run, n)) for n in range(24)]
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(gap_s)
            await crash_a_third(draw)
        test_run.is_over = True
        await asyncio.gather(*callers)

    context.run(run())


async def call_until_served(test_run, number):
    """Send requests in turn, each until it is served, and each send to another node."""
    nodes = itertools.cycle(test_run.deployment.nodes)
    for count in itertools.count():
        served = False
        while not served:
            if test_run.is_over:
                return
            body = f"request {number}/{count}".encode()
            code = await call_other(test_run, next(nodes), f"/stream/{number}", body)
            served = code == 200
            await asyncio.sleep(0.02)


@then("no request was quarantined")
def step_none_quarantined(context):
    test_run = context.test_run
    print(f"{len(test_run.crashed_at)} crashed; {test_run.others}")
    assert len(test_run.crashed_at) > 5, test_run.crashed_at
    step_others_served(context)
    assert not quarantine_keys(test_run), quarantine_keys(test_run)
