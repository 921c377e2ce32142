"""Steps on what engines say of themselves, with nodes as separate processes."""

import asyncio
import itertools
import time
from contextlib import suppress
from dataclasses import dataclass

import aiohttp
from behave import given, then, when

from features.standin.deployment import prompt_headers
from features.standin.engine import ANSWER_KINDS

CALL_SPACING_S = 0.02
# A header that nodes pass on: it tells an engine which node a request came through.
NODE_HEADER = "X-Sent-Through"
SERVED, UNAVAILABLE = 200, 503


@dataclass
class Called:
    """One call, and how it ended."""

    node: str
    at: float
    ended_at: float = 0.0
    status: int = 0
    retry_after_s: float | None = None


class Callers:
    """Calls all nodes in turn, on two routes."""

    def __init__(self, deployment, routes):
        self.deployment = deployment
        self.routes = routes
        self.calls = []
        self.tasks = set()
        self.longest_lag_s = 0.0

    async def call_on(self):
        places = [(node, route) for node in self.deployment.nodes for route in self.routes]
        for node, route in itertools.cycle(places):
            task = asyncio.ensure_future(self._call(node, route))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            asleep_at = time.monotonic()
            await asyncio.sleep(CALL_SPACING_S)
            lag_s = time.monotonic() - asleep_at - CALL_SPACING_S
            self.longest_lag_s = max(self.longest_lag_s, lag_s)

    async def _call(self, node, route):
        headers = prompt_headers("model-1") if route == "stream" else {}
        called = Called(node.name, time.monotonic())
        # At the end of a scenario nodes are killed under open calls.
        with suppress(aiohttp.ClientError):
            status, answered, _, _ = await self.deployment.call(
                node, f"/{route}/x", **headers, **{NODE_HEADER: node.name}
            )
            called.ended_at, called.status = time.monotonic(), status
            if "Retry-After" in answered:
                called.retry_after_s = float(answered["Retry-After"])
            self.calls.append(called)


@given('callers that call all nodes on "{first}" and "{second}" and know where they called')
def step_callers(context, first, second):
    context.callers = Callers(context.deployment, (first, second))
    context.run(start(context))


async def start(context):
    context.calling = asyncio.ensure_future(context.callers.call_on())
    await asyncio.sleep(1.5)


def busiest_of_each(context):
    engines = context.deployment.engines.values()
    kinds = [[e for e in engines if e.service == service] for service in ("desk", "llm")]
    return [max(kind, key=lambda engine: len(engine.arrivals)) for kind in kinds]


@when(
    "an engine of each kind says in all its answers that it leaves, its record stays ready,"
    " goes for {seconds:g} s and is back"
)
def step_leave(context, seconds):
    context.run(leave(context, seconds))


async def leave(context, seconds):
    context.speaking = busiest_of_each(context)
    for engine in context.speaking:
        engine.leaving_in = ANSWER_KINDS
    context.said_at = time.monotonic()
    await asyncio.sleep(1.0)
    for engine in context.speaking:
        context.deployment.store.remove(f"servers/{engine.engine_id}")
    await asyncio.sleep(seconds)
    for engine in context.speaking:
        context.deployment.record(engine)


@when("an engine of each kind turns all away and asks for {seconds:d} s of rest")
def step_rest(context, seconds):
    context.speaking, context.rest_s = busiest_of_each(context), seconds
    rest(context)


@when("all engines turn all away and ask for {seconds:d} s of rest")
def step_all_rest(context, seconds):
    context.speaking, context.rest_s = list(context.deployment.engines.values()), seconds
    rest(context)


def rest(context):
    for engine in context.speaking:
        engine.retry_after = str(context.rest_s)
    context.said_at = time.monotonic()


@when("the last node is killed and starts again under these callers")
def step_restart_last(context):
    context.run(restart_last(context))


async def restart_last(context):
    node = context.deployment.nodes[-1]
    await node.stop()
    await node.start()
    await context.deployment.ready(node)


@when("these callers go on for {seconds:g} s")
def step_go_on(context, seconds):
    context.run(go_on(context, seconds))


async def go_on(context, seconds):
    await asyncio.sleep(seconds)
    context.calling.cancel()
    await asyncio.gather(*context.callers.tasks)


@then("no request reached such an engine later than {seconds:g} s after its first such answer")
def step_left_alone(context, seconds):
    for engine in context.speaking:
        since_s = [arrival.at - context.said_at for arrival in engine.arrivals]
        assert any(at_s < 0 for at_s in since_s), "nothing reached it before"
        first_s = min((at_s for at_s in since_s if at_s > 0), default=0.0)
        late = [round(at_s, 2) for at_s in since_s if at_s > first_s + seconds]
        assert not late, told(context, engine, late)


def told(context, engine, late):
    # Engines and callers share one loop with the store: its lag makes arrivals look late.
    lag_s = round(context.callers.longest_lag_s, 2)
    return f"{engine.engine_id}: {len(late)} requests, {late[0]} to {late[-1]} s; own lag {lag_s} s"


@then(
    "no node sent such an engine anything from {seconds:g} s after such an answer"
    " until its rest was over"
)
def step_rested(context, seconds):
    for engine in context.speaking:
        refused = [arrival for arrival in engine.arrivals if arrival.refused]
        assert refused, "nothing was turned away"
        late = [
            round(later.at - context.said_at, 2)
            for later in engine.arrivals
            if any(is_within_rest(context, known, later, seconds) for known in refused)
        ]
        assert not late, told(context, engine, late)


def is_within_rest(context, known, later, seconds):
    if later.headers[NODE_HEADER] != known.headers[NODE_HEADER]:
        return False
    return seconds < later.at - known.at < context.rest_s


def since_word(context, after_s=0.0):
    return [call for call in context.callers.calls if call.at > context.said_at + after_s]


@then("all of these callers were served")
def step_all_served(context):
    failed = [call for call in since_word(context) if call.status != SERVED]
    assert not failed, (len(failed), failed[0])


@then("at most {share:g} of these callers were refused")
def step_few_refused(context, share):
    calls = since_word(context)
    refused = [call for call in calls if call.status != SERVED]
    assert len(refused) <= share * len(calls), (len(refused), len(calls), refused[0])


@then(
    "those who called after the first {seconds:g} s were refused within {held:g} s,"
    " and told to come back after the rest"
)
def step_refused_at_once(context, seconds, held):
    calls = since_word(context, seconds)
    assert calls
    for call in calls:
        assert call.status == UNAVAILABLE, call
        assert call.ended_at - call.at < held + context.callers.longest_lag_s, call
        # No engine was asked before the others had begun their rest, nor is asked again.
        ends_in_s = context.said_at + context.rest_s - call.ended_at
        assert call.retry_after_s is not None and call.retry_after_s > ends_in_s - 0.1, call
