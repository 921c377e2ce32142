"""Engines that announce in their answers that they leave or need a pause; and the check."""

import asyncio
import random
import time

from features.soak.history import Violation
from features.standin.engine import ANSWER_KINDS

# Between two announcements.
SPACING_S = (0.5, 2.0)
# How much later than its answers an engine's record says that it leaves, as in a store outage.
RECORD_LATER_S = (0.2, 5.0)
# How long the record of a leaving engine is absent before it returns, still in state "ready".
RECORD_GONE_S = (0.3, 2.0)
RETRY_AFTER_VALUES = ("1", "2.5", "3", "0.7", "0", "-1", "1e9", "soon", "5")
REFUSES_S = (1.0, 5.0)
# The platform's rules: a node obeys an announcement this long after it got the answer.
LEAVING_OBEYED_AFTER_S = 2.0
PAUSE_OBEYED_AFTER_S = 0.5
SENDS_ALLOWED = 2


class EngineAnnouncements:
    """Makes random engines leave or ask for a pause; the draws depend on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/engine words")
        self.counts = {}

    async def run_for(self, seconds):
        """Begin announcements for some time, and wait until all have ended."""
        until = time.monotonic() + seconds
        begun = []
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(*SPACING_S))
            kind = self._random.choice((self._leave, self._pause))
            name = kind.__name__.lstrip("_")
            self.counts[name] = self.counts.get(name, 0) + 1
            begun.append(asyncio.ensure_future(kind(random.Random(self._random.random()))))
        await asyncio.gather(*begun)

    async def _leave(self, draw):
        engine = draw.choice(self._fleet.engines())
        engine.leaving_in = ANSWER_KINDS
        if draw.random() < 0.5:
            await self._fleet.hide_record(engine, draw.uniform(*RECORD_GONE_S))
        await asyncio.sleep(draw.uniform(*RECORD_LATER_S))
        if engine in self._fleet.engines():
            await self._fleet.drain_engine(engine, draw.uniform(1.0, 5.0))

    async def _pause(self, draw):
        engine = draw.choice(self._fleet.engines())
        engine.retry_after = draw.choice(RETRY_AFTER_VALUES)
        await asyncio.sleep(draw.uniform(*REFUSES_S))
        engine.retry_after = ""


def check_announcements(calls, engines, timeline):
    """Find requests that nodes sent to engines against the engines' announcements."""
    known = {call.request_id: call for call in calls}
    for engine in engines:
        arrivals = [a for a in engine.arrivals if a.attempt_id in known]
        nodes = {known[a.attempt_id].node for a in arrivals}
        for node in sorted(nodes):
            own = [a for a in arrivals if known[a.attempt_id].node == node]
            yield from _check_leaving(engine, node, own, timeline)
            yield from _check_pause(engine, node, own, timeline)


def _check_leaving(engine, node, arrivals, timeline):
    announced_at = [a.answered_at for a in arrivals if a.announced_leaving and not a.cut]
    for arrival in arrivals:
        since = [at for at in announced_at if at + LEAVING_OBEYED_AFTER_S < arrival.at]
        if since and not timeline.halted_between(node, min(since), arrival.at):
            detail = f"{engine.engine_id}, {node}: {arrival.at - min(since):.2f} s later"
            yield Violation(
                "no request after an engine's leave announcement", arrival.attempt_id, detail
            )


def _check_pause(engine, node, arrivals, timeline):
    for refusal in arrivals:
        if not refusal.retry_after_s:
            continue
        since, until = (
            refusal.answered_at + PAUSE_OBEYED_AFTER_S,
            refusal.answered_at + refusal.retry_after_s,
        )
        late = [a for a in arrivals if since < a.at < until]
        if len(late) > SENDS_ALLOWED and not timeline.impaired_between(
            node, refusal.answered_at, until
        ):
            detail = f"{engine.engine_id}, {node}: {len(late)} in {refusal.retry_after_s} s"
            yield Violation("no requests during an engine's backoff", late[0].attempt_id, detail)
