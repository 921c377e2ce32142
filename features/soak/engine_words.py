"""Engines that say in their answers that they leave, or want rest, during a soak; and the check."""

import asyncio
import random
import time

from features.soak.history import Violation
from features.standin.engine import ANSWER_KINDS

# Between two words (own choice).
SPACING_S = (0.5, 2.0)
# How much later than its answers an engine's record says that it leaves: the store may be away.
RECORD_LATER_S = (0.2, 5.0)
# For how long a record that says nothing of a leaving goes, and comes back.
RECORD_GONE_S = (0.3, 2.0)
RESTS = ("1", "2.5", "3", "0.7", "0", "-1", "1e9", "soon", "5")
TURNS_AWAY_S = (1.0, 5.0)
# As the platform's rules count.
LEAVING_HEARD_S = 2.0
REST_HEARD_S = 0.5
SENDS_ALLOWED = 2


class EngineAnnouncements:
    """Lets engines speak at random; what is drawn depends on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/engine words")
        self.counts = {}

    async def run_for(self, seconds):
        """Let engines speak for some time, and wait for the ends."""
        until = time.monotonic() + seconds
        begun = []
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(*SPACING_S))
            kind = self._random.choice((self._leave, self._rest))
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

    async def _rest(self, draw):
        engine = draw.choice(self._fleet.engines())
        engine.retry_after = draw.choice(RESTS)
        await asyncio.sleep(draw.uniform(*TURNS_AWAY_S))
        engine.retry_after = ""


def check_announcements(calls, engines, timeline):
    """Return the requests that engines got though they had told the node otherwise."""
    known = {call.request_id: call for call in calls}
    for engine in engines:
        arrivals = [a for a in engine.arrivals if a.attempt_id in known]
        nodes = {known[a.attempt_id].node for a in arrivals}
        for node in sorted(nodes):
            own = [a for a in arrivals if known[a.attempt_id].node == node]
            yield from _check_leaving(engine, node, own, timeline)
            yield from _check_rest(engine, node, own, timeline)


def _check_leaving(engine, node, arrivals, timeline):
    told = [a.answered_at for a in arrivals if a.announced_leaving and not a.cut]
    for arrival in arrivals:
        since = [at for at in told if at + LEAVING_HEARD_S < arrival.at]
        if since and not timeline.halted_between(node, min(since), arrival.at):
            detail = f"{engine.engine_id}, {node}: {arrival.at - min(since):.2f} s after"
            yield Violation("no request after an engine's word", arrival.attempt_id, detail)


def _check_rest(engine, node, arrivals, timeline):
    for told in arrivals:
        if not told.retry_after_s:
            continue
        since, until = told.answered_at + REST_HEARD_S, told.answered_at + told.retry_after_s
        late = [a for a in arrivals if since < a.at < until]
        if len(late) > SENDS_ALLOWED and not timeline.impaired_between(
            node, told.answered_at, until
        ):
            detail = f"{engine.engine_id}, {node}: {len(late)} in {told.retry_after_s} s"
            yield Violation("no requests within an engine's rest", late[0].attempt_id, detail)
