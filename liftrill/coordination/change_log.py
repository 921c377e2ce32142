"""The latest changes of a store's mirror, for copies that follow it, sans-IO."""

from collections import deque
from dataclasses import dataclass, field

from liftrill.coordination.range_store import WatchBatch


@dataclass(frozen=True, slots=True)
class _Entry:
    """A batch, and the revision that a copy must have reached before it."""

    before: int
    batch: WatchBatch


@dataclass(slots=True)
class ChangeLog:
    """Keep batches that follow each other without a gap.

    Attributes:
        capacity: the most changes that are kept.
        at: the revision that the newest batch brings a copy to.
    """

    capacity: int = 256
    position: int = 0
    _entries: deque[_Entry] = field(default_factory=deque)
    _size: int = 0

    def append(self, batch: WatchBatch) -> None:
        """Add a batch that follows the newest one."""
        self._entries.append(_Entry(self.position, batch))
        self._size += len(batch.changes)
        self.position = max(self.position, batch.position)
        while self._size > self.capacity:
            self._size -= len(self._entries.popleft().batch.changes)

    def reset(self, at: int) -> None:
        """Begin anew at a revision: what lies before is not known step by step."""
        self._entries.clear()
        self._size = 0
        self.position = at

    def since(self, at: int) -> tuple[WatchBatch, ...] | None:
        """Return the batches that a copy at a revision lacks, or None if they are gone."""
        if at >= self.position:
            return ()
        lacking = [entry for entry in self._entries if entry.batch.position > at]
        if not lacking or lacking[0].before > at:
            return None
        return tuple(entry.batch for entry in lacking)
