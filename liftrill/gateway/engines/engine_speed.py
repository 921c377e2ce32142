"""Speed estimates of one engine incarnation from the observations of nodes; performs no I/O.

A pace is the time that one unit of work takes: prefilling a prompt token, producing an event of
a stream, or giving a whole answer. Observations of about the last second are weighed against a
long-term average, so that a temporary slowdown takes effect at once and soon expires, and a single
sample changes little.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# Time constant of the exponential decay of observed work. Callers notice a recovered engine within
# two seconds, so that earlier work must have little weight by then.
RECENT_S = 0.7
# Averaging time of the long-term pace, which is used when nothing was observed recently.
LONG_TERM_S = 10.0
# The first pace of an engine counts as if it had been observed for this long.
MIN_HISTORY_S = 0.1
# Lifetime of the long-term pace without new work: after a longer idle time the engine may run
# beside other processes or under another load.
LONG_TERM_LIFETIME_S = 30.0
# Lifetime of a report: peers report every second, and two lost reports do not end its effect.
REPORT_LIFETIME_S = 2.5
# Below this amount of recent work the previous pace makes up the difference, since a pace needs
# several prompts to show.
FULL_EVIDENCE_S = 0.4
# Less observed work is ignored: it is the rounding error of datagrams.
MIN_WORK_S = 0.005
# Bound of a sample relative to the known pace, in either direction: a stalled connection must not
# count as a second of work.
SAMPLE_BOUND = 4.0
# Bound of the weight of one source, relative to the median source.
SOURCE_BOUND = 2.0
# Bound of a zone's pace relative to the median zone, in either direction. It is tighter since a
# zone's pace is the mean of many, and one delegate must not make an engine appear slow.
ZONE_BOUND = 1.5
# From this many sources on, the slowest and the fastest quarter of the reported work is dropped.
TRIMMED_SOURCES = 4
TRIMMED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class WorkSample:
    """An amount of work and the time that it took."""

    units: float = 0.0
    seconds: float = 0.0

    @property
    def pace_s(self) -> float:
        """The time that one unit took."""
        return self.seconds / self.units

    def decayed(self, elapsed_s: float) -> "WorkSample":
        """Return the sample with its weight decayed after some time."""
        factor = math.exp(-max(0.0, elapsed_s) / RECENT_S)
        return WorkSample(self.units * factor, self.seconds * factor)

    @property
    def is_significant(self) -> bool:
        """Whether the sample is large enough to determine a pace."""
        return self.units > 0.0 and self.seconds >= MIN_WORK_S


NO_WORK = WorkSample()


def merge_sources(works: Iterable[WorkSample]) -> WorkSample:
    """Merge the work of several sources so that no single source dominates.

    A source that reports wrong values, or reaches engines over a bad link, has an outlying pace.
    """
    significant = [work for work in works if work.is_significant]
    if len(significant) < 2:
        return significant[0] if significant else NO_WORK
    rows = sorted(_bounded_rows(significant, SAMPLE_BOUND))
    total = sum(units for _, units in rows)
    cut = TRIMMED_SHARE * total if len(rows) >= TRIMMED_SOURCES else 0.0
    passed = seconds = included = 0.0
    for pace_s, units in rows:
        within = min(passed + units, total - cut) - max(passed, cut)
        passed += units
        if within > 0.0:
            seconds += within * pace_s
            included += within
    return WorkSample(total, total * seconds / included)


def merge_zones(works: Iterable[WorkSample]) -> WorkSample:
    """Merge the work observed in several zones so that no single zone dominates."""
    significant = [work for work in works if work.is_significant]
    if len(significant) < 2:
        return significant[0] if significant else NO_WORK
    rows = _bounded_rows(significant, ZONE_BOUND)
    return WorkSample(
        sum(units for _, units in rows), sum(pace_s * units for pace_s, units in rows)
    )


def lower_median(values: Iterable[float]) -> float:
    """Return the median, or the lower of the two middle values.

    The `statistics` module is not used because importing it makes each start slower.
    """
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def _bounded_rows(significant: list[WorkSample], bound: float) -> list[tuple[float, float]]:
    """Return bounded pace and weight of each source, near those of the median source."""
    max_units = SOURCE_BOUND * lower_median([work.units for work in significant])
    median_s = lower_median([work.pace_s for work in significant])
    return [
        (_bounded(work.pace_s, median_s, bound), min(work.units, max_units)) for work in significant
    ]


def _bounded(pace_s: float, known_s: float, bound: float = SAMPLE_BOUND) -> float:
    return min(max(pace_s, known_s / bound), known_s * bound)


@dataclass(frozen=True, slots=True)
class _SourceReport:
    """Last report of a peer, or of a zone's delegate.

    Attributes:
        is_sum: whether the report covers all nodes of the zone.
    """

    work: WorkSample
    zone: str
    is_sum: bool
    received_at: float


@dataclass(slots=True)
class Pace:
    """Pace of one kind of work at one engine.

    Attributes:
        current_s: time per unit by the current estimate, or 0 while unknown.
        long_term_s: the same, averaged over a longer time.
    """

    current_s: float = 0.0
    long_term_s: float = 0.0
    _own_work: WorkSample = NO_WORK
    _own_work_at: float = 0.0
    _reports: dict[str, _SourceReport] = field(default_factory=dict)
    _updated_at: float = 0.0
    _since: float = 0.0

    def record(self, units: float, elapsed_s: float, known_s: float, now: float) -> None:
        """Record work of this node, bounded by the known time per unit (0: unknown)."""
        pace_s = elapsed_s / units
        if known_s:
            pace_s = _bounded(pace_s, known_s)
        earlier = self.own_work(now)
        self._own_work = WorkSample(earlier.units + units, earlier.seconds + pace_s * units)
        self._own_work_at = now

    def own_work(self, now: float) -> WorkSample:
        """Return the recent work observed by this node."""
        return self._own_work.decayed(now - self._own_work_at) if self._own_work.units else NO_WORK

    def apply_report(self, node: str, zone: str, work: WorkSample, now: float) -> None:
        """Replace the last report of a node, or of a zone if `node` is empty."""
        source = node or f"zone {zone}"
        if work.is_significant:
            self._reports[source] = _SourceReport(work, zone, not node, now)
        else:
            self._reports.pop(source, None)

    def zone_work(self, zone: str, now: float) -> WorkSample:
        """Return the recent work observed by this node and the reporting nodes of its zone."""
        reports = (w for w in self._reports.values() if w.zone == zone and not w.is_sum)
        reported = (report.work.decayed(now - report.received_at) for report in reports)
        works = [work for work in (self.own_work(now), *reported) if work.is_significant]
        return merge_sources(works)

    def sources(self) -> int:
        """Return the number of sources besides this node that reported recently."""
        return len(self._reports)

    def update_estimates(self, known_s: float, now: float) -> None:
        """Recompute the pace; without a pace of its own it starts from `known_s`."""
        if self._reports:
            self._drop_old_reports(now)
        work = self._merged_work(now)
        if not work.is_significant:
            self._fall_back(now)
            return
        before_s = self.long_term_s or known_s or work.pace_s
        known_work_s = max(0.0, FULL_EVIDENCE_S - work.seconds)
        units = work.units + known_work_s / before_s
        self.current_s = (work.seconds + known_work_s) / units
        if not self.long_term_s:
            self.long_term_s, self._since = self.current_s, now
        else:
            # An arithmetic mean until there is enough history for the long-term average.
            known_for_s = max(MIN_HISTORY_S, now - self._since)
            share = (now - self._updated_at) / min(LONG_TERM_S, known_for_s)
            self.long_term_s += min(1.0, share) * (self.current_s - self.long_term_s)
        self._updated_at = now

    def _fall_back(self, now: float) -> None:
        """Return to the long-term pace, which expires after LONG_TERM_LIFETIME_S."""
        if now - self._updated_at > LONG_TERM_LIFETIME_S:
            self.long_term_s = 0.0
        self.current_s = self.long_term_s

    def _drop_old_reports(self, now: float) -> None:
        limit = now - REPORT_LIFETIME_S
        for source in [s for s, report in self._reports.items() if report.received_at < limit]:
            del self._reports[source]

    def _merged_work(self, now: float) -> WorkSample:
        own = self.own_work(now)
        if not self._reports:
            return own
        nodes: list[WorkSample] = [own]
        zones: list[WorkSample] = []
        for report in self._reports.values():
            (zones if report.is_sum else nodes).append(
                report.work.decayed(now - report.received_at)
            )
        local = merge_sources(nodes)
        return merge_zones([local, *zones]) if zones else local


@dataclass(slots=True)
class EngineSpeed:
    """Estimated speed of one engine incarnation.

    Attributes:
        prefill: pace of prefilling a prompt token.
        event: pace of stream events after the first one.
        answer: pace of a whole answer in a slot of its own.
        prefill_s_per_token: prefill time of a prompt token that decisions use, or 0 to use the
            service's.
        slowness: prefill time relative to the service's engines.
        answer_slowness: time of a whole answer relative to the service's engines.
        home_weight: rendezvous weight of the engine as the home of shared parts.
        disturbed_at: time when the engine was last seen loading weights; work that ran then is no
            evidence of its pace.
    """

    prefill: Pace = field(default_factory=Pace)
    event: Pace = field(default_factory=Pace)
    answer: Pace = field(default_factory=Pace)
    prefill_s_per_token: float = 0.0
    slowness: float = 1.0
    answer_slowness: float = 1.0
    home_weight: float = 1.0
    disturbed_at: float = -math.inf
