"""At which software versions a stream can have begun, as far as one node knows; performs no I/O.

What a node does not remember is evidence only for the time since it started. Before that, the
record in the store and the nodes that ran already tell which versions served.

Streams that callers may resume begin at recorded versions, as long as any of them serves. A version
that has come and is not recorded yet began none of the streams that all nodes have forgotten.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass

from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.streams.origin_ports import RecordedVersions
from liftrill.gateway.streams.stream_origins import ServiceVersion

# Nodes exchange what they know of streams within this time after they start or a version comes.
SETTLING_S = 1.0


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

    def uptime_s(self, now: float) -> float:
        """Return how far back this node's memory goes."""
        return now - self._started_at

    def refresh(self, now: float) -> None:
        """Note whether a version has come or gone, and whether unrecorded versions may be used."""
        counts = self._engines.version_counts()
        if counts.keys() != self._counts.keys():
            self._changed_at = now
        self._counts = counts
        for service in {service for service, _ in counts}:
            self._note_unrecorded_use(service, now)

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

    def may_begin_at(self, service: str, serving: Set[str], now: float) -> Set[str]:
        """Return the versions, of those that serve, at which resumable streams may begin."""
        recorded = serving & self._recorded.of_service(service)
        if recorded:
            return recorded
        self._used_unrecorded_at |= {ServiceVersion(service, version): now for version in serving}
        return serving

    def _note_unrecorded_use(self, service: str, now: float) -> None:
        """Note whether streams may begin, here or at other nodes, at unrecorded versions."""
        if self._engines.recorded_versions(service) <= self._recorded.of_service(service):
            return
        views = self._engines.of_service(service)
        serving = {view.record.software_version for view in views if not view.leaving}
        self.may_begin_at(service, serving, now)

    def _may_have_begun_at(self, service: str, now: float) -> set[ServiceVersion]:
        self._note_unrecorded_use(service, now)
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
