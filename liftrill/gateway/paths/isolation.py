"""Which nodes reach no engine over their own links, sans-IO.

Such a node can serve requests by its peers only, which costs twice the processor time. So it is
not named to callers while enough other nodes are.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member

# An isolated node reports this often. A report counts for three intervals.
REPORT_INTERVAL_S = 0.5
REPORT_LIFETIME_S = 1.5
# The smallest share of the members that may be left to serve all callers. With fewer, each of them
# would get more than twice its load.
MIN_REMAINING_SHARE = 0.5


@dataclass(slots=True)
class IsolatedNodes:
    """The nodes that reported that they are isolated, and this node's own state.

    Attributes:
        is_isolated: whether this node reaches no engine over its own links.
    """

    is_isolated: bool = False
    _reported_at: dict[str, float] = field(default_factory=dict)
    _next_report_at: float = 0.0

    def update(self, isolated: bool, now: float) -> bool | None:
        """Update this node's own state; return what to report to peers now, or None."""
        was_isolated, self.is_isolated = self.is_isolated, isolated
        if was_isolated and not self.is_isolated:
            return False
        if not self.is_isolated or (was_isolated and now < self._next_report_at):
            return None
        self._next_report_at = now + REPORT_INTERVAL_S
        return True

    def record_report(self, node: str, isolated: bool, now: float) -> None:
        """Record a peer's report."""
        if isolated:
            self._reported_at[node] = now
        else:
            self._reported_at.pop(node, None)

    def connected_members(self, members: Iterable[Member], own: str, now: float) -> list[Member]:
        """Return the members that reach engines, or all if these are too few."""
        listed = list(members)
        isolated = {node for node, at in self._reported_at.items() if now - at < REPORT_LIFETIME_S}
        if self.is_isolated:
            isolated.add(own)
        connected = [member for member in listed if member.node_id not in isolated]
        return connected if len(connected) >= MIN_REMAINING_SHARE * len(listed) else listed

    def leaves_to_others(self, members: Iterable[Member], own: str, now: float) -> bool:
        """Return whether this node is isolated and other nodes serve callers in its place."""
        if not self.is_isolated:
            return False
        connected = self.connected_members(members, own, now)
        return all(member.node_id != own for member in connected)
