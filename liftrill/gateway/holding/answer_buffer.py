"""Buffers the part of an answer that its caller has not read yet, sans-IO."""

from liftrill.gateway.holding.memory_budget import MemoryBudget, MemoryReservation

# For how long a full buffer may keep the node from reading its engine. Engines abort answers
# that are not read for some seconds, so the node ends the caller's connection before that.
MAX_FULL_S = 1.5
# Share of the budget that one answer may use, so that 32 stalled callers fill half of it.
MAX_ANSWER_SHARE = 1 / 64
# Most text streams are shorter than this, so their engines finish regardless of their callers.
MIN_LIMIT_BYTES = 65_536
# Larger chunks would only wait in the connection's own buffer.
WRITE_CHUNK_BYTES = 16_384


def answer_limit_bytes(budget: MemoryBudget) -> int:
    """Return how many bytes of one answer are read from its engine ahead of its caller."""
    return max(MIN_LIMIT_BYTES, int(budget.capacity_bytes * MAX_ANSWER_SHARE))


class AnswerBuffer:
    """A byte queue between an engine and a caller, accounted to the memory budget."""

    def __init__(self, budget: MemoryBudget, reservation: MemoryReservation) -> None:
        self._budget = budget
        self._reservation = reservation
        self._pending = bytearray()
        self._limit_bytes = answer_limit_bytes(budget)
        self._full_since: float | None = None

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether reading from the engine is paused until the caller reads."""
        return self._full_since is not None

    def add(self, data: bytes, unsent_bytes: int, now: float) -> None:
        """Add bytes from the engine; the connection's unsent bytes count towards the limit."""
        self._pending += data
        self._update_size(unsent_bytes, now)

    def take(self, unsent_bytes: int, now: float) -> bytes:
        """Remove and return the next chunk, which the connection holds as unsent from then on."""
        chunk = bytes(self._pending[:WRITE_CHUNK_BYTES])
        del self._pending[:WRITE_CHUNK_BYTES]
        self._update_size(unsent_bytes + len(chunk), now)
        return chunk

    def remaining_s(self, now: float) -> float:
        """Return for how long reading from the engine may still be paused."""
        if self._full_since is None:
            return MAX_FULL_S
        return max(0.0, self._full_since + MAX_FULL_S - now)

    def close(self) -> None:
        """Drop the buffered bytes and release their memory."""
        self._pending.clear()
        self._reservation.close()

    def _update_size(self, unsent_bytes: int, now: float) -> None:
        size_bytes = len(self._pending) + unsent_bytes
        if size_bytes <= self._limit_bytes:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        self._budget.grow_answer(self._reservation, size_bytes)
