"""An engine process that writes the answers that requests ask for in their headers.

    python -m features.soak.scripted_engine DESCRIPTOR

It waits until the socket of the descriptor brings its settings and its listening socket. Then it
prints a line for each run that it begins or completes. It needs the standard library alone, so that
it starts fast.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time

from features.standin.connections import reset

SCRIPT_HEADER = "X-Script"
# The largest message with settings.
SETTINGS_BYTES = 65_536
REPORT_PATH = "/liftrill/report"
BEGAN, WRITTEN = "began", "written"
MISDIRECTED = 421
LINE_END, HEAD_END = b"\r\n", b"\r\n\r\n"
SIGNATURE = "stand-in-signature"
SOUND_FRAMING = "chunks"


class ScriptedEngine:
    """One incarnation.

    Attributes:
        seen: the ids of requests whose script has been played, here or by the process before.
    """

    def __init__(self, settings):
        self._id = settings["engine_id"]
        self._label = settings["software_version"]
        self._report = settings["report"]
        self._pieces = settings["pieces"]
        self._is_sound = settings["is_sound"]
        self.seen = set(settings["seen"])
        self._runs = 0
        self._writers = set()

    async def serve(self, reader, writer):
        """Answer the requests of a connection in order."""
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                head = (await reader.readuntil(HEAD_END)).decode("latin-1")
                first, *lines = head.split("\r\n")[:-2]
                fields = dict(line.split(": ", 1) for line in lines)
                await _read_body(reader, fields)
                await self._answer(writer, first.split()[1], fields)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The node has closed the connection.
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, writer, target, fields):
        expected = fields.get("X-Expect-Instance")
        if expected not in (None, self._id):
            return _write_body(writer, MISDIRECTED, b"")
        if target == REPORT_PATH:
            return _write_body(writer, 200, json.dumps(self._report).encode())
        return await self._play(writer, fields)

    async def _play(self, writer, fields):
        request_id = fields["X-Attempt-Id"]
        first = int(fields.get("Last-Event-Id", "0")) + 1
        is_played = first == 1 and request_id not in self.seen and not self._is_sound
        self.seen.add(request_id)
        self._runs += 1
        _report(BEGAN, request_id)
        script = json.loads(fields[SCRIPT_HEADER])
        label = f"{request_id}/{self._label}/{os.getpid()}-{self._runs}"
        answer = _Answer(writer, label, first, self._pieces)
        if not is_played:
            script = {"framing": SOUND_FRAMING, "steps": [("send", 0), ("last chunk", 0)]}
        answer.write_head(request_id, script["framing"], "X-Model" in fields)
        for step, value in script["steps"]:
            if step == "exit with resets":
                self._reset_all()
            await answer.play(step, value)
        if answer.is_written:
            _report(WRITTEN, request_id)

    def _reset_all(self):
        for writer in self._writers:
            reset(writer.transport)


class _Answer:
    """One answer on a connection."""

    def __init__(self, writer, label, first, pieces):
        self._writer = writer
        self._label = label
        self._next, self._pieces = first, pieces
        self._half = b""
        self._is_chunked = True

    @property
    def is_written(self):
        return self._next > self._pieces

    def write_head(self, request_id, framing, is_stream):
        self._is_chunked = framing == "chunks"
        size = sum(len(self._piece(n)) for n in range(self._next, self._pieces + 1))
        kind = "text/event-stream" if is_stream else "application/octet-stream"
        end = {
            "chunks": "Transfer-Encoding: chunked",
            "length": f"Content-Length: {size}",
            "connection": "Connection: close",
        }[framing]
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nContent-Type: {kind}\r\n"
            f"X-Response-Signature: {SIGNATURE}\r\n{end}\r\n\r\n"
        )
        self._writer.write(head.encode())

    async def play(self, step, value):
        if step == "send":
            self._send(value or self._pieces + 1 - self._next)
        elif step == "half":
            piece = self._piece(self._next)
            self._half = piece[: len(piece) // 2]
            self._write(self._half)
        elif step == "pause":
            await asyncio.sleep(value / 1000)
        elif step == "last chunk":
            self._writer.write(b"0\r\n\r\n")
        elif step == "close":
            self._writer.close()
        elif step == "reset":
            reset(self._writer.transport)
        else:
            os.kill(os.getpid(), signal.SIGKILL)

    def _send(self, count):
        numbers = range(self._next, self._next + count)
        data = [self._piece(number) for number in numbers]
        data[0] = data[0][len(self._half) :]
        self._half = b""
        self._next += count
        if self._is_chunked:
            data = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in data]
        self._writer.write(b"".join(data))

    def _write(self, data):
        self._writer.write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)

    def _piece(self, number):
        return f"id: {number}\ndata: {self._label} token {number}\n\n".encode()


async def _read_body(reader, fields):
    """Read the body of a request, which is small."""
    if "Transfer-Encoding" in fields:
        while (size := int(await reader.readuntil(LINE_END), 16)) > 0:
            await reader.readexactly(size + len(LINE_END))
        await reader.readuntil(LINE_END)
    else:
        await reader.readexactly(int(fields.get("Content-Length", "0")))


def _write_body(writer, status, body):
    head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


def _report(kind, request_id):
    print(json.dumps([kind, request_id, time.monotonic()]), flush=True)


async def _serve(settings, listening):
    engine = ScriptedEngine(settings)
    server = await asyncio.start_server(engine.serve, sock=listening)
    async with server:
        await server.serve_forever()


def main(descriptor):
    """Serve once the settings have come; end if the socket that is to bring them is closed."""
    with socket.socket(fileno=int(descriptor)) as control:
        data, descriptors, *_ = socket.recv_fds(control, SETTINGS_BYTES, 1)
        if not data:
            return
        asyncio.run(_serve(json.loads(data), socket.socket(fileno=descriptors[0])))


if __name__ == "__main__":
    main(sys.argv[1])
