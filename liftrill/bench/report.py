"""Writes a report of one scenario: metrics for each policy, and plots over time."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib
from matplotlib import pyplot
from matplotlib.axes import Axes

from liftrill.bench.simulation.compare import RunMetrics, run_metrics
from liftrill.bench.simulation.scenario import Scenario
from liftrill.bench.simulation.simulator import SimulatedCall, Simulation
from liftrill.bench.summary import percentiles

BIN_SECONDS = 5.0
FIGURE_SIZE_INCHES = (10.0, 9.0)
DOTS_PER_INCH = 110
TAIL_PERCENTILE = 95.0


def write_report(scenario: Scenario, policies: Sequence[str], seed: int, directory: Path) -> Path:
    """Run a scenario under each policy, write `NAME.md` and `NAME.png`, and return the page."""
    directory.mkdir(parents=True, exist_ok=True)
    calls_by_policy = {policy: Simulation(scenario, policy, seed).run() for policy in policies}
    rows = [
        run_metrics(scenario.name, policy, seed, policy_calls)
        for policy, policy_calls in calls_by_policy.items()
    ]
    _plot(scenario, calls_by_policy, directory / f"{scenario.name}.png")
    page = directory / f"{scenario.name}.md"
    page.write_text(_markdown_page(scenario, seed, rows))
    return page


def _markdown_page(scenario: Scenario, seed: int, rows: Sequence[RunMetrics]) -> str:
    lines = [
        f"# {scenario.name}",
        "",
        scenario.description,
        f"Virtual time, seed {seed}; times in milliseconds.",
        "",
        "| policy | hit rate | of the bound | wasted tokens | p50 | p95 | p99 | urgent p99 |",
        "|---|---|---|---|---|---|---|---|",
        *(
            f"| {row.policy} | {row.hit_rate:.3f} | {row.share_of_bound:.3f} "
            f"| {row.wasted_tokens:.0f} | {row.first_token_p50:.0f} | {row.first_token_p95:.0f} "
            f"| {row.first_token_p99:.0f} | {row.urgent_p99:.0f} |"
            for row in rows
        ),
        "",
        f"![hit rate and time to first token over time]({scenario.name}.png)",
        "",
    ]
    return "\n".join(lines)


def _plot(scenario: Scenario, calls_by_policy: dict[str, list[SimulatedCall]], path: Path) -> None:
    matplotlib.use("Agg")
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=FIGURE_SIZE_INCHES)
    _plot_rate(axes[0], scenario)
    for policy, policy_calls in calls_by_policy.items():
        bins = _bins(policy_calls)
        times = [at for at, _ in bins]
        axes[1].plot(times, [_hit_rate(group) for _, group in bins], label=policy)
        axes[2].plot(times, [_tail_milliseconds(group) for _, group in bins], label=policy)
    axes[1].set_ylabel("prefix hit rate")
    axes[1].set_ylim(0.0, 1.0)
    axes[2].set_ylabel(f"time to first token, p{TAIL_PERCENTILE:.0f} (ms)")
    axes[2].set_yscale("log")
    axes[2].set_xlabel("seconds")
    axes[1].legend(loc="lower right", fontsize="small")
    for axis in axes:
        axis.grid(alpha=0.3)
    figure.suptitle(scenario.description)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _plot_rate(axis: Axes, scenario: Scenario) -> None:
    times = [second * 1.0 for second in range(int(scenario.seconds) + 1)]
    axis.plot(times, [scenario.rate_at(at) for at in times], color="black")
    axis.set_ylabel("requests/s")
    axis.set_ylim(bottom=0.0)


def _bins(calls: Sequence[SimulatedCall]) -> list[tuple[float, list[SimulatedCall]]]:
    groups: dict[int, list[SimulatedCall]] = {}
    for call in calls:
        if call.complete:
            groups.setdefault(int(call.sent_at // BIN_SECONDS), []).append(call)
    return [(number * BIN_SECONDS, groups[number]) for number in sorted(groups)]


def _hit_rate(calls: Sequence[SimulatedCall]) -> float:
    return sum(c.cached_tokens for c in calls) / sum(c.prompt_tokens for c in calls)


def _tail_milliseconds(calls: Sequence[SimulatedCall]) -> float:
    seconds = [c.first_token_at - c.sent_at for c in calls if c.first_token_at is not None]
    return percentiles(seconds)[TAIL_PERCENTILE]
