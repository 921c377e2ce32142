"""Tells when the links of the kept stores are short, as far as one node can see.

The links are shared by all nodes and engines. Where more is asked of them than they
carry, moves wait behind each other: requests become late, and what would wait too long is
read again instead. Then only what is worth most for the time that it takes is moved.
"""

from dataclasses import dataclass, field

from liftrill.gateway.decaying_rate import DecayingRate
from liftrill.gateway.opaque_request import PromptShape

# Over how long a node's own demand is averaged: it sees few of a large fleet's requests.
AVERAGE_S = 8.0
# The links are short where more than all of their time is asked for (not tuned).
SHORT_SHARE = 1.0
# Fewer tokens are read in about the time that setting up their move takes.
LEAST_MOVED_TOKENS = 512
# A save carries the whole prompt; this share of it is to be what others can use.
LEAST_SHARED_SHARE = 0.5


@dataclass(slots=True)
class PrefixStoreLink:
    """What one node would have moved over the stores' links if they carried all."""

    _seconds: DecayingRate = field(default_factory=lambda: DecayingRate(AVERAGE_S))

    def record_demand(self, move_s: float, now: float) -> None:
        """Note that a request would take the links for some time."""
        self._seconds.record(move_s, now)

    def is_saturated(self, stores: int, nodes: int, now: float) -> bool:
        """Return whether all nodes together ask for more than the links carry."""
        own_rate = self._seconds.per_s(now)
        if own_rate is None or not stores:
            return False
        return own_rate * nodes > SHORT_SHARE * stores


def is_worth_transferring(prompt: PromptShape) -> bool:
    """Return whether anything of a prompt is to be moved over a short link."""
    return prompt.shared_tokens >= LEAST_MOVED_TOKENS


def is_worth_saving(prompt: PromptShape) -> bool:
    """Return whether enough of a prompt can be used by others to save it over a short link."""
    return prompt.shared_tokens >= LEAST_SHARED_SHARE * prompt.prompt_tokens
