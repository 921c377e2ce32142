"""What one node knows of the engines, from late and partial reports."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.coordination.circuit import CircuitBreaker, ConcurrencyLimit


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own word about itself."""

    engine_id: str
    incarnation: int
    weight_version: str
    leaving: bool
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class EngineListing:
    """A line of the engine list."""

    engine_id: str
    address: str
    zone: str
    pool: str
    leaving: bool


def _new_breaker() -> CircuitBreaker:
    return CircuitBreaker(constants.CIRCUIT_FAILURES_TO_OPEN, constants.CIRCUIT_OPEN_SECONDS)


def _new_limit() -> ConcurrencyLimit:
    return ConcurrencyLimit(
        constants.ENGINE_INITIAL_CONCURRENCY,
        constants.ENGINE_MINIMUM_CONCURRENCY,
        constants.ENGINE_MAXIMUM_CONCURRENCY,
    )


@dataclass(slots=True)
class EngineState:
    """One engine as this node sees it.

    Attributes:
        incarnation: the newest incarnation heard of, or None before the first report.
        in_flight: requests of this node that the engine holds.
        in_flight_at_report: the same when the newest report came.
    """

    engine_id: str
    address: str
    zone: str
    pool: str
    incarnation: int | None = None
    weight_version: str = ""
    listed_leaving: bool = False
    reported_leaving: bool = False
    reported_load: int = 0
    in_flight: int = 0
    in_flight_at_report: int = 0
    breaker: CircuitBreaker = field(default_factory=_new_breaker)
    limit: ConcurrencyLimit = field(default_factory=_new_limit)

    @property
    def leaving(self) -> bool:
        """Whether no new work may be sent."""
        return self.listed_leaving or self.reported_leaving

    @property
    def load(self) -> int:
        """Requests believed to be on the engine: its report, and what this node sent since."""
        return max(self.in_flight, self.reported_load + self.in_flight - self.in_flight_at_report)

    def has_room(self) -> bool:
        """Return whether this node may send one more request."""
        return self.limit.allows(self.in_flight)

    def record_start(self, now: float) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1
        self.breaker.record_start(now)

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

    def apply_report(self, report: EngineReport) -> bool:
        """Take in a report; True if the engine was restarted since the last one.

        A report of an earlier incarnation is late and is ignored.
        """
        if self.incarnation is not None and report.incarnation < self.incarnation:
            return False
        restarted = self.incarnation not in (None, report.incarnation)
        self.incarnation = report.incarnation
        self.weight_version = report.weight_version
        self.reported_leaving = report.leaving
        self.reported_load = report.running + report.waiting
        self.in_flight_at_report = self.in_flight
        return restarted

    def apply_identity(self, incarnation: int, weight_version: str) -> bool:
        """Take in an identity from an answer; True if the engine was restarted since."""
        if self.incarnation is not None and incarnation < self.incarnation:
            return False
        restarted = self.incarnation not in (None, incarnation)
        self.incarnation = incarnation
        self.weight_version = weight_version
        if restarted:
            self.reported_load = 0
        return restarted


class EngineTable:
    """All engines a node knows."""

    def __init__(self) -> None:
        self._engines: dict[str, EngineState] = {}

    def __iter__(self) -> Iterator[EngineState]:
        return iter(self._engines.values())

    def __len__(self) -> int:
        return len(self._engines)

    def get(self, engine_id: str) -> EngineState | None:
        """Return an engine, or None if it is not known."""
        return self._engines.get(engine_id)

    def apply_listing(self, listings: Iterable[EngineListing]) -> None:
        """Take in the machine list: add new engines, mark leaving ones, drop missing ones.

        An address change means a new machine; what was known of the old one is dropped.
        """
        listed = {listing.engine_id: listing for listing in listings}
        for engine_id in [e for e in self._engines if e not in listed]:
            del self._engines[engine_id]
        for listing in listed.values():
            self._apply_line(listing)

    def learn(self, listing: EngineListing) -> None:
        """Add an engine that a peer knows; the machine list corrects it later."""
        if listing.engine_id not in self._engines:
            self._apply_line(listing)

    def in_pools(self, pools: Iterable[str]) -> list[EngineState]:
        """Return the engines of some pools."""
        wanted = set(pools)
        return [engine for engine in self._engines.values() if engine.pool in wanted]

    def _apply_line(self, listing: EngineListing) -> None:
        engine = self._engines.get(listing.engine_id)
        if engine is None or engine.address != listing.address:
            engine = EngineState(listing.engine_id, listing.address, listing.zone, listing.pool)
            self._engines[listing.engine_id] = engine
        engine.listed_leaving = listing.leaving
