"""Estimates from one node's demand whether the links of the prefix stores are saturated.

All nodes and engines share these links. Above their capacity, transfers queue behind each other:
requests become late, and prefixes whose transfer would wait too long are prefilled again instead.
Only the transfers that save the most for their duration are then made.
"""

from dataclasses import dataclass, field

from liftrill.gateway.decaying_rate import DecayingRate
from liftrill.gateway.opaque_request import PromptShape

# Averaging time of a node's own demand: one node sees few of the requests of a large fleet.
AVERAGE_S = 8.0
# Demand, as a share of the links' time, above which the links are saturated.
SATURATED_SHARE = 1.0
# Prefilling fewer tokens takes about as long as setting up their transfer.
MIN_TRANSFERRED_TOKENS = 512
# A save transfers the whole prompt: at least this share of it must be reusable by other requests.
MIN_SHARED_SHARE = 0.5


@dataclass(slots=True)
class PrefixStoreLink:
    """The link time that one node's requests would use if nothing were left out."""

    _demand: DecayingRate = field(default_factory=lambda: DecayingRate(AVERAGE_S))

    def record_demand(self, transfer_s: float, now: float) -> None:
        """Add the link time that a request would use."""
        self._demand.record(transfer_s, now)

    def is_saturated(self, stores: int, nodes: int, now: float) -> bool:
        """Return whether the estimated demand of all nodes exceeds the capacity of the links."""
        own_rate = self._demand.per_s(now)
        if own_rate is None or not stores:
            return False
        return own_rate * nodes > SATURATED_SHARE * stores


def is_worth_transferring(prompt: PromptShape) -> bool:
    """Return whether to transfer any part of a prompt over a saturated link."""
    return prompt.shared_tokens >= MIN_TRANSFERRED_TOKENS


def is_worth_saving(prompt: PromptShape) -> bool:
    """Return whether enough of a prompt is reusable to save it over a saturated link."""
    return prompt.shared_tokens >= MIN_SHARED_SHARE * prompt.prompt_tokens
