"""Detects that this process was suspended, and when its state is current again, sans-IO."""

import math
from dataclasses import dataclass

# Longer than a slow iteration of the event loop: `tick` is called about three times a second.
STALL_THRESHOLD_S = 0.75


@dataclass(slots=True)
class StallDetector:
    """Detect the intervals in which this process did not run.

    Attributes:
        max_catch_up_s: time after a stall at which the node uses its state again, even if no
            update has arrived.
        resumed_at: end of the last stall.
        stall_s: duration of the last stall.
    """

    max_catch_up_s: float
    resumed_at: float = -math.inf
    stall_s: float = 0.0
    _ticked_at: float = math.inf

    def tick(self, now: float) -> bool:
        """Record that the process is running; return whether a stall has just ended."""
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        if elapsed_s < STALL_THRESHOLD_S:
            return False
        self.resumed_at = now
        self.stall_s = elapsed_s
        return True

    def has_caught_up(self, now: float, known_until: float) -> bool:
        """Return whether state that is complete until `known_until` covers the last stall."""
        return known_until >= self.resumed_at or now - self.resumed_at >= self.max_catch_up_s
