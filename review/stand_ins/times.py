"""The time that the cases measure with."""

import time


def now_s() -> float:
    """Return steady seconds, which go on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
