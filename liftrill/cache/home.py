"""Home nodes: each shared prefix has one, which adds up what all nodes know of it.

The home is found by rendezvous over the members. Nodes report the prefixes they use and
get back the rate over all nodes and the engines that hold them. A home that is lost
costs a second of coarser choices: its successor learns from the next reports.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.cache.directory import Holder, PrefixDirectory
from liftrill.coordination import rendezvous


@dataclass(frozen=True, slots=True)
class AgedHolder:
    """An engine that holds a prefix, with the age of that belief in seconds.

    Clocks differ between nodes, so that ages are sent and not times.
    """

    engine_id: str
    incarnation: int
    age: float


@dataclass(frozen=True, slots=True)
class PrefixReport:
    """What one node knows of a prefix.

    Attributes:
        rate: its own requests per second.
        holders: engines it believes to hold the prefix.
        kept_age: seconds since the kept-KV store was given the prefix, or None.
    """

    name: bytes
    rate: float
    holders: tuple[AgedHolder, ...]
    kept_age: float | None = None


@dataclass(slots=True)
class _HomeEntry:
    rates: dict[str, tuple[float, float]] = field(default_factory=dict)
    holders: dict[str, Holder] = field(default_factory=dict)
    kept_at: float | None = None


class HomeDirectory:
    """The prefixes that this node is home of, in bounded memory."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: OrderedDict[bytes, _HomeEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def exchange(
        self, node_id: str, reports: Iterable[PrefixReport], now: float
    ) -> list[PrefixReport]:
        """Take in a node's reports and answer with what the other nodes know."""
        return [self._exchange_one(node_id, report, now) for report in reports]

    def _exchange_one(self, node_id: str, report: PrefixReport, now: float) -> PrefixReport:
        entry = self._entries.setdefault(report.name, _HomeEntry())
        self._entries.move_to_end(report.name)
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)
        entry.rates[node_id] = (report.rate, now)
        for holder in report.holders:
            self._merge_holder(entry, holder, now)
        if report.kept_age is not None:
            kept_at = now - report.kept_age
            entry.kept_at = max(entry.kept_at or kept_at, kept_at)
        return self._answer(report.name, entry, node_id, now)

    def _answer(self, name: bytes, entry: _HomeEntry, node_id: str, now: float) -> PrefixReport:
        limit = now - constants.HOME_REPORT_LIFETIME_SECONDS
        entry.rates = {node: rate for node, rate in entry.rates.items() if rate[1] >= limit}
        others = sum(rate for node, (rate, _) in entry.rates.items() if node != node_id)
        newest = sorted(entry.holders.values(), key=lambda h: h.at, reverse=True)
        holders = [
            AgedHolder(h.engine_id, h.incarnation, now - h.at)
            for h in newest[: constants.HOLDERS_PER_MARKER]
        ]
        kept_age = None if entry.kept_at is None else now - entry.kept_at
        return PrefixReport(name, others, tuple(holders), kept_age)

    @staticmethod
    def _merge_holder(entry: _HomeEntry, holder: AgedHolder, now: float) -> None:
        at = now - holder.age
        known = entry.holders.get(holder.engine_id)
        if known is None or (holder.incarnation, at) > (known.incarnation, known.at):
            entry.holders[holder.engine_id] = Holder(holder.engine_id, holder.incarnation, at)


class HomeReporter:
    """Collects the prefixes this node used, for the next exchange."""

    def __init__(self, directory: PrefixDirectory) -> None:
        self._directory = directory
        self._used: dict[bytes, None] = {}

    def record_used(self, name: bytes) -> None:
        """Note that a request used a prefix."""
        if len(self._used) < constants.HOME_REPORTS_PER_EXCHANGE:
            self._used[name] = None

    def take_reports(self, members: Sequence[str], now: float) -> dict[str, list[PrefixReport]]:
        """Return the reports to send to each home."""
        used, self._used = list(self._used), {}
        reports: dict[str, list[PrefixReport]] = {}
        for name in used:
            home = rendezvous.first(name, members)
            report = self._report(name, now)
            if home is not None and report is not None:
                reports.setdefault(home, []).append(report)
        return reports

    def apply_answers(self, answers: Iterable[PrefixReport], now: float) -> None:
        """Take in a home's answers."""
        for answer in answers:
            holders = [Holder(h.engine_id, h.incarnation, now - h.age) for h in answer.holders]
            kept_at = None if answer.kept_age is None else now - answer.kept_age
            self._directory.merge_from_home(answer.name, answer.rate, holders, kept_at)

    def _report(self, name: bytes, now: float) -> PrefixReport | None:
        marker = self._directory.get(name)
        if marker is None:
            return None
        holders = tuple(
            AgedHolder(h.engine_id, h.incarnation, now - h.at) for h in marker.holders.values()
        )
        kept_age = None if marker.kept_at is None else now - marker.kept_at
        return PrefixReport(name, marker.local_rate(now), holders, kept_age)
