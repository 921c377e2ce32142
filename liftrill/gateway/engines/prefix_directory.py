"""Where shared prompt parts are kept, as far as this node has seen or heard.

A part is read by an engine, is then held in that engine's memory for some seconds, and
may be saved to a kept store.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

import xxhash

from liftrill import constants

# A part is told of for this long, so that a lost datagram or two do not matter.
NEWS_LIFETIME_S = 1.0
MOST_NEWS = 256
# Peers are told again that an engine holds a part after this share of the time it does
# (guess).
RETELL_SHARE = 0.5
# Peers count from when they hear it, so it is told for this share of that time alone
# (guess).
TOLD_SHARE = 0.25


def part_number(salt: str, part_id: str) -> int:
    """Return a 64-bit name for a shared part under one cache salt, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{part_id}".encode())


class PartStage(Enum):
    """What an engine has done with a shared part."""

    BEING_READ = auto()
    HELD = auto()
    SAVED = auto()


@dataclass(frozen=True, slots=True)
class KeptPart:
    """A shared part, and the engine that reads it, holds it, or has also saved it."""

    part: int
    engine: int
    stage: PartStage = PartStage.SAVED


@dataclass(frozen=True, slots=True)
class KeptNews:
    """Parts that engines read or used lately: for this node, and for its zone."""

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
        stored_at: since when a store has it, as far as it was sent there.
        engine: the engine that reads it, or used it last, or 0.
        used_at: when that engine did.
        was_read: whether the engine has it whole.
    """

    saved_at: float = -math.inf
    stored_at: float = math.inf
    engine: int = 0
    used_at: float = -math.inf
    was_read: bool = False


@dataclass(slots=True)
class PrefixDirectory:
    """Remembers, in bounded memory, what became of shared parts.

    Attributes:
        capacity: how many parts are remembered.
        lifetime_s: after which a part is saved again: the store may have dropped it.
        settle_s: after which a part that was sent to a store has arrived there.
        reading_s: for how long an engine is taken to read a part.
        held_s: for how long an engine still holds what it used.
    """

    capacity: int = 4_096
    lifetime_s: float = 20.0
    settle_s: float = constants.PREFIX_SAVE_SETTLE_S
    reading_s: float = constants.ASSUMED_PREFILL_S
    held_s: float = constants.INITIAL_CACHE_RETENTION_S
    _entries: OrderedDict[int, _Entry] = field(default_factory=OrderedDict)
    _news: deque[_News] = field(default_factory=lambda: deque(maxlen=MOST_NEWS))

    def is_saved(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part, or to get it."""
        entry = self._entries.get(part)
        return entry is not None and now - entry.saved_at < self.lifetime_s

    def is_settled(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part by now."""
        entry = self._entries.get(part)
        return entry is not None and now >= entry.stored_at and self.is_saved(part, now)

    def reader(self, part: int, now: float) -> int:
        """Return the engine that is believed to read a part now, or 0."""
        entry = self._entries.get(part)
        if entry is None or entry.was_read or now - entry.used_at >= self.reading_s:
            return 0
        return entry.engine

    def holder(self, part: int, now: float) -> int:
        """Return the engine that is believed to hold a part in its own memory, or 0."""
        entry = self._entries.get(part)
        if entry is None or not entry.was_read or now - entry.used_at >= self.held_s:
            return 0
        return entry.engine

    def record_reading(self, part: int, engine: int, now: float) -> None:
        """Note that an engine is about to read a part, and tell of it."""
        self._take(KeptPart(part, engine, PartStage.BEING_READ), now, own=True)

    def record_read(
        self, part: int, engine: int, now: float, *, saved: bool, worth_telling: bool
    ) -> None:
        """Note that an engine runs a prompt with a part, and saves it if it was told to."""
        kept = KeptPart(part, engine, PartStage.SAVED if saved else PartStage.HELD)
        if worth_telling and (saved or self._is_news(kept, now)):
            self._take(kept, now, own=True)
        else:
            self._remember(kept, now)

    def _is_news(self, kept: KeptPart, now: float) -> bool:
        """Return whether peers need to be told that an engine holds a part."""
        entry = self._entries.get(kept.part)
        if entry is None or not entry.was_read or entry.engine != kept.engine:
            return True
        return now - entry.used_at >= RETELL_SHARE * self.held_s

    def hear(self, news: Iterable[KeptPart], now: float, of_zone: bool) -> None:
        """Note what other nodes tell, and pass on what those of the own zone do."""
        for kept in news:
            if self._is_old(kept, now):
                continue
            if of_zone:
                self._take(kept, now, own=False)
            else:
                self._remember(kept, now)

    def _is_old(self, kept: KeptPart, now: float) -> bool:
        if kept.stage is PartStage.SAVED:
            return self.is_saved(kept.part, now)
        if kept.stage is PartStage.HELD:
            return not self._is_news(kept, now)
        known = self.holder(kept.part, now) or self.reader(kept.part, now)
        return known != 0 or self.is_saved(kept.part, now)

    def _take(self, kept: KeptPart, now: float, own: bool) -> None:
        self._remember(kept, now)
        self._news.append(_News(kept, now, own))

    def news(self, now: float) -> KeptNews:
        """Return what to tell other nodes."""
        while self._news and now - self._news[0].noted_at > NEWS_LIFETIME_S:
            self._news.popleft()
        rows = [row for row in self._news if self._is_told(row, now)]
        own = tuple(row.kept for row in rows if row.own)
        return KeptNews(own, tuple(row.kept for row in rows))

    def _is_told(self, row: _News, now: float) -> bool:
        """Return whether what a row tells is still young beside how long it holds."""
        if row.kept.stage is not PartStage.HELD:
            return True
        return now - row.noted_at <= TOLD_SHARE * self.held_s

    def _remember(self, kept: KeptPart, now: float) -> None:
        entry = self._entries.setdefault(kept.part, _Entry())
        entry.engine = kept.engine
        entry.used_at = now
        entry.was_read = kept.stage is not PartStage.BEING_READ
        if kept.stage is PartStage.SAVED:
            self._note_saved(entry, now)
        self._entries.move_to_end(kept.part)
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)

    def _note_saved(self, entry: _Entry, now: float) -> None:
        """Note that a part is sent to a store, which may have it already."""
        if now - entry.saved_at >= self.lifetime_s:
            entry.stored_at = now + self.settle_s
        entry.saved_at = now
