"""Moves engines between pools as bursts come and go, sans-IO.

The controller of a pool borrows engines from others and gives them back. It wants

    as many as a dated burst asks for, from its lead time until its end,
    and one more whenever the pool has been busy for a while, or is about to be.

Rising and falling have different thresholds and both must last, so that engines, which are
emptied by each move, do not go back and forth. One order is sent at a time.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from liftrill.messages.configuration_pb2 import Burst, Pool
from liftrill.planning.orders import AssignOrder
from liftrill.routing.engine_state import EngineState


@dataclass(frozen=True, slots=True)
class BurstParameters:
    """When to borrow and when to give back.

    Attributes:
        requests_per_engine: load at which an engine counts as fully used.
        busy_utilization: at which the pool is busy.
        idle_utilization: at which it could do with one engine less.
        busy_seconds: how long it must be busy before it borrows.
        idle_seconds: how long it must be idle before it gives back.
        forecast_seconds: how far ahead the slope of the utilization is followed.
        smoothing_seconds: time constant of the measured utilization.
        patience_seconds: after which an order that shows no effect may be sent again.
    """

    requests_per_engine: float = 12.0
    busy_utilization: float = 0.8
    idle_utilization: float = 0.3
    busy_seconds: float = 5.0
    idle_seconds: float = 60.0
    forecast_seconds: float = 10.0
    smoothing_seconds: float = 5.0
    patience_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class ControlView:
    """What a controller decides from.

    Attributes:
        pools: all configured pools, by name.
        engines: the engines that serve each pool now, by pool.
        strays: engines that serve a pool which is no longer configured.
        unix_now: wall-clock time, for dated bursts.
        now: monotonic time, for everything else.
    """

    pools: Mapping[str, Pool]
    bursts: Sequence[Burst]
    engines: Mapping[str, Sequence[EngineState]]
    orphaned_engines: Sequence[EngineState]
    unix_now: float
    now: float


@dataclass(frozen=True, slots=True)
class _SentOrder:
    """An order whose effect has not been seen yet: the pool ordered, and when."""

    pool: str
    at: float


class UtilizationTrend:
    """A smoothed utilization and its slope."""

    def __init__(self, smoothing_seconds: float) -> None:
        self._smoothing_seconds = smoothing_seconds
        self._at: float | None = None
        self.value = 0.0
        self.slope = 0.0

    def update(self, measured: float, now: float) -> None:
        """Take in a measurement."""
        if self._at is None:
            self._at, self.value = now, measured
            return
        elapsed = max(1e-6, now - self._at)
        share = min(1.0, elapsed / self._smoothing_seconds)
        change = share * (measured - self.value)
        self.slope += share * (change / elapsed - self.slope)
        self.value += change
        self._at = now

    def forecast(self, seconds: float) -> float:
        """Return the utilization that is to be expected."""
        return self.value + self.slope * seconds


class BurstController:
    """Decides for one pool. A new lease holder starts with a new one."""

    def __init__(self, pool_name: str, parameters: BurstParameters) -> None:
        self._pool_name = pool_name
        self._parameters = parameters
        self._trend = UtilizationTrend(parameters.smoothing_seconds)
        self._busy_since: float | None = None
        self._idle_since: float | None = None
        self._extra = 0
        self._sent: dict[str, _SentOrder] = {}

    @property
    def extra(self) -> int:
        """Engines wanted beyond what dated bursts ask for."""
        return self._extra

    def decide(self, view: ControlView) -> AssignOrder | None:
        """Return the order to send now, if any."""
        own = view.engines.get(self._pool_name, ())
        self._trend.update(self._utilization(own, view.now), view.now)
        self._forget_orders(view)
        self._adjust_extra(view)
        stray = self._own_stray(view)
        if stray is not None:
            return self._order(view, stray, stray.pool, self._pool_name)
        borrowed = [engine for engine in own if engine.listed_pool != self._pool_name]
        arriving = [order for order in self._sent.values() if order.pool == self._pool_name]
        wanted = self._dated(view) + self._extra
        if len(borrowed) + len(arriving) < wanted:
            return self._borrow(view)
        if len(borrowed) > wanted and not self._sent:
            return self._give_back(view, borrowed)
        return None

    def _own_stray(self, view: ControlView) -> EngineState | None:
        """Return an engine of this pool that was lent to a pool which is gone."""
        own = [
            e
            for e in view.orphaned_engines
            if e.listed_pool == self._pool_name and self._can_move(e)
        ]
        return own[0] if own else None

    def _utilization(self, engines: Sequence[EngineState], now: float) -> float:
        serving = [engine for engine in engines if not engine.leaving]
        if not serving:
            return 1.0
        load = sum(engine.load(now) for engine in serving)
        return load / (len(serving) * self._parameters.requests_per_engine)

    def _adjust_extra(self, view: ControlView) -> None:
        """Follow the load with hysteresis: one engine more or less at a time."""
        parameters = self._parameters
        pool = view.pools[self._pool_name]
        expected = max(self._trend.value, self._trend.forecast(parameters.forecast_seconds))
        busy = expected >= parameters.busy_utilization
        idle = self._trend.value <= parameters.idle_utilization and not busy
        self._busy_since = _since(self._busy_since, busy, view.now)
        self._idle_since = _since(self._idle_since, idle, view.now)
        if _lasted(self._busy_since, parameters.busy_seconds, view.now):
            self._extra = min(self._extra + 1, pool.borrow_limit)
            self._busy_since = view.now
        if _lasted(self._idle_since, parameters.idle_seconds, view.now):
            self._extra = max(self._extra - 1, 0)
            self._idle_since = view.now

    def _dated(self, view: ControlView) -> int:
        active = [
            burst.engines
            for burst in view.bursts
            if burst.pool == self._pool_name
            and burst.starts_at_seconds - burst.lead_seconds <= view.unix_now
            and view.unix_now < burst.ends_at_seconds
        ]
        return max(active, default=0)

    def _borrow(self, view: ControlView) -> AssignOrder | None:
        """Take the least loaded engine of the least used pool that can spare one."""
        lenders = [
            (self._utilization(view.engines.get(name, ()), view.now), name)
            for name in view.pools[self._pool_name].borrow_from
            if self._can_spare(view, name)
        ]
        for _, lender in sorted(lenders):
            free = [e for e in view.engines[lender] if self._can_move(e)]
            if free:
                engine = min(free, key=lambda e: (e.load(view.now), e.engine_id))
                return self._order(view, engine, lender, self._pool_name)
        return None

    def _can_spare(self, view: ControlView, pool_name: str) -> bool:
        pool = view.pools.get(pool_name)
        if pool is None:
            return False
        serving = [e for e in view.engines.get(pool_name, ()) if not e.leaving]
        return len(serving) > max(1, pool.minimum_engines)

    def _give_back(self, view: ControlView, borrowed: Sequence[EngineState]) -> AssignOrder | None:
        """Return the least loaded borrowed engine to the pool it is listed in."""
        movable = [e for e in borrowed if self._can_move(e) and e.listed_pool in view.pools]
        if not movable:
            return None
        engine = min(movable, key=lambda e: (e.load(view.now), e.engine_id))
        return self._order(view, engine, self._pool_name, engine.listed_pool)

    def _can_move(self, engine: EngineState) -> bool:
        known = engine.identity is not None and not engine.leaving
        return known and engine.engine_id not in self._sent

    def _order(
        self, view: ControlView, engine: EngineState, source: str, target: str
    ) -> AssignOrder:
        self._sent[engine.engine_id] = _SentOrder(target, view.now)
        pool = view.pools[target]
        return AssignOrder(
            order_id=f"{engine.engine_id}/{engine.incarnation}/{source}/{target}",
            engine_id=engine.engine_id,
            authority=self._pool_name,
            expected_pool=source,
            pool=target,
            model=pool.model,
            weight_version=pool.weight_version,
        )

    def _forget_orders(self, view: ControlView) -> None:
        """Forget orders that show their effect, or have shown none for too long."""
        limit = view.now - self._parameters.patience_seconds
        for engine_id, order in list(self._sent.items()):
            serving = view.engines.get(order.pool, ())
            arrived = any(e.engine_id == engine_id and not e.leaving for e in serving)
            if arrived or order.at <= limit:
                del self._sent[engine_id]


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Return since when a condition has held without a break."""
    if not holds:
        return None
    return now if since is None else since


def _lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds
