"""Callers on raw sockets, which judge an answer by its bytes and by how its connection ends."""

import asyncio
import itertools
import re
import socket
from dataclasses import dataclass, field

from features.standin.deployment import HOST, KEY, prompt_headers
from features.standin.engine import whole_body

HTTP_1_0, HTTP_1_1 = "HTTP/1.0", "HTTP/1.1"
STREAMS = ("stream", "resume")
EVENT = re.compile(rb"(?:x-weight-versions: \d+\n)?id: (\d+)\ndata: (?:\S+ )?token (\d+)\.*\n\n")
EVENT_END = b"\n\n"
LINE_END, HEAD_END = b"\r\n", b"\r\n\r\n"
DEADLINE_MS = 15_000
# A caller gives up after this long without a byte.
SILENCE_S = 8.0
READ_BYTES = 262_144
# Small segments keep the kernel from buffering megabytes for a slow caller, as it does on loopback.
SLOW_SEGMENT_BYTES, SLOW_BUFFER_BYTES = 1_400, 16_384
# How a connection ended: in order, by a reset, or not while its caller waited.
CLOSED, RESET, SILENT = "closed", "reset", "silent"
_ids = itertools.count(1)


@dataclass
class RawAnswer:
    """One answer as it arrived.

    Attributes:
        after: the last event that its caller had before.
        size: how many events, or bytes of a body, a whole answer has.
        ending: how the connection ended.
    """

    protocol: str
    route: str
    node: str
    size: int
    after: int = 0
    request_id: str = field(default_factory=lambda: f"{next(_ids):016x}")
    received: bytearray = field(default_factory=bytearray)
    ending: str = ""
    _final: tuple | None = None

    @property
    def head(self):
        """The lines of the head, or none if it is not complete."""
        end = self.received.find(HEAD_END)
        return self.received[:end].decode("latin-1").split("\r\n") if end >= 0 else []

    @property
    def status(self):
        """The status, or 0 without a complete head."""
        return int(self.head[0].split()[1]) if self.head else 0

    def _decoded(self):
        """Return the body, whether it says that it is whole, and the bytes after its end."""
        if not self.ending:
            return self._decode()
        if self._final is None:
            self._final = self._decode()
        return self._final

    def _decode(self):
        if not self.head:
            return b"", False, b""
        headers = dict(line.lower().split(": ", 1) for line in self.head[1:])
        content = bytes(self.received).partition(HEAD_END)[2]
        if self.protocol == HTTP_1_0:
            # Such a caller may know no length, and take an orderly close for the end.
            return content, self.ending == CLOSED, b""
        if "chunked" in headers.get("transfer-encoding", ""):
            return _without_chunks(content)
        length = int(headers["content-length"])
        return content[:length], len(content) >= length, content[length:]

    @property
    def body(self):
        """What arrived of the body."""
        return self._decoded()[0]

    @property
    def extra(self):
        """The bytes after the end of the answer."""
        return self._decoded()[2]

    @property
    def says_whole(self):
        """Whether its caller has to take it for a whole success."""
        return self.status == 200 and self._decoded()[1]

    @property
    def events(self):
        """How many events arrived whole."""
        return len(EVENT.findall(self._decoded()[0]))

    @property
    def is_whole(self):
        """Whether all of it arrived, and nothing else."""
        body, _, extra = self._decoded()
        if self.route not in STREAMS:
            return body == whole_body(self.request_id, self.size) and not extra
        return self.events == self.size - self.after and not EVENT.sub(b"", body) and not extra

    @property
    def misplaced(self):
        """How many of its pieces are out of order, or come twice, or belong to no answer."""
        body, _, extra = self._decoded()
        if self.status != 200:
            return 0
        if self.route not in STREAMS:
            return (not whole_body(self.request_id, self.size).startswith(body)) + bool(extra)
        numbers = [(int(found[1]), int(found[2])) for found in EVENT.finditer(body)]
        expected = itertools.count(self.after + 1)
        wrong = sum(number != (at, at) for number, at in zip(numbers, expected, strict=False))
        return wrong + EVENT.sub(b"", body).count(EVENT_END) + bool(extra)


def _without_chunks(content):
    """Return the data of chunks, whether the last one arrived, and what follows it."""
    parts, at = [], 0
    while (line_end := content.find(LINE_END, at)) >= 0:
        size, begin = int(content[at:line_end], 16), line_end + len(LINE_END)
        if not size:
            is_last = content.startswith(LINE_END, begin)
            return b"".join(parts), is_last, content[begin + len(LINE_END) :]
        parts.append(content[begin : begin + size])
        at = begin + size + len(LINE_END)
    return b"".join(parts), False, b""


class RawCaller:
    """Callers of a deployment; a slow one reads nothing for a time.

    Attributes:
        answers: the answers so far.
        body: the body of each request.
    """

    def __init__(self, events, body_bytes):
        self.answers, self.body = [], b""
        bodies = dict.fromkeys(("whole", "safe"), body_bytes)
        self._sizes = bodies
        self.expect_events(events)

    def expect_events(self, events):
        """Take streams of so many events for whole ones."""
        self._sizes |= dict.fromkeys(STREAMS, events)

    def expect(self, route, size):
        """Take answers on a route for whole ones if they have so many events or bytes."""
        self._sizes[route] = size

    async def ask(self, node, protocol, route, waits_s=0.0, after=0, **more):
        """Read one answer to its end."""
        answer = RawAnswer(protocol, route, node.name, self._sizes[route], after)
        self.answers.append(answer)
        with socket.socket() as connection:
            connection.setblocking(False)
            if waits_s:
                # Unread bytes stay at the node.
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES)
            try:
                async with asyncio.timeout(SILENCE_S):
                    await self._send(connection, node, answer, more)
                await asyncio.sleep(waits_s)
                await self._read(connection, answer)
            except TimeoutError:
                answer.ending = SILENT
            except OSError:
                answer.ending = RESET
        return answer

    async def _send(self, connection, node, answer, more):
        host, _, port = node.address("Front").rpartition(":")
        headers = {
            "Host": HOST,
            "Connection": "close",
            "X-Attempt-Id": answer.request_id,
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Token {KEY}",
            "Content-Length": len(self.body),
            **(prompt_headers("model-1") if answer.route in STREAMS else {}),
            # Another prompt each, so that the streams spread over the engines.
            "X-Prompt-Prefix": f"{answer.request_id}:20",
            **more,
        }
        if answer.after:
            headers["Last-Event-Id"] = answer.after
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        request = f"POST /{answer.route}/x {answer.protocol}\r\n{lines}\r\n".encode()
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        await loop.sock_sendall(connection, request + self.body)

    async def _read(self, connection, answer):
        loop = asyncio.get_running_loop()
        while True:
            async with asyncio.timeout(SILENCE_S):
                data = await loop.sock_recv(connection, READ_BYTES)
            if not data:
                answer.ending = CLOSED
                return
            answer.received += data
