"""Injects scheduled faults into a running cluster and records events for the checkers."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import orjson

from liftrill.bench.deployment import api_key
from liftrill.bench.faults.observations import (
    Confirmation,
    LeavingMark,
    NodeStart,
    PlannedStop,
    RunHistory,
)
from liftrill.bench.faults.schedule import FaultAction, PlannedFault
from liftrill.bench.launcher import Cluster, EngineProcess, LaunchError, ManagedProcess, wait_until
from liftrill.cli.operator_client import OperatorCallError

NEXT_WEIGHT_VERSION = "next"
KILL_WAIT_SECONDS = 10.0
STOP_WAIT_SECONDS = 45.0
FIRST_ANSWER_LIMIT_SECONDS = 20.0


class FaultInjector:
    """Injects the faults of one run. A node or engine is affected by at most one fault at a time.

    Attributes:
        start_counts: number of restarts, by node.
        down_nodes: nodes that were killed or stopped, until they answer or the timeout ends.
        stopping_nodes: nodes that are in a planned stop.
    """

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        self._cluster = cluster
        self._history = history
        self._under_fault: set[str] = set()
        self._tenant_count = 0
        self._platform_lock = asyncio.Lock()
        self._node_released = asyncio.Condition()
        self.start_counts: Counter[str] = Counter()
        self.down_nodes: set[str] = set()
        self.stopping_nodes: set[str] = set()
        self._actions: dict[FaultAction, Callable[[PlannedFault], Awaitable[None]]] = {
            FaultAction.ENGINE_KILL: self._engine_kill,
            FaultAction.ENGINE_CRASH: self._engine_fault("crash"),
            FaultAction.ENGINE_FREEZE: self._engine_fault("freeze"),
            FaultAction.ENGINE_CUT_STREAMS: self._engine_fault("cut_streams"),
            FaultAction.ENGINE_FOREIGN_ANSWERS: self._engine_fault("foreign_answers"),
            FaultAction.ENGINE_REPEATED_CHUNKS: self._engine_fault("repeated_chunks"),
            FaultAction.ENGINE_EVENT_LOSS: self._engine_fault("event_loss"),
            FaultAction.ENGINE_LEAVES: self._engine_leaves,
            FaultAction.MACHINE_LIST_LEAVING: self._machine_list_leaving,
            FaultAction.NODE_KILL: self._node_kill,
            FaultAction.NODE_PAUSE: self._node_pause,
            FaultAction.NODE_STOP: self._node_stop,
            FaultAction.PLATFORM_OUTAGE: self._platform_outage,
            FaultAction.PLATFORM_RESTORE: self._platform_restore,
            FaultAction.OPERATOR_RACE: self._operator_race,
            FaultAction.WEIGHT_CHANGE: self._weight_change,
        }

    async def run_schedule(self, schedule: list[PlannedFault]) -> None:
        """Inject each fault at its time and wait until all faults have ended; they may overlap."""
        started_at = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for fault in schedule:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            tasks.append(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: PlannedFault) -> None:
        await self._actions[fault.action](fault)

    # Engines

    def _engine_fault(self, kind: str) -> Callable[[PlannedFault], Awaitable[None]]:
        async def apply(fault: PlannedFault) -> None:
            engine = await self._reserve_engine(fault.target)
            seconds = min(fault.seconds, 1.0) if kind == "freeze" else fault.seconds
            await self._cluster.engine_fault(engine, kind=kind, seconds=seconds)
            await asyncio.sleep(seconds)
            self._under_fault.discard(engine.engine_id)

        return apply

    async def _engine_kill(self, fault: PlannedFault) -> None:
        engine = await self._reserve_engine(fault.target)
        engine.managed.send_signal(signal.SIGKILL)
        await asyncio.to_thread(engine.managed.wait, KILL_WAIT_SECONDS)
        await asyncio.sleep(fault.seconds)
        await self._start_engine(engine)
        self._under_fault.discard(engine.engine_id)

    async def _engine_leaves(self, fault: PlannedFault) -> None:
        engine = await self._reserve_engine(fault.target)
        await self._cluster.engine_fault(engine, kind="leave")
        await self._replace_left_engine(engine, time.time(), fault.seconds)

    async def _machine_list_leaving(self, fault: PlannedFault) -> None:
        engine = await self._reserve_engine(fault.target)
        async with self._platform_lock:
            await self._cluster.register_engine(engine, leaving=True)
            # The guarantee applies from the time at which the delayed machine list shows the mark.
            await asyncio.sleep(self._cluster.machine_list_lag_seconds)
            marked_at = time.time()
            await asyncio.sleep(3.0)
        await self._replace_left_engine(engine, marked_at, 0.5)

    async def _replace_left_engine(
        self, engine: EngineProcess, marked_at: float, seconds: float
    ) -> None:
        """Replace the machine of a leaving engine after a delay, at the same address."""
        mark = LeavingMark(engine.engine_id, marked_at)
        self._history.leaving_marks.append(mark)
        await asyncio.sleep(3.0 + seconds)
        mark.until = time.time()
        engine.managed.send_signal(signal.SIGKILL)
        await asyncio.to_thread(engine.managed.wait, KILL_WAIT_SECONDS)
        await self._start_engine(engine)
        await self._register_outside_platform_fault(engine)
        self._under_fault.discard(engine.engine_id)

    async def _start_engine(self, engine: EngineProcess) -> None:
        engine.managed.start()
        await self._cluster.wait_listening(engine.managed)

    async def _register_outside_platform_fault(self, engine: EngineProcess) -> None:
        async with self._platform_lock:
            await self._cluster.register_engine(engine)

    async def _reserve_engine(self, target: int) -> EngineProcess:
        engines = self._cluster.engines
        while True:
            free = [e for e in engines if e.engine_id not in self._under_fault]
            # At least half of the engines remain without a fault, as capacity for the load.
            if len(free) > len(engines) // 2:
                engine = free[target % len(free)]
                self._under_fault.add(engine.engine_id)
                return engine
            await asyncio.sleep(0.1)

    # Nodes

    async def _node_kill(self, fault: PlannedFault) -> None:
        node = await self._reserve_node(fault.target)
        self.down_nodes.add(node.name)
        node.send_signal(signal.SIGKILL)
        await asyncio.to_thread(node.wait, KILL_WAIT_SECONDS)
        await asyncio.sleep(fault.seconds)
        await self._start_node(node)

    async def _node_pause(self, fault: PlannedFault) -> None:
        node = await self._reserve_node(fault.target)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        node.send_signal(signal.SIGCONT)
        await self._release_node(node)

    async def _node_stop(self, fault: PlannedFault) -> None:
        node = await self._reserve_node(fault.target)
        self.stopping_nodes.add(node.name)
        node.send_signal(signal.SIGTERM)
        exit_code = await asyncio.to_thread(node.wait, STOP_WAIT_SECONDS)
        self._history.planned_stops.append(PlannedStop(node.name, exit_code))
        self.down_nodes.add(node.name)
        self.stopping_nodes.discard(node.name)
        await self._start_node(node)

    async def _start_node(self, node: ManagedProcess) -> None:
        self.start_counts[node.name] += 1
        started_at = time.monotonic()
        node.start()
        try:
            await wait_until(
                lambda: self._answers_request(node),
                f"{node.name} answers a request",
                FIRST_ANSWER_LIMIT_SECONDS,
            )
            elapsed: float | None = time.monotonic() - started_at
        except LaunchError:
            elapsed = None
        self._history.node_starts.append(NodeStart(node.name, elapsed))
        self.down_nodes.discard(node.name)
        await self._release_node(node)

    async def _answers_request(self, node: ManagedProcess) -> bool:
        workload = self._cluster.deployment.workloads[0]
        body = {"model": workload.model, "prompt": "first answer", "max_tokens": 1}
        headers = {"Authorization": f"Bearer {api_key('tenant-1')}"}
        url = f"http://{node.address}/v1/completions"
        async with self._cluster.session.post(
            url, data=orjson.dumps(body), headers=headers
        ) as response:
            return response.status == 200

    async def _reserve_node(self, target: int) -> ManagedProcess:
        """Reserve a node once no node is under a fault, so that claims keep their majority."""
        nodes = self._cluster.nodes
        async with self._node_released:
            await self._node_released.wait_for(
                lambda: not any(n.name in self._under_fault for n in nodes)
            )
            node = nodes[target % len(nodes)]
            self._under_fault.add(node.name)
            return node

    async def _release_node(self, node: ManagedProcess) -> None:
        async with self._node_released:
            self._under_fault.discard(node.name)
            self._node_released.notify_all()

    # Platform and operators

    async def _platform_outage(self, fault: PlannedFault) -> None:
        async with self._platform_lock:
            await self._cluster.platform_fault(kind="outage", seconds=fault.seconds)
            await asyncio.sleep(fault.seconds)

    async def _platform_restore(self, fault: PlannedFault) -> None:
        """Restore the store from a copy made before the newest confirmed plan."""
        async with self._platform_lock:
            await self._cluster.platform_fault(kind="save")
            confirmed = await self._confirm(fault.target, "restored")
            if confirmed.code:
                return
            generation = confirmed.generation
            await wait_until(
                lambda: self._has_generation(generation), "a node adopts the confirmed plan"
            )
            await self._cluster.platform_fault(kind="restore")

    async def _operator_race(self, fault: PlannedFault) -> None:
        async with self._platform_lock:
            await self._cluster.platform_fault(kind="lose_answers", count=2)
            await asyncio.gather(
                self._confirm(fault.target, "left"), self._confirm(fault.target + 1, "right")
            )
            await self._cluster.platform_fault(kind="none")

    async def _weight_change(self, _: PlannedFault) -> None:
        pool = self._cluster.deployment.pools[0]
        row = {"name": pool.name, "model": pool.model, "weight_version": NEXT_WEIGHT_VERSION}
        async with self._platform_lock:
            node = self._select_node_index()
            operator = self._cluster.operator(node, "weights")
            try:
                await operator.confirm_intent({"pools": [row]})
            except OperatorCallError:
                return

    async def _confirm(self, target: int, name: str) -> Confirmation:
        """Confirm a plan that adds a tenant, and record the response to the operator."""
        self._tenant_count += 1
        tenant = f"{name}-{self._tenant_count}"
        node = self._select_node_index(target)
        operator = self._cluster.operator(node, name)
        intent = {"tenants": [{"name": tenant, "api_keys": [api_key(tenant)]}]}
        base, generation, code = 0, 0, -1
        try:
            plan = await operator.call("POST", "/intents", intent)
            base = plan["base_generation"]
            path = f"/plans/{plan['plan_id']}/confirm"
            generation = (await operator.call("POST", path))["generation"]
            code = 0
        except OperatorCallError as error:
            code = error.code or -1
        confirmation = Confirmation(time.time(), base, generation, code, tenant)
        self._history.confirmations.append(confirmation)
        return confirmation

    def _select_node_index(self, target: int = 0) -> int:
        nodes = self._cluster.nodes
        usable = [i for i, node in enumerate(nodes) if node.name not in self._under_fault]
        return usable[target % len(usable)] if usable else 0

    async def _has_generation(self, generation: int) -> bool:
        status = await self._cluster.operator(self._select_node_index()).call("GET", "/status")
        return int(status["generation"]) >= generation


def weight_versions(cluster: Cluster) -> list[str]:
    """Return the weight versions that can generate responses in a run."""
    return [*(pool.weight_version for pool in cluster.deployment.pools), NEXT_WEIGHT_VERSION]
