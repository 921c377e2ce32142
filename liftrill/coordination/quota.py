"""Tenant quotas that all nodes of a fleet enforce together, sans-IO.

Every node has a replica of one token bucket for each tenant, and admits requests by its replica
alone. A replica refills only as far as the spending of the fleet is known: by the shares of the
nodes whose spending reports were received recently, and by the node's own share. So a node that
receives no reports falls back to its own share of the limit, and the shares of all sides of a
network partition, of starting nodes and of frozen nodes add up to no more than the limit.

Spending that is a large part of the remaining units is sent to all nodes immediately; the rest
is sent in reports of recent spending. docs/design/quotas.md gives the possible overshoot.
"""

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from liftrill.coordination.spending_notices import ReceivedNotices, SentNotices, SpendingNotice

# The time that a report covers. Longer than the interval between two reports of a node (at most
# 0.4 s), so that all spending is reported.
REPORT_WINDOW_S = 0.5
# Two report intervals of at most 0.4 s each, so that one report may be lost. When a source times
# out, each bucket loses the source's share of the remaining units.
REPORT_TIMEOUT_S = 1.0
# A request that spends at least this share of its tenant's burst sends a notice immediately, so
# that fewer than 20 such requests are in progress before other nodes know of them.
NOTICE_BURST_SHARE = 0.05
# Any request sends a notice while less than this share of the burst remains. Ordinary use leaves
# most of the burst; a tenant at five times its rate uses up the rest in a twelfth of a second.
NOTICE_LEVEL_SHARE = 0.75
# The share of the allowed units that buckets let through. The rest covers the loss of 5 % of the
# notices, and requests that other nodes admit before a notice reaches them.
USED_SHARE = 0.93
# The time since the last confirmation of a number of nodes after which a lower one takes effect.
# It exceeds the 5 s for which a partitioned node accepts API keys without reading the store (the
# default), plus the 3 s within which it declares the unreachable nodes dead.
FLEET_SHRINK_S = 10.0
# The maximum retry delay of a refused request: few callers wait longer.
MAX_RETRY_DELAY_S = 30.0
# The minimum retry delay: a delay of 0 would mean that the request is admitted.
MIN_RETRY_DELAY_S = 0.05
# Callers without a slot within their maximum wait retry at a random time in at least the last
# quarter of it, so that they do not all retry together.
RETRY_START_SHARE = 0.75
# The time constant for averaging the rate of units that this node admits, which determines the
# length of retry slots. About the retry delay of callers whose maximum wait is a few seconds.
ADMITTED_DECAY_S = 2.0
# The first notice number of a node is random below this, so that the numbers of two runs differ.
FIRST_NOTICE_NUMBER_LIMIT = 1 << 32


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """The limit of a tenant, for all nodes together.

    Attributes:
        rate_per_s: units per second.
        burst: additional units that may be used at once.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far a tenant's use may exceed its limit.

    Attributes:
        window_s: the length of the windows in which use is compared with the limit.
        overshoot: the excess allowed in any window, as a share of the limit.
        slack: the further excess allowed in any window, in units.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0

    def allowed(self, limit: QuotaLimit) -> float:
        """Return the units that a tenant may use in a window."""
        units = limit.rate_per_s * self.window_s + limit.burst
        return units * (1.0 + self.overshoot) + self.slack

    def bucket_limit(self, limit: QuotaLimit) -> QuotaLimit:
        """Return the limit for the bucket, which lets through most of the allowed units.

        The whole tolerance is added to the rate, since a burst may be used twice when nodes
        restart.
        """
        rate_per_s = (USED_SHARE * self.allowed(limit) - limit.burst) / self.window_s
        return QuotaLimit(max(limit.rate_per_s, rate_per_s), limit.burst)


@dataclass(frozen=True, slots=True)
class QuotaSource:
    """The source of a report: a node, or a whole zone where `node` is empty."""

    zone: str
    node: str = ""


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """The spending of one or more nodes in the last `REPORT_WINDOW_S`, without that in notices.

    Attributes:
        nodes: the number of nodes that the report covers.
        spent: units by tenant.
    """

    nodes: int
    spent: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QuotaVerdict:
    """The decision whether a tenant's limit admits a request.

    Attributes:
        wait_s: 0 if the request is admitted; otherwise the seconds after which to retry.
        notice: the notice of spending to send to other nodes immediately, or None.
        left: units that remained in this node's bucket before the request.
    """

    wait_s: float = 0.0
    notice: SpendingNotice | None = None
    left: float = 0.0


class FleetSize:
    """The number of nodes that share the limits: the highest number recently alive."""

    def __init__(self, nodes: int = 1) -> None:
        self.nodes = nodes
        self._confirmed_at = 0.0

    def record_alive(self, alive: int, now: float) -> None:
        """Record the number of nodes that are currently considered alive."""
        if alive >= self.nodes or now - self._confirmed_at > FLEET_SHRINK_S:
            self.nodes = max(1, alive)
            self._confirmed_at = now

    def raise_to(self, nodes: int, now: float) -> None:
        """Raise the size to one that other nodes recorded, until fewer nodes are alive for long."""
        if nodes > self.nodes:
            self.nodes = nodes
            self._confirmed_at = now


class QuotaPolicy(ABC):
    """Decides whether requests are within the limits of their tenants."""

    @abstractmethod
    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Put limits in force; a tenant without one is not limited."""

    @abstractmethod
    def try_take(
        self, tenant: str, amount: float, now: float, max_wait_s: float = MAX_RETRY_DELAY_S
    ) -> QuotaVerdict:
        """Take units if the limit allows it; else return when to retry, within the maximum wait."""

    @abstractmethod
    def take_unconditionally(self, tenant: str, amount: float, now: float) -> None:
        """Take units for work that is done whatever the limit."""

    @abstractmethod
    def refund(self, tenant: str, amount: float, now: float) -> SpendingNotice | None:
        """Return units of work that was not done; return the notice to send, if any."""


@dataclass(slots=True)
class _Bucket:
    """One node's replica of a tenant's bucket.

    Attributes:
        level: remaining units; negative if more was spent than remained.
        credited_s: the seconds of the whole fleet's refill that the level includes.
        spent: recent spending of this node that is not in notices, as pairs of time and amount.
        next_slot_at: the end of the last retry slot that was assigned to a refused request.
        admitted: units that this node admitted, with exponential decay.
        admitted_at: the time as of which `admitted` is decayed.
    """

    limit: QuotaLimit
    level: float
    credited_s: float
    spent: deque[tuple[float, float]] = field(default_factory=deque)
    next_slot_at: float = 0.0
    admitted: float = 0.0
    admitted_at: float = 0.0

    def credit(self, credited_s: float) -> None:
        """Refill the bucket up to a total of seconds of the whole fleet's refill."""
        gained = self.limit.rate_per_s * (credited_s - self.credited_s)
        self.credited_s = credited_s
        self.level = min(self.limit.burst, self.level + gained)

    def change_limit(self, limit: QuotaLimit) -> None:
        """Replace the limit; a negative level takes no longer to refill than before."""
        if self.level < 0.0:
            self.level *= min(1.0, limit.rate_per_s / self.limit.rate_per_s)
        self.level = min(self.level, limit.burst)
        self.limit = limit

    def record_admitted(self, amount: float, now: float) -> None:
        """Add units that this node admitted; negative for units that were not used."""
        decayed = math.exp((self.admitted_at - now) / ADMITTED_DECAY_S)
        self.admitted = max(0.0, self.admitted * decayed + amount)
        self.admitted_at = now

    def admitted_per_s(self, now: float) -> float:
        """Return the average units per second that this node admitted recently."""
        return (
            self.admitted * math.exp((self.admitted_at - now) / ADMITTED_DECAY_S) / ADMITTED_DECAY_S
        )

    def remove_spent(self, amount: float, now: float) -> bool:
        """Remove an amount from the spending to report; return whether it was there."""
        self.spent_since(now - REPORT_WINDOW_S)
        for entry in reversed(self.spent):
            if entry[1] == amount:
                self.spent.remove(entry)
                return True
        return False

    def spent_since(self, since: float) -> float:
        """Return the spending after a time, and drop earlier entries."""
        while self.spent and self.spent[0][0] <= since:
            self.spent.popleft()
        return sum(amount for _, amount in self.spent)


@dataclass(slots=True)
class _ReceivedReport:
    """The newest report of a source, and when it was received."""

    report: QuotaReport
    received_at: float


class SharedBuckets(QuotaPolicy):
    """Admits by replicas of the fleet's buckets, which refill by the reports received.

    Attributes:
        fleet: the number of nodes that share the limits.
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
        self._reports: dict[QuotaSource, _ReceivedReport] = {}
        self._sent_notices = SentNotices(random_source.randrange(FIRST_NOTICE_NUMBER_LIMIT))
        self._received_notices = ReceivedNotices()
        # Seconds for which the spending of the whole fleet is known; a part of the fleet counts by
        # its share of the nodes.
        self._credit_s = 0.0
        self._own_credited_at: float | None = None

    def configure(self, limits: Mapping[str, QuotaLimit], now: float) -> None:
        """Put limits in force; a tenant without one is not limited."""
        self._credit_own(now)
        buckets: dict[str, _Bucket] = {}
        for tenant, declared in limits.items():
            limit = self._tolerance.bucket_limit(declared)
            known = self._buckets.get(tenant)
            if known is None:
                known = _Bucket(limit, self._initial_level(limit), self._credit_s)
            else:
                known.credit(self._credit_s)
                known.change_limit(limit)
            buckets[tenant] = known
        self._buckets = buckets

    def try_take(
        self, tenant: str, amount: float, now: float, max_wait_s: float = MAX_RETRY_DELAY_S
    ) -> QuotaVerdict:
        """Take units if any remain; the last request may make the level negative."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return QuotaVerdict()
        left = self._refilled_level(bucket, now)
        if left <= 0.0:
            max_wait_s = min(max_wait_s, MAX_RETRY_DELAY_S)
            wait_s = self._wait_s(bucket, amount, left, now, max_wait_s)
            return QuotaVerdict(max(MIN_RETRY_DELAY_S, wait_s), left=left)
        return QuotaVerdict(0.0, self._take(bucket, tenant, amount, now), left)

    def take_unconditionally(self, tenant: str, amount: float, now: float) -> None:
        """Take units for work that is done whatever the limit."""
        bucket = self._buckets.get(tenant)
        if bucket is not None:
            bucket.level -= amount
            bucket.spent.append((now, amount))
            bucket.record_admitted(amount, now)

    def refund(self, tenant: str, amount: float, now: float) -> SpendingNotice | None:
        """Return units that were taken for work that was not done.

        Spending that was already reported to other nodes stays charged there, except where the
        returned notice refunds it. A refund may be lost, and never exceeds what was charged.
        """
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return None
        bucket.level = min(bucket.limit.burst, bucket.level + amount)
        bucket.record_admitted(-amount, now)
        if bucket.remove_spent(amount, now):
            return None
        return self._sent_notices.refund(tenant, amount, now)

    def hear(self, source: QuotaSource, report: QuotaReport, now: float) -> None:
        """Apply a report: refill by its share of the fleet, and charge its spending."""
        if not source.node:
            for known in [s for s in self._reports if s.zone == source.zone and s.node]:
                del self._reports[known]
        elif QuotaSource(source.zone) in self._reports:
            # The report of the zone already includes this node.
            return
        self._drop_timed_out(now)
        before = self._reports.get(source)
        # The first report of a source counts for the time that it covers.
        elapsed_s = now - before.received_at if before else REPORT_WINDOW_S
        self._reports[source] = _ReceivedReport(report, now)
        self._credit_s += elapsed_s * min(1.0, report.nodes / self.fleet.nodes)
        for tenant, amount in report.spent.items():
            bucket = self._buckets.get(tenant)
            if bucket is not None:
                bucket.credit(self._credit_s)
                bucket.level -= amount * elapsed_s / REPORT_WINDOW_S

    def hear_spending(self, sender: str, notice: SpendingNotice, now: float) -> None:
        """Apply another node's notice of spending or of a refund."""
        bucket = self._buckets.get(notice.tenant)
        if bucket is not None:
            bucket.credit(self._credit_s)
            charged = self._received_notices.charge(sender, notice, now)
            bucket.level = min(bucket.limit.burst, bucket.level - charged)

    def own_report(self, now: float) -> QuotaReport:
        """Return the report of this node's recent spending."""
        since = now - REPORT_WINDOW_S
        spent = {tenant: bucket.spent_since(since) for tenant, bucket in self._buckets.items()}
        return QuotaReport(1, {tenant: amount for tenant, amount in spent.items() if amount})

    def zone_report(self, zone: str, now: float) -> QuotaReport:
        """Return the report of this node and the other reporting nodes of its zone."""
        self._drop_timed_out(now)
        nodes = 1
        total = dict(self.own_report(now).spent)
        for source, entry in self._reports.items():
            if source.zone != zone or not source.node:
                continue
            nodes += 1
            for tenant, amount in entry.report.spent.items():
                total[tenant] = total.get(tenant, 0.0) + amount
        return QuotaReport(nodes, total)

    def reporting_nodes(self) -> int:
        """Return the number of nodes whose spending is known, including this node."""
        return 1 + sum(entry.report.nodes for entry in self._reports.values())

    def _initial_level(self, limit: QuotaLimit) -> float:
        """Return the initial level for a new tenant, or one that had no limit before.

        At the start of this node the bucket may have to be empty, because the fleet may have
        spent the burst just before.
        """
        return limit.burst if self._starts_full or self._buckets else 0.0

    def _refilled_level(self, bucket: _Bucket, now: float) -> float:
        self._drop_timed_out(now)
        self._credit_own(now)
        bucket.credit(self._credit_s)
        return bucket.level

    def _drop_timed_out(self, now: float) -> None:
        """Drop the sources that timed out, and their share of the remaining units."""
        timed_out = [
            s for s, entry in self._reports.items() if now - entry.received_at > REPORT_TIMEOUT_S
        ]
        if not timed_out:
            return
        before = self.reporting_nodes()
        for source in timed_out:
            del self._reports[source]
        # Earlier charges shrink with the levels, so that full refunds of them would be too large.
        self._received_notices.clear()
        kept_share = self.reporting_nodes() / before
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
        """Take units and return the notice to send to other nodes immediately, or None."""
        scarce = bucket.level < NOTICE_LEVEL_SHARE * bucket.limit.burst
        bucket.level -= amount
        bucket.record_admitted(amount, now)
        if scarce or amount >= NOTICE_BURST_SHARE * bucket.limit.burst:
            return self._sent_notices.spend(tenant, amount, now)
        bucket.spent.append((now, amount))
        return None

    def _wait_s(
        self, bucket: _Bucket, amount: float, left: float, now: float, max_wait_s: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        Each caller gets a retry slot after those of the callers refused before it. A slot is as
        long as this node takes to admit the caller's units. A caller whose slot would end after its
        maximum wait gets none, and retries late within that wait.
        """
        rate_per_s = bucket.limit.rate_per_s
        own_share_per_s = rate_per_s / self.fleet.nodes
        admit_per_s = min(rate_per_s, max(own_share_per_s, bucket.admitted_per_s(now)))
        slot_s = amount / admit_per_s
        refilled_at = now - left / rate_per_s
        slot_at = max(bucket.next_slot_at, refilled_at)
        if slot_at + slot_s > now + max_wait_s:
            earliest_s = min(max(max_wait_s / 2, refilled_at - now), RETRY_START_SHARE * max_wait_s)
            return self._random.uniform(earliest_s, max_wait_s)
        bucket.next_slot_at = slot_at + slot_s
        return slot_at - now + self._random.uniform(0.0, slot_s)
