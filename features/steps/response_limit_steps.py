"""Steps on the limits of responses, and on the division of streams into events."""

import asyncio
import random
import time

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from behave import given, then, when

from liftrill.gateway.event_stream import EventSplitter
from liftrill.limited_response import LimitedResponse, ResponseCutOffError
from liftrill.response_limits import BodyLimits


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

    def close(self):
        """Close no connection: there is none."""


@given("limits of {largest:d} bytes for a body and {together:d} bytes for all")
def step_limits(context, largest, together):
    context.limits = BodyLimits(largest, together)
    context.evicted = []


def begin(context, number):
    return context.limits.begin(0, lambda error: context.evicted.append(number))


@when("three bodies have received {first:d}, {second:d} and {third:d} bytes")
def step_received(context, first, second, third):
    context.bodies = [begin(context, number) for number in range(3)]
    for body, size in zip(context.bodies, (first, second, third), strict=True):
        context.limits.add(body, bytes(size))


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
