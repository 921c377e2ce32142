"""The controller of each pool: whoever holds the pool's lease sends fenced orders."""

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
class PoolControl:
    """The lease of one node on a pool, and its decisions while it holds it."""

    burst: BurstController
    lease: Lease = field(default_factory=_new_lease)
    rollout: PoolRollout = field(default_factory=lambda: PoolRollout(RolloutParameters()))


class ControlLoop:
    """Contends for pool leases and acts on those it holds."""

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
        self._controls: dict[str, PoolControl] = {}

    async def run(self) -> None:
        """Control pools for as long as the node runs."""
        while True:
            for pool in list(self._context.view.pools_by_name.values()):
                await self._control(pool)
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(constants.CONTROL_INTERVAL_SECONDS * jitter)

    async def _control(self, pool: Pool) -> None:
        if not self._contends(pool.name):
            return
        control = self._control_of(pool.name)
        try:
            await self._keep_lease(pool.name, control)
        except StoreError:
            self._context.metrics.store_errors.inc()
        if control.lease.holds(clock.now_s()):
            await self._act(pool, control)

    def _contends(self, pool_name: str) -> bool:
        """Return whether this node is among the few that contend for a pool."""
        members = [member.node_id for member in self._context.membership.members()]
        ranked = rendezvous.rank(pool_name.encode(), members)
        return self._context.settings.node_id in ranked[: constants.CONTROLLERS_PER_POOL]

    async def _keep_lease(self, pool_name: str, control: PoolControl) -> None:
        asked_at = clock.now_s()
        instruction = control.lease.due(asked_at)
        if isinstance(instruction, AcquireLease):
            await self._acquire(pool_name, control, asked_at)
        elif isinstance(instruction, RenewLease):
            if await self._store.renew_session(instruction.session):
                control.lease.renewed(asked_at)
            else:
                self._step_down(pool_name, control)

    async def _acquire(self, pool_name: str, control: PoolControl, asked_at: float) -> None:
        session = await self._store.create_session(constants.LEASE_TIME_TO_LIVE_SECONDS)
        own_id = self._context.settings.node_id.encode()
        entry = await self._store.acquire(LEASE_KEY_PREFIX + pool_name, own_id, session)
        if entry is None:
            return
        control.lease.acquired(session, entry.revision, asked_at)
        control.rollout = PoolRollout(RolloutParameters())
        control.burst = _new_burst_controller(pool_name)
        log_change("lease_acquired", pool=pool_name, token=entry.revision)

    def _control_of(self, pool_name: str) -> PoolControl:
        control = self._controls.get(pool_name)
        if control is None:
            control = PoolControl(_new_burst_controller(pool_name))
            self._controls[pool_name] = control
        return control

    async def _act(self, pool: Pool, control: PoolControl) -> None:
        await self._refresh_load(pool.name)
        engines = self._context.engines.in_pools([pool.name])
        orders = control.rollout.orders(engines, pool, clock.now_s())
        move = control.burst.decide(self._view())
        if move is not None:
            orders.append(move)
        for order in orders:
            await self._send(pool.name, order, control)

    async def _refresh_load(self, pool_name: str) -> None:
        """Ask a sample of the pool's engines for their load."""
        engines = self._context.engines.in_pools([pool_name])
        count = min(constants.CONTROL_SAMPLE_ENGINES, len(engines))
        sample = self._random.sample(engines, count)
        await asyncio.gather(*(self._refresh(engine) for engine in sample))

    def _view(self) -> ControlView:
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

    async def _send(self, pool_name: str, order: AssignOrder, control: PoolControl) -> None:
        engine = self._context.engines.get(order.engine_id)
        token = control.lease.token
        if engine is None or token is None:
            return
        try:
            accepted = await self._client.assign(engine, order, token)
        except StaleFenceError:
            self._step_down(pool_name, control)
            return
        log_change(
            "order",
            engine=order.engine_id,
            pool=order.pool,
            weights=order.weight_version,
            accepted=accepted,
        )

    def _step_down(self, pool_name: str, control: PoolControl) -> None:
        control.lease.step_down()
        log_change("lease_lost", pool=pool_name)
