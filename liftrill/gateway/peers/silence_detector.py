"""Tells which peers have stopped reporting, sooner than membership declares them dead.

Every node reports to its own zone at least every `MAX_REPORT_INTERVAL_S`. A peer that was heard and
is silent for several reports takes no callers, whatever the reason: it ended, froze or is
cut off. Membership takes as long as a probe, a suspicion and the spreading of both.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member

# A node reports at least this often, with or without load.
MAX_REPORT_INTERVAL_S = 0.4
# Five idle reports: a few lost ones silence nobody, and a node that is gone is named by nobody
# after it.
SILENCE_TIMEOUT_S = 2.0
# With more of the peers silent it is this node that hears nobody.
MAX_SILENT_SHARE = 0.5


@dataclass(slots=True)
class SilenceDetector:
    """When each peer that reports to this node was last heard."""

    _last_report_at: dict[str, float] = field(default_factory=dict)

    def record_report(self, node_id: str, now: float) -> None:
        """Note that a peer reported."""
        self._last_report_at[node_id] = now

    def reporting_members(self, members: Iterable[Member], now: float) -> list[Member]:
        """Return the members that are not known to be silent."""
        listed = list(members)
        oldest = now - SILENCE_TIMEOUT_S
        silent = {m.node_id for m in listed if self._last_report_at.get(m.node_id, now) < oldest}
        if len(silent) > MAX_SILENT_SHARE * len(listed):
            return listed
        return [member for member in listed if member.node_id not in silent]

    def forget(self, node_id: str) -> None:
        """Forget a peer that is dead or has departed: it may come back under its name."""
        self._last_report_at.pop(node_id, None)
