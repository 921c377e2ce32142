"""Tells peers how fast engines were found to be, and takes in what they tell, sans-IO.

Words go the way of loads: few nodes tell each other directly; among many a node tells its zone,
and the zone's delegate tells the other zones what its nodes observed together.
"""

import math
from dataclasses import dataclass, replace

from liftrill.gateway.engines.speed_board import SpeedBoard
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendReport

# Often enough that an engine's recovery is known within two seconds.
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class SpeedExchange:
    """What one node tells of engines' speed, and hears of it.

    Attributes:
        zone: of this node.
    """

    board: SpeedBoard
    zone: str
    _reported_at: float = -math.inf

    def due_reports(self, loads: list[SendReport], now: float) -> list[SendReport]:
        """Return what to tell now, to the members that words of loads go to."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return []
        self._reported_at = now
        deliveries = [
            SendReport(self._report(delivery.report, now), delivery.members) for delivery in loads
        ]
        self.board.told()
        return [delivery for delivery in deliveries if delivery.report.speeds and delivery.members]

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take in what a node, or the nodes of another zone, observed."""
        if report.scope is LoadScope.NODE:
            self.board.hear(report.node, report.zone, report.speeds, now)
        elif report.zone != self.zone:
            self.board.hear("", report.zone, report.speeds, now)

    def _report(self, loads: LoadReport, now: float) -> LoadReport:
        if loads.scope is LoadScope.NODE:
            rows = self.board.own_rows(now)
        else:
            rows = self.board.zone_rows(loads.zone, now)
        return replace(loads, loads={}, kept=(), quota=None, speeds=tuple(rows))
