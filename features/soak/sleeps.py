"""Machines that sleep during a soak: their steady clocks stand, all other time goes on."""

import asyncio
import random
import signal
from contextlib import suppress

# Between two sleeps, how long one lasts, and how many nodes sleep together (own choice).
SPACING_S = (1.0, 3.0)
LASTS_S = (1.0, 8.0)
SLEEPERS = (1, 1, 1, 2, 3)


class MachineSleeps:
    """Lets nodes sleep at random; what is drawn depends on the seed alone."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/sleeps")
        self._asleep = set()
        self.count = 0

    async def run_for(self, seconds):
        """Begin sleeps for some time, and wait for their ends."""
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
        count = min(len(awake), self._random.choice(SLEEPERS))
        return self._random.sample(awake, count)

    async def _sleep(self, node, lasts_s):
        self._asleep.add(node.name)
        self.count += 1
        process = node.process
        with self._fleet.timeline.impairment(node.name, halted=True), suppress(ProcessLookupError):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(lasts_s)
            # Another fault may have ended the process that slept, or let it go on.
            if node.process is process and process.returncode is None:
                node.wake(lasts_s)
        self._asleep.discard(node.name)
