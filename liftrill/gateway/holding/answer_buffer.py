"""The part of an answer that its caller has not taken yet, sans-IO."""

from liftrill.gateway.holding.memory_budget import MemoryBudget, MemoryReservation

# An engine cuts an answer that nobody reads for some seconds: a caller that makes the node stop
# reading for so long loses the rest, before the engine counts it as unread.
MAX_FULL_S = 1.5
# An answer may take this share of the budget, so that 32 callers at a standstill fill half of it.
MAX_ANSWER_SHARE = 1 / 64
# Streams of text are mostly shorter than this: an engine is done with them whatever their
# callers read.
MIN_LIMIT_BYTES = 65_536
# Longer pieces would only lie in the connection's own buffer.
WRITE_CHUNK_BYTES = 16_384


def answer_limit_bytes(budget: MemoryBudget) -> int:
    """Return how much of one answer is taken from its engine before its caller takes it."""
    return max(MIN_LIMIT_BYTES, int(budget.capacity_bytes * MAX_ANSWER_SHARE))


class AnswerBuffer:
    """Bytes in the order in which they came, with the account of what is held."""

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
        """Whether the engine is not to be read until the caller takes some."""
        return self._full_since is not None

    def add(self, data: bytes, unsent_bytes: int, now: float) -> None:
        """Take in what an engine sent, beside what the connection holds unsent."""
        self._pending += data
        self._update_size(unsent_bytes, now)

    def take(self, unsent_bytes: int, now: float) -> bytes:
        """Return the next bytes to pass on; the connection holds them from then on."""
        chunk = bytes(self._pending[:WRITE_CHUNK_BYTES])
        del self._pending[:WRITE_CHUNK_BYTES]
        self._update_size(unsent_bytes + len(chunk), now)
        return chunk

    def remaining_s(self, now: float) -> float:
        """Return for how long the caller may still keep the node from reading its engine."""
        if self._full_since is None:
            return MAX_FULL_S
        return max(0.0, self._full_since + MAX_FULL_S - now)

    def close(self) -> None:
        """Let go of what is left."""
        self._pending.clear()
        self._reservation.close()

    def _update_size(self, unsent_bytes: int, now: float) -> None:
        size_bytes = len(self._pending) + unsent_bytes
        if size_bytes <= self._limit_bytes:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        self._budget.grow_answer(self._reservation, size_bytes)
