"""Rumours: versioned records that are piggybacked on gossip messages a limited number of times.

A record replaces another one of the same key if its version is higher. After a change, the record
is sent a number of times that is proportional to the logarithm of the number of members, as in
SWIM (Das, Gupta and Motivala, 2002). This reaches all members with high probability.
"""

import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar


class Comparable(Protocol):
    """A record version; any ordered value."""

    def __lt__(self, other: Any, /) -> bool: ...


Key = TypeVar("Key", bound=Hashable)
Record = TypeVar("Record")


@dataclass(slots=True)
class _Entry(Generic[Record]):
    version: Comparable
    record: Record


class RumourTable(Generic[Key, Record]):
    """The newest record of each key, and the records that are still to be sent.

    Attributes:
        change_count: the number of changes to the table.
    """

    def __init__(self, retransmission_factor: int) -> None:
        self.change_count = 0
        self._retransmission_factor = retransmission_factor
        self._entries: dict[Key, _Entry[Record]] = {}
        self._send_counts: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Record]:
        return iter([entry.record for entry in self._entries.values()])

    @property
    def pending(self) -> int:
        """The number of records that are still to be sent."""
        return len(self._send_counts)

    def get(self, key: Key) -> Record | None:
        """Return the newest record of a key."""
        entry = self._entries.get(key)
        return entry.record if entry else None

    def offer(self, key: Key, version: Comparable, record: Record, spread: bool = True) -> bool:
        """Store a record if it is newer than the known one, and return whether it is.

        A record from a snapshot is known to other members, so `spread` may be False for it.
        """
        entry = self._entries.get(key)
        if entry is not None and not entry.version < version:
            return False
        self._entries[key] = _Entry(version, record)
        self.change_count += 1
        self._send_counts.pop(key, None)
        if spread:
            self._send_counts[key] = 0
        return True

    def remove(self, key: Key) -> None:
        """Remove the record of a key."""
        self._entries.pop(key, None)
        self.change_count += 1
        self._send_counts.pop(key, None)

    def take(self, count: int, members: int) -> list[Record]:
        """Return up to `count` records to piggyback, those sent least often first."""
        chosen = sorted(self._send_counts, key=self._send_counts.__getitem__)[:count]
        limit = self._retransmission_factor * math.ceil(math.log2(members + 1))
        for key in chosen:
            self._send_counts[key] += 1
            if self._send_counts[key] >= limit:
                del self._send_counts[key]
        return [self._entries[key].record for key in chosen]
