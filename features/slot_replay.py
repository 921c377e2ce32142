"""Simulates nodes that share the slots of one brittle engine, in virtual time."""

import heapq
import itertools
import random

from features.gateway_support import engine_record
from liftrill.coordination.rendezvous import first
from liftrill.gateway.engines.engine_slots import EngineSlots, SlotPeers
from liftrill.gateway.engines.engine_table import EngineTable

SERVICE = "service-1"
NETWORK_S = 0.002
SERVICE_S = 0.1
REQUEST_PATIENCE_S = 0.16
LOAD_REPORT_S = 0.1
HOUSEKEEPING_S = 0.3
# After this time the other nodes know that a node has ended.
DETECTION_S = 2.0


class ReplayedNode(SlotPeers):
    """A node with its permits and its own view of the engine."""

    node_id = ""

    def __init__(self, fleet, name):
        self.fleet, self.node_id = fleet, name
        self.engines = EngineTable()
        self.view = self.engines.update(engine_record("engine-1", SERVICE, slots=fleet.slots))
        self.slots = EngineSlots(self.engines.by_number)
        self.slots.peers = self
        self.waiting = {}
        self.members = ()
        self.ended = False
        self.slots.services.record_report(SERVICE, fleet.now)

    def issuer(self, engine):
        return first(b"engine", self.members)

    def send(self, node, message):
        for name in [node] if node else [m for m in self.members if m != self.node_id]:
            self.fleet.deliver(self.node_id, name, message)

    def brittle_changed(self, service, brittle, source):
        pass

    def permits_changed(self):
        self.fleet.after(0.0, self.retry_waiting)

    def call_later(self, delay_s, callback):
        self.fleet.after(delay_s, callback)

    def retry_waiting(self):
        for user in list(self.waiting):
            self.try_send(user)

    def arrive(self, user):
        self.waiting[user] = self.fleet.now + REQUEST_PATIENCE_S
        self.try_send(user)
        self.fleet.after(REQUEST_PATIENCE_S, lambda: self.waiting.pop(user, None))

    def try_send(self, user):
        now = self.fleet.now
        if self.ended:
            return
        patience_s = max(0.0, self.waiting[user] - now)
        permit = self.slots.obtain(self.view, user, 1, patience_s, now)
        if permit is None:
            return
        del self.waiting[user]
        self.view.own_load.requests += 1
        self.fleet.send_to_engine(self)

    def finished(self, rejected):
        self.view.own_load.requests -= 1
        self.slots.request_ended(self.view, rejected, self.fleet.now)


class SlotFleet:
    """Nodes whose callers ask for more than the engine can do.

    Attributes:
        rejected_at: when the engine had no room.
        work_s: processing time that the engine spent on requests.
    """

    def __init__(self, nodes, slots, loss, seed, room=0):
        self.random = random.Random(seed)
        self.now, self.slots, self.loss, self.room = 0.0, slots, loss, room
        self.rejected_at, self.work_s, self.present = [], 0.0, 0
        self._queue, self._order, self._users = [], itertools.count(), itertools.count()
        self.nodes = {f"n{i}": ReplayedNode(self, f"n{i}") for i in range(nodes)}
        self.set_members(self.nodes)
        for node in self.nodes.values():
            self.after(self.random.uniform(0, 0.1), lambda node=node: self.call(node))
            self.after(self.random.uniform(0, 0.1), lambda node=node: self.report_loads(node))
            self.after(self.random.uniform(0, 0.3), lambda node=node: self.keep_house(node))

    def set_members(self, names):
        members = tuple(names)
        for name in members:
            self.nodes[name].members = members

    def after(self, delay_s, action):
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def run_until(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def deliver(self, sender, name, message):
        if self.random.random() < self.loss:
            return
        node = self.nodes[name]

        def receive():
            if not node.ended:
                node.slots.receive(sender, message, self.now)

        self.after(self.random.uniform(0.5, 1.5) * NETWORK_S, receive)

    def call(self, node):
        """Let a caller come, three times as often as the engine can serve."""
        if node.ended:
            return
        node.arrive(f"u{next(self._users)}")
        rate_per_s = 3 * self.slots / SERVICE_S / len(self.nodes)
        self.after(self.random.expovariate(rate_per_s), lambda: self.call(node))

    def report_loads(self, node):
        loads = {n.node_id: n.view.own_load.requests for n in self.nodes.values() if not n.ended}
        node.view.peer_load.requests = sum(loads.values()) - loads.get(node.node_id, 0)
        self.after(LOAD_REPORT_S, lambda: self.report_loads(node))

    def keep_house(self, node):
        node.slots.services.record_report(SERVICE, self.now)
        node.slots.refresh(node.engines, self.now)
        self.after(HOUSEKEEPING_S, lambda: self.keep_house(node))

    def send_to_engine(self, node):
        if self.present >= self.slots + self.room:
            self.rejected_at.append(self.now)
            self.after(NETWORK_S, lambda: node.finished(True))
            return
        self.present += 1
        self.work_s += SERVICE_S
        self.after(SERVICE_S, lambda: self.finish(node))

    def finish(self, node):
        self.present -= 1
        self.after(NETWORK_S / 2, lambda: node.finished(False))

    def end_issuer(self):
        """End the issuing node; its requests go on, and the others know of it later."""
        name = first(b"engine", self.nodes)
        self.nodes[name].ended = True
        self.after(DETECTION_S, lambda: self.set_members([n for n in self.nodes if n != name]))

    def most_rejected_in_a_second(self):
        times = self.rejected_at
        return max((sum(t <= at < t + 1.0 for at in times) for t in times), default=0)
