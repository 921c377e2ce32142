"""Routing policies, selected by name in the settings.

The policies other than `liftrill` are alternatives that the benchmarks compare with it.
"""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import ClassVar

from liftrill import constants
from liftrill.cache.directory import PrefixDirectory, marker_tokens
from liftrill.coordination import rendezvous
from liftrill.routing.engine_state import EngineState
from liftrill.routing.rank_cache import RankCache

ROUTING_PREFIX_MARKERS = 4


@dataclass(frozen=True, slots=True)
class RoutingQuery:
    """The properties of a request that a policy decides by.

    Attributes:
        markers: prefix markers of the prompt, in order.
        shared_depth: the number of leading markers that other requests used too.
        engine_ids: all engines of the pools, including those that cannot be chosen now.
    """

    markers: Sequence[bytes]
    shared_depth: int
    prompt_tokens: int
    priority: int
    now: float
    engine_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CostTerms:
    """The terms of the cost of sending a request to an engine, in seconds.

    Attributes:
        waiting: the time before the engine starts on the prompt.
        computing: the time to compute or import the missing part of the prompt.
        spreading: the price of one more copy of a shared prefix.
    """

    waiting: float
    computing: float
    spreading: float

    @property
    def total(self) -> float:
        """The sum of the terms."""
        return self.waiting + self.computing + self.spreading


@dataclass(frozen=True, slots=True)
class PolicyChoice:
    """The decision of a policy.

    Attributes:
        believed_depth: leading markers that the engine is believed to hold.
        import_depth: leading markers to import from the kept-KV store, or 0.
        costs: the cost terms of each engine, for policies that compute them.
    """

    engine: EngineState
    believed_depth: int = 0
    import_depth: int = 0
    costs: tuple[tuple[str, CostTerms], ...] = ()


class RoutingPolicy(ABC):
    """Chooses one of the engines that may serve a request."""

    name: ClassVar[str]
    uses_kept_store: ClassVar[bool] = False

    def __init__(self, directory: PrefixDirectory, random_source: random.Random) -> None:
        self._directory = directory
        self._random = random_source

    @abstractmethod
    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the decision for a request; there is at least one engine."""

    def select_candidates(
        self, query: RoutingQuery, engines: Sequence[EngineState]
    ) -> set[str] | None:
        """Return the identifiers of the engines to evaluate first, or None to evaluate all."""
        return None

    def _least_loaded(self, engines: Sequence[EngineState], now: float) -> EngineState:
        return min(engines, key=lambda engine: (engine.load(now), self._random.random()))


class RandomPolicy(RoutingPolicy):
    """Chooses an engine uniformly at random."""

    name = "random"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return a random engine."""
        return PolicyChoice(self._random.choice(engines))


class RoundRobinPolicy(RoutingPolicy):
    """Chooses the engines in rotation."""

    name = "round_robin"

    def __init__(self, directory: PrefixDirectory, random_source: random.Random) -> None:
        super().__init__(directory, random_source)
        self._positions = itertools.count()

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the next engine in the rotation."""
        return PolicyChoice(engines[next(self._positions) % len(engines)])


class LeastLoadedPolicy(RoutingPolicy):
    """Chooses the engine with the lowest estimated load."""

    name = "least_loaded"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return an engine with the lowest load; ties are broken at random."""
        return PolicyChoice(self._least_loaded(engines, query.now))


class PrefixHashPolicy(RoutingPolicy):
    """Chooses by rendezvous hashing of the start of the prompt, with bounded loads.

    Bounded loads follow Mirrokni, Thorup and Zadimoghaddam, 2016: the policy chooses the first
    engine in rank order whose load exceeds the mean by at most a factor.
    """

    name = "prefix_hash"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the highest-ranked engine whose load is below the bound."""
        if not query.markers:
            return PolicyChoice(self._least_loaded(engines, query.now))
        key = query.markers[min(len(query.markers), ROUTING_PREFIX_MARKERS) - 1]
        by_id = {engine.engine_id: engine for engine in engines}
        bound = self._load_bound(engines, query.now)
        ranked = [by_id[engine_id] for engine_id in rendezvous.rank(key, by_id)]
        return PolicyChoice(next((e for e in ranked if e.load(query.now) < bound), ranked[0]))

    @staticmethod
    def _load_bound(engines: Sequence[EngineState], now: float) -> float:
        mean = (sum(engine.load(now) for engine in engines) + 1) / len(engines)
        return max(1.0, constants.BOUNDED_LOAD_FACTOR * mean) + 1.0


class CacheAwarePolicy(RoutingPolicy):
    """Chooses the engine with the longest believed prefix, unless its load is too high."""

    name = "cache_aware"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the engine with the longest believed prefix, or the least loaded engine.

        The least loaded engine is chosen if the difference in load exceeds the threshold.
        """
        incarnations = {e.engine_id: e.incarnation or 0 for e in engines}
        depths = self._directory.believed_depths(query.markers, incarnations, query.now)
        least = self._least_loaded(engines, query.now)
        if not depths:
            return PolicyChoice(least)
        best = max(engines, key=lambda e: (depths.get(e.engine_id, 0), -e.load(query.now)))
        if best.load(query.now) > least.load(query.now) + constants.LOAD_THRESHOLD_REQUESTS:
            return PolicyChoice(least, depths.get(least.engine_id, 0))
        return PolicyChoice(best, depths.get(best.engine_id, 0))


class LiftrillPolicy(RoutingPolicy):
    """Chooses the engine with the lowest cost.

    cost = time before the engine starts on the prompt
         + time to compute or import the part of the prompt that the engine does not hold
         + price of one more copy of a shared prefix, which evicts other blocks.

    The price grows with the rendezvous rank of the engine for the prefix. So all nodes replicate
    a hot prefix to the same engines without coordination, and a node without any beliefs already
    sends equal prefixes to the same engines.
    """

    name = "liftrill"
    uses_kept_store = True

    def __init__(self, directory: PrefixDirectory, random_source: random.Random) -> None:
        super().__init__(directory, random_source)
        self._rank_cache = RankCache(constants.RANKED_PREFIXES, constants.RANK_DEPTH)

    def select_candidates(self, query: RoutingQuery, engines: Sequence[EngineState]) -> set[str]:
        """Return the believed holders, the first engines by rank and a few random ones."""
        chosen = set(self._ranks(query))
        for name in query.markers[: query.shared_depth]:
            marker = self._directory.get(name)
            if marker is not None:
                chosen.update(marker.holders)
        chosen.update(self._random.choices(query.engine_ids, k=constants.RANDOM_CANDIDATES))
        return chosen

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the engine with the lowest cost, or a random one of two that nearly tie."""
        incarnations = {e.engine_id: e.incarnation or 0 for e in engines}
        depths = self._directory.believed_depths(query.markers, incarnations, query.now)
        ranks = self._ranks(query)
        kept_depth = self._kept_depth(query)
        costs = [
            (e, self._cost(e, query, depths.get(e.engine_id, 0), kept_depth, ranks))
            for e in engines
        ]
        engine = self._choose_cheapest(costs)
        believed = depths.get(engine.engine_id, 0)
        return PolicyChoice(
            engine=engine,
            believed_depth=believed,
            import_depth=kept_depth if kept_depth > believed else 0,
            costs=tuple((e.engine_id, terms) for e, terms in costs),
        )

    def _cost(
        self,
        engine: EngineState,
        query: RoutingQuery,
        depth: int,
        kept_depth: int,
        ranks: dict[str, int],
    ) -> CostTerms:
        computing = self._computing_seconds(query, depth, kept_depth)
        # Other nodes may share a prompt whose prefix is new to this node: price all of it.
        shared_depth = query.shared_depth or len(query.markers)
        spreading = 0.0
        if depth < shared_depth:
            missing_tokens = marker_tokens(shared_depth - depth)
            price_per_rank = (
                missing_tokens / constants.PREFILL_TOKENS_PER_SECOND * constants.SPREAD_COST_SHARE
            )
            spreading = price_per_rank * (ranks.get(engine.engine_id, len(ranks)) + 1)
        return CostTerms(self._waiting_seconds(engine, query.now), computing, spreading)

    @staticmethod
    def _waiting_seconds(engine: EngineState, now: float) -> float:
        prefill = engine.pending_prefill_tokens(now) / constants.PREFILL_TOKENS_PER_SECOND
        return prefill + engine.load(now) * constants.RUNNING_REQUEST_COST_SECONDS

    @staticmethod
    def _computing_seconds(query: RoutingQuery, depth: int, kept_depth: int) -> float:
        held = marker_tokens(max(depth, kept_depth))
        imported = marker_tokens(max(0, kept_depth - depth))
        computed = max(0, query.prompt_tokens - held)
        seconds = computed / constants.PREFILL_TOKENS_PER_SECOND
        return seconds + imported / constants.IMPORT_TOKENS_PER_SECOND

    def _kept_depth(self, query: RoutingQuery) -> int:
        """Return how many leading markers the kept-KV store is believed to hold."""
        if not self.uses_kept_store:
            return 0
        for depth in range(query.shared_depth, 0, -1):
            marker = self._directory.get(query.markers[depth - 1])
            if marker is not None and marker.kept_at is not None:
                return depth
        return 0

    def _ranks(self, query: RoutingQuery) -> dict[str, int]:
        """Return the ranks of the first engines in the rendezvous order of the prefix."""
        if not query.markers:
            return {}
        # The key does not depend on beliefs, so all nodes rank the engines alike.
        key = query.markers[min(len(query.markers), ROUTING_PREFIX_MARKERS) - 1]
        return self._rank_cache.ranks(key, query.engine_ids)

    def _choose_cheapest(self, costs: Sequence[tuple[EngineState, CostTerms]]) -> EngineState:
        ordered = sorted(costs, key=lambda pair: pair[1].total)
        limit = ordered[0][1].total * (1.0 + constants.NEAR_TIE_SHARE)
        near = [engine for engine, terms in ordered[:2] if terms.total <= limit]
        return self._random.choice(near)


class LiftrillWithoutStorePolicy(LiftrillPolicy):
    """Chooses like `liftrill`, but does not use the kept-KV store."""

    name = "liftrill_without_store"
    uses_kept_store = False


_POLICIES: tuple[type[RoutingPolicy], ...] = (
    RandomPolicy,
    RoundRobinPolicy,
    LeastLoadedPolicy,
    PrefixHashPolicy,
    CacheAwarePolicy,
    LiftrillPolicy,
    LiftrillWithoutStorePolicy,
)
POLICIES: dict[str, type[RoutingPolicy]] = {policy.name: policy for policy in _POLICIES}
