"""Where a store stands: its era and its revision, as one ordered number.

A store that comes back from an older copy of itself gives out revisions again that stood for
other changes before, and begins a new era with it. Positions of a later era are higher than all
of an earlier one, so whatever is compared is compared rightly: copies, conditions, leases. A
store that tells no era is in era 0, where a position is the bare revision; one that tells N is in
era N + 1 here, so that what comes from nodes that know of no eras is not taken for its first one.
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
# Stores draw numbers of leases from up to 64 bits.
LEASE_BITS = 64
LARGEST_LEASE = (1 << LEASE_BITS) - 1
MOST_DIGITS = 4


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era; 0 for no revision in any.

    Raises:
        ValueError: it is no revision that a store comes to.
    """
    if not 0 <= revision <= LARGEST_REVISION:
        raise ValueError(f"revision {revision}")
    return era << REVISION_BITS | revision if revision else 0


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return what the store calls a position in its era."""
    return position & LARGEST_REVISION


def lease_id(era: int, number: int) -> int:
    """Return a name for a lease that no lease of another era has; 0 for none."""
    return era << LEASE_BITS | number if number else 0


def lease_number(lease: int) -> int:
    """Return what the store calls a lease in its era."""
    return lease & LARGEST_LEASE


def reported_era(era: int) -> int | None:
    """Return an era as the store tells it, or None where it tells none."""
    return era - 1 if era else None


def relative_position(position: int, base_era: int) -> int:
    """Return a position in which a base era counts as 0, and earlier ones as well."""
    return max(0, era_of(position) - base_era) << REVISION_BITS | revision_of(position)


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
        era: the latest one heard of, one more than was told; 0 while no answer names one.
        turns: how often a later one was heard of than was known.
        began: whom to tell of a later era that an answer names.
        refused: whom to tell of an answer that names an earlier one, or none, as it was told.
    """

    era: int = 0
    change_count: int = 0
    on_new_era: Callable[[int], None] = _tell_nobody
    on_refused_answer: Callable[[int, str], None] = _count_nothing
    _heard: bool = False

    def observe(self, told: str) -> int:
        """Return the era of an answer, from what it tells.

        Raises:
            OldEraError: it is of an earlier era than is known, or tells no era any more.
        """
        era = _parse(told)
        if era < self.era:
            self.on_refused_answer(self.era, told)
            raise OldEraError(f"era {told!r} after {self.era}")
        if era > self.era:
            self._turn(era)
        self._heard = True
        return era

    def _turn(self, era: int) -> None:
        self.era = era
        if self._heard:
            self.change_count += 1
            self.on_new_era(era)

    def condition_revision(self, position: int) -> int:
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

    def current_lease_number(self, lease: int) -> int:
        """Return what the store calls a lease.

        Raises:
            LeaseGoneError: it is of an earlier era: the number may be another one's by now.
        """
        if lease and lease >> LEASE_BITS != self.era:
            raise LeaseGoneError("a lease of an earlier era")
        return lease_number(lease)

    def watch_revision(self, position: int) -> int:
        """Return what the store calls the end of a copy, from which a watch is to go on.

        Raises:
            HistoryGoneError: it is of an earlier era, whose history goes on nowhere.
        """
        if position and era_of(position) != self.era:
            raise HistoryGoneError("the copy is of an earlier era")
        return revision_of(position)


def _parse(told: str) -> int:
    """Return the era of an answer, by what it tells, or 0 where it tells none that can be."""
    if not (told.isascii() and told.isdigit()) or len(told) > MOST_DIGITS:
        return 0
    return min(int(told) + 1, LARGEST_ERA)
