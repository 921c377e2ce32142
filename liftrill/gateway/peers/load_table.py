"""Sums the load on engines that nodes report to each other.

Each node sees only its own requests. A report counts until the next one from the same source, or
until it expires, so the load of a peer that died or was cut off does not remain. The sum of a zone
replaces the reports of that zone's nodes.

A report may be older than the prefill of a prompt takes. So the start of a long prefill is
broadcast at once and counts on its own for a while; reports leave it out for the same time.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from liftrill import constants
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable, EngineView

LoadByEngine = Mapping[str, EngineLoad]


@dataclass(frozen=True, slots=True)
class _Source:
    """The source of a report: a node, or a whole zone if the node is empty."""

    zone: str
    node: str = ""


@dataclass(frozen=True, slots=True)
class _Report:
    """A report, with the engines to which it was added; others may become known later."""

    loads: LoadByEngine
    received_at: float
    counted: tuple[tuple[EngineView, EngineLoad], ...]


@dataclass(frozen=True, slots=True)
class _Prefill:
    """The prefill of a long prompt that was recently sent to an engine."""

    view: EngineView
    tokens: int
    expires_at: float


@dataclass(slots=True)
class LoadTable:
    """The latest report of each source, added to the peer load in the engine table.

    Attributes:
        lifetime_seconds: for how long a report counts.
        prefill_lifetime_s: for how long a broadcast prefill counts.
    """

    engines: EngineTable
    lifetime_seconds: float = 1.0
    prefill_lifetime_s: float = constants.BROADCAST_PREFILL_LIFETIME_S
    _reports: dict[_Source, _Report] = field(default_factory=dict)
    # By engine number and source: the time of the last report with requests at the engine.
    _requests_at: dict[int, dict[_Source, float]] = field(default_factory=dict)
    _peer_prefills: deque[_Prefill] = field(default_factory=deque)
    _own_prefills: deque[_Prefill] = field(default_factory=deque)

    def update(self, node: str, loads: LoadByEngine, now: float, zone: str = "") -> None:
        """Replace the report of a peer, unless its zone's sum includes it already."""
        if _Source(zone) in self._reports:
            return
        self._replace_report(_Source(zone, node), loads, now)

    def update_zone(self, zone: str, loads: LoadByEngine, now: float) -> None:
        """Replace the reports of a zone and of its nodes by the sum of the zone."""
        for source in [s for s in self._reports if s.zone == zone and s.node]:
            self._remove_report(source)
        self._replace_report(_Source(zone), loads, now)

    def add_peer_prefill(self, engine_number: int, tokens: int, now: float) -> None:
        """Count a long prompt that a peer has just sent to an engine."""
        self.expire_prefills(now)
        view = self.engines.by_number(engine_number)
        if view is None:
            return
        view.peer_load.waiting_tokens += tokens
        self._peer_prefills.append(_Prefill(view, tokens, now + self.prefill_lifetime_s))

    def add_own_prefill(self, view: EngineView, tokens: int, now: float) -> None:
        """Record a long prompt of this node whose prefill was broadcast to peers."""
        self._own_prefills.append(_Prefill(view, tokens, now + self.prefill_lifetime_s))

    def expire_prefills(self, now: float) -> None:
        """Drop expired prefills: reports include them by now, or they have ended."""
        while self._peer_prefills and self._peer_prefills[0].expires_at <= now:
            prefill = self._peer_prefills.popleft()
            prefill.view.peer_load.waiting_tokens -= prefill.tokens
        while self._own_prefills and self._own_prefills[0].expires_at <= now:
            self._own_prefills.popleft()

    def expire(self, now: float) -> None:
        """Drop expired reports and prefills."""
        self.expire_prefills(now)
        oldest = now - self.lifetime_seconds
        for source in [s for s, report in self._reports.items() if report.received_at < oldest]:
            self._remove_report(source)

        for number, reported_at in list(self._requests_at.items()):
            current = {s: at for s, at in reported_at.items() if at >= oldest}
            if current:
                self._requests_at[number] = current
            else:
                del self._requests_at[number]

    def had_requests(self, engine_number: int, node: str, zone: str) -> bool:
        """Return whether a node, or its zone, reported requests at an engine lately."""
        reported_at = self._requests_at.get(engine_number, {})
        return _Source(zone, node) in reported_at or _Source(zone) in reported_at

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return this node's load on engines, without the prefills that it broadcast."""
        announced: dict[str, int] = {}
        for prefill in self._own_prefills:
            engine_id = prefill.view.engine_id
            announced[engine_id] = announced.get(engine_id, 0) + prefill.tokens
        return {
            view.engine_id: _reported_load(view, announced.get(view.engine_id, 0))
            for view in self.engines
            if view.own_load.requests
        }

    def zone_sum(self, zone: str) -> dict[str, EngineLoad]:
        """Return the load on engines of this node and of its zone's nodes with a current report."""
        reported_loads = [
            report.loads for s, report in self._reports.items() if s.zone == zone and s.node
        ]
        total: dict[str, EngineLoad] = {}
        for loads in (self.own_loads(), *reported_loads):
            for engine_id, load in loads.items():
                known = total.setdefault(engine_id, EngineLoad(number=load.number))
                # Load on a former incarnation of the engine ended with that incarnation.
                if known.number == load.number:
                    known.add(load)
        return total

    def _replace_report(self, source: _Source, loads: LoadByEngine, now: float) -> None:
        self._remove_report(source)
        known = ((self.engines.get(engine_id), load) for engine_id, load in loads.items())
        counted = tuple(
            (view, load)
            for view, load in known
            if view is not None and view.matches_number(load.number)
        )
        for view, load in counted:
            view.peer_load.add(load)
            if load.requests:
                self._requests_at.setdefault(view.number, {})[source] = now
        self._reports[source] = _Report(loads, now, counted)

    def _remove_report(self, source: _Source) -> None:
        report = self._reports.pop(source, None)
        for view, load in report.counted if report else ():
            view.peer_load.add(load, -1)


def _reported_load(view: EngineView, announced_tokens: int) -> EngineLoad:
    """Return the own load on an engine, without the tokens of broadcast prefills."""
    load = view.own_load
    waiting_tokens = max(0, load.waiting_tokens - announced_tokens)
    return replace(load, waiting_tokens=waiting_tokens, number=view.advertised_number)
