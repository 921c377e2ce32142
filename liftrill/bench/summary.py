"""Summaries of the call records of a load."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from liftrill.bench.history import CallRecord
from liftrill.bench.workload import PlannedRequest
from liftrill.cache.blocks import CacheScope, block_names
from liftrill.cache.tokenizer import FixedWidthTokenizer
from liftrill.constants import BLOCK_TOKENS

HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Metrics of one load.

    Attributes:
        outcomes: number of requests by outcome.
        codes: number of requests by result code, without successes.
        hit_rate: share of the prompt tokens of completed requests that came from the cache.
        bound: hit rate that an unlimited cache would have reached.
        wasted_tokens: prompt tokens that were recomputed and that an unlimited cache would
            have contained.
        first_token_milliseconds: time to first token, by percentile.
        problems: violations that the checks found in the responses.
    """

    requests: int
    outcomes: dict[str, int]
    codes: dict[int, int]
    hit_rate: float
    bound: float
    wasted_tokens: int
    first_token_milliseconds: dict[float, float]
    problems: list[str]


def summarize(records: Sequence[CallRecord]) -> LoadSummary:
    """Return the metrics of a load."""
    completed = [record for record in records if record.complete]
    prompt_tokens = sum(record.prompt_tokens for record in completed) or 1
    first_tokens = [r.first_token_at - r.sent_at for r in records if r.first_token_at is not None]
    return LoadSummary(
        requests=len(records),
        outcomes=dict(Counter(record.outcome for record in records)),
        codes=dict(Counter(record.code for record in records if record.code)),
        hit_rate=sum(record.cached_tokens for record in completed) / prompt_tokens,
        bound=sum(record.reusable_tokens for record in completed) / prompt_tokens,
        wasted_tokens=sum(max(0, r.reusable_tokens - r.cached_tokens) for r in completed),
        first_token_milliseconds=percentiles(first_tokens),
        problems=[f"request {r.number}: {p}" for r in records for p in r.problems],
    )


def percentiles(seconds: Sequence[float]) -> dict[float, float]:
    """Return `PERCENTILES` of durations given in seconds, in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1_000_000)))
    return {p: histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


class UnlimitedCache:
    """A prefix cache for each tenant that never evicts, as the reference for hit rates."""

    def __init__(self) -> None:
        self._cached_names: set[bytes] = set()
        self._tokenizer = FixedWidthTokenizer()
        self._salts: dict[str, bytes] = {}

    def reusable_tokens(self, planned: PlannedRequest) -> int:
        """Return the number of prompt tokens in the cache, and add the prompt to it."""
        salt = self._salts.get(planned.tenant)
        if salt is None:
            scope = CacheScope(planned.tenant, planned.workload.model, "", "")
            salt = self._salts[planned.tenant] = scope.salt(b"reference")
        names = block_names(planned.prompt.encode(), salt, self._tokenizer)
        cached_blocks = sum(1 for name in names if name in self._cached_names)
        self._cached_names.update(names)
        return cached_blocks * BLOCK_TOKENS


def format_summary(summary: LoadSummary) -> str:
    """Return a summary as text."""
    latency = summary.first_token_milliseconds
    outcomes = ", ".join(f"{name} {count}" for name, count in sorted(summary.outcomes.items()))
    lines = [
        f"requests              {summary.requests} ({outcomes})",
        f"prefix hit rate       {summary.hit_rate:.3f} (unlimited cache: {summary.bound:.3f})",
        f"wasted recomputation  {summary.wasted_tokens} tokens",
        "time to first token   " + ", ".join(f"p{p:.0f} {latency[p]:.0f} ms" for p in PERCENTILES),
        f"response problems     {len(summary.problems)}",
        *(f"  {problem}" for problem in summary.problems[:10]),
    ]
    if summary.codes:
        codes = ", ".join(f"{code} x{count}" for code, count in sorted(summary.codes.items()))
        lines.insert(1, f"result codes          {codes}")
    return "\n".join(lines)
