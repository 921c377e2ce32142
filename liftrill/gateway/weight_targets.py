"""Which weight versions a request may still begin on."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.records import WeightTarget

# What a copy of the store lacks without any gap: as old as the last proof. A leader that took
# each version to be as old would load more engines at once than it must (0.78 instead of 0.91 of
# the requests' worth on a day on which 6 in 10 orders get no answer; one play each).
USUAL_STORE_LAG_S = constants.KEY_PROOF_INTERVAL_SECONDS


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """A version that the operator named, and when it may have been (steady clock).

    Attributes:
        published_at: the earliest time at which it may have been named: requests go by it.
        learned_at: when it was heard of, or before that if there was a gap: a leader paces loads
            by it.
        age_known: False where it was found in the first reading of the store: it may have
            been named long before this process began.
    """

    version: int
    published_at: float
    learned_at: float
    age_known: bool = True


@dataclass(slots=True)
class WeightTargets:
    """The versions named for each model.

    A version may serve until the grace of every newer one has passed, counted from when it
    may have been named at the earliest, less a margin for the way there.

    Attributes:
        grace_seconds: how long after the naming a request may still be sent to begin on an
            older version.
        begin_seconds: how long after the naming it may still begin there.
    """

    grace_seconds: float
    begin_seconds: float = math.inf
    _published: dict[str, list[PublishedVersion]] = field(default_factory=dict)
    _listeners: list[Callable[[], None]] = field(default_factory=list)

    def on_published(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a version was named."""
        self._listeners.append(listener)

    def add(
        self,
        target: WeightTarget,
        published_at: float,
        age_known: bool = True,
        now: float | None = None,
    ) -> bool:
        """Take note of a target, heard of now, or when it was named; return whether it is news."""
        published = self._published.setdefault(target.model, [])
        if published and published[-1].version >= target.version:
            return False
        learned_at = published_at
        if age_known and now is not None:
            learned_at = min(now, published_at + USUAL_STORE_LAG_S)
        published.append(PublishedVersion(target.version, published_at, learned_at, age_known))
        for listener in self._listeners:
            listener()
        return True

    def earliest_publication(self, known_until: float, now: float) -> float:
        """Return since when a version that is news now may have been named.

        A node that was cut off for long, or that has just started, can't tell. Half of the
        grace is a guess that makes a leader hurry, and leaves time to bring engines there.
        """
        return max(known_until, now - self.grace_seconds / 2)

    def models(self) -> list[str]:
        """Return the models for which a version was named."""
        return list(self._published)

    def newest(self, model: str) -> int:
        """Return the newest version named for a model, or 0 if none was."""
        published = self._published.get(model)
        return published[-1].version if published else 0

    def minimum_version(self, model: str, now: float) -> int:
        """Return the lowest version on which a request may begin now."""
        published = self._published.get(model, [])
        limit = now - self.grace_seconds
        timed = (n.version for n in published if n.age_known and n.published_at <= limit)
        return max(timed, default=0)

    def newest_undated(self, model: str) -> int:
        """Return the newest version that may be older than any grace, or 0.

        Where some engine has it, or a version near it, none that is older may be used.
        """
        return max(
            (n.version for n in self._published.get(model, []) if not n.age_known), default=0
        )

    def superseded_at(self, model: str, version: int) -> float:
        """Return when a newer version than one was first named, or infinity."""
        published = self._published.get(model, [])
        return min((n.published_at for n in published if n.version > version), default=math.inf)

    def begin_by(self, model: str, version: int) -> float:
        """Return until when a request may begin on a version (steady clock)."""
        published = self._published.get(model, [])
        newer = [n.published_at for n in published if n.age_known and n.version > version]
        return min(newer) + self.begin_seconds if newer else math.inf

    def newer_versions(self, model: str, reached: int) -> list[PublishedVersion]:
        """Return the named versions that are newer than one reached, oldest first."""
        return [n for n in self._published.get(model, []) if n.version > reached]
