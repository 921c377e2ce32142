"""Selects which nodes read the store, and which reader each other node follows, sans-IO.

Store calls are billed and rate-limited across all nodes. In a zone with many nodes a few
nodes are readers, and the others follow one of them. A node reads the store itself while
no reader serves it. The store may refuse some nodes while it serves others: a node that
the store does not answer follows another node for a limited time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.gateway.peers.capable_nodes import ranked

READER_KEY = b"store reader"


@dataclass(frozen=True, slots=True)
class _Backoff:
    """The backoff of a reader that failed: its end and its duration."""

    until: float
    duration_s: float


@dataclass(slots=True)
class ReaderSelection:
    """Select the reader that one node follows.

    Attributes:
        readers_per_zone: how many nodes of a zone read the store.
        min_zone_nodes: in a zone with fewer nodes, all of them read the store.
        first_backoff_s: backoff of a reader after its first failure, about the time that a
            reader takes to get a proof once the store answers; doubles on each further failure.
        max_backoff_s: the longest backoff of a reader.
        max_substitutes: how many nodes are tried in turn when the store does not answer.
        substitute_s: how long a substitute is followed before the store is tried again.
    """

    own: Member
    readers_per_zone: int = 2
    min_zone_nodes: int = 5
    first_backoff_s: float = 1.0
    max_backoff_s: float = 8.0
    max_substitutes: int = 3
    substitute_s: float = 5.0
    _backoffs: dict[str, _Backoff] = field(default_factory=dict)

    def reader(self, members: Iterable[Member], now: float, store_lost: bool) -> Member | None:
        """Return the node to follow, or None if this node should read the store itself."""
        known = list(members)
        readers = self.readers(known)
        if self.own.node_id in readers:
            readers = {}
        chosen = self._first_usable(self._ranked(readers.values()), now)
        if chosen is None and store_lost:
            chosen = self._first_usable(self._substitutes(known), now)
        return chosen

    def is_eligible(
        self, reader: Member, members: Iterable[Member], since: float, now: float
    ) -> bool:
        """Return whether this node may go on following a reader that it follows since `since`."""
        known = list(members)
        readers = self.readers(known)
        if reader.node_id in readers and self.own.node_id not in readers:
            return True
        alive = any(m.node_id == reader.node_id and _is_alive(m) for m in known)
        return alive and now - since < self.substitute_s

    def _first_usable(self, candidates: list[Member], now: float) -> Member | None:
        """Return the first candidate that is not in backoff."""
        return next((m for m in candidates if not self._is_backed_off(m.node_id, now)), None)

    def _is_backed_off(self, node_id: str, now: float) -> bool:
        backoff = self._backoffs.get(node_id)
        return backoff is not None and now < backoff.until

    def _ranked(self, candidates: Iterable[Member]) -> list[Member]:
        """Return candidates in rendezvous order for this node, which spreads followers evenly."""
        by_id = {member.node_id: member for member in candidates}
        return [by_id[name] for name in rendezvous.rank(self.own.node_id.encode(), by_id)]

    def _substitutes(self, members: list[Member]) -> list[Member]:
        """Return a few live nodes to follow instead of readers, those of this node's zone first."""
        others = (m for m in members if _is_alive(m) and m.node_id != self.own.node_id)
        ranked = sorted(self._ranked(others), key=lambda m: m.zone != self.own.zone)
        return ranked[: self.max_substitutes]

    def readers(self, members: Iterable[Member]) -> dict[str, Member]:
        """Return the readers of this node's zone by name; empty if every node reads the store."""
        local = {
            member.node_id: member
            for member in members
            if member.zone == self.own.zone and _is_alive(member)
        }
        if len(local) < self.min_zone_nodes:
            return {}
        readers = ranked(READER_KEY, local.values())[: self.readers_per_zone]
        return {member.node_id: member for member in readers}

    def back_off(self, node_id: str, now: float) -> None:
        """Start the backoff of a failed reader, with doubled duration after a recent failure."""
        cutoff = now - self.max_backoff_s
        self._backoffs = {n: b for n, b in self._backoffs.items() if b.until > cutoff}
        last = self._backoffs.get(node_id)
        duration_s = min(self.max_backoff_s, 2 * last.duration_s) if last else self.first_backoff_s
        self._backoffs[node_id] = _Backoff(now + duration_s, duration_s)

    def should_read_store(self, members: Iterable[Member]) -> bool:
        """Return whether this node is a reader, or every node of its zone reads the store."""
        readers = self.readers(members)
        return not readers or self.own.node_id in readers


def _is_alive(member: Member) -> bool:
    return member.condition is Condition.ALIVE
