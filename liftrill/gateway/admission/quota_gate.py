"""Enforces the quotas of tenants and reports their spending to other nodes."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from liftrill.coordination.quota import QuotaReport, QuotaSource, SharedBuckets
from liftrill.coordination.spending_notices import SpendingNotice
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendReport
from liftrill.gateway.records import Quota

# A limited period of a tenant ends after this time without a refusal; later refusals are logged as
# a new period.
LIMITED_PERIOD_GAP_S = 2.0
# Tenants with metrics of their own; the others share the label OTHER_TENANTS.
MAX_LABELLED_TENANTS = 32
OTHER_TENANTS = "other"

SendSpending = Callable[[SpendingNotice], None]


def request_units(quota: Quota, request: OpaqueRequest) -> float:
    """Return the units that a request takes from a quota."""
    if not quota.counts_tokens:
        return 1.0
    if request.prompt is None:
        return float(quota.plain_tokens)
    tokens = request.prompt.declared_tokens
    return float(tokens or quota.plain_tokens)


@dataclass(slots=True)
class _LimitedPeriod:
    """A period in which requests of a tenant are refused."""

    since: float
    last_refused_at: float
    refused: int = 0


@dataclass(slots=True)
class QuotaGate:
    """Quotas in force at one node.

    Attributes:
        buckets: token buckets of the tenants, shared with the other nodes.
        send_notice: sends a spending notice to all other nodes at once.
    """

    buckets: SharedBuckets
    log: DecisionLog
    metrics: GatewayMetrics
    send_notice: SendSpending
    _quotas: dict[str, Quota] = field(default_factory=dict)
    _limited_periods: dict[str, _LimitedPeriod] = field(default_factory=dict)
    _labelled_tenants: set[str] = field(default_factory=set)

    def configure(self, view: ConfigurationView, now: float) -> None:
        """Apply the quotas of a configuration."""
        self._quotas = view.quotas()
        self.buckets.configure({name: q.limit for name, q in self._quotas.items()}, now)

    def check(self, request: OpaqueRequest, now: float) -> AdmissionRefusal | None:
        """Take the units of a request from its tenant's quota, or return why it is refused."""
        quota = self._quotas.get(request.tenant)
        if quota is None:
            return None
        units = request_units(quota, request)
        patience_s = request.max_retry_wait_s(now)
        verdict = self.buckets.try_take(request.tenant, units, now, patience_s)
        if verdict.wait_s > 0.0:
            self._note_refusal(request.tenant, verdict.left, now)
            why = f"tenant {request.tenant} has {verdict.left:.0f} units left, needs {units:.0f}"
            return AdmissionRefusal(ResultCode.QUOTA_EXCEEDED, verdict.wait_s, why)
        if verdict.notice is not None:
            self.send_notice(verdict.notice)
        return None

    def record_retry(self, request: OpaqueRequest, now: float) -> None:
        """Charge a request that is sent again, as it may run twice."""
        quota = self._quotas.get(request.tenant)
        if quota is not None:
            self.buckets.take_unconditionally(request.tenant, request_units(quota, request), now)

    def record_not_run(self, request: OpaqueRequest, runs: int, now: float) -> None:
        """Refund the units of runs that turned out not to have run."""
        quota = self._quotas.get(request.tenant)
        if quota is None:
            return
        for _ in range(runs):
            units = request_units(quota, request)
            notice = self.buckets.refund(request.tenant, units, now)
            if notice is not None:
                self.send_notice(notice)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply the spending that a node or a zone reports."""
        if report.quota is None:
            return
        node = report.node if report.scope is LoadScope.NODE else ""
        self.buckets.hear(QuotaSource(report.zone, node), report.quota, now)

    def with_quota(self, message: SendReport, now: float) -> SendReport:
        """Return a message to other nodes with the spending of its node or zone added."""
        quota = self._report(message.report, now)
        return replace(message, report=replace(message.report, quota=quota))

    def expire(self, now: float) -> None:
        """End and log the limited periods of tenants without recent refusals."""
        for tenant, period in list(self._limited_periods.items()):
            if now - period.last_refused_at > LIMITED_PERIOD_GAP_S:
                del self._limited_periods[tenant]
                lasted_s = round(period.last_refused_at - period.since, 2)
                self.log.state_changed(
                    "quota_free", tenant=tenant, lasted_s=lasted_s, refused=period.refused
                )
        self.metrics.limited_tenants.set(len(self._limited_periods))

    def _report(self, report: LoadReport, now: float) -> QuotaReport:
        if report.scope is LoadScope.NODE:
            return self.buckets.own_report(now)
        return self.buckets.zone_report(report.zone, now)

    def _note_refusal(self, tenant: str, left: float, now: float) -> None:
        period = self._limited_periods.get(tenant)
        if period is None:
            period = self._limited_periods[tenant] = _LimitedPeriod(now, now)
            limit = self._quotas[tenant].limit
            self.log.state_changed(
                "quota_limited",
                tenant=tenant,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
                left=round(left),
                nodes=self.buckets.fleet.nodes,
                nodes_heard=self.buckets.reporting_nodes(),
            )
        period.last_refused_at = now
        period.refused += 1
        self.metrics.quota_refusals.labels(self._label(tenant)).inc()

    def _label(self, tenant: str) -> str:
        if (
            tenant not in self._labelled_tenants
            and len(self._labelled_tenants) >= MAX_LABELLED_TENANTS
        ):
            return OTHER_TENANTS
        self._labelled_tenants.add(tenant)
        return tenant
