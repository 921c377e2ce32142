"""Figures over the records of a load."""

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
    """Figures of one load.

    Attributes:
        outcomes: requests by outcome.
        hit_rate: prompt tokens served from cache, over all prompt tokens.
        bound: the same with an unlimited cache.
        wasted_tokens: prompt tokens computed again that an unlimited cache had.
        first_token_milliseconds: by percentile.
        problems: what was wrong with answers.
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
    """Return the figures of a load."""
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
    """Return percentiles in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, int(value * 1_000_000)))
    return {p: histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


class UnlimitedCache:
    """The reference: a cache that never evicts, per tenant."""

    def __init__(self) -> None:
        self._seen: set[bytes] = set()
        self._tokenizer = FixedWidthTokenizer()
        self._salts: dict[str, bytes] = {}

    def reusable_tokens(self, planned: PlannedRequest) -> int:
        """Return the prompt tokens seen before, and remember this prompt."""
        salt = self._salts.get(planned.tenant)
        if salt is None:
            scope = CacheScope(planned.tenant, planned.workload.model, "", "")
            salt = self._salts[planned.tenant] = scope.salt(b"reference")
        names = block_names(planned.prompt.encode(), salt, self._tokenizer)
        seen = sum(1 for name in names if name in self._seen)
        self._seen.update(names)
        return seen * BLOCK_TOKENS


def format_summary(summary: LoadSummary) -> str:
    """Return a summary for people."""
    latency = summary.first_token_milliseconds
    outcomes = ", ".join(f"{name} {count}" for name, count in sorted(summary.outcomes.items()))
    lines = [
        f"requests              {summary.requests} ({outcomes})",
        f"prefix hit rate       {summary.hit_rate:.3f} (unlimited cache: {summary.bound:.3f})",
        f"wasted recomputation  {summary.wasted_tokens} tokens",
        "time to first token   " + ", ".join(f"p{p:.0f} {latency[p]:.0f} ms" for p in PERCENTILES),
        f"promises broken       {len(summary.problems)}",
        *(f"  {problem}" for problem in summary.problems[:10]),
    ]
    if summary.codes:
        codes = ", ".join(f"{code} x{count}" for code, count in sorted(summary.codes.items()))
        lines.insert(1, f"result codes          {codes}")
    return "\n".join(lines)
