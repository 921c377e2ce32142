"""Home nodes, which aggregate the information of all nodes about shared prefixes.

The home node of a prefix is chosen by rendezvous hashing over the members. Nodes report the
prefixes that they use, and receive the rates of the other nodes and the engines that hold the
prefixes. Losing a home node makes routing less precise for about a second, until its successor has
the next reports.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.cache.directory import Holder, PrefixDirectory
from liftrill.coordination import rendezvous


@dataclass(frozen=True, slots=True)
class AgedHolder:
    """An engine that holds a prefix, and the age of this belief in seconds.

    Nodes exchange ages instead of times, because their clocks differ.
    """

    engine_id: str
    incarnation: int
    age: float


@dataclass(frozen=True, slots=True)
class PrefixReport:
    """The information of one node about a prefix.

    Attributes:
        rate: requests per second at the reporting node; in an answer, at all other nodes.
        holders: engines that are believed to hold the prefix.
        kept_age: seconds since the prefix was saved to the kept-KV store, or None.
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
    """The prefixes whose home node this node is, in bounded memory."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: OrderedDict[bytes, _HomeEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def exchange(
        self, node_id: str, reports: Iterable[PrefixReport], now: float
    ) -> list[PrefixReport]:
        """Merge the reports of a node, and return the information of the other nodes."""
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
        newest = sorted(entry.holders.values(), key=lambda h: h.known_at, reverse=True)
        holders = [
            AgedHolder(h.engine_id, h.incarnation, now - h.known_at)
            for h in newest[: constants.HOLDERS_PER_MARKER]
        ]
        kept_age = None if entry.kept_at is None else now - entry.kept_at
        return PrefixReport(name, others, tuple(holders), kept_age)

    @staticmethod
    def _merge_holder(entry: _HomeEntry, holder: AgedHolder, now: float) -> None:
        known_at = now - holder.age
        known = entry.holders.get(holder.engine_id)
        if known is None or (holder.incarnation, known_at) > (known.incarnation, known.known_at):
            entry.holders[holder.engine_id] = Holder(holder.engine_id, holder.incarnation, known_at)


class HomeReporter:
    """Collects the prefixes that this node used, for the next exchange with home nodes."""

    def __init__(self, directory: PrefixDirectory) -> None:
        self._directory = directory
        self._used: dict[bytes, None] = {}

    def record_used(self, name: bytes) -> None:
        """Record that a request used a prefix."""
        if len(self._used) < constants.HOME_REPORTS_PER_EXCHANGE:
            self._used[name] = None

    def take_reports(self, members: Sequence[str], now: float) -> dict[str, list[PrefixReport]]:
        """Return the reports to send to each home node."""
        used, self._used = list(self._used), {}
        reports: dict[str, list[PrefixReport]] = {}
        for name in used:
            home = rendezvous.first(name, members)
            report = self._report(name, now)
            if home is not None and report is not None:
                reports.setdefault(home, []).append(report)
        return reports

    def apply_answers(self, answers: Iterable[PrefixReport], now: float) -> None:
        """Apply the answers of a home node."""
        for answer in answers:
            holders = [Holder(h.engine_id, h.incarnation, now - h.age) for h in answer.holders]
            kept_at = None if answer.kept_age is None else now - answer.kept_age
            self._directory.merge_from_home(answer.name, answer.rate, holders, kept_at)

    def _report(self, name: bytes, now: float) -> PrefixReport | None:
        marker = self._directory.get(name)
        if marker is None:
            return None
        holders = tuple(
            AgedHolder(h.engine_id, h.incarnation, now - h.known_at)
            for h in marker.holders.values()
        )
        kept_age = None if marker.kept_at is None else now - marker.kept_at
        return PrefixReport(name, marker.local_rate(now), holders, kept_age)
