"""Cuts of the links between nodes and engines during a soak."""

import asyncio
import random
import time
from contextlib import nullcontext

from features.standin.engine_links import CutKind

SPACING_S = (1.0, 3.0)
CUT_S = (0.5, 5.0)
KINDS = (CutKind.HANG, CutKind.RESET, CutKind.REFUSE)


class EngineCuts:
    """Cuts the links of random nodes to all or some engines; the draws depend on the seed alone.

    A node whose links hang counts as impaired: the network holds back what it has sent.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/engine cuts")
        self.counts = {"cut": 0, "all nodes": 0}

    async def run_for(self, seconds):
        """Begin cuts for some time, and wait until all have ended."""
        until = time.monotonic() + seconds
        begun = []
        while time.monotonic() < until:
            draw = random.Random(self._random.random())
            begun.append(asyncio.ensure_future(self._cut(draw)))
            await asyncio.sleep(self._random.uniform(*SPACING_S))
        await asyncio.gather(*begun)

    async def _cut(self, draw):
        nodes = draw.sample(self._fleet.nodes, draw.randint(1, len(self._fleet.nodes)))
        kind = draw.choice(KINDS)
        engines = [*self._fleet.engines(), *self._fleet.others.values()]
        known = [engine.address for engine in engines]
        is_partial = draw.random() < 0.25
        targets = set(draw.sample(known, len(known) // 2)) if is_partial else None
        self.counts["cut"] += 1
        self.counts["all nodes"] += len(nodes) == len(self._fleet.nodes)
        self._fleet.timeline.note_fault(f"cut {kind.name} of {len(nodes)}")
        seconds = draw.uniform(*CUT_S)
        await asyncio.gather(*(self._cut_node(node, kind, targets, seconds) for node in nodes))

    async def _cut_node(self, node, kind, targets, seconds):
        links = self._fleet.links[node.name]
        hangs = kind is CutKind.HANG
        with self._fleet.timeline.impairment(node.name) if hangs else nullcontext():
            links.cut(kind, targets)
            await asyncio.sleep(seconds)
            links.restore()
