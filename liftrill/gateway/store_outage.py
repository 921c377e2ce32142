"""Tracks whether the store answers this node, and the backoff between retries, sans-IO."""

import random
from dataclasses import dataclass

from liftrill import constants

# Consecutive failures after which the retry delay grows no further.
MAX_DOUBLINGS = 4


@dataclass(slots=True)
class StoreOutage:
    """Track failed reads of the store and compute the retry delay.

    Attributes:
        unreachable: whether the last read failed. An interrupted watch does not set it: the
            store may still answer reads.
    """

    unreachable: bool = False
    _failures: int = 0

    def record_read_failure(self) -> None:
        """Record that a read failed."""
        self.unreachable = True

    def record_success(self) -> None:
        """Record that the store answered this node."""
        self.unreachable = False
        self._failures = 0

    def next_retry_delay_s(self) -> float:
        """Return the jittered delay before the next attempt; grows with consecutive failures."""
        self._failures += 1
        max_delay_s = constants.STORE_RETRY_FIRST_SECONDS * 2 ** min(self._failures, MAX_DOUBLINGS)
        return random.uniform(constants.STORE_RETRY_FIRST_SECONDS, max_delay_s)
