"""The engines as one node sees them: their records, its own load on them, their health."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

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
from liftrill.gateway.engines.engine_update import EngineUpdate, SeenWeights, WithheldRecord
from liftrill.gateway.records import EngineRecord


def engine_number(incarnation: str) -> int:
    """Return a 64-bit name for one start of an engine, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(incarnation.encode())


def _new_breaker() -> CircuitBreaker:
    return CircuitBreaker(constants.CIRCUIT_FAILURES_TO_OPEN, constants.CIRCUIT_OPEN_SECONDS)


@dataclass(frozen=True, slots=True)
class EngineNotice:
    """Word of the weight controller on one engine.

    Attributes:
        version: the weights it has, or is about to have while `loading`.
        sequence: orders the notices about one engine.
        number: of the incarnation that is meant, or 0 where engines do not tell theirs.
    """

    engine_id: str
    model: str
    version: int
    loading: bool
    sequence: int
    number: int = 0


@dataclass(slots=True)
class EngineLoad:
    """Work on one engine.

    Attributes:
        requests: requests that it holds.
        waiting_tokens: prompt tokens that were sent and have no answer yet.
        resident_tokens: tokens that running requests hold in its memory, or will.
        body_kilobytes: of requests that were sent and have no whole answer yet.
        number: of the incarnation that has it, or 0 where engines do not tell theirs.
    """

    requests: int = 0
    waiting_tokens: int = 0
    resident_tokens: int = 0
    body_kilobytes: int = 0
    number: int = 0

    def add(self, other: "EngineLoad", factor: int = 1) -> None:
        """Add other work, or take it away with a factor of -1."""
        self.requests += factor * other.requests
        self.waiting_tokens += factor * other.waiting_tokens
        self.resident_tokens += factor * other.resident_tokens
        self.body_kilobytes += factor * other.body_kilobytes


@dataclass(slots=True)
class EngineView:
    """One incarnation of an engine.

    Attributes:
        own_load: what this node has on it.
        peer_load: what other nodes told of theirs.
        paused_until: it takes no new requests before this time, as far as is known, unless
            it is seen to have `loading_version` earlier.
        gone: its record was removed, or another engine answered at its address.
        vanished_at: when its record went while that could not be trusted, or None.
        withdrawn: its newest record is not an engine's: it is used again after the next good one.
        model: how fast it works, as far as was observed.
        number: the short name of this incarnation, in words to peers.
        standing: what was heard of it; it outlives this view.
    """

    record: EngineRecord
    own_load: EngineLoad = field(default_factory=EngineLoad)
    peer_load: EngineLoad = field(default_factory=EngineLoad)
    paused_until: float = 0.0
    loading_version: int = 0
    notice_sequence: int = 0
    gone: bool = False
    vanished_at: float | None = None
    withdrawn: bool = False
    breaker: CircuitBreaker = field(default_factory=_new_breaker)
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    condition: EngineCondition = field(default_factory=EngineCondition)
    number: int = field(init=False)

    def __post_init__(self) -> None:
        self.number = engine_number(self.record.incarnation)

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work any more."""
        return self.gone or self.condition.leaving

    @property
    def weights(self) -> dict[str, int]:
        """The newest version known of each model; it only rises in one incarnation."""
        return self.condition.weights

    @property
    def engine_id(self) -> str:
        """The identity of this incarnation."""
        return self.record.engine_id

    @property
    def at(self) -> EngineAddress:
        """The incarnation, and where it is."""
        return EngineAddress(self.engine_id, self.record.address, self.number)

    @property
    def advertised_number(self) -> int:
        """The number in words to peers, or 0 where an id names one incarnation alone."""
        return self.number if self.record.born_unix_ms else 0

    @property
    def requests(self) -> int:
        """The requests of all nodes, as far as is known."""
        return self.own_load.requests + self.peer_load.requests

    @property
    def waiting_tokens(self) -> int:
        """The prompt tokens of all nodes that wait there."""
        return self.own_load.waiting_tokens + self.peer_load.waiting_tokens

    @property
    def resident_tokens(self) -> int:
        """The tokens of all nodes' requests in its memory."""
        return self.own_load.resident_tokens + self.peer_load.resident_tokens

    @property
    def body_kilobytes(self) -> int:
        """What all nodes sent it and it has not answered, as far as is known."""
        return self.own_load.body_kilobytes + self.peer_load.body_kilobytes

    def weight_version(self, model: str) -> int:
        """Return the version of a model that it has, or 0 if not known."""
        return self.weights.get(model, 0)

    def matches_number(self, number: int) -> bool:
        """Return whether a word of a peer is of this incarnation, as far as it says."""
        return number in (0, self.number)

    def apply_record(self, record: EngineRecord) -> None:
        """Take in a record of this incarnation."""
        if record.revision >= self.record.revision:
            self.withdrawn = bool(self.weights) and not record.weights
            self.record = record
        self.vanished_at = None
        self.condition.leaving = self.condition.leaving or record.draining
        for model, version in record.weights.items():
            self.learn_weights(model, version)

    def learn_weights(self, model: str, version: int) -> None:
        """Take note of a version that the engine was seen to have."""
        self.condition.learn_weights(model, version)
        if self.loading_version and version >= self.loading_version:
            self.loading_version = 0
            self.paused_until = 0.0

    def rejects_requests(self, now: float) -> bool:
        """Return whether it leaves, or asked this node for a rest that is not over."""
        return self.leaving or now < self.condition.backoff_until

    def is_loading_weights(self, now: float) -> bool:
        """Return whether it is believed to load weights, and is not just left alone for load."""
        return bool(self.loading_version) and self.is_paused(now)

    def is_paused(self, now: float) -> bool:
        """Return whether it is believed to be busy with an order."""
        return now < self.paused_until


def _is_other_incarnation(known: EngineRecord, record: EngineRecord) -> bool:
    if known.born_unix_ms or record.born_unix_ms:
        return known.born_unix_ms != record.born_unix_ms
    return known.address != record.address


class EngineTable:
    """All engines with a record.

    Attributes:
        services: the services that the configuration names; empty before there is one.
        standings: what engines said of themselves, also those whose records are gone.
    """

    # For how long an engine is used whose record went with an outage of the store. Records
    # are back within about two seconds; an engine that left may not be used for longer than
    # that from when its record went, and this is looked at three times a second.
    VANISHED_GRACE_SECONDS = 1.6

    def __init__(self) -> None:
        self._views: dict[str, EngineView] = {}
        self._by_number: dict[int, EngineView] = {}
        self._starts_reported = False
        self.services: frozenset[str] = frozenset()
        self.conditions = EngineConditions()
        # By engine: up to which position records that are not read yet are withheld.
        self._withheld: dict[str, int] = {}

    def __iter__(self) -> Iterator[EngineView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    def in_use(self) -> Iterator[EngineView]:
        """Return the engines of services that the configuration names."""
        for view in self:
            is_named = not self.services or view.record.service in self.services
            if is_named and not view.withdrawn:
                yield view

    def get(self, engine_id: str) -> EngineView | None:
        """Return an engine's view."""
        return self._views.get(engine_id)

    def by_number(self, number: int) -> EngineView | None:
        """Return the view of an engine that is named by its number."""
        return self._by_number.get(number)

    def of_service(self, service: str) -> list[EngineView]:
        """Return the engines of a service."""
        return [
            view
            for view in self._views.values()
            if view.record.service == service and not view.withdrawn
        ]

    def update(self, record: EngineRecord) -> EngineView | None:
        """Take in a record and return the view of its incarnation, if it is the newest one.

        Another incarnation under a known id holds nothing of what the former one held, and
        nothing that was learned of that one is true of it.
        """
        self._record_start(record)
        if self._starts_reported and not record.born_unix_ms:
            self.withdraw(record.engine_id, record.revision)
            return None
        view = self._views.get(record.engine_id)
        if view is not None and _is_other_incarnation(view.record, record):
            if record.revision < view.record.revision:
                return None
            self.remove(record.engine_id)
            view = None
        if view is not None and view.withdrawn and record.revision <= view.record.revision:
            return view
        if view is None:
            view = self._views[record.engine_id] = EngineView(record)
            view.condition = self.conditions.of(view.at)
            self._by_number[view.number] = view
        view.apply_record(record)
        if record.revision <= self._withheld.pop(record.engine_id, -1):
            view.withdrawn = True
        if view.condition.leaving:
            self.conditions.remember(view.at, view.condition, clock.now_s())
        return view

    def apply_signal(self, signal: EngineSignal, now: float) -> bool:
        """Take in what an engine said in an answer; return whether it is news that it leaves."""
        view = self._find_incarnation(signal.engine)
        if view is None and not signal.engine.number:
            return False
        engine = view.at if view is not None else signal.engine
        condition = view.condition if view is not None else self.conditions.of(engine)
        is_news = signal.leaving and not condition.leaving
        condition.leaving = condition.leaving or signal.leaving
        if signal.backoff_s:
            condition.begin_backoff(signal.backoff_s, now)
        self.conditions.remember(engine, condition, now)
        return is_news

    def incarnation(self, engine: EngineAddress) -> EngineAddress | None:
        """Return the incarnation that an answer is of, or None where that is not known."""
        view = self._find_incarnation(engine)
        if view is not None:
            return view.at
        return engine if engine.number else None

    def leaving(self) -> list[EngineAddress]:
        """Return the engines that said that they leave, in an answer or a record."""
        return [view.at for view in self if view.condition.leaving]

    def unrecorded_state(self, with_all_weights: bool = False) -> EngineUpdate:
        """Return what this node knows of engines and their records do not say.

        With all weights: also those that the records, as this node has read them, do say.
        """
        withheld = [WithheldRecord(v.engine_id, v.record.revision) for v in self if v.withdrawn]
        weights = [
            SeenWeights(view.at, model, version)
            for view in self
            for model, version in view.weights.items()
            if with_all_weights or version > view.record.weights.get(model, 0)
        ]
        return EngineUpdate(tuple(self.leaving()), tuple(withheld), tuple(weights))

    def merge_unrecorded_state(self, update: EngineUpdate, now: float) -> list[WithheldRecord]:
        """Take in what another node knows; return the records that are used no more for it.

        Also of engines whose records this node has not read yet: who joins is told before that.
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
        """Return the view of an incarnation, if it has a record."""
        view = self._views.get(engine.engine_id)
        if view is None or view.record.address != engine.address:
            return None
        return view if view.matches_number(engine.number) else None

    def withdraw(self, engine_id: str, revision: int) -> bool:
        """Use an engine no more whose record became unreadable, and return whether it was used."""
        view = self._views.get(engine_id)
        if view is None or view.withdrawn or revision < view.record.revision:
            return False
        view.withdrawn = True
        return True

    def _record_start(self, record: EngineRecord) -> None:
        """Use no engine without a start, from the first record that tells one on."""
        if not record.born_unix_ms or self._starts_reported:
            return
        self._starts_reported = True
        for view in self._views.values():
            if not view.record.born_unix_ms:
                view.withdrawn = True

    def remove(self, engine_id: str) -> None:
        """Forget an engine whose record is gone."""
        view = self._views.pop(engine_id, None)
        if view is not None:
            view.gone = True
            self.conditions.remember(view.at, view.condition, clock.now_s())
            self._by_number.pop(view.number, None)

    def mark_vanished(self, engine_ids: Iterable[str], now: float) -> None:
        """Note records that went while the store was out: their writers may write again."""
        for engine_id in engine_ids:
            view = self._views.get(engine_id)
            if view is not None and view.vanished_at is None:
                view.vanished_at = now

    def expire_vanished(self, now: float) -> list[str]:
        """Forget vanished engines that did not write again in time; return their names."""
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
        """Take in the controller's word; while loading, until a time at the latest."""
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
