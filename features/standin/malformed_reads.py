"""Reads answers that are malformed or do not end, each by each reader, in a process of its own.

python -m features.standin.malformed_reads malformed READER...
python -m features.standin.malformed_reads endless READER...

Prints a line of JSON: by reader and fault what the reader took the answer for and, for answers
that do not end, how many bytes were sent in how many seconds; and by how many MB the process grew.
"""

import asyncio
import json
import sys
import time
import zlib
from contextlib import suppress
from pathlib import Path

from features.standin.endless_answers import BROKEN, ENDLESS, EVENT_STREAM, send_endless
from features.standin.malformed_answers import CHUNK_FAULTS, FAULTS, LINGER_S, malformed_answer
from features.steps.cut_head_reader_steps import READERS, STREAM_READERS, outcome_of

HOST = "127.0.0.1"
KILOBYTE = 1_024
HEADERS = {"X-Consul-Index": "5"}
COMPRESSED = "compressed body"
ZEROS_BYTES = 1_000_000
BLOCKS = 500
# White space may follow an answer in JSON.
PADDING = ["    ", "    "]
BEFORE = "after a whole body: "


def _compressed():
    """Return the begin of a compressed body, and a piece of it that grows a thousandfold."""
    compressor = zlib.compressobj(wbits=31)
    first = compressor.compress(b"x") + compressor.flush(zlib.Z_FULL_FLUSH)
    block = compressor.compress(bytes(ZEROS_BYTES)) + compressor.flush(zlib.Z_FULL_FLUSH)
    return 200, "Content-Encoding: gzip\r\n", first, BLOCKS * block


ENDLESS[COMPRESSED] = _compressed()


def _halves(body):
    return [body[: len(body) // 2], body[len(body) // 2 :]]


def _quarters(body):
    return [part for half in _halves(body) for part in _halves(half)]


def malformed_answers(reader):
    """Return the malformed answers to a reader, by what is wrong with them."""
    status, body, _ = READERS[reader]
    answers = {
        fault: b"".join(malformed_answer(fault, HEADERS, body, status, _quarters(body)))
        for fault in FAULTS
        if len(body) > len("{}") or fault not in CHUNK_FAULTS
    }
    if reader not in STREAM_READERS:
        pieces = [*_halves(body), *PADDING]
        answers |= {
            BEFORE + fault: b"".join(malformed_answer(fault, HEADERS, body, status, pieces))
            for fault in CHUNK_FAULTS
        }
    return answers


def endless_kinds(reader):
    """Return what does not end in the answers to a reader."""
    events = {kind for kind, (_, lines, _, _) in ENDLESS.items() if lines == EVENT_STREAM}
    return sorted(set(ENDLESS) - set(BROKEN) - (events if reader not in STREAM_READERS else set()))


async def serve(answer):
    """Start a server; `answer` is called with the streams after each request."""

    async def on_connection(stream, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            head = (await stream.readuntil(b"\r\n\r\n")).decode()
            length = [line for line in head.split("\r\n") if line.startswith("Content-Length")]
            await stream.readexactly(int(length[0].split()[1]) if length else 0)
            await answer(stream, writer)
        writer.transport.abort()

    server = await asyncio.start_server(on_connection, HOST, 0)
    return server, f"{HOST}:{server.sockets[0].getsockname()[1]}"


async def read_malformed(reader):
    """Return by fault what a reader takes a malformed answer for."""
    answers = malformed_answers(reader)
    current = b""

    async def answer(stream, writer):
        writer.write(current)
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await stream.read()

    server, address = await serve(answer)
    found = {}
    for fault, current in answers.items():  # noqa: B007
        found[fault] = await outcome_of(READERS[reader][2], address)
    server.close()
    return found


async def read_endless(reader):
    """Return by what does not end: what a reader takes it for, and the bytes and seconds."""
    found, closings, kind, closed = {}, [], "", asyncio.Event()

    async def answer(_, writer):
        await send_endless(writer.transport, HEADERS, kind, closings)
        closed.set()

    server, address = await serve(answer)
    for kind in endless_kinds(reader):
        closings.clear()
        closed.clear()
        began = time.monotonic()
        outcome = await outcome_of(READERS[reader][2], address)
        took_s = time.monotonic() - began
        await closed.wait()
        found[kind] = (outcome, closings[0][0], took_s)
    server.close()
    return found


def _memory_mb(name):
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) / KILOBYTE for line in lines if line.startswith(name))


async def main(kind, *readers):
    """Print what the readers take the answers for."""
    before_mb = _memory_mb("VmRSS")
    if kind == "malformed":
        found = dict(zip(readers, await asyncio.gather(*map(read_malformed, readers)), strict=True))
    else:
        found = {reader: await read_endless(reader) for reader in readers}
    print(json.dumps({"found": found, "more_mb": _memory_mb("VmHWM") - before_mb}))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
