"""Directory of cached shared prompt parts, as observed by this node or reported by peers.

An engine prefills a part, then caches it in memory for some seconds, and may save it to a prefix
store.
"""

import itertools
import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

import xxhash

from liftrill import constants
from liftrill.gateway.opaque_request import PromptPart, PromptShape

# Updates are sent repeatedly for this long, so that one or two lost datagrams do not matter.
UPDATE_LIFETIME_S = 1.0
MAX_UPDATES = 256
# A held part is announced again after this share of the time that engines hold parts.
REANNOUNCE_SHARE = 0.5
# A held part is announced only for this share of that time, since peers count the whole time from
# the moment they receive the announcement.
ANNOUNCE_SHARE = 0.25


def part_number(salt: str, part_id: str) -> int:
    """Return the 64-bit hash of a shared part under one cache salt, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(f"{salt}\0{part_id}".encode())


class PartStage(Enum):
    """Progress of an engine with a shared part."""

    BEING_PREFILLED = auto()
    HELD = auto()
    SAVED = auto()


@dataclass(frozen=True, slots=True)
class PartLocation:
    """A shared part and the engine that prefills, holds or has saved it."""

    part: int
    engine: int
    stage: PartStage = PartStage.SAVED


@dataclass(frozen=True, slots=True)
class PartUpdates:
    """Recent updates to send: those of this node, and those of all nodes of its zone."""

    own: tuple[PartLocation, ...] = ()
    zone: tuple[PartLocation, ...] = ()


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Locations of the shared parts of a prompt, as known to one node.

    Attributes:
        cached_parts: number of leading parts that can be fetched from one place.
        cached_tokens: tokens of these parts.
        prefilling_engine: number of the engine that is prefilling the next part, or 0.
        holder: number of the engine that holds all parts in memory, or 0.
        saved: whether all parts are in a store or on their way there.
    """

    cached_parts: int = 0
    cached_tokens: int = 0
    prefilling_engine: int = 0
    holder: int = 0
    saved: bool = False


NOTHING_CACHED = SharedParts()


@dataclass(frozen=True, slots=True)
class _PendingUpdate:
    location: PartLocation
    recorded_at: float
    own: bool


@dataclass(slots=True)
class _Entry:
    """Known state of one part.

    Attributes:
        saved_at: time when the part was last sent to a store, or minus infinity.
        stored_at: time from which a store has the part.
        engine: number of the engine that prefills the part or used it last, or 0.
        used_at: time of that prefill or use.
        was_prefilled: whether the engine has prefilled the complete part.
    """

    saved_at: float = -math.inf
    stored_at: float = math.inf
    engine: int = 0
    used_at: float = -math.inf
    was_prefilled: bool = False


@dataclass(slots=True)
class PrefixDirectory:
    """Remembers the state of shared parts in bounded memory.

    Attributes:
        capacity: maximum number of parts.
        lifetime_s: time after which a part is saved again, since the store may have dropped it.
        store_delay_s: time that a part takes to reach the store.
        prefill_lifetime_s: time for which an engine is assumed to prefill a part.
        held_s: time for which an engine is assumed to hold a part after its last use.
    """

    capacity: int = 4_096
    lifetime_s: float = 20.0
    store_delay_s: float = constants.PREFIX_SAVE_SETTLE_S
    prefill_lifetime_s: float = constants.ASSUMED_PREFILL_S
    held_s: float = constants.INITIAL_CACHE_RETENTION_S
    _entries: OrderedDict[int, _Entry] = field(default_factory=OrderedDict)
    _pending: deque[_PendingUpdate] = field(default_factory=lambda: deque(maxlen=MAX_UPDATES))

    def is_saved(self, part: int, now: float) -> bool:
        """Return whether a store is assumed to have a part, or to receive it now."""
        entry = self._entries.get(part)
        return entry is not None and now - entry.saved_at < self.lifetime_s

    def is_stored(self, part: int, now: float) -> bool:
        """Return whether a store is assumed to have a part already."""
        entry = self._entries.get(part)
        return entry is not None and now >= entry.stored_at and self.is_saved(part, now)

    def prefilling_engine(self, part: int, now: float) -> int:
        """Return the number of the engine that is assumed to prefill a part now, or 0."""
        entry = self._entries.get(part)
        if entry is None or entry.was_prefilled or now - entry.used_at >= self.prefill_lifetime_s:
            return 0
        return entry.engine

    def holder(self, part: int, now: float) -> int:
        """Return the number of the engine that is assumed to hold a part in memory, or 0."""
        entry = self._entries.get(part)
        if entry is None or not entry.was_prefilled or now - entry.used_at >= self.held_s:
            return 0
        return entry.engine

    def record_prefill_start(self, part: int, engine: int, now: float) -> None:
        """Record and announce that an engine is about to prefill a part."""
        self._record_and_announce(
            PartLocation(part, engine, PartStage.BEING_PREFILLED), now, own=True
        )

    def record_prefill(
        self, part: int, engine: int, now: float, *, saved: bool, announce: bool
    ) -> None:
        """Record that an engine has prefilled a part, and whether it saves the part."""
        location = PartLocation(part, engine, PartStage.SAVED if saved else PartStage.HELD)
        if announce and (saved or self._is_new(location, now)):
            self._record_and_announce(location, now, own=True)
        else:
            self._remember(location, now)

    def _is_new(self, location: PartLocation, now: float) -> bool:
        """Return whether an engine's copy of a part must be announced to peers."""
        entry = self._entries.get(location.part)
        if entry is None or not entry.was_prefilled or entry.engine != location.engine:
            return True
        return now - entry.used_at >= REANNOUNCE_SHARE * self.held_s

    def apply_updates(
        self, locations: Iterable[PartLocation], now: float, of_own_zone: bool
    ) -> None:
        """Apply updates of other nodes, and pass on those of the own zone."""
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
        known = self.holder(location.part, now) or self.prefilling_engine(location.part, now)
        return known != 0 or self.is_saved(location.part, now)

    def _record_and_announce(self, location: PartLocation, now: float, own: bool) -> None:
        self._remember(location, now)
        self._pending.append(_PendingUpdate(location, now, own))

    def updates(self, now: float) -> PartUpdates:
        """Return the updates to send to other nodes."""
        while self._pending and now - self._pending[0].recorded_at > UPDATE_LIFETIME_S:
            self._pending.popleft()
        rows = [row for row in self._pending if self._is_announced(row, now)]
        own = tuple(row.location for row in rows if row.own)
        return PartUpdates(own, tuple(row.location for row in rows))

    def _is_announced(self, row: _PendingUpdate, now: float) -> bool:
        """Return whether an update is still recent enough to announce."""
        if row.location.stage is not PartStage.HELD:
            return True
        return now - row.recorded_at <= ANNOUNCE_SHARE * self.held_s

    def _remember(self, location: PartLocation, now: float) -> None:
        entry = self._entries.setdefault(location.part, _Entry())
        entry.engine = location.engine
        entry.used_at = now
        entry.was_prefilled = location.stage is not PartStage.BEING_PREFILLED
        if location.stage is PartStage.SAVED:
            self._note_saved(entry, now)
        self._entries.move_to_end(location.part)
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)

    def _note_saved(self, entry: _Entry, now: float) -> None:
        """Record that a part was sent to a store, which may already have it."""
        if now - entry.saved_at >= self.lifetime_s:
            entry.stored_at = now + self.store_delay_s
        entry.saved_at = now


def find_shared_parts(
    directory: PrefixDirectory,
    salt: str,
    prompt: PromptShape,
    now: float,
    is_source: Callable[[int], bool],
) -> SharedParts:
    """Return the known locations of the shared parts of a prompt.

    An engine counts as a holder only if `is_source` returns true for its number.
    """
    parts = prompt.shared_parts
    if not parts:
        return NOTHING_CACHED
    numbers = [part_number(salt, part.part_id) for part in parts]
    saved = sum(1 for _ in itertools.takewhile(lambda n: _is_stored(directory, n, now), numbers))
    # An engine that holds only some of the parts may provide less than a store, which may have
    # more parts than this node knows.
    holder = directory.holder(numbers[-1], now)
    if not is_source(holder):
        holder = 0
    count = len(numbers) if holder else saved
    prefilling_engine = (
        directory.prefilling_engine(numbers[count], now) if count < len(numbers) else 0
    )
    all_saved = all(directory.is_saved(number, now) for number in numbers)
    return SharedParts(count, _tokens(parts[:count]), prefilling_engine, holder, all_saved)


def _is_stored(directory: PrefixDirectory, number: int, now: float) -> bool:
    """Return whether a part can be fetched from a store by the time an engine requests it."""
    if directory.is_stored(number, now):
        return True
    return directory.is_saved(number, now) and directory.holder(number, now) != 0


def _tokens(parts: tuple[PromptPart, ...]) -> int:
    return sum(part.tokens for part in parts)
