"""How many bytes a node may hold for its callers, and who lets go first, sans-IO."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

KILOBYTE = 1_024
# What is kept free of the limit: the library's buffers of a thousand connections, and the copy
# of one large body that is made as it is sent.
RESERVE_SHARE = 0.125
# At least this share of the limit may be held, whatever the process seems to use: memory that
# was let go of is used again, but still counts as resident.
LEAST_SHARE = 0.125
# Bodies from here on are refused where the budget is spent; below it, refusing a request frees
# less than a connection costs.
LARGE_BODY_BYTES = 65_536
# Answers that wait for their callers take at most this share, so that bodies find room too.
ANSWERS_SHARE = 0.5
# Bodies that have been coming for longer give way where room is needed: they hold it for the
# sake of one slow caller.
TRICKLE_S = 2.0
# When the budget counts as nearly spent, and as well again.
SPENT_SHARE = 0.9
WELL_SHARE = 0.7


class Purpose(Enum):
    """For what bytes are held."""

    BODY_READ = "body_read"
    BODY_HELD = "body_held"
    ANSWER = "answer"


def _nothing() -> None:
    """Let nothing go."""


class MemoryReservation:
    """The bytes that are held for one request and one purpose.

    Attributes:
        caller: who makes the node hold them.
        since: on the steady clock, seconds.
        held_bytes: 0 after the end.
        let_go: ends what is held, where the budget asks for it.
    """

    __slots__ = ("_budget", "_closed", "caller", "held_bytes", "on_evicted", "purpose", "since")

    def __init__(
        self,
        budget: "MemoryBudget",
        purpose: Purpose,
        caller: str,
        since: float,
        let_go: Callable[[], None],
    ) -> None:
        self._budget = budget
        self._closed = False
        self.purpose = purpose
        self.caller = caller
        self.since = since
        self.held_bytes = 0
        self.on_evicted = let_go

    def resize(self, held_bytes: int) -> None:
        """Hold so many bytes from now on; what has ended holds none."""
        if self._closed:
            return
        self._budget.account(self.purpose, held_bytes - self.held_bytes)
        self.held_bytes = held_bytes

    def change_purpose(self, purpose: Purpose) -> None:
        """Hold the same bytes for another purpose."""
        self._budget.account(self.purpose, -self.held_bytes)
        self._budget.account(purpose, self.held_bytes)
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

    def __init__(self, limit_bytes: int, own_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.on_pressure_change: Callable[[BudgetState], None] | None = None
        self._own_bytes = own_bytes
        self._by_purpose = dict.fromkeys(Purpose, 0)
        self._holds: dict[MemoryReservation, None] = {}
        self._is_nearly_full = False

    @property
    def capacity_bytes(self) -> int:
        """How many bytes may be held in all."""
        left = self.limit_bytes * (1.0 - RESERVE_SHARE) - self._own_bytes
        return int(max(left, self.limit_bytes * LEAST_SHARE))

    @property
    def free_bytes(self) -> int:
        """How many bytes more may be held, a kilobyte at the least: 0 tells others nothing."""
        return max(KILOBYTE, self.capacity_bytes - self.held_bytes)

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
        self._own_bytes = max(0, resident_bytes - self.held_bytes)

    def reserve(
        self,
        purpose: Purpose,
        caller: str,
        now: float,
        let_go: Callable[[], None] = _nothing,
    ) -> MemoryReservation:
        """Begin to hold bytes, none at first."""
        hold = MemoryReservation(self, purpose, caller, now, let_go)
        self._holds[hold] = None
        return hold

    def try_grow_body(self, hold: MemoryReservation, size_bytes: int, now: float) -> bool:
        """Hold a body of a size, unless it is large and there is no room for it."""
        more_bytes = size_bytes - hold.held_bytes
        if size_bytes >= LARGE_BODY_BYTES and not self._make_room(hold, more_bytes, now):
            return False
        hold.resize(size_bytes)
        return True

    def grow_answer(self, hold: MemoryReservation, size_bytes: int) -> None:
        """Hold an answer of a size; where that is too much, the most wasteful caller loses one."""
        hold.resize(size_bytes)
        bound = int(self.capacity_bytes * ANSWERS_SHARE)
        while self._by_purpose[Purpose.ANSWER] > bound or not self.has_room_for(0):
            oldest = self._oldest_of_most_wasteful()
            if oldest is None:
                return
            self._end(oldest)

    def account(self, purpose: Purpose, more_bytes: int) -> None:
        """Change the sums; called by holds."""
        self._by_purpose[purpose] += more_bytes
        self.held_bytes += more_bytes
        bound = WELL_SHARE if self._is_nearly_full else SPENT_SHARE
        is_nearly_full = self.held_bytes > bound * self.capacity_bytes
        if is_nearly_full is not self._is_nearly_full:
            self._is_nearly_full = is_nearly_full
            if self.on_pressure_change is not None:
                state = BudgetState(self.held_bytes, self.capacity_bytes, is_nearly_full)
                self.on_pressure_change(state)

    def forget(self, hold: MemoryReservation) -> None:
        """Drop a hold that has ended; called by holds."""
        self._holds.pop(hold, None)

    def _make_room(self, wanted: MemoryReservation, more_bytes: int, now: float) -> bool:
        """Return whether there is room, after ending bodies that come too slowly."""
        if self.has_room_for(more_bytes):
            return True
        for hold in list(self._holds):
            trickles = hold.purpose is Purpose.BODY_READ and now - hold.since > TRICKLE_S
            if trickles and hold is not wanted:
                self._end(hold)
                if self.has_room_for(more_bytes):
                    return True
        return False

    def _oldest_of_most_wasteful(self) -> MemoryReservation | None:
        by_caller: dict[str, list[MemoryReservation]] = {}
        for hold in self._holds:
            if hold.purpose is Purpose.ANSWER and hold.held_bytes:
                by_caller.setdefault(hold.caller, []).append(hold)
        if not by_caller:
            return None
        # Holds are kept in the order in which they were opened.
        return max(by_caller.values(), key=_sum_of)[0]

    def _end(self, hold: MemoryReservation) -> None:
        hold.close()
        hold.on_evicted()


def _sum_of(holds: list[MemoryReservation]) -> int:
    return sum(hold.held_bytes for hold in holds)
