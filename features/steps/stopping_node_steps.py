"""Steps on nodes that stop while what they wait for does not answer, as separate processes."""

import asyncio
import itertools
import re
import signal
import time
from dataclasses import dataclass

from behave import given, then, when

from features.standin.connections import connect
from features.standin.deployment import BOUNDS, HOST, KEY

LEADER_KEY = "liftrill/leader"
BODY = b"body"
SERVED, UNAVAILABLE = 200, 503
# No request that is sent later than this after the signal counts as planned work.
LAST_BEGIN_S = 3.0
# When requests are sent, after the signal, away from the time at which the node refuses them.
SEND_TIMES_S = (1.8, 2.0, 2.2, 2.4, 3.2, 3.4, 3.6, 3.8, 4.0)
# Requests whose bodies arrive by then are served.
SERVED_UNTIL_S = 2.5
# By the callers: how long after its head the body of a request is sent.
BODY_DELAYS_S = {"callers with bodies 0.7 s late": 0.7, "callers with bodies 1.5 s late": 1.5}
OPEN_CONNECTIONS = "callers with open connections"
SILENT_BEFORE_S = 0.1
SILENT_AFTER_S = 0.3
READ_TIMEOUT_S = 9.0
_ids = itertools.count(1)


@dataclass
class Call:
    """A request to a stopping node, and what came back.

    Attributes:
        sent_s: when its head was sent, after the signal.
        complete_s: when its body was sent, after the signal.
    """

    attempt_id: str
    sent_s: float
    complete_s: float
    answer: bytes = b""

    @property
    def status(self):
        found = re.match(rb"HTTP/1\.1 (\d+) ", self.answer)
        return int(found[1]) if found else 0

    @property
    def is_whole(self):
        return self.answer.endswith(f"answer to {self.attempt_id}".encode())


def request_head(attempt_id, path):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt_id}\r\n"
        f"Authorization: Token {KEY}\r\nX-Deadline-Ms: 10000\r\nContent-Length: {len(BODY)}\r\n\r\n"
    ).encode()


@given("whole answers take {seconds:g} s")
def step_slow_answers(context, seconds):
    context.body_seconds = seconds
    context.deployment.configure(6, timeout_ms=10_000)


@given("a node that leads")
def step_leading_node(context):
    deployment = context.deployment

    async def add():
        node = await deployment.add_node("node-1")
        await deployment.ready(node)

        async def leads():
            return deployment.store.value(LEADER_KEY) is not None

        await deployment.wait_until(leads)

    context.run(add())


@when("the node is asked to stop as the store {store}, and {callers} call it")
def step_stop(context, store, callers):
    context.run(stop(context, store, callers))


async def stop(context, store, callers):
    deployment, node = context.deployment, context.deployment.nodes[0]
    connections = []
    if callers == OPEN_CONNECTIONS:
        connections = [await used_connection(context) for _ in SEND_TIMES_S]
    for engine in deployment.engines.values():
        engine.body_seconds = context.body_seconds
    if store == "is silent":
        deployment.store.fault = "silent"
        await asyncio.sleep(SILENT_BEFORE_S)
    elif store == "is 0.75 s late":
        deployment.store.delay_s = 0.75
    context.stopped_at = time.monotonic()
    node.signal(signal.SIGTERM)
    delay_s = BODY_DELAYS_S.get(callers, 0.0)
    pairs = itertools.zip_longest(SEND_TIMES_S, connections)
    calls = [send(context, at_s, delay_s, connection) for at_s, connection in pairs]
    sending = asyncio.gather(*calls)
    if store == "falls silent then":
        await asyncio.sleep(SILENT_AFTER_S)
        deployment.store.fault = "silent"
    context.calls = await sending
    context.exit_code = await asyncio.wait_for(node.process.wait(), BOUNDS["GraceS"])
    context.ended_s = time.monotonic() - context.stopped_at


async def used_connection(context):
    """Return a connection to the node that has served a request."""
    reader, writer = await connect(context.deployment.nodes[0].address("Front"))
    attempt_id = f"kept{next(_ids)}"
    writer.write(request_head(attempt_id, "/safe/x") + BODY)
    await asyncio.wait_for(reader.readuntil(f"answer to {attempt_id}".encode()), READ_TIMEOUT_S)
    return reader, writer


async def send(context, at_s, body_delay_s, connection):
    """Send a request at a time after the signal, and read its answer to the end."""
    call = Call(f"stop{next(_ids)}", at_s, at_s + body_delay_s)
    await asyncio.sleep(context.stopped_at + at_s - time.monotonic())
    try:
        reader, writer = connection or await connect(context.deployment.nodes[0].address("Front"))
        writer.write(request_head(call.attempt_id, "/safe/x"))
        await asyncio.sleep(body_delay_s)
        writer.write(BODY)
        call.answer = await asyncio.wait_for(reader.read(-1), READ_TIMEOUT_S)
        writer.close()
    except ConnectionError:
        # The node has stopped listening, or has ended.
        pass
    return call


def begun(context):
    """Return when each request was begun at an engine, after the signal, by its id."""
    arrivals = context.deployment.arrivals()
    return {a.attempt_id: a.at - context.stopped_at for a in arrivals if a.ran}


@then("each request that an engine began was begun within 3 s of the signal and answered whole")
def step_begun_whole(context):
    began = begun(context)
    wrong = [
        (call.complete_s, round(began[call.attempt_id], 2), call.status)
        for call in context.calls
        if call.attempt_id in began
        and not (began[call.attempt_id] <= LAST_BEGIN_S and call.is_whole)
    ]
    assert not wrong, f"sent, begun and status: {wrong}"
    early = [call for call in context.calls if call.complete_s <= SERVED_UNTIL_S]
    assert all(call.attempt_id in began for call in early), [call.status for call in early]


@then("the others were refused as not run")
def step_refused(context):
    began = begun(context)
    others = [call for call in context.calls if call.attempt_id not in began]
    answered = [call for call in others if call.answer]
    assert others, "all requests were begun"
    for call in answered:
        assert call.status == UNAVAILABLE and b"Retry-After" in call.answer, call


@then("the node has ended within its grace time")
def step_ended(context):
    assert context.exit_code == 0, context.exit_code
    assert context.ended_s < BOUNDS["GraceS"], context.ended_s


@when("the second node is asked to stop, and {seconds:g} s later a client calls the first")
def step_stop_proxy(context, seconds):
    first, second = context.deployment.nodes

    async def call():
        second.signal(signal.SIGTERM)
        await asyncio.sleep(seconds)
        return await context.deployment.call(first, "/safe/late")

    context.answer = context.run(call())


@then("the request was begun at no engine, and was refused as not run")
def step_not_begun(context):
    status, headers, _, _ = context.answer
    targets = [arrival.target for arrival in context.deployment.arrivals()]
    assert "/safe/late" not in targets
    assert status == UNAVAILABLE and "Retry-After" in headers, (status, dict(headers))
