"""Callers that come back with requests under which engines end, and what is checked of them."""

import asyncio
import random
from dataclasses import dataclass

from features.soak.history import NOT_RUN, Violation

# How many requests engines end under, and how their callers repeat them, drawn for each seed.
MOST_DEADLY = 2
ROUTES = ("whole", "safe", "stream", "resume")
FIRST_AFTER_S = (1.0, 6.0)
SPACING_S = (0.2, 1.2)
# As the platform's rules count: after the third end nodes have a while to hear of it.
ENDS_THAT_TELL = 3
HEARD_WITHIN_S = 3.0
SENDS_ALLOWED = 3
QUARANTINED = b'"Code": 2013'


@dataclass(frozen=True)
class CrashRequest:
    """One request under which engines end."""

    body: bytes
    route: str


class CrashRequestCallers:
    """Sends deadly requests to random nodes until told to stop; engines end under them."""

    def __init__(self, seed):
        self._random = random.Random(f"{seed}/deadly")
        count = self._random.randint(1, MOST_DEADLY)
        self.requests = [
            CrashRequest(f"deadly {number}".encode(), self._random.choice(ROUTES))
            for number in range(count)
        ]

    def bodies(self):
        """Return the bodies of requests under which engines end."""
        return frozenset(request.body for request in self.requests)

    async def run(self, call, is_over):
        """Send each request again and again."""
        await asyncio.gather(*(self._repeat(r, call, is_over) for r in self.requests))

    async def _repeat(self, request, call, is_over):
        await asyncio.sleep(self._random.uniform(*FIRST_AFTER_S))
        calls = []
        while not is_over():
            calls.append(asyncio.ensure_future(call(request.route, request.body)))
            await asyncio.sleep(self._random.uniform(*SPACING_S))
        await asyncio.gather(*calls)


def check_crash_requests(calls, engines, timeline, bodies):
    """Return the sends of deadly requests that came too often, and others kept from engines."""
    known = {call.request_id: call for call in calls}
    for body in sorted(bodies):
        yield from _check_sends(body, known, engines, timeline)
    for call in calls:
        if call.sent_body in bodies or QUARANTINED not in call.body:
            continue
        if call.status in NOT_RUN:
            yield Violation("no other request is kept from engines", call.request_id, call.route)


def crash_times(body, engines):
    """Return when engines ended under a request, in order."""
    return sorted(e.crashed_at for e in engines if e.crashed_on == body)


def _check_sends(body, known, engines, timeline):
    ends = crash_times(body, engines)
    if len(ends) < ENDS_THAT_TELL:
        return
    since = ends[ENDS_THAT_TELL - 1] + HEARD_WITHIN_S
    late = [
        arrival
        for engine in engines
        for arrival in engine.arrivals
        if arrival.body == body and arrival.at > since and arrival.attempt_id in known
    ]
    late = [a for a in late if not timeline.is_excused(known[a.attempt_id].node, a.at)]
    if len(late) > SENDS_ALLOWED:
        detail = f"{body!r}: {len(late)} sends, {len(ends)} engines ended"
        yield Violation("a request under which engines end is sent no more", body.decode(), detail)
