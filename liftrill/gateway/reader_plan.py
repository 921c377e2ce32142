"""Which nodes read the store, and which of them a node follows, sans-IO.

Calls to the store are paid for and limited over all nodes. In a zone with many nodes a
few read it, and the others follow one of these. Any node reads the store itself while
no reader serves it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member

READER_KEY = b"store reader"


@dataclass(slots=True)
class ReaderPlan:
    """The choice of one node.

    Attributes:
        readers_per_zone: how many nodes of a zone read the store.
        least_zone_nodes: nodes of a zone below which all read it.
        avoid_s: for how long a reader that failed this node is left alone.
    """

    own: Member
    readers_per_zone: int = 2
    least_zone_nodes: int = 5
    avoid_s: float = 5.0
    _avoided_until: dict[str, float] = field(default_factory=dict)

    def reader(self, members: Iterable[Member], now: float) -> Member | None:
        """Return the reader to follow, or None if this node is to read the store itself."""
        readers = self.readers(members)
        if not readers or self.own.node_id in readers:
            return None
        # Each node has an order of its own, so that the readers share the followers.
        ranked = rendezvous.rank(self.own.node_id.encode(), readers)
        usable = (name for name in ranked if now >= self._avoided_until.get(name, 0.0))
        chosen = next(usable, None)
        return readers[chosen] if chosen is not None else None

    def readers(self, members: Iterable[Member]) -> dict[str, Member]:
        """Return the readers of this node's zone by name; none where all read the store."""
        local = {
            member.node_id: member
            for member in members
            if member.zone == self.own.zone and member.condition is Condition.ALIVE
        }
        if len(local) < self.least_zone_nodes:
            return {}
        ranked = rendezvous.rank(READER_KEY, local)
        return {name: local[name] for name in ranked[: self.readers_per_zone]}

    def avoid(self, node_id: str, now: float) -> None:
        """Leave a reader alone for a while."""
        self._avoided_until = {n: t for n, t in self._avoided_until.items() if t > now}
        self._avoided_until[node_id] = now + self.avoid_s
