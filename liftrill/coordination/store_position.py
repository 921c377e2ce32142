"""Where a store stands: its era and its revision, as one ordered number.

A store that comes back from an older copy of itself gives out revisions again that stood for
other changes before, and begins a new era with it. Positions of a later era are higher than all
of an earlier one, so whatever is compared is compared rightly: copies, conditions, the fences
that engines see. A store without eras is in era 0, where a position is the bare revision.
"""

from collections.abc import Callable
from dataclasses import dataclass

from liftrill.coordination.range_store import (
    ConditionFailedError,
    HistoryGoneError,
    LeaseGoneError,
)
from liftrill.errors import StoreUnavailableError

# More changes than a store takes in 30 years at 1,000 a second. Positions stay whole in numbers
# of 53 bits, as many readers of JSON have them, for 8,191 eras.
REVISION_BITS = 40
LARGEST_REVISION = (1 << REVISION_BITS) - 1
LARGEST_ERA = (1 << 13) - 1
MOST_DIGITS = 4


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era; 0 for no revision in any."""
    return era << REVISION_BITS | revision if revision else 0


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return what the store calls a position in its era."""
    return position & LARGEST_REVISION


class OldEraError(StoreUnavailableError):
    """An answer is of an era that is over: what it says may have been undone."""


def _tell_nobody(era: int) -> None:
    """Leave a turn untold."""


def _count_nothing(era: int, told: str) -> None:
    """Leave an answer uncounted."""


@dataclass(slots=True)
class StoreEra:
    """The era of a store, as its answers to this node tell it.

    Attributes:
        era: the latest one heard of; 0 while no answer names one.
        turns: how often a later one was heard of than was known.
        began: whom to tell of a later era that an answer names.
        refused: whom to tell of an answer that names an earlier one, or none, as it was told.
    """

    era: int = 0
    turns: int = 0
    began: Callable[[int], None] = _tell_nobody
    refused: Callable[[int, str], None] = _count_nothing
    _heard: bool = False

    def hear(self, told: str) -> int:
        """Return the era of an answer, from what it tells.

        Raises:
            OldEraError: it is of an earlier era than is known, or tells no era any more.
        """
        era = _parse(told)
        if era < self.era:
            self.refused(self.era, told)
            raise OldEraError(f"era {told!r} after {self.era}")
        if era > self.era:
            self._turn(era)
        self._heard = True
        return era

    def _turn(self, era: int) -> None:
        self.era = era
        if self._heard:
            self.turns += 1
            self.began(era)

    def condition(self, position: int) -> int:
        """Return what the store calls a position in a condition.

        Raises:
            ConditionFailedError: it is of an earlier era, whose numbers are given out again.
        """
        # A peer may have heard of a later era first.
        if era_of(position) > self.era:
            self._turn(era_of(position))
        if position and era_of(position) != self.era:
            raise ConditionFailedError("a revision of an earlier era")
        return revision_of(position)

    def lease(self, position: int) -> int:
        """Return what the store calls a lease.

        Raises:
            LeaseGoneError: it is of an earlier era: the number may be another one's by now.
        """
        if position and era_of(position) != self.era:
            raise LeaseGoneError("a lease of an earlier era")
        return revision_of(position)

    def history(self, position: int) -> int:
        """Return what the store calls the end of a copy, from which a watch is to go on.

        Raises:
            HistoryGoneError: it is of an earlier era, whose history goes on nowhere.
        """
        if position and era_of(position) != self.era:
            raise HistoryGoneError("the copy is of an earlier era")
        return revision_of(position)


def _parse(told: str) -> int:
    """Return the era that an answer tells, or 0 where it tells none that can be."""
    if not (told.isascii() and told.isdigit()) or len(told) > MOST_DIGITS:
        return 0
    return min(int(told), LARGEST_ERA)
