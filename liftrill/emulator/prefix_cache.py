"""An engine's prefix cache: a limited number of blocks with LRU eviction."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

from liftrill.emulator.engine_messages import (
    BlockOrigin,
    CacheEvent,
    CacheEventKind,
    EngineParameters,
)


class PrefixCache:
    """The cached blocks, and a delayed and lossy stream of events about them."""

    def __init__(self, parameters: EngineParameters, random_source: random.Random) -> None:
        self._parameters = parameters
        self._random = random_source
        self._last_used: OrderedDict[bytes, float] = OrderedDict()
        self._origins: dict[bytes, BlockOrigin] = {}
        self._pinned: dict[bytes, int] = {}
        self._events: deque[tuple[float, CacheEvent]] = deque()
        self._sequence = 0
        self.event_loss_share = parameters.event_loss_share

    def __len__(self) -> int:
        return len(self._last_used)

    def __contains__(self, name: bytes) -> bool:
        return name in self._last_used

    def cached_prefix(self, names: Sequence[bytes]) -> int:
        """Return the number of leading blocks that are cached."""
        for position, name in enumerate(names):
            if name not in self._last_used:
                return position
        return len(names)

    def pin(self, names: Sequence[bytes]) -> None:
        """Protect blocks from eviction while a request uses them."""
        for name in names:
            self._pinned[name] = self._pinned.get(name, 0) + 1

    def unpin(self, names: Sequence[bytes]) -> None:
        """Undo one `pin` of each block."""
        for name in names:
            count = self._pinned.get(name, 0) - 1
            if count > 0:
                self._pinned[name] = count
            else:
                self._pinned.pop(name, None)

    def origins(self, names: Sequence[bytes]) -> frozenset[BlockOrigin]:
        """Return the distinct origins of cached blocks."""
        return frozenset(self._origins[name] for name in names)

    def store(self, names: Sequence[bytes], origin: BlockOrigin, now: float) -> None:
        """Add blocks or mark them as used, and evict others above capacity."""
        # In reverse, so that a prefix is evicted from its end and its beginning remains usable.
        for name in reversed(names):
            if name not in self._last_used:
                self._origins[name] = origin
                self._emit(CacheEventKind.STORED, name, now)
            self._last_used[name] = now
            self._last_used.move_to_end(name)
        self._evict_over_capacity(now)

    def evict_idle(self, now: float) -> None:
        """Evict blocks that were not used for the idle eviction time."""
        limit = now - self._parameters.idle_eviction_seconds
        while self._last_used:
            name, used_at = next(iter(self._last_used.items()))
            if used_at > limit or name in self._pinned:
                return
            self._remove(name, now)

    def clear(self) -> None:
        """Drop all blocks and pending events without new events, as a crash does."""
        self._last_used.clear()
        self._origins.clear()
        self._pinned.clear()
        self._events.clear()
        self._sequence = 0

    def take_events(self, now: float) -> list[CacheEvent]:
        """Return the events that are due, without the share that is lost."""
        due: list[CacheEvent] = []
        while self._events and self._events[0][0] <= now:
            event = self._events.popleft()[1]
            if self._random.random() >= self.event_loss_share:
                due.append(event)
        return due

    def _evict_over_capacity(self, now: float) -> None:
        excess = len(self._last_used) - self._parameters.memory_blocks
        if excess <= 0:
            return
        unpinned = (name for name in self._last_used if name not in self._pinned)
        for name in [name for name, _ in zip(unpinned, range(excess), strict=False)]:
            self._remove(name, now)

    def _remove(self, name: bytes, now: float) -> None:
        del self._last_used[name]
        del self._origins[name]
        self._emit(CacheEventKind.REMOVED, name, now)

    def _emit(self, kind: CacheEventKind, name: bytes, now: float) -> None:
        self._sequence += 1
        event = CacheEvent(self._sequence, kind, name)
        self._events.append((now + self._parameters.event_lag_seconds, event))
