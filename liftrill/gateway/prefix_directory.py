"""Which shared prompt parts are in a kept store, as far as this node has seen or heard."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from liftrill import constants

# A part is told of for this long, so that a lost datagram or two do not matter.
NEWS_LIFETIME_S = 1.0
MOST_NEWS = 256


def part_number(salt: str, part_id: str) -> int:
    """Return a 64-bit name for a shared part under one cache salt, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{part_id}".encode())


@dataclass(frozen=True, slots=True)
class KeptPart:
    """A shared part, and the engine that read it and sent it to a kept store.

    Attributes:
        being_read: whether the engine has only begun.
    """

    part: int
    engine: int
    being_read: bool = False


@dataclass(frozen=True, slots=True)
class KeptNews:
    """Parts that were sent to a kept store lately: by this node, and by its zone."""

    own: tuple[KeptPart, ...] = ()
    zone: tuple[KeptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class _News:
    kept: KeptPart
    noted_at: float
    own: bool


@dataclass(slots=True)
class _Entry:
    """What is known of one part.

    Attributes:
        saved_at: when it was last sent to a store, or minus infinity.
        engine: the engine that reads it, or used it last, or 0.
        used_at: when that engine did.
    """

    saved_at: float
    engine: int
    used_at: float


@dataclass(slots=True)
class PrefixDirectory:
    """Remembers, in bounded memory, the parts that were sent to a kept store.

    Attributes:
        capacity: how many parts are remembered.
        lifetime_s: after which a part is saved again: the store may have dropped it.
        settle_s: after which a part that was sent to a store has arrived there.
        holder_s: for how long an engine still holds what it used.
    """

    capacity: int = 4_096
    lifetime_s: float = 20.0
    settle_s: float = constants.KEPT_SETTLE_S
    holder_s: float = constants.KEPT_HOLDER_S
    _entries: OrderedDict[int, _Entry] = field(default_factory=OrderedDict)
    _news: deque[_News] = field(default_factory=lambda: deque(maxlen=MOST_NEWS))

    def is_saved(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part, or to get it."""
        entry = self._entries.get(part)
        return entry is not None and now - entry.saved_at < self.lifetime_s

    def is_settled(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part by now."""
        entry = self._entries.get(part)
        if entry is None:
            return False
        return self.settle_s <= now - entry.saved_at < self.lifetime_s

    def holder(self, part: int, now: float) -> int:
        """Return the engine that is believed to hold a part in its own memory, or 0."""
        entry = self._entries.get(part)
        if entry is None or now - entry.used_at >= self.holder_s:
            return 0
        return entry.engine

    def record_reading(self, part: int, engine: int, now: float) -> None:
        """Note that an engine is about to read a part, and tell of it."""
        self._take(KeptPart(part, engine, being_read=True), now, own=True)

    def record_saved(self, part: int, engine: int, now: float, worth_telling: bool) -> None:
        """Note that an engine has read a part, and sends it to the store."""
        kept = KeptPart(part, engine)
        if worth_telling:
            self._take(kept, now, own=True)
        else:
            self._remember(kept, now)

    def record_used(self, part: int, engine: int, now: float) -> None:
        """Note that an engine has begun to run a prompt with a part."""
        entry = self._entries.get(part)
        if entry is not None:
            entry.engine = engine
            entry.used_at = now

    def hear(self, news: Iterable[KeptPart], now: float, of_zone: bool) -> None:
        """Note parts that other nodes have read, and pass on those of the own zone."""
        for kept in news:
            if self._is_old(kept, now):
                continue
            if of_zone:
                self._take(kept, now, own=False)
            else:
                self._remember(kept, now)

    def _is_old(self, kept: KeptPart, now: float) -> bool:
        if kept.being_read:
            return self.is_saved(kept.part, now) or self.holder(kept.part, now) != 0
        return self.is_saved(kept.part, now)

    def _take(self, kept: KeptPart, now: float, own: bool) -> None:
        self._remember(kept, now)
        self._news.append(_News(kept, now, own))

    def news(self, now: float) -> KeptNews:
        """Return what to tell other nodes."""
        while self._news and now - self._news[0].noted_at > NEWS_LIFETIME_S:
            self._news.popleft()
        own = tuple(row.kept for row in self._news if row.own)
        return KeptNews(own, tuple(row.kept for row in self._news))

    def _remember(self, kept: KeptPart, now: float) -> None:
        saved_at = -math.inf if kept.being_read else now
        self._entries[kept.part] = _Entry(saved_at, kept.engine, now)
        self._entries.move_to_end(kept.part)
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)
