"""A store that comes back from older copies of itself during a soak."""

import asyncio
import random
import time

# Between two returns, how long the store is away, and how old the copy is (own choice).
SPACING_S = (2.0, 7.0)
AWAY_S = (0.1, 1.5)
COPY_AGE_S = (1.0, 5.0)
# How long after the return what operators and engines wrote is written again.
WRITTEN_AGAIN_S = (0.0, 0.8)


class StoreRestores:
    """Lets the store come back at random; what is drawn depends on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/store returns")
        self.counts = {"return": 0}
        fleet.store.era = "1"

    async def run_for(self, seconds):
        """Let the store come back for some time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(*SPACING_S))
            await self._come_back()

    async def _come_back(self):
        store = self._fleet.store
        away_s, age_s = self._random.uniform(*AWAY_S), self._random.uniform(*COPY_AGE_S)
        again_s = self._random.uniform(*WRITTEN_AGAIN_S)
        # As with any trouble of the store: nodes are judged by what they hear once it is over.
        with self._fleet.timeline.impairment():
            fault, store.fault = store.fault, "reset"
            store.cut_watches()
            await asyncio.sleep(away_s)
            store.restore(age_s)
            store.fault = fault if fault != "reset" else ""
            self.counts["return"] += 1
            await asyncio.sleep(again_s)
            self._fleet.rewrite_all()
