"""A client that sends one request after the other on a kept connection."""

import asyncio
import random
import secrets
from dataclasses import dataclass, field

from stand_ins.deployment import HOST, Record
from stand_ins.http import read_message


@dataclass
class KeptClient:
    """One client; it connects again when its connection is closed.

    Attributes:
        unanswered: the requests, sent whole, whose connection closed without an answer.
    """

    address: str
    key: str
    record: Record
    deadline_ms: int = 3000
    unanswered: list[str] = field(default_factory=list)
    answered: dict[str, int] = field(default_factory=dict)

    async def run(
        self, path: str, until: asyncio.Event, pause_range_s: tuple[float, float]
    ) -> None:
        """Send requests, each after a random pause, until told to stop."""
        host, _, port = self.address.rpartition(":")
        writer = None
        while not until.is_set():
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(host, int(port))
                if not await self._send(path, reader, writer):
                    writer.close()
                    writer = None
            except OSError:
                writer = None
            await asyncio.sleep(random.uniform(*pause_range_s))
        if writer is not None:
            writer.close()

    async def _send(
        self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; return whether the connection may be used again."""
        attempt = secrets.token_hex(8)
        body = b"a request of a client"
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {self.deadline_ms}",
            f"Authorization: Token {self.key}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        self.record.write(f"client sends {attempt} on a kept connection")
        try:
            async with asyncio.timeout(self.deadline_ms / 1000 + 1.0):
                answer = await read_message(reader, is_response=True)
        except (asyncio.IncompleteReadError, OSError):
            self.unanswered.append(attempt)
            self.record.write(f"the connection of {attempt} is closed without an answer")
            return False
        except TimeoutError:
            self.record.write(f"client gives up {attempt}")
            return False
        self.answered[attempt] = answer.status
        self.record.write(f"client gets {answer.status} for {attempt}")
        closes = "close" in answer.header("Connection").lower()
        return answer.complete and not answer.closed and not closes
