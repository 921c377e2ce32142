"""Callers whose prompts share parts, and callers of prompts with parts that crash engines."""

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass

import aiohttp

from features.standin.deployment import KEY
from liftrill.errors import ResultCode

FIRST_PART, SECOND_PARTS = "aa", 8
SOUND_CALLERS, SOUND_SPACING_S = 24, 0.05
RARE_PARTS, SESSION_REQUESTS = 200, 4
PART_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 20, 5, 12


@dataclass(frozen=True)
class PartAnswer:
    """The outcome of one request.

    Attributes:
        part: the part of its prompt that crashes engines, or "" if there is none.
        code: the error code of a refusal, or None.
        began: whether it was answered with a success, and a stream with an event.
    """

    part: str
    node: str
    sent_at: float
    status: int | None
    code: int | None
    began: bool


class PartCallers:
    """Sends requests until `stop` is called, each to a node of a deployment at random.

    Attributes:
        answers: the outcomes so far.
        nodes: the nodes that requests are sent to.
    """

    def __init__(self, deployment, seed):
        self.answers = []
        self.nodes = deployment.nodes
        self._deployment = deployment
        self._random = random.Random(seed)
        self._own_parts = itertools.count(1)
        self._tasks = []
        self._is_over = False

    def start_sound(self, first_parts=(FIRST_PART,)):
        """Start callers whose prompts share their first part, and some their second one."""
        for number in range(SOUND_CALLERS):
            first = first_parts[number % len(first_parts)]
            second = f"b{number % SECOND_PARTS}"
            self._tasks.append(asyncio.ensure_future(self._repeat_sound((first, second))))

    def start_crashing(self, part, parts, interval_s, routes=("stream",), keys=(KEY,), sends=1):
        """Start a sender of requests with a part that crashes engines, no two alike."""
        sender = self._repeat_crashing(part, parts, interval_s, routes, keys, sends)
        self._tasks.append(asyncio.ensure_future(sender))

    def start_varied(self):
        """Start callers whose prompts have popular, rare and new parts, and who repeat failures."""
        for number in range(SOUND_CALLERS):
            self._tasks.append(asyncio.ensure_future(self._repeat_varied(number)))

    async def _repeat_varied(self, number):
        while not self._is_over:
            own = next(self._own_parts)
            rare = f"c{self._random.randrange(RARE_PARTS)}"
            parts = (FIRST_PART, f"b{number % SECOND_PARTS}", rare, f"d{own // SESSION_REQUESTS}")
            began = False
            while not began and not self._is_over:
                began = (await self.call("", parts, own=own)).began
                await asyncio.sleep(SOUND_SPACING_S)

    async def stop(self):
        """Send no new requests, and wait for the answers of those sent."""
        self._is_over = True
        await asyncio.gather(*self._tasks)

    async def _repeat_sound(self, parts):
        while not self._is_over:
            await self.call("", parts)
            await asyncio.sleep(SOUND_SPACING_S)

    async def _repeat_crashing(self, part, parts, interval_s, routes, keys, sends):
        ways = itertools.cycle(zip(itertools.cycle(routes), keys * len(routes), strict=False))
        calls = []
        while not self._is_over:
            route, key = next(ways)
            calls.append(asyncio.ensure_future(self._send(part, parts, route, key, sends)))
            await asyncio.sleep(interval_s * self._random.uniform(0.5, 1.5))
        await asyncio.gather(*calls)

    async def _send(self, part, parts, route, key, sends):
        """Send one request, and repeat it as its caller does."""
        own = next(self._own_parts)
        for _ in range(sends):
            await self.call(part, parts, route, key, own)
            await asyncio.sleep(self._random.uniform(0.1, 0.3))

    async def call(self, part, parts, route="stream", key=KEY, own=None):
        """Send one request to a node at random, and record its outcome."""
        own = own or next(self._own_parts)
        node = self._random.choice(self.nodes)
        prompt = [f"{name}:{PART_TOKENS}" for name in parts] + [f"f{own:06x}:{OWN_TOKENS}"]
        tokens = PART_TOKENS * len(parts) + OWN_TOKENS
        headers = {
            "X-Prompt-Prefix": ",".join(prompt),
            "X-Token-Usage": f"{tokens},{OUTPUT_TOKENS}",
        }
        sent_at = time.monotonic()
        status, code, began = None, None, False
        try:
            status, _, body, _ = await self._deployment.call(
                node, f"/{route}/{own}", key=key, model="model-1", body=f"{own}".encode(), **headers
            )
            began = status == 200
            if status >= 400 and body.startswith(b"{"):
                code = json.loads(body)["Code"]
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        answer = PartAnswer(part, node.name, sent_at, status, code, began)
        self.answers.append(answer)
        return answer

    def refused_sound(self):
        """Return the answers of sound requests that were refused for their prompt's parts."""
        refused = ResultCode.REQUEST_QUARANTINED.number
        return [a for a in self.answers if not a.part and a.code == refused]

    def share_begun(self, since, until):
        """Return the share of the sound requests of a time that began, and their number."""
        sent = [a for a in self.answers if not a.part and since <= a.sent_at < until]
        return sum(a.began for a in sent) / max(1, len(sent)), len(sent)
