"""An exponentially decaying average of a rate."""

import math
from dataclasses import dataclass

# Share of the time constant for which a rate must be observed before it is returned.
MIN_OBSERVED_SHARE = 0.25


@dataclass(slots=True)
class DecayingRate:
    """An amount per second, in which older amounts have exponentially less weight.

    Attributes:
        average_s: time constant; an amount of this age has the weight 1/e.
    """

    average_s: float
    _amount: float = 0.0
    _since: float | None = None
    _recorded_at: float = 0.0

    def record(self, amount: float, now: float) -> None:
        """Add an amount that arrived now."""
        if self._since is None:
            self._since = now
        self._amount = self._amount * self._decay(now) + amount
        self._recorded_at = now

    def per_s(self, now: float) -> float | None:
        """Return the rate, or None if it has been observed for too short a time."""
        if self._since is None:
            return None
        # The decayed sum that a constant rate of one per second would have reached by now.
        window_s = self.average_s * (1.0 - math.exp(-(now - self._since) / self.average_s))
        if window_s < MIN_OBSERVED_SHARE * self.average_s:
            return None
        return self._amount * self._decay(now) / window_s

    def _decay(self, now: float) -> float:
        return math.exp(-(now - self._recorded_at) / self.average_s)
