"""Routing policies, swappable by name in the settings."""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import ClassVar

from liftrill.constants import BOUNDED_LOAD_FACTOR
from liftrill.coordination import rendezvous
from liftrill.routing.engine_state import EngineState

ROUTING_PREFIX_BLOCKS = 16


class RoutingPolicy(ABC):
    """Chooses one of the engines that may serve a request."""

    name: ClassVar[str]

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    @abstractmethod
    def choose(self, block_names: Sequence[bytes], engines: Sequence[EngineState]) -> EngineState:
        """Return one of the engines, of which there is at least one."""


class RandomPolicy(RoutingPolicy):
    """Any engine."""

    name = "random"

    def choose(self, block_names: Sequence[bytes], engines: Sequence[EngineState]) -> EngineState:
        """Return any engine."""
        return self._random.choice(engines)


class RoundRobinPolicy(RoutingPolicy):
    """Each engine in turn."""

    name = "round_robin"

    def __init__(self, random_source: random.Random) -> None:
        super().__init__(random_source)
        self._turns = itertools.count()

    def choose(self, block_names: Sequence[bytes], engines: Sequence[EngineState]) -> EngineState:
        """Return the next engine."""
        return engines[next(self._turns) % len(engines)]


class LeastLoadedPolicy(RoutingPolicy):
    """The engine believed to hold the fewest requests."""

    name = "least_loaded"

    def choose(self, block_names: Sequence[bytes], engines: Sequence[EngineState]) -> EngineState:
        """Return an engine of the lowest load."""
        return min(engines, key=lambda engine: (engine.load, self._random.random()))


class PrefixHashPolicy(RoutingPolicy):
    """Rendezvous over the start of the prompt, with bounded loads.

    Bounded loads are after Mirrokni, Thorup and Zadimoghaddam, 2016: the first engine in
    rank order whose load is at most a factor above the mean is taken.
    """

    name = "prefix_hash"

    def choose(self, block_names: Sequence[bytes], engines: Sequence[EngineState]) -> EngineState:
        """Return the highest ranked engine that is not overloaded."""
        if not block_names:
            return min(engines, key=lambda engine: (engine.load, self._random.random()))
        key = block_names[min(len(block_names), ROUTING_PREFIX_BLOCKS) - 1]
        by_id = {engine.engine_id: engine for engine in engines}
        bound = self._load_bound(engines)
        ranked = [by_id[engine_id] for engine_id in rendezvous.rank(key, by_id)]
        return next((engine for engine in ranked if engine.load < bound), ranked[0])

    @staticmethod
    def _load_bound(engines: Sequence[EngineState]) -> float:
        mean = (sum(engine.load for engine in engines) + 1) / len(engines)
        return max(1.0, BOUNDED_LOAD_FACTOR * mean) + 1.0


_POLICIES: tuple[type[RoutingPolicy], ...] = (
    RandomPolicy,
    RoundRobinPolicy,
    LeastLoadedPolicy,
    PrefixHashPolicy,
)
POLICIES: dict[str, Callable[[random.Random], RoutingPolicy]] = {p.name: p for p in _POLICIES}
