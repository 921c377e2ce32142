"""Engines that announce a rate limit for all nodes together, during a soak; and the check."""

import asyncio
import random
import time

from features.soak.history import Violation

SPACING_S = (1.0, 3.0)
LIMITS = ("1", "0.5", "0", "2", "6", "-1", "few")
LIMITED_S = (6.0, 12.0)
# The platform's rules: a node applies a limit this long after it got the answer, and the nodes
# share it correctly this long after the first of them got one.
APPLIED_AFTER_S = 0.5
SETTLED_AFTER_S = 3.0
WINDOW_S = 4.0
FACTOR, SLACK = 1.5, 5


class EngineLimits:
    """Makes random engines announce random rate limits; the draws depend on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/engine limits")
        self.counts = {"limit": 0}

    async def run_for(self, seconds):
        """Begin limits for some time, and wait until all have ended."""
        until = time.monotonic() + seconds
        begun = []
        while time.monotonic() < until:
            draw = random.Random(self._random.random())
            begun.append(asyncio.ensure_future(self._limit(draw)))
            await asyncio.sleep(self._random.uniform(*SPACING_S))
        await asyncio.gather(*begun)

    async def _limit(self, draw):
        engine = draw.choice(self._fleet.engines())
        if engine.limit:
            return
        self.counts["limit"] += 1
        engine.limit, begun_at = draw.choice(LIMITS), time.monotonic()
        await asyncio.sleep(draw.uniform(*LIMITED_S))
        engine.limit_periods.append((begun_at, time.monotonic(), engine.limit))
        engine.limit = ""


def check_limits(calls, engines, timeline):
    """Find the limits that nodes exceeded together after they had learned of them."""
    node_of = {call.request_id: call.node for call in calls}
    for engine in engines:
        for begun_at, ended_at, limit in engine.limit_periods:
            if not limit.replace(".", "").isdigit():
                continue
            arrivals = [
                (arrival, node_of[arrival.attempt_id])
                for arrival in engine.arrivals
                if arrival.attempt_id in node_of and begun_at <= arrival.at < ended_at
            ]
            yield from _check_period(engine, float(limit), _counted(arrivals, timeline))


def _check_period(engine, limit, times):
    allowed = FACTOR * limit * WINDOW_S + SLACK
    counts = [sum(first <= at < first + WINDOW_S for at in times) for first in times]
    if max(counts, default=0) > allowed:
        detail = f"{engine.engine_id}: {max(counts)} requests in {WINDOW_S} s, {allowed} allowed"
        yield Violation("no more requests than an engine's limit", "", detail)


def _counted(arrivals, timeline):
    """Return the arrival times of requests from nodes that knew the limit, not halted since."""
    since = {}
    for arrival, node in arrivals:
        if arrival.limit and arrival.answered_at is not None and not arrival.cut:
            since[node] = min(since.get(node, arrival.answered_at), arrival.answered_at)
    settled_at = min(since.values(), default=0.0) + SETTLED_AFTER_S
    return [
        arrival.at
        for arrival, node in arrivals
        if node in since
        and arrival.at >= max(settled_at, since[node] + APPLIED_AFTER_S)
        and not timeline.halted_between(node, since[node], arrival.at)
    ]
