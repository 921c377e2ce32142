"""Ends attempts that have not begun when they may no longer begin."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from liftrill import clock
from liftrill.gateway import delivery_events as events


class BeginDeadlines:
    """The attempts of one node that have not begun, each with the timer that ends it."""

    def __init__(self) -> None:
        self._begin_by: dict[asyncio.Timeout, Callable[[], float]] = {}

    async def read_before(
        self, begin_by: Callable[[], float], reading: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return what a read tells, or raise TimeoutError where the attempt may not begin."""
        async with asyncio.timeout_at(_due_at(begin_by())) as timer:
            self._begin_by[timer] = begin_by
            try:
                return await reading
            finally:
                del self._begin_by[timer]

    def refresh(self) -> None:
        """Ask anew until when each attempt may begin."""
        for timer, begin_by in self._begin_by.items():
            # asyncio refuses to move a timer that is ending its attempt.
            if not timer.expired():
                timer.reschedule(_due_at(begin_by()))


def _due_at(begin_by: float) -> float | None:
    """Return when an attempt ends, on the loop's clock, or None where nothing bounds it."""
    if math.isinf(begin_by):
        return None
    left_s = max(0.0, begin_by - clock.now_s())
    return asyncio.get_running_loop().time() + left_s
