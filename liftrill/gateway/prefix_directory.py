"""Which shared prompt parts are in a kept store, as far as this node has seen or heard."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

# A part is told of for this long, so that a lost datagram or two do not matter.
NEWS_LIFETIME_S = 1.0
MOST_NEWS = 64


def part_number(salt: str, part_id: str) -> int:
    """Return a 64-bit name for a shared part under one cache salt, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{part_id}".encode())


@dataclass(frozen=True, slots=True)
class KeptNews:
    """Parts that were sent to a kept store lately: by this node, and by its zone."""

    own: tuple[int, ...] = ()
    zone: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _News:
    part: int
    noted_at: float
    own: bool


@dataclass(slots=True)
class PrefixDirectory:
    """Remembers, in bounded memory, the parts that were sent to a kept store.

    Attributes:
        capacity: how many parts are remembered.
        lifetime_seconds: after which a part is saved again: the store may have dropped it.
    """

    capacity: int = 4_096
    lifetime_seconds: float = 20.0
    _saved_at: OrderedDict[int, float] = field(default_factory=OrderedDict)
    _news: deque[_News] = field(default_factory=lambda: deque(maxlen=MOST_NEWS))

    def is_saved(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part."""
        saved_at = self._saved_at.get(part)
        return saved_at is not None and now - saved_at < self.lifetime_seconds

    def record_saved(self, part: int, now: float, worth_telling: bool) -> None:
        """Note that an engine of this node's request sends a part to the store."""
        self._remember(part, now)
        if worth_telling:
            self._news.append(_News(part, now, own=True))

    def hear(self, parts: Iterable[int], now: float, of_zone: bool) -> None:
        """Note parts that other nodes saved, and pass on those of the own zone."""
        for part in parts:
            if self.is_saved(part, now):
                continue
            self._remember(part, now)
            if of_zone:
                self._news.append(_News(part, now, own=False))

    def news(self, now: float) -> KeptNews:
        """Return what to tell other nodes."""
        while self._news and now - self._news[0].noted_at > NEWS_LIFETIME_S:
            self._news.popleft()
        own = tuple(row.part for row in self._news if row.own)
        return KeptNews(own, tuple(row.part for row in self._news))

    def _remember(self, part: int, now: float) -> None:
        self._saved_at[part] = now
        self._saved_at.move_to_end(part)
        if len(self._saved_at) > self.capacity:
            self._saved_at.popitem(last=False)
