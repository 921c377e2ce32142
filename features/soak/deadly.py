"""Callers whose requests or prompt parts crash engines, and the check of their quarantine."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from features.soak.history import NOT_RUN, Violation

# How many crash requests there are and how their callers repeat them is drawn for each seed.
MAX_CRASH_REQUESTS = 2
ROUTES = ("whole", "safe", "stream", "resume")
PROMPT_ROUTES = ("stream", "resume")
FIRST_AFTER_S = (1.0, 6.0)
SPACING_S = (0.2, 1.2)
# The platform's rules: after the third crash, nodes have this long to learn of it.
CRASHES_BEFORE_QUARANTINE = 3
# A part of prompts is told from the others that come with it by a few more crashes.
CRASHES_BEFORE_PART_QUARANTINE = 5
PART_POSITIONS = (("{}",), ("aa", "{}"), ("{}", "aa"), ("aa", "{}", "bb"))
LEARNED_WITHIN_S = 3.0
SENDS_ALLOWED = 3
QUARANTINED = b'"Code": 2013'


@dataclass(frozen=True)
class CrashRequest:
    """A request that crashes the engine that runs it, or requests with a part that does so.

    Attributes:
        body: the body, or the beginning of the bodies.
        part: the part of their prompts, or "" for a single request.
    """

    body: bytes
    route: str
    part: str = ""

    @property
    def crashes_before_quarantine(self):
        return CRASHES_BEFORE_PART_QUARANTINE if self.part else CRASHES_BEFORE_QUARANTINE

    def is_in(self, body):
        """Return whether a body belongs to it."""
        return body == self.body or bool(self.part and body and body.startswith(self.body + b" "))


class CrashRequestCallers:
    """Sends crash requests to random nodes until the soak is over."""

    def __init__(self, seed, requests, parts):
        self._random = random.Random(f"{seed}/deadly")
        self._numbers = itertools.count(1)
        self.requests = []
        if requests:
            count = self._random.randint(1, MAX_CRASH_REQUESTS)
            self.requests += [
                CrashRequest(f"deadly {number}".encode(), self._random.choice(ROUTES))
                for number in range(count)
            ]
        if parts:
            count = self._random.randint(1, MAX_CRASH_REQUESTS)
            self.requests += [
                CrashRequest(b"part %d" % number, self._random.choice(PROMPT_ROUTES), f"d{number}")
                for number in range(count)
            ]

    def bodies(self):
        """Return the bodies of the single requests."""
        return frozenset(request.body for request in self.requests if not request.part)

    def parts(self):
        """Return the parts of prompts that crash engines."""
        return frozenset(request.part for request in self.requests if request.part)

    async def run(self, call, is_over):
        """Send each crash request repeatedly until the soak is over."""
        await asyncio.gather(*(self._repeat(r, call, is_over) for r in self.requests))

    async def _repeat(self, request, call, is_over):
        await asyncio.sleep(self._random.uniform(*FIRST_AFTER_S))
        calls = []
        while not is_over():
            calls.append(asyncio.ensure_future(self._send(request, call)))
            await asyncio.sleep(self._random.uniform(*SPACING_S))
        await asyncio.gather(*calls)

    async def _send(self, request, call):
        if not request.part:
            await call(request.route, request.body, {})
            return
        number = next(self._numbers)
        parts = [name.format(request.part) for name in self._random.choice(PART_POSITIONS)]
        prompt = ",".join([*(f"{name}:20" for name in parts), f"f{number:04x}:10"])
        tokens = 20 * len(parts) + 10
        headers = {"X-Prompt-Prefix": prompt, "X-Token-Usage": f"{tokens},4"}
        await call(request.route, request.body + b" %d" % number, headers)


def check_crash_requests(calls, engines, timeline, requests):
    """Find crash requests sent to engines too often, and other requests put in quarantine."""
    known = {call.request_id: call for call in calls}
    for request in requests:
        yield from _check_sends(request, known, engines, timeline)
    for call in calls:
        is_crash_request = any(request.is_in(call.sent_body) for request in requests)
        if is_crash_request or QUARANTINED not in call.body:
            continue
        if call.status in NOT_RUN:
            yield Violation("no other request is quarantined", call.request_id, call.route)


def crash_times(request, engines):
    """Return when engines crashed on a request, in order."""
    return sorted(e.crashed_at for e in engines if request.is_in(e.crashed_on))


def _check_sends(request, known, engines, timeline):
    crashes = crash_times(request, engines)
    if len(crashes) < request.crashes_before_quarantine:
        return
    since = crashes[request.crashes_before_quarantine - 1] + LEARNED_WITHIN_S
    late = [
        arrival
        for engine in engines
        for arrival in engine.arrivals
        if request.is_in(arrival.body) and arrival.at > since and arrival.attempt_id in known
    ]
    late = [a for a in late if not timeline.is_excused(known[a.attempt_id].node, a.at)]
    if len(late) > SENDS_ALLOWED:
        name = request.body.decode()
        detail = f"{name!r}: {len(late)} sends, {len(crashes)} engines crashed"
        yield Violation("a crash request is sent no more", name, detail)
