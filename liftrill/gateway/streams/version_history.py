"""Remembers which software versions served until lately; performs no I/O."""

# An engine may go on serving for some seconds after its record was removed, a stream lasts until
# its request's deadline, and its caller resumes it within seconds after that. Longer where a
# deadline is.
RETENTION_S = 60.0
# Engines that crashed are mostly back within this time, at the version that they had.
RETURN_S = 5.0
MIN_RETURN_WAIT_S = 0.5
# A record reaches all nodes within this time.
RECORD_ARRIVAL_S = 1.0
# How long after an engine has drained and left others of its version are expected to drain too.
REPLACEMENT_S = 10.0
MAX_VERSIONS = 1_024


class VersionHistory:
    """The software versions of engines whose records were removed, by service."""

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        # When a version that never had a record here was first asked for.
        self._asked_at: dict[tuple[str, str], float] = {}
        self._removed_at: dict[tuple[str, str], float] = {}
        self._drained_at: dict[tuple[str, str], float] = {}

    def record_removed(self, service: str, version: str, now: float, drained: bool) -> None:
        """Record that an engine's record was removed or replaced, after it drained or not."""
        _record_latest(self._removed_at, (service, version), now)
        if drained:
            _record_latest(self._drained_at, (service, version), now)

    def versions(self, service: str, now: float, retention_s: float = RETENTION_S) -> set[str]:
        """Return the versions of the engines that were removed in the retention time."""
        return _recorded_since(self._removed_at, service, now - retention_s)

    def being_replaced(self, service: str, now: float) -> set[str]:
        """Return the versions of engines that lately drained and left."""
        return _recorded_since(self._drained_at, service, now - REPLACEMENT_S)

    def return_wait_s(self, service: str, version: str, now: float) -> float | None:
        """Return how long to wait for a version without engines, or None if it has gone for good.

        The longer it has been missing, the longer the wait. The record of a new engine may reach
        the node at which a stream began before this one, and engines may start with the nodes.
        """
        named = (service, version)
        removed_at = self._removed_at.get(named)
        if removed_at is None and now - self._started_at >= RETURN_S:
            _record_first(self._asked_at, named, now)
            return MIN_RETURN_WAIT_S if now - self._asked_at[named] < RECORD_ARRIVAL_S else None
        missing_s = now - (self._started_at if removed_at is None else removed_at)
        return max(MIN_RETURN_WAIT_S, missing_s) if missing_s < RETURN_S else None


def _record_latest(
    times: dict[tuple[str, str], float], version: tuple[str, str], now: float
) -> None:
    """Record the time of a version's last event, and drop the oldest of too many."""
    times.pop(version, None)
    times[version] = now
    if len(times) > MAX_VERSIONS:
        del times[next(iter(times))]


def _record_first(
    times: dict[tuple[str, str], float], version: tuple[str, str], now: float
) -> None:
    """Record the time of a version's first event, and drop the oldest of too many."""
    times.setdefault(version, now)
    if len(times) > MAX_VERSIONS:
        del times[next(iter(times))]


def _recorded_since(times: dict[tuple[str, str], float], service: str, since: float) -> set[str]:
    return {
        version
        for (of_service, version), at in times.items()
        if of_service == service and at > since
    }
