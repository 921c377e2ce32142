"""Tracks when the store answered this node, and the backoff between retries, sans-IO."""

import math
import random
from dataclasses import dataclass

from liftrill import constants

# Consecutive failures after which the retry delay grows no further.
MAX_DOUBLINGS = 4
# An engine's record expires three heartbeat intervals after its last heartbeat, which was sent at
# most one interval before the store became unreachable.
LAPSE_HEARTBEATS = 2


def min_expiry_s(heartbeat_s: float) -> float:
    """Return the shortest outage in which the record of a live engine can expire."""
    return LAPSE_HEARTBEATS * heartbeat_s


@dataclass(slots=True)
class AnswerHistory:
    """Track the periods without an answer of the store, to this node or to its reader.

    Such a period may be an outage, in which the records of live engines expire. Answers to any
    read end it: a watch whose connection has failed delivers nothing although the store is up.

    Attributes:
        min_expiry_s: the shortest outage in which the record of a live engine can expire.
    """

    min_expiry_s: float
    _answered_at: float = -math.inf
    _outage_ended_at: float = -math.inf

    def record_answer(self, asked_at: float, now: float) -> None:
        """Record that the store answered at some time between `asked_at` and `now`."""
        is_first = self._answered_at == -math.inf
        if not is_first and now - self._answered_at >= self.min_expiry_s:
            self._outage_ended_at = now
        self._answered_at = max(self._answered_at, asked_at)

    def may_have_expired(self, since: float, now: float) -> bool:
        """Return whether the record of a live engine can have expired since a time."""
        return self._outage_ended_at >= since or now - self._answered_at >= self.min_expiry_s


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
