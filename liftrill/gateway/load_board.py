"""Adds up what nodes tell each other of their load on engines.

Each node sees only its own requests. A word of a peer counts until the next one, or until
it is too old: a peer that died or was cut off has no load that lasts.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from liftrill.gateway.engine_table import EngineLoad, EngineTable

LoadByEngine = Mapping[str, EngineLoad]


@dataclass(frozen=True, slots=True)
class _Report:
    loads: LoadByEngine
    heard_at: float


@dataclass(slots=True)
class LoadBoard:
    """The latest word of each peer, applied to the engine table.

    Attributes:
        lifetime_seconds: for how long a word counts.
    """

    engines: EngineTable
    lifetime_seconds: float = 1.0
    _reports: dict[str, _Report] = field(default_factory=dict)

    def take(self, node: str, loads: LoadByEngine, now: float) -> None:
        """Replace what a peer told before."""
        self._apply(self._reports.pop(node, None), -1)
        self._reports[node] = _Report(loads, now)
        self._apply(self._reports[node], 1)

    def expire(self, now: float) -> None:
        """Drop words that are too old."""
        limit = now - self.lifetime_seconds
        for node in [n for n, report in self._reports.items() if report.heard_at < limit]:
            self._apply(self._reports.pop(node), -1)

    def own_loads(self) -> dict[str, EngineLoad]:
        """Return what this node has on engines, for its peers."""
        return {view.engine_id: view.own_load for view in self.engines if view.own_load.requests}

    def _apply(self, report: _Report | None, factor: int) -> None:
        if report is None:
            return
        for engine_id, load in report.loads.items():
            view = self.engines.get(engine_id)
            if view is not None:
                view.peer_load.add(load, factor)
