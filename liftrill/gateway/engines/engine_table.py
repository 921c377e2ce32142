"""The engines as seen by one node: their records, loads and health."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

import xxhash

from liftrill import clock, constants
from liftrill.coordination.circuit import CircuitBreaker
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_condition import (
    MAX_ENTRIES,
    EngineCondition,
    EngineConditions,
    EngineSignal,
)
from liftrill.gateway.engines.engine_speed import EngineSpeed
from liftrill.gateway.engines.unrecorded_engine_state import (
    SeenWeights,
    UnrecordedEngineState,
    WithheldRecord,
)
from liftrill.gateway.records import EngineRecord
from liftrill.gateway.streams.version_history import RETENTION_S, VersionHistory


def engine_number(incarnation: str) -> int:
    """Return the 64-bit hash that identifies one incarnation of an engine on all nodes."""
    return xxhash.xxh3_64_intdigest(incarnation.encode())


def _new_breaker() -> CircuitBreaker:
    return CircuitBreaker(constants.CIRCUIT_FAILURES_TO_OPEN, constants.CIRCUIT_OPEN_SECONDS)


@dataclass(frozen=True, slots=True)
class EngineNotice:
    """Notice of the weight controller about the weights of one engine.

    Attributes:
        version: the version that the engine has, or is about to have while `loading`.
        sequence: orders the notices about one engine.
        number: of the incarnation that the notice is about, or 0 if engines report no start time.
    """

    engine_id: str
    model: str
    version: int
    loading: bool
    sequence: int
    number: int = 0


@dataclass(slots=True)
class EngineLoad:
    """Outstanding work on one engine.

    Attributes:
        requests: requests in flight.
        waiting_tokens: prompt tokens of requests that were sent and not answered yet.
        resident_tokens: tokens that running requests occupy, or will occupy, in engine memory.
        body_kilobytes: body size of requests that were sent and not fully answered yet.
        number: of the incarnation that has the work, or 0 if engines report no start time.
    """

    requests: int = 0
    waiting_tokens: int = 0
    resident_tokens: int = 0
    body_kilobytes: int = 0
    number: int = 0

    def add(self, other: "EngineLoad", factor: int = 1) -> None:
        """Add other work, or subtract it with a factor of -1."""
        self.requests += factor * other.requests
        self.waiting_tokens += factor * other.waiting_tokens
        self.resident_tokens += factor * other.resident_tokens
        self.body_kilobytes += factor * other.body_kilobytes


@dataclass(slots=True)
class EngineView:
    """State of one incarnation of an engine at this node.

    Attributes:
        own_load: work that this node has on the engine.
        peer_load: work that other nodes reported.
        paused_until: time before which this node sends no new requests, because the engine loads
            weights or refused a request; observing `loading_version` ends the pause earlier.
        gone: whether the record was removed or another instance answered at the address.
        replaced: whether another incarnation is known to answer at the address.
        vanished_at: time when the record disappeared during a store outage, or None.
        withdrawn: whether the engine is out of use until its next good record arrives.
        lacks_start: whether its record has no start time, where those of its service have one.
        speed: estimated speed of the engine.
        number: hash that identifies the incarnation in messages to peers.
        identity: the id, address and number of the incarnation; kept, because each check of the
            links lists those of all engines.
        condition: state that the engine reported about itself; it outlives this view.
        sound_close_s: the longest time between the last bytes of a response and the end of its
            connection after which the response was shown to be complete.
        closes_after_ends: whether it closed a connection after the marked end of a response that
            was shown to be complete, without announcing it.
    """

    record: EngineRecord
    own_load: EngineLoad = field(default_factory=EngineLoad)
    peer_load: EngineLoad = field(default_factory=EngineLoad)
    paused_until: float = 0.0
    loading_version: int = 0
    notice_sequence: int = 0
    gone: bool = False
    replaced: bool = False
    vanished_at: float | None = None
    withdrawn: bool = False
    lacks_start: bool = False
    breaker: CircuitBreaker = field(default_factory=_new_breaker)
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    condition: EngineCondition = field(default_factory=EngineCondition)
    sound_close_s: float = 0.0
    closes_after_ends: bool = False
    number: int = field(init=False)
    identity: EngineAddress = field(init=False)

    def __post_init__(self) -> None:
        self.number = engine_number(self.record.incarnation)
        self.identity = EngineAddress(self.engine_id, self.record.address, self.number)

    @property
    def is_withheld(self) -> bool:
        """Whether the engine is out of use for what its record says or lacks."""
        return self.withdrawn or self.lacks_start

    @property
    def leaving(self) -> bool:
        """Whether the engine takes no new requests any more."""
        return self.gone or self.condition.leaving

    @property
    def announced_end(self) -> bool:
        """Whether the engine itself said that it would end; its replacement says nothing of that.

        Engines remove their records as they leave.
        """
        return self.condition.leaving or (self.gone and not self.replaced)

    def note_replaced(self) -> None:
        """Note that another incarnation answers at the address, unless this one has left before."""
        self.replaced = self.replaced or not self.gone
        self.gone = True

    @property
    def weights(self) -> dict[str, int]:
        """The newest known version of each model; it only rises within one incarnation."""
        return self.condition.weights

    @property
    def engine_id(self) -> str:
        """The id of the engine."""
        return self.record.engine_id

    @property
    def advertised_number(self) -> int:
        """The number to send to peers, or 0 if the engine reports no start time."""
        return self.number if self.record.born_unix_ms else 0

    @property
    def requests(self) -> int:
        """Known requests of all nodes at the engine."""
        return self.own_load.requests + self.peer_load.requests

    @property
    def waiting_tokens(self) -> int:
        """Known unanswered prompt tokens of all nodes at the engine."""
        return self.own_load.waiting_tokens + self.peer_load.waiting_tokens

    @property
    def resident_tokens(self) -> int:
        """Known tokens that requests of all nodes occupy in the engine's memory."""
        return self.own_load.resident_tokens + self.peer_load.resident_tokens

    @property
    def body_kilobytes(self) -> int:
        """Known body size of the requests of all nodes that the engine has not fully answered."""
        return self.own_load.body_kilobytes + self.peer_load.body_kilobytes

    def weight_version(self, model: str) -> int:
        """Return the engine's version of a model, or 0 if unknown."""
        return self.weights.get(model, 0)

    def matches_number(self, number: int) -> bool:
        """Return whether a number from a peer is 0 or identifies this incarnation."""
        return number in (0, self.number)

    def apply_record(self, record: EngineRecord) -> None:
        """Apply a record; an older one only adds its leaving mark and weight versions."""
        if record.revision >= self.record.revision:
            self.withdrawn = bool(self.weights) and not record.weights
            self.record = record
            if self.identity.address != record.address:
                self.identity = replace(self.identity, address=record.address)
        self.vanished_at = None
        self.condition.leaving = self.condition.leaving or record.draining
        for model, version in record.weights.items():
            self.learn_weights(model, version)

    def learn_weights(self, model: str, version: int) -> None:
        """Record an observed weight version; reaching `loading_version` ends the pause."""
        self.condition.learn_weights(model, version)
        if self.loading_version and version >= self.loading_version:
            self.loading_version = 0
            self.paused_until = 0.0

    def rejects_requests(self, now: float) -> bool:
        """Return whether the engine is leaving, has ended or is in a requested backoff."""
        return self.leaving or now < self.condition.backoff_until

    def is_loading_weights(self, now: float) -> bool:
        """Return whether the engine is assumed to load weights, not merely paused for load."""
        return bool(self.loading_version) and self.is_paused(now)

    def is_paused(self, now: float) -> bool:
        """Return whether this node sends the engine no new requests for now."""
        return now < self.paused_until


def _is_other_incarnation(known: EngineRecord, record: EngineRecord) -> bool:
    # The software of a running process does not change.
    if known.software_version != record.software_version:
        return True
    if known.born_unix_ms or record.born_unix_ms:
        return known.born_unix_ms != record.born_unix_ms
    return known.address != record.address


class EngineTable:
    """All engines that have a record.

    Attributes:
        services: services in the configuration; empty before there is one.
        conditions: reported state of engines, including those whose records were removed.
        removed_versions: the software versions of engines whose records were removed lately.
    """

    # How long an engine stays in use after its record disappeared in a store outage. Writers
    # restore their records within about two seconds, and an engine that left must be out of use
    # by then. Expiry runs three times a second.
    VANISHED_GRACE_SECONDS = 1.6

    def __init__(self) -> None:
        self._views: dict[str, EngineView] = {}
        self._by_number: dict[int, EngineView] = {}
        # How many records each service has, with and without a start time.
        self._start_counts: Counter[tuple[str, bool]] = Counter()
        self._services_with_starts: set[str] = set()
        self.services: frozenset[str] = frozenset()
        self.conditions = EngineConditions()
        self.removed_versions = VersionHistory(clock.now_s())
        # None after the engines changed, until it is asked for.
        self._version_counts: Counter[tuple[str, str]] | None = None
        # By engine id: revision up to which records that this node has not read yet are withheld.
        self._withheld: dict[str, int] = {}

    def __iter__(self) -> Iterator[EngineView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    def in_use(self) -> Iterator[EngineView]:
        """Return the engines of configured services, without withdrawn ones."""
        for view in self:
            is_configured = not self.services or view.record.service in self.services
            if is_configured and not view.is_withheld:
                yield view

    def get(self, engine_id: str) -> EngineView | None:
        """Return the view of an engine id, or None."""
        return self._views.get(engine_id)

    def by_number(self, number: int) -> EngineView | None:
        """Return the view of an incarnation number, or None."""
        return self._by_number.get(number)

    def of_service(self, service: str) -> list[EngineView]:
        """Return the engines of a service, without withdrawn ones."""
        return [
            view
            for view in self._views.values()
            if view.record.service == service and not view.is_withheld
        ]

    def software_versions(
        self, service: str, now: float, retention_s: float = RETENTION_S
    ) -> frozenset[str]:
        """Return the software versions of engines that serve, or lately served, in a service."""
        removed = self.removed_versions.versions(service, now, retention_s)
        return self.recorded_versions(service) | removed

    def recorded_versions(self, service: str) -> frozenset[str]:
        """Return the software versions in the records of a service's engines."""
        return frozenset(version for named, version in self.version_counts() if named == service)

    def serving_versions(self, service: str) -> Counter[str]:
        """Return how many engines of a service do not leave, by software version."""
        serving = (view for view in self.of_service(service) if not view.leaving)
        return Counter(view.record.software_version for view in serving)

    def version_counts(self) -> Counter[tuple[str, str]]:
        """Return how many engines have records, by service and software version.

        The same object is returned until the counts can have changed.
        """
        if self._version_counts is None:
            records = (view.record for view in self if not view.lacks_start)
            self._version_counts = Counter((r.service, r.software_version) for r in records)
        return self._version_counts

    def update(self, record: EngineRecord) -> EngineView | None:
        """Apply a record; return the view of its incarnation, or None if the record is not used.

        A new incarnation under a known id starts with a fresh view: loads, speed and weights of
        the previous incarnation do not apply to it.
        """
        view = self._views.get(record.engine_id)
        if view is not None and _is_other_incarnation(view.record, record):
            if record.revision < view.record.revision:
                return None
            view.replaced = view.replaced or not view.gone
            self.remove(record.engine_id)
            view = None
        if view is not None and view.withdrawn and record.revision <= view.record.revision:
            return view
        if view is None or view.record.service != record.service:
            self._version_counts = None
        is_new = view is None
        if view is None:
            view = self._views[record.engine_id] = EngineView(record)
            view.condition = self.conditions.of(view.identity)
            self._by_number[view.number] = view
        if not is_new:
            self._count_start(view.record, -1)
        view.apply_record(record)
        self._count_start(record, 1)
        expects_start = record.service in self._services_with_starts
        view.lacks_start = expects_start and not record.born_unix_ms
        if record.revision <= self._withheld.pop(record.engine_id, -1):
            view.withdrawn = True
        if view.condition.leaving:
            self.conditions.remember(view.identity, view.condition, clock.now_s())
        return view

    def apply_signal(self, signal: EngineSignal, now: float) -> bool:
        """Apply a signal of an engine; return whether it is the first that the engine leaves."""
        view = self._find_incarnation(signal.engine)
        if view is None and not signal.engine.number:
            return False
        engine = view.identity if view is not None else signal.engine
        condition = view.condition if view is not None else self.conditions.of(engine)
        is_new = signal.leaving and not condition.leaving
        condition.leaving = condition.leaving or signal.leaving
        if signal.backoff_s:
            condition.begin_backoff(signal.backoff_s, now)
        self.conditions.remember(engine, condition, now)
        return is_new

    def incarnation(self, engine: EngineAddress) -> EngineAddress | None:
        """Return the incarnation that an answer came from, or None if unknown."""
        view = self._find_incarnation(engine)
        if view is not None:
            return view.identity
        return engine if engine.number else None

    def leaving(self) -> list[EngineAddress]:
        """Return the engines that reported in an answer or a record that they are leaving."""
        return [view.identity for view in self if view.condition.leaving]

    def unrecorded_state(self, with_all_weights: bool = False) -> UnrecordedEngineState:
        """Return what this node knows about engines beyond the contents of their records.

        With `with_all_weights`, weights that the records do contain are included.
        """
        withheld = [WithheldRecord(v.engine_id, v.record.revision) for v in self if v.withdrawn]
        weights = [
            SeenWeights(view.identity, model, version)
            for view in self
            for model, version in view.weights.items()
            if with_all_weights or version > view.record.weights.get(model, 0)
        ]
        return UnrecordedEngineState(tuple(self.leaving()), tuple(withheld), tuple(weights))

    def merge_unrecorded_state(
        self, update: UnrecordedEngineState, now: float
    ) -> list[WithheldRecord]:
        """Merge the state known to another node; return the records withdrawn because of it.

        The state may concern engines whose records this node has not read yet, because a joining
        node receives it first.
        """
        for seen in update.weights:
            self._learn_weights(seen, now)
        for row in update.withheld:
            if self._views.get(row.engine_id) is None and len(self._withheld) < MAX_ENTRIES:
                self._withheld[row.engine_id] = row.revision
        return [row for row in update.withheld if self.withdraw(row.engine_id, row.revision)]

    def _learn_weights(self, seen: SeenWeights, now: float) -> None:
        view = self._find_incarnation(seen.engine)
        if view is not None:
            view.learn_weights(seen.model, seen.version)
            return
        condition = self.conditions.of(seen.engine)
        condition.learn_weights(seen.model, seen.version)
        self.conditions.remember(seen.engine, condition, now)

    def _find_incarnation(self, engine: EngineAddress) -> EngineView | None:
        """Return the view of an incarnation, or None if it has no record."""
        view = self._views.get(engine.engine_id)
        if view is None or view.record.address != engine.address:
            return None
        return view if view.matches_number(engine.number) else None

    def withdraw(self, engine_id: str, revision: int) -> bool:
        """Stop using an engine whose record is unreadable or withheld; return whether it was used.

        A revision older than the known record is ignored.
        """
        view = self._views.get(engine_id)
        if view is None or view.withdrawn or revision < view.record.revision:
            return False
        view.withdrawn = True
        return True

    def _count_start(self, record: EngineRecord, change: int) -> None:
        """Count a record that came or went, by whether it has a start time.

        Engines without one are withheld if half of the records of their service have one: a few
        records of another writer say nothing about the engines that write the others.
        """
        service = record.service
        self._start_counts[service, record.born_unix_ms > 0] += change
        with_start = self._start_counts[service, True]
        is_expected = 0 < with_start >= self._start_counts[service, False]
        if is_expected is (service in self._services_with_starts):
            return
        self._services_with_starts ^= {service}
        self._version_counts = None
        for view in self:
            if view.record.service == service:
                view.lacks_start = is_expected and not view.record.born_unix_ms

    def remove(self, engine_id: str) -> None:
        """Remove an engine whose record was removed."""
        view = self._views.pop(engine_id, None)
        if view is not None:
            self._version_counts = None
            record, drained = view.record, view.leaving
            view.gone = True
            self._count_start(record, -1)
            self.removed_versions.record_removed(
                record.service, record.software_version, clock.now_s(), drained
            )
            self.conditions.remember(view.identity, view.condition, clock.now_s())
            self._by_number.pop(view.number, None)

    def mark_vanished(self, engine_ids: Iterable[str], now: float) -> None:
        """Mark records that disappeared in a store outage; their writers may restore them."""
        for engine_id in engine_ids:
            view = self._views.get(engine_id)
            if view is not None and view.vanished_at is None:
                view.vanished_at = now

    def expire_vanished(self, now: float) -> list[str]:
        """Remove engines whose vanished records were not restored in time; return their ids."""
        expired = [
            view.engine_id
            for view in self._views.values()
            if view.vanished_at is not None
            and now - view.vanished_at >= self.VANISHED_GRACE_SECONDS
        ]
        for engine_id in expired:
            self.remove(engine_id)
        return expired

    def apply_notice(self, notice: EngineNotice, paused_until: float) -> None:
        """Apply a controller notice; `paused_until` bounds the pause while weights load."""
        view = self._views.get(notice.engine_id)
        if view is None or not view.matches_number(notice.number):
            return
        if notice.sequence <= view.notice_sequence:
            return
        view.notice_sequence = notice.sequence
        if notice.loading:
            view.paused_until = paused_until
            view.loading_version = notice.version
        else:
            view.paused_until = 0.0
            view.loading_version = 0
            view.learn_weights(notice.model, notice.version)
