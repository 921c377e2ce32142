"""Store positions: the era and the revision of a store, combined in one ordered number.

A store that is restored from an older copy of itself assigns revisions again that were used for
other changes before, and starts a new era. All positions of a later era are higher than those of
an earlier one, so that copies, conditions and leases compare correctly. A store that reports no
era is in era 0, where a position equals the revision; one that reports era N is in era N + 1 here,
so that data from nodes without support for eras is not mistaken for data of its first era.
"""

from collections.abc import Callable
from dataclasses import dataclass

from liftrill.coordination.range_store import (
    ConditionFailedError,
    HistoryGoneError,
    LeaseGoneError,
)
from liftrill.errors import StoreUnavailableError

# Enough for more than 30 years at 1,000 changes per second. Up to era 8,191, positions fit in 53
# bits, the exact integer range of many JSON parsers.
REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 13) - 1
# Lease numbers of stores have up to 64 bits.
LEASE_BITS = 64
MAX_LEASE_NUMBER = (1 << LEASE_BITS) - 1
MAX_ERA_DIGITS = 4


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era; revision 0 gives 0 in every era.

    Raises:
        ValueError: the revision is out of range.
    """
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"revision {revision} is not in the range 0 to {MAX_REVISION}")
    return era << REVISION_BITS | revision if revision else 0


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the store's revision of a position."""
    return position & MAX_REVISION


def lease_id(era: int, number: int) -> int:
    """Return a lease identifier that is unique among all eras, or 0 for no lease."""
    return era << LEASE_BITS | number if number else 0


def lease_number(lease: int) -> int:
    """Return the store's number of a lease."""
    return lease & MAX_LEASE_NUMBER


def reported_era(era: int) -> int | None:
    """Return an era as the store reports it, or None if it reports none."""
    return era - 1 if era else None


def relative_position(position: int, base_era: int) -> int:
    """Return a position with its era relative to a base era, and at least 0."""
    return max(0, era_of(position) - base_era) << REVISION_BITS | revision_of(position)


class OldEraError(StoreUnavailableError):
    """A response is from an earlier era: its content may have been undone."""


def _ignore_new_era(era: int) -> None:
    """Ignore the start of an era."""


def _ignore_refused_answer(era: int, reported: str) -> None:
    """Ignore a refused response."""


@dataclass(slots=True)
class StoreEra:
    """The era of a store, as reported in its responses to this node.

    Attributes:
        era: the latest known era, one more than the store reported; 0 if it reported none.
        change_count: how often a later era was seen after the first response.
        on_new_era: called with the new era each time that `change_count` increases.
        on_refused_answer: called with the known era and the reported one when a response reports
            an earlier era, or none any more.
    """

    era: int = 0
    change_count: int = 0
    on_new_era: Callable[[int], None] = _ignore_new_era
    on_refused_answer: Callable[[int, str], None] = _ignore_refused_answer
    _has_response: bool = False

    def observe(self, reported: str) -> int:
        """Return the era of a response, from the era that it reports.

        Raises:
            OldEraError: the response is from an earlier era, or no longer reports one.
        """
        era = _parse(reported)
        if era < self.era:
            self.on_refused_answer(self.era, reported)
            raise OldEraError(f"response reports era {reported!r}, known era is {self.era - 1}")
        if era > self.era:
            self._start_era(era)
        self._has_response = True
        return era

    def _start_era(self, era: int) -> None:
        self.era = era
        if self._has_response:
            self.change_count += 1
            self.on_new_era(era)

    def condition_revision(self, position: int) -> int:
        """Return the store's revision for a position in a transaction condition.

        Raises:
            ConditionFailedError: the position is of an earlier era, whose revisions are reused.
        """
        # A peer may have seen a later era first.
        if era_of(position) > self.era:
            self._start_era(era_of(position))
        if position and era_of(position) != self.era:
            raise ConditionFailedError(f"position {position} is of an era before {self.era}")
        return revision_of(position)

    def current_lease_number(self, lease: int) -> int:
        """Return the store's number of a lease.

        Raises:
            LeaseGoneError: the lease is of an earlier era, whose numbers are reused.
        """
        if lease and lease >> LEASE_BITS != self.era:
            raise LeaseGoneError(f"lease {lease} is not of era {self.era}")
        return lease_number(lease)

    def watch_revision(self, position: int) -> int:
        """Return the store's revision for a mirror's position, after which a watch continues.

        Raises:
            HistoryGoneError: the mirror is of an earlier era, which the watch cannot continue.
        """
        if position and era_of(position) != self.era:
            raise HistoryGoneError(f"position {position} is not of era {self.era}")
        return revision_of(position)


def _parse(reported: str) -> int:
    """Return the era for a reported one, or 0 if it is absent or invalid."""
    if not (reported.isascii() and reported.isdigit()) or len(reported) > MAX_ERA_DIGITS:
        return 0
    return min(int(reported) + 1, MAX_ERA)
