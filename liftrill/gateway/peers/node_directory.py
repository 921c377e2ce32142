"""Selects the nodes that callers should use, by the load that nodes report, sans-IO."""

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

# With fewer nodes than this in the caller's zone, nodes of all zones are returned.
MIN_ZONE_NODES = 2
# Nodes report their load a few times a second, so a selection is reused for as long.
SELECTION_LIFETIME_S = 0.25
# A zone above this utilization also sends callers to other zones: as many as bring it down to this
# value, and no more than the other zones can serve below it. Traffic between zones has a cost, so
# it is used only where requests would otherwise wait.
TARGET_UTILIZATION = 0.9
# Share of the difference to the wanted spillover that is applied with each update. Callers move
# seconds after they get a new answer, so larger steps would overshoot and send them back again.
SPILLOVER_SMOOTHING = 0.2
# Maximum spillover as a share of the zone's own capacity: the effect of a larger one would only be
# seen after too many callers had been sent away.
MAX_SPILLOVER_SHARE = 0.25
# Lower bound of the divisor, for a zone that reports no capacity: such a zone wants no spillover.
MIN_CAPACITY_CORES = 0.001
# Spillover below this share of the zone's own capacity is ignored.
MIN_SPILLOVER_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class NodePriorityChange:
    """A node was deprioritized, or is selected by its full capacity again."""

    candidate: Candidate
    load: NodeLoad
    reporting_for_s: float | None

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log line."""
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
class _CachedSelection:
    """The cached selection for the callers of one zone."""

    selected_at: float
    node_ids: list[str]
    selection: NodeSelection


@dataclass(slots=True)
class NodeDirectory:
    """Answers callers of one node that ask which nodes to use.

    Attributes:
        allows_spillover: whether callers of a zone at its target utilization are sent to other
            zones.
    """

    capacities: NodeCapacities
    policy: NodeSelectionPolicy = field(default_factory=WeightedSelection)
    allows_spillover: bool = True
    _cached: dict[str, _CachedSelection] = field(default_factory=dict)
    _spillover_cores: dict[str, float] = field(default_factory=dict)
    _min_spillover_cores: float = 0.0
    _own_zone: str = ""
    _deprioritized: set[str] = field(default_factory=set)

    def nodes_for(
        self, members: Sequence[Member], zone: str, caller: str, now: float
    ) -> list[Member]:
        """Return those of the given live members that a caller of a zone should use."""
        node_ids = [member.node_id for member in members]
        cached = self._cached.get(zone)
        if (
            cached is None
            or cached.node_ids != node_ids
            or now - cached.selected_at >= SELECTION_LIFETIME_S
        ):
            cached = _CachedSelection(
                now, node_ids, self.policy.select(self._candidates(members, zone, now))
            )
            self._cached[zone] = cached
        by_id = {member.node_id: member for member in members}
        return [by_id[node_id] for node_id in cached.selection.for_caller(caller)]

    def update(self, members: Sequence[Member], zone: str, now: float) -> list[NodePriorityChange]:
        """Update the spillover of this node's zone, and return changed priorities of its nodes."""
        if self.allows_spillover:
            self._update_spillover(members, zone, now)
        return self._changes([m for m in members if m.zone == zone], now)

    def _changes(self, members: Sequence[Member], now: float) -> list[NodePriorityChange]:
        """Return the nodes that were deprioritized or restored since the last update."""
        node_ids = [member.node_id for member in members]
        loads = self.capacities.node_loads(node_ids, now)
        candidates = self._weighted_candidates(members, now)
        deprioritized = {
            candidate.node_id for candidate in candidates if candidate.is_deprioritized
        }
        changed = deprioritized ^ (self._deprioritized & set(node_ids))
        self._deprioritized = deprioritized
        return [
            NodePriorityChange(c, loads[c.node_id], self.capacities.reporting_for_s(c.node_id, now))
            for c in candidates
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
        """Return nodes of other zones, with the capacity that they spare for this node's zone."""
        candidates: list[Candidate] = []
        for other, cores in self._spillover_cores.items():
            nodes = [m.node_id for m in members if m.zone == other]
            if zone == self._own_zone and cores > self._min_spillover_cores and nodes:
                candidates.extend(_equal_shares(nodes, cores))
        return candidates

    def _update_spillover(self, members: Sequence[Member], zone: str, now: float) -> None:
        """Move the spillover to each zone towards what is wanted and what that zone can spare."""
        nodes: dict[str, list[str]] = {zone: []}
        for member in members:
            nodes.setdefault(member.zone, []).append(member.node_id)
        loads = list(self.capacities.node_loads(nodes.pop(zone), now).values())
        zone_total = total_load(loads)
        wanted = 0.0
        # A zone of nodes with similar capacity has no spillover until its nodes are late.
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
        """Return the additional capacity that brings a zone down to its target utilization."""
        serving_cores = zone_total.capacity_cores + sum(self._spillover_cores.values())
        demand_share = _demand_cores(zone_total) / max(
            zone_total.capacity_cores, MIN_CAPACITY_CORES
        )
        wanted = demand_share / TARGET_UTILIZATION * serving_cores - zone_total.capacity_cores
        return min(MAX_SPILLOVER_SHARE * zone_total.capacity_cores, max(0.0, wanted))

    def _spare_cores(self, zone: str, nodes: list[str], now: float) -> float:
        """Return the capacity that another zone can spare, its current spillover included."""
        load = self.capacities.zone_load(zone, now) or self.capacities.total(nodes, now)
        if not load.capacity_cores:
            return 0.0
        free = TARGET_UTILIZATION * load.capacity_cores - _demand_cores(load)
        return max(0.0, free + self._spillover_cores.get(zone, 0.0))


def _demand_cores(load: NodeLoad) -> float:
    """Return the demand on nodes; demand beyond their capacity shows as lateness."""
    return load.used_cores * (1.0 + load.late_s)


def _equal_shares(node_ids: list[str], cores: float) -> list[Candidate]:
    """Return nodes with equal shares of their zone's spillover: single loads are unknown."""
    return [Candidate(node_id, cores / len(node_ids)) for node_id in node_ids]
