"""Log of the latest changes of a store mirror, for replicas that follow it, sans-IO."""

from collections import deque
from dataclasses import dataclass, field

from liftrill.coordination.range_store import WatchBatch


@dataclass(frozen=True, slots=True)
class _Entry:
    """A batch and the position that a replica must have reached to apply it."""

    before: int
    batch: WatchBatch


@dataclass(slots=True)
class ChangeLog:
    """Keeps consecutive change batches.

    Attributes:
        capacity: the maximum number of changes kept.
        position: the position of a replica after the newest batch.
    """

    capacity: int = 256
    position: int = 0
    _entries: deque[_Entry] = field(default_factory=deque)
    _size: int = 0

    def append(self, batch: WatchBatch) -> None:
        """Append the batch that follows the newest one."""
        self._entries.append(_Entry(self.position, batch))
        self._size += len(batch.changes)
        self.position = max(self.position, batch.position)
        while self._size > self.capacity:
            self._size -= len(self._entries.popleft().batch.changes)

    def reset(self, position: int) -> None:
        """Drop all batches and start at a position; earlier changes are not available."""
        self._entries.clear()
        self._size = 0
        self.position = position

    def since(self, position: int) -> tuple[WatchBatch, ...] | None:
        """Return the batches after a position, or None if some were dropped."""
        if position >= self.position:
            return ()
        missing = [entry for entry in self._entries if entry.batch.position > position]
        if not missing or missing[0].before > position:
            return None
        return tuple(entry.batch for entry in missing)
