"""Whether the store answers this node, sans-IO."""

import random
from dataclasses import dataclass

from liftrill import constants

# Failures after which the pause between two tries grows no further.
MOST_DOUBLINGS = 4


@dataclass(slots=True)
class StoreOutage:
    """What the store's failures tell one node.

    Attributes:
        lost: whether the last reading failed: the store does not answer this node. A watch
            that is cut says nothing of that.
    """

    lost: bool = False
    _failures: int = 0

    def note_unread(self) -> None:
        """Note that a reading failed."""
        self.lost = True

    def note_answered(self) -> None:
        """Note that the store answered this node."""
        self.lost = False
        self._failures = 0

    def next_pause_s(self) -> float:
        """Return how long to wait before the next try; longer after each failure in a row."""
        self._failures += 1
        longest_s = constants.STORE_RETRY_FIRST_SECONDS * 2 ** min(self._failures, MOST_DOUBLINGS)
        return random.uniform(constants.STORE_RETRY_FIRST_SECONDS, longest_s)
