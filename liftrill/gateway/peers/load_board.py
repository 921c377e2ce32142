"""Adds up what nodes tell each other of their load on engines.

Each node sees only its own requests. A word counts until the next one from the same
source, or until it is too old: a peer that died or was cut off has no load that lasts.
The sum of a zone takes the place of the words of that zone's nodes.

A report may be older than the reading of a prompt takes. So the beginning of a long reading
is told at once, and counts for a while on its own; reports leave it out for as long.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from liftrill import constants
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable, EngineView

LoadByEngine = Mapping[str, EngineLoad]


@dataclass(frozen=True, slots=True)
class _Source:
    """A node, or a whole zone where the node is empty."""

    zone: str
    node: str = ""


@dataclass(frozen=True, slots=True)
class _Report:
    """A word, and the engines that it was added to: others may become known later."""

    loads: LoadByEngine
    heard_at: float
    counted: tuple[tuple[EngineView, EngineLoad], ...]


@dataclass(frozen=True, slots=True)
class _Reading:
    """A long prompt that an engine was given lately."""

    view: EngineView
    tokens: int
    until: float


@dataclass(slots=True)
class LoadBoard:
    """The latest word of each source, applied to the engine table.

    Attributes:
        lifetime_seconds: for how long a word counts.
        reading_s: for how long a reading counts that was told at once.
    """

    engines: EngineTable
    lifetime_seconds: float = 1.0
    reading_s: float = constants.TOLD_READING_S
    _reports: dict[_Source, _Report] = field(default_factory=dict)
    _heard_readings: deque[_Reading] = field(default_factory=deque)
    _own_readings: deque[_Reading] = field(default_factory=deque)

    def take(self, node: str, loads: LoadByEngine, now: float, zone: str = "") -> None:
        """Replace what a peer told before, unless its zone's sum has it already."""
        if _Source(zone) in self._reports:
            return
        self._replace(_Source(zone, node), loads, now)

    def take_zone(self, zone: str, loads: LoadByEngine, now: float) -> None:
        """Replace what was told of a zone and of its nodes."""
        for source in [s for s in self._reports if s.zone == zone and s.node]:
            self._withdraw(source)
        self._replace(_Source(zone), loads, now)

    def hear_reading(self, engine_number: int, tokens: int, now: float) -> None:
        """Count a long prompt that a peer has just sent to an engine."""
        self.expire_readings(now)
        view = self.engines.by_number(engine_number)
        if view is None:
            return
        view.peer_load.waiting_tokens += tokens
        self._heard_readings.append(_Reading(view, tokens, now + self.reading_s))

    def note_own_reading(self, view: EngineView, tokens: int, now: float) -> None:
        """Note that peers were told at once of a long prompt of this node."""
        self._own_readings.append(_Reading(view, tokens, now + self.reading_s))

    def expire_readings(self, now: float) -> None:
        """Drop readings that reports count by now, or that are over."""
        while self._heard_readings and self._heard_readings[0].until <= now:
            reading = self._heard_readings.popleft()
            reading.view.peer_load.waiting_tokens -= reading.tokens
        while self._own_readings and self._own_readings[0].until <= now:
            self._own_readings.popleft()

    def expire(self, now: float) -> None:
        """Drop words that are too old."""
        self.expire_readings(now)
        limit = now - self.lifetime_seconds
        for source in [s for s, report in self._reports.items() if report.heard_at < limit]:
            self._withdraw(source)

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return what this node has on engines, less what it told of at once."""
        told: dict[str, int] = {}
        for reading in self._own_readings:
            engine_id = reading.view.engine_id
            told[engine_id] = told.get(engine_id, 0) + reading.tokens
        return {
            view.engine_id: _told_load(view, told.get(view.engine_id, 0))
            for view in self.engines
            if view.own_load.requests
        }

    def zone_sum(self, zone: str) -> dict[str, EngineLoad]:
        """Return what this node and the heard nodes of its zone have on engines."""
        words = [report.loads for s, report in self._reports.items() if s.zone == zone and s.node]
        total: dict[str, EngineLoad] = {}
        for loads in (self.own_loads(), *words):
            for engine_id, load in loads.items():
                known = total.setdefault(engine_id, EngineLoad(number=load.number))
                # What others still have on a former incarnation ends with it.
                if known.number == load.number:
                    known.add(load)
        return total

    def _replace(self, source: _Source, loads: LoadByEngine, now: float) -> None:
        self._withdraw(source)
        known = ((self.engines.get(engine_id), load) for engine_id, load in loads.items())
        counted = tuple(
            (view, load)
            for view, load in known
            if view is not None and view.matches_number(load.number)
        )
        for view, load in counted:
            view.peer_load.add(load)
        self._reports[source] = _Report(loads, now, counted)

    def _withdraw(self, source: _Source) -> None:
        report = self._reports.pop(source, None)
        for view, load in report.counted if report else ():
            view.peer_load.add(load, -1)


def _told_load(view: EngineView, told_tokens: int) -> EngineLoad:
    """Return the own load on an engine, without the tokens that peers were told of at once."""
    load = view.own_load
    waiting_tokens = max(0, load.waiting_tokens - told_tokens)
    return replace(load, waiting_tokens=waiting_tokens, number=view.advertised_number)
