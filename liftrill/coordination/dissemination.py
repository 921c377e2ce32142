"""Rumours: versioned records that are piggybacked on gossip a bounded number of times.

A record replaces another of the same key when its version is higher. After a change it
is sent a few times the logarithm of the number of members, as in SWIM (Das, Gupta and
Motivala, 2002), which reaches all of them with high probability.
"""

import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar


class Comparable(Protocol):
    """A version: any ordered value."""

    def __lt__(self, other: Any, /) -> bool: ...


Key = TypeVar("Key", bound=Hashable)
Record = TypeVar("Record")


@dataclass(slots=True)
class _Entry(Generic[Record]):
    version: Comparable
    record: Record


class RumourTable(Generic[Key, Record]):
    """The newest record of each key, and which of them are still to be spread.

    Attributes:
        changes: how often a record was taken in or forgotten.
    """

    def __init__(self, retransmission_factor: int) -> None:
        self.changes = 0
        self._retransmission_factor = retransmission_factor
        self._entries: dict[Key, _Entry[Record]] = {}
        self._sent: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Record]:
        return iter([entry.record for entry in self._entries.values()])

    @property
    def pending(self) -> int:
        """The number of records that are still to be spread."""
        return len(self._sent)

    def get(self, key: Key) -> Record | None:
        """Return the newest record of a key."""
        entry = self._entries.get(key)
        return entry.record if entry else None

    def offer(self, key: Key, version: Comparable, record: Record, spread: bool = True) -> bool:
        """Take in a record; True if it is newer than what was known.

        What came in a snapshot is known to others and need not be spread again.
        """
        entry = self._entries.get(key)
        if entry is not None and not entry.version < version:
            return False
        self._entries[key] = _Entry(version, record)
        self.changes += 1
        self._sent.pop(key, None)
        if spread:
            self._sent[key] = 0
        return True

    def remove(self, key: Key) -> None:
        """Forget a key."""
        self._entries.pop(key, None)
        self.changes += 1
        self._sent.pop(key, None)

    def take(self, count: int, members: int) -> list[Record]:
        """Return up to `count` records to piggyback, the least sent first."""
        chosen = sorted(self._sent, key=self._sent.__getitem__)[:count]
        limit = self._retransmission_factor * math.ceil(math.log2(members + 1))
        for key in chosen:
            self._sent[key] += 1
            if self._sent[key] >= limit:
                del self._sent[key]
        return [self._entries[key].record for key in chosen]
