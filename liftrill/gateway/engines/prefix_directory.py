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
UPDATE_LIFETIME_S = 1.0
MAX_UPDATES = 256
# Peers are told again that an engine holds a part after this share of the time it does
# (guess).
REANNOUNCE_SHARE = 0.5
# Peers count from when they hear it, so it is told for this share of that time alone
# (guess).
ANNOUNCE_SHARE = 0.25


def part_number(salt: str, part_id: str) -> int:
    """Return a 64-bit name for a shared part under one cache salt, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{part_id}".encode())


class PartStage(Enum):
    """What an engine has done with a shared part."""

    BEING_READ = auto()
    HELD = auto()
    SAVED = auto()


@dataclass(frozen=True, slots=True)
class PartLocation:
    """A shared part, and the engine that reads it, holds it, or has also saved it."""

    part: int
    engine: int
    stage: PartStage = PartStage.SAVED


@dataclass(frozen=True, slots=True)
class PartUpdates:
    """Parts that engines read or used lately: for this node, and for its zone."""

    own: tuple[PartLocation, ...] = ()
    zone: tuple[PartLocation, ...] = ()


@dataclass(frozen=True, slots=True)
class _PendingUpdate:
    location: PartLocation
    recorded_at: float
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
        store_delay_s: after which a part that was sent to a store has arrived there.
        reading_lifetime_s: for how long an engine is taken to read a part.
        held_s: for how long an engine still holds what it used.
    """

    capacity: int = 4_096
    lifetime_s: float = 20.0
    store_delay_s: float = constants.KEPT_SETTLE_S
    reading_lifetime_s: float = constants.READING_S
    held_s: float = constants.KEPT_HOLDER_S
    _entries: OrderedDict[int, _Entry] = field(default_factory=OrderedDict)
    _pending: deque[_PendingUpdate] = field(default_factory=lambda: deque(maxlen=MAX_UPDATES))

    def is_saved(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part, or to get it."""
        entry = self._entries.get(part)
        return entry is not None and now - entry.saved_at < self.lifetime_s

    def is_stored(self, part: int, now: float) -> bool:
        """Return whether a store is believed to have a part by now."""
        entry = self._entries.get(part)
        return entry is not None and now >= entry.stored_at and self.is_saved(part, now)

    def reader(self, part: int, now: float) -> int:
        """Return the engine that is believed to read a part now, or 0."""
        entry = self._entries.get(part)
        if entry is None or entry.was_read or now - entry.used_at >= self.reading_lifetime_s:
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
        self._record_and_announce(PartLocation(part, engine, PartStage.BEING_READ), now, own=True)

    def record_read(
        self, part: int, engine: int, now: float, *, saved: bool, announce: bool
    ) -> None:
        """Note that an engine runs a prompt with a part, and saves it if it was told to."""
        location = PartLocation(part, engine, PartStage.SAVED if saved else PartStage.HELD)
        if announce and (saved or self._is_new(location, now)):
            self._record_and_announce(location, now, own=True)
        else:
            self._remember(location, now)

    def _is_new(self, location: PartLocation, now: float) -> bool:
        """Return whether peers need to be told that an engine holds a part."""
        entry = self._entries.get(location.part)
        if entry is None or not entry.was_read or entry.engine != location.engine:
            return True
        return now - entry.used_at >= REANNOUNCE_SHARE * self.held_s

    def apply_updates(
        self, locations: Iterable[PartLocation], now: float, of_own_zone: bool
    ) -> None:
        """Note what other nodes tell, and pass on what those of the own zone do."""
        for location in locations:
            if self._is_known(location, now):
                continue
            if of_own_zone:
                self._record_and_announce(location, now, own=False)
            else:
                self._remember(location, now)

    def _is_known(self, location: PartLocation, now: float) -> bool:
        if location.stage is PartStage.SAVED:
            return self.is_saved(location.part, now)
        if location.stage is PartStage.HELD:
            return not self._is_new(location, now)
        known = self.holder(location.part, now) or self.reader(location.part, now)
        return known != 0 or self.is_saved(location.part, now)

    def _record_and_announce(self, location: PartLocation, now: float, own: bool) -> None:
        self._remember(location, now)
        self._pending.append(_PendingUpdate(location, now, own))

    def updates(self, now: float) -> PartUpdates:
        """Return what to tell other nodes."""
        while self._pending and now - self._pending[0].recorded_at > UPDATE_LIFETIME_S:
            self._pending.popleft()
        rows = [row for row in self._pending if self._is_announced(row, now)]
        own = tuple(row.location for row in rows if row.own)
        return PartUpdates(own, tuple(row.location for row in rows))

    def _is_announced(self, row: _PendingUpdate, now: float) -> bool:
        """Return whether what a row tells is still young beside how long it holds."""
        if row.location.stage is not PartStage.HELD:
            return True
        return now - row.recorded_at <= ANNOUNCE_SHARE * self.held_s

    def _remember(self, location: PartLocation, now: float) -> None:
        entry = self._entries.setdefault(location.part, _Entry())
        entry.engine = location.engine
        entry.used_at = now
        entry.was_read = location.stage is not PartStage.BEING_READ
        if location.stage is PartStage.SAVED:
            self._note_saved(entry, now)
        self._entries.move_to_end(location.part)
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)

    def _note_saved(self, entry: _Entry, now: float) -> None:
        """Note that a part is sent to a store, which may have it already."""
        if now - entry.saved_at >= self.lifetime_s:
            entry.stored_at = now + self.store_delay_s
        entry.saved_at = now
