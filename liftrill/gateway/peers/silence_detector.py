"""Detects peers that stopped reporting, before the membership protocol declares them dead.

Every node reports to its own zone at least every `MAX_REPORT_INTERVAL_S`. A peer that has reported
and then misses several reports gets no callers, whether it ended, froze or is cut off. Membership
needs the time of a probe, a suspicion timeout and the dissemination of both.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member

# Maximum time between two reports of a node, with or without load.
MAX_REPORT_INTERVAL_S = 0.4
# Five report intervals, so that a few lost reports make no node silent. After this time no node
# sends callers to a node that has ended.
SILENCE_TIMEOUT_S = 2.0
# If more of the members are silent, this node is assumed to be the one that is cut off.
MAX_SILENT_SHARE = 0.5


@dataclass(slots=True)
class SilenceDetector:
    """Tracks the last report of each peer that reports to this node."""

    _last_report_at: dict[str, float] = field(default_factory=dict)

    def record_report(self, node_id: str, now: float) -> None:
        """Record a report of a peer."""
        self._last_report_at[node_id] = now

    def reporting_members(self, members: Iterable[Member], now: float) -> list[Member]:
        """Return the members that are not silent, or all if too many are."""
        listed = list(members)
        oldest = now - SILENCE_TIMEOUT_S
        silent = {m.node_id for m in listed if self._last_report_at.get(m.node_id, now) < oldest}
        if len(silent) > MAX_SILENT_SHARE * len(listed):
            return listed
        return [member for member in listed if member.node_id not in silent]

    def forget(self, node_id: str) -> None:
        """Forget a peer that is dead or has departed, since it may rejoin under the same name."""
        self._last_report_at.pop(node_id, None)
