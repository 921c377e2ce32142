"""Binds resumed streams to the software version that began them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.decision_log import MAX_LOGGED_ID_LENGTH, DecisionLog
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.peers.peer_link import PeerLink
from liftrill.gateway.streams.origin_codec import OriginMessage
from liftrill.gateway.streams.origin_exchange import (
    Answers,
    KnownVersions,
    OriginExchange,
    OriginPeers,
)
from liftrill.gateway.streams.origin_ports import OriginStorage, RecordedVersions
from liftrill.gateway.streams.stream_origins import (
    MAX_LIFETIME_S,
    RESUMPTION_GRACE_S,
    OriginEntry,
    OriginTable,
    ServiceVersion,
    origin_key,
)
from liftrill.gateway.streams.version_history import RETENTION_S

# Another node may know the origin, and nodes that just learned of a second version send the origins
# of their streams within a housekeeping interval.
UNKNOWN_RETRY_S = 0.3
# A node raises its incarnation by one with each refuted suspicion, and as it starts to the time in
# milliseconds.
MAX_REFUTATIONS = 100


class MemberPeers(OriginPeers):
    """The peers that membership knows to be alive."""

    def __init__(self, membership: Membership, link: PeerLink) -> None:
        self._membership = membership
        self._link = link

    def others(self) -> list[Member]:
        """Return the other nodes that are alive."""
        return self._membership.alive_others()

    def send(self, node: str, content: OriginMessage) -> None:
        """Send a message to one node."""
        self._link.send_origin(content, node)


@dataclass(frozen=True, slots=True)
class _Resolution:
    """The origin of a resumed stream, and how it was found.

    Attributes:
        origin: None if it is unknown.
        source: who knew the origin ("own", "peer" or "store"), "sole" if only one version served
            lately, or "unused" if no stream can have begun at the others.
    """

    origin: ServiceVersion | None
    source: str


class OriginTracker:
    """Records the origins of one node's streams, and finds those of the streams it resumes."""

    def __init__(
        self,
        engines: EngineTable,
        peers: OriginPeers,
        recorded_versions: RecordedVersions,
        storage: OriginStorage,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._engines = engines
        self._recorded_versions = recorded_versions
        self._storage = storage
        self._log = log
        self._metrics = metrics
        self._table = OriginTable()
        self._started_at = clock.now_s()
        self._exported: Counter[tuple[str, str]] = Counter()
        self._exchange = OriginExchange(self._table, peers, self._known_versions)
        self._incarnations: dict[str, int] = {}
        self._has_lost_nodes = False

    def receive(self, sender: str, content: OriginMessage) -> None:
        """Handle a message of a peer."""
        self._exchange.receive(sender, content)

    async def resolve(self, request: OpaqueRequest) -> OpaqueRequest | AdmissionRefusal:
        """Return a request bound to the version that began its stream, or why it is refused."""
        if not request.resumes_stream:
            return request
        asked_at = clock.now_s()
        resolution, answers = await self._resolve(request)
        self._metrics.resumed_streams.labels(resolution.source).inc()
        origin = resolution.origin
        served = self._served(request.route.services) | answers.served
        self._log.stream_resumed(
            request,
            origin.software_version if origin is not None else "",
            resolution.source,
            f"{len(answers.answered)}/{len(answers.asked)}",
            clock.now_s() - asked_at,
            sorted(f"{each.service}/{each.software_version}" for each in served),
            asked_at - self._started_at,
        )
        if origin is None:
            why = f"resumes={request.resumed_request_id[:MAX_LOGGED_ID_LENGTH]!r}"
            return AdmissionRefusal(ResultCode.STREAM_ORIGIN_UNKNOWN, UNKNOWN_RETRY_S, why)
        if origin.service not in request.route.services:
            why = f"service {origin.service} has left the route"
            wait_s = max(0.0, request.deadline - clock.now_s())
            return AdmissionRefusal(ResultCode.STREAM_VERSION_UNAVAILABLE, wait_s, why)
        bound = replace(request, service=origin.service)
        bound.require_software_version(origin.software_version)
        return bound

    async def _resolve(self, request: OpaqueRequest) -> tuple[_Resolution, Answers]:
        key = origin_key(request, request.resumed_request_id)
        own = self._table.get(key, clock.now_s())
        if own is not None:
            return _resolution(own, "own"), Answers(set())
        services = request.route.services
        answers = await self._exchange.ask(key, services)
        if answers.origin is not None:
            return _resolution(answers.origin, "peer"), answers
        known = self._known_versions(services)
        has_history = answers.has_history or not known.lacks_history
        served = known.served | answers.served
        if len(served) == 1 and has_history:
            return _Resolution(next(iter(served)), "sole"), answers
        stored = await self._storage.find(key)
        if stored is not None:
            return _resolution(stored, "store"), answers
        possible = served - known.unused - answers.unused
        # A node that does not answer may have ended unnoticed, with the origins of its streams.
        if len(possible) == 1 and has_history and answers.answered == answers.asked:
            return _Resolution(next(iter(possible)), "unused"), answers
        return _Resolution(None, "unknown"), answers

    def stream_began(self, request: OpaqueRequest, choice: EngineChoice) -> None:
        """Record which engine wrote the first event of an answer, before the caller gets it."""
        if not request.is_stream or not request.route.resumable:
            return
        now = clock.now_s()
        key = origin_key(request, request.resumed_request_id or request.request_id)
        origin = ServiceVersion(request.service, choice.software_version)
        expires_at = min(request.deadline + RESUMPTION_GRACE_S, now + MAX_LIFETIME_S)
        entry = OriginEntry(key, origin, expires_at)
        self._table.record(entry, now)
        services = request.route.services
        if len(self._served(services)) > 1:
            self._publish([entry])
        else:
            self._table.keep_unsent(services, entry)

    def refresh(self, now: float) -> None:
        """Send the origins of earlier streams of services that now have several versions."""
        for services in self._table.unsent_services():
            if len(self._served(services)) > 1:
                self._publish(self._table.take_unsent(services, now))
        self._table.expire(now)
        self._metrics.stream_origins.set(len(self._table))
        self._export_versions()

    def _publish(self, entries: list[OriginEntry]) -> None:
        """Send origins to the nodes that hold them, and to the store."""
        self._exchange.send(entries)
        self._storage.save(entries)

    def note_node(self, member: Member) -> None:
        """Note whether a node has ended since this one started."""
        known = self._incarnations.get(member.node_id, member.incarnation)
        was_restarted = member.incarnation - known > MAX_REFUTATIONS
        self._has_lost_nodes |= was_restarted or member.condition >= Condition.DEAD
        self._incarnations[member.node_id] = member.incarnation

    def _export_versions(self) -> None:
        """Export how many engines of each software version have records, if that changed."""
        counts = self._engines.version_counts()
        if counts is self._exported:
            return
        self._exported = counts
        self._metrics.engine_versions.clear()
        for (service, version), count in counts.items():
            self._metrics.engine_versions.labels(service, version).set(count)

    def _served(self, services: Iterable[str]) -> frozenset[ServiceVersion]:
        """Return the versions that serve, or lately served, in some services."""
        now = clock.now_s()
        return frozenset(
            ServiceVersion(service, version)
            for service in services
            for version in self._engines.software_versions(service, now)
            | self._recorded_versions.of_service(service)
        )

    def _known_versions(self, services: Iterable[str]) -> KnownVersions:
        """Return what this node knows of the versions at which a stream can have begun.

        Streams begin only at recorded versions, and nodes that are alive know the origins of
        theirs. So a forgotten stream began at a version that was recorded when this node started,
        unless a node has ended since.
        """
        served = self._served(services)
        recorded = self._recorded_versions
        if clock.now_s() - self._started_at > RETENTION_S:
            return KnownVersions(served)
        knows_unused = bool(recorded.initial) and not self._has_lost_nodes
        unused = served - recorded.initial if knows_unused else frozenset()
        return KnownVersions(served, unused, recorded.lacks_history)


def _resolution(origin: ServiceVersion, source: str) -> _Resolution:
    """Return a known origin, or none if reports on the stream contradict each other."""
    if not origin.software_version:
        return _Resolution(None, "contradictory")
    return _Resolution(origin, source)
