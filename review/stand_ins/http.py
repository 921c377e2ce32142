"""Minimal HTTP/1.1 on asyncio streams, with control over every byte that is written."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response that was read completely.

    Attributes:
        first: the three words of the first line.
        complete: whether the body has arrived whole.
        closed: whether the peer closed the connection after it.
    """

    first: tuple[str, str, str]
    headers: list[tuple[str, str]]
    body: bytes = b""
    complete: bool = True
    closed: bool = False

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of a name, whatever its case."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])


@dataclass
class Answer:
    """A response to write."""

    status: int = 200
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the response, with its length."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the first line and the headers of the next message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    words = first.split(" ", 2)
    pairs = [line.partition(":") for line in lines]
    return Message(
        (words[0], words[1], words[2] if len(words) > 2 else ""),
        [(name, value.strip()) for name, _, value in pairs],
    )


async def read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    """Append the chunks of a body to a message as they arrive."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        message.body += data[:-2]


async def read_message(reader: asyncio.StreamReader, is_response: bool = False) -> Message:
    """Return the next message; one that ends early is marked as incomplete."""
    message = await read_head(reader)
    try:
        if "chunked" in message.header("Transfer-Encoding").lower():
            await read_chunks(reader, message)
        elif message.header("Content-Length"):
            message.body = await reader.readexactly(int(message.header("Content-Length")))
        elif is_response:
            message.body = await reader.read()
            message.closed = True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        message.complete, message.closed = False, True
        message.body += getattr(error, "partial", b"")
    return message


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Message | None:
    """Send a request on a new connection; return its response, or None if there was none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_message(reader, is_response=True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
