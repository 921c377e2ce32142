"""Callers that repeat requests which crash engines, and the check of their quarantine."""

import asyncio
import random
from dataclasses import dataclass

from features.soak.history import NOT_RUN, Violation

# How many crash requests there are and how their callers repeat them is drawn for each seed.
MAX_CRASH_REQUESTS = 2
ROUTES = ("whole", "safe", "stream", "resume")
FIRST_AFTER_S = (1.0, 6.0)
SPACING_S = (0.2, 1.2)
# The platform's rules: after the third crash, nodes have this long to learn of it.
CRASHES_BEFORE_QUARANTINE = 3
LEARNED_WITHIN_S = 3.0
SENDS_ALLOWED = 3
QUARANTINED = b'"Code": 2013'


@dataclass(frozen=True)
class CrashRequest:
    """A request that crashes the engine that runs it."""

    body: bytes
    route: str


class CrashRequestCallers:
    """Sends crash requests to random nodes until the soak is over."""

    def __init__(self, seed):
        self._random = random.Random(f"{seed}/deadly")
        count = self._random.randint(1, MAX_CRASH_REQUESTS)
        self.requests = [
            CrashRequest(f"deadly {number}".encode(), self._random.choice(ROUTES))
            for number in range(count)
        ]

    def bodies(self):
        """Return the bodies of the crash requests."""
        return frozenset(request.body for request in self.requests)

    async def run(self, call, is_over):
        """Send each crash request repeatedly until the soak is over."""
        await asyncio.gather(*(self._repeat(r, call, is_over) for r in self.requests))

    async def _repeat(self, request, call, is_over):
        await asyncio.sleep(self._random.uniform(*FIRST_AFTER_S))
        calls = []
        while not is_over():
            calls.append(asyncio.ensure_future(call(request.route, request.body)))
            await asyncio.sleep(self._random.uniform(*SPACING_S))
        await asyncio.gather(*calls)


def check_crash_requests(calls, engines, timeline, bodies):
    """Find crash requests sent to engines too often, and other requests put in quarantine."""
    known = {call.request_id: call for call in calls}
    for body in sorted(bodies):
        yield from _check_sends(body, known, engines, timeline)
    for call in calls:
        if call.sent_body in bodies or QUARANTINED not in call.body:
            continue
        if call.status in NOT_RUN:
            yield Violation("no other request is quarantined", call.request_id, call.route)


def crash_times(body, engines):
    """Return when engines crashed on a request, in order."""
    return sorted(e.crashed_at for e in engines if e.crashed_on == body)


def _check_sends(body, known, engines, timeline):
    crashes = crash_times(body, engines)
    if len(crashes) < CRASHES_BEFORE_QUARANTINE:
        return
    since = crashes[CRASHES_BEFORE_QUARANTINE - 1] + LEARNED_WITHIN_S
    late = [
        arrival
        for engine in engines
        for arrival in engine.arrivals
        if arrival.body == body and arrival.at > since and arrival.attempt_id in known
    ]
    late = [a for a in late if not timeline.is_excused(known[a.attempt_id].node, a.at)]
    if len(late) > SENDS_ALLOWED:
        detail = f"{body!r}: {len(late)} sends, {len(crashes)} engines crashed"
        yield Violation("a crash request is sent no more", body.decode(), detail)
