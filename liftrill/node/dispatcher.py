"""Chooses engines for the request machines and holds requests while engines are full."""

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass

from liftrill import constants
from liftrill.cache.tokenizer import FixedWidthTokenizer
from liftrill.errors import LiftrillError, ResultCode
from liftrill.messages.configuration_pb2 import Pool
from liftrill.node.metrics import NodeMetrics
from liftrill.planning.sections import ConfigurationView
from liftrill.routing.admission import AdmissionController
from liftrill.routing.dispatch_queue import DispatchQueue, QueuedItem
from liftrill.routing.engine_state import EngineState, EngineTable
from liftrill.routing.machine import EngineChoice, RoutingPorts, Unavailable
from liftrill.routing.policies import RoutingPolicy
from liftrill.routing.request import RoutedRequest


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why an engine was chosen."""

    engine_id: str
    policy: str
    candidates: tuple[tuple[str, int], ...]
    excluded: tuple[str, ...]
    prompt_blocks: int


@dataclass(slots=True)
class _Waiter:
    """A request that waits for its turn."""

    request: RoutedRequest
    turn: asyncio.Future[None]


class TurnRefusedError(LiftrillError):
    """A request cannot wait for an engine.

    Attributes:
        code: QUEUE_FULL or DEADLINE_UNREACHABLE.
        retry_after_seconds: when there may be room.
    """

    def __init__(self, code: ResultCode, retry_after_seconds: float) -> None:
        self.code = code
        self.retry_after_seconds = retry_after_seconds
        super().__init__(code.name.lower())


class Dispatcher(RoutingPorts):
    """One per node."""

    def __init__(
        self,
        engines: EngineTable,
        policy: RoutingPolicy,
        admission: AdmissionController,
        metrics: NodeMetrics,
        cache_secret: bytes,
    ) -> None:
        self.view = ConfigurationView()
        self._engines = engines
        self._policy = policy
        self._admission = admission
        self._metrics = metrics
        self._cache_secret = cache_secret
        self._tokenizer = FixedWidthTokenizer()
        self._queues: dict[str, DispatchQueue[_Waiter]] = {}
        self._granted: dict[str, str] = {}  # request id to model
        self._explanations: OrderedDict[str, list[Explanation]] = OrderedDict()

    def choose(
        self, request: RoutedRequest, excluded: frozenset[str], weight_version: str | None
    ) -> EngineChoice | Unavailable:
        """Return an engine for a request, or why there is none now."""
        started_at = time.perf_counter()
        eligible = self._eligible(request.model, excluded, weight_version)
        if not eligible:
            self._granted.pop(request.request_id, None)
            return Unavailable.NONE_ELIGIBLE
        if not self._may_go_now(request, weight_version):
            return Unavailable.ALL_BUSY
        with_room = self._prefer_current_weights(eligible)
        self._granted.pop(request.request_id, None)
        if not with_room:
            return Unavailable.ALL_BUSY
        choice = self._choose_among(request, with_room, excluded)
        self._metrics.decision_seconds.observe(time.perf_counter() - started_at)
        return choice

    def try_spend_retry(self, request: RoutedRequest) -> bool:
        """Spend one retry of the request's workload."""
        return self._admission.try_spend_retry(request.workload)

    async def wait_for_turn(self, request: RoutedRequest) -> None:
        """Wait in the queue until an engine may be free.

        Raises:
            TurnRefusedError: the queue is full or the deadline would pass in it.
        """
        queue = self._queue(request.model)
        now = time.monotonic()
        self._check_wait(queue, request, now)
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        item = self._push(queue, request, turn)
        self._metrics.queued.inc()
        try:
            self.wake(request.model)
            await turn
        except BaseException:
            self._granted.pop(request.request_id, None)
            raise
        finally:
            queue.remove(item)
            self._metrics.queued.dec()

    def wake(self, model: str | None = None) -> None:
        """Let waiting requests go on as far as engines have room."""
        for name in [model] if model else list(self._queues):
            queue = self._queues.get(name)
            if queue:
                queue.take_while(self._grant, time.monotonic())

    def explanations(self, request_id: str) -> list[Explanation]:
        """Return why each engine of a request was chosen."""
        return self._explanations.get(request_id, [])

    def _eligible(
        self, model: str, excluded: frozenset[str], weight_version: str | None
    ) -> list[EngineState]:
        pools = {pool.name: pool for pool in self.view.pools_by_model.get(model, [])}
        now = time.monotonic()
        return [
            engine
            for engine in self._engines.in_pools(pools)
            if engine.engine_id not in excluded
            and not engine.leaving
            and engine.incarnation is not None
            and _serves_accepted_weights(engine, pools[engine.pool])
            and weight_version in (None, engine.weight_version)
            and engine.breaker.allows(now)
        ]

    def _prefer_current_weights(self, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines with room: those with the configured weights, if there are any."""
        with_room = [engine for engine in engines if engine.has_room()]
        pools = self.view.pools_by_name
        current = [e for e in with_room if e.weight_version == pools[e.pool].weight_version]
        return current or with_room

    def _may_go_now(self, request: RoutedRequest, weight_version: str | None) -> bool:
        """Return whether a request may pass the queue: its turn came, or it has begun."""
        queue_is_empty = not self._queues.get(request.model)
        granted = request.request_id in self._granted
        return queue_is_empty or granted or weight_version is not None

    def _choose_among(
        self, request: RoutedRequest, engines: list[EngineState], excluded: frozenset[str]
    ) -> EngineChoice:
        names = self._block_names(request, engines[0])
        engine = self._policy.choose(names, engines)
        self._explain(request.request_id, engine, engines, excluded, len(names))
        return EngineChoice(
            engine_id=engine.engine_id,
            incarnation=engine.incarnation,
            weight_version=engine.weight_version,
            adapter=self.view.pools_by_name[engine.pool].adapter,
        )

    def _block_names(self, request: RoutedRequest, engine: EngineState) -> list[bytes]:
        adapter = self.view.pools_by_name[engine.pool].adapter
        scope = request.scope(adapter, engine.weight_version)
        return request.block_names(scope, self._cache_secret, self._tokenizer)

    def _explain(
        self,
        request_id: str,
        engine: EngineState,
        engines: list[EngineState],
        excluded: frozenset[str],
        prompt_blocks: int,
    ) -> None:
        explanation = Explanation(
            engine_id=engine.engine_id,
            policy=self._policy.name,
            candidates=tuple((e.engine_id, e.load) for e in engines),
            excluded=tuple(sorted(excluded)),
            prompt_blocks=prompt_blocks,
        )
        self._explanations.setdefault(request_id, []).append(explanation)
        if len(self._explanations) > constants.EXPLANATIONS_KEPT:
            self._explanations.popitem(last=False)

    def _queue(self, model: str) -> DispatchQueue[_Waiter]:
        queue = self._queues.get(model)
        if queue is None:
            queue = self._queues[model] = DispatchQueue(constants.QUEUE_LENGTH_LIMIT)
        return queue

    def _check_wait(
        self, queue: DispatchQueue[_Waiter], request: RoutedRequest, now: float
    ) -> None:
        wait = queue.expected_wait(request.priority)
        if now + wait > request.deadline:
            raise TurnRefusedError(ResultCode.DEADLINE_UNREACHABLE, wait)

    def _push(
        self, queue: DispatchQueue[_Waiter], request: RoutedRequest, turn: asyncio.Future[None]
    ) -> QueuedItem[_Waiter]:
        tenant = self.view.tenants_by_name.get(request.tenant)
        item = queue.push(
            _Waiter(request, turn),
            tenant=request.tenant,
            priority=request.priority,
            cost=float(request.prompt_tokens + request.maximum_tokens),
            weight=tenant.weight if tenant else 1.0,
        )
        if item is None:
            wait = max(constants.RETRY_AFTER_SECONDS, queue.expected_wait(request.priority))
            raise TurnRefusedError(ResultCode.QUEUE_FULL, wait)
        return item

    def _grant(self, waiter: _Waiter) -> bool:
        """Give a waiter its turn if there is room beyond the turns not yet used."""
        if waiter.turn.done():
            return True
        eligible = self._eligible(waiter.request.model, frozenset(), None)
        room = sum(max(0, int(engine.limit.limit) - engine.in_flight) for engine in eligible)
        if eligible and room <= self._unused_turns(waiter.request.model):
            return False
        self._granted[waiter.request.request_id] = waiter.request.model
        waiter.turn.set_result(None)
        return True

    def _unused_turns(self, model: str) -> int:
        return sum(1 for granted_model in self._granted.values() if granted_model == model)


def _serves_accepted_weights(engine: EngineState, pool: Pool) -> bool:
    """Return whether an engine has the pool's weights, or those it is being moved from."""
    accepted = (pool.weight_version, pool.previous_weight_version)
    return bool(engine.weight_version) and engine.weight_version in accepted
