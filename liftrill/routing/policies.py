"""Routing policies, swappable by name in the settings.

All but `liftrill` are what an operator could pick instead; they are measured side by
side with it.
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
    """What a policy knows of a request.

    Attributes:
        markers: prefix markers of the prompt, in order.
        shared_depth: how many leading markers other requests have used too.
        engine_ids: all engines of the pools, also those that cannot be chosen now.
    """

    markers: Sequence[bytes]
    shared_depth: int
    prompt_tokens: int
    priority: int
    now: float
    engine_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CostTerms:
    """The terms of one engine's cost, in seconds."""

    waiting: float
    computing: float
    spreading: float

    @property
    def total(self) -> float:
        """The sum of the terms."""
        return self.waiting + self.computing + self.spreading


@dataclass(frozen=True, slots=True)
class PolicyChoice:
    """What a policy decided.

    Attributes:
        believed_depth: leading markers that the engine is believed to hold.
        import_depth: leading markers to import from the kept-KV store, 0 for none.
        costs: the terms by engine, for policies that have them.
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
        """Return one of the engines, of which there is at least one."""

    def narrow(self, query: RoutingQuery, engines: Sequence[EngineState]) -> set[str] | None:
        """Return the engines worth looking at among many, or None for all of them."""
        return None

    def _least_loaded(self, engines: Sequence[EngineState], now: float) -> EngineState:
        return min(engines, key=lambda engine: (engine.load(now), self._random.random()))


class RandomPolicy(RoutingPolicy):
    """Any engine."""

    name = "random"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return any engine."""
        return PolicyChoice(self._random.choice(engines))


class RoundRobinPolicy(RoutingPolicy):
    """Each engine in turn."""

    name = "round_robin"

    def __init__(self, directory: PrefixDirectory, random_source: random.Random) -> None:
        super().__init__(directory, random_source)
        self._turns = itertools.count()

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the next engine."""
        return PolicyChoice(engines[next(self._turns) % len(engines)])


class LeastLoadedPolicy(RoutingPolicy):
    """The engine believed to hold the fewest requests."""

    name = "least_loaded"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return an engine of the lowest load."""
        return PolicyChoice(self._least_loaded(engines, query.now))


class PrefixHashPolicy(RoutingPolicy):
    """Rendezvous over the start of the prompt, with bounded loads.

    Bounded loads are after Mirrokni, Thorup and Zadimoghaddam, 2016: the first engine in
    rank order whose load is at most a factor above the mean is taken.
    """

    name = "prefix_hash"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the highest ranked engine that is not overloaded."""
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
    """The longest believed prefix, unless its engine is loaded well above the least."""

    name = "cache_aware"

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the engine of the longest believed prefix within the load threshold."""
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
    """The engine of the lowest cost.

    cost = time until the prompt's turn on the engine
         + time to compute, or import, what the engine does not hold
         + a price for one more copy of a shared prefix, which pushes out another's.

    The price grows with the engine's rendezvous rank for the prefix, so that all nodes
    widen a hot prefix to the same engines without asking each other, and a node that
    knows nothing yet already sends equal prefixes to equal engines.
    """

    name = "liftrill"
    uses_kept_store = True

    def __init__(self, directory: PrefixDirectory, random_source: random.Random) -> None:
        super().__init__(directory, random_source)
        self._rank_cache = RankCache(constants.RANKED_PREFIXES, constants.RANK_DEPTH)

    def narrow(self, query: RoutingQuery, engines: Sequence[EngineState]) -> set[str]:
        """Return the believed holders, the first by rank, and a few at random."""
        chosen = set(self._ranks(query))
        for name in query.markers[: query.shared_depth]:
            marker = self._directory.get(name)
            if marker is not None:
                chosen.update(marker.holders)
        chosen.update(self._random.choices(query.engine_ids, k=constants.RANDOM_CANDIDATES))
        return chosen

    def choose(self, query: RoutingQuery, engines: Sequence[EngineState]) -> PolicyChoice:
        """Return the cheapest engine, or either of two near ties."""
        incarnations = {e.engine_id: e.incarnation or 0 for e in engines}
        depths = self._directory.believed_depths(query.markers, incarnations, query.now)
        ranks = self._ranks(query)
        kept_depth = self._kept_depth(query)
        costs = [
            (e, self._cost(e, query, depths.get(e.engine_id, 0), kept_depth, ranks))
            for e in engines
        ]
        engine = self._pick(costs)
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
        # A prompt that nobody here has seen may be shared all the same.
        shared_depth = query.shared_depth or len(query.markers)
        spreading = 0.0
        if depth < shared_depth:
            missing = marker_tokens(shared_depth - depth)
            price = missing / constants.PREFILL_TOKENS_PER_SECOND * constants.SPREAD_COST_SHARE
            spreading = price * (ranks.get(engine.engine_id, len(ranks)) + 1)
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
        """Return how many leading markers the kept-KV store is believed to have."""
        if not self.uses_kept_store:
            return 0
        for depth in range(query.shared_depth, 0, -1):
            marker = self._directory.get(query.markers[depth - 1])
            if marker is not None and marker.kept_at is not None:
                return depth
        return 0

    def _ranks(self, query: RoutingQuery) -> dict[str, int]:
        """Return the first engines in the rendezvous order of the prefix."""
        if not query.markers:
            return {}
        # The same key whatever a node has learnt, so that all nodes rank alike.
        key = query.markers[min(len(query.markers), ROUTING_PREFIX_MARKERS) - 1]
        return self._rank_cache.ranks(key, query.engine_ids)

    def _pick(self, costs: Sequence[tuple[EngineState, CostTerms]]) -> EngineState:
        ordered = sorted(costs, key=lambda pair: pair[1].total)
        limit = ordered[0][1].total * (1.0 + constants.NEAR_TIE_SHARE)
        near = [engine for engine, terms in ordered[:2] if terms.total <= limit]
        return self._random.choice(near)


class LiftrillWithoutStorePolicy(LiftrillPolicy):
    """As `liftrill`, but without the kept-KV store."""

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
