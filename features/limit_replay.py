"""Simulates nodes that share an engine's rate limit, in virtual time, over a faulty network."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from liftrill.coordination.rendezvous import first
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimits, LimitPeers

ENGINE = EngineAddress("engine-a", "10.0.0.9:1", 7)
NETWORK_S = 0.002
SERVICE_S = 0.05
# When each datagram of a broadcast is sent, as in peer_link.
BROADCAST_DELAYS_S = (0.0, 0.05, 0.5)
# After these times the other nodes know that a node has failed, or has joined.
DETECTION_S = 2.0
JOIN_DELAY_S = 0.3
# The clocks of two nodes differ by up to this much.
CLOCK_OFFSET_S = 10_000.0


@dataclass
class SentRequest:
    """A request that reached the engine.

    Attributes:
        node: the node that sent it.
        limit_known_at: when that node first got an answer that names a limit, or None.
    """

    at: float
    node: str
    limit_known_at: float | None


class ReplayedNode(LimitPeers):
    """A node with its limits and its view of the membership."""

    node_id = ""

    def __init__(self, fleet, name):
        self.node_id = name
        self.fleet = fleet
        self.clock_offset_s = fleet.random.uniform(0.0, CLOCK_OFFSET_S)
        self.members = {name}
        self.started_at = fleet.now
        self.frozen_until = 0.0
        self.limit_known_at = None
        self.waiting = {}
        self.start()

    def start(self):
        self.limits = EngineLimits()
        self.limits.peers = self
        self.started_at, self.limit_known_at, self.waiting = self.fleet.now, None, {}

    @property
    def now(self):
        return self.fleet.now + self.clock_offset_s

    def issuer(self, engine):
        return first(b"engine", self.members)

    def issuing_share(self):
        if self.fleet.now - self.started_at < 1.0:
            return 0.0
        return min(1.0, len(self.members) / self.fleet.size)

    def send(self, node, message):
        self.fleet.deliver(
            self, node, lambda peer: peer.limits.receive(self.node_id, message, peer.now)
        )

    def broadcast(self, limit):
        for peer in self.members - {self.node_id}:
            for delay_s in BROADCAST_DELAYS_S:
                self.fleet.deliver(self, peer, lambda p: p.limits.merge(limit, p.now), delay_s)

    def limit_changed(self, limit, source):
        pass

    def permit_granted(self):
        pass

    def permit_refused(self, engine, user, issuer, wait_s):
        pass

    def permit_unanswered(self, engine, issuer):
        pass

    def permits_changed(self):
        self.fleet.after(0.0, self.retry_waiting, self)

    def retry_waiting(self):
        for user in list(self.waiting):
            self.try_send(user)

    def arrive(self, user):
        self.waiting[user] = self.fleet.now + 0.15
        self.try_send(user)
        self.fleet.after(0.16, lambda: self.waiting.pop(user, None), self)

    def try_send(self, user):
        """Send a request like a node that prefers this engine but has others to choose from."""
        limits, now = self.limits, self.now
        permit = None
        if limits.is_limited(ENGINE):
            permit = limits.claim(ENGINE, user, now)
            if permit is None and limits.is_pending(ENGINE, user, now):
                return
            if permit is None and not limits.wait_s(ENGINE, user, now):
                limits.request_permit(ENGINE, user, 0.0, True, now)
                permit = limits.claim(ENGINE, user, now)
                if permit is None and limits.is_pending(ENGINE, user, now):
                    return
        self.waiting.pop(user, None)
        if limits.may_send(ENGINE, permit, now):
            self.fleet.send_to_engine(self, permit)


@dataclass
class ReplayedFleet:
    """Simulates nodes, the network between them, and one engine that names a limit.

    Attributes:
        limit_at: returns the limit that the engine names at a time, or None.
        lost_share: the share of datagrams that are lost.
        max_delay_s: the longest extra delay of a datagram.
        partition: groups of nodes that are cut off from all others.
        naming_share: the share of answers in which the engine names its limit.
    """

    size: int
    seed: int = 1
    limit_at: object = lambda now: 1.0
    lost_share: float = 0.0
    max_delay_s: float = 0.0
    partition: tuple = ()
    naming_share: float = 1.0
    now: float = 0.0
    sent: list = field(default_factory=list)
    events: list = field(default_factory=list)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.order = itertools.count()
        self.users = itertools.count()
        self.nodes = {}
        names = [f"node-{number}" for number in range(self.size)]
        for name in names:
            self.nodes[name] = ReplayedNode(self, name)
        for node in self.nodes.values():
            node.members = set(names)
            node.started_at = -10.0

    def after(self, wait_s, action, node=None):
        """Schedule an action; a node that restarts before it is due drops it."""
        started_at = node.started_at if node is not None else None
        heapq.heappush(self.events, (self.now + wait_s, next(self.order), action, node, started_at))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, action, node, started_at = heapq.heappop(self.events)
            self.now = at
            if node is not None and node.started_at != started_at:
                continue
            if node is not None and self.now < node.frozen_until:
                self.after(node.frozen_until - self.now, action, node)
                continue
            action()
        self.now = until

    def deliver(self, sender, name, action, wait_s=0.0):
        peer = self.nodes.get(name)
        if (
            peer is None
            or not self._reaches(sender.node_id, name)
            or self.random.random() < self.lost_share
        ):
            return
        wait_s += NETWORK_S + self.random.uniform(0.0, self.max_delay_s)
        self.after(wait_s, lambda: action(peer), peer)

    def _reaches(self, sender, name):
        return not any((sender in side) != (name in side) for side in self.partition)

    def send_to_engine(self, node, permit):
        self.sent.append(SentRequest(self.now, node.node_id, node.limit_known_at))
        named = self.limit_at(self.now)
        if self.random.random() >= self.naming_share:
            named = None
        self.after(SERVICE_S, lambda: self._answer(node, named, permit), node)

    def _answer(self, node, named, permit):
        node.limits.note_answer(ENGINE, named, permit, node.now)
        if named is not None and node.limit_known_at is None:
            node.limit_known_at = self.now

    def schedule_calls(self, per_s, until, nodes=None):
        """Schedule random calls to the given nodes, or to all."""
        names = nodes or list(self.nodes)
        at = self.now
        while (at := at + self.random.expovariate(per_s)) < until:
            node = self.nodes[self.random.choice(names)]
            self.after(at - self.now, lambda n=node: self._arrive(n))

    def _arrive(self, node):
        """Deliver a call to a node; a frozen node handles it when it resumes."""
        if self.now < node.frozen_until:
            if node.frozen_until < float("inf"):
                self.after(node.frozen_until - self.now, lambda: self._arrive(node))
            return
        node.arrive(f"user-{next(self.users)}")

    def remove_member(self, name):
        """Remove a node from the membership of the other nodes."""
        for node in self.nodes.values():
            if node.node_id != name:
                node.members.discard(name)

    def kill(self, name):
        self.nodes[name].frozen_until = float("inf")
        self.after(DETECTION_S, lambda: self.remove_member(name))

    def restart(self, name):
        """Restart a node, to which the other nodes send the limits in force."""
        node = self.nodes[name]
        node.start()
        for peer in self.nodes.values():
            limits = peer.limits.in_force()
            if peer is not node and limits:
                self.deliver(
                    peer,
                    name,
                    lambda p, known=limits: p.limits.merge(known[0], p.now),
                    JOIN_DELAY_S,
                )

    def freeze(self, name, seconds):
        node = self.nodes[name]
        # A node that was killed does not resume.
        node.frozen_until = max(node.frozen_until, self.now + seconds)
        if seconds > DETECTION_S:
            self.after(DETECTION_S, lambda: self.remove_member(name))
            self.after(seconds + JOIN_DELAY_S, lambda: self._rejoin(name))

    def _rejoin(self, name):
        for node in self.nodes.values():
            if self._reaches(name, node.node_id):
                node.members.add(name)

    def isolate(self, names):
        """Partition some nodes from the others; both sides drop each other after DETECTION_S."""
        self.partition = (set(names),)
        others = set(self.nodes) - set(names)

        def detect():
            for name in names:
                self.nodes[name].members -= others
            for name in others:
                self.nodes[name].members -= set(names)

        self.after(DETECTION_S, detect)

    def issuer(self):
        return first(b"engine", set(self.nodes))
