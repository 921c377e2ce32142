"""A virtual clock with a queue of scheduled callbacks."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """Runs callbacks in order of their times, and in order of scheduling for equal times."""

    def __init__(self) -> None:
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return the current virtual time, in seconds."""
        return self._now

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time; a past time is replaced by the current time."""
        heapq.heappush(self._queue, (max(at, self._now), next(self._sequence), callback))

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self._now + delay, callback)

    def run(self, until: float) -> None:
        """Run all callbacks due up to a time, and set the clock to that time."""
        while self._queue and self._queue[0][0] <= until:
            at, _, callback = heapq.heappop(self._queue)
            self._now = at
            callback()
        self._now = until
