"""Estimates for how long engines keep in their memory what they have used."""

from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.decaying_rate import DecayingRate

# Over how long a node's own traffic is averaged: it sees few of a large fleet's requests.
AVERAGE_S = 10.0
# Share of the estimate that is relied on: traffic is not spread evenly (guess).
RELIED_SHARE = 0.7


@dataclass(slots=True)
class CacheRetention:
    """The time in which the prompts of a fleet fill the free memory of its engines.

    Attributes:
        first_s: what is assumed before anything was observed.
        longest_s: what is relied on at most.
    """

    first_s: float = constants.INITIAL_CACHE_RETENTION_S
    longest_s: float = constants.MAX_CACHE_RETENTION_S
    _tokens: DecayingRate = field(default_factory=lambda: DecayingRate(AVERAGE_S))

    def record(self, tokens: int, now: float) -> None:
        """Note that this node sent a request with some tokens."""
        self._tokens.record(tokens, now)

    def held_s(self, free_tokens: int, nodes: int, now: float) -> float:
        """Return for how long engines hold what they used that have some free memory in all."""
        own_rate = self._tokens.per_s(now)
        if own_rate is None:
            return self.first_s
        rate = max(1.0, own_rate * nodes)
        return min(self.longest_s, RELIED_SHARE * free_tokens / rate)
