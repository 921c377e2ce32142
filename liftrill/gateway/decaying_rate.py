"""A rate that is averaged over the recent past."""

import math
from dataclasses import dataclass

# Share of the averaging time after which a rate is known well enough to act on.
KNOWN_SHARE = 0.25


@dataclass(slots=True)
class DecayingRate:
    """How much of something comes in a second; older amounts count less and less.

    Attributes:
        average_s: after which an amount counts a third.
    """

    average_s: float
    _amount: float = 0.0
    _since: float | None = None
    _noted_at: float = 0.0

    def record(self, amount: float, now: float) -> None:
        """Note an amount that came now."""
        if self._since is None:
            self._since = now
        self._amount = self._amount * self._faded(now) + amount
        self._noted_at = now

    def per_s(self, now: float) -> float | None:
        """Return the rate, or None while it was observed for too short a time."""
        if self._since is None:
            return None
        # What an amount of one a second would have come to by now.
        window_s = self.average_s * (1.0 - math.exp(-(now - self._since) / self.average_s))
        if window_s < KNOWN_SHARE * self.average_s:
            return None
        return self._amount * self._faded(now) / window_s

    def _faded(self, now: float) -> float:
        return math.exp(-(now - self._noted_at) / self.average_s)
