"""Steps on the reuse of connections to engines, over loopback."""

import asyncio

from behave import given, then, when

from features.standin.connections import listen
from liftrill.gateway.http_client import new_engine_session
from liftrill.guarded_connection import idle_limit_s


class Engine:
    """An HTTP engine that answers every request and counts its connections."""

    def __init__(self, header):
        self.header = header
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        line = f"Keep-Alive: {self.header}\r\n" if self.header else ""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(f"HTTP/1.1 200 OK\r\n{line}Content-Length: 2\r\n\r\nok".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@given('an engine whose Keep-Alive header is "{header}"')
@given('an engine whose Keep-Alive header is ""')
def step_engine(context, header=""):
    context.engine = Engine(header)
    context.port = context.run(listen(context.stack, context.engine.serve))


@when("two requests are sent to the engine, {pause:g} s apart")
def step_two_requests(context, pause):
    async def send():
        async with new_engine_session() as session:
            for number in range(2):
                await asyncio.sleep(pause * number)
                async with session.get(f"http://127.0.0.1:{context.port}/") as answer:
                    assert await answer.read() == b"ok"

    context.run(send())


@then("the engine has accepted {count:d} connections")
def step_accepted_connections(context, count):
    assert context.engine.connections == count, context.engine.connections


@then('a connection with the Keep-Alive header "{header}" is reused after up to {limit:g} s idle')
@then('a connection with the Keep-Alive header "" is reused after up to {limit:g} s idle')
def step_limit(context, limit, header=""):
    assert idle_limit_s(header) == limit, idle_limit_s(header)


SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
# By the form of a body: the rest of its head, and the body.
BODIES = {
    "with a length": (b"200 OK\r\nContent-Length: 2", b"ok"),
    "in chunks": (b"200 OK\r\nTransfer-Encoding: chunked", b"2\r\nok\r\n0\r\n\r\n"),
    "without content": (b"204 No Content", b""),
}
BETWEEN_SEGMENTS_S = 0.02


class DoublingEngine(Engine):
    """An HTTP engine that sends a second answer in the segment that ends the first one."""

    async def serve(self, reader, writer):
        self.connections += 1
        head, body = BODIES[self.header]
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 " + head + b"\r\n\r\n")
                await asyncio.sleep(BETWEEN_SEGMENTS_S)
                writer.write(body + SECOND_ANSWER)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@given('an engine whose body "{body}" comes after its head, with a second answer')
def step_doubling(context, body):
    context.engine = DoublingEngine(body)


@when("two requests are sent one after the other")
def step_two(context):
    async def call():
        url = f"http://127.0.0.1:{await listen(context.stack, context.engine.serve)}/"
        context.answers = []
        async with new_engine_session() as session:
            for _ in range(2):
                async with session.get(url) as response:
                    context.answers.append(await response.read())
                await asyncio.sleep(2 * BETWEEN_SEGMENTS_S)

    context.run(call())


@then("each gets the first answer on a connection of its own")
def step_first_answers(context):
    expected = b"" if context.engine.header == "without content" else b"ok"
    assert context.answers == [expected] * 2, context.answers
    assert context.engine.connections == 2, context.engine.connections
