"""The memory budget of a node for its callers, and the order of eviction, sans-IO."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

BYTES_PER_KILOBYTE = 1_024
# Share of the limit that remains free: for the HTTP library's buffers of a thousand connections,
# and the copy of one large body that is made while it is sent.
RESERVE_SHARE = 0.125
# Minimum capacity as a share of the limit, however much the process seems to use: freed memory is
# reused, but still counts as resident.
MIN_CAPACITY_SHARE = 0.125
# Bodies of at least this size are refused when the budget is full. Refusing a smaller one saves
# less memory than its connection uses.
LARGE_BODY_BYTES = 65_536
# Maximum share of the capacity for answers that wait for their callers, to leave memory for bodies.
MAX_ANSWERS_SHARE = 0.5
# Bodies that have been arriving for longer are evicted when memory is needed: they hold it for a
# single slow caller.
SLOW_BODY_S = 2.0
# Used shares of the capacity at which the budget becomes nearly full, and recovers.
NEARLY_FULL_SHARE = 0.9
RECOVERED_SHARE = 0.7


class Purpose(Enum):
    """The purpose for which bytes are held."""

    BODY_READ = "body_read"
    BODY_HELD = "body_held"
    ANSWER = "answer"


def _ignore_eviction() -> None:
    """Do nothing."""


class MemoryReservation:
    """The bytes that are held for one request and one purpose.

    Attributes:
        caller: the caller to which the bytes are accounted.
        opened_at: time on the steady clock, in seconds.
        held_bytes: 0 once closed.
        on_evicted: called when the budget evicts the bytes.
    """

    __slots__ = ("_budget", "_closed", "caller", "held_bytes", "on_evicted", "opened_at", "purpose")

    def __init__(
        self,
        budget: "MemoryBudget",
        purpose: Purpose,
        caller: str,
        opened_at: float,
        on_evicted: Callable[[], None],
    ) -> None:
        self._budget = budget
        self._closed = False
        self.purpose = purpose
        self.caller = caller
        self.opened_at = opened_at
        self.held_bytes = 0
        self.on_evicted = on_evicted

    def resize(self, held_bytes: int) -> None:
        """Set the number of held bytes; a closed reservation stays at none."""
        if self._closed:
            return
        self._budget.adjust(self.purpose, held_bytes - self.held_bytes)
        self.held_bytes = held_bytes

    def change_purpose(self, purpose: Purpose) -> None:
        """Account the same bytes to another purpose."""
        self._budget.adjust(self.purpose, -self.held_bytes)
        self._budget.adjust(purpose, self.held_bytes)
        self.purpose = purpose

    def close(self) -> None:
        """Release the bytes; closing again does nothing."""
        self.resize(0)
        self._closed = True
        self._budget.forget(self)


@dataclass(frozen=True, slots=True)
class BudgetState:
    """The state of a budget, as passed to on_pressure_change."""

    held_bytes: int
    capacity_bytes: int
    is_nearly_full: bool


class MemoryBudget:
    """Accounts for the bytes that one node holds, and evicts slow callers when they are too many.

    Attributes:
        limit_bytes: memory limit of the process, above which it is killed.
        held_bytes: held bytes of all purposes.
        on_pressure_change: called when the budget becomes nearly full, and when it recovers.
    """

    def __init__(self, limit_bytes: int, process_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.on_pressure_change: Callable[[BudgetState], None] | None = None
        self._process_bytes = process_bytes
        self._by_purpose = dict.fromkeys(Purpose, 0)
        self._reservations: dict[MemoryReservation, None] = {}
        self._is_nearly_full = False

    @property
    def capacity_bytes(self) -> int:
        """The number of bytes that may be held in all."""
        available = self.limit_bytes * (1.0 - RESERVE_SHARE) - self._process_bytes
        return int(max(available, self.limit_bytes * MIN_CAPACITY_SHARE))

    @property
    def free_bytes(self) -> int:
        """The number of bytes that may still be held; at least 1024, as peers take 0 as unknown."""
        return max(BYTES_PER_KILOBYTE, self.capacity_bytes - self.held_bytes)

    @property
    def is_nearly_full(self) -> bool:
        """Whether the budget is nearly full."""
        return self._is_nearly_full

    def held_for(self, purpose: Purpose) -> int:
        """Return the number of bytes held for a purpose."""
        return self._by_purpose[purpose]

    def has_room_for(self, more_bytes: int) -> bool:
        """Return whether that many more bytes may be held."""
        return self.held_bytes + more_bytes <= self.capacity_bytes

    def update_resident(self, resident_bytes: int) -> None:
        """Update from the resident memory of the process, which includes the held bytes."""
        self._process_bytes = max(0, resident_bytes - self.held_bytes)

    def reserve(
        self,
        purpose: Purpose,
        caller: str,
        now: float,
        on_evicted: Callable[[], None] = _ignore_eviction,
    ) -> MemoryReservation:
        """Return a new reservation, of no bytes yet."""
        reservation = MemoryReservation(self, purpose, caller, now, on_evicted)
        self._reservations[reservation] = None
        return reservation

    def try_grow_body(self, reservation: MemoryReservation, size_bytes: int, now: float) -> bool:
        """Resize the reservation of a body; return False for a large one without room."""
        more_bytes = size_bytes - reservation.held_bytes
        if size_bytes >= LARGE_BODY_BYTES and not self._make_room(reservation, more_bytes, now):
            return False
        reservation.resize(size_bytes)
        return True

    def grow_answer(self, reservation: MemoryReservation, size_bytes: int) -> None:
        """Resize the reservation of an answer; evict answers of the heaviest callers if needed."""
        reservation.resize(size_bytes)
        max_answer_bytes = int(self.capacity_bytes * MAX_ANSWERS_SHARE)
        while self._by_purpose[Purpose.ANSWER] > max_answer_bytes or not self.has_room_for(0):
            oldest = self._oldest_of_heaviest_caller()
            if oldest is None:
                return
            self._evict(oldest)

    def adjust(self, purpose: Purpose, more_bytes: int) -> None:
        """Add to the sums; called by reservations."""
        self._by_purpose[purpose] += more_bytes
        self.held_bytes += more_bytes
        threshold = RECOVERED_SHARE if self._is_nearly_full else NEARLY_FULL_SHARE
        is_nearly_full = self.held_bytes > threshold * self.capacity_bytes
        if is_nearly_full is not self._is_nearly_full:
            self._is_nearly_full = is_nearly_full
            if self.on_pressure_change is not None:
                state = BudgetState(self.held_bytes, self.capacity_bytes, is_nearly_full)
                self.on_pressure_change(state)

    def forget(self, reservation: MemoryReservation) -> None:
        """Remove a closed reservation; called by reservations."""
        self._reservations.pop(reservation, None)

    def _make_room(self, requesting: MemoryReservation, more_bytes: int, now: float) -> bool:
        """Return whether there is room, after evicting slow bodies if needed."""
        if self.has_room_for(more_bytes):
            return True
        for reservation in list(self._reservations):
            is_slow = (
                reservation.purpose is Purpose.BODY_READ
                and now - reservation.opened_at > SLOW_BODY_S
            )
            if is_slow and reservation is not requesting:
                self._evict(reservation)
                if self.has_room_for(more_bytes):
                    return True
        return False

    def _oldest_of_heaviest_caller(self) -> MemoryReservation | None:
        by_caller: dict[str, list[MemoryReservation]] = {}
        for reservation in self._reservations:
            if reservation.purpose is Purpose.ANSWER and reservation.held_bytes:
                by_caller.setdefault(reservation.caller, []).append(reservation)
        if not by_caller:
            return None
        # Reservations are stored in the order in which they were opened.
        return max(by_caller.values(), key=_total_bytes)[0]

    def _evict(self, reservation: MemoryReservation) -> None:
        reservation.close()
        reservation.on_evicted()


def _total_bytes(reservations: list[MemoryReservation]) -> int:
    return sum(reservation.held_bytes for reservation in reservations)
