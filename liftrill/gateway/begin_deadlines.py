"""Interrupts attempts that have not begun by the time they must have begun."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from liftrill import clock
from liftrill.gateway import delivery_events as events


class BeginDeadlines:
    """The attempts of one node that have not begun, each with the timer that interrupts it."""

    def __init__(self) -> None:
        self._begin_by: dict[asyncio.Timeout, Callable[[], float]] = {}

    async def read_before(
        self, begin_by: Callable[[], float], pending_read: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return the events of a read, or raise TimeoutError once the attempt must not begin."""
        async with asyncio.timeout_at(_due_at(begin_by())) as timer:
            self._begin_by[timer] = begin_by
            try:
                return await pending_read
            finally:
                del self._begin_by[timer]

    def refresh(self) -> None:
        """Recompute until when each attempt may begin."""
        for timer, begin_by in self._begin_by.items():
            # asyncio does not allow an expired timer to be rescheduled.
            if not timer.expired():
                timer.reschedule(_due_at(begin_by()))


def _due_at(begin_by: float) -> float | None:
    """Return the event loop's time at which an attempt is interrupted, or None for never."""
    if math.isinf(begin_by):
        return None
    remaining_s = max(0.0, begin_by - clock.now_s())
    return asyncio.get_running_loop().time() + remaining_s
