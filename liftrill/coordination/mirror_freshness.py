"""Tracks the proven freshness of a store mirror, sans-IO.

An open watch does not prove that a mirror is current: its connection may be dead, or the store
may send it no events. A read of any key does: the response contains the store's revision, and a
mirror that has reached this revision contains every change acknowledged before the request.
"""

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class _Read:
    """The store's revision in a read response, and the time of the request (steady clock)."""

    revision: int
    requested_at: float


@dataclass(slots=True)
class MirrorFreshness:
    """The time up to which a mirror is proven to contain all acknowledged changes.

    Attributes:
        as_of: the mirror contains every change acknowledged before this time (steady clock);
            minus infinity before the first proof.
    """

    as_of: float = -math.inf
    _unreached: list[_Read] = field(default_factory=list)

    def age_s(self, now: float) -> float:
        """Return the seconds since `as_of`."""
        return now - self.as_of

    def record_reading(self, revision: int, requested_at: float) -> None:
        """Record the revision in a read response (0: it had none), and the request's time."""
        if not revision:
            return
        self._unreached.append(_Read(revision, requested_at))

    def record_position(self, position: int) -> None:
        """Record that the mirror contains all changes up to a position."""
        reached = [read.requested_at for read in self._unreached if read.revision <= position]
        if not reached:
            return
        self.as_of = max(self.as_of, *reached)
        self._unreached = [read for read in self._unreached if read.revision > position]
