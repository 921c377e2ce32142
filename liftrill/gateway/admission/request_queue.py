"""The order in which requests of one service get the places that come free at engines, sans-IO.

Urgent requests come first. Among equally urgent ones those come first that were refused
before and came back when they were told to. Tenants take turns by the tokens that they were
let through, and of one tenant's requests the one comes first that has to begin earliest.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum

# After so many places in a row for more urgent requests of the line the next one is offered to
# others that wait, so that a line that never ends does not starve them. Requests that find room
# as they come are not counted.
MAX_DISPATCHES_IN_A_ROW = 8
# How many tenants' turns are remembered while none of their requests waits (100 bytes each).
MAX_IDLE_TENANTS = 256
# How fast places come free is averaged over the longest time that a request waits for one.
DRAIN_AVERAGE_S = 0.5
# After so many places how fast they come free is known well enough to refuse by it.
MIN_KNOWN_DISPATCHES = 8


class RetryStatus(IntEnum):
    """What is known of a caller that asks again; lower ones go first."""

    CAME_BACK = 0
    NEW = 1
    CAME_EARLY = 2


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """What a request waits with.

    Attributes:
        urgency: 0 is the most urgent.
        tokens: what it takes of engines, for its tenant's turn.
        latest_start: when it has to begin to be answered in its target's time.
        until: for how long it waits.
        needs_capacity: whether it waits for room, rather than for what engines don't offer yet.
    """

    urgency: int
    tenant: str
    tokens: int
    latest_start: float
    until: float
    since: float
    standing: RetryStatus = RetryStatus.NEW
    needs_capacity: bool = True


@dataclass(slots=True)
class _WakeRound:
    """One pass along the line: whom it asked, and whether it goes on once someone took a place."""

    everyone: bool
    woken: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the line.

    Attributes:
        number: rises with the time of arrival.
        wake_round: the round that asks it to try just now, or None.
        tried: how often room had changed when it last found none.
    """

    entry: QueueEntry
    number: int
    wake_round: _WakeRound | None = None
    tried_at_change: int = -1


@dataclass(slots=True)
class RequestQueue:
    """Who waits for engines of one service.

    Whoever is asked to try calls `took`, `found_no_capacity` or `leave`; each returns who is asked
    next, if anyone. So a place that comes free wakes one request, and is handed on until it is
    taken or nobody is left.
    """

    _waiters: dict[int, Waiter] = field(default_factory=dict)
    _next_number: int = 0
    _capacity_changes: int = 0
    _full_round_at: float = 0.0
    # Tokens that each tenant was let through, counted on from the least of those that waited.
    _virtual_times: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0
    _passed_over: dict[int, int] = field(default_factory=dict)
    _dispatches: float = 0.0
    _dispatches_at: float = 0.0

    def __len__(self) -> int:
        return len(self._waiters)

    def oldest_since(self) -> float | None:
        """Return since when the first of those that wait has waited, or None."""
        return min((w.entry.since for w in self._waiters.values()), default=None)

    def join(self, entry: QueueEntry) -> Waiter:
        """Put a request in the line, which found nothing just now or did not try."""
        tried_at_change = -1 if self.must_wait(entry.urgency) else self._capacity_changes
        waiter = Waiter(entry, self._next_number, tried_at_change=tried_at_change)
        # A tenant that was away saves up no turns.
        if all(other.entry.tenant != entry.tenant for other in self._waiters.values()):
            self._virtual_times[entry.tenant] = max(
                self._virtual_times.get(entry.tenant, 0.0), self._virtual_time
            )
        self._next_number += 1
        self._waiters[waiter.number] = waiter
        return waiter

    def start_untried_round(self) -> Waiter | None:
        """Return whom to ask where someone joined who did not try, lest nobody is asked."""
        if any(waiter.wake_round for waiter in self._waiters.values()):
            return None
        untried = any(
            waiter.tried_at_change < self._capacity_changes for waiter in self._waiters.values()
        )
        return self._wake_next(_WakeRound(everyone=False)) if untried else None

    def capacity_freed(self) -> Waiter | None:
        """Return whom to wake, now that a place came free."""
        self._capacity_changes += 1
        return self._wake_next(_WakeRound(everyone=False))

    def prompt_read(self, now: float) -> Waiter | None:
        """Return whom to wake, now that an engine has read a prompt.

        That frees a place, and is what all may have waited for that do not need room.
        """
        if all(waiter.entry.needs_capacity for waiter in self._waiters.values()):
            return self.capacity_freed()
        return self.start_full_round(now)

    def start_full_round(self, now: float) -> Waiter | None:
        """Return whom to ask first, where room may have changed unseen."""
        self._capacity_changes += 1
        self._full_round_at = now
        return self._wake_next(_WakeRound(everyone=True))

    def since_full_round_s(self, now: float) -> float:
        """Return how long ago all were asked."""
        return now - self._full_round_at

    def dispatched(self, waiter: Waiter, now: float) -> Waiter | None:
        """Note that a request has a place; return whom to ask next."""
        self._record_dispatch(waiter.entry, now)
        wake_round = self._remove(waiter)
        if wake_round is None or not wake_round.everyone:
            return None
        return self._wake_next(wake_round)

    def found_no_capacity(self, waiter: Waiter) -> Waiter | None:
        """Note that a request found no place; return whom to ask next."""
        waiter.tried_at_change = self._capacity_changes
        wake_round, waiter.wake_round = waiter.wake_round, None
        return self._wake_next(wake_round) if wake_round else None

    def leave(self, waiter: Waiter) -> Waiter | None:
        """Take a request out that waits no more; return whom to ask instead, if it was asked."""
        wake_round = self._remove(waiter)
        return self._wake_next(wake_round) if wake_round else None

    def must_wait(self, urgency: int, waiter: Waiter | None = None) -> bool:
        """Return whether a place that may be free is someone else's.

        Who found nothing since room last changed stands in nobody's way.
        """
        if waiter is not None and waiter.wake_round is not None:
            return False
        return any(
            other.tried_at_change < self._capacity_changes and other.entry.needs_capacity
            for other in self._waiters.values()
            if other is not waiter and self._is_before(other, urgency, waiter)
        )

    def wait_s(self, urgency: int, now: float) -> float:
        """Return how long it takes until those that go before a request have places."""
        ahead = sum(
            w.entry.urgency <= urgency and w.entry.needs_capacity for w in self._waiters.values()
        )
        drain_per_s = self._drain_per_s(now)
        if not ahead or drain_per_s * DRAIN_AVERAGE_S < MIN_KNOWN_DISPATCHES:
            return 0.0
        return ahead / drain_per_s

    def _is_before(self, other: Waiter, urgency: int, waiter: Waiter | None) -> bool:
        if waiter is None:
            return other.entry.urgency <= urgency
        return self._rank(other) < self._rank(waiter)

    def _remove(self, waiter: Waiter) -> _WakeRound | None:
        self._waiters.pop(waiter.number, None)
        wake_round, waiter.wake_round = waiter.wake_round, None
        self._prune_virtual_times()
        return wake_round

    def _wake_next(self, wake_round: _WakeRound) -> Waiter | None:
        waiting = [
            waiter
            for waiter in self._waiters.values()
            if waiter.wake_round is None and waiter.number not in wake_round.woken
        ]
        if not waiting:
            return None
        waiter = self._starved_waiter(waiting) or min(waiting, key=self._rank)
        wake_round.woken.add(waiter.number)
        waiter.wake_round = wake_round
        return waiter

    def _rank(self, waiter: Waiter) -> tuple[int, int, float, float, int]:
        entry = waiter.entry
        virtual_time = self._virtual_times.get(entry.tenant, self._virtual_time)
        return (entry.urgency, entry.standing, virtual_time, entry.latest_start, waiter.number)

    def _starved_waiter(self, waiting: list[Waiter]) -> Waiter | None:
        """Return the first of a kind that more urgent ones were long preferred to, or None."""
        starved = [
            w
            for w in waiting
            if self._passed_over.get(w.entry.urgency, 0) >= MAX_DISPATCHES_IN_A_ROW
        ]
        return min(starved, key=self._rank) if starved else None

    def _record_dispatch(self, entry: QueueEntry, now: float) -> None:
        self._virtual_time = max(self._virtual_time, self._virtual_times.get(entry.tenant, 0.0))
        self._virtual_times[entry.tenant] = (
            self._virtual_times.get(entry.tenant, self._virtual_time) + entry.tokens
        )
        self._dispatches = self._recent_dispatches(now) + 1.0
        self._dispatches_at = now
        self._passed_over[entry.urgency] = 0
        for less_urgent in {w.entry.urgency for w in self._waiters.values()}:
            if less_urgent > entry.urgency:
                self._passed_over[less_urgent] = self._passed_over.get(less_urgent, 0) + 1

    def _drain_per_s(self, now: float) -> float:
        return self._recent_dispatches(now) / DRAIN_AVERAGE_S

    def _recent_dispatches(self, now: float) -> float:
        return self._dispatches * math.exp(min(0.0, self._dispatches_at - now) / DRAIN_AVERAGE_S)

    def _prune_virtual_times(self) -> None:
        """Forget the turns of tenants that are due anyway, if there are many."""
        if len(self._virtual_times) <= MAX_IDLE_TENANTS:
            return
        waiting = {w.entry.tenant for w in self._waiters.values()}
        ahead = {
            t: at
            for t, at in self._virtual_times.items()
            if t in waiting or at > self._virtual_time
        }
        if len(ahead) > MAX_IDLE_TENANTS:
            ahead = {t: at for t, at in ahead.items() if t in waiting}
        self._virtual_times = ahead
