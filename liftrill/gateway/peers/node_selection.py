"""Selects the nodes that a caller should use, sans-IO.

A caller opens each new connection to a uniformly random one of the addresses it received, and
closes connections to addresses that a newer answer lacks. So a node's share of the callers follows
from the number of answers that contain it: each caller gets a sample of the nodes, in which every
node occurs with a probability proportional to its weight. Each pair of a caller and a node has a
fixed hash, and the nodes with the smallest odds of the hash relative to the odds of the node are
selected (Pareto sampling; Rosén, 1997, "On sampling with probability proportional to size"). So a
caller gets the same answer each time, from every node that knows the same weights, and the change
of one weight replaces one node.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from liftrill import constants
from liftrill.gateway.peers.node_capacity import LATE_THRESHOLD_S, NodeLoad, total_load

# Minimum number of addresses in an answer. If half of a zone fails at once, one caller in 256 has
# no usable address until it asks again. With more addresses the largest nodes couldn't be selected
# in proportion to their capacity.
MIN_SELECTED_NODES = 8
# Nodes whose capacities differ by less than this ratio are all returned to every caller.
MAX_SIMILAR_RATIO = 1.25
# Minimum factor of a node that is late, short of memory or ramping up, so that it gets
# enough requests to show its recovery.
MIN_FACTOR = 0.1
# Added to the spare share of each node. Without it a busy fleet would send its callers to whichever
# node was the last to report a little spare capacity.
SPARE_MARGIN = 0.5
# Maximum factor of a node with much spare capacity.
MAX_FACTOR = 1.5
# From this factor on a node counts as selected by its full capacity.
DEPRIORITIZED_FACTOR = 1.0 / 1.5
# Factors are rounded to powers of this, so that nodes agree on them whose load reports differ a
# little.
FACTOR_STEP = 1.15
# Memory for requests with the largest bodies, and for the other needs of the process.
SUFFICIENT_MEMORY_BYTES = 24 * 1_048_576
# The factor of a node that joins, or reports again after a silence, rises over this time, from the
# start value below: its connection caches are cold, and the callers of the whole zone would move to
# it at once.
RAMP_UP_S = 2.0
RAMP_UP_START = 0.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that may be returned to callers.

    Attributes:
        capacity_cores: processor time a second that it has for requests.
        factor: how much more or less often it is selected than by its capacity alone.
    """

    node_id: str
    capacity_cores: float
    factor: float = 1.0

    @property
    def weight(self) -> float:
        """Return the node's share of the callers, relative to the other weights."""
        return self.capacity_cores * self.factor

    @property
    def is_deprioritized(self) -> bool:
        """Return whether the node is late, short of memory, busier than others or ramping up."""
        return self.factor < DEPRIORITIZED_FACTOR


class NodeSelection(ABC):
    """The nodes selected for the callers of one zone, until the selection is renewed."""

    @abstractmethod
    def for_caller(self, caller: str) -> list[str]:
        """Return the ids of the nodes that the caller with an address should use."""


class NodeSelectionPolicy(ABC):
    """Decides how callers are distributed over nodes."""

    @abstractmethod
    def select(self, candidates: Sequence[Candidate]) -> NodeSelection:
        """Return the selection among the candidates."""


class SelectAll(NodeSelectionPolicy):
    """Selects the same nodes for every caller, regardless of their capacity."""

    def select(self, candidates: Sequence[Candidate]) -> NodeSelection:
        """Return the first candidates, up to the maximum number of addresses in an answer."""
        return _FixedSelection([c.node_id for c in candidates[: constants.RESOLVE_MAX_ADDRESSES]])


class WeightedSelection(NodeSelectionPolicy):
    """Selects each node in proportion to its weight."""

    def select(self, candidates: Sequence[Candidate]) -> NodeSelection:
        """Return a sample of the nodes for each caller, or all nodes where they are alike."""
        if are_alike(candidates):
            return SelectAll().select(candidates)
        return SampledSelection.of(candidates)


@dataclass(frozen=True, slots=True)
class _FixedSelection(NodeSelection):
    """The same nodes for every caller."""

    node_ids: list[str]

    def for_caller(self, caller: str) -> list[str]:
        """Return all nodes of the selection."""
        return self.node_ids


def are_alike(candidates: Sequence[Candidate]) -> bool:
    """Return whether nodes have similar capacity and none of them is deprioritized."""
    sizes = [c.capacity_cores for c in candidates]
    return have_similar_capacity(sizes) and not any(c.is_deprioritized for c in candidates)


def have_similar_capacity(capacities: Sequence[float]) -> bool:
    """Return whether the largest capacity is within the similarity ratio of the smallest."""
    return not capacities or max(capacities) <= MAX_SIMILAR_RATIO * min(capacities)


@dataclass(frozen=True, slots=True)
class SampledSelection(NodeSelection):
    """A sample of the nodes for each caller, of the same size for all (Pareto sampling).

    Attributes:
        odds: odds of each node to be in an answer.
        size: number of nodes in an answer.
    """

    odds: tuple[tuple[str, float], ...]
    size: int

    @staticmethod
    def of(candidates: Sequence[Candidate]) -> "SampledSelection":
        """Return the sampled selection of nodes that are not all alike."""
        probabilities = inclusion_probabilities([candidate.weight for candidate in candidates])
        names = (candidate.node_id for candidate in candidates)
        odds = tuple(zip(names, map(_odds, probabilities), strict=True))
        return SampledSelection(odds, round(sum(probabilities)))

    def for_caller(self, caller: str) -> list[str]:
        """Return the nodes with the smallest hash odds for a caller, relative to their own odds."""
        key = caller.encode()
        ranked = sorted((_odds(_uniform_hash(key, name)) / odds, name) for name, odds in self.odds)
        return [name for _, name in ranked[: self.size]]


def _uniform_hash(caller: bytes, node_id: str) -> float:
    """Return the hash of a caller and a node, uniform between 0 and 1."""
    return xxhash.xxh3_64_intdigest(caller + node_id.encode()) / 2**64


def _odds(probability: float) -> float:
    return probability / (1.0 - probability) if probability < 1.0 else math.inf


def inclusion_probabilities(weights: Sequence[float]) -> list[float]:
    """Return each node's probability to be in an answer; they add up to the sample size."""
    size = sample_size(weights)
    probabilities = [0.0] * len(weights)
    remaining = set(range(len(weights)))
    remaining_size = float(size)
    while remaining:
        total = sum(weights[i] for i in remaining)
        # The probability of a node is capped at 1; the remainder is divided among the other nodes.
        certain = {i for i in remaining if weights[i] * remaining_size >= total}
        if not certain:
            for i in remaining:
                probabilities[i] = weights[i] * remaining_size / total
            break
        for i in certain:
            probabilities[i] = 1.0
        remaining -= certain
        remaining_size -= len(certain)
    return probabilities


def sample_size(weights: Sequence[float]) -> int:
    """Return the largest answer size that gives the largest node its full share, within bounds."""
    proportional = math.floor(sum(weights) / max(weights) + 1e-9)
    return min(len(weights), constants.RESOLVE_MAX_ADDRESSES, max(MIN_SELECTED_NODES, proportional))


def weighted_candidates(
    loads: Mapping[str, NodeLoad], reporting_for_s: Mapping[str, float | None]
) -> list[Candidate]:
    """Return the nodes as candidates in the given order, with capacity and factor."""
    combined = total_load(list(loads.values()))
    similar = have_similar_capacity([load.capacity_cores for load in loads.values()])
    candidates = []
    for node_id, load in loads.items():
        factor = _lag_factor(load, combined) * _memory_factor(load)
        if not similar:
            factor *= _spare_factor(load, combined) * _ramp_up_factor(reporting_for_s[node_id])
        candidates.append(Candidate(node_id, load.capacity_cores, _quantized(factor)))
    return candidates


def _spare_factor(load: NodeLoad, combined: NodeLoad) -> float:
    share = (1.0 - load.used_share + SPARE_MARGIN) / (1.0 - combined.used_share + SPARE_MARGIN)
    return min(MAX_FACTOR, share)


def _lag_factor(load: NodeLoad, combined: NodeLoad) -> float:
    # Where all nodes are equally late, callers are served no better elsewhere.
    tolerated_s = combined.late_s + LATE_THRESHOLD_S
    return 1.0 if load.late_s <= tolerated_s else tolerated_s / load.late_s


def _memory_factor(load: NodeLoad) -> float:
    if not load.free_bytes:
        return 1.0
    return min(1.0, load.free_bytes / SUFFICIENT_MEMORY_BYTES)


def _ramp_up_factor(reporting_for_s: float | None) -> float:
    if reporting_for_s is None or reporting_for_s >= RAMP_UP_S:
        return 1.0
    return RAMP_UP_START + (1.0 - RAMP_UP_START) * reporting_for_s / RAMP_UP_S


def _quantized(factor: float) -> float:
    bounded = max(MIN_FACTOR, factor)
    return float(FACTOR_STEP ** round(math.log(bounded, FACTOR_STEP)))
