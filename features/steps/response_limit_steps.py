"""Steps on the limits of responses, and on the division of streams into events."""

import asyncio
import random
import time

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.helpers import TimerNoop
from behave import given, then, when

from liftrill.gateway.event_stream import EventSplitter
from liftrill.gateway.http_client import new_engine_session
from liftrill.gateway.response_reader import read_whole
from liftrill.limited_response import LimitedResponse, ResponseCutOffError
from liftrill.response_limits import MAX_BODY_BYTES, BodyLimits

# Longer than any body waits behind others that do not end.
WAIT_S = 5.0
SMALL_BODY_S = 0.05
UNFRAMED_PIECES = (b"first", b"last")


class OpenConnection(BaseProtocol):
    """A connection that counts as open."""

    connected = True


class FedResponse(LimitedResponse):
    """A response whose body a test feeds."""

    content_length = None

    def __init__(self, limits):
        loop = asyncio.get_running_loop()
        self.body_limits = limits
        self.content = aiohttp.StreamReader(OpenConnection(loop), 2**16, loop=loop)
        self._body = None
        self._connection = None
        self._timer = TimerNoop()

    def close(self):
        """Close no connection: there is none."""


@given("limits of {largest:d} bytes for a body and {together:d} bytes for all")
def step_limits(context, largest, together):
    context.limits = BodyLimits(largest, together)
    context.small_bytes = 0
    context.evicted = []


def begin(context, number):
    return context.limits.begin(0, lambda error: context.evicted.append(number))


@when("three bodies have received {first:d}, {second:d} and {third:d} bytes")
def step_received(context, first, second, third):
    context.bodies = [begin(context, number) for number in range(3)]
    for body, size in zip(context.bodies, (first, second, third), strict=True):
        context.limits.add(body, bytes(size))


@when("three bodies are offered {first:d}, {second:d} and {third:d} bytes")
def step_offered(context, first, second, third):
    context.bodies = [begin(context, number) for number in range(3)]
    sizes = (first, second, third)
    for body, size in zip(context.bodies, sizes, strict=True):
        context.limits.offer(body, bytes(size))


@then("the last one waits until the first one has ended")
def step_waits(context):
    first, _, last = context.bodies
    assert last.waiting and not last.pieces, last
    context.limits.end(first)
    assert not last.waiting and last.pieces, last


@then(
    "{count:d} random plays of bodies within limits of {largest:d} and {together:d} bytes"
    " complete all of them"
)
def step_random_plays(context, count, largest, together):
    waited = [play_bodies(random.Random(seed), largest, together) for seed in range(count)]
    print(f"{sum(waited)} pieces waited, in {sum(map(bool, waited))} plays")
    assert any(waited)


def play_bodies(rng, largest, together):
    """Let bodies receive pieces in a random order; return how many pieces waited.

    None may give way or wait for ever.
    """
    limits = BodyLimits(largest, together)
    missing = {}
    waited = 0
    for _ in range(rng.randrange(2, 30)):
        body = limits.begin(0, lambda error: None)
        missing[body] = rng.randrange(1, largest + 1)
    while missing:
        reading = [body for body in missing if not body.waiting]
        assert reading, f"{len(missing)} bodies wait for each other"
        body = rng.choice(reading)
        if not missing[body]:
            limits.end(body)
            del missing[body]
            continue
        piece = rng.randrange(1, missing[body] + 1)
        missing[body] -= piece
        waited += not limits.offer(body, bytes(piece))
        held = sum(each.held_bytes for each in missing)
        assert held <= together, (held, together)
        assert not any(each.error for each in missing)
    return waited


@given("bodies of {size:d} byte that end one after another beside them")
def step_small_bodies(context, size):
    context.small_bytes = size


async def end_bodies(limits, size):
    """Begin and end small bodies, unless they have no bytes."""
    while size:
        body = limits.begin(0, lambda error: None)
        assert limits.offer(body, bytes(size))
        await asyncio.sleep(SMALL_BODY_S)
        limits.end(body)


@when(
    "two bodies of {first:d} and {second:d} bytes stand still, and one of {third:d} bytes arrives"
)
def step_stand_still(context, first, second, third):
    async def read():
        evicted = asyncio.Event()

        def evict(number):
            context.evicted.append(number)
            evicted.set()

        for number, size in enumerate((first, second)):
            body = context.limits.begin(0, lambda error, number=number: evict(number))
            assert context.limits.offer(body, bytes(size))
        small = asyncio.ensure_future(end_bodies(context.limits, context.small_bytes))
        response = FedResponse(context.limits)
        reading = asyncio.ensure_future(response.read())
        response.content.feed_data(bytes(third))
        began = time.monotonic()
        await asyncio.wait_for(evicted.wait(), WAIT_S)
        context.took_s = time.monotonic() - began
        response.content.feed_eof()
        body = await asyncio.wait_for(reading, WAIT_S)
        small.cancel()
        assert len(body) == third, len(body)

    context.run(read())


@then("the other one is read within {seconds:g} s")
def step_read_within(context, seconds):
    print(f"{context.took_s:.2f} s")
    assert context.took_s <= seconds, context.took_s


@when("a body of {size:d} bytes gives way while it waits to receive {more:d} more")
def step_gives_way_waiting(context, size, more):
    async def read():
        context.limits.add(begin(context, 0), bytes(10))
        response = FedResponse(context.limits)
        reading = asyncio.ensure_future(response.read())
        for piece in (size, more):
            response.content.feed_data(bytes(piece))
            await asyncio.sleep(0.01)
        assert not reading.done()
        context.limits.add(begin(context, 2), bytes(size - 5))
        done, _ = await asyncio.wait({reading}, timeout=WAIT_S)
        return done and reading.exception()

    context.outcome = context.run(read())


@when("an engine closes a connection {seconds:g} s before its body without a length is read")
def step_closes_unread(context, seconds):
    closed = asyncio.Event()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        for piece in UNFRAMED_PIECES:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.close()
        closed.set()

    async def read():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server, new_engine_session() as session:
            limits = session._response_class.body_limits
            limits.begin(0, lambda error: None)
            other = limits.begin(0, lambda error: None)
            assert limits.offer(other, bytes(MAX_BODY_BYTES))
            response = await session.get(f"http://{host}:{port}/")
            reading = asyncio.ensure_future(read_whole(response, ()))
            await closed.wait()
            await asyncio.sleep(seconds)
            assert not reading.done()
            limits.end(other)
            return await asyncio.wait_for(reading, WAIT_S)

    (context.closed,) = context.run(read())


@then("the close counts as at least {seconds:g} s later than the last bytes")
def step_late_close(context, seconds):
    assert context.closed.completed.body == b"".join(UNFRAMED_PIECES), context.closed
    print(f"{context.closed.times.delay_s:.3f} s")
    assert context.closed.times.delay_s >= seconds, context.closed


@when(
    "three bodies have received {first:d}, {second:d} and {third:d} bytes,"
    " each complete before the next"
)
def step_received_in_turn(context, first, second, third):
    for number, size in enumerate((first, second, third)):
        body = begin(context, number)
        context.limits.add(body, bytes(size))
        context.limits.end(body)


@when(
    "a body of {first:d} bytes ends, and gives way to one of {second:d} bytes"
    " before its end is read"
)
def step_gives_way_at_end(context, first, second):
    async def read():
        response = FedResponse(context.limits)
        reading = asyncio.ensure_future(response.read())
        response.content.feed_data(bytes(first))
        await asyncio.sleep(0.01)
        response.content.feed_eof()
        context.limits.add(begin(context, 1), bytes(second))
        return (await asyncio.gather(reading, return_exceptions=True))[0]

    context.outcome = context.run(read())


@then("reading it fails")
def step_reading_fails(context):
    assert isinstance(context.outcome, ResponseCutOffError), repr(context.outcome)


@then("the first one gives way")
def step_first_evicted(context):
    assert context.evicted == [0], context.evicted


@then("the others may still receive {size:d} bytes each")
def step_others(context, size):
    for body in context.bodies[1:]:
        context.limits.add(body, bytes(size))
    assert context.evicted == [0], context.evicted


@then("none gives way")
def step_none_evicted(context):
    assert not context.evicted, context.evicted


@then("{count:d} random divisions of a stream into pieces give its events")
def step_divisions(context, count):
    rng = random.Random(count)
    for _ in range(count):
        blocks = [f"id: {n}\ndata: {'x' * rng.randrange(9)}" for n in range(rng.randrange(1, 9))]
        stream = "".join(f"{block}\n\n" for block in blocks).encode() + b"id: 9\nda"
        splitter, received, at = EventSplitter(), [], 0
        while at < len(stream):
            size = rng.randrange(1, 20)
            received += splitter.feed(stream[at : at + size])
            at += size
        assert [event.data for event in received] == [f"{b}\n\n".encode() for b in blocks]
        assert [event.event_id for event in received] == list(range(len(blocks)))
        assert splitter.has_partial_event


@when("{size:d} bytes of an event arrive byte by byte")
def step_byte_by_byte(context, size):
    splitter = EventSplitter()
    began = time.process_time()
    for _ in range(size):
        assert not splitter.feed(b"x")
    context.took_s = time.process_time() - began


@then("processing them takes at most {seconds:g} s")
def step_took(context, seconds):
    print(f"{context.took_s:.3f} s")
    assert context.took_s <= seconds, context.took_s
