"""Binds resumed streams to the software version that began them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Member
from liftrill.errors import ResultCode, StoreError
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.decision_log import MAX_LOGGED_ID_LENGTH, DecisionLog
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.peers.peer_link import PeerLink
from liftrill.gateway.streams.origin_codec import OriginMessage, OriginReport
from liftrill.gateway.streams.origin_exchange import Answers, OriginExchange, OriginPeers
from liftrill.gateway.streams.origin_ports import OriginStorage, RecordedVersions
from liftrill.gateway.streams.stream_origins import (
    MAX_LIFETIME_S,
    RESUMPTION_GRACE_S,
    OriginEntry,
    OriginTable,
    ServiceVersion,
    origin_key,
)
from liftrill.gateway.streams.version_evidence import (
    RECORD_ARRIVAL_S,
    KnownVersions,
    VersionEvidence,
)

# Another node may know the origin, and nodes that just learned of a second version send the origins
# of their streams within a housekeeping interval.
UNKNOWN_RETRY_S = 0.3
# The key of no stream, to ask nodes whether they answer.
NO_STREAM = 0


class MemberPeers(OriginPeers):
    """The peers that membership knows to be alive."""

    def __init__(self, membership: Membership, link: PeerLink) -> None:
        self._membership = membership
        self._link = link

    @property
    def own(self) -> Member:
        """The member that is this node."""
        return self._membership.own

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
        source: who knew the origin ("own", "peer" or "store"), or "sole" if only one version
            served lately; "unread" if the store could not be read.
        is_final: whether an unknown origin stays unknown.
    """

    origin: ServiceVersion | None
    source: str
    is_final: bool = True


class OriginTracker:
    """Records the origins of one node's streams, and finds those of the streams it resumes.

    Attributes:
        evidence: what this node knows of the versions at which streams began.
    """

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
        self.evidence = VersionEvidence(engines, recorded_versions, clock.now_s())
        self._log = log
        self._metrics = metrics
        self._table = OriginTable()
        self._exported: Counter[tuple[str, str]] = Counter()
        self._exchange = OriginExchange(self._table, peers, storage, self._known_versions)

    def receive(self, sender: str, content: OriginMessage) -> None:
        """Handle a message of a peer."""
        if isinstance(content, OriginReport):
            for entry in content.entries:
                self.evidence.began(entry.origin, clock.now_s())
        self._exchange.receive(sender, content)

    async def resolve(self, request: OpaqueRequest) -> OpaqueRequest | AdmissionRefusal:
        """Return a request bound to the version that began its stream, or why it is refused."""
        if not request.resumes_stream:
            return request
        asked_at = clock.now_s()
        resolution, answers = await self._resolve(request, asked_at)
        self._metrics.resumed_streams.labels(resolution.source).inc()
        origin = resolution.origin
        known = self._known_versions(request.route.services).merged(answers.known)
        self._log.stream_resumed(
            request,
            origin.software_version if origin is not None else "",
            resolution.source,
            f"{len(answers.answered)}/{len(answers.asked)}",
            clock.now_s() - asked_at,
            sorted(f"{each.service}/{each.software_version}" for each in known.served),
            self.evidence.uptime_s(asked_at),
            self._recorded_versions.copy_age_s(clock.now_s()),
        )
        if origin is None:
            why = f"resumes={request.resumed_request_id[:MAX_LOGGED_ID_LENGTH]!r}"
            left_s = max(0.0, request.deadline - clock.now_s())
            wait_s = left_s if resolution.is_final else UNKNOWN_RETRY_S
            return AdmissionRefusal(ResultCode.STREAM_ORIGIN_UNKNOWN, wait_s, why)
        if origin.service not in request.route.services:
            why = f"service {origin.service} has left the route"
            wait_s = max(0.0, request.deadline - clock.now_s())
            return AdmissionRefusal(ResultCode.STREAM_VERSION_UNAVAILABLE, wait_s, why)
        bound = replace(request, service=origin.service)
        bound.require_software_version(origin.software_version)
        return bound

    async def _resolve(
        self, request: OpaqueRequest, asked_at: float
    ) -> tuple[_Resolution, Answers]:
        key = origin_key(request, request.resumed_request_id)
        own = self._table.get(key, clock.now_s())
        if own is not None:
            return _resolution(own, "own"), Answers(set())
        services = request.route.services
        answers = await self._exchange.ask(key, services)
        if answers.origin is not None:
            return _resolution(answers.origin, "peer"), answers
        try:
            sole = await self._sole_version(services, answers, asked_at)
        except StoreError as error:
            self._log.state_changed("versions_not_read", why=repr(error))
            return await self._resolve_unread(key, services, answers, asked_at)
        if sole is not None and not self.evidence.has_unused(services):
            return _Resolution(sole, "sole"), answers
        resolution = await self._read_origin(key)
        if sole is not None and resolution.source == "unknown":
            return _Resolution(sole, "sole"), answers
        if resolution.source == "unknown":
            is_settled = self.evidence.is_settled(clock.now_s())
            resolution = replace(
                resolution, is_final=is_settled and answers.answered == answers.asked
            )
        return resolution, answers

    async def _sole_version(
        self, services: tuple[str, ...], answers: Answers, asked_at: float
    ) -> ServiceVersion | None:
        """Return the version that began all streams of some services, or None if several may have.

        Streams begin at a version some time after it is recorded. That this node does not know of
        a second one is evidence only if it knows all that were recorded until then.
        """
        if self._known_versions(services).merged(answers.known).sole is None:
            return None
        await self._recorded_versions.confirm(asked_at - RECORD_ARRIVAL_S)
        return self._known_versions(services).merged(answers.known).sole

    async def _resolve_unread(
        self, key: int, services: tuple[str, ...], answers: Answers, asked_at: float
    ) -> tuple[_Resolution, Answers]:
        """Find the origin of a stream as far as that is possible without the store.

        While the store is silent to all nodes, streams begin at no further version. It may be
        silent to this node alone: the nodes that hold the origin know if they did.
        """
        if self._recorded_versions.is_trusted_unread(asked_at - RECORD_ARRIVAL_S):
            # Nodes that were suspected when it was asked before may be back.
            answers = await self._exchange.ask(key, services, of_all=True)
            if answers.origin is not None:
                return _resolution(answers.origin, "peer"), answers
            sole = self._known_versions(services).merged(answers.known).sole
            if sole is not None and answers.suffice and not self.evidence.has_unused(services):
                return _Resolution(sole, "sole"), answers
        return _Resolution(None, "unread", is_final=False), answers

    async def _read_origin(self, key: int) -> _Resolution:
        """Return the origin of a stream that all nodes have forgotten."""
        try:
            stored = await self._storage.find(key)
        except StoreError as error:
            self._log.state_changed("origins_not_read", why=repr(error))
            return _Resolution(None, "unread", is_final=False)
        if stored is not None:
            return _resolution(stored, "store")
        return _Resolution(None, "unknown")

    async def peers_answer(self) -> bool:
        """Return whether the nodes that are asked for an origin answer, or all but one."""
        return (await self._exchange.ask(NO_STREAM, (), of_all=True)).suffice

    def stream_began(self, request: OpaqueRequest, choice: EngineChoice) -> None:
        """Record which engine wrote the first event of an answer, before the caller gets it."""
        if not request.is_stream or not request.route.resumable:
            return
        now = clock.now_s()
        key = origin_key(request, request.resumed_request_id or request.request_id)
        origin = ServiceVersion(request.service, choice.software_version)
        lifetime_s = min(request.deadline - now + RESUMPTION_GRACE_S, MAX_LIFETIME_S)
        self._recorded_versions.note_lifetime(lifetime_s)
        entry = OriginEntry(key, origin, now + lifetime_s)
        self._table.record(entry, now)
        self.evidence.began(origin, now)
        services = request.route.services
        if len(self.evidence.served(services, now)) > 1:
            self._exchange.send([entry])
        else:
            self._table.keep_unsent(services, entry)

    def refresh(self, now: float) -> None:
        """Send the origins of earlier streams of services that now have several versions."""
        for services in self._table.unsent_services():
            if len(self.evidence.served(services, now)) > 1:
                self._exchange.send(self._table.take_unsent(services, now))
        self._table.expire(now)
        self.evidence.refresh(now)
        self._exchange.refresh()
        self._metrics.stream_origins.set(len(self._table))
        self._export_versions()

    def _export_versions(self) -> None:
        """Export how many engines of each software version have records, if that changed."""
        counts = self._engines.version_counts()
        if counts is self._exported:
            return
        self._exported = counts
        self._metrics.engine_versions.clear()
        for (service, version), count in counts.items():
            self._metrics.engine_versions.labels(service, version).set(count)

    def _known_versions(self, services: Iterable[str]) -> KnownVersions:
        return self.evidence.known(services, clock.now_s())


def _resolution(origin: ServiceVersion, source: str) -> _Resolution:
    """Return a known origin, or none if reports on the stream contradict each other."""
    if not origin.software_version:
        return _Resolution(None, "contradictory")
    return _Resolution(origin, source)
