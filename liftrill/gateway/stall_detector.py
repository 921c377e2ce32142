"""Notes that this process stood still, and how long its beliefs are from before that, sans-IO."""

import math
from dataclasses import dataclass

# A gap between two beats that is no slow turn of the loop: beats come three times a second (guess).
STANDSTILL_S = 0.75


@dataclass(slots=True)
class StallDetector:
    """The gaps in which this process did not run.

    Attributes:
        max_catch_up_s: after this time what is believed is used again, though nothing came.
        woke_at: the end of the last gap.
        gap_s: how long it was.
    """

    max_catch_up_s: float
    woke_at: float = -math.inf
    stall_s: float = 0.0
    _beat_at: float = math.inf

    def tick(self, now: float) -> bool:
        """Note that the process runs; return whether it has just woken."""
        stall_s = now - self._beat_at
        self._beat_at = now
        if gap_s < STANDSTILL_S:
            return False
        self.woke_at = now
        self.stall_s = gap_s
        return True

    def has_caught_up(self, now: float, known_until: float) -> bool:
        """Return whether what was acknowledged until a time tells of the last gap too."""
        return known_until >= self.woke_at or now - self.woke_at >= self.max_catch_up_s
