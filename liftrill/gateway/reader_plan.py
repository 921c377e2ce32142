"""Which nodes read the store, and which of them a node follows, sans-IO.

Calls to the store are paid for and limited over all nodes. In a region with many nodes a
few read it, and the others follow one of these. Any node reads the store itself while
no reader serves it. The store may refuse some nodes while it serves others: a node that
it does not answer follows another one for a while.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member

READER_KEY = b"store reader"


@dataclass(slots=True)
class ReaderPlan:
    """The choice of one node.

    Attributes:
        least_readers: how many nodes of a region read the store at the least.
        nodes_per_reader: nodes of a region for each further reader.
        least_nodes: nodes of a region below which all read it.
        avoid_s: for how long a reader that failed this node is left alone.
        stand_ins: nodes that are asked, one after the other, where the store does not answer.
        stand_in_s: for how long one is followed before the store is tried again.
    """

    own: Member
    least_readers: int = 2
    nodes_per_reader: int = 16
    least_nodes: int = 5
    avoid_s: float = 5.0
    stand_ins: int = 3
    stand_in_s: float = 5.0
    _avoided_until: dict[str, float] = field(default_factory=dict)

    def reader(self, members: Iterable[Member], now: float, store_lost: bool) -> Member | None:
        """Return the node to follow, or None if this node is to read the store itself."""
        known = list(members)
        readers = self.readers(known)
        if self.own.node_id in readers:
            readers = {}
        chosen = self._first_usable(self._ranked(readers.values()), now)
        if chosen is None and store_lost:
            chosen = self._first_usable(self._stand_ins(known), now)
        return chosen

    def keeps(self, reader: Member, members: Iterable[Member], since: float, now: float) -> bool:
        """Return whether a node that was followed since a time is still one to follow."""
        known = list(members)
        readers = self.readers(known)
        if reader.node_id in readers and self.own.node_id not in readers:
            return True
        alive = any(m.node_id == reader.node_id and _is_alive(m) for m in known)
        return alive and now - since < self.stand_in_s

    def _first_usable(self, candidates: list[Member], now: float) -> Member | None:
        """Return the first candidate that did not fail this node lately."""
        usable = (m for m in candidates if now >= self._avoided_until.get(m.node_id, 0.0))
        return next(usable, None)

    def _ranked(self, candidates: Iterable[Member]) -> list[Member]:
        """Return candidates, those of the own zone first, else in an order of this node's own.

        So the nodes share the readers, and little passes between zones.
        """
        by_id = {member.node_id: member for member in candidates}
        ranked = [by_id[name] for name in rendezvous.rank(self.own.node_id.encode(), by_id)]
        return sorted(ranked, key=lambda member: member.zone != self.own.zone)

    def _stand_ins(self, members: list[Member]) -> list[Member]:
        """Return a few living nodes, those of the own zone first."""
        others = (m for m in members if _is_alive(m) and m.node_id != self.own.node_id)
        return self._ranked(others)[: self.stand_ins]

    def readers(self, members: Iterable[Member]) -> dict[str, Member]:
        """Return the readers of this node's region by name; none where all read the store."""
        near = {
            member.node_id: member
            for member in members
            if member.region == self.own.region and _is_alive(member)
        }
        if len(near) < self.least_nodes:
            return {}
        count = max(self.least_readers, math.ceil(len(near) / self.nodes_per_reader))
        return {name: near[name] for name in rendezvous.rank(READER_KEY, near)[:count]}

    def avoid(self, node_id: str, now: float) -> None:
        """Leave a reader alone for a while."""
        self._avoided_until = {n: t for n, t in self._avoided_until.items() if t > now}
        self._avoided_until[node_id] = now + self.avoid_s


def _is_alive(member: Member) -> bool:
    return member.condition is Condition.ALIVE
