"""Bounds what a node has saved to the kept stores by what the stores' links carry.

The links are shared by all nodes and engines. Where more is asked of them than they
carry, fetches wait behind saves: requests become late, and what would wait too long is
read again instead. So fetches always go, and saves take what is left.
"""

import math
from dataclasses import dataclass

# Share of the links that is used: what waits at a link grows without bound near 1 (guess).
LINK_SHARE = 0.7
# How much of a pause can be made up for afterwards.
BURST_S = 1.0


@dataclass(slots=True)
class StoreLink:
    """One node's part of the time of all stores' links."""

    _left_s: float = math.inf
    _noted_at: float = 0.0

    def may_save(self, rate: float, now: float) -> bool:
        """Return whether something may be saved now, at a node's rate."""
        self._refill(rate, now)
        return self._left_s > 0.0

    def record_move(self, move_s: float, rate: float, now: float) -> None:
        """Note that a store's link is used for some time."""
        self._refill(rate, now)
        self._left_s -= move_s

    def _refill(self, rate: float, now: float) -> None:
        gained_s = rate * (now - self._noted_at)
        self._left_s = min(rate * BURST_S, self._left_s + gained_s)
        self._noted_at = now


def node_rate(stores: int, nodes: int) -> float:
    """Return the seconds of stores' links that a node may use in a second."""
    return LINK_SHARE * stores / max(1, nodes)
