"""The time that passes, also while the machine is suspended.

The steady clock stands while a machine is suspended. An age, a lease or a proof that is taken
from it would be as good after the sleep as before, so that what the rest of the fleet and the
store did meanwhile would go unnoticed.
"""

import time
from collections.abc import Callable

# How far the time may seem to go back between two readings by two clocks (own choice).
TOLERATED_S = 0.001

Reading = Callable[[], float]


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _system_clock() -> Reading | None:
    """Return the clock that counts suspension, or None where the system has none."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return None
    try:
        _boottime_s()
    except OSError:
        return None
    return _boottime_s


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
        if now_s < self._latest_s - TOLERATED_S:
            return self._fall_back()
        self._latest_s = max(now_s, self._latest_s)
        return now_s

    def slept_s(self) -> float:
        """Return for how long the machine has been suspended since the process began."""
        return max(0.0, self.now_s() - self._steady())

    def _fall_back(self) -> float:
        """Go on with the steady clock alone."""
        self.counts_sleep = False
        self._counting = self._steady
        self._offset_s = self._steady() - self._latest_s
        return self._latest_s


_clock = ElapsedClock(time.monotonic, _system_clock())


def now_s() -> float:
    """Return seconds since some moment, those included in which the machine was suspended."""
    return _clock.now_s()


def slept_s() -> float:
    """Return for how long the machine has been suspended since the process began."""
    return _clock.slept_s()


def counts_sleep() -> bool:
    """Return whether a suspension shows in `now_s`."""
    return _clock.counts_sleep
