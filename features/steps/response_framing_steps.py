"""Steps on the framing of responses, without a connection."""

import math
import random
import time

from behave import given, then, when

from liftrill.guarded_connection import StreamPace
from liftrill.response_framing import ChunkScanner, HeadScanner, MalformedResponseError

SEED = 11
MAX_PIECES, MAX_PIECE_BYTES = 6, 40
DAMAGE = b"\r\n00f;: \x00x"
BODY_BYTES = b"id: 1\r\n\ndata\r\n\r\n0"
TRAILERS = ("Digest", "expires")


def random_body(rng):
    """Return a body in chunks, with extensions and trailers of its head at times."""
    parts = []
    for _ in range(rng.randint(0, MAX_PIECES)):
        data = bytes(rng.choices(BODY_BYTES, k=rng.randint(1, MAX_PIECE_BYTES)))
        extension = rng.choice((b"", b"", b";a=b"))
        parts.append(f"{len(data):x}".encode() + extension + b"\r\n" + data + b"\r\n")
    trailers = (f"{name}: 1\r\n".encode() for name in TRAILERS if rng.random() < 0.3)
    return b"".join((*parts, b"0\r\n", *trailers, b"\r\n"))


def divided(rng, data):
    """Return bytes in pieces."""
    ends = sorted(rng.sample(range(1, len(data)), rng.randint(0, min(5, len(data) - 1))))
    return [data[a:b] for a, b in zip([0, *ends], [*ends, len(data)], strict=True)]


def scanned(pieces):
    """Return how many bytes a body has, or None if it does not end, or why it is rejected."""
    scanner, read_bytes = ChunkScanner(TRAILERS), 0
    for piece in pieces:
        try:
            read_bytes += scanner.scan(piece)
        except MalformedResponseError:
            return "rejected"
        if scanner.is_complete:
            return read_bytes
    return None


@then("{count:d} random bodies in chunks, divided at random, end at their last byte")
def step_sound(context, count):
    rng = random.Random(SEED)
    for _ in range(count):
        body = random_body(rng)
        assert scanned(divided(rng, body)) == len(body), body


@then("{count:d} random bodies with damaged chunks are read alike however their bytes are divided")
def step_damaged(context, count):
    rng = random.Random(SEED)
    context.rejected_count = 0
    for _ in range(count):
        body = bytearray(random_body(rng))
        body[rng.randrange(len(body))] = rng.choice(DAMAGE)
        data = bytes(body)
        at_once = scanned([data])
        context.rejected_count += at_once == "rejected"
        in_pieces = [scanned(divided(rng, data)) for _ in range(3)]
        in_bytes = scanned([data[at : at + 1] for at in range(len(data))])
        assert {*in_pieces, in_bytes} == {at_once}, (data, at_once, in_pieces, in_bytes)


@then("more than {count:d} of them are rejected")
def step_rejected(context, count):
    print(f"{context.rejected_count} rejected")
    assert context.rejected_count > count


@when("{count:d} bytes without a line end arrive after the size of a chunk")
def step_long_line(context, count):
    scanner = ChunkScanner()
    scanner.scan(b"5;a=")
    context.read_bytes, context.error = 0, None
    try:
        for _ in range(count):
            context.read_bytes += 1
            scanner.scan(b"b")
    except MalformedResponseError as error:
        context.error = error


@then("the body is rejected within {count:d} bytes")
def step_rejected_within(context, count):
    assert context.error is not None
    assert context.read_bytes <= count, context.read_bytes


@when("{count:d} bytes of a head arrive byte by byte")
def step_head_bytes(context, count):
    heads = HeadScanner()
    line = b"X-Note: " + 90 * b"a" + b"\r\n"
    data = (b"HTTP/1.1 200 OK\r\n" + line * (count // len(line) + 1))[:count]
    began_at = time.monotonic()
    for at in range(count):
        heads.scan(data[at : at + 1])
    context.took_s = time.monotonic() - began_at


@given("a stream of {count:d} events, {pause:g} s apart, the first one {first:g} s after its head")
def step_stream(context, count, pause, first):
    context.pace = StreamPace()
    context.pace.add_segment(first)
    step_more_events(context, count - 1, pause)


@when("{count:d} more events come, {pause:g} s apart")
def step_more_events(context, count, pause):
    for _ in range(count):
        context.pace.add_segment(pause)


@then("its end is held back for {hold:g} s")
def step_hold(context, hold):
    assert math.isclose(context.pace.end_hold_s, hold, abs_tol=0.001), context.pace.end_hold_s
