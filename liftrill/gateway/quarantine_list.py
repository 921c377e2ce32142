"""The requests that are sent to no engine, and until when, sans-IO.

Times are of the day: the list outlives processes, and whatever a steady clock says on one
machine means nothing on another. Clocks that differ by seconds move an end by seconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

# For how long a request is kept from engines the first time; each end after that doubles it.
# Long beside the seconds in which callers repeat, short beside the time in which engines are
# mended (guess).
FIRST_QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 6 * 3600.0
# For how long it is remembered after that that a request was quarantined: one early end then
# is enough (guess: a day).
RETENTION_S = 24 * 3600.0
# The most requests in the list; those whose time ends first go first. 0.1 MB.
MAX_ENTRIES = 256


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """One request that is, or was, kept from engines.

    Attributes:
        times: how often it has been.
        route: name of its route, or empty where that is not known here.
        engines: names of those that ended under it.
    """

    fingerprint: bytes
    until_unix_s: float
    quarantine_count: int = 1
    route: str = ""
    tenant: str = ""
    engines: tuple[str, ...] = ()


@dataclass(slots=True)
class QuarantineList:
    """The entries that one node knows."""

    _entries: dict[bytes, QuarantineEntry] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QuarantineEntry]:
        return iter(self._entries.values())

    def get(self, fingerprint: bytes) -> QuarantineEntry | None:
        """Return the entry of a request, also one that is no longer in force."""
        return self._entries.get(fingerprint)

    def remaining_s(self, fingerprint: bytes, now_unix_s: float) -> float:
        """Return for how long a request is still kept from engines, or 0."""
        entry = self._entries.get(fingerprint)
        return max(0.0, entry.until_unix_s - now_unix_s) if entry else 0.0

    def in_force(self, now_unix_s: float) -> int:
        """Return how many requests are kept from engines."""
        return sum(entry.until_unix_s > now_unix_s for entry in self)

    def next_entry(self, fingerprint: bytes, now_unix_s: float) -> QuarantineEntry:
        """Return what a request gets under which engines have ended now."""
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
        """Let a request go; return whether it was in the list."""
        return self._entries.pop(fingerprint, None) is not None

    def past_retention(self, now_unix_s: float) -> list[QuarantineEntry]:
        """Return the entries that are no longer to be remembered."""
        return [entry for entry in self if entry.until_unix_s + RETENTION_S < now_unix_s]
