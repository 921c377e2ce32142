"""Requests that wait for an engine: by priority, then fairly between tenants.

Fairness is start-time fair queueing after Goyal, Vin and Cheng, 1996: each tenant's
requests are spaced in virtual time by their cost over the tenant's weight.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from sortedcontainers import SortedKeyList

Waiter = TypeVar("Waiter")


@dataclass(slots=True)
class QueuedItem(Generic[Waiter]):
    """One waiting request and its place."""

    waiter: Waiter
    tenant: str
    priority: int
    start_tag: float
    sequence: int

    @property
    def order(self) -> tuple[int, float, int]:
        """Sort key: priority, virtual start time, arrival."""
        return self.priority, self.start_tag, self.sequence


@dataclass(slots=True)
class _PriorityClock:
    """Virtual time of one priority level."""

    now: float = 0.0
    finish_tags: dict[str, float] = field(default_factory=dict)


class DispatchQueue(Generic[Waiter]):
    """A bounded queue for one model."""

    def __init__(self, length_limit: int) -> None:
        self._length_limit = length_limit
        self._items: SortedKeyList = SortedKeyList(key=lambda item: item.order)
        self._clocks: dict[int, _PriorityClock] = {}
        self._sequence = 0
        self._seconds_per_item: float | None = None
        self._last_taken_at: float | None = None

    SMOOTHING = 0.1

    def __len__(self) -> int:
        return len(self._items)

    def push(
        self, waiter: Waiter, tenant: str, priority: int, cost: float, weight: float
    ) -> QueuedItem[Waiter] | None:
        """Add a waiter, or return None if the queue is full."""
        if len(self._items) >= self._length_limit:
            return None
        clock = self._clocks.setdefault(priority, _PriorityClock())
        start_tag = max(clock.now, clock.finish_tags.get(tenant, 0.0))
        clock.finish_tags[tenant] = start_tag + cost / max(weight, 1e-9)
        self._sequence += 1
        item = QueuedItem(waiter, tenant, priority, start_tag, self._sequence)
        self._items.add(item)
        return item

    def remove(self, item: QueuedItem[Waiter]) -> None:
        """Take out a waiter that gave up."""
        self._items.discard(item)

    def expected_wait(self, priority: int) -> float:
        """Return the seconds a new waiter would wait, from the recent pace; 0 if not known."""
        if self._seconds_per_item is None:
            return 0.0
        ahead = self._items.bisect_key_right((priority, float("inf"), 0))
        return float(ahead) * self._seconds_per_item

    def take_while(self, accept: Callable[[Waiter], bool], now: float) -> None:
        """Offer waiters in order and remove them, until one is not accepted."""
        while self._items:
            item: QueuedItem[Waiter] = self._items[0]
            if not accept(item.waiter):
                return
            self._items.discard(item)
            self._advance_clock(item)
            self._record_pace(now)
        self._last_taken_at = None

    def _advance_clock(self, item: QueuedItem[Waiter]) -> None:
        clock = self._clocks[item.priority]
        clock.now = max(clock.now, item.start_tag)
        stale = [t for t, tag in clock.finish_tags.items() if tag <= clock.now]
        for tenant in stale:
            del clock.finish_tags[tenant]

    def _record_pace(self, now: float) -> None:
        if self._last_taken_at is not None:
            elapsed = now - self._last_taken_at
            previous = elapsed if self._seconds_per_item is None else self._seconds_per_item
            self._seconds_per_item = previous + self.SMOOTHING * (elapsed - previous)
        self._last_taken_at = now
