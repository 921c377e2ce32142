"""Generates the requests of a load, whose prompts share prefixes that change over time."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from liftrill.bench.deployment import Deployment, WorkloadSpecification, tenant_names
from liftrill.constants import TOKEN_BYTES

ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789 "


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request of a load.

    Attributes:
        number: position in the load, from 0.
        send_at: seconds after the start of the load.
        prefix_name: name of the shared prefix, for reports.
    """

    number: int
    send_at: float
    tenant: str
    workload: WorkloadSpecification
    prefix_name: str
    prompt: str


class WorkloadGenerator:
    """Draws requests with Poisson arrivals; equal seeds give equal requests."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._random = random.Random(seed)
        self._prefix_texts: dict[str, str] = {}
        self._tenants = tenant_names(deployment)
        self._tenant_weights = [
            deployment.large_tenant_weight if i < deployment.large_tenants else 1.0
            for i in range(deployment.tenants)
        ]

    def requests(self, requests_per_second: float, seconds: float) -> Iterator[PlannedRequest]:
        """Yield the requests of a load with a constant mean rate."""
        at = self._random.expovariate(requests_per_second)
        number = 0
        while at < seconds:
            yield self.request(number, at)
            number += 1
            at += self._random.expovariate(requests_per_second)

    def varying_requests(
        self,
        rate_at: Callable[[float], float],
        highest_rate: float,
        seconds: float,
        prefix_epoch: Callable[[float], int],
    ) -> Iterator[PlannedRequest]:
        """Yield the requests of a load whose arrival rate and hot prefixes change.

        Arrivals are drawn at the highest rate and thinned (Lewis and Shedler, 1979).

        Args:
            rate_at: returns the arrival rate at a time, in requests per second.
            highest_rate: upper bound of the arrival rate.
            seconds: duration of the load.
            prefix_epoch: returns how often the hot prefixes have been replaced by a time.
        """
        at, number = 0.0, 0
        while True:
            at += self._random.expovariate(highest_rate)
            if at >= seconds:
                return
            if self._random.random() * highest_rate < rate_at(at):
                yield self.request(number, at, prefix_epoch(at))
                number += 1

    def request(self, number: int, send_at: float, prefix_epoch: int = 0) -> PlannedRequest:
        """Return a request with a random workload, tenant and prompt."""
        workloads = self._deployment.workloads
        workload = self._random.choices(workloads, [w.share for w in workloads])[0]
        tenant = self._random.choices(self._tenants, self._tenant_weights)[0]
        prefix_name = self._prefix_name(tenant, workload, prefix_epoch)
        prefix = self.prefix_text(prefix_name, workload.prefix_tokens)
        unique_text = self._unique_text(number, workload.unique_tokens)
        return PlannedRequest(number, send_at, tenant, workload, prefix_name, prefix + unique_text)

    def prefix_text(self, name: str, tokens: int) -> str:
        """Return the text of a shared prefix, which is derived from the seed and the name."""
        text = self._prefix_texts.get(name)
        if text is None:
            random_source = random.Random(f"{self._seed}/{name}")
            text = "".join(random_source.choices(ALPHABET, k=tokens * TOKEN_BYTES))
            self._prefix_texts[name] = text
        return text

    def _prefix_name(self, tenant: str, workload: WorkloadSpecification, prefix_epoch: int) -> str:
        # Popularity is inversely proportional to the rank, because a few preambles are very hot.
        ranks = range(1, workload.hot_prefixes + 1)
        rank = self._random.choices(ranks, [1.0 / r for r in ranks])[0]
        owner = "all" if workload.same_for_all_tenants else tenant
        return f"{workload.prefix_group}/{owner}/{prefix_epoch}/{rank}"

    def _unique_text(self, number: int, mean_tokens: int) -> str:
        tokens = max(1, int(self._random.uniform(0.5, 1.5) * mean_tokens))
        text = f"[{number}]" + "".join(self._random.choices(ALPHABET, k=tokens * TOKEN_BYTES))
        return text[: tokens * TOKEN_BYTES]
