"""How current a mirror of the store is known to be, sans-IO.

A watch that waits proves nothing: its connection may have gone silent, or the store may tell
it nothing. A reading of any key does: it names the store's revision, and a mirror that has
reached that revision holds every change that was acknowledged before the question.
"""

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class _Reading:
    """The store's revision as an answer named it, and when it was asked (steady clock)."""

    revision: int
    asked_at: float


@dataclass(slots=True)
class MirrorFreshness:
    """Until when a mirror holds all that the store acknowledged.

    Attributes:
        as_of: every change that was acknowledged before this time is in the mirror (steady
            clock); minus infinity before the first proof.
    """

    as_of: float = -math.inf
    _ahead: list[_Reading] = field(default_factory=list)

    def age_s(self, now: float) -> float:
        """Return the age of the last proof."""
        return now - self.as_of

    def record_reading(self, revision: int, asked_at: float) -> None:
        """Note that the store was at a revision (0: none named) some time after a question."""
        if not revision:
            return
        self._ahead.append(_Reading(revision, asked_at))

    def record_position(self, at: int) -> None:
        """Note that the mirror holds all changes up to a revision."""
        reached = [reading.asked_at for reading in self._ahead if reading.revision <= at]
        if not reached:
            return
        self.as_of = max(self.as_of, *reached)
        self._ahead = [reading for reading in self._ahead if reading.revision > at]
