"""Callers that read streams, leave some of them, and resume them at other nodes."""

import asyncio
import itertools
import math
import random
import re
import time
from dataclasses import dataclass, field

import aiohttp
from yarl import URL

from features.standin.deployment import HOST, KEY

EVENT = re.compile(rb"(?:x-weight-versions: \d+\n)?id: (\d+)\ndata: (\S+) token \d+\n\n")
OK, ENGINE_LOST, UNAVAILABLE = 200, 502, 503
# A caller gives up a stream after this long without an event.
MAX_GAP_S = 2.0
MAX_RESUMPTIONS = 8
DEADLINE_MS = "4000"
# The pause before a caller resumes a stream that was lost without a time to come back.
RESUME_PAUSE_S = 0.05
ATTEMPT_TIMEOUT = aiohttp.ClientTimeout(total=6.0)
# Only runs of so many output tokens are copied to another engine.
PROMPT_AND_OUTPUT_TOKENS = "30,1024"
_ids = itertools.count(1)


@dataclass
class Attempt:
    """One request of a caller.

    Attributes:
        resumed: whether it resumes a stream.
        events: how many events it brought.
        engine_versions: the versions that wrote them, without repeats.
        lost: whether its connection was lost.
        connected: whether it had a connection.
    """

    request_id: str
    node: str
    resumed: bool
    at: float
    status: int = 0
    events: int = 0
    engine_versions: list = field(default_factory=list)
    retry_after_s: float = 0.0
    first_event_s: float | None = None
    answered_s: float | None = None
    complete: bool = False
    lost: bool = False
    connected: bool = True


@dataclass
class Stream:
    """A stream over all attempts of its caller."""

    attempts: list = field(default_factory=list)
    last_event: int = 0
    first_attempt_id: str = ""
    complete: bool = False

    @property
    def versions(self):
        return {version for each in self.attempts for version in each.engine_versions}

    @property
    def resumptions(self):
        return [each for each in self.attempts if each.resumed]


class StreamCallers:
    """Callers of a deployment's streams; prompts and nodes are drawn from a seed."""

    def __init__(self, deployment, seed=1):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.streams = []
        self.max_gap_s = MAX_GAP_S

    async def stream(self, leaves=0, route="resume", node=None, persistent=False, **headers):
        """Read one stream, leaving and resuming it at other nodes so many times.

        A persistent caller also resumes it elsewhere after a lost connection or a refusal.
        """
        stream = Stream()
        self.streams.append(stream)
        node = node or self.random.choice(self.nodes())
        for number in range(1 + leaves + (MAX_RESUMPTIONS if persistent else 0)):
            leave_after = self.random.randint(1, 8) if number < leaves else None
            await self._attempt(stream, node, leave_after, route, headers)
            if stream.complete or not stream.first_attempt_id:
                return stream
            if stream.attempts[-1].retry_after_s:
                await asyncio.sleep(stream.attempts[-1].retry_after_s)
            node = self.random.choice([n for n in self.nodes() if n is not node] or self.nodes())
        return stream

    async def begin(self, node=None, deadline_ms=DEADLINE_MS, route="resume"):
        """Read one stream from a node, or one drawn at random, until it ends or is lost."""
        stream = Stream()
        self.streams.append(stream)
        headers = {"X-Deadline-Ms": deadline_ms}
        node = node or self.random.choice(self.nodes())
        await self._attempt(stream, node, None, route, headers)
        return stream

    async def resume(self, stream, until, deadline_ms=DEADLINE_MS, route="resume"):
        """Resume a stream at nodes drawn at random, as refusals ask, until a time."""
        headers = {"X-Deadline-Ms": deadline_ms}
        while not stream.complete and time.monotonic() < until:
            await self._attempt(stream, self.random.choice(self.nodes()), None, route, headers)
            await asyncio.sleep(stream.attempts[-1].retry_after_s or RESUME_PAUSE_S)

    def new_id(self):
        """Return the id of the next request."""
        return f"{next(_ids):016x}"

    def key(self):
        """Return the API key for the next request."""
        return KEY

    def attempt_ended(self, attempt, key, route):
        """Handle the end of a request."""

    def nodes(self):
        """Return the nodes that run."""
        return [n for n in self.deployment.nodes if n.process.returncode is None]

    async def _attempt(self, stream, node, leave_after, route, headers):
        key = self.key()
        attempt = Attempt(self.new_id(), node.name, bool(stream.first_attempt_id), time.monotonic())
        stream.attempts.append(attempt)
        parts = f"{self.random.getrandbits(32):08x}:20,{self.random.getrandbits(32):08x}:10"
        sent = {
            "Host": HOST,
            "X-Attempt-Id": attempt.request_id,
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Token {key}",
            "X-Model": "model-1",
            "X-Token-Usage": PROMPT_AND_OUTPUT_TOKENS,
            "X-Prompt-Prefix": parts,
        }
        if attempt.resumed:
            sent |= {"Resumes": stream.first_attempt_id, "Last-Event-Id": str(stream.last_event)}
        url = URL(f"http://{node.address('Front')}/{route}/x", encoded=True)
        try:
            async with self.deployment.session.post(
                url, headers=sent | headers, data=b"body", timeout=ATTEMPT_TIMEOUT
            ) as answer:
                attempt.status = answer.status
                attempt.answered_s = time.monotonic() - attempt.at
                attempt.retry_after_s = float(answer.headers.get("Retry-After", 0.0))
                if answer.status == OK:
                    await self._read(stream, attempt, answer, leave_after)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.lost = True
            attempt.connected = not isinstance(error, aiohttp.ClientConnectorError)
        self.attempt_ended(attempt, key, route)

    async def _read(self, stream, attempt, answer, leave_after):
        buffer = b""
        while True:
            async with asyncio.timeout(self.max_gap_s):
                data = await answer.content.readany()
            if not data:
                stream.complete = attempt.complete = True
                return
            buffer += data
            while (found := EVENT.match(buffer)) is not None:
                buffer = buffer[found.end() :]
                self._note_event(stream, attempt, int(found[1]), found[2].decode())
                if leave_after is not None and attempt.events >= leave_after:
                    return

    def _note_event(self, stream, attempt, number, version):
        assert number == stream.last_event + 1, (number, stream.last_event)
        stream.last_event = number
        attempt.events += 1
        if attempt.first_event_s is None:
            attempt.first_event_s = time.monotonic() - attempt.at
        stream.first_attempt_id = stream.first_attempt_id or attempt.request_id
        if version not in attempt.engine_versions:
            attempt.engine_versions.append(version)

    def mixed(self):
        """Return the streams that hold events of two versions."""
        return [stream for stream in self.streams if len(stream.versions) > 1]

    def resumed_share(self, until=math.inf):
        """Return the share of resumptions before a time that brought an event, and their number."""
        resumed = [each for stream in self.streams for each in stream.resumptions]
        resumed = [each for each in resumed if each.at < until]
        return sum(each.events > 0 for each in resumed) / max(1, len(resumed)), len(resumed)

    def begun_share(self):
        """Return the share of first attempts that brought an event."""
        first = [stream.attempts[0] for stream in self.streams]
        return sum(each.events > 0 for each in first) / max(1, len(first))
