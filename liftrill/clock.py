"""A monotonic clock that also advances while the machine is suspended.

`time.monotonic` stops while a machine is suspended. An age, a lease or a proof of freshness
measured with it would look as fresh after a suspension as before, although the store and the
other nodes have changed state meanwhile.
"""

import asyncio
import math
import time
from collections.abc import Callable
from functools import partial

# Largest backward step that is ignored: readings of two clocks may be out of order by this much.
MAX_BACKWARD_STEP_S = 0.001

# How often an event loop is observed.
POLL_MARK_S = 0.003

ClockReader = Callable[[], float]


def _system_clock() -> ClockReader | None:
    """Return the clock that includes suspension, or None if the system has none."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return None
    reader = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    try:
        reader()
    except OSError:
        return None
    return reader


class ElapsedClock:
    """Monotonic seconds that include the time of suspension.

    Attributes:
        counts_sleep: whether suspension is included; False if the system has no clock that
            includes it, or if that clock went backwards.
    """

    def __init__(
        self, monotonic_clock: ClockReader, suspend_aware_clock: ClockReader | None
    ) -> None:
        self._monotonic_clock = monotonic_clock
        self._source_clock = suspend_aware_clock or monotonic_clock
        self.counts_sleep = suspend_aware_clock is not None
        # Both clocks agree until the first suspension, so their times can be compared until then.
        self._offset_s = self._source_clock() - monotonic_clock()
        self._latest_s = monotonic_clock()

    def now_s(self) -> float:
        """Return monotonic seconds since an arbitrary origin, including suspension."""
        now_s = self._source_clock() - self._offset_s
        if now_s < self._latest_s:
            return self._handle_backward_step(now_s)
        self._latest_s = now_s
        return now_s

    def slept_s(self) -> float:
        """Return the total seconds of suspension since the process started."""
        return max(0.0, self.now_s() - self._monotonic_clock())

    def _handle_backward_step(self, now_s: float) -> float:
        """Return the latest time; after a large step back, fall back to the monotonic clock."""
        if now_s < self._latest_s - MAX_BACKWARD_STEP_S:
            self.counts_sleep = False
            self._source_clock = self._monotonic_clock
            self._offset_s = self._monotonic_clock() - self._latest_s
        return self._latest_s


_clock = ElapsedClock(time.monotonic, _system_clock())


# Monotonic seconds since an arbitrary origin, including suspension. A bound method, because it is
# called some dozens of times per request.
now_s = _clock.now_s


def slept_s() -> float:
    """Return the total seconds of suspension since the process started."""
    return _clock.slept_s()


def counts_sleep() -> bool:
    """Return whether `now_s` includes the time of suspension."""
    return _clock.counts_sleep


class PollClock:
    """Tells since when an event loop has looked for what arrived, while that is asked for.

    A busy loop reads late. What it reads arrived after `polled_at`, or the loop would have read it
    before.

    Attributes:
        polled_at: a time after which the loop has looked at all connections, or minus infinity.
    """

    def __init__(self) -> None:
        self.polled_at = -math.inf
        self._uses = 0
        self._is_marking = False

    def begin(self) -> None:
        """Observe the loop from now on."""
        self._uses += 1
        if not self._is_marking:
            self._is_marking = True
            self._mark()

    def end(self) -> None:
        """Stop observing the loop unless others began as well."""
        self._uses -= 1

    def _mark(self) -> None:
        if not self._uses:
            self._is_marking = False
            return
        loop = asyncio.get_running_loop()
        # The first of the two calls may run before the loop looks, the second one runs after it.
        loop.call_soon(loop.call_soon, self._record, now_s())
        loop.call_later(POLL_MARK_S, self._mark)

    def _record(self, marked_at: float) -> None:
        self.polled_at = marked_at
