"""Compares routing policies over several seeds: medians, and ratios to the best baseline."""

import statistics
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from liftrill.bench.simulation.scenario import Scenario
from liftrill.bench.simulation.simulator import SimulatedCall, Simulation
from liftrill.bench.summary import percentiles

BASELINES = ("random", "round_robin", "least_loaded", "prefix_hash", "cache_aware")
OWN_POLICY = "liftrill"


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """Metrics of one run; latencies are in milliseconds.

    Attributes:
        hit_rate: share of the prompt tokens that came from a cache or the kept-KV store.
        bound: hit rate that an unlimited cache would have reached.
        wasted_tokens: prompt tokens that were recomputed and that an unlimited cache would
            have contained.
        urgent_p99: 99th percentile of the time to first token of workloads with priority 0.
        refused: share of the requests without a complete response.
    """

    scenario: str
    policy: str
    seed: int
    requests: int
    hit_rate: float
    bound: float
    wasted_tokens: float
    first_token_p50: float
    first_token_p95: float
    first_token_p99: float
    urgent_p99: float
    refused: float

    @property
    def share_of_bound(self) -> float:
        """The hit rate divided by that of an unlimited cache."""
        return self.hit_rate / self.bound if self.bound else 1.0


@dataclass(frozen=True, slots=True)
class PolicyMetrics:
    """Medians of the metrics of one policy over the seeds; latencies are in milliseconds."""

    policy: str
    hit_rate: float
    share_of_bound: float
    wasted_tokens: float
    first_token_p50: float
    first_token_p95: float
    first_token_p99: float
    urgent_p99: float
    refused: float


@dataclass(frozen=True, slots=True)
class Comparison:
    """The comparison of policies in one scenario.

    Attributes:
        waste_ratio: wasted tokens of `OWN_POLICY` divided by those of the best baseline.
        first_token_p99_ratio: the same ratio for the 99th percentile of the time to first token.
    """

    scenario: str
    seeds: tuple[int, ...]
    policies: tuple[PolicyMetrics, ...]
    waste_ratio: float
    first_token_p99_ratio: float

    def as_json(self) -> dict[str, object]:
        """Return the comparison as a JSON object."""
        return asdict(self)


def run_once(scenario: Scenario, policy: str, seed: int) -> RunMetrics:
    """Run one simulation and return its metrics."""
    return run_metrics(scenario.name, policy, seed, Simulation(scenario, policy, seed).run())


def run_metrics(
    scenario: str, policy: str, seed: int, calls: Sequence[SimulatedCall]
) -> RunMetrics:
    """Return the metrics of the calls of a run."""
    completed = [call for call in calls if call.complete]
    prompt_tokens = sum(call.prompt_tokens for call in completed) or 1
    latency = percentiles(_first_token_seconds(completed))
    urgent = percentiles(_first_token_seconds(call for call in completed if call.urgent))
    return RunMetrics(
        scenario=scenario,
        policy=policy,
        seed=seed,
        requests=len(calls),
        hit_rate=sum(call.cached_tokens for call in completed) / prompt_tokens,
        bound=sum(call.reusable_tokens for call in completed) / prompt_tokens,
        wasted_tokens=sum(max(0, c.reusable_tokens - c.cached_tokens) for c in completed),
        first_token_p50=latency[50.0],
        first_token_p95=latency[95.0],
        first_token_p99=latency[99.0],
        urgent_p99=urgent[99.0],
        refused=1.0 - len(completed) / len(calls) if calls else 0.0,
    )


def compare(
    scenario: Scenario, policies: Sequence[str], seeds: Sequence[int], workers: int
) -> Comparison:
    """Run all policies with all seeds in parallel worker processes, and compare the medians."""
    jobs = [(scenario, policy, seed) for policy in policies for seed in seeds]
    with ProcessPoolExecutor(max_workers=workers) as pool:
        runs = list(pool.map(run_once, *zip(*jobs, strict=True)))
    rows = [_medians(policy, [r for r in runs if r.policy == policy]) for policy in policies]
    own = next((row for row in rows if row.policy == OWN_POLICY), rows[-1])
    baselines = [row for row in rows if row.policy in BASELINES] or [own]
    return Comparison(
        scenario=scenario.name,
        seeds=tuple(seeds),
        policies=tuple(rows),
        waste_ratio=_ratio(own.wasted_tokens, min(row.wasted_tokens for row in baselines)),
        first_token_p99_ratio=_ratio(
            own.first_token_p99, min(row.first_token_p99 for row in baselines)
        ),
    )


def format_comparison(comparison: Comparison) -> str:
    """Return a comparison as text."""
    seeds = f"{comparison.seeds[0]}..{comparison.seeds[-1]}"
    lines = [
        f"{comparison.scenario}, seeds {seeds}, medians",
        f"{'policy':24} {'hit':>6} {'/bound':>7} {'wasted':>10} {'p50':>7} {'p95':>7} "
        f"{'p99':>7} {'urgent':>7} {'refused':>8}",
    ]
    for row in comparison.policies:
        lines.append(
            f"{row.policy:24} {row.hit_rate:6.3f} {row.share_of_bound:7.3f} "
            f"{row.wasted_tokens:10.0f} {row.first_token_p50:7.0f} {row.first_token_p95:7.0f} "
            f"{row.first_token_p99:7.0f} {row.urgent_p99:7.0f} {row.refused:8.4f}"
        )
    lines.append(
        f"liftrill relative to the best baseline: wasted {comparison.waste_ratio:.2f}, "
        f"first token p99 {comparison.first_token_p99_ratio:.2f}"
    )
    return "\n".join(lines)


def _first_token_seconds(calls: Iterable[SimulatedCall]) -> list[float]:
    return [c.first_token_at - c.sent_at for c in calls if c.first_token_at is not None]


def _medians(policy: str, runs: Sequence[RunMetrics]) -> PolicyMetrics:
    def median(values: Iterable[float]) -> float:
        return statistics.median(values)

    return PolicyMetrics(
        policy=policy,
        hit_rate=median(r.hit_rate for r in runs),
        share_of_bound=median(r.share_of_bound for r in runs),
        wasted_tokens=median(r.wasted_tokens for r in runs),
        first_token_p50=median(r.first_token_p50 for r in runs),
        first_token_p95=median(r.first_token_p95 for r in runs),
        first_token_p99=median(r.first_token_p99 for r in runs),
        urgent_p99=median(r.urgent_p99 for r in runs),
        refused=median(r.refused for r in runs),
    )


def _ratio(own: float, baseline: float) -> float:
    return own / baseline if baseline else 1.0
