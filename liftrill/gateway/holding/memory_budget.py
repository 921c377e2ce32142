"""How many bytes a node may hold for its callers, and who lets go first, sans-IO."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

BYTES_PER_KILOBYTE = 1_024
# What is kept free of the limit: the library's buffers of a thousand connections, and the copy
# of one large body that is made as it is sent.
RESERVE_SHARE = 0.125
# At least this share of the limit may be held, whatever the process seems to use: memory that
# was let go of is used again, but still counts as resident.
MIN_CAPACITY_SHARE = 0.125
# Bodies from here on are refused where the budget is spent; below it, refusing a request frees
# less than a connection costs.
LARGE_BODY_BYTES = 65_536
# Answers that wait for their callers take at most this share, so that bodies find room too.
MAX_ANSWERS_SHARE = 0.5
# Bodies that have been coming for longer give way where room is needed: they hold it for the
# sake of one slow caller.
SLOW_BODY_S = 2.0
# When the budget counts as nearly spent, and as well again.
NEARLY_FULL_SHARE = 0.9
RECOVERED_SHARE = 0.7


class Purpose(Enum):
    """For what bytes are held."""

    BODY_READ = "body_read"
    BODY_HELD = "body_held"
    ANSWER = "answer"


def _ignore_eviction() -> None:
    """Let nothing go."""


class MemoryReservation:
    """The bytes that are held for one request and one purpose.

    Attributes:
        caller: who makes the node hold them.
        since: on the steady clock, seconds.
        held_bytes: 0 after the end.
        let_go: ends what is held, where the budget asks for it.
    """

    __slots__ = ("_budget", "_closed", "caller", "held_bytes", "on_evicted", "opened_at", "purpose")

    def __init__(
        self,
        budget: "MemoryBudget",
        purpose: Purpose,
        caller: str,
        opened_at: float,
        let_go: Callable[[], None],
    ) -> None:
        self._budget = budget
        self._closed = False
        self.purpose = purpose
        self.caller = caller
        self.opened_at = opened_at
        self.held_bytes = 0
        self.on_evicted = let_go

    def resize(self, held_bytes: int) -> None:
        """Hold so many bytes from now on; what has ended holds none."""
        if self._closed:
            return
        self._budget.adjust(self.purpose, held_bytes - self.held_bytes)
        self.held_bytes = held_bytes

    def change_purpose(self, purpose: Purpose) -> None:
        """Hold the same bytes for another purpose."""
        self._budget.adjust(self.purpose, -self.held_bytes)
        self._budget.adjust(purpose, self.held_bytes)
        self.purpose = purpose

    def close(self) -> None:
        """Hold nothing any more; closing again does nothing."""
        self.resize(0)
        self._closed = True
        self._budget.forget(self)


@dataclass(frozen=True, slots=True)
class BudgetState:
    """What a listener is told of a budget."""

    held_bytes: int
    capacity_bytes: int
    is_nearly_full: bool


class MemoryBudget:
    """The accounts of one node.

    Attributes:
        limit_bytes: a process that takes more is killed.
        held_bytes: of all purposes.
        on_pressure_change: told when the budget is nearly spent, and when it is well again.
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
        """How many bytes may be held in all."""
        left = self.limit_bytes * (1.0 - RESERVE_SHARE) - self._process_bytes
        return int(max(left, self.limit_bytes * MIN_CAPACITY_SHARE))

    @property
    def free_bytes(self) -> int:
        """How many bytes more may be held, a kilobyte at the least: 0 tells others nothing."""
        return max(BYTES_PER_KILOBYTE, self.capacity_bytes - self.held_bytes)

    @property
    def is_nearly_full(self) -> bool:
        """Whether little is left."""
        return self._is_nearly_full

    def held_for(self, purpose: Purpose) -> int:
        """Return the bytes that are held for a purpose."""
        return self._by_purpose[purpose]

    def has_room_for(self, more_bytes: int) -> bool:
        """Return whether so many bytes more may be held."""
        return self.held_bytes + more_bytes <= self.capacity_bytes

    def note_resident(self, resident_bytes: int) -> None:
        """Take in what the process uses in all, what is held included."""
        self._process_bytes = max(0, resident_bytes - self.held_bytes)

    def reserve(
        self,
        purpose: Purpose,
        caller: str,
        now: float,
        let_go: Callable[[], None] = _ignore_eviction,
    ) -> MemoryReservation:
        """Begin to hold bytes, none at first."""
        reservation = MemoryReservation(self, purpose, caller, now, let_go)
        self._reservations[reservation] = None
        return reservation

    def try_grow_body(self, reservation: MemoryReservation, size_bytes: int, now: float) -> bool:
        """Hold a body of a size, unless it is large and there is no room for it."""
        more_bytes = size_bytes - reservation.held_bytes
        if size_bytes >= LARGE_BODY_BYTES and not self._make_room(reservation, more_bytes, now):
            return False
        reservation.resize(size_bytes)
        return True

    def grow_answer(self, reservation: MemoryReservation, size_bytes: int) -> None:
        """Hold an answer of a size; where that is too much, the most wasteful caller loses one."""
        reservation.resize(size_bytes)
        bound = int(self.capacity_bytes * MAX_ANSWERS_SHARE)
        while self._by_purpose[Purpose.ANSWER] > bound or not self.has_room_for(0):
            oldest = self._oldest_of_heaviest_caller()
            if oldest is None:
                return
            self._evict(oldest)

    def adjust(self, purpose: Purpose, more_bytes: int) -> None:
        """Change the sums; called by holds."""
        self._by_purpose[purpose] += more_bytes
        self.held_bytes += more_bytes
        bound = RECOVERED_SHARE if self._is_nearly_full else NEARLY_FULL_SHARE
        is_nearly_full = self.held_bytes > bound * self.capacity_bytes
        if is_nearly_full is not self._is_nearly_full:
            self._is_nearly_full = is_nearly_full
            if self.on_pressure_change is not None:
                state = BudgetState(self.held_bytes, self.capacity_bytes, is_nearly_full)
                self.on_pressure_change(state)

    def forget(self, reservation: MemoryReservation) -> None:
        """Drop a hold that has ended; called by holds."""
        self._reservations.pop(reservation, None)

    def _make_room(self, wanted: MemoryReservation, more_bytes: int, now: float) -> bool:
        """Return whether there is room, after ending bodies that come too slowly."""
        if self.has_room_for(more_bytes):
            return True
        for reservation in list(self._reservations):
            is_slow = (
                reservation.purpose is Purpose.BODY_READ
                and now - reservation.opened_at > SLOW_BODY_S
            )
            if is_slow and reservation is not wanted:
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
        # Holds are kept in the order in which they were opened.
        return max(by_caller.values(), key=_total_bytes)[0]

    def _evict(self, reservation: MemoryReservation) -> None:
        reservation.close()
        reservation.on_evicted()


def _total_bytes(holds: list[MemoryReservation]) -> int:
    return sum(reservation.held_bytes for reservation in holds)
