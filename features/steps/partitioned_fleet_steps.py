"""Steps on nodes without a network, of which one is stopped or cut off at random times."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from behave import then, when

from features.steps.stream_origin_steps import FakeRangeStore, versioned_record
from features.steps.unrecorded_version_steps import Node, recorded
from liftrill import clock
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import WatchBatch
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreUnavailableError
from liftrill.gateway.streams.origin_exchange import OriginPeers

KINDS = ("stopped", "store and peers", "store", "peers")
OLDER, NEWER = "v1.1", "v1.2"
ENGINES = {OLDER: 2, NEWER: 4}
TICK_S, NETWORK_S, SUSPECTED_S = 0.05, 0.002, 1.0
UPTIME_S = 100.0
SPACING_S = 0.04


class StoreOfNode:
    """The store as one node reaches it, and the origins in it."""

    def __init__(self, fleet, node_id):
        self._fleet, self._node_id = fleet, node_id

    async def read(self, key):
        await self._reach()
        return await self._fleet.store.read(key)

    async def transact(self, expected, puts):
        await self._reach()
        return await self._fleet.store.transact(expected, puts)

    async def _reach(self):
        await asyncio.sleep(NETWORK_S)
        if self._fleet.is_cut(self._node_id, "store"):
            raise StoreUnavailableError("cut off")


class PeersOfNode(OriginPeers):
    """The peers as one node reaches them."""

    def __init__(self, fleet, node_id):
        self._fleet, self._node_id = fleet, node_id

    @property
    def own(self):
        return self._fleet.members[self._node_id]

    def others(self):
        return [m for m in self.members() if m != self.own and m.condition is Condition.ALIVE]

    def members(self):
        """Return the members, of which those that cannot be reached for long are suspected."""
        return [
            replace(member, condition=Condition.SUSPECT)
            if self._fleet.is_lost(self._node_id, member.node_id)
            else member
            for member in self._fleet.members.values()
        ]

    def send(self, node, content):
        loop = asyncio.get_running_loop()
        loop.call_later(NETWORK_S, self._fleet.deliver, self._node_id, node, content)


class PartitionedFleet:
    """Nodes, of which the first is out of touch for some time."""

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        count = self.random.randint(3, 6)
        names = [f"node-{n}" for n in range(count)]
        self.members = {n: Member(n, "", "region-1", "zone-1", 1) for n in names}
        self.first = names[0]
        self.kind = self.random.choice(KINDS)
        self.cut_at, self.restored_at = float("inf"), float("inf")
        self.versions = {OLDER}
        self.store = FakeRangeStore()
        self.origins = {}
        self.nodes = {}
        self.found = []

    def is_out(self):
        return self.cut_at <= clock.now_s() < self.restored_at

    def is_cut(self, node, what):
        return node == self.first and self.is_out() and (what in self.kind or self.is_stopped())

    def is_stopped(self):
        return self.kind == "stopped" and self.is_out()

    def is_lost(self, node, other):
        is_cut = self.is_cut(node, "peers") or self.is_cut(other, "peers")
        return node != other and is_cut and clock.now_s() - self.cut_at > SUSPECTED_S

    def deliver(self, sender, receiver, content):
        if not self.is_cut(sender, "peers") and not self.is_cut(receiver, "peers"):
            self.nodes[receiver].tracker.receive(sender, content)

    def add_node(self, name):
        peers = PeersOfNode(self, name)
        node = Node(
            StoreMirror(), StoreOfNode(self, name), {}, UPTIME_S, name, MirrorFreshness(), peers
        )
        node.record._membership.own, node.record._membership.members = peers.own, peers.members
        find = node.tracker._storage.find
        node.tracker._storage.stored = self.origins

        async def find_if_reached(key):
            await StoreOfNode(self, name)._reach()
            return await find(key)

        node.tracker._storage.find = node.tracker._exchange._storage.find = find_if_reached
        self.nodes[name] = node
        return node

    async def follow(self, name):
        """Follow the store while it is reached."""
        node = self.add_node(name)
        await asyncio.sleep(self.random.random() * TICK_S)
        while True:
            now = clock.now_s()
            if not self.is_cut(name, "store"):
                items = tuple(self.store.mirror.items())
                node.record._mirror.apply_batch(WatchBatch(items, self.store.mirror.position))
                self.take_engines(node)
                node.record._freshness.as_of = now
                node.load()
                node.tracker.refresh(now)
            if not (name == self.first and self.is_stopped()):
                await node.record.write_due(now)
            await asyncio.sleep(TICK_S)

    def take_engines(self, node):
        known = {view.engine_id for view in node.engines}
        present = {f"{v}-{n}": v for v in self.versions for n in range(ENGINES[v])}
        for engine_id in known - present.keys():
            node.engines.remove(engine_id)
        for engine_id in present.keys() - known:
            node.engines.update(versioned_record(engine_id, present[engine_id]))

    async def play(self):
        await self.store.transact((), (recorded(OLDER),))
        following = [asyncio.ensure_future(self.follow(name)) for name in self.members]
        await asyncio.sleep(1.0)
        draw = self.random.uniform
        self.cut_at = clock.now_s()
        self.restored_at = self.cut_at + draw(1.0, 4.0)
        await asyncio.sleep(draw(0.0, 0.5))
        self.versions.add(NEWER)
        ends_at = clock.now_s() + draw(0.8, 3.0)
        resumed = []
        while clock.now_s() < ends_at:
            name = self.random.choice([n for n in self.members if n != self.first])
            stream = f"stream-{len(resumed)}"
            began = self.nodes[name].begin(stream)
            after_s = ends_at - clock.now_s() + draw(0.0, 1.5)
            resumed.append(asyncio.ensure_future(self.resume(stream, began, after_s)))
            await asyncio.sleep(SPACING_S)
        self.versions.discard(NEWER)
        await asyncio.gather(*resumed)
        for task in following:
            task.cancel()
        results = await asyncio.gather(*following, return_exceptions=True)
        assert all(isinstance(each, asyncio.CancelledError) for each in results), results

    async def resume(self, stream, began, after_s):
        await asyncio.sleep(after_s)
        if self.is_stopped():
            await asyncio.sleep(self.restored_at - clock.now_s())
        self.found.append((began, await self.nodes[self.first].resume(stream)))


@when("{count:d} fleets play this, with seeds from {seed:d}")
def step_play(context, count, seed):
    async def play():
        context.fleets = [PartitionedFleet(number) for number in range(seed, seed + count)]
        await asyncio.gather(*(fleet.play() for fleet in context.fleets))

    context.run(play())
    for kind in KINDS:
        found = Counter(f for fleet in context.fleets if fleet.kind == kind for f in fleet.found)
        print(kind, dict(found))


@then("no stream goes on at another version")
def step_none_mixed(context):
    mixed = [
        (fleet.seed, fleet.kind, began, resumed)
        for fleet in context.fleets
        for began, resumed in fleet.found
        if resumed not in (None, began)
    ]
    assert not mixed, (len(mixed), mixed[:5])
