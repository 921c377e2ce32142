"""Estimates how long engines hold cached prompts in memory."""

from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.decaying_rate import DecayingRate

# Averaging time of a node's own traffic: one node sees few of a large fleet's requests.
AVERAGE_S = 10.0
# Share of the estimate that is relied on, since traffic is not spread evenly over the engines.
RELIABLE_SHARE = 0.7


@dataclass(slots=True)
class CacheRetention:
    """Time in which the prompts of a fleet fill the free memory of its engines.

    Attributes:
        first_s: assumed time before any traffic was observed.
        longest_s: upper bound of the estimate.
    """

    first_s: float = constants.INITIAL_CACHE_RETENTION_S
    longest_s: float = constants.MAX_CACHE_RETENTION_S
    _tokens: DecayingRate = field(default_factory=lambda: DecayingRate(AVERAGE_S))

    def record(self, tokens: int, now: float) -> None:
        """Record the prompt tokens of a request that this node sent."""
        self._tokens.record(tokens, now)

    def held_s(self, free_tokens: int, nodes: int, now: float) -> float:
        """Return how long engines with this much free memory in total hold cached prompts."""
        own_rate = self._tokens.per_s(now)
        if own_rate is None:
            return self.first_s
        rate = max(1.0, own_rate * nodes)
        return min(self.longest_s, RELIABLE_SHARE * free_tokens / rate)
