"""A fleet of nodes that enforce the limit of one tenant, in virtual time."""

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
# The tolerance that the fleet must keep.
TOLERANCE = QuotaTolerance(window_s=8.0, overshoot=0.1, slack=110_000.0)
LONG_PROMPT_UNITS, SHORT_PROMPT_UNITS = 9_200, 875


class IndependentBuckets(QuotaPolicy):
    """A bucket with a share of the limit without reports of other nodes, for comparison."""

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
    """Nodes that report to each other like those of the gateway, and callers of one tenant.

    Attributes:
        served: (time, units) of each request that was admitted and not shed.
        requested: (time, units) of each request, whether or not its node could answer.
    """

    def __init__(self, nodes, rate, seed=1, policy="shared"):
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.count = nodes
        self.limit = QuotaLimit(rate, rate)
        self.policy = policy
        self.loss_share = 0.0
        # The share of the admitted requests that engines shed, the delay after which they do so,
        # and whether spending notices arrive twice.
        self.shed_share, self.shed_after_s, self.duplicate_notices = 0.0, 0.1, False
        self.stopped, self.frozen, self.partitioned = set(), set(), set()
        # Whether the partitioned nodes still reach each other.
        self.partition_connected = False
        self.nodes, self.started_at, self.backlog = {}, {}, {}
        self.served, self.requested = [], []
        for number in range(nodes):
            self.start(number, first=True)

    # Nodes

    def start(self, number, first=False):
        if self.policy == "shared":
            source = random.Random(self.random.random())
            node = SharedBuckets(FleetSize(self.count), TOLERANCE, first, source)
        else:
            node = IndependentBuckets(1.0 if self.policy == "independent" else 1.0 / self.count)
        node.configure({TENANT: self.limit}, self.clock.now())
        self.nodes[number] = node
        self.started_at[number] = -math.inf if first else self.clock.now()
        self.stopped.discard(number)
        if self.policy == "shared":
            wait = self.random.uniform(0.0, 0.3)
            self.clock.call_later(wait, lambda: self.report(number, node))

    def restart(self, numbers, delay_s):
        self.stopped |= set(numbers)

        def start_again():
            for number in numbers:
                self.start(number)

        self.clock.call_later(delay_s, start_again)

    def freeze(self, numbers, duration_s):
        self.frozen |= set(numbers)

        def thaw():
            self.frozen -= set(numbers)
            for number in numbers:
                for deliver in self.backlog.pop(number, []):
                    deliver()

        self.clock.call_later(duration_s, thaw)

    def set_limit(self, rate):
        self.limit = QuotaLimit(rate, rate)
        for node in self.nodes.values():
            node.configure({TENANT: self.limit}, self.clock.now())

    def zone(self, number):
        return f"zone-{number % ZONES}"

    # Messages between nodes

    def report(self, number, node):
        if self.nodes[number] is not node or number in self.stopped:
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
        if self.random.random() < self.loss_share or not self.reaches(number, other):
            return
        self.clock.call_later(LATENCY_S, lambda: self.arrive(other, deliver))

    def reaches(self, number, other):
        if other in self.stopped or (number in self.partitioned) != (other in self.partitioned):
            return False
        if number in self.partitioned and not self.partition_connected:
            return False
        # A started node discovers each other node within two seconds.
        known_after = random.Random(number * self.count + other).uniform(0.0, 2.0)
        return self.clock.now() - self.started_at[number] >= known_after

    def arrive(self, number, deliver):
        if number in self.stopped:
            return
        if number in self.frozen:
            self.backlog.setdefault(number, []).append(deliver)
        else:
            deliver()

    # Callers

    def send_load(self, since, until, rate, nodes=None, long_share=0.85):
        """Schedule requests with a rate of units per second, to the given nodes or to all."""
        for share, units in (
            (long_share, LONG_PROMPT_UNITS),
            (1.0 - long_share, SHORT_PROMPT_UNITS),
        ):
            at = since
            while share and (at := at + self.random.expovariate(share * rate / units)) < until:
                number = self.random.choice(nodes) if nodes else self.random.randrange(self.count)
                request_units = max(1.0, self.random.gauss(units, units / 4))
                self.clock.call_at(at, lambda n=number, u=request_units: self.handle_request(n, u))

    def handle_request(self, number, units):
        now = self.clock.now()
        self.requested.append((now, units))
        if number in self.stopped or number in self.frozen:
            return
        verdict = self.nodes[number].try_take(TENANT, units, now)
        if verdict.wait_s > 0.0:
            return
        self.send_notice(number, verdict.notice)
        if self.random.random() < self.shed_share:
            node = self.nodes[number]
            self.clock.call_later(self.shed_after_s, lambda: self.shed(number, node, units))
        else:
            self.served.append((now, units))

    def shed(self, number, node, units):
        if self.nodes[number] is node and number not in self.stopped:
            self.send_notice(number, node.refund(TENANT, units, self.clock.now()))

    def send_notice(self, number, notice):
        for other in range(self.count) if notice is not None else ():
            for _ in range(1 + self.duplicate_notices) if other != number else ():
                self.send(number, other, lambda o=other: self.hear_spending(o, number, notice))

    def hear_spending(self, number, sender, notice):
        self.nodes[number].hear_spending(str(sender), notice, self.clock.now())

    # Results

    def run(self, until):
        self.clock.run(until)

    def most_in_a_window(self, since=0.0):
        """Return the most units that were served in any window."""
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
        """Return the units that the tolerance allows in a window."""
        return TOLERANCE.allowed(self.limit)

    def served_share(self):
        """Return the served units as a share of those that a single token bucket admits."""
        level, last, admitted = self.limit.burst, 0.0, 0.0
        for at, units in sorted(self.requested):
            gained = (at - last) * self.limit.rate_per_s
            level, last = min(self.limit.burst, level + gained), at
            if level > 0.0:
                level -= units
                admitted += units
        return sum(units for _, units in self.served) / admitted
