"""Exchanges the measured speeds of engines with peers, sans-IO.

Speed reports go to the same members as load reports: in a small fleet to all nodes; in a large one
to the own zone, whose delegate reports the combined measurements of its nodes to the other zones.
"""

import math
from dataclasses import dataclass, replace

from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendReport

# Short enough that the recovery of an engine is known within two seconds.
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class SpeedExchange:
    """Sends the speed measurements of one node, and applies those of its peers.

    Attributes:
        zone: the zone of this node.
    """

    board: SpeedEstimator
    zone: str
    _reported_at: float = -math.inf

    def due_reports(self, loads: list[SendReport], now: float) -> list[SendReport]:
        """Return the speed reports that are due, for the members that load reports go to."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return []
        self._reported_at = now
        deliveries = [
            SendReport(self._report(delivery.report, now), delivery.members) for delivery in loads
        ]
        self.board.reset_longest_pauses()
        return [delivery for delivery in deliveries if delivery.report.speeds and delivery.members]

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply the measurements of a node, or of the nodes of another zone."""
        if report.scope is LoadScope.NODE:
            self.board.apply_report(report.node, report.zone, report.speeds, now)
        elif report.zone != self.zone:
            self.board.apply_report("", report.zone, report.speeds, now)

    def _report(self, loads: LoadReport, now: float) -> LoadReport:
        if loads.scope is LoadScope.NODE:
            rows = self.board.own_rows(now)
        else:
            rows = self.board.zone_rows(loads.zone, now)
        return replace(loads, loads={}, part_locations=(), quota=None, speeds=tuple(rows))
