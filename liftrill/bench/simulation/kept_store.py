"""A simulated kept-KV store."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import TYPE_CHECKING

from liftrill.routing.router import PrefixSaveAdvice

if TYPE_CHECKING:
    from liftrill.bench.simulation.engine import SimulatedEngine


class SimulatedKeptStore:
    """A store of prefixes with a limited number of blocks, which evicts the least recently used."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._prefixes: OrderedDict[bytes, int] = OrderedDict()
        self.exported_blocks = 0

    def longest_stored_prefix(self, names: Sequence[bytes]) -> int:
        """Return the length in blocks of the longest of the named prefixes that is stored, or 0.

        Args:
            names: names of prefixes, shortest first.
        """
        for name in reversed(names):
            if name in self._prefixes:
                self._prefixes.move_to_end(name)
                return self._prefixes[name]
        return 0

    def save(self, advice: PrefixSaveAdvice, engine: "SimulatedEngine") -> None:
        """Store a prefix from the cache of an engine, if the engine still holds it."""
        if advice.name not in engine.model.cache:
            return
        self._prefixes[advice.name] = advice.blocks
        self.exported_blocks += advice.blocks
        while sum(self._prefixes.values()) > self._capacity_blocks:
            self._prefixes.popitem(last=False)
