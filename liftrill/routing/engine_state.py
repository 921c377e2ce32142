"""The state of the engines as one node knows it from late and incomplete reports."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.coordination.circuit import CircuitBreaker, ConcurrencyLimit
from liftrill.mechanisms import Mechanism, is_enabled


@dataclass(frozen=True, slots=True)
class EngineIdentity:
    """The identity that an engine reported, ordered by (incarnation, revision).

    Attributes:
        pool: the pool that the engine serves, or empty for the pool in the machine list.
    """

    incarnation: int
    revision: int
    weight_version: str
    leaving: bool
    pool: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """The version that orders the identities of one engine."""
        return self.incarnation, self.revision


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The identity and load that an engine reported.

    Attributes:
        running: requests in the batch of the engine.
        waiting: requests that wait for a place in the batch.
        waiting_prompt_tokens: the prompt tokens of the waiting requests.
    """

    engine_id: str
    identity: EngineIdentity
    running: int
    waiting: int
    waiting_prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineListing:
    """An entry of the machine list; a higher version replaces a lower one."""

    engine_id: str
    address: str
    zone: str
    pool: str
    leaving: bool
    version: int = 0
    removed: bool = False


def _new_breaker() -> CircuitBreaker:
    return CircuitBreaker(constants.CIRCUIT_FAILURES_TO_OPEN, constants.CIRCUIT_OPEN_SECONDS)


def _new_limit() -> ConcurrencyLimit:
    return ConcurrencyLimit(
        constants.ENGINE_INITIAL_CONCURRENCY,
        constants.ENGINE_MINIMUM_CONCURRENCY,
        constants.ENGINE_MAXIMUM_CONCURRENCY,
    )


def _no_op() -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an engine last reported; its estimates decay with the age of the report.

    Attributes:
        reported_at: the time of the report, in seconds.
        reported_other_requests: requests of other nodes.
        reported_waiting_requests: requests that waited for a place in the batch.
        reported_other_prefill_tokens: prompt tokens of the waiting requests of other nodes.
    """

    reported_at: float = 0.0
    reported_other_requests: int = 0
    reported_waiting_requests: int = 0
    reported_other_prefill_tokens: int = 0

    def other_requests(self, now: float) -> float:
        """Return the estimated requests of other nodes."""
        return self.reported_other_requests * self._decay_factor(now)

    def waiting_requests(self, now: float) -> float:
        """Return the estimated waiting requests."""
        return self.reported_waiting_requests * self._decay_factor(now)

    def other_prefill_tokens(self, now: float) -> float:
        """Return the estimated prompt tokens of other nodes that are not yet computed."""
        computed = max(0.0, now - self.reported_at) * constants.PREFILL_TOKENS_PER_SECOND
        return max(0.0, self.reported_other_prefill_tokens - computed)

    def _decay_factor(self, now: float) -> float:
        return math.exp(min(0.0, self.reported_at - now) / constants.LOAD_DECAY_SECONDS)


@dataclass(slots=True)
class EngineState:
    """The state of one engine as this node knows it.

    Attributes:
        listed_pool: the pool in the machine list.
        identity: the newest known identity, or None before the first one.
        listed_leaving: the machine list marks the engine as leaving.
        refused_as_leaving: the engine refused a request because it is leaving or loading
            weights; the next report clears this mark.
        in_flight: requests of this node that are on the engine.
        own_awaiting_first_token: requests of this node without a first token.
        own_prefill_tokens: prompt tokens of those requests that are still to be computed.
        report: the load that the engine last reported.
        on_pool_changed: called when the engine starts to serve a different pool.
    """

    engine_id: str
    address: str
    zone: str
    listed_pool: str
    identity: EngineIdentity | None = None
    listed_leaving: bool = False
    refused_as_leaving: bool = False
    in_flight: int = 0
    own_awaiting_first_token: int = 0
    own_prefill_tokens: int = 0
    report: ReportedLoad = field(default_factory=ReportedLoad)
    breaker: CircuitBreaker = field(default_factory=_new_breaker)
    limit: ConcurrencyLimit = field(default_factory=_new_limit)
    on_pool_changed: Callable[[], None] = _no_op

    @property
    def leaving(self) -> bool:
        """Whether the engine must not be sent new requests."""
        if not is_enabled(Mechanism.LEAVING_MARKS):
            return False
        reported_leaving = self.identity is not None and self.identity.leaving
        return self.listed_leaving or self.refused_as_leaving or reported_leaving

    @property
    def pool(self) -> str:
        """The pool that the engine currently serves."""
        reported_pool = self.identity.pool if self.identity else ""
        return reported_pool or self.listed_pool

    @property
    def incarnation(self) -> int | None:
        """The newest known incarnation, or None."""
        return self.identity.incarnation if self.identity else None

    @property
    def weight_version(self) -> str:
        """The weights that the engine last reported as loaded, or an empty string."""
        return self.identity.weight_version if self.identity else ""

    def load(self, now: float) -> float:
        """Return the estimated requests on the engine, from all nodes."""
        return self.in_flight + self.report.other_requests(now)

    def pending_prefill_tokens(self, now: float) -> float:
        """Return the estimated prompt tokens to compute before those of a new request."""
        return self.own_prefill_tokens + self.report.other_prefill_tokens(now)

    def has_free_slot(self, now: float) -> bool:
        """Return whether this node may send another request."""
        return self.free_slots(now) > 0

    def free_slots(self, now: float) -> int:
        """Return the number of further requests that this node may send."""
        if self.in_flight == 0:
            return int(self.limit.limit)
        free = int(self.limit.limit) - self.in_flight
        waiting = max(self.report.waiting_requests(now), self.own_awaiting_first_token)
        return max(0, min(free, int(constants.ENGINE_WAITING_LIMIT - waiting)))

    def record_start(self, now: float, prefill_tokens: int = 0) -> None:
        """Record that a request is being sent."""
        self.in_flight += 1
        self.own_awaiting_first_token += 1
        self.own_prefill_tokens += prefill_tokens
        self.breaker.record_start(now)

    def record_prefilled(self, prefill_tokens: int) -> None:
        """Record a first token, or the end of a request without one; call once for each start."""
        self.own_awaiting_first_token -= 1
        self.own_prefill_tokens -= prefill_tokens

    def record_end(self) -> None:
        """Record that a request is no longer on the engine."""
        self.in_flight -= 1

    def record_success(self) -> None:
        """Record a completed request."""
        self.breaker.record_success()
        self.limit.record_success(self.in_flight)

    def record_failure(self, now: float) -> None:
        """Record that the engine could not be reached or its connection was lost."""
        self.breaker.record_failure(now)

    def record_overload(self) -> None:
        """Record that the engine refused a request because of its load."""
        self.breaker.record_success()
        self.limit.record_overload()

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Apply a report; True if it contained a newer identity.

        A report with an older identity is late and is ignored.
        """
        if self.identity and report.identity.version < self.identity.version:
            return False
        changed = self.apply_identity(report.identity)
        self.apply_load(report.running, report.waiting, report.waiting_prompt_tokens, now)
        return changed

    def apply_load(
        self, running: int, waiting: int, waiting_prompt_tokens: int, now: float
    ) -> None:
        """Apply the load from a report or a response."""
        self.report = ReportedLoad(
            reported_at=now,
            reported_other_requests=max(0, running + waiting - self.in_flight),
            reported_waiting_requests=waiting,
            reported_other_prefill_tokens=max(0, waiting_prompt_tokens - self.own_prefill_tokens),
        )

    def apply_identity(self, identity: EngineIdentity) -> bool:
        """Apply an identity from any source; True if it is newer than the known one."""
        if self.identity and identity.version <= self.identity.version:
            return False
        if self.identity and identity.incarnation != self.identity.incarnation:
            self.report = ReportedLoad()
        pool_before = self.pool
        self.identity = identity
        if self.pool != pool_before:
            self.on_pool_changed()
        return True


class EngineTable:
    """The engines that a node knows."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineState] = {}
        self._ids_by_pools: dict[tuple[str, ...], tuple[str, ...]] = {}
        self._by_pool: dict[str, list[EngineState]] = {}

    def __iter__(self) -> Iterator[EngineState]:
        return iter(self._engines.values())

    def __len__(self) -> int:
        return len(self._engines)

    def get(self, engine_id: str) -> EngineState | None:
        """Return an engine, or None if it is not known."""
        return self._engines.get(engine_id)

    def apply_listing(self, listing: EngineListing) -> None:
        """Add, update or remove an engine.

        A new address means a new machine, so the state of the old engine is dropped. A new pool
        in the machine list has the same effect.
        """
        engine = self._engines.get(listing.engine_id)
        if listing.removed:
            self._remove(engine)
            return
        location = (listing.address, listing.pool)
        if engine is None or (engine.address, engine.listed_pool) != location:
            self._remove(engine)
            engine = EngineState(listing.engine_id, listing.address, listing.zone, listing.pool)
            engine.on_pool_changed = self._invalidate_index
            self._engines[listing.engine_id] = engine
        engine.listed_leaving = listing.leaving

    def ids_in_pools(self, pools: tuple[str, ...]) -> tuple[str, ...]:
        """Return the engine identifiers of pools; the same object until they change."""
        ids = self._ids_by_pools.get(pools)
        if ids is None:
            ids = tuple(engine.engine_id for engine in self.in_pools(pools))
            self._ids_by_pools[pools] = ids
        return ids

    def in_pools(self, pools: Iterable[str]) -> list[EngineState]:
        """Return the engines that serve the given pools."""
        if not self._by_pool:
            for engine in self._engines.values():
                self._by_pool.setdefault(engine.pool, []).append(engine)
        return [engine for pool in pools for engine in self._by_pool.get(pool, ())]

    def _remove(self, engine: EngineState | None) -> None:
        self._invalidate_index()
        if engine is not None:
            del self._engines[engine.engine_id]

    def _invalidate_index(self) -> None:
        self._ids_by_pools.clear()
        self._by_pool.clear()
