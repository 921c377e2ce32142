"""The controller of each pool: the node that holds the pool's lease sends fenced orders."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from liftrill import clock, constants
from liftrill.coordination import rendezvous
from liftrill.coordination.key_value_store import KeyValueStore
from liftrill.coordination.lease import AcquireLease, Lease, LeaseParameters, RenewLease
from liftrill.errors import StoreError
from liftrill.messages.configuration_pb2 import Pool
from liftrill.node.context import NodeContext
from liftrill.node.engine_client import EngineClient, StaleFenceError
from liftrill.node.logs import log_change
from liftrill.planning.burst import BurstController, BurstParameters, ControlView
from liftrill.planning.orders import AssignOrder
from liftrill.planning.rollout import PoolRollout, RolloutParameters
from liftrill.routing.engine_state import EngineState

LEASE_KEY_PREFIX = "liftrill/leases/"


def _new_lease() -> Lease:
    return Lease(
        LeaseParameters(
            time_to_live=constants.LEASE_TIME_TO_LIVE_SECONDS,
            renew_interval=constants.LEASE_RENEW_INTERVAL_SECONDS,
            retry_interval=constants.LEASE_RETRY_INTERVAL_SECONDS,
            safety_margin=constants.LEASE_SAFETY_MARGIN_SECONDS,
        )
    )


def _new_burst_controller(pool_name: str) -> BurstController:
    parameters = BurstParameters(
        requests_per_engine=constants.BURST_REQUESTS_PER_ENGINE,
        busy_seconds=constants.BURST_BUSY_SECONDS,
        idle_seconds=constants.BURST_IDLE_SECONDS,
    )
    return BurstController(pool_name, parameters)


@dataclass(slots=True)
class PoolState:
    """The lease of a node on a pool, and the controllers that decide while it is held."""

    burst: BurstController
    lease: Lease = field(default_factory=_new_lease)
    rollout: PoolRollout = field(default_factory=lambda: PoolRollout(RolloutParameters()))


class ControlLoop:
    """Acquires pool leases, and controls the pools whose leases this node holds."""

    def __init__(
        self,
        context: NodeContext,
        store: KeyValueStore,
        client: EngineClient,
        refresh: Callable[[EngineState], Awaitable[None]],
        random_source: random.Random,
    ) -> None:
        self._context = context
        self._store = store
        self._client = client
        self._refresh = refresh
        self._random = random_source
        self._pool_states: dict[str, PoolState] = {}

    async def run(self) -> None:
        """Control pools until cancelled."""
        while True:
            for pool in list(self._context.view.pools_by_name.values()):
                await self._control_pool(pool)
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(constants.CONTROL_INTERVAL_SECONDS * jitter)

    async def _control_pool(self, pool: Pool) -> None:
        if not self._is_candidate(pool.name):
            return
        state = self._state_of(pool.name)
        try:
            await self._maintain_lease(pool.name, state)
        except StoreError:
            self._context.metrics.store_errors.inc()
        if state.lease.holds(clock.now_s()):
            await self._send_orders(pool, state)

    def _is_candidate(self, pool_name: str) -> bool:
        """Return whether this node is among the first CONTROLLERS_PER_POOL in a pool's ranking."""
        members = [member.node_id for member in self._context.membership.members()]
        ranked = rendezvous.rank(pool_name.encode(), members)
        return self._context.settings.node_id in ranked[: constants.CONTROLLERS_PER_POOL]

    async def _maintain_lease(self, pool_name: str, state: PoolState) -> None:
        requested_at = clock.now_s()
        instruction = state.lease.due(requested_at)
        if isinstance(instruction, AcquireLease):
            await self._acquire(pool_name, state, requested_at)
        elif isinstance(instruction, RenewLease):
            if await self._store.renew_session(instruction.session):
                state.lease.renewed(requested_at)
            else:
                self._step_down(pool_name, state)

    async def _acquire(self, pool_name: str, state: PoolState, requested_at: float) -> None:
        session = await self._store.create_session(constants.LEASE_TIME_TO_LIVE_SECONDS)
        own_id = self._context.settings.node_id.encode()
        entry = await self._store.acquire(LEASE_KEY_PREFIX + pool_name, own_id, session)
        if entry is None:
            return
        state.lease.acquired(session, entry.revision, requested_at)
        state.rollout = PoolRollout(RolloutParameters())
        state.burst = _new_burst_controller(pool_name)
        log_change("lease_acquired", pool=pool_name, token=entry.revision)

    def _state_of(self, pool_name: str) -> PoolState:
        state = self._pool_states.get(pool_name)
        if state is None:
            state = PoolState(_new_burst_controller(pool_name))
            self._pool_states[pool_name] = state
        return state

    async def _send_orders(self, pool: Pool, state: PoolState) -> None:
        await self._refresh_load(pool.name)
        engines = self._context.engines.in_pools([pool.name])
        orders = state.rollout.orders(engines, pool, clock.now_s())
        burst_order = state.burst.decide(self._control_view())
        if burst_order is not None:
            orders.append(burst_order)
        for order in orders:
            await self._send_order(pool.name, order, state)

    async def _refresh_load(self, pool_name: str) -> None:
        """Fetch the load of a random sample of the pool's engines."""
        engines = self._context.engines.in_pools([pool_name])
        count = min(constants.CONTROL_SAMPLE_ENGINES, len(engines))
        sample = self._random.sample(engines, count)
        await asyncio.gather(*(self._refresh(engine) for engine in sample))

    def _control_view(self) -> ControlView:
        view = self._context.view
        pools = view.pools_by_name
        return ControlView(
            pools=pools,
            bursts=view.bursts.bursts,
            engines={name: self._context.engines.in_pools([name]) for name in pools},
            orphaned_engines=[
                engine for engine in self._context.engines if engine.pool not in pools
            ],
            unix_now=time.time(),
            now=clock.now_s(),
        )

    async def _send_order(self, pool_name: str, order: AssignOrder, state: PoolState) -> None:
        engine = self._context.engines.get(order.engine_id)
        token = state.lease.token
        if engine is None or token is None:
            return
        try:
            accepted = await self._client.assign(engine, order, token)
        except StaleFenceError:
            self._step_down(pool_name, state)
            return
        log_change(
            "order",
            engine=order.engine_id,
            pool=order.pool,
            weights=order.weight_version,
            accepted=accepted,
        )

    def _step_down(self, pool_name: str, state: PoolState) -> None:
        state.lease.step_down()
        log_change("lease_lost", pool=pool_name)
