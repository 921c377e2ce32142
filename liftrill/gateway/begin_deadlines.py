"""Until when attempts may begin: the times of a node that stops, and those of single attempts."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from liftrill import clock, constants
from liftrill.gateway import delivery_events as events

# How long before the platform kills the process the remaining requests are abandoned.
STOP_MARGIN_SECONDS = 0.6


@dataclass(slots=True)
class StopSchedule:
    """The times of a node's stop, on the steady clock.

    What the node waits for while it stops, such as the store, moves none of them.

    Attributes:
        stop_seconds: time between the stop signal and the kill.
        linger_seconds: for how long after the signal requests are begun.
    """

    stop_seconds: float
    linger_seconds: float = constants.STOP_LINGER_SECONDS
    _stopped_at: float = math.inf

    def stop(self, now: float) -> None:
        """Record the stop signal; later ones change nothing."""
        self._stopped_at = min(now, self._stopped_at)

    @property
    def is_stopping(self) -> bool:
        """Whether the node was told to stop."""
        return self._stopped_at < math.inf

    @property
    def refuse_at(self) -> float:
        """From when on no request is begun."""
        return self._stopped_at + self.linger_seconds

    @property
    def abandon_at(self) -> float:
        """When the requests that remain are abandoned."""
        return self._stopped_at + self.stop_seconds - STOP_MARGIN_SECONDS

    def may_begin(self, now: float) -> bool:
        """Return whether a request that no engine has received may be sent to one."""
        return now < self.refuse_at


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
