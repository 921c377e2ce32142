"""Steps on a reader of the store that sends a follower what does not end."""

import asyncio
import base64
import hashlib
import time
from contextlib import suppress
from pathlib import Path

from behave import given, then, when

from features.standin.endless_answers import ENDLESS, PIECE_BYTES
from features.steps.cut_head_reader_steps import WEB_SOCKET_KEY, Listener
from liftrill.gateway.relay_client import ReaderLimits, RelayClient, RelayLostError

KILOBYTE = 1_024
PAUSE_S = 0.002
# A follower that stays is given up after this time.
MAX_FOLLOW_S = 6.0
HANDSHAKE = (
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Accept: {}\r\n"
)
HEADER_LINES = "header lines of 101"


def _repeated(frame):
    return frame * (PIECE_BYTES // len(frame))


# By what does not end after the handshake: what comes first, and what follows again and again.
FRAMES = {
    "pings": (b"", _repeated(b"\x89\x00")),
    "large pings": (b"", _repeated(b"\x89\x7d" + 125 * b"x")),
    "pongs": (b"", _repeated(b"\x8a\x00")),
    "texts": (b"", _repeated(b"\x81\x01a")),
    "one message": (b"\x82\x7f" + (1 << 40).to_bytes(8), PIECE_BYTES * b"x"),
    "fragments": (b"\x02\x01a", _repeated(b"\x00\x7e\x10\x00" + 4096 * b"x")),
    "empty fragments": (b"\x02\x00", _repeated(b"\x00\x00")),
    "other bytes": (b"", PIECE_BYTES * b"x"),
}


def endless(what, key):
    """Return what a reader sends first, and what again and again."""
    if what in ENDLESS:
        status, lines, first, piece = ENDLESS[what]
        head = f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() if status else b""
        return head + first, piece
    accept = base64.b64encode(hashlib.sha1((key + WEB_SOCKET_KEY).encode()).digest()).decode()
    head = HANDSHAKE.format(accept).encode()
    if what == HEADER_LINES:
        return head, _repeated(b"X-A: b\r\n")
    first, piece = FRAMES[what]
    return head + b"\r\n" + first, piece


def peak_mb():
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) / KILOBYTE for line in lines if line.startswith("VmHWM"))


@given('a reader of the store that sends "{what}" without end')
def step_reader(context, what):
    async def serve(stream, writer):
        head = (await stream.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        key = next(line for line in head if line.lower().startswith("sec-websocket-key"))
        first, piece = endless(what, key.split(": ")[1])
        writer.write(first)
        with suppress(OSError):
            while not writer.transport.is_closing():
                if writer.transport.get_write_buffer_size() < len(piece):
                    writer.write(piece)
                await asyncio.sleep(PAUSE_S)

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.stack.callback(server.close)
        context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    context.run(start())


@when("a node follows it")
def step_follow(context):
    async def follow():
        client = RelayClient(Listener(), ReaderLimits("node-2", 1.0))
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_FOLLOW_S):
                try:
                    await client.follow(context.address, 1)
                except RelayLostError as error:
                    return error
        return None

    before_mb, began = peak_mb(), time.monotonic()
    context.error = context.run(follow())
    context.took_s, context.more_mb = time.monotonic() - began, peak_mb() - before_mb
    print(f"{context.took_s:.2f} s, {context.more_mb:.1f} MB more: {context.error!r}"[:200])


@then("it is lost within {seconds:g} s, and the process has grown by at most {megabytes:d} MB")
def step_lost(context, seconds, megabytes):
    assert isinstance(context.error, RelayLostError)
    assert context.took_s <= seconds, context.took_s
    assert context.more_mb <= megabytes, context.more_mb
