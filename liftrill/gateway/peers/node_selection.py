"""Which nodes are named to a caller, sans-IO.

A caller opens each new connection to one of the addresses it was given, by chance and all alike,
and leaves connections to addresses that a newer answer lacks. So a node's share of the callers
follows from how many answers name it: each caller gets a sample of the nodes in which every
node stands as often as its weight asks for. Each pair of a caller and a node has a number that
never changes, and the nodes with the least numbers beside their odds are named (Rosén, 1997,
"On sampling with probability proportional to size"). So a caller gets the same answer each
time, from every node that knows the same weights, and a weight that changes moves one node.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from liftrill import constants
from liftrill.gateway.peers.node_capacity import LATE_THRESHOLD_S, NodeLoad, total_load

# With half of a zone gone at once, one caller in 256 is left without an address until it asks
# again; with more addresses the largest nodes couldn't be named as often as they can bear.
MIN_SELECTED_NODES = 8
# Callers are not divided for differences below this: nodes that are alike are all named.
MAX_SIMILAR_RATIO = 1.25
# What a node that is late, short of memory or just back is named at the least, so that it's
# found out when it is well again.
MIN_FACTOR = 0.1
# Added to the spare share of each node: without it a busy fleet would send its callers to
# whichever node told last that it has a little to spare.
SPARE_MARGIN = 0.5
# A node with much to spare gets at most this much more than its capacity asks for.
MAX_FACTOR = 1.5
# Above it a node is named about as often as its capacity asks for.
DEPRIORITIZED_FACTOR = 1.0 / 1.5
# Factors are told apart in steps, so that nodes whose words differ by a little agree.
FACTOR_STEP = 1.15
# Requests of the largest bodies, and what the process needs beside them.
SUFFICIENT_MEMORY_BYTES = 24 * 1_048_576
# A node that comes back is named by degrees over this time, from this factor on: its caches of
# connections are cold, and callers of the whole zone would come at once.
RAMP_UP_S = 2.0
RAMP_UP_START = 0.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that may be named.

    Attributes:
        capacity_cores: what it can bear.
        factor: how much more or less often it is named than its capacity asks for.
    """

    node_id: str
    capacity_cores: float
    factor: float = 1.0

    @property
    def weight(self) -> float:
        """Return the share of callers that it is to have, beside the other weights."""
        return self.capacity_cores * self.factor

    @property
    def is_deprioritized(self) -> bool:
        """Return whether it is late, short of memory, busier than others or just back."""
        return self.factor < DEPRIORITIZED_FACTOR


class NodeSelection(ABC):
    """What callers of one zone are named for as long as nothing changes."""

    @abstractmethod
    def for_caller(self, caller: str) -> list[str]:
        """Return the ids of the nodes that a caller, told by its address, is named."""


class NodeSelectionPolicy(ABC):
    """Decide how callers are divided among nodes."""

    @abstractmethod
    def select(self, candidates: Sequence[Candidate]) -> NodeSelection:
        """Return what callers are named."""


class SelectAll(NodeSelectionPolicy):
    """Name every node to everyone, whatever it can bear."""

    def select(self, candidates: Sequence[Candidate]) -> NodeSelection:
        """Return the first of the candidates, as many as an answer holds."""
        return _FixedSelection([c.node_id for c in candidates[: constants.RESOLVE_ADDRESSES]])


class WeightedSelection(NodeSelectionPolicy):
    """Name each node as often as its weight asks for."""

    def select(self, candidates: Sequence[Candidate]) -> NodeSelection:
        """Return samples of the nodes, or all of them where they are alike."""
        if are_alike(candidates):
            return SelectAll().select(candidates)
        return SampledSelection.of(candidates)


@dataclass(frozen=True, slots=True)
class _FixedSelection(NodeSelection):
    """One answer for every caller."""

    node_ids: list[str]

    def for_caller(self, caller: str) -> list[str]:
        """Return the answer."""
        return self.node_ids


def are_alike(candidates: Sequence[Candidate]) -> bool:
    """Return whether nodes can bear about as much, and none is named less."""
    sizes = [c.capacity_cores for c in candidates]
    return have_similar_capacity(sizes) and not any(c.is_deprioritized for c in candidates)


def have_similar_capacity(capacities: Sequence[float]) -> bool:
    """Return whether capacities differ so little that callers are not divided by them."""
    return not capacities or max(capacities) <= MAX_SIMILAR_RATIO * min(capacities)


@dataclass(frozen=True, slots=True)
class SampledSelection(NodeSelection):
    """A sample of the nodes for each caller, of the same size for all (Pareto sampling).

    Attributes:
        odds: of each node to be in an answer.
        size: how many nodes an answer has.
    """

    odds: tuple[tuple[str, float], ...]
    size: int

    @staticmethod
    def of(candidates: Sequence[Candidate]) -> "SampledSelection":
        """Return the samples of nodes that are not all alike."""
        probabilities = inclusion_probabilities([candidate.weight for candidate in candidates])
        names = (candidate.node_id for candidate in candidates)
        odds = tuple(zip(names, map(_odds, probabilities), strict=True))
        return SampledSelection(odds, round(sum(probabilities)))

    def for_caller(self, caller: str) -> list[str]:
        """Return the nodes with the least numbers for a caller, by their odds."""
        key = caller.encode()
        ranked = sorted((_odds(_uniform_hash(key, name)) / odds, name) for name, odds in self.odds)
        return [name for _, name in ranked[: self.size]]


def _uniform_hash(caller: bytes, node_id: str) -> float:
    """Return the number from 0 to 1 of a caller and a node."""
    return xxhash.xxh3_64_intdigest(caller + node_id.encode()) / 2**64


def _odds(probability: float) -> float:
    return probability / (1.0 - probability) if probability < 1.0 else math.inf


def inclusion_probabilities(weights: Sequence[float]) -> list[float]:
    """Return the chance of each node to be in an answer; they add up to a whole number."""
    size = sample_size(weights)
    probabilities = [0.0] * len(weights)
    remaining = set(range(len(weights)))
    remaining_size = float(size)
    while remaining:
        total = sum(weights[i] for i in remaining)
        # A node that is in every answer can't be named more often.
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
    """Return as many addresses as there can be without naming the largest node too seldom."""
    proportional = math.floor(sum(weights) / max(weights) + 1e-9)
    return min(len(weights), constants.RESOLVE_ADDRESSES, max(MIN_SELECTED_NODES, proportional))


def weighted_candidates(
    loads: Mapping[str, NodeLoad], reporting_for_s: Mapping[str, float | None]
) -> list[Candidate]:
    """Return nodes, in their order, with what they can bear and how much less they're named."""
    total_of_all = total_load(list(loads.values()))
    similar = have_similar_capacity([load.capacity_cores for load in loads.values()])
    found = []
    for node_id, load in loads.items():
        factor = _lag_factor(load, total_of_all) * _memory_factor(load)
        if not similar:
            factor *= _spare_factor(load, total_of_all) * _ramp_up_factor(reporting_for_s[node_id])
        found.append(Candidate(node_id, load.capacity_cores, _quantized(factor)))
    return found


def _spare_factor(load: NodeLoad, total_of_all: NodeLoad) -> float:
    share = (1.0 - load.used_share + SPARE_MARGIN) / (1.0 - total_of_all.used_share + SPARE_MARGIN)
    return min(MAX_FACTOR, share)


def _lag_factor(load: NodeLoad, total_of_all: NodeLoad) -> float:
    # Where all are late alike, there is nowhere better to go.
    tolerated_s = total_of_all.late_s + LATE_THRESHOLD_S
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
