"""Steps on the replies that follow event streams on their connections, with a scripted engine."""

import asyncio
import time
from contextlib import suppress

from aiohttp.helpers import DEFAULT_CHUNK_SIZE
from behave import then, when

from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.http_client import new_engine_session
from liftrill.gateway.response_reader import EventReader

EVENT_S, LATER_S = 0.01, 0.01
DEADLINE_S, MAX_STREAM_S = 10.0, 12.0
# The room of a reader, and the size of events of which 26 fit into it, but 27 do not.
READER_BYTES = 2 * DEFAULT_CHUNK_SIZE
LARGE_EVENT_BYTES = READER_BYTES // 26 - 40
FITTING_EVENTS, PAUSE_S = 26, 0.05
QUESTION_PATH = "/reply"
LAST_CHUNK = b"0\r\n\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
WITH_LENGTH = STATUS_LINE + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n"


def event_chunk(number, size=0):
    """Return the chunk of an event, which has a filler of a size."""
    event = f"id: {number}\ndata: token {number}{'.' * size}\n\n"
    return f"{len(event):x}\r\n{event}\r\n".encode()


# The segments of replies, a short time apart; an engine that sends no length closes after them.
REPLIES = {
    "a length": [WITH_LENGTH],
    "a length, byte by byte": [WITH_LENGTH[at : at + 1] for at in range(len(WITH_LENGTH))],
    "another status": [WITH_LENGTH.replace(b"200 OK", b"503 No")],
    "an interim response before": [b"HTTP/1.1 103 Early\r\n\r\n", WITH_LENGTH],
    "no length, the body later": [STATUS_LINE + b"\r\n", b"hello", b"world", None],
    "no length, the body later, HTTP/1.0": [b"HTTP/1.0 200 OK\r\n\r\n", b"hello", None],
    "chunks": [CHUNKED + b"\r\n5\r\nhello\r\n", LAST_CHUNK],
    "chunks, a malformed size": [CHUNKED + b"\r\n5\r\nhello\r\nx\r\n"],
    "chunks, an announced trailer field": [
        CHUNKED + b"Trailer: X-Sum\r\n\r\n5\r\nhello\r\n",
        b"0\r\nX-Sum: 1\r\n\r\n",
    ],
}
ENDLESS_CHUNK_BYTES, ENDLESS_CHUNKS = 60_000, 1_000
REPLIES["chunks without end"] = [
    CHUNKED + b"\r\n",
    *[event_chunk(0, ENDLESS_CHUNK_BYTES)] * ENDLESS_CHUNKS,
]
REST = event_chunk(3) + event_chunk(4) + LAST_CHUNK
REPLIES |= {
    "a length, the rest at once": [WITH_LENGTH + REST],
    "a length, half of the rest at once": [WITH_LENGTH + REST[: len(REST) // 2]],
    "chunks, the rest at once": [CHUNKED + b"\r\n5\r\nhello\r\n" + LAST_CHUNK + REST],
    "a status without a body, the rest at once": [b"HTTP/1.1 204 No\r\n\r\n" + REST],
    "a length, the rest later": [WITH_LENGTH, REST],
}


class ScriptedEngine:
    """An engine that sends given segments for each stream, and for each question after one."""

    def __init__(self, stream, reply):
        self._stream = stream
        self._reply = reply
        self.connections = 0
        self._serving = set()

    async def serve(self, reader, writer):
        """Answer the requests of a connection."""
        self.connections += 1
        self._serving.add(asyncio.current_task())
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                is_question = head.startswith(f"GET {QUESTION_PATH} ".encode())
                await self._send(writer, self._reply if is_question else self._stream)
        writer.close()

    async def wait_until_idle(self):
        """Wait until all connections have ended."""
        await asyncio.gather(*self._serving)

    async def _send(self, writer, segments):
        """Send segments, wait for the seconds between them, and close at None."""
        for segment in segments:
            if writer.is_closing():
                return
            if segment is None:
                writer.close()
            elif isinstance(segment, float):
                await asyncio.sleep(segment)
            else:
                writer.write(segment)
                await asyncio.sleep(0.0005 if len(segment) == 1 else LATER_S)


async def read_stream(session, url, begins_after_s=0.0):
    """Return how many events a stream has, and the event at its end."""
    async with asyncio.timeout(MAX_STREAM_S):
        response = await session.post(url)
        reader, count = EventReader(response, b""), 0
        reader.watch_end(lambda: None, clock.now_s() + DEADLINE_S, QUESTION_PATH)
        await asyncio.sleep(begins_after_s)
        while True:
            for received in await reader.read():
                if not isinstance(received, events.EventReceived):
                    response.close()
                    return count, received
                count += 1


async def read_streams(context, how_many, begins_after_s=0.0):
    """Read streams of the engine one after the other, and note their ends."""
    server = await asyncio.start_server(context.engine.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        async with new_engine_session() as session:
            url = f"http://{host}:{port}/"
            context.ends = [
                await read_stream(session, url, begins_after_s) for _ in range(how_many)
            ]
        await context.engine.wait_until_idle()


@when('an engine sends {count:d} events, and replies "{reply}" after the end')
def step_reply(context, count, reply):
    stream = [STREAM_HEAD, *map(event_chunk, range(1, count + 1)), LAST_CHUNK]
    context.engine = ScriptedEngine(stream, REPLIES[reply])


@then("{how_many:d} such streams end as complete after {count:d} events")
def step_complete(context, how_many, count):
    context.run(read_streams(context, how_many))
    print(context.ends, context.engine.connections)
    assert context.ends == [(count, events.StreamCompleted())] * how_many, context.ends


@then("{how_many:d} such streams end as complete after {count:d} events, within {seconds:g} s")
def step_complete_soon(context, how_many, count, seconds):
    began_at = time.monotonic()
    step_complete(context, how_many, count)
    took_s = time.monotonic() - began_at
    print(f"{took_s:.2f} s")
    assert took_s < seconds, took_s


@then("{how_many:d} such streams are interrupted after {count:d} events")
def step_interrupted(context, how_many, count):
    context.run(read_streams(context, how_many))
    print(context.ends, context.engine.connections)
    assert len(context.ends) == how_many
    for events_before, end in context.ends:
        assert isinstance(end, events.AttemptInterrupted), context.ends
        assert events_before == count and end.is_rejected, context.ends


def full_room(*rest):
    """Return the segments of a stream whose last chunk comes with the event that fills a room."""
    *fitting, filling = (event_chunk(n + 1, LARGE_EVENT_BYTES) for n in range(FITTING_EVENTS + 1))
    return [STREAM_HEAD, *fitting, PAUSE_S, filling + LAST_CHUNK, *rest]


@when(
    "an engine sends an early last chunk as the reader's room is full,"
    " and the rest {later:g} s later"
)
def step_early_in_full_room(context, later):
    context.engine = ScriptedEngine(full_room(later, REST), REPLIES["a length"])


@when("an engine sends a stream whose end comes as the reader's room is full")
def step_end_in_full_room(context):
    context.engine = ScriptedEngine(full_room(), REPLIES["a length"])


@then("the stream is interrupted, though it is read only {seconds:g} s later")
def step_interrupted_late(context, seconds):
    context.run(read_streams(context, 1, seconds))
    ((count, end),) = context.ends
    print(count, end)
    assert isinstance(end, events.AttemptInterrupted) and end.is_rejected, (count, end)
    assert count <= FITTING_EVENTS + 1


@then(
    "{how_many:d} such streams that are read {seconds:g} s later end as complete, on 1 connection"
)
def step_complete_late(context, how_many, seconds):
    context.run(read_streams(context, how_many, seconds))
    print(context.ends, context.engine.connections)
    whole = (FITTING_EVENTS + 1, events.StreamCompleted())
    assert context.ends == [whole] * how_many, context.ends
    assert context.engine.connections == 1, context.engine.connections
