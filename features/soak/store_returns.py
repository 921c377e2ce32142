"""A store that is restored from older copies during a soak."""

import asyncio
import random
import time

# Between two restores, how long the store is down, and how old the copy is.
SPACING_S = (2.0, 7.0)
DOWN_S = (0.1, 1.5)
COPY_AGE_S = (1.0, 5.0)
# How long after the restore the operator's and the engines' items are written again.
REWRITTEN_AFTER_S = (0.0, 0.8)


class StoreRestores:
    """Restores the store at random times; the draws depend on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/store returns")
        self.counts = {"restore": 0}
        fleet.store.era = "1"

    async def run_for(self, seconds):
        """Restore the store repeatedly for some time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(*SPACING_S))
            await self._restore()

    async def _restore(self):
        store = self._fleet.store
        down_s, age_s = self._random.uniform(*DOWN_S), self._random.uniform(*COPY_AGE_S)
        rewritten_after_s = self._random.uniform(*REWRITTEN_AFTER_S)
        # As for any store fault, nodes are checked by what they receive after its end.
        with self._fleet.timeline.impairment():
            fault, store.fault = store.fault, "reset"
            store.cut_watches()
            await asyncio.sleep(down_s)
            store.restore(age_s)
            store.fault = fault if fault != "reset" else ""
            self.counts["restore"] += 1
            await asyncio.sleep(rewritten_after_s)
            self._fleet.rewrite_all()
