"""Fault injection of a soak: kinds, times and targets, all drawn from the seed."""

import asyncio
import random
import signal
import time
from contextlib import nullcontext, suppress

from features.soak.proxy import ProxyFault

ENGINE_FAULTS = (
    "shed",
    "close",
    "crossed",
    "extra",
    "extra_late",
    "reset_unframed",
    "torn",
    "fail",
)
PROXY_FAULTS = tuple(fault for fault in ProxyFault if fault is not ProxyFault.NONE)
# The relative frequency of a kind of fault, drawn for each seed: nodes must be unimpaired for
# some time to be checked, and seeds in which impairing faults are rare provide that.
KIND_WEIGHTS = (0.2, 1.0, 3.0)
# The longest time between two faults, one of these for each seed.
LONGEST_SPACING_S = (1.2, 2.4)
SHORTEST_SPACING_S = 0.3
# How long faults may take to end after the last has begun: an engine refuses orders for up to
# 13 s.
END_WITHIN_S = 14.0


class FaultInjector:
    """Injects random faults into a fleet.

    The draws for a fault depend on the seed and the fault's number alone, so that the same seed
    injects the same faults again.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed
        self._schedule = random.Random(seed)
        self._kinds = (
            self._pause_node,
            self._kill_node,
            self._stop_node,
            self._fail_store,
            self._refuse_node,
            self._compact_history,
            self._lose_writes,
            self._fail_link,
            self._fail_engine,
            self._crash_engine,
            self._drain_engine,
            self._remove_unannounced,
            self._set_weight_version,
            self._refuse_orders,
            self._revoke,
            self._reconfigure,
            self._stall_watches,
            self._silence_connections,
        )
        self._weights = [self._schedule.choice(KIND_WEIGHTS) for _ in self._kinds]
        self._longest_spacing_s = self._schedule.choice(LONGEST_SPACING_S)

    async def inject_for(self, seconds, ends_within_s=END_WITHIN_S):
        """Begin faults for some time, and wait until they have ended, or cancel them."""
        until = time.monotonic() + seconds
        tasks = set()
        while time.monotonic() < until:
            tasks.add(asyncio.ensure_future(self._begin()))
            await asyncio.sleep(self._schedule.uniform(SHORTEST_SPACING_S, self._longest_spacing_s))
        done, pending = await asyncio.wait(tasks, timeout=ends_within_s)
        for task in pending:
            task.cancel()
        await asyncio.wait(tasks)
        for task in done:
            task.result()

    async def _begin(self):
        (kind,) = self._schedule.choices(self._kinds, self._weights)
        draw = random.Random(f"{self._seed}/{len(self._fleet.timeline.faults)}")
        self._fleet.timeline.note_fault(kind.__name__.lstrip("_"))
        await kind(draw)

    # Nodes

    async def _pause_node(self, draw):
        node = self._running_node(draw)
        if node is None:
            return
        with self._fleet.timeline.impairment(node.name, halted=True):
            try:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(draw.uniform(0.3, 6.0))
            finally:
                with suppress(ProcessLookupError):
                    node.signal(signal.SIGCONT)

    async def _kill_node(self, draw):
        node = self._running_node(draw)
        if node is None:
            return
        with self._fleet.timeline.impairment(node.name, halted=True):
            await node.stop()
            await asyncio.sleep(draw.uniform(0.1, 1.0))
            await self._fleet.start_node(node)

    async def _stop_node(self, draw):
        node = self._running_node(draw)
        if node is None:
            return
        with self._fleet.timeline.impairment(node.name, halted=True) as signalled_at:
            node.signal(signal.SIGTERM)
            with suppress(TimeoutError):
                await asyncio.wait_for(node.process.wait(), 9.0)
                self._fleet.timeline.note_stop(node.name, signalled_at)
            await node.stop()
            await self._fleet.start_node(node)

    def _running_node(self, draw):
        running = self._fleet.running_nodes()
        return draw.choice(running) if running else None

    # The store and the connections to it

    async def _fail_store(self, draw):
        store = self._fleet.store
        with self._fleet.timeline.impairment():
            store.fault = draw.choice(("down", "silent", "reset"))
            await asyncio.sleep(draw.uniform(0.5, 5.0))
            store.fault = ""

    async def _refuse_node(self, draw):
        node = draw.choice(self._fleet.nodes)
        with self._fleet.timeline.impairment(node.name):
            self._fleet.store.refused_ips.add(node.ip)
            await asyncio.sleep(draw.uniform(1.0, 7.0))
            self._fleet.store.refused_ips.discard(node.ip)

    async def _compact_history(self, draw):
        self._fleet.store.forget_history()

    async def _lose_writes(self, draw):
        self._fleet.store.unanswered_writes = 3

    async def _fail_link(self, draw):
        name = draw.choice(list(self._fleet.proxies))
        fault = draw.choice(PROXY_FAULTS)
        is_cut = fault is not ProxyFault.DELAY
        with self._fleet.timeline.impairment(name) if is_cut else nullcontext():
            self._fleet.proxies[name].fault = fault
            await asyncio.sleep(draw.uniform(0.5, 6.0))
            self._fleet.proxies[name].fault = ProxyFault.NONE

    async def _stall_watches(self, draw):
        """Stall the watches during some changes, then compact the history and cut the watches."""
        self._fleet.store.stall_watches()
        changes = asyncio.ensure_future(self._change_several(draw))
        try:
            await asyncio.sleep(draw.uniform(0.8, 1.1))
        finally:
            self._fleet.store.cut_watches()
        await changes

    async def _silence_connections(self, draw):
        """Silence the open connections during some changes."""
        changes = asyncio.ensure_future(self._change_several(draw))
        await asyncio.sleep(draw.uniform(0.0, 0.4))
        self._fleet.store.silence_connections()
        self._fleet.timeline.note_silent_connections()
        await changes

    async def _change_several(self, draw):
        """Let engines leave and set a new weight version, all within about a second."""
        kinds = (
            self._drain_engine,
            self._remove_unannounced,
            self._set_weight_version,
            self._refuse_orders,
        )
        changes = []
        for number, kind in enumerate(draw.sample(kinds, draw.randint(2, len(kinds)))):
            await asyncio.sleep(draw.uniform(0.0, 0.4))
            own = random.Random(f"{draw.random()}/{number}")
            changes.append(asyncio.ensure_future(kind(own)))
        await asyncio.gather(*changes)

    # Engines

    async def _fail_engine(self, draw):
        engine = draw.choice(self._fleet.engines())
        engine.fault = draw.choice(ENGINE_FAULTS)
        engine.fault_count = draw.randrange(1, 4)

    async def _crash_engine(self, draw):
        await self._fleet.crash(draw.choice(self._fleet.engines()), draw.uniform(0.2, 2.0))

    async def _drain_engine(self, draw):
        engine = draw.choice(self._fleet.engines())
        await self._fleet.drain_engine(engine, draw.uniform(1.0, 5.0))

    async def _remove_unannounced(self, draw):
        await self._fleet.remove_unannounced(draw.choice(self._fleet.engines()))

    async def _refuse_orders(self, draw):
        """Let engines keep their weights for longer than replaced weights may be used."""
        known = self._fleet.engines("llm")
        engines = draw.sample(known, draw.randint(1, len(known)))
        self._set_refuses_orders(engines, True)
        await asyncio.sleep(draw.uniform(0.0, 0.5))
        self._fleet.set_weight_version()
        await asyncio.sleep(draw.uniform(10.0, 12.0))
        self._set_refuses_orders(engines, False)

    def _set_refuses_orders(self, engines, refuses):
        for engine in engines:
            engine.refuses_orders = refuses

    # The operator

    async def _set_weight_version(self, draw):
        self._fleet.set_weight_version()

    async def _revoke(self, draw):
        self._fleet.revoke()

    async def _reconfigure(self, draw):
        self._fleet.configure()
