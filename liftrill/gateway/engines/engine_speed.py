"""How fast one incarnation of an engine works, from what nodes observed, sans-IO.

A pace is the seconds that one unit of work takes: a prompt token to be read, an event of a
stream, a whole answer. What was observed within the last second or so is weighed against what
lasted for longer, so that a passing slowness is felt at once and soon forgotten, and a single
sample changes little.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# After which observed work counts a third: callers feel an engine that recovered within two
# seconds of it, so that what it did before must be nearly forgotten by then.
RECENT_S = 0.7
# Over how long the pace is averaged that an engine goes back to once nothing was observed lately.
LONG_TERM_S = 10.0
# The first pace of an engine, when little was observed, counts as if it was known for so long.
MIN_HISTORY_S = 0.1
# For how long that pace counts without new work. An engine that stood idle for longer may have
# other neighbours or another load by then (guess).
LONG_TERM_LIFETIME_S = 30.0
# A word of a peer counts as long as two that are told each second may be lost after it.
REPORT_LIFETIME_S = 2.5
# With less work observed lately, what was known before makes up for the rest: some prompts are
# needed before they show a pace (guess).
FULL_EVIDENCE_S = 0.4
# Less observed work than this tells nothing: it is what datagrams round to.
MIN_WORK_S = 0.005
# A sample counts at most as this many times slower or faster than what was known: a connection
# that stalled must not count as all the work of a second.
SAMPLE_BOUND = 4.0
# One source weighs at most this many times the middle one.
SOURCE_BOUND = 2.0
# What a zone's nodes told together counts at most as this many times slower or faster than the
# middle zone: each is a mean of many, and one delegate must not make an engine slow.
ZONE_BOUND = 1.5
# From this many sources on, the slowest and the fastest quarter of what is told is left out.
TRIMMED_SOURCES = 4
TRIMMED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class WorkSample:
    """An amount of work, and how long it took."""

    units: float = 0.0
    seconds: float = 0.0

    @property
    def pace_s(self) -> float:
        """The seconds that one unit took."""
        return self.seconds / self.units

    def decayed(self, elapsed_s: float) -> "WorkSample":
        """Return what of it counts after some time."""
        factor = math.exp(-max(0.0, elapsed_s) / RECENT_S)
        return WorkSample(self.units * factor, self.seconds * factor)

    @property
    def is_significant(self) -> bool:
        """Whether there is enough of it to tell a pace."""
        return self.units > 0.0 and self.seconds >= MIN_WORK_S


NO_WORK = WorkSample()


def merge_sources(works: Iterable[WorkSample]) -> WorkSample:
    """Return the work of many sources as one, of which no source decides much.

    A source that lies, or sees engines over a bad link, tells of a pace far from the others'.
    """
    significant = [work for work in works if work.is_significant]
    if len(significant) < 2:
        return significant[0] if significant else NO_WORK
    rows = sorted(_bounded_rows(significant, SAMPLE_BOUND))
    total = sum(units for _, units in rows)
    cut = TRIMMED_SHARE * total if len(rows) >= TRIMMED_SOURCES else 0.0
    passed = seconds = kept = 0.0
    for pace_s, units in rows:
        within = min(passed + units, total - cut) - max(passed, cut)
        passed += units
        if within > 0.0:
            seconds += within * pace_s
            kept += within
    return WorkSample(total, total * seconds / kept)


def merge_zones(works: Iterable[WorkSample]) -> WorkSample:
    """Return what the nodes of several zones observed, of which no zone decides much."""
    significant = [work for work in works if work.is_significant]
    if len(significant) < 2:
        return significant[0] if significant else NO_WORK
    rows = _bounded_rows(significant, ZONE_BOUND)
    return WorkSample(
        sum(units for _, units in rows), sum(pace_s * units for pace_s, units in rows)
    )


def lower_median(values: Iterable[float]) -> float:
    """Return the median, the lower of two.

    Importing `statistics` for it would make each start longer.
    """
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def _bounded_rows(significant: list[WorkSample], bound: float) -> list[tuple[float, float]]:
    """Return pace and units of each source, neither far from the middle one's."""
    max_units = SOURCE_BOUND * lower_median([work.units for work in significant])
    median_s = lower_median([work.pace_s for work in significant])
    return [
        (_bounded(work.pace_s, median_s, bound), min(work.units, max_units)) for work in significant
    ]


def _bounded(pace_s: float, known_s: float, bound: float = SAMPLE_BOUND) -> float:
    return min(max(pace_s, known_s / bound), known_s * bound)


@dataclass(frozen=True, slots=True)
class _SourceReport:
    """What a peer, or a zone's delegate, told last.

    Attributes:
        is_sum: whether it is of all nodes of the zone.
    """

    work: WorkSample
    zone: str
    is_sum: bool
    received_at: float


@dataclass(slots=True)
class Pace:
    """How long one kind of work takes at one engine.

    Attributes:
        current_s: seconds of one unit by what is known now, or 0 while nothing is.
        long_term_s: the same over a longer time.
    """

    current_s: float = 0.0
    long_term_s: float = 0.0
    _own_work: WorkSample = NO_WORK
    _own_work_at: float = 0.0
    _reports: dict[str, _SourceReport] = field(default_factory=dict)
    _updated_at: float = 0.0
    _since: float = 0.0

    def record(self, units: float, elapsed_s: float, known_s: float, now: float) -> None:
        """Note work of this node, beside the seconds of a unit that were known (0: none)."""
        pace_s = elapsed_s / units
        if known_s:
            pace_s = _bounded(pace_s, known_s)
        earlier = self.own_work(now)
        self._own_work = WorkSample(earlier.units + units, earlier.seconds + pace_s * units)
        self._own_work_at = now

    def own_work(self, now: float) -> WorkSample:
        """Return what this node observed lately."""
        return self._own_work.decayed(now - self._own_work_at) if self._own_work.units else NO_WORK

    def apply_report(self, node: str, zone: str, work: WorkSample, now: float) -> None:
        """Replace what a node told before, or a zone where the node is empty."""
        source = node or f"zone {zone}"
        if work.is_significant:
            self._reports[source] = _SourceReport(work, zone, not node, now)
        else:
            self._reports.pop(source, None)

    def zone_work(self, zone: str, now: float) -> WorkSample:
        """Return what this node and the heard nodes of its zone observed lately."""
        reports = (w for w in self._reports.values() if w.zone == zone and not w.is_sum)
        heard = (report.work.decayed(now - report.received_at) for report in reports)
        works = [work for work in (self.own_work(now), *heard) if work.is_significant]
        return merge_sources(works)

    def sources(self) -> int:
        """Return how many sources besides this node told of it lately."""
        return len(self._reports)

    def update_estimates(self, known_s: float, now: float) -> None:
        """Work out the pace anew; without one of its own it begins from a known one."""
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
            # The mean of all that was found until there is enough of it.
            known_for_s = max(MIN_HISTORY_S, now - self._since)
            share = (now - self._updated_at) / min(LONG_TERM_S, known_for_s)
            self.long_term_s += min(1.0, share) * (self.current_s - self.long_term_s)
        self._updated_at = now

    def _fall_back(self, now: float) -> None:
        """Go back to the pace that lasted, and forget it in the end."""
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
    """How fast one incarnation of an engine works.

    Attributes:
        reading: of a prompt token.
        event: of an event of a stream after the first one.
        answer: of a whole answer, in a slot of its own.
        read_s_per_token: seconds to read a prompt token that decisions use, or 0 for the service's.
        slowness: how many times the reading time of the service's engines it takes.
        answer_slowness: the same of whole answers.
        home_weight: how many shared parts have their home there, beside other engines.
        disturbed_at: when it was last seen to load weights: what ran then tells nothing of its
            pace.
    """

    reading: Pace = field(default_factory=Pace)
    event: Pace = field(default_factory=Pace)
    answer: Pace = field(default_factory=Pace)
    read_s_per_token: float = 0.0
    slowness: float = 1.0
    answer_slowness: float = 1.0
    home_weight: float = 1.0
    disturbed_at: float = -math.inf
