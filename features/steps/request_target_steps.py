"""Steps on request targets that a parser of URLs would alter, sent on raw sockets."""

import asyncio

from behave import then, when

from features.standin.connections import connect
from features.standin.deployment import HOST, KEY

PREFIX = "/safe/"
ENDINGS = (
    "x?",
    "x#",
    "x#part",
    "x?#",
    "x?a=b#part",
    "x?a=b?",
    "x??",
    "x?&&",
    "x?=",
    "x?a=%7E&b=%7e",
    "x%2Fy",
    "x%2e%2e/y",
    "x/../y",
    "x/./y",
    "x//y",
    "x;a=b",
    "x;?",
    "x:y@z",
    "x?a=http://other.example/?b#c",
    "%C3%A4?%C3%A4",
    "x+y?x+y",
)
READ_TIMEOUT_S = 5.0


@when("a client sends requests with unusual targets to the first node")
def step_send(context):
    context.targets = {f"target{n}": PREFIX + ending for n, ending in enumerate(ENDINGS)}
    context.run(send_all(context))


async def send_all(context):
    context.answers = {}
    for attempt_id, target in context.targets.items():
        reader, writer = await connect(context.deployment.nodes[0].address("Front"))
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"Authorization: Token {KEY}\r\nX-Deadline-Ms: 4000\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        answer = await asyncio.wait_for(reader.read(-1), READ_TIMEOUT_S)
        context.answers[attempt_id] = answer.split(b"\r\n", 1)[0]
        writer.close()


@then("each reached an engine with its target as it was sent")
def step_unaltered(context):
    arrivals = context.deployment.arrivals()
    arrived = {a.attempt_id: a.target for a in arrivals if a.attempt_id in context.targets}
    altered = {
        target: (arrived.get(attempt_id), context.answers[attempt_id])
        for attempt_id, target in context.targets.items()
        if arrived.get(attempt_id) != target
    }
    assert not altered, altered
