"""Remembers which software versions served until lately; performs no I/O."""

# An engine may go on serving for some seconds after its record was removed, a stream lasts until
# its request's deadline, and its caller resumes it within seconds after that.
RETENTION_S = 60.0
# Engines that crashed are mostly back within this time, at the version that they had.
RETURN_S = 5.0
# How long after an engine has drained and left others of its version are expected to drain too.
REPLACEMENT_S = 10.0
MAX_VERSIONS = 1_024


class VersionHistory:
    """The software versions of engines whose records were removed, by service."""

    def __init__(self) -> None:
        self._removed_at: dict[tuple[str, str], float] = {}
        self._drained_at: dict[tuple[str, str], float] = {}

    def record_removed(self, service: str, version: str, now: float, drained: bool) -> None:
        """Record that an engine's record was removed or replaced, after it drained or not."""
        _record_latest(self._removed_at, (service, version), now)
        if drained:
            _record_latest(self._drained_at, (service, version), now)

    def versions(self, service: str, now: float) -> set[str]:
        """Return the versions of the engines that were removed in the retention time."""
        return _recorded_since(self._removed_at, service, now - RETENTION_S)

    def being_replaced(self, service: str, now: float) -> set[str]:
        """Return the versions of engines that lately drained and left."""
        return _recorded_since(self._drained_at, service, now - REPLACEMENT_S)

    def may_return(self, service: str, version: str, now: float) -> bool:
        """Return whether a version without engines may serve again, or its first record may come.

        The record of a new engine may reach the node at which a stream began before this one.
        """
        removed_at = self._removed_at.get((service, version))
        return removed_at is None or now - removed_at < RETURN_S


def _record_latest(
    times: dict[tuple[str, str], float], version: tuple[str, str], now: float
) -> None:
    """Record the time of a version's last event, and drop the oldest of too many."""
    times.pop(version, None)
    times[version] = now
    if len(times) > MAX_VERSIONS:
        del times[next(iter(times))]


def _recorded_since(times: dict[tuple[str, str], float], service: str, since: float) -> set[str]:
    return {
        version
        for (of_service, version), at in times.items()
        if of_service == service and at > since
    }
