"""What one node knows of the engines, from late and partial reports."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.coordination.circuit import CircuitBreaker, ConcurrencyLimit
from liftrill.mechanisms import Mechanism, is_enabled


@dataclass(frozen=True, slots=True)
class EngineIdentity:
    """What an engine was at some time. Later is a higher (incarnation, revision).

    Attributes:
        pool: the pool that it serves, or empty for the one it is listed in.
    """

    incarnation: int
    revision: int
    weight_version: str
    leaving: bool
    pool: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """Order of identities of one engine."""
        return self.incarnation, self.revision


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own word about itself."""

    engine_id: str
    identity: EngineIdentity
    running: int
    waiting: int
    waiting_prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineListing:
    """A line of the machine list; a higher version replaces a lower one."""

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


def _do_nothing() -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What an engine told of its load, which says less the older it is.

    Attributes:
        at: when it was told, seconds.
        others_at_report: requests of other nodes.
        waiting_at_report: requests that waited for a place in the batch.
        prefill_at_report: prompt tokens of other nodes' waiting requests.
    """

    at: float = 0.0
    others_at_report: int = 0
    waiting_at_report: int = 0
    prefill_at_report: int = 0

    def others(self, now: float) -> float:
        """Return the requests of other nodes that are believed to be left."""
        return self.others_at_report * self._freshness(now)

    def waiting(self, now: float) -> float:
        """Return the waiting requests that are believed to be left."""
        return self.waiting_at_report * self._freshness(now)

    def prefill_tokens(self, now: float) -> float:
        """Return other nodes' prompt tokens that are not yet computed."""
        computed = max(0.0, now - self.at) * constants.PREFILL_TOKENS_PER_SECOND
        return max(0.0, self.prefill_at_report - computed)

    def _freshness(self, now: float) -> float:
        return math.exp(min(0.0, self.at - now) / constants.LOAD_DECAY_SECONDS)


@dataclass(slots=True)
class EngineState:
    """One engine as this node sees it.

    Attributes:
        identity: the newest identity heard of, or None before the first report.
        refused_as_leaving: the engine refused a request since it leaves or loads; the
            next report settles it.
        in_flight: requests of this node that the engine holds.
        own_without_token: requests of this node that have no token yet.
        own_prefill_tokens: prompt tokens that this node sent and that have no token yet.
        report: the load that the engine told last.
        on_moved: called when the engine serves another pool than before.
    """

    engine_id: str
    address: str
    zone: str
    listed_pool: str
    identity: EngineIdentity | None = None
    listed_leaving: bool = False
    refused_as_leaving: bool = False
    in_flight: int = 0
    own_without_token: int = 0
    own_prefill_tokens: int = 0
    report: ReportedLoad = field(default_factory=ReportedLoad)
    breaker: CircuitBreaker = field(default_factory=_new_breaker)
    limit: ConcurrencyLimit = field(default_factory=_new_limit)
    on_moved: Callable[[], None] = _do_nothing

    @property
    def leaving(self) -> bool:
        """Whether no new work may be sent."""
        if not is_enabled(Mechanism.LEAVING_MARKS):
            return False
        said_so = self.identity is not None and self.identity.leaving
        return self.listed_leaving or self.refused_as_leaving or said_so

    @property
    def pool(self) -> str:
        """The pool that the engine serves now."""
        moved_to = self.identity.pool if self.identity else ""
        return moved_to or self.listed_pool

    @property
    def incarnation(self) -> int | None:
        """The newest incarnation heard of."""
        return self.identity.incarnation if self.identity else None

    @property
    def weight_version(self) -> str:
        """The weights it was last heard to have loaded, or an empty string."""
        return self.identity.weight_version if self.identity else ""

    def load(self, now: float) -> float:
        """Return the requests believed to be on the engine."""
        return self.in_flight + self.report.others(now)

    def pending_prefill_tokens(self, now: float) -> float:
        """Return the prompt tokens that must be computed before those of a new request."""
        return self.own_prefill_tokens + self.report.prefill_tokens(now)

    def has_room(self, now: float) -> bool:
        """Return whether this node may send one more request."""
        return self.room(now) > 0

    def room(self, now: float) -> int:
        """Return how many more requests this node may send."""
        if self.in_flight == 0:
            return int(self.limit.limit)
        free = int(self.limit.limit) - self.in_flight
        waiting = max(self.report.waiting(now), self.own_without_token)
        return max(0, min(free, int(constants.ENGINE_WAITING_LIMIT - waiting)))

    def record_start(self, now: float, prefill_tokens: int = 0) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1
        self.own_without_token += 1
        self.own_prefill_tokens += prefill_tokens
        self.breaker.record_start(now)

    def record_prefilled(self, prefill_tokens: int) -> None:
        """Note that a request got its first token, or ended without one; once for each start."""
        self.own_without_token -= 1
        self.own_prefill_tokens -= prefill_tokens

    def record_end(self) -> None:
        """Count a request that is no longer on the engine."""
        self.in_flight -= 1

    def record_success(self) -> None:
        """Note a completed request."""
        self.breaker.record_success()
        self.limit.record_success(self.in_flight)

    def record_failure(self, now: float) -> None:
        """Note that the engine could not be reached or was lost."""
        self.breaker.record_failure(now)

    def record_overload(self) -> None:
        """Note that the engine refused for load."""
        self.breaker.record_success()
        self.limit.record_overload()

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Take in a report; True if it told of a newer identity.

        A report of an earlier incarnation is late and is ignored.
        """
        if self.identity and report.identity.version < self.identity.version:
            return False
        changed = self.apply_identity(report.identity)
        self.apply_load(report.running, report.waiting, report.waiting_prompt_tokens, now)
        return changed

    def apply_load(
        self, running: int, waiting: int, waiting_prompt_tokens: int, now: float
    ) -> None:
        """Take in the load from a report or from an answer."""
        self.report = ReportedLoad(
            at=now,
            others_at_report=max(0, running + waiting - self.in_flight),
            waiting_at_report=waiting,
            prefill_at_report=max(0, waiting_prompt_tokens - self.own_prefill_tokens),
        )

    def apply_identity(self, identity: EngineIdentity) -> bool:
        """Take in an identity from any source; True if it is newer than the known one."""
        if self.identity and identity.version <= self.identity.version:
            return False
        if self.identity and identity.incarnation != self.identity.incarnation:
            self.report = ReportedLoad()
        pool_before = self.pool
        self.identity = identity
        if self.pool != pool_before:
            self.on_moved()
        return True


class EngineTable:
    """All engines a node knows."""

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
        """Add, change or remove an engine.

        An address change means a new machine; what was known of the old one is dropped.
        """
        engine = self._engines.get(listing.engine_id)
        if listing.removed:
            self._remove(engine)
            return
        place = (listing.address, listing.pool)
        if engine is None or (engine.address, engine.listed_pool) != place:
            self._remove(engine)
            engine = EngineState(listing.engine_id, listing.address, listing.zone, listing.pool)
            engine.on_moved = self._forget_index
            self._engines[listing.engine_id] = engine
        engine.listed_leaving = listing.leaving

    def ids_in_pools(self, pools: tuple[str, ...]) -> tuple[str, ...]:
        """Return the identifiers of the engines of some pools; the same object until it changes."""
        ids = self._ids_by_pools.get(pools)
        if ids is None:
            ids = tuple(engine.engine_id for engine in self.in_pools(pools))
            self._ids_by_pools[pools] = ids
        return ids

    def in_pools(self, pools: Iterable[str]) -> list[EngineState]:
        """Return the engines that serve some pools."""
        if not self._by_pool:
            for engine in self._engines.values():
                self._by_pool.setdefault(engine.pool, []).append(engine)
        return [engine for pool in pools for engine in self._by_pool.get(pool, ())]

    def _remove(self, engine: EngineState | None) -> None:
        self._forget_index()
        if engine is not None:
            del self._engines[engine.engine_id]

    def _forget_index(self) -> None:
        self._ids_by_pools.clear()
        self._by_pool.clear()
