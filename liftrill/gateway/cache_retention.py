"""Estimates for how long engines keep in their memory what they have used."""

import math
from dataclasses import dataclass

from liftrill import constants

# Over how long a node's own traffic is averaged: it sees few of a large fleet's requests.
AVERAGE_S = 10.0
# Share of the estimate that is relied on: traffic is not spread evenly (guess).
RELIED_SHARE = 0.7


@dataclass(slots=True)
class CacheRetention:
    """The time in which the prompts of a fleet fill the memory of its engines.

    Attributes:
        first_s: what is assumed before anything was observed.
        longest_s: what is relied on at most.
    """

    first_s: float = constants.KEPT_HOLDER_S
    longest_s: float = constants.KEPT_LONGEST_S
    _tokens: float = 0.0
    _since: float | None = None
    _noted_at: float = 0.0

    def record(self, tokens: int, now: float) -> None:
        """Note that this node sent a request with some tokens."""
        if self._since is None:
            self._since = now
        self._tokens = self._tokens * self._faded(now) + tokens
        self._noted_at = now

    def held_s(self, free_tokens: int, nodes: int, now: float) -> float:
        """Return for how long engines hold what they used that have some free memory in all."""
        if self._since is None:
            return self.first_s
        window_s = AVERAGE_S * (1.0 - math.exp(-(now - self._since) / AVERAGE_S))
        if window_s < AVERAGE_S / 5:
            return self.first_s
        rate = max(1, nodes) * self._tokens * self._faded(now) / window_s
        return min(self.longest_s, RELIED_SHARE * free_tokens / max(rate, 1.0))

    def _faded(self, now: float) -> float:
        return math.exp(-(now - self._noted_at) / AVERAGE_S)
