"""HTTP/1.1 on asyncio streams, with full control over what is written and when."""

import asyncio
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote


@dataclass
class Request:
    """One request as a server read it."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The parameters of the query by name."""
        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))

    def header(self, name, default=""):
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the first line and the headers by lower-case name, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yield the chunks of a body; raise IncompleteReadError if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_request(reader):
    """Return the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def answer(status, headers=(), body=b"", reason="Answer"):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(headers):
    """Return the head of an event stream in chunks."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    """Return a chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def last_segment(target):
    """Return the last part of a path."""
    return unquote(target.partition("?")[0].rpartition("/")[2])
