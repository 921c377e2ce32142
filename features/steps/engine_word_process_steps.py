"""Steps on signals in the answers of engines, with nodes as separate processes."""

import asyncio
import itertools
import time
from contextlib import suppress
from dataclasses import dataclass

import aiohttp
from behave import given, then, when

from features.standin.deployment import prompt_headers
from features.standin.engine import ANSWER_KINDS
from liftrill.gateway.http_headers import UnreadHeaders

CALL_SPACING_S = 0.02
# A header that nodes forward, by which an engine sees the node that sent a request.
NODE_HEADER = "X-Sent-Through"
SERVED, UNAVAILABLE = 200, 503


@dataclass
class CallOutcome:
    """A call to a node and its outcome."""

    node: str
    at: float
    ended_at: float = 0.0
    status: int = 0
    retry_after_s: float | None = None


class Callers:
    """Calls all nodes in turn on each route, and records the outcome of each call."""

    def __init__(self, deployment, routes):
        self.deployment = deployment
        self.routes = routes
        self.calls = []
        self.tasks = set()
        self.longest_lag_s = 0.0

    async def call_in_turn(self):
        targets = [(node, route) for node in self.deployment.nodes for route in self.routes]
        for node, route in itertools.cycle(targets):
            task = asyncio.ensure_future(self._call(node, route))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            before_sleep = time.monotonic()
            await asyncio.sleep(CALL_SPACING_S)
            lag_s = time.monotonic() - before_sleep - CALL_SPACING_S
            self.longest_lag_s = max(self.longest_lag_s, lag_s)

    async def _call(self, node, route):
        headers = prompt_headers("model-1") if route == "stream" else {}
        outcome = CallOutcome(node.name, time.monotonic())
        # At the end of a scenario nodes are killed under open calls.
        with suppress(aiohttp.ClientError):
            status, answered, _, _ = await self.deployment.call(
                node, f"/{route}/x", **headers, **{NODE_HEADER: node.name}
            )
            outcome.ended_at, outcome.status = time.monotonic(), status
            if "Retry-After" in answered:
                outcome.retry_after_s = float(answered["Retry-After"])
            self.calls.append(outcome)


@given('callers that call all nodes on "{first}" and "{second}" and know where they called')
def step_callers(context, first, second):
    context.callers = Callers(context.deployment, (first, second))
    context.run(start(context))


async def start(context):
    context.calling = asyncio.ensure_future(context.callers.call_in_turn())
    await asyncio.sleep(1.5)


def busiest_of_each(context):
    engines = context.deployment.engines.values()
    kinds = [[e for e in engines if e.service == service] for service in ("desk", "llm")]
    return [max(kind, key=lambda engine: len(engine.arrivals)) for kind in kinds]


@when(
    "an engine of each kind announces in all its answers that it is leaving, its record stays"
    " ready, is removed for {seconds:g} s and written again"
)
def step_announce_leaving(context, seconds):
    context.run(announce_leaving(context, seconds))


async def announce_leaving(context, seconds):
    context.signalling = busiest_of_each(context)
    for engine in context.signalling:
        engine.leaving_in = ANSWER_KINDS
    context.said_at = time.monotonic()
    await asyncio.sleep(1.0)
    for engine in context.signalling:
        context.deployment.store.remove(f"servers/{engine.engine_id}")
    await asyncio.sleep(seconds)
    for engine in context.signalling:
        context.deployment.record(engine)


@when("an engine of each kind refuses all requests and asks for {seconds:d} s of backoff")
def step_backoff(context, seconds):
    context.signalling, context.backoff_s = busiest_of_each(context), seconds
    start_backoff(context)


@when("all engines refuse all requests and ask for {seconds:d} s of backoff")
def step_all_back_off(context, seconds):
    context.signalling, context.backoff_s = list(context.deployment.engines.values()), seconds
    start_backoff(context)


def start_backoff(context):
    for engine in context.signalling:
        engine.retry_after = str(context.backoff_s)
    context.said_at = time.monotonic()


@when("the last node is killed and restarts while these callers go on")
def step_restart_last(context):
    context.run(restart_last(context))


async def restart_last(context):
    node = context.deployment.nodes[-1]
    await node.stop()
    await node.start()
    await context.deployment.ready(node)


@when("these callers go on for {seconds:g} s")
def step_continue(context, seconds):
    context.run(continue_calls(context, seconds))


async def continue_calls(context, seconds):
    await asyncio.sleep(seconds)
    context.calling.cancel()
    await asyncio.gather(*context.callers.tasks)


@then("no request reached such an engine later than {seconds:g} s after its first such answer")
def step_nothing_after_signal(context, seconds):
    for engine in context.signalling:
        since_s = [arrival.at - context.said_at for arrival in engine.arrivals]
        assert any(at_s < 0 for at_s in since_s), f"{engine.engine_id} got none before"
        first_s = min((at_s for at_s in since_s if at_s > 0), default=0.0)
        late = [round(at_s, 2) for at_s in since_s if at_s > first_s + seconds]
        assert not late, describe_late(context, engine, late)


def describe_late(context, engine, late):
    # Engines, callers and the store share one event loop: its lag delays the recorded arrivals.
    lag_s = round(context.callers.longest_lag_s, 2)
    return (
        f"{engine.engine_id}: {len(late)} late requests at {late[0]} to {late[-1]} s; lag {lag_s} s"
    )


@then(
    "no node sent such an engine anything from {seconds:g} s after such an answer"
    " until its backoff ended"
)
def step_not_sent_during_backoff(context, seconds):
    for engine in context.signalling:
        refused = [arrival for arrival in engine.arrivals if arrival.refused]
        assert refused, f"{engine.engine_id} refused no request"
        late = [
            round(later.at - context.said_at, 2)
            for later in engine.arrivals
            if any(is_within_backoff(context, refusal, later, seconds) for refusal in refused)
        ]
        assert not late, describe_late(context, engine, late)


def is_within_backoff(context, refusal, later, seconds):
    if later.headers[NODE_HEADER] != refusal.headers[NODE_HEADER]:
        return False
    return seconds < later.at - refusal.at < context.backoff_s


def calls_since_signal(context, after_s=0.0):
    return [call for call in context.callers.calls if call.at > context.said_at + after_s]


@then("all of these callers were served")
def step_all_served(context):
    failed = [call for call in calls_since_signal(context) if call.status != SERVED]
    assert not failed, (len(failed), failed[0])


@then("at most {share:g} of these callers were refused")
def step_few_refused(context, share):
    calls = calls_since_signal(context)
    refused = [call for call in calls if call.status != SERVED]
    assert len(refused) <= share * len(calls), (len(refused), len(calls), refused[0])


@then(
    "those who called after the first {seconds:g} s were refused within {longest:g} s,"
    " and told to retry after the backoff"
)
def step_refused_at_once(context, seconds, longest):
    calls = calls_since_signal(context, seconds)
    assert calls
    for call in calls:
        assert call.status == UNAVAILABLE, call
        assert call.ended_at - call.at < longest + context.callers.longest_lag_s, call
        # Retry-After covers the rest of the backoff: no engine takes requests before its end.
        ends_in_s = context.said_at + context.backoff_s - call.ended_at
        assert call.retry_after_s is not None and call.retry_after_s > ends_in_s - 0.1, call


@when("its engine announces a mood and a color in all answers, and {count:d} requests are served")
def step_unread(context, count):
    deployment = context.deployment
    (engine,) = deployment.engines.values()
    engine.other_headers = {"Server-Mood": "sad", "server-color": "red"}

    async def call_all():
        return [await deployment.call(deployment.nodes[0], "/safe/x") for _ in range(count)]

    assert all(answer[0] == SERVED for answer in context.run(call_all()))


@then("the node has logged each of the two names once, and counts {count:d}")
def step_unread_logged(context, count):
    (node,) = context.deployment.nodes
    names = sorted(row["name"] for row in context.deployment.logged("unread_header"))
    assert names == ["server-color", "server-mood"], names

    async def metrics():
        async with context.deployment.session.get(
            f"http://{node.address('Metrics')}/metrics"
        ) as answer:
            return await answer.text()

    assert f"liftrill_unread_headers_total {float(count)}" in context.run(metrics())


@given("headers of {count:d} names of the families x- and y-, and of {other:d} other names")
def step_many_headers(context, count, other):
    families = ("x-", "y-")
    names = [f"{families[number % 2].upper()}{number}" for number in range(count)]
    context.names = [*names, *(f"z-{number}" for number in range(other))]
    context.reported = []
    context.unread = UnreadHeaders(families, {"x-0", "y-1"}, context.reported.append)


@when("they come twice")
def step_come_twice(context):
    for _ in range(2):
        context.unread.check(context.names)


@then("{count:d} names are reported, each once, and none that is read")
def step_reported(context, count):
    assert len(context.reported) == len(set(context.reported)) == count
    assert not {"x-0", "y-1"} & set(context.reported)
    assert all(name.startswith(("x-", "y-")) for name in context.reported)
