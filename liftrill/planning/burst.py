"""Moves engines between pools to follow bursts of load; sans-IO.

The controller of a pool borrows engines from other pools and returns them. It wants

    the engines that a scheduled burst asks for, from its lead time until its end,
    and one more each time the pool is busy, or is forecast to be busy, for long enough.

The thresholds for borrowing and returning differ, and each must hold for some time, so that
engines do not oscillate between pools: each move drains an engine. Each decision sends at most
one order.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from liftrill.messages.configuration_pb2 import Burst, Pool
from liftrill.planning.orders import AssignOrder
from liftrill.routing.engine_state import EngineState


@dataclass(frozen=True, slots=True)
class BurstParameters:
    """The thresholds for borrowing and returning engines.

    Attributes:
        requests_per_engine: the load at which the utilization of an engine is 1.
        busy_utilization: the utilization from which a pool is busy.
        idle_utilization: the utilization up to which a pool is idle.
        busy_seconds: how long a pool must be busy before it borrows another engine.
        idle_seconds: how long a pool must be idle before it returns an engine.
        forecast_seconds: how far ahead the utilization is extrapolated.
        smoothing_seconds: the time constant of the smoothed utilization.
        order_timeout_seconds: the time after which an order without effect may be sent again.
    """

    requests_per_engine: float = 12.0
    busy_utilization: float = 0.8
    idle_utilization: float = 0.3
    busy_seconds: float = 5.0
    idle_seconds: float = 60.0
    forecast_seconds: float = 10.0
    smoothing_seconds: float = 5.0
    order_timeout_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class ControlView:
    """The state from which a controller decides.

    Attributes:
        pools: all configured pools, by name.
        bursts: all scheduled bursts.
        engines: the engines that currently serve each pool, by pool.
        orphaned_engines: engines that serve a pool that is no longer configured.
        unix_now: the wall-clock time, for scheduled bursts.
        now: the monotonic time, for everything else.
    """

    pools: Mapping[str, Pool]
    bursts: Sequence[Burst]
    engines: Mapping[str, Sequence[EngineState]]
    orphaned_engines: Sequence[EngineState]
    unix_now: float
    now: float


@dataclass(frozen=True, slots=True)
class _PendingOrder:
    """An order whose effect has not been observed yet.

    Attributes:
        pool: the pool that the engine was ordered to serve.
        sent_at: the monotonic time at which the order was sent.
    """

    pool: str
    sent_at: float


class UtilizationTrend:
    """An exponentially smoothed utilization and its slope per second."""

    def __init__(self, smoothing_seconds: float) -> None:
        self._smoothing_seconds = smoothing_seconds
        self._at: float | None = None
        self.value = 0.0
        self.slope = 0.0

    def update(self, measured: float, now: float) -> None:
        """Add a measurement."""
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
        """Return the utilization extrapolated by a number of seconds."""
        return self.value + self.slope * seconds


class BurstController:
    """Decides the orders of one pool; each new lease holder creates a new controller."""

    def __init__(self, pool_name: str, parameters: BurstParameters) -> None:
        self._pool_name = pool_name
        self._parameters = parameters
        self._trend = UtilizationTrend(parameters.smoothing_seconds)
        self._busy_since: float | None = None
        self._idle_since: float | None = None
        self._extra_engines = 0
        self._pending_orders: dict[str, _PendingOrder] = {}

    @property
    def extra_engines(self) -> int:
        """The engines wanted in addition to those for scheduled bursts."""
        return self._extra_engines

    def decide(self, view: ControlView) -> AssignOrder | None:
        """Return the order to send now, or None."""
        own = view.engines.get(self._pool_name, ())
        self._trend.update(self._utilization(own, view.now), view.now)
        self._remove_settled_orders(view)
        self._adjust_extra_engines(view)
        orphaned = self._own_orphaned_engine(view)
        if orphaned is not None:
            return self._order(view, orphaned, orphaned.pool, self._pool_name)
        borrowed = [engine for engine in own if engine.listed_pool != self._pool_name]
        arriving = [
            order for order in self._pending_orders.values() if order.pool == self._pool_name
        ]
        wanted = self._scheduled_engines(view) + self._extra_engines
        if len(borrowed) + len(arriving) < wanted:
            return self._borrow_engine(view)
        if len(borrowed) > wanted and not self._pending_orders:
            return self._return_engine(view, borrowed)
        return None

    def _own_orphaned_engine(self, view: ControlView) -> EngineState | None:
        """Return an engine that this pool lent to a pool that is no longer configured, or None."""
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

    def _adjust_extra_engines(self, view: ControlView) -> None:
        """Adjust the extra engines to the load with hysteresis, by one engine at a time."""
        parameters = self._parameters
        pool = view.pools[self._pool_name]
        expected = max(self._trend.value, self._trend.forecast(parameters.forecast_seconds))
        busy = expected >= parameters.busy_utilization
        idle = self._trend.value <= parameters.idle_utilization and not busy
        self._busy_since = _condition_start(self._busy_since, busy, view.now)
        self._idle_since = _condition_start(self._idle_since, idle, view.now)
        if _has_lasted(self._busy_since, parameters.busy_seconds, view.now):
            self._extra_engines = min(self._extra_engines + 1, pool.borrow_limit)
            self._busy_since = view.now
        if _has_lasted(self._idle_since, parameters.idle_seconds, view.now):
            self._extra_engines = max(self._extra_engines - 1, 0)
            self._idle_since = view.now

    def _scheduled_engines(self, view: ControlView) -> int:
        active = [
            burst.engines
            for burst in view.bursts
            if burst.pool == self._pool_name
            and burst.starts_at_seconds - burst.lead_seconds <= view.unix_now
            and view.unix_now < burst.ends_at_seconds
        ]
        return max(active, default=0)

    def _borrow_engine(self, view: ControlView) -> AssignOrder | None:
        """Order the least loaded engine of the least utilized lending pool that can spare one."""
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

    def _return_engine(
        self, view: ControlView, borrowed: Sequence[EngineState]
    ) -> AssignOrder | None:
        """Order the least loaded borrowed engine back to the pool in the machine list."""
        movable = [e for e in borrowed if self._can_move(e) and e.listed_pool in view.pools]
        if not movable:
            return None
        engine = min(movable, key=lambda e: (e.load(view.now), e.engine_id))
        return self._order(view, engine, self._pool_name, engine.listed_pool)

    def _can_move(self, engine: EngineState) -> bool:
        known = engine.identity is not None and not engine.leaving
        return known and engine.engine_id not in self._pending_orders

    def _order(
        self, view: ControlView, engine: EngineState, source: str, target: str
    ) -> AssignOrder:
        self._pending_orders[engine.engine_id] = _PendingOrder(target, view.now)
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

    def _remove_settled_orders(self, view: ControlView) -> None:
        """Remove pending orders that took effect or timed out."""
        limit = view.now - self._parameters.order_timeout_seconds
        for engine_id, order in list(self._pending_orders.items()):
            serving = view.engines.get(order.pool, ())
            arrived = any(e.engine_id == engine_id and not e.leaving for e in serving)
            if arrived or order.sent_at <= limit:
                del self._pending_orders[engine_id]


def _condition_start(since: float | None, holds: bool, now: float) -> float | None:
    """Return the time since which a condition has held continuously, or None."""
    if not holds:
        return None
    return now if since is None else since


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds
