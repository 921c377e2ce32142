"""Steps on drawn sends of a few requests to an engine that repeats answers in later places."""

import asyncio
import random
from contextlib import AsyncExitStack

import aiohttp
from behave import then, when

from features.standin.connections import listen
from liftrill.gateway.http_client import Send, new_engine_session, sending

SEED = 1
SENDS = 8
IDS = ("a1", "a2", "a3")
STATUSES = (200, 421, 503, 500)
REPEATED_SHARE = 0.4
AT_ONCE_SHARE = 0.3
WITH_IDS = "with ids"


class Engine:
    """An engine that answers each send with a number of its own, and repeats some answers.

    The copy of an answer comes where the next answer on its connection is due.
    """

    def __init__(self, draw):
        self._draw = draw
        self._number = 0

    async def serve(self, reader, writer):
        repeated = b""
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                answer = self._answer(fields["X-Attempt-Id"], fields["X-Send"])
                writer.write(repeated + answer)
                repeated = answer if self._draw.random() < REPEATED_SHARE else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer(self, attempt_id, send):
        status = self._draw.choice(STATUSES)
        return (
            f"HTTP/1.1 {status} Status\r\nX-Attempt-Id: {attempt_id}\r\n"
            f"X-Send: {send}\r\nContent-Length: 0\r\n\r\n"
        ).encode()


async def play(draw, has_ids):
    """Return how many answers were taken for those to another send."""
    confused, number = 0, 0
    async with AsyncExitStack() as stack, new_engine_session() as session:
        url = f"http://127.0.0.1:{await listen(stack, Engine(draw).serve)}/"
        while number < SENDS:
            at_once = 2 if draw.random() < AT_ONCE_SHARE else 1
            ids = draw.sample(IDS, at_once)
            sends = [send(session, url, each, number + n, has_ids) for n, each in enumerate(ids)]
            confused += sum(await asyncio.gather(*sends))
            number += at_once
    return confused


async def send(session, url, attempt_id, number, has_ids):
    """Send a request; return whether an answer of the same request to another send was taken."""
    headers = {"X-Attempt-Id": attempt_id, "X-Send": str(number)}
    try:
        with sending(Send(request_id=attempt_id if has_ids else "")):
            response = await session.get(url, headers=headers)
        async with response:
            await response.read()
    except aiohttp.ClientError:
        return False
    if response.headers["X-Attempt-Id"] != attempt_id:
        # A node rejects the answer to another request, and does not use the connection again.
        response.close()
        return False
    return response.headers["X-Send"] != str(number)


@when("{count:d} drawn sequences of sends are played, {named}, whose answers an engine may repeat")
def step_play(context, count, named):
    async def run():
        draw = random.Random(SEED)
        return sum([await play(draw, named == WITH_IDS) for _ in range(count)])

    context.confused = context.run(run())


@then("no answer was taken for another send's")
def step_none(context):
    assert context.confused == 0, context.confused


@then("some answers were taken for another send's")
def step_some(context):
    assert context.confused, "the check finds nothing"
