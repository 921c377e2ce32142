"""Requests and prompt parts in quarantine, which are sent to no engine, and until when, sans-IO.

Times are wall-clock times, because the list outlives processes and steady clocks of different
machines cannot be compared. Clock differences of seconds shift the end of a quarantine by seconds.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field, replace

# Duration of a request's first quarantine; each further one doubles it. It is long compared with
# the seconds within which callers retry, and short compared with the time to repair engines.
FIRST_QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 6 * 3600.0
# How long an ended quarantine is remembered: within a day, one early end is enough for the next.
RETENTION_S = 24 * 3600.0
# Size limit of the list (0.1 MB); the entries that expire first are removed first.
MAX_ENTRIES = 256


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """One request, or part of prompts, that is or was in quarantine.

    Attributes:
        fingerprint: the fingerprint of the request, or the digest of the part.
        quarantine_count: how often it was put into quarantine, or applied to more requests.
        route: name of its route, or empty if not known here.
        engines: names of the engines that ended while they ran it.
        part: id of the part, or empty if it is a request or not known here.
        only_tenant: hash of the only tenant to which it applies, or 0.
        companions: digests of parts without which a prompt is not refused, because all runs that
            crashed engines had them too.
        environment: hash of the software version of the engines that ended, or 0 if they differ.
    """

    fingerprint: bytes
    until_unix_s: float
    quarantine_count: int = 1
    route: str = ""
    tenant: str = ""
    engines: tuple[str, ...] = ()
    part: str = ""
    only_tenant: int = 0
    companions: tuple[bytes, ...] = ()
    environment: int = 0

    def widened_by(self, known: "QuarantineEntry", now_unix_s: float) -> "QuarantineEntry":
        """Return this new entry, extended to the requests that the known one covers.

        While the known one is in force it only covers more requests, and does not last longer.
        """
        is_in_force = known.until_unix_s > now_unix_s
        return replace(
            self,
            until_unix_s=known.until_unix_s if is_in_force else self.until_unix_s,
            engines=(*known.engines, *self.engines),
            only_tenant=self.only_tenant if self.only_tenant == known.only_tenant else 0,
            companions=tuple(c for c in self.companions if c in known.companions),
            environment=self.environment if self.environment == known.environment else 0,
        )

    def covers(self, tenant: int, subjects: Collection[bytes]) -> bool:
        """Return whether the quarantine applies to a run of a tenant with some subjects."""
        if self.fingerprint not in subjects or self.only_tenant not in (0, tenant):
            return False
        return all(companion in subjects for companion in self.companions)


@dataclass(slots=True)
class QuarantineList:
    """The quarantine entries that one node knows."""

    _entries: dict[bytes, QuarantineEntry] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QuarantineEntry]:
        return iter(self._entries.values())

    def get(self, fingerprint: bytes) -> QuarantineEntry | None:
        """Return the entry of a request or part, in force or not, or None."""
        return self._entries.get(fingerprint)

    def remaining_s(self, fingerprint: bytes, now_unix_s: float) -> float:
        """Return for how long a request or part remains in quarantine, or 0."""
        entry = self._entries.get(fingerprint)
        return max(0.0, entry.until_unix_s - now_unix_s) if entry else 0.0

    def covering(
        self, tenant: int, subjects: Collection[bytes], now_unix_s: float
    ) -> list[QuarantineEntry]:
        """Return the entries in force that apply to a run of a tenant with some subjects."""
        known = (self._entries.get(subject) for subject in subjects)
        return [
            entry
            for entry in known
            if entry and entry.until_unix_s > now_unix_s and entry.covers(tenant, subjects)
        ]

    def in_force(self, now_unix_s: float) -> int:
        """Return how many requests and parts are in quarantine now."""
        return sum(entry.until_unix_s > now_unix_s for entry in self)

    def next_entry(self, fingerprint: bytes, now_unix_s: float) -> QuarantineEntry:
        """Return the entry for a request or part that is put into quarantine now."""
        known = self._entries.get(fingerprint)
        count = known.quarantine_count + 1 if known else 1
        duration_s = min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0 ** (count - 1))
        return QuarantineEntry(fingerprint, now_unix_s + duration_s, count)

    def put(self, entry: QuarantineEntry) -> None:
        """Add an entry, or replace the one of the same request."""
        self._entries[entry.fingerprint] = entry
        if len(self._entries) > MAX_ENTRIES:
            first = min(self, key=lambda known: known.until_unix_s)
            del self._entries[first.fingerprint]

    def remove(self, fingerprint: bytes) -> bool:
        """Remove the entry of a request; return whether there was one."""
        return self._entries.pop(fingerprint, None) is not None

    def past_retention(self, now_unix_s: float) -> list[QuarantineEntry]:
        """Return the entries whose retention time is over."""
        return [entry for entry in self if entry.until_unix_s + RETENTION_S < now_unix_s]
