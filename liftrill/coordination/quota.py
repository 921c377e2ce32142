"""Limits on what each tenant uses, kept by all nodes of a fleet together, sans-IO.

Every node has a copy of one token bucket for each tenant, and admits by it alone. What the
copy gains is bound to what the node has heard: the bucket refills by the part of the fleet
that has just told what it spent, and by the node's own part. So a node that hears nobody
falls back to its own part of the limit by itself, and the parts of all sides of a cut, of
nodes that start and of nodes that froze add up to no more than the limit.

What one request spends is told to all at once where it is a good part of what is left;
the rest is told in reports of what was spent lately. See docs/design/quotas.md for how far
this may overshoot.
"""

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from liftrill.coordination.spending_notices import ReceivedNotices, SentNotices, SpendingNotice

# A report tells what was spent in so many seconds: longer than nodes take between two
# reports (at most 0.4 s), so that nothing falls between them.
REPORT_WINDOW_S = 0.5
# Two reports and a lost one, at 0.4 s each at most. A source that was silent for longer takes
# its part of what is left in each bucket with it.
SILENT_AFTER_S = 1.0
# A request is told at once that costs this share of its tenant's burst or more: fewer than
# twenty such requests are under way before they are told (guess).
TOLD_BURST_SHARE = 0.05
# So is any request while less than this share of the burst is left. Usual use leaves most of
# it; a tenant at five times its rate empties the rest in a twelfth of a second.
TOLD_LEVEL_SHARE = 0.75
# How much of what the rule allows is used, so that datagrams that tell of requests at once may
# be lost, 5 in 100, and requests cross on their way to other nodes.
USED_SHARE = 0.93
# A fleet counts as smaller after this long only: the 5 s for which a node that is cut off may
# serve keys, and the 3 s until it takes the others for dead, are over by then.
FLEET_SHRINK_S = 10.0
# A caller is told to come back after this long at the most: few wait longer.
LONGEST_WAIT_S = 30.0
# And after this long at the least, so that a refusal never reads as none.
SHORTEST_WAIT_S = 0.05
# Who comes late in its time comes in a quarter of it at least: callers that all find no room must
# not come back together.
LATEST_SOONEST = 0.75
# What a node has let through lately tells what it has to give; averaged over the time that a
# caller with a few seconds of patience may be told to wait.
GIVEN_AVERAGE_S = 2.0
# The numbers of a node's notices begin anywhere below, so that those of two lives differ.
FIRST_NOTICE_NUMBERS = 1 << 32


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What a tenant may use, over all nodes together.

    Attributes:
        rate_per_s: units a second.
        burst: units that it may use at once beyond that.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How what a tenant uses is judged.

    Attributes:
        window_s: in any span of this length,
        overshoot: so much more than the limit may be used, as a share of it,
        slack: and so many units beyond that.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def allowed(self, limit: QuotaLimit) -> float:
        """Return the units that may be used in a window."""
        units = limit.rate_per_s * self.window_s + limit.burst
        return units * (1.0 + self.overshoot) + self.slack

    def bucket_of(self, limit: QuotaLimit) -> QuotaLimit:
        """Return the bucket that lets through most of what may be used.

        All of the tolerance goes into the rate: a burst may come twice where nodes restart.
        """
        rate_per_s = (USED_SHARE * self.allowed(limit) - limit.burst) / self.window_s
        return QuotaLimit(max(limit.rate_per_s, rate_per_s), limit.burst)


@dataclass(frozen=True, slots=True)
class QuotaSource:
    """Who reports: a node, or a whole zone where the node is empty."""

    zone: str
    node: str = ""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What some nodes spent in the last `REPORT_WINDOW_S`, less what was told at once.

    Attributes:
        nodes: how many nodes it counts.
        spent: units by tenant.
    """

    nodes: int
    spent: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QuotaVerdict:
    """Whether a request may be served under its tenant's limit.

    Attributes:
        wait_s: 0 where it may; otherwise when there is room for it.
        notice: what other nodes are to be told at once of what it spends, if anything.
        left: units left in this node's copy of the bucket.
    """

    wait_s: float = 0.0
    notice: SpendingNotice | None = None
    left: float = 0.0


class FleetSize:
    """How many nodes share the limits: the most believed alive lately."""

    def __init__(self, nodes: int = 1) -> None:
        self.nodes = nodes
        self._reached_at = 0.0

    def record_alive(self, alive: int, now: float) -> None:
        """Take in how many nodes are believed alive now."""
        if alive >= self.nodes or now - self._reached_at > FLEET_SHRINK_S:
            self.nodes = max(1, alive)
            self._reached_at = now

    def raise_to(self, nodes: int, now: float) -> None:
        """Take a fleet to be as large as others remember it, until it proves smaller."""
        if nodes > self.nodes:
            self.nodes = nodes
            self._reached_at = now


class QuotaPolicy(ABC):
    """Decide which requests are within the limits of their tenants."""

    @abstractmethod
    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Put limits in force; a tenant without one is not limited."""

    @abstractmethod
    def try_take(
        self, tenant: str, amount: float, now: float, patience_s: float = LONGEST_WAIT_S
    ) -> QuotaVerdict:
        """Take units if the limit leaves them; else say when to come back, within a time."""

    @abstractmethod
    def take_unconditionally(self, tenant: str, amount: float, now: float) -> None:
        """Take units for work that is done whatever the limit."""

    @abstractmethod
    def refund(self, tenant: str, amount: float, now: float) -> SpendingNotice | None:
        """Return units that were taken for work that was then not done; tell others so."""


@dataclass(slots=True)
class _Bucket:
    """One node's copy of a tenant's bucket.

    Attributes:
        level: units left; below 0 where more was spent than there was.
        credited_s: the seconds of the whole fleet's refill that the level includes.
        spent: what this node spent lately and did not tell at once, with when.
        returns_at: when the last refused caller is to come back.
        given: what this node let through; older amounts count less and less.
    """

    limit: QuotaLimit
    level: float
    credited_s: float
    spent: deque[tuple[float, float]] = field(default_factory=deque)
    returns_at: float = 0.0
    given: float = 0.0
    given_at: float = 0.0

    def credit(self, credited_s: float) -> None:
        """Refill up to so many seconds of the whole fleet's refill."""
        gained = self.limit.rate_per_s * (credited_s - self.credited_s)
        self.credited_s = credited_s
        self.level = min(self.limit.burst, self.level + gained)

    def change_limit(self, limit: QuotaLimit) -> None:
        """Put another limit in force; a debt lasts no longer than it would have."""
        if self.level < 0.0:
            self.level *= min(1.0, limit.rate_per_s / self.limit.rate_per_s)
        self.level = min(self.level, limit.burst)
        self.limit = limit

    def note_given(self, amount: float, now: float) -> None:
        """Note units that are let through here, or below 0 that were not used."""
        faded = math.exp((self.given_at - now) / GIVEN_AVERAGE_S)
        self.given = max(0.0, self.given * faded + amount)
        self.given_at = now

    def given_per_s(self, now: float) -> float:
        """Return what this node let through in a second lately."""
        return self.given * math.exp((self.given_at - now) / GIVEN_AVERAGE_S) / GIVEN_AVERAGE_S

    def unspend(self, amount: float, now: float) -> bool:
        """Take an amount that was spent out of what is reported; return whether it was there."""
        self.spent_since(now - REPORT_WINDOW_S)
        for entry in reversed(self.spent):
            if entry[1] == amount:
                self.spent.remove(entry)
                return True
        return False

    def spent_since(self, since: float) -> float:
        """Return what was spent after a time, and forget the rest."""
        while self.spent and self.spent[0][0] <= since:
            self.spent.popleft()
        return sum(amount for _, amount in self.spent)


@dataclass(slots=True)
class _Heard:
    """The newest report of a source, and when it came."""

    report: QuotaReport
    at: float


class SharedBuckets(QuotaPolicy):
    """Admit by a copy of the fleet's buckets that refills by what is heard.

    Attributes:
        fleet: how many nodes share the limits.
    """

    def __init__(
        self,
        fleet: FleetSize,
        tolerance: QuotaTolerance,
        starts_full: bool,
        random_source: random.Random,
    ) -> None:
        self.fleet = fleet
        self._tolerance = tolerance
        self._starts_full = starts_full
        self._random = random_source
        self._buckets: dict[str, _Bucket] = {}
        self._heard: dict[QuotaSource, _Heard] = {}
        self._own_notices = SentNotices(random_source.randrange(FIRST_NOTICE_NUMBERS))
        self._heard_notices = ReceivedNotices()
        # Seconds for which the whole fleet's use is known: each part counts by its size.
        self._credit_s = 0.0
        self._own_credited_at: float | None = None

    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Put limits in force; a tenant without one is not limited."""
        self._credit_own(now)
        buckets: dict[str, _Bucket] = {}
        for tenant, declared in limits.items():
            limit = self._tolerance.bucket_of(declared)
            known = self._buckets.get(tenant)
            if known is None:
                known = _Bucket(limit, self._first_level(limit), self._credit_s)
            else:
                known.credit(self._credit_s)
                known.change_limit(limit)
            buckets[tenant] = known
        self._buckets = buckets

    def try_take(
        self, tenant: str, amount: float, now: float, patience_s: float = LONGEST_WAIT_S
    ) -> QuotaVerdict:
        """Take units if any are left: the last request may leave a debt."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return QuotaVerdict()
        left = self._left(bucket, now)
        if left <= 0.0:
            patience_s = min(patience_s, LONGEST_WAIT_S)
            wait_s = self._wait_s(bucket, amount, left, now, patience_s)
            return QuotaVerdict(max(SHORTEST_WAIT_S, wait_s), left=left)
        return QuotaVerdict(0.0, self._take(bucket, tenant, amount, now), left)

    def take_unconditionally(self, tenant: str, amount: float, now: float) -> None:
        """Take units for work that is done whatever the limit."""
        bucket = self._buckets.get(tenant)
        if bucket is not None:
            bucket.level -= amount
            bucket.spent.append((now, amount))
            bucket.note_given(amount, now)

    def refund(self, tenant: str, amount: float, now: float) -> SpendingNotice | None:
        """Return units that were taken for work that was then not done.

        What others were told already stays charged there, but for what a notice takes back: a
        refund may be lost, and never counts for more than was charged.
        """
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return None
        bucket.level = min(bucket.limit.burst, bucket.level + amount)
        bucket.note_given(-amount, now)
        if bucket.unspend(amount, now):
            return None
        return self._own_notices.take_back(tenant, amount, now)

    def hear(self, source: QuotaSource, report: QuotaReport, now: float) -> None:
        """Take in a report: refill by its part of the fleet, and charge what was spent."""
        if not source.node:
            for known in [s for s in self._heard if s.zone == source.zone and s.node]:
                del self._heard[known]
        elif QuotaSource(source.zone) in self._heard:
            # The zone's sum has this node already.
            return
        self._drop_silent(now)
        before = self._heard.get(source)
        # A first report tells of the time that it covers.
        elapsed_s = now - before.at if before else REPORT_WINDOW_S
        self._heard[source] = _Heard(report, now)
        self._credit_s += elapsed_s * min(1.0, report.nodes / self.fleet.nodes)
        for tenant, amount in report.spent.items():
            bucket = self._buckets.get(tenant)
            if bucket is not None:
                bucket.credit(self._credit_s)
                bucket.level -= amount * elapsed_s / REPORT_WINDOW_S

    def hear_spending(self, sender: str, notice: SpendingNotice, now: float) -> None:
        """Charge what another node tells at once that it spends, or takes back."""
        bucket = self._buckets.get(notice.tenant)
        if bucket is not None:
            bucket.credit(self._credit_s)
            charged = self._heard_notices.charge(sender, notice, now)
            bucket.level = min(bucket.limit.burst, bucket.level - charged)

    def own_report(self, now: float) -> QuotaReport:
        """Return what this node spent lately."""
        since = now - REPORT_WINDOW_S
        spent = {tenant: bucket.spent_since(since) for tenant, bucket in self._buckets.items()}
        return QuotaReport(1, {tenant: amount for tenant, amount in spent.items() if amount})

    def zone_report(self, zone: str, now: float) -> QuotaReport:
        """Return what this node and the heard nodes of its zone spent lately."""
        self._drop_silent(now)
        nodes = 1
        total = dict(self.own_report(now).spent)
        for source, heard in self._heard.items():
            if source.zone != zone or not source.node:
                continue
            nodes += 1
            for tenant, amount in heard.report.spent.items():
                total[tenant] = total.get(tenant, 0.0) + amount
        return QuotaReport(nodes, total)

    def heard_nodes(self) -> int:
        """Return of how many nodes the use is known, this node included."""
        return 1 + sum(heard.report.nodes for heard in self._heard.values())

    def _first_level(self, limit: QuotaLimit) -> float:
        """Return what is left to a tenant that becomes known, or has a limit from now on.

        The fleet may have spent the burst just before this node restarted.
        """
        return limit.burst if self._starts_full or self._buckets else 0.0

    def _left(self, bucket: _Bucket, now: float) -> float:
        self._drop_silent(now)
        self._credit_own(now)
        bucket.credit(self._credit_s)
        return bucket.level

    def _drop_silent(self, now: float) -> None:
        """Forget the sources that are silent, and leave them their part of what is left."""
        silent = [s for s, heard in self._heard.items() if now - heard.at > SILENT_AFTER_S]
        if not silent:
            return
        before = self.heard_nodes()
        for source in silent:
            del self._heard[source]
        # What was charged before counts less from here on than a refund of it would.
        self._heard_notices.forget()
        kept_share = self.heard_nodes() / before
        for bucket in self._buckets.values():
            bucket.credit(self._credit_s)
            bucket.level = min(bucket.level, bucket.level * kept_share)

    def _credit_own(self, now: float) -> None:
        if self._own_credited_at is not None:
            self._credit_s += (now - self._own_credited_at) / self.fleet.nodes
        self._own_credited_at = now

    def _take(
        self, bucket: _Bucket, tenant: str, amount: float, now: float
    ) -> SpendingNotice | None:
        """Take units and return what other nodes are to be told at once."""
        scarce = bucket.level < TOLD_LEVEL_SHARE * bucket.limit.burst
        bucket.level -= amount
        bucket.note_given(amount, now)
        if scarce or amount >= TOLD_BURST_SHARE * bucket.limit.burst:
            return self._own_notices.spend(tenant, amount, now)
        bucket.spent.append((now, amount))
        return None

    def _wait_s(
        self, bucket: _Bucket, amount: float, left: float, now: float, patience_s: float
    ) -> float:
        """Return when a refused caller is to come back: after those refused before it.

        Each has a place as long as this node takes to give its units. Who would have one later
        than it waits for has none, and comes late in the time that it does wait.
        """
        rate_per_s = bucket.limit.rate_per_s
        own_part = rate_per_s / self.fleet.nodes
        drain_per_s = min(rate_per_s, max(own_part, bucket.given_per_s(now)))
        place_s = amount / drain_per_s
        room_at = now - left / rate_per_s
        place_at = max(bucket.returns_at, room_at)
        if place_at + place_s > now + patience_s:
            soonest_s = min(max(patience_s / 2, room_at - now), LATEST_SOONEST * patience_s)
            return self._random.uniform(soonest_s, patience_s)
        bucket.returns_at = place_at + place_s
        return place_at - now + self._random.uniform(0.0, place_s)
