"""Runs the load of a scenario on launched processes, to compare routing policies."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from liftrill.bench.caller import Caller, send_open_loop
from liftrill.bench.history import CallRecord
from liftrill.bench.launcher import Cluster
from liftrill.bench.simulation.scenario import Scenario
from liftrill.bench.summary import LoadSummary, UnlimitedCache, summarize
from liftrill.bench.workload import PlannedRequest, WorkloadGenerator


@dataclass(frozen=True, slots=True)
class LiveMetrics:
    """Metrics of one policy on launched processes; times are in milliseconds."""

    policy: str
    seed: int
    requests: int
    hit_rate: float
    wasted_tokens: int
    first_token_p50: float
    first_token_p99: float
    problems: int


async def run_live(
    scenario: Scenario, policy: str, seed: int, seconds: float, directory: Path
) -> LiveMetrics:
    """Run the first seconds of the load of a scenario under a policy, and return the metrics."""
    deployment = scenario.scaled_deployment()
    generator = WorkloadGenerator(deployment, seed)
    planned = list(
        generator.varying_requests(
            scenario.rate_at, scenario.highest_rate, seconds, scenario.prefix_epoch
        )
    )
    cluster = Cluster(deployment, directory, seed, node_flags={"policy": policy})
    async with cluster:
        await cluster.configure()
        records = await send_planned(cluster, planned)
    return _live_metrics(policy, seed, summarize(records))


async def send_planned(
    cluster: Cluster,
    planned: list[PlannedRequest],
    on_done: Callable[[CallRecord], None] = lambda _: None,
) -> list[CallRecord]:
    """Send requests at their times, distributed over all nodes, and return the call records."""
    unlimited_cache = UnlimitedCache()
    reusable = {request.number: unlimited_cache.reusable_tokens(request) for request in planned}
    caller = Caller(cluster.session, [pool.weight_version for pool in cluster.deployment.pools])

    async def send(request: PlannedRequest) -> CallRecord:
        node = cluster.nodes[request.number % len(cluster.nodes)]
        record = await caller.send(node.name, node.address, request)
        record.reusable_tokens = reusable[request.number]
        on_done(record)
        return record

    return await send_open_loop(planned, lambda r: asyncio.create_task(send(r)))


def format_live(rows: list[LiveMetrics]) -> str:
    """Return a table of the metrics, ordered by hit rate, highest first."""
    lines = [f"{'policy':24} {'hit':>6} {'wasted':>9} {'p50':>7} {'p99':>7} {'problems':>9}"]
    for row in sorted(rows, key=lambda r: r.hit_rate, reverse=True):
        lines.append(
            f"{row.policy:24} {row.hit_rate:6.3f} {row.wasted_tokens:9} "
            f"{row.first_token_p50:7.0f} {row.first_token_p99:7.0f} {row.problems:9}"
        )
    return "\n".join(lines)


def _live_metrics(policy: str, seed: int, summary: LoadSummary) -> LiveMetrics:
    return LiveMetrics(
        policy=policy,
        seed=seed,
        requests=summary.requests,
        hit_rate=summary.hit_rate,
        wasted_tokens=summary.wasted_tokens,
        first_token_p50=summary.first_token_milliseconds[50.0],
        first_token_p99=summary.first_token_milliseconds[99.0],
        problems=len(summary.problems),
    )
