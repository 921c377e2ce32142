"""Answers callers who ask which nodes to use, from what nodes tell of themselves, sans-IO."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member
from liftrill.gateway.peers.node_capacity import (
    LATE_THRESHOLD_S,
    NodeCapacities,
    NodeLoad,
    total_load,
)
from liftrill.gateway.peers.node_selection import (
    Candidate,
    NodeSelection,
    NodeSelectionPolicy,
    WeightedSelection,
    have_similar_capacity,
    weighted_candidates,
)

# With fewer nodes than this in the caller's zone, nodes of all zones are named.
MIN_ZONE_NODES = 2
# Words come a few times a second; weights are worked out as often, not for each question.
PLAN_LIFETIME_S = 0.25
# A zone that would use more of its capacity names nodes of other zones too, as many as bring it
# down to this, and as those can bear below it: bytes between zones cost, and are spent where
# requests would wait without.
TARGET_UTILIZATION = 0.9
# Share of the way to what is wanted of other zones that is gone with each beat: callers come
# seconds after they are named, so a zone that gave too many away would get them all back.
SPILLOVER_SMOOTHING = 0.2
# More than this share of a zone's own capacity is not wanted of others: the callers that it
# would bring there are still here when it is found out that they were too many.
MAX_SPILLOVER_SHARE = 0.25
# A zone that tells of no capacity wants nothing.
MIN_CAPACITY_CORES = 0.001
# Less than this share of a zone's callers is not sent away for.
MIN_SPILLOVER_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class NodePriorityChange:
    """A node is named less than it can bear from now on, or in full again."""

    candidate: Candidate
    load: NodeLoad
    reporting_for_s: float | None

    def log_fields(self) -> dict[str, object]:
        """Return what a line of the log tells."""
        return {
            "peer": self.candidate.node_id,
            "in_full": not self.candidate.is_deprioritized,
            "factor": round(self.candidate.factor, 2),
            "capacity": round(self.load.capacity_cores, 3),
            "used": round(self.load.used_cores, 3),
            "late_s": round(self.load.late_s, 3),
            "free_bytes": self.load.free_bytes,
            "heard_s": None if self.reporting_for_s is None else round(self.reporting_for_s, 2),
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
    policy: NodeSelectionPolicy = field(default_factory=WeightedSelection)
    allows_spillover: bool = True
    _plans: dict[str, _Plan] = field(default_factory=dict)
    _spillover_cores: dict[str, float] = field(default_factory=dict)
    _min_spillover_cores: float = 0.0
    _own_zone: str = ""
    _deprioritized: set[str] = field(default_factory=set)

    def nodes_for(
        self, members: Sequence[Member], zone: str, caller: str, now: float
    ) -> list[Member]:
        """Return the members that a caller of a zone should use, of those that are alive."""
        node_ids = [member.node_id for member in members]
        plan = self._plans.get(zone)
        if plan is None or plan.node_ids != node_ids or now - plan.made_at >= PLAN_LIFETIME_S:
            plan = _Plan(now, node_ids, self.policy.select(self._candidates(members, zone, now)))
            self._plans[zone] = plan
        by_id = {member.node_id: member for member in members}
        return [by_id[node_id] for node_id in plan.answers.for_caller(caller)]

    def update(self, members: Sequence[Member], zone: str, now: float) -> list[NodePriorityChange]:
        """Work out anew what this node's zone wants of others, and return who is named anew."""
        if self.allows_spillover:
            self._update_spillover(members, zone, now)
        return self._changes([m for m in members if m.zone == zone], now)

    def _changes(self, members: Sequence[Member], now: float) -> list[NodePriorityChange]:
        """Return which nodes are named less, or in full again, since the last beat."""
        node_ids = [member.node_id for member in members]
        loads = self.capacities.node_loads(node_ids, now)
        found = self._weighted_candidates(members, now)
        deprioritized = {candidate.node_id for candidate in found if candidate.is_deprioritized}
        changed = deprioritized ^ (self._deprioritized & set(node_ids))
        self._deprioritized = deprioritized
        return [
            NodePriorityChange(c, loads[c.node_id], self.capacities.reporting_for_s(c.node_id, now))
            for c in found
            if c.node_id in changed
        ]

    def _candidates(self, members: Sequence[Member], zone: str, now: float) -> list[Candidate]:
        local = [member for member in members if member.zone == zone]
        if len(local) < MIN_ZONE_NODES:
            return self._weighted_candidates(members, now)
        return self._weighted_candidates(local, now) + self._spillover_candidates(members, zone)

    def _weighted_candidates(self, members: Sequence[Member], now: float) -> list[Candidate]:
        node_ids = [member.node_id for member in members]
        reporting_for_s = {
            node_id: self.capacities.reporting_for_s(node_id, now) for node_id in node_ids
        }
        return weighted_candidates(self.capacities.node_loads(node_ids, now), reporting_for_s)

    # Other zones

    def _spillover_candidates(self, members: Sequence[Member], zone: str) -> list[Candidate]:
        """Return nodes of other zones, with what they spare for this node's zone."""
        found: list[Candidate] = []
        for other, cores in self._spillover_cores.items():
            nodes = [m.node_id for m in members if m.zone == other]
            if zone == self._own_zone and cores > self._min_spillover_cores and nodes:
                found.extend(_equal_shares(nodes, cores))
        return found

    def _update_spillover(self, members: Sequence[Member], zone: str, now: float) -> None:
        """Come closer to what the own zone wants of the others and these can spare."""
        nodes: dict[str, list[str]] = {zone: []}
        for member in members:
            nodes.setdefault(member.zone, []).append(member.node_id)
        loads = list(self.capacities.node_loads(nodes.pop(zone), now).values())
        zone_total = total_load(loads)
        wanted = 0.0
        # Nodes that are alike name each other alone until they are late.
        if (
            not have_similar_capacity([load.capacity_cores for load in loads])
            or zone_total.late_s > LATE_THRESHOLD_S
        ):
            wanted = self._wanted_spillover(zone_total)
        spare_by_zone = {other: self._spare_cores(other, nodes[other], now) for other in nodes}
        total = sum(spare_by_zone.values())
        spillover = {other: self._spillover_cores.get(other, 0.0) for other in nodes}
        for other, spare in spare_by_zone.items():
            share = min(spare, wanted * spare / total) if total else 0.0
            spillover[other] += SPILLOVER_SMOOTHING * (share - spillover[other])
        self._spillover_cores = spillover
        self._own_zone = zone
        self._min_spillover_cores = MIN_SPILLOVER_SHARE * zone_total.capacity_cores

    def _wanted_spillover(self, zone_total: NodeLoad) -> float:
        """Return the capacity beyond its own with which a zone would be as busy as it may be."""
        serving_cores = zone_total.capacity_cores + sum(self._spillover_cores.values())
        demand_share = _demand_cores(zone_total) / max(
            zone_total.capacity_cores, MIN_CAPACITY_CORES
        )
        wanted = demand_share / TARGET_UTILIZATION * serving_cores - zone_total.capacity_cores
        return min(MAX_SPILLOVER_SHARE * zone_total.capacity_cores, max(0.0, wanted))

    def _spare_cores(self, zone: str, nodes: list[str], now: float) -> float:
        """Return what another zone can spare, with what it is taken to spare already."""
        load = self.capacities.zone_load(zone, now) or self.capacities.total(nodes, now)
        if not load.capacity_cores:
            return 0.0
        free = TARGET_UTILIZATION * load.capacity_cores - _demand_cores(load)
        return max(0.0, free + self._spillover_cores.get(zone, 0.0))


def _demand_cores(load: NodeLoad) -> float:
    """Return the use that nodes are asked for; beyond their capacity it shows as lateness."""
    return load.used_cores * (1.0 + load.late_s)


def _equal_shares(node_ids: list[str], cores: float) -> list[Candidate]:
    """Return nodes that share alike in what their zone lends: each alone isn't known here."""
    return [Candidate(node_id, cores / len(node_ids)) for node_id in node_ids]
