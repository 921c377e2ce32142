"""Which nodes read the store, and which of them a node follows, sans-IO.

Calls to the store are paid for and limited over all nodes. In a zone with many nodes a
few read it, and the others follow one of these. Any node reads the store itself while
no reader serves it. The store may refuse some nodes while it serves others: a node that
it does not answer follows another one for a while.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.gateway.peers.able_nodes import ranked

READER_KEY = b"store reader"


@dataclass(frozen=True, slots=True)
class _Avoidance:
    """A reader that is left alone until a time, after failing for a while before."""

    until: float
    pause_s: float


@dataclass(slots=True)
class ReaderSelection:
    """The choice of one node.

    Attributes:
        readers_per_zone: how many nodes of a zone read the store.
        least_zone_nodes: nodes of a zone below which all read it.
        avoid_s: for how long a reader that failed this node is left alone at first; twice
            as long each time that it fails again soon (guess: about as long as a reader takes to
            get a proof once the store answers).
        avoid_longest_s: the longest such time.
        stand_ins: nodes that are asked, one after the other, where the store does not answer.
        stand_in_s: for how long one is followed before the store is tried again.
    """

    own: Member
    readers_per_zone: int = 2
    least_zone_nodes: int = 5
    avoid_s: float = 1.0
    avoid_longest_s: float = 8.0
    stand_ins: int = 3
    stand_in_s: float = 5.0
    _avoided: dict[str, _Avoidance] = field(default_factory=dict)

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

    def is_eligible(
        self, reader: Member, members: Iterable[Member], since: float, now: float
    ) -> bool:
        """Return whether a node that was followed since a time is still one to follow."""
        known = list(members)
        readers = self.readers(known)
        if reader.node_id in readers and self.own.node_id not in readers:
            return True
        alive = any(m.node_id == reader.node_id and _is_alive(m) for m in known)
        return alive and now - since < self.stand_in_s

    def _first_usable(self, candidates: list[Member], now: float) -> Member | None:
        """Return the first candidate that did not fail this node lately."""
        return next((m for m in candidates if not self._is_backed_off(m.node_id, now)), None)

    def _is_backed_off(self, node_id: str, now: float) -> bool:
        avoidance = self._avoided.get(node_id)
        return avoidance is not None and now < avoidance.until

    def _ranked(self, candidates: Iterable[Member]) -> list[Member]:
        """Return candidates in an order of this node's own, so that they share the followers."""
        by_id = {member.node_id: member for member in candidates}
        return [by_id[name] for name in rendezvous.rank(self.own.node_id.encode(), by_id)]

    def _stand_ins(self, members: list[Member]) -> list[Member]:
        """Return a few living nodes, those of the own zone first."""
        others = (m for m in members if _is_alive(m) and m.node_id != self.own.node_id)
        ranked = sorted(self._ranked(others), key=lambda m: m.zone != self.own.zone)
        return ranked[: self.stand_ins]

    def readers(self, members: Iterable[Member]) -> dict[str, Member]:
        """Return the readers of this node's zone by name; none where all read the store."""
        local = {
            member.node_id: member
            for member in members
            if member.zone == self.own.zone and _is_alive(member)
        }
        if len(local) < self.least_zone_nodes:
            return {}
        readers = ranked(READER_KEY, local.values())[: self.readers_per_zone]
        return {member.node_id: member for member in readers}

    def back_off(self, node_id: str, now: float) -> None:
        """Leave a reader alone for a while, for longer if it failed shortly before."""
        forgotten_at = now - self.avoid_longest_s
        self._avoided = {n: a for n, a in self._avoided.items() if a.until > forgotten_at}
        last = self._avoided.get(node_id)
        pause_s = min(self.avoid_longest_s, 2 * last.pause_s) if last else self.avoid_s
        self._avoided[node_id] = _Avoidance(now + pause_s, pause_s)

    def should_read_store(self, members: Iterable[Member]) -> bool:
        """Return whether this node is to read the store, as a reader or since all do."""
        readers = self.readers(members)
        return not readers or self.own.node_id in readers


def _is_alive(member: Member) -> bool:
    return member.condition is Condition.ALIVE
