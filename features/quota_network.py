"""A fleet that holds one tenant to its limit, in virtual time."""

import math
import random

from liftrill.bench.simulation.clock import VirtualClock
from liftrill.coordination.quota import (
    FleetSize,
    QuotaLimit,
    QuotaPolicy,
    QuotaSource,
    QuotaTolerance,
    QuotaVerdict,
    SharedBuckets,
)
from liftrill.coordination.token_bucket import TokenBucket

TENANT = "tenant"
LATENCY_S = 0.002
DIRECT_NODES = 12
ZONES = 3
# Bounds of the rule that the fleet is held to.
TOLERANCE = QuotaTolerance(window_s=8.0, overshoot=0.1, slack=110_000.0)
LONG_PROMPT, SHORT_PROMPT = 9_200, 875


class AloneBuckets(QuotaPolicy):
    """Each node by itself, with a share of the limit: what the fleet's buckets replace."""

    def __init__(self, share):
        self.share = share
        self.bucket = None

    def configure(self, limits, now):
        limit = limits[TENANT]
        self.bucket = TokenBucket(limit.rate_per_s * self.share, limit.burst * self.share)
        self.bucket.try_take(0.0, now)

    def try_take(self, tenant, amount, now, patience_s=30.0):
        return QuotaVerdict(self.bucket.try_take(amount, now))

    def take_unconditionally(self, tenant, amount, now):
        self.bucket.try_take(amount, now)

    def refund(self, tenant, amount, now):
        self.bucket.refund(amount)


class QuotaNetwork:
    """Nodes that report to each other as the gateway's do, and callers of one tenant.

    Attributes:
        served: (time, units) of each request that was let through.
        asked: the same of each request, with whether its node could answer.
    """

    def __init__(self, nodes, rate, seed=1, policy="shared"):
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.count = nodes
        self.limit = QuotaLimit(rate, rate)
        self.policy = policy
        self.loss = 0.0
        # Of what is let through, the share that engines shed after a time; whether what is told
        # at once comes twice.
        self.shed_share, self.shed_after_s, self.twice = 0.0, 0.1, False
        self.down, self.frozen, self.cut = set(), set(), set()
        # Whether those that are cut off still hear each other.
        self.cut_together = False
        self.nodes, self.born, self.backlog = {}, {}, {}
        self.served, self.asked = [], []
        for number in range(nodes):
            self.start(number, first=True)

    # Nodes

    def start(self, number, first=False):
        if self.policy == "shared":
            source = random.Random(self.random.random())
            node = SharedBuckets(FleetSize(self.count), TOLERANCE, first, source)
        else:
            node = AloneBuckets(1.0 if self.policy == "alone" else 1.0 / self.count)
        node.configure({TENANT: self.limit}, self.clock.now())
        self.nodes[number] = node
        self.born[number] = -math.inf if first else self.clock.now()
        self.down.discard(number)
        if self.policy == "shared":
            wait = self.random.uniform(0.0, 0.3)
            self.clock.call_later(wait, lambda: self.report(number, node))

    def restart(self, numbers, after):
        self.down |= set(numbers)

        def back():
            for number in numbers:
                self.start(number)

        self.clock.call_later(after, back)

    def freeze(self, numbers, lasting):
        self.frozen |= set(numbers)

        def thaw():
            self.frozen -= set(numbers)
            for number in numbers:
                for deliver in self.backlog.pop(number, []):
                    deliver()

        self.clock.call_later(lasting, thaw)

    def set_limit(self, rate):
        self.limit = QuotaLimit(rate, rate)
        for node in self.nodes.values():
            node.configure({TENANT: self.limit}, self.clock.now())

    def zone(self, number):
        return f"zone-{number % ZONES}"

    # What nodes tell each other

    def report(self, number, node):
        if self.nodes[number] is not node or number in self.down:
            return
        interval = 0.1 if self.count <= DIRECT_NODES else min(0.4, 0.01 * self.count / ZONES)
        if number not in self.frozen:
            self.send_report(number, node)
        wait = interval * self.random.uniform(0.9, 1.1)
        self.clock.call_later(wait, lambda: self.report(number, node))

    def send_report(self, number, node):
        now = self.clock.now()
        own = node.own_report(now)
        source = QuotaSource(self.zone(number), str(number))
        direct = self.count <= DIRECT_NODES
        for other in range(self.count):
            if other != number and (direct or self.zone(other) == self.zone(number)):
                self.send(number, other, lambda o=other: self.hear(o, source, own))
        if not direct and number < ZONES:
            total = node.zone_report(self.zone(number), now)
            for delegate in range(ZONES):
                if delegate != number:
                    self.send(number, delegate, lambda d=delegate: self.relay(d, number, total))

    def relay(self, delegate, number, total):
        source = QuotaSource(self.zone(number))
        self.hear(delegate, source, total)
        for other in range(delegate + ZONES, self.count, ZONES):
            self.send(delegate, other, lambda o=other: self.hear(o, source, total))

    def hear(self, number, source, report):
        self.nodes[number].hear(source, report, self.clock.now())

    def send(self, number, other, deliver):
        if self.random.random() < self.loss or not self.reaches(number, other):
            return
        self.clock.call_later(LATENCY_S, lambda: self.arrive(other, deliver))

    def reaches(self, number, other):
        if other in self.down or (number in self.cut) != (other in self.cut):
            return False
        if number in self.cut and not self.cut_together:
            return False
        # A node that has just started learns of the others within two seconds.
        known_after = random.Random(number * self.count + other).uniform(0.0, 2.0)
        return self.clock.now() - self.born[number] >= known_after

    def arrive(self, number, deliver):
        if number in self.down:
            return
        if number in self.frozen:
            self.backlog.setdefault(number, []).append(deliver)
        else:
            deliver()

    # Callers

    def call(self, since, until, rate, nodes=None, long_share=0.85):
        """Let callers ask for a rate of units, for a time, of some nodes or of all."""
        for share, units in ((long_share, LONG_PROMPT), (1.0 - long_share, SHORT_PROMPT)):
            at = since
            while share and (at := at + self.random.expovariate(share * rate / units)) < until:
                number = self.random.choice(nodes) if nodes else self.random.randrange(self.count)
                units_asked = max(1.0, self.random.gauss(units, units / 4))
                self.clock.call_at(at, lambda n=number, u=units_asked: self.ask(n, u))

    def ask(self, number, units):
        now = self.clock.now()
        self.asked.append((now, units))
        if number in self.down or number in self.frozen:
            return
        verdict = self.nodes[number].try_take(TENANT, units, now)
        if verdict.wait_s > 0.0:
            return
        self.tell(number, verdict.notice)
        if self.random.random() < self.shed_share:
            node = self.nodes[number]
            self.clock.call_later(self.shed_after_s, lambda: self.shed(number, node, units))
        else:
            self.served.append((now, units))

    def shed(self, number, node, units):
        if self.nodes[number] is node and number not in self.down:
            self.tell(number, node.refund(TENANT, units, self.clock.now()))

    def tell(self, number, notice):
        for other in range(self.count) if notice is not None else ():
            for _ in range(1 + self.twice) if other != number else ():
                self.send(number, other, lambda o=other: self.hear_spending(o, number, notice))

    def hear_spending(self, number, sender, notice):
        self.nodes[number].hear_spending(str(sender), notice, self.clock.now())

    # What came of it

    def run(self, until):
        self.clock.run(until)

    def most_in_a_window(self, since=0.0):
        """Return the most units that were let through in any window."""
        most, total, first = 0.0, 0.0, 0
        served = [row for row in self.served if row[0] >= since]
        for at, units in served:
            total += units
            while served[first][0] <= at - TOLERANCE.window_s:
                total -= served[first][1]
                first += 1
            most = max(most, total)
        return most

    def allowed(self):
        """Return what the rule allows in a window."""
        return TOLERANCE.allowed(self.limit)

    def served_share(self):
        """Return what was let through, as a share of what one exact bucket lets through."""
        level, last, owed = self.limit.burst, 0.0, 0.0
        for at, units in sorted(self.asked):
            gained = (at - last) * self.limit.rate_per_s
            level, last = min(self.limit.burst, level + gained), at
            if level > 0.0:
                level -= units
                owed += units
        return sum(units for _, units in self.served) / owed
