"""Holds requests to the limits of their tenants, and tells other nodes what was spent."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from liftrill.coordination.quota import QuotaReport, QuotaSource, SharedBuckets
from liftrill.coordination.told_spending import SpendingNotice
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendLoads
from liftrill.gateway.records import Quota

# A tenant counts as limited until it was refused nothing for so long: two refusals further
# apart are told as two spells (guess).
LIMITED_PERIOD_GAP_S = 2.0
# How many tenants have figures of their own; the rest share one.
MAX_LABELLED_TENANTS = 32
OTHER_TENANTS = "other"

SendSpending = Callable[[SpendingNotice], None]


def request_units(quota: Quota, request: OpaqueRequest) -> float:
    """Return what a request counts under a limit."""
    if not quota.counts_tokens:
        return 1.0
    if request.prompt is None:
        return float(quota.plain_tokens)
    tokens = request.prompt.declared_tokens
    return float(tokens or quota.plain_tokens)


@dataclass(slots=True)
class _LimitedPeriod:
    """A time in which a tenant was refused."""

    since: float
    last_at: float
    refused: int = 0


@dataclass(slots=True)
class QuotaGate:
    """The limits in force at one node.

    Attributes:
        buckets: what is left to each tenant.
        tell: how to tell all other nodes at once of what a tenant spends.
    """

    buckets: SharedBuckets
    log: DecisionLog
    metrics: GatewayMetrics
    send_notice: SendSpending
    _quotas: dict[str, Quota] = field(default_factory=dict)
    _limited_periods: dict[str, _LimitedPeriod] = field(default_factory=dict)
    _labelled_tenants: set[str] = field(default_factory=set)

    def configure(self, view: ConfigurationView, now: float) -> None:
        """Put the limits of a configuration in force."""
        self._quotas = view.quotas()
        self.buckets.configure({name: q.limit for name, q in self._quotas.items()}, now)

    def check(self, request: OpaqueRequest, now: float) -> AdmissionRefusal | None:
        """Take what a request counts, or return why it is refused."""
        quota = self._quotas.get(request.tenant)
        if quota is None:
            return None
        units = request_units(quota, request)
        patience_s = request.patience_s(now)
        verdict = self.buckets.try_take(request.tenant, units, now, patience_s)
        if verdict.wait_s > 0.0:
            self._note_refusal(request.tenant, verdict.left, now)
            why = f"tenant {request.tenant} has {verdict.left:.0f} left, asked for {units:.0f}"
            return AdmissionRefusal(ResultCode.QUOTA_EXCEEDED, verdict.wait_s, why)
        if verdict.notice is not None:
            self.send_notice(verdict.notice)
        return None

    def record_repeat(self, request: OpaqueRequest, now: float) -> None:
        """Count a request that is sent once more: it may run twice."""
        quota = self._quotas.get(request.tenant)
        if quota is not None:
            self.buckets.take_anyway(request.tenant, request_units(quota, request), now)

    def record_not_run(self, request: OpaqueRequest, runs: int, now: float) -> None:
        """Give back what a request had taken for some runs that were none."""
        quota = self._quotas.get(request.tenant)
        if quota is None:
            return
        for _ in range(runs):
            units = request_units(quota, request)
            notice = self.buckets.give_back(request.tenant, units, now)
            if notice is not None:
                self.send_notice(notice)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take in what a node or a zone spent."""
        if report.quota is None:
            return
        node = report.node if report.scope is LoadScope.NODE else ""
        self.buckets.hear(QuotaSource(report.zone, node), report.quota, now)

    def with_quota(self, message: SendLoads, now: float) -> SendLoads:
        """Return a word to other nodes with what was spent by whom it is of."""
        quota = self._report(message.report, now)
        return replace(message, report=replace(message.report, quota=quota))

    def expire(self, now: float) -> None:
        """Tell of the tenants that are refused nothing any more."""
        for tenant, spell in list(self._limited_periods.items()):
            if now - spell.last_at > LIMITED_PERIOD_GAP_S:
                del self._limited_periods[tenant]
                lasted_s = round(spell.last_at - spell.since, 2)
                self.log.belief(
                    "quota_free", tenant=tenant, lasted_s=lasted_s, refused=spell.refused
                )
        self.metrics.limited_tenants.set(len(self._limited_periods))

    def _report(self, report: LoadReport, now: float) -> QuotaReport:
        if report.scope is LoadScope.NODE:
            return self.buckets.own_report(now)
        return self.buckets.zone_report(report.zone, now)

    def _note_refusal(self, tenant: str, left: float, now: float) -> None:
        spell = self._limited_periods.get(tenant)
        if spell is None:
            spell = self._limited_periods[tenant] = _LimitedPeriod(now, now)
            limit = self._quotas[tenant].limit
            self.log.belief(
                "quota_limited",
                tenant=tenant,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                left=round(left),
                nodes=self.buckets.fleet.nodes,
                nodes_heard=self.buckets.heard_nodes(),
            )
        spell.last_at = now
        spell.refused += 1
        self.metrics.quota_refusals.labels(self._label(tenant)).inc()

    def _label(self, tenant: str) -> str:
        if (
            tenant not in self._labelled_tenants
            and len(self._labelled_tenants) >= MAX_LABELLED_TENANTS
        ):
            return OTHER_TENANTS
        self._labelled_tenants.add(tenant)
        return tenant
