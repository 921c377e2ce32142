"""The time that passes, also while the machine is suspended.

The steady clock stands while a machine is suspended. An age, a lease or a proof that is taken
from it would be as good after the sleep as before, so that what the rest of the fleet and the
store did meanwhile would go unnoticed.
"""

import time
from collections.abc import Callable
from functools import partial

# How far the time may seem to go back between two readings by two clocks (own choice).
TOLERATED_S = 0.001

Reading = Callable[[], float]


def _system_clock() -> Reading | None:
    """Return the clock that counts suspension, or None where the system has none."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return None
    reading = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    try:
        reading()
    except OSError:
        return None
    return reading


class ElapsedClock:
    """Counts on from the steady clock, suspension included.

    Attributes:
        counts_sleep: False where the system has no clock that does, or one that went back.
    """

    def __init__(self, steady: Reading, counting: Reading | None) -> None:
        self._steady = steady
        self._counting = counting or steady
        self.counts_sleep = counting is not None
        # Both begin alike, so that times of either can be compared until the first sleep.
        self._offset_s = self._counting() - steady()
        self._latest_s = steady()

    def now_s(self) -> float:
        """Return seconds since some moment; never less than before."""
        now_s = self._counting() - self._offset_s
        if now_s < self._latest_s:
            return self._went_back(now_s)
        self._latest_s = now_s
        return now_s

    def slept_s(self) -> float:
        """Return for how long the machine has been suspended since the process began."""
        return max(0.0, self.now_s() - self._steady())

    def _went_back(self, now_s: float) -> float:
        """Return the latest time again, and go on with the steady clock if it is far off."""
        if now_s < self._latest_s - TOLERATED_S:
            self.counts_sleep = False
            self._counting = self._steady
            self._offset_s = self._steady() - self._latest_s
        return self._latest_s


_clock = ElapsedClock(time.monotonic, _system_clock())


# Seconds since some moment, those included in which the machine was suspended. A bound method,
# since it is read some dozens of times for each request.
now_s = _clock.now_s


def slept_s() -> float:
    """Return for how long the machine has been suspended since the process began."""
    return _clock.slept_s()


def counts_sleep() -> bool:
    """Return whether a suspension shows in `now_s`."""
    return _clock.counts_sleep
