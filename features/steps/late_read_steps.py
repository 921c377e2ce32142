"""Steps on the time between the last bytes of a response and the close of its connection."""

import asyncio
import contextlib
import socket
import threading
import time

import uvloop
from behave import given, then, when

from liftrill import clock
from liftrill.gateway.http_client import new_engine_session
from liftrill.gateway.response_reader import ResponseEnd

NEW_LOOP = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
BODY = b"last bytes"
# Longer than the loop takes to read the head.
BODY_DELAY_S = 0.05
ANSWERS = 3
MAX_MARKS_S = 1.0


class ClosingEngine(threading.Thread):
    """An engine, in a thread of its own, whose answers end with their connections."""

    def __init__(self, close_delay_s):
        super().__init__(daemon=True)
        self._close_delay_s = close_delay_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}/"

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                self._serve(self._listener.accept()[0])

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve(self, connection):
        with connection:
            connection.recv(65536)
            connection.sendall(HEAD)
            time.sleep(BODY_DELAY_S)
            connection.sendall(BODY)
            time.sleep(self._close_delay_s)


@given("an engine that closes its connection {delay:d} ms after the last bytes of an answer")
def step_engine(context, delay):
    context.engine = ClosingEngine(delay / 1000)
    context.engine.start()
    context.stack.callback(context.engine.close)


def keep_busy(seconds):
    """Keep the loop from reading, as work does that never waits."""
    time.sleep(seconds)


async def read_answer(session, url, begin_s, end_s):
    """Read one answer, while the loop is busy for a time, and return when it was closed."""
    async with session.get(url) as response:
        end = ResponseEnd(response)
        assert await response.content.readany() == BODY
        await asyncio.sleep(begin_s)
        keep_busy(end_s - begin_s)
        assert await response.content.read() == b""
        return end.times


@when("a {loop} loop reads the answer, and is busy from {begin:d} to {end:d} ms after these bytes")
def step_read(context, loop, begin, end):
    async def read():
        async with new_engine_session() as session:
            return await read_answer(session, context.engine.url, begin / 1000, end / 1000)

    with asyncio.Runner(loop_factory=NEW_LOOP[loop]) as runner:
        context.times = runner.run(read())


@then("the engine may have closed the connection {least:d} to {most:d} ms after them")
def step_shortest(context, least, most):
    shortest_ms = 1000 * context.times.shortest_delay_s
    assert least <= shortest_ms <= most, (shortest_ms, context.times)


@when("answers that end with their connections are over")
def step_over(context):
    polls = clock.PollClock()

    async def observe():
        for _ in range(ANSWERS):
            polls.begin()
        await asyncio.sleep(clock.POLL_MARK_S)
        for _ in range(ANSWERS):
            polls.end()
        await asyncio.sleep(MAX_MARKS_S)
        context.marked_at, context.ended_at = polls.polled_at, clock.now_s()

    context.run(observe())


@then("nothing is left to run in the loop")
def step_nothing_left(context):
    assert context.ended_at - context.marked_at > MAX_MARKS_S / 2, "the loop is still observed"
