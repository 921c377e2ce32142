"""Caches the rendezvous order of engines for recently used prefixes.

Ranking hundreds of engines costs one hash per engine, and the order changes only with the set
of engines.
"""

from collections import OrderedDict

from liftrill.coordination import rendezvous


class RankCache:
    """An LRU cache of the first engines of each prefix in rendezvous order."""

    def __init__(self, capacity: int, depth: int) -> None:
        self._capacity = capacity
        self._depth = depth
        self._engines: tuple[str, ...] = ()
        self._ranks: OrderedDict[bytes, dict[str, int]] = OrderedDict()

    def ranks(self, name: bytes, engines: tuple[str, ...]) -> dict[str, int]:
        """Return the ranks of the first engines, from 0; the other engines are left out."""
        if engines is not self._engines and engines != self._engines:
            self._ranks.clear()
        self._engines = engines
        ranks = self._ranks.get(name)
        if ranks is None:
            first = rendezvous.rank(name, engines)[: self._depth]
            ranks = {engine_id: rank for rank, engine_id in enumerate(first)}
            self._ranks[name] = ranks
            if len(self._ranks) > self._capacity:
                self._ranks.popitem(last=False)
        else:
            self._ranks.move_to_end(name)
        return ranks
