"""Queue of the requests that wait for engines of one service; performs no I/O.

More urgent requests come first. Among equally urgent ones, refused requests that were retried at
the requested time come first. Then tenants are ordered by their dispatched tokens (fair queueing),
and the requests of one tenant are ordered by the time at which they must begin.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum

# After this many dispatches in a row of more urgent queued requests, free capacity is offered to
# less urgent requests, so that a queue that never empties does not starve them. Requests that find
# capacity on arrival are not counted.
MAX_DISPATCHES_IN_A_ROW = 8
# Tenants whose virtual times are retained while none of their requests waits; 100 bytes each.
MAX_IDLE_TENANTS = 256
# Averaging time of the dispatch rate: the longest time that a request waits for capacity.
DRAIN_AVERAGE_S = 0.5
# Minimum number of recent dispatches for a dispatch rate that requests are refused by.
MIN_KNOWN_DISPATCHES = 8


class RetryStatus(IntEnum):
    """Whether a request is a retry of a refused one; lower values go first."""

    CAME_BACK = 0
    NEW = 1
    CAME_EARLY = 2


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """Properties of a waiting request.

    Attributes:
        urgency: 0 is the most urgent.
        tokens: tokens charged to the tenant when the request is dispatched.
        latest_start: time by which the request must begin to be answered within its target.
        until: time until which the request waits.
        retry_status: retry status, which ranks the request among equally urgent ones.
        needs_capacity: whether engines are ready and lack capacity; False if none is ready.
        required_software_version: the only software version that may serve the request, or None.
    """

    urgency: int
    tenant: str
    tokens: int
    latest_start: float
    until: float
    since: float
    retry_status: RetryStatus = RetryStatus.NEW
    needs_capacity: bool = True
    required_software_version: str | None = None


@dataclass(slots=True)
class _WakeRound:
    """One pass along the queue: the woken requests, and whether it continues after a dispatch."""

    everyone: bool
    woken: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue.

    Attributes:
        number: increases in the order of arrival.
        wake_round: the round in which the request is to try now, or None.
        tried_at_change: number of capacity changes when the request last found no capacity.
    """

    entry: QueueEntry
    number: int
    wake_round: _WakeRound | None = None
    tried_at_change: int = -1


@dataclass(slots=True)
class RequestQueue:
    """Waiting requests of one service.

    A woken request calls `dispatched`, `found_no_capacity` or `leave`; each returns the request to
    wake next, if any. Freed capacity thus wakes one request at a time, until one takes it or all
    were woken.
    """

    _waiters: dict[int, Waiter] = field(default_factory=dict)
    _next_number: int = 0
    _capacity_changes: int = 0
    _full_round_at: float = 0.0
    # By tenant: dispatched tokens, counted from the least value among the waiting tenants.
    _virtual_times: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0
    _passed_over: dict[int, int] = field(default_factory=dict)
    _dispatches: float = 0.0
    _dispatches_at: float = 0.0

    def __len__(self) -> int:
        return len(self._waiters)

    def oldest_since(self) -> float | None:
        """Return the arrival time of the request that has waited longest, or None."""
        return min((w.entry.since for w in self._waiters.values()), default=None)

    def join(self, entry: QueueEntry) -> Waiter:
        """Add a request that found no capacity, or that has not tried because others wait."""
        tried_at_change = -1 if self.must_wait(entry.urgency) else self._capacity_changes
        waiter = Waiter(entry, self._next_number, tried_at_change=tried_at_change)
        # An idle tenant does not accumulate credit.
        if all(other.entry.tenant != entry.tenant for other in self._waiters.values()):
            self._virtual_times[entry.tenant] = max(
                self._virtual_times.get(entry.tenant, 0.0), self._virtual_time
            )
        self._next_number += 1
        self._waiters[waiter.number] = waiter
        return waiter

    def start_untried_round(self) -> Waiter | None:
        """Return a request to wake if one joined without trying and no round is running."""
        if any(waiter.wake_round for waiter in self._waiters.values()):
            return None
        untried = any(
            waiter.tried_at_change < self._capacity_changes for waiter in self._waiters.values()
        )
        return self._wake_next(_WakeRound(everyone=False)) if untried else None

    def capacity_freed(self) -> Waiter | None:
        """Return the request to wake after capacity became free."""
        self._capacity_changes += 1
        return self._wake_next(_WakeRound(everyone=False))

    def prefill_completed(self, now: float) -> Waiter | None:
        """Return the request to wake after an engine has prefilled a prompt.

        This frees capacity. Requests that need no capacity may wait for the prefill itself.
        """
        if all(waiter.entry.needs_capacity for waiter in self._waiters.values()):
            return self.capacity_freed()
        return self.start_full_round(now)

    def start_full_round(self, now: float) -> Waiter | None:
        """Start a round over all requests, as capacity may have changed without a signal."""
        self._capacity_changes += 1
        self._full_round_at = now
        return self._wake_next(_WakeRound(everyone=True))

    def since_full_round_s(self, now: float) -> float:
        """Return the time since the last round over all requests."""
        return now - self._full_round_at

    def dispatched(self, waiter: Waiter, now: float) -> Waiter | None:
        """Remove a request that was sent to an engine; return the request to wake next."""
        self._record_dispatch(waiter.entry, now)
        wake_round = self._remove(waiter)
        if wake_round is None or not wake_round.everyone:
            return None
        return self._wake_next(wake_round)

    def found_no_capacity(self, waiter: Waiter) -> Waiter | None:
        """Record that a request found no capacity; return the request to wake next."""
        waiter.tried_at_change = self._capacity_changes
        wake_round, waiter.wake_round = waiter.wake_round, None
        return self._wake_next(wake_round) if wake_round else None

    def leave(self, waiter: Waiter) -> Waiter | None:
        """Remove a request that no longer waits; if it was woken, return the one to wake next."""
        wake_round = self._remove(waiter)
        return self._wake_next(wake_round) if wake_round else None

    def must_wait(self, urgency: int, waiter: Waiter | None = None) -> bool:
        """Return whether free capacity is reserved for another request.

        Requests that found none since the capacity last changed reserve nothing.
        """
        if waiter is not None and waiter.wake_round is not None:
            return False
        return any(
            other.tried_at_change < self._capacity_changes and other.entry.needs_capacity
            for other in self._waiters.values()
            if other is not waiter and self._is_before(other, urgency, waiter)
        )

    def awaited_software_versions(self) -> frozenset[str]:
        """Return the software versions that waiting requests need."""
        entries = (waiter.entry for waiter in self._waiters.values())
        return frozenset(
            e.required_software_version for e in entries if e.required_software_version is not None
        )

    def wait_s(self, urgency: int, now: float) -> float:
        """Return the expected time until all requests ahead of this urgency are dispatched."""
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
        return (entry.urgency, entry.retry_status, virtual_time, entry.latest_start, waiter.number)

    def _starved_waiter(self, waiting: list[Waiter]) -> Waiter | None:
        """Return the first request of an urgency that was passed over too often, or None."""
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
        """Drop virtual times of idle tenants that are not ahead of the queue, if there are many."""
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
