"""Rate limits per tenant and workload, and retry budgets per workload."""

from dataclasses import dataclass, field

from liftrill.constants import DEFAULT_RETRY_SHARE, RETRY_RESERVE
from liftrill.coordination.retry_budget import RetryBudget
from liftrill.coordination.token_bucket import TokenBucket
from liftrill.messages.configuration_pb2 import Tenant, Workload


@dataclass(slots=True)
class TenantLimits:
    """The token buckets of one tenant on one node."""

    requests: TokenBucket
    prompt_tokens: TokenBucket


@dataclass(slots=True)
class WorkloadLimits:
    """The token bucket and the retry budget of one workload on one node."""

    requests: TokenBucket
    retries: RetryBudget


@dataclass(slots=True)
class AdmissionController:
    """Admits or refuses requests by the rate limits of their tenant and workload.

    Attributes:
        share: the fraction of each configured rate and burst that this node may admit.
    """

    share: float = 1.0
    _tenants: dict[str, TenantLimits] = field(default_factory=dict)
    _workloads: dict[str, WorkloadLimits] = field(default_factory=dict)

    def configure(self, tenants: list[Tenant], workloads: list[Workload]) -> None:
        """Apply the limits of a new configuration; unchanged ones keep their balance."""
        self._tenants = {t.name: self._tenant_limits(t) for t in tenants}
        self._workloads = {w.name: self._workload_limits(w) for w in workloads}

    def admit(self, tenant: str, workload: str, prompt_tokens: int, now: float) -> float:
        """Return 0.0 if the request is admitted, or the seconds until it may be."""
        limits = self._tenants[tenant]
        wait = limits.requests.try_take(1.0, now)
        if wait > 0:
            return wait
        wait = limits.prompt_tokens.try_take(prompt_tokens, now)
        if wait > 0:
            limits.requests.refund(1.0)
            return wait
        return self._admit_workload(limits, workload, prompt_tokens, now)

    def record_success(self, workload: str) -> None:
        """Credit the retry budget of a workload for one success."""
        limits = self._workloads.get(workload)
        if limits is not None:
            limits.retries.record_success()

    def try_spend_retry(self, workload: str) -> bool:
        """Spend one retry from the retry budget of a workload; False if it is empty."""
        limits = self._workloads.get(workload)
        return limits is not None and limits.retries.try_spend()

    def _admit_workload(
        self, tenant_limits: TenantLimits, workload: str, prompt_tokens: int, now: float
    ) -> float:
        wait = self._workloads[workload].requests.try_take(1.0, now)
        if wait > 0:
            tenant_limits.requests.refund(1.0)
            tenant_limits.prompt_tokens.refund(prompt_tokens)
        return wait

    def _tenant_limits(self, tenant: Tenant) -> TenantLimits:
        old = self._tenants.get(tenant.name)
        requests = self._new_bucket(tenant.requests_per_second, tenant.request_burst)
        tokens = self._new_bucket(tenant.prompt_tokens_per_second, tenant.prompt_token_burst)
        return TenantLimits(
            requests=_keep_if_same(old.requests if old else None, requests),
            prompt_tokens=_keep_if_same(old.prompt_tokens if old else None, tokens),
        )

    def _workload_limits(self, workload: Workload) -> WorkloadLimits:
        old = self._workloads.get(workload.name)
        requests = self._new_bucket(workload.requests_per_second, workload.request_burst)
        share = workload.retry_share or DEFAULT_RETRY_SHARE
        same_share = old is not None and old.retries.share == share
        retries = old.retries if old and same_share else RetryBudget(share, RETRY_RESERVE)
        return WorkloadLimits(_keep_if_same(old.requests if old else None, requests), retries)

    def _new_bucket(self, rate: float, burst: float) -> TokenBucket:
        return TokenBucket(rate * self.share, max(burst * self.share, 1.0))


def _keep_if_same(old: TokenBucket | None, new: TokenBucket) -> TokenBucket:
    if old is not None and (old.rate, old.burst) == (new.rate, new.burst):
        return old
    return new
