"""At which software versions a stream can have begun, as far as one node knows; performs no I/O.

What a node does not remember is evidence only for the time since it started. Before that, the
record in the store and the nodes that ran already tell which versions served.

Streams that callers may resume begin at recorded versions, as long as these have half of the
engines of a service. A version that came beside them and is not recorded yet began none of the
streams that all nodes have forgotten.
"""

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import dataclass

from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.streams.origin_ports import RecordedVersions
from liftrill.gateway.streams.stream_origins import ServiceVersion

# Nodes exchange what they know of streams within this time after they start or a version comes.
SETTLING_S = 1.0
# With a smaller share of a service's engines, recorded versions cannot take all of its streams.
MIN_RECORDED_SHARE = 0.5
# A version is recorded within this time, unless the store takes no writes.
MAX_RECORDING_S = 1.0
# All nodes that serve have read a record within this time, unless their copy of the store is late.
RECORD_ARRIVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """What one or more nodes know of the versions at which a stream can have begun.

    Attributes:
        served: the versions that may have begun streams that are not over.
        lacks_history: whether other versions may have served before the nodes started.
    """

    served: frozenset[ServiceVersion]
    lacks_history: bool = False

    def merged(self, other: "KnownVersions") -> "KnownVersions":
        """Return what is known by this knowledge and another together."""
        return KnownVersions(self.served | other.served, self.lacks_history and other.lacks_history)

    @property
    def sole(self) -> ServiceVersion | None:
        """The version that began all streams, or None if several may have."""
        if self.lacks_history or len(self.served) != 1:
            return None
        return next(iter(self.served))


class VersionEvidence:
    """What one node knows of the versions at which streams began."""

    def __init__(self, engines: EngineTable, recorded: RecordedVersions, now: float) -> None:
        self._engines = engines
        self._recorded = recorded
        self._started_at = now
        self._changed_at = now
        self._counts = engines.version_counts()
        # When streams may last have begun at a version that was not recorded.
        self._used_unrecorded_at: dict[ServiceVersion, float] = {}
        # Since when recorded versions have too few engines, by service.
        self._too_few_since: dict[str, float] = {}
        self._record_trusted_from = now

    def uptime_s(self, now: float) -> float:
        """Return how far back this node's memory goes."""
        return now - self._started_at

    def refresh(self, now: float) -> None:
        """Note whether a version has come or gone, and whether unrecorded versions may be used."""
        counts = self._engines.version_counts()
        if counts.keys() != self._counts.keys():
            self._changed_at = now
        self._counts = counts
        recorded = self._recorded
        changed = {s for s, version in counts if version not in recorded.of_service(s)}
        for service in changed:
            self._note_unrecorded(service, now)
        self._too_few_since = {s: at for s, at in self._too_few_since.items() if s in changed}

    def store_restored(self, now: float) -> None:
        """Do not rely on a record that is older than the versions that served."""
        self._record_trusted_from = now + self._recorded.retention_s

    def is_settled(self, now: float) -> bool:
        """Return whether nodes have exchanged what they know since the last change."""
        return now - max(self._started_at, self._changed_at) > SETTLING_S

    def served(self, services: Iterable[str], now: float) -> frozenset[ServiceVersion]:
        """Return the versions that serve, or lately served, in some services."""
        retention_s = self._recorded.retention_s
        return frozenset(
            ServiceVersion(service, version)
            for service in services
            for version in self._engines.software_versions(service, now, retention_s)
            | self._recorded.of_service(service)
        )

    def may_begin_at(self, service: str, serving: Counter[str], now: float) -> Set[str]:
        """Return the versions, of the serving engines, at which resumable streams may begin."""
        recorded = serving.keys() & self._recorded.of_service(service)
        read_by_all = {v for v in recorded if self._is_read_by_all(ServiceVersion(service, v), now)}
        for versions in (read_by_all, recorded):
            if recorded_suffice(serving, versions):
                return versions
        if not recorded:
            return serving.keys()
        since = self._too_few_since.setdefault(service, now)
        return recorded if now - since < MAX_RECORDING_S else serving.keys()

    def _is_read_by_all(self, version: ServiceVersion, now: float) -> bool:
        """Return whether other nodes know, too, that a version is recorded."""
        read_at = self._recorded.read_at(version)
        if read_at is None or read_at <= self._started_at + RECORD_ARRIVAL_S:
            return True
        return now - read_at > RECORD_ARRIVAL_S

    def began(self, origin: ServiceVersion, now: float) -> None:
        """Note that a stream began at a version, recorded or not."""
        if origin.software_version not in self._recorded.of_service(origin.service):
            self._used_unrecorded_at[origin] = now

    def has_unused(self, services: Iterable[str]) -> bool:
        """Return whether versions serve that are taken for unused."""
        return any(
            ServiceVersion(service, version) not in self._used_unrecorded_at
            for service in services
            for version in self._unrecorded(service)
        )

    def _unrecorded(self, service: str) -> Set[str]:
        return self._engines.recorded_versions(service) - self._recorded.of_service(service)

    def _note_unrecorded(self, service: str, now: float) -> None:
        """Note the unrecorded versions at which streams may have begun, here or elsewhere.

        None began at a version beside which recorded ones served since before it came.
        """
        unrecorded = self._unrecorded(service)
        if not unrecorded:
            return
        records = [view.record for view in self._engines.of_service(service) if not view.leaving]
        serving = self._engines.serving_versions(service)
        recorded = serving.keys() - unrecorded
        suffice = now >= self._record_trusted_from and recorded_suffice(serving, recorded)
        if suffice:
            self._too_few_since.pop(service, None)
        else:
            self._too_few_since.setdefault(service, now)
        born = sorted((r.born_unix_ms, r.software_version) for r in records)
        came_first = bool(born) and born[0][0] > 0 and born[0][1] in recorded
        if not (suffice and came_first):
            used = (ServiceVersion(service, version) for version in unrecorded)
            self._used_unrecorded_at |= dict.fromkeys(used, now)

    def _may_have_begun_at(self, service: str, now: float) -> set[ServiceVersion]:
        self._note_unrecorded(service, now)
        since = now - self._recorded.retention_s
        unrecorded = {
            used
            for used, at in self._used_unrecorded_at.items()
            if used.service == service and at > since
        }
        recorded = self._recorded.of_service(service)
        return unrecorded | {ServiceVersion(service, version) for version in recorded}

    def known(self, services: Iterable[str], now: float) -> KnownVersions:
        """Return what this node knows of the versions at which a stream can have begun."""
        remembers_all = self.uptime_s(now) > self._recorded.retention_s
        began = {each for service in services for each in self._may_have_begun_at(service, now)}
        return KnownVersions(frozenset(began), self._recorded.lacks_history and not remembers_all)


def recorded_suffice(serving: Counter[str], recorded: Set[str]) -> bool:
    """Return whether the engines of recorded versions can take all streams of a service."""
    count = sum(serving[version] for version in recorded)
    return count > 0 and count >= MIN_RECORDED_SHARE * serving.total()
