"""Suspended machines in a soak: a node's monotonic clock stops while real time goes on."""

import asyncio
import random
import signal
from contextlib import suppress

# Between two suspensions, how long one lasts, and how many nodes are suspended together.
SPACING_S = (1.0, 3.0)
LASTS_S = (1.0, 8.0)
NODES_PER_SLEEP = (1, 1, 1, 2, 3)


class MachineSleeps:
    """Suspends random nodes; the draws depend on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/sleeps")
        self._asleep = set()
        self.count = 0

    async def run_for(self, seconds):
        """Begin suspensions for some time, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        sleeping = []
        while loop.time() < until:
            await asyncio.sleep(self._random.uniform(*SPACING_S))
            lasts_s = self._random.uniform(*LASTS_S)
            for node in self._draw_nodes():
                sleeping.append(asyncio.ensure_future(self._sleep(node, lasts_s)))
        await asyncio.gather(*sleeping)

    def _draw_nodes(self):
        awake = [node for node in self._fleet.running_nodes() if node.name not in self._asleep]
        count = min(len(awake), self._random.choice(NODES_PER_SLEEP))
        return self._random.sample(awake, count)

    async def _sleep(self, node, lasts_s):
        self._asleep.add(node.name)
        self.count += 1
        process = node.process
        with self._fleet.timeline.impairment(node.name, halted=True), suppress(ProcessLookupError):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(lasts_s)
            # Another fault may have killed the suspended process or replaced it.
            if node.process is process and process.returncode is None:
                node.wake(lasts_s)
        self._asleep.discard(node.name)
