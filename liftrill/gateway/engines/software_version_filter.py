"""Selects engines by software version: streams go on only at the version that began them."""

from collections import Counter
from collections.abc import Callable, Set

from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.streams.version_history import MIN_RETURN_WAIT_S

# A version with few engines beside many others has room for little more than the streams that only
# it can continue.
MAX_SCARCE_ENGINES = 2
MAX_SCARCE_SHARE = 0.25
# With a smaller share of the serving engines, other versions cannot take most of the new streams.
MIN_OTHERS_SHARE = 0.5


def _none_awaited(service: str) -> frozenset[str]:
    """Know of no waiting request that needs a version."""
    return frozenset()


def _not_ended(view: EngineView) -> bool:
    """Know of no engine that has ended before its record was removed."""
    return False


def _any_version(service: str, serving: Counter[str], now: float) -> Set[str]:
    """Know of no version at which streams may not begin."""
    return serving.keys()


def _need_nothing(service: str) -> None:
    """Ignore that a service lacks room."""


class SoftwareVersionFilter:
    """Selects the engines whose software version suits a request.

    Attributes:
        may_begin_at: returns the versions, of those that serve, at which streams that callers may
            resume may begin.
        need_version: called with a service whose engines of these versions have no room.
        awaited: returns the versions that waiting requests of a service need.
        has_ended: whether an incarnation has ended though its record is still there; another one
            at its address may have another version.
    """

    def __init__(self, engines: EngineTable) -> None:
        self.awaited: Callable[[str], frozenset[str]] = _none_awaited
        self.has_ended: Callable[[EngineView], bool] = _not_ended
        self.may_begin_at: Callable[[str, Counter[str], float], Set[str]] = _any_version
        self.need_version: Callable[[str], None] = _need_nothing
        self._engines = engines

    def of_required_version(
        self, request: OpaqueRequest, views: list[EngineView]
    ) -> list[EngineView]:
        """Return the engines that may serve a request by their version."""
        required = request.required_software_version
        if required is None:
            return views
        return [
            view
            for view in views
            if view.record.software_version == required and not self.has_ended(view)
        ]

    def by_preference(
        self, request: OpaqueRequest, ready: list[EngineView], serving: list[EngineView], now: float
    ) -> list[list[EngineView]]:
        """Return the engines to choose among first, and then.

        A request that any version may serve leaves the room of a scarce version to streams that
        only this version can continue, while other engines have room. A stream does not begin at
        a version that is being replaced, where it could not go on after the last engines leave.
        """
        if request.required_software_version is not None:
            return [ready]
        if len(self._engines.recorded_versions(request.service)) < 2:
            return [ready]
        counts = Counter(view.record.software_version for view in serving)
        spared = _scarce_versions(counts) | self.awaited(request.service)
        if request.route.resumable:
            spared |= self._replaced_versions(request.service, counts, now)
        allowed = self._where_streams_may_begin(request, ready, counts, now)
        preferred = [view for view in allowed if view.record.software_version not in spared]
        if len(preferred) == len(allowed) or not _has_room(preferred):
            return [allowed]
        return [preferred, allowed]

    def limits_versions(self, request: OpaqueRequest, now: float) -> bool:
        """Return whether a request may be sent to the engines of some versions alone."""
        if request.required_software_version is not None:
            return True
        if not begins_resumable_stream(request):
            return False
        if len(self._engines.recorded_versions(request.service)) < 2:
            return False
        counts = self._engines.serving_versions(request.service)
        return len(self.may_begin_at(request.service, counts, now)) < len(counts)

    def note_refused(self, request: OpaqueRequest, now: float) -> None:
        """Ask for engines of other versions if those that a new stream may use have no room."""
        if request.required_software_version is None and self.limits_versions(request, now):
            self.need_version(request.service)

    def _where_streams_may_begin(
        self, request: OpaqueRequest, ready: list[EngineView], serving: Counter[str], now: float
    ) -> list[EngineView]:
        """Return the engines at which a request may begin a stream, if it does so."""
        if not begins_resumable_stream(request):
            return ready
        versions = self.may_begin_at(request.service, serving, now)
        allowed = [view for view in ready if view.record.software_version in versions]
        if len(allowed) < len(ready) and not _has_room(allowed):
            self.need_version(request.service)
        return allowed

    def _replaced_versions(self, service: str, counts: Counter[str], now: float) -> frozenset[str]:
        """Return the versions that are being replaced, if others can take the new streams."""
        leaving = {
            v.record.software_version for v in self._engines.of_service(service) if v.leaving
        }
        replaced = leaving | self._engines.removed_versions.being_replaced(service, now)
        others = sum(count for version, count in counts.items() if version not in replaced)
        return frozenset(replaced if others >= MIN_OTHERS_SHARE * counts.total() else ())

    def return_s(self, request: OpaqueRequest, now: float) -> float:
        """Return the time until the required version may serve again, or 0 if it serves.

        If it is not expected to return, this is the time that the caller has left.
        """
        required = request.required_software_version
        if required is None:
            return 0.0
        known = self._engines.of_service(request.service)
        of_version = [view for view in known if view.record.software_version == required]
        if any(not view.leaving for view in of_version):
            return 0.0
        if not of_version:
            history = self._engines.removed_versions
            wait_s = history.return_wait_s(request.service, required, now)
            if wait_s is not None:
                return wait_s
        return max(MIN_RETURN_WAIT_S, request.deadline - now)


def begins_resumable_stream(request: OpaqueRequest) -> bool:
    """Return whether a request begins a stream that its caller may resume."""
    is_new = request.required_software_version is None
    return is_new and request.is_stream and request.route.resumable


def _has_room(views: list[EngineView]) -> bool:
    return any(view.requests < view.record.slots for view in views)


def _scarce_versions(counts: Counter[str]) -> frozenset[str]:
    """Return the versions with few engines, by the number of engines of each version."""
    most = min(MAX_SCARCE_ENGINES, MAX_SCARCE_SHARE * counts.total())
    return frozenset(version for version, count in counts.items() if count <= most)
