"""Answers callers who ask which nodes to use, from what nodes tell of themselves, sans-IO."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member
from liftrill.gateway.peers.node_capacity import (
    LATE_S,
    NodeCapacities,
    NodeLoad,
    total_load,
)
from liftrill.gateway.peers.node_selection import (
    Candidate,
    NodeSelection,
    NodeSelectionPolicy,
    WeightedSelection,
    are_equal,
    candidates_of,
)

# With fewer nodes than this in the caller's zone, nodes of all zones are named.
LEAST_NODES_OF_A_ZONE = 2
# Words come a few times a second; weights are worked out as often, not for each question.
PLAN_S = 0.25
# A zone that would use more of its capacity names nodes of other zones too, as many as bring it
# down to this, and as those can bear below it: bytes between zones cost, and are spent where
# requests would wait without.
FULL_SHARE = 0.9
# Share of the way to what is wanted of other zones that is gone with each beat: callers come
# seconds after they are named, so a zone that gave too many away would get them all back.
LENDING_PACE = 0.2
# More than this share of a zone's own capacity is not wanted of others: the callers that it
# would bring there are still here when it is found out that they were too many.
MOST_LENT = 0.25
# A zone that tells of no capacity wants nothing.
LEAST_CORES = 0.001
# Less than this share of a zone's callers is not sent away for.
LEAST_LENT = 0.02


@dataclass(frozen=True, slots=True)
class NodePriorityChange:
    """A node is named less than it can bear from now on, or in full again."""

    candidate: Candidate
    word: NodeLoad
    heard_s: float | None

    def inputs(self) -> dict[str, object]:
        """Return what a line of the log tells."""
        return {
            "peer": self.candidate.node_id,
            "in_full": not self.candidate.is_named_less,
            "factor": round(self.candidate.factor, 2),
            "capacity": round(self.word.capacity_cores, 3),
            "used": round(self.word.used_cores, 3),
            "late_s": round(self.word.late_s, 3),
            "free_bytes": self.word.free_bytes,
            "heard_s": None if self.heard_s is None else round(self.heard_s, 2),
        }


@dataclass(slots=True)
class _Plan:
    """What callers of a zone are named for a while."""

    made_at: float
    node_ids: list[str]
    answers: NodeSelection


@dataclass(slots=True)
class NodeDirectory:
    """The answers of one node.

    Attributes:
        lends: whether callers of a zone that is full are sent to other zones.
    """

    capacities: NodeCapacities
    division: NodeSelectionPolicy = field(default_factory=WeightedSelection)
    allows_spillover: bool = True
    _plans: dict[str, _Plan] = field(default_factory=dict)
    _lent: dict[str, float] = field(default_factory=dict)
    _least_lent: float = 0.0
    _own_zone: str = ""
    _named_less: set[str] = field(default_factory=set)

    def nodes_for(
        self, members: Sequence[Member], zone: str, caller: str, now: float
    ) -> list[Member]:
        """Return the members that a caller of a zone should use, of those that are alive."""
        node_ids = [member.node_id for member in members]
        plan = self._plans.get(zone)
        if plan is None or plan.node_ids != node_ids or now - plan.made_at >= PLAN_S:
            plan = _Plan(now, node_ids, self.division.answers(self._candidates(members, zone, now)))
            self._plans[zone] = plan
        by_id = {member.node_id: member for member in members}
        return [by_id[node_id] for node_id in plan.answers.for_caller(caller)]

    def update(self, members: Sequence[Member], zone: str, now: float) -> list[NodePriorityChange]:
        """Work out anew what this node's zone wants of others, and return who is named anew."""
        if self.allows_spillover:
            self._lend(members, zone, now)
        return self._changes([m for m in members if m.zone == zone], now)

    def _changes(self, members: Sequence[Member], now: float) -> list[NodePriorityChange]:
        """Return which nodes are named less, or in full again, since the last beat."""
        node_ids = [member.node_id for member in members]
        words = self.capacities.node_loads(node_ids, now)
        found = self._weighed(members, now)
        less = {candidate.node_id for candidate in found if candidate.is_named_less}
        changed = less ^ (self._named_less & set(node_ids))
        self._named_less = less
        return [
            NodePriorityChange(c, words[c.node_id], self.capacities.heard_s(c.node_id, now))
            for c in found
            if c.node_id in changed
        ]

    def _candidates(self, members: Sequence[Member], zone: str, now: float) -> list[Candidate]:
        local = [member for member in members if member.zone == zone]
        if len(local) < LEAST_NODES_OF_A_ZONE:
            return self._weighed(members, now)
        return self._weighed(local, now) + self._lenders(members, zone)

    def _weighed(self, members: Sequence[Member], now: float) -> list[Candidate]:
        node_ids = [member.node_id for member in members]
        heard_s = {node_id: self.capacities.heard_s(node_id, now) for node_id in node_ids}
        return candidates_of(self.capacities.node_loads(node_ids, now), heard_s)

    # Other zones

    def _lenders(self, members: Sequence[Member], zone: str) -> list[Candidate]:
        """Return nodes of other zones, with what they spare for this node's zone."""
        found: list[Candidate] = []
        for other, lent_cores in self._lent.items():
            nodes = [m.node_id for m in members if m.zone == other]
            if zone == self._own_zone and lent_cores > self._least_lent and nodes:
                found.extend(_sharing(nodes, lent_cores))
        return found

    def _lend(self, members: Sequence[Member], zone: str, now: float) -> None:
        """Come closer to what the own zone wants of the others and these can spare."""
        nodes: dict[str, list[str]] = {zone: []}
        for member in members:
            nodes.setdefault(member.zone, []).append(member.node_id)
        words = list(self.capacities.node_loads(nodes.pop(zone), now).values())
        usual = total_load(words)
        wanted = 0.0
        # Nodes that are alike name each other alone until they are late.
        if not are_equal([word.capacity_cores for word in words]) or usual.late_s > LATE_S:
            wanted = self._wanted(usual)
        rooms = {other: self._room(other, nodes[other], now) for other in nodes}
        total = sum(rooms.values())
        lent = {other: self._lent.get(other, 0.0) for other in nodes}
        for other, room in rooms.items():
            share = min(room, wanted * room / total) if total else 0.0
            lent[other] += LENDING_PACE * (share - lent[other])
        self._lent = lent
        self._own_zone = zone
        self._least_lent = LEAST_LENT * usual.capacity_cores

    def _wanted(self, usual: NodeLoad) -> float:
        """Return the capacity beyond its own with which a zone would be as busy as it may be."""
        served_by = usual.capacity_cores + sum(self._lent.values())
        asked_share = _asked(usual) / max(usual.capacity_cores, LEAST_CORES)
        wanted = asked_share / FULL_SHARE * served_by - usual.capacity_cores
        return min(MOST_LENT * usual.capacity_cores, max(0.0, wanted))

    def _room(self, zone: str, nodes: list[str], now: float) -> float:
        """Return what another zone can spare, with what it is taken to spare already."""
        word = self.capacities.zone_load(zone, now) or self.capacities.total(nodes, now)
        if not word.capacity_cores:
            return 0.0
        free = FULL_SHARE * word.capacity_cores - _asked(word)
        return max(0.0, free + self._lent.get(zone, 0.0))


def _asked(word: NodeLoad) -> float:
    """Return the use that nodes are asked for; beyond their capacity it shows as lateness."""
    return word.used_cores * (1.0 + word.late_s)


def _sharing(node_ids: list[str], lent_cores: float) -> list[Candidate]:
    """Return nodes that share alike in what their zone lends: each alone isn't known here."""
    return [Candidate(node_id, lent_cores / len(node_ids)) for node_id in node_ids]
