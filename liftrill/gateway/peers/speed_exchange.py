"""Tells peers how fast engines were found to be, and takes in what they tell, sans-IO.

Words go the way of loads: few nodes tell each other directly; among many a node tells its zone,
and the zone's delegate tells the other zones what its nodes observed together.
"""

import math
from dataclasses import dataclass, replace

from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendLoads

# Often enough that an engine's recovery is known within two seconds.
TOLD_EACH_S = 1.0


@dataclass(slots=True)
class SpeedExchange:
    """What one node tells of engines' speed, and hears of it.

    Attributes:
        zone: of this node.
    """

    board: SpeedEstimator
    zone: str
    _told_at: float = -math.inf

    def words(self, loads: list[SendLoads], now: float) -> list[SendLoads]:
        """Return what to tell now, to the members that words of loads go to."""
        if now - self._told_at < TOLD_EACH_S:
            return []
        self._told_at = now
        words = [SendLoads(self._report(word.report, now), word.members) for word in loads]
        self.board.reset_longest_pauses()
        return [word for word in words if word.report.speeds and word.members]

    def hear(self, report: LoadReport, now: float) -> None:
        """Take in what a node, or the nodes of another zone, observed."""
        if report.scope is LoadScope.NODE:
            self.board.apply_report(report.node, report.zone, report.speeds, now)
        elif report.zone != self.zone:
            self.board.apply_report("", report.zone, report.speeds, now)

    def _report(self, loads: LoadReport, now: float) -> LoadReport:
        if loads.scope is LoadScope.NODE:
            rows = self.board.own_rows(now)
        else:
            rows = self.board.zone_rows(loads.zone, now)
        return replace(loads, loads={}, kept=(), quota=None, speeds=tuple(rows))
