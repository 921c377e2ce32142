"""The queue of requests that wait for an engine, by priority and then fair between tenants.

Fairness is start-time fair queueing after Goyal, Vin and Cheng, 1996: the requests of a tenant
are spaced in virtual time by their cost divided by the weight of the tenant.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from sortedcontainers import SortedKeyList

Waiter = TypeVar("Waiter")


@dataclass(slots=True)
class QueuedItem(Generic[Waiter]):
    """One waiter and its place in the queue."""

    waiter: Waiter
    tenant: str
    priority: int
    start_tag: float
    sequence: int

    @property
    def order(self) -> tuple[int, float, int]:
        """The sort key: priority, virtual start time, order of arrival."""
        return self.priority, self.start_tag, self.sequence


@dataclass(slots=True)
class _PriorityClock:
    """The virtual time of one priority level.

    Attributes:
        now: the highest start tag that was dequeued.
        finish_tags: the last finish tag of each tenant, if later than `now`.
    """

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
        self._last_dequeued_at: float | None = None

    PACE_SMOOTHING_FACTOR = 0.1

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
        """Remove a waiter if it is still queued."""
        self._items.discard(item)

    def expected_wait(self, priority: int) -> float:
        """Return the expected wait of a new waiter in seconds; 0 if the pace is not known."""
        if self._seconds_per_item is None:
            return 0.0
        ahead = self._items.bisect_key_right((priority, float("inf"), 0))
        return float(ahead) * self._seconds_per_item

    def take_while(self, accept: Callable[[Waiter], bool], now: float) -> None:
        """Offer waiters in order and remove each that is accepted; stop at the first refusal."""
        while self._items:
            item: QueuedItem[Waiter] = self._items[0]
            if not accept(item.waiter):
                return
            self._items.discard(item)
            self._advance_clock(item)
            self._record_dequeue_interval(now)
        self._last_dequeued_at = None

    def _advance_clock(self, item: QueuedItem[Waiter]) -> None:
        clock = self._clocks[item.priority]
        clock.now = max(clock.now, item.start_tag)
        stale = [t for t, tag in clock.finish_tags.items() if tag <= clock.now]
        for tenant in stale:
            del clock.finish_tags[tenant]

    def _record_dequeue_interval(self, now: float) -> None:
        if self._last_dequeued_at is not None:
            elapsed = now - self._last_dequeued_at
            previous = elapsed if self._seconds_per_item is None else self._seconds_per_item
            self._seconds_per_item = previous + self.PACE_SMOOTHING_FACTOR * (elapsed - previous)
        self._last_dequeued_at = now
