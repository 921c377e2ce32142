"""Chooses engines for requests and holds requests while engines are full, sans-IO.

The same router serves the daemon and virtual time; the clock is passed in.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from liftrill import constants
from liftrill.cache.directory import PrefixDirectory, marker_tokens, markers_of
from liftrill.cache.home import HomeReporter
from liftrill.cache.tokenizer import FixedWidthTokenizer
from liftrill.messages.configuration_pb2 import Pool
from liftrill.planning.sections import ConfigurationView
from liftrill.routing.admission import AdmissionController
from liftrill.routing.dispatch_queue import DispatchQueue, QueuedItem
from liftrill.routing.engine_state import EngineState, EngineTable
from liftrill.routing.machine import EngineChoice, RoutingPorts, Unavailable
from liftrill.routing.policies import CostTerms, PolicyChoice, RoutingPolicy, RoutingQuery
from liftrill.routing.request import RoutedRequest


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why an engine was chosen."""

    engine_id: str
    policy: str
    loads: tuple[tuple[str, float], ...]
    costs: tuple[tuple[str, CostTerms], ...]
    excluded: tuple[str, ...]
    shared_tokens: int
    believed_tokens: int
    import_tokens: int


@dataclass(frozen=True, slots=True)
class KeepPrefix:
    """Advice to give a prefix to the kept-KV store: it will save more than it costs.

    Attributes:
        name: the prefix's last block.
        blocks: its length.
    """

    engine_id: str
    name: bytes
    blocks: int


@dataclass(slots=True)
class _Dispatched:
    """What was believed when a request was sent."""

    markers: list[bytes]
    shared_depth: int
    believed_depth: int
    belief_age: float
    incarnation: int


class Router(RoutingPorts):
    """One node's router."""

    def __init__(
        self,
        engines: EngineTable,
        policy: RoutingPolicy,
        directory: PrefixDirectory,
        admission: AdmissionController,
        cache_secret: bytes,
        clock: Callable[[], float],
    ) -> None:
        self.view = ConfigurationView()
        self.engines = engines
        self.reporter = HomeReporter(directory)
        self._policy = policy
        self._directory = directory
        self._admission = admission
        self._cache_secret = cache_secret
        self._clock = clock
        self._tokenizer = FixedWidthTokenizer()
        self._queues: dict[str, DispatchQueue[RoutedRequest]] = {}
        self._granted: dict[str, str] = {}  # request id to model
        self._dispatched: dict[str, _Dispatched] = {}
        self._explanations: OrderedDict[str, list[Explanation]] = OrderedDict()

    # Choosing

    def choose(
        self, request: RoutedRequest, excluded: frozenset[str], weight_version: str | None
    ) -> EngineChoice | Unavailable:
        """Return an engine for a request, or why there is none now."""
        pools = self.view.pools_by_model.get(request.model, [])
        pool_names = tuple(pool.name for pool in pools)
        engines = self.engines.in_pools(pool_names)
        if not engines:
            return self._unavailable(request, Unavailable.NONE_ELIGIBLE)
        # What was sent before is not held back: its turn would be granted for engines that it
        # may not use, and its caller has waited already.
        has_begun = bool(excluded) or weight_version is not None
        if has_begun or self._may_go_now(request):
            query = self._query(request, pools[0], self.engines.ids_in_pools(pool_names))
            for group in (self._narrow(query, engines), engines):
                eligible = self._eligible(group, excluded, weight_version)
                usable = eligible if has_begun else self._with_room(eligible)
                if usable:
                    self._granted.pop(request.request_id, None)
                    preferred = self._prefer_current_weights(usable)
                    return self._choose_among(request, query, preferred, excluded)
        if self._eligible(engines, excluded, weight_version):
            return self._unavailable(request, Unavailable.ALL_BUSY)
        return self._unavailable(request, Unavailable.NONE_ELIGIBLE)

    def try_spend_retry(self, request: RoutedRequest) -> bool:
        """Spend one retry of the request's workload."""
        return self._admission.try_spend_retry(request.workload)

    def explanations(self, request_id: str) -> list[Explanation]:
        """Return why each engine of a request was chosen."""
        return self._explanations.get(request_id, [])

    def block_names(self, request: RoutedRequest, pool: Pool) -> list[bytes]:
        """Return the names of a prompt's blocks on a pool's engines."""
        scope = request.scope(pool.adapter, pool.weight_version)
        return request.block_names(scope, self._cache_secret, self._tokenizer)

    @property
    def directory_size(self) -> int:
        """The number of shared markers that are remembered."""
        return len(self._directory)

    # Feedback

    def record_answer(
        self, request: RoutedRequest, engine_id: str, cached_tokens: int
    ) -> KeepPrefix | None:
        """Learn from a completed answer; return advice for the kept-KV store."""
        sent = self._dispatched.pop(request.request_id, None)
        if sent is None:
            return None
        now = self._clock()
        cached_depth = min(cached_tokens // marker_tokens(1), len(sent.markers))
        self._directory.mark_shared(sent.markers[:cached_depth], now)
        held = sent.markers[: max(sent.shared_depth, cached_depth)]
        if sent.believed_depth:
            was_right = cached_tokens >= marker_tokens(sent.believed_depth)
            self._directory.record_answer(engine_id, sent.belief_age, was_right)
        self._directory.record_held(engine_id, sent.incarnation, held, now)
        return self._advise_keeping(engine_id, held, now)

    def record_abandoned(self, request: RoutedRequest) -> None:
        """Forget a request that did not complete."""
        self._dispatched.pop(request.request_id, None)

    # Waiting

    def expected_wait(self, request: RoutedRequest) -> float:
        """Return the seconds that a request would wait in the queue."""
        return self._queue(request.model).expected_wait(request.priority)

    def enqueue(self, request: RoutedRequest) -> QueuedItem[RoutedRequest] | None:
        """Hold a request until an engine may be free; None if the queue is full."""
        tenant = self.view.tenants_by_name.get(request.tenant)
        return self._queue(request.model).push(
            request,
            tenant=request.tenant,
            priority=request.priority,
            cost=float(request.prompt_tokens + request.maximum_tokens),
            weight=tenant.weight if tenant else 1.0,
        )

    def dequeue(self, item: QueuedItem[RoutedRequest]) -> None:
        """Take out a request that goes on or gave up."""
        self._queue(item.waiter.model).remove(item)

    def abandon_turn(self, request: RoutedRequest) -> None:
        """Give back a turn that will not be used."""
        self._granted.pop(request.request_id, None)

    def grant_turns(self, model: str | None = None) -> list[RoutedRequest]:
        """Return the waiting requests that may now call `choose` again, in order."""
        granted: list[RoutedRequest] = []
        for name in [model] if model else list(self._queues):
            self._grant_model(name, granted)
        return granted

    def _grant_model(self, model: str, granted: list[RoutedRequest]) -> None:
        queue = self._queues.get(model)
        if not queue:
            return
        pools = [pool.name for pool in self.view.pools_by_model.get(model, [])]
        eligible = self._eligible(self.engines.in_pools(pools), frozenset(), None)
        now = self._clock()
        room = sum(engine.room(now) for engine in eligible) - self._unused_turns(model)

        def grant(request: RoutedRequest) -> bool:
            nonlocal room
            if eligible and room <= 0:
                return False
            room -= 1
            self._granted[request.request_id] = model
            granted.append(request)
            return True

        queue.take_while(grant, self._clock())

    # Internals

    def _unavailable(self, request: RoutedRequest, reason: Unavailable) -> Unavailable:
        self._granted.pop(request.request_id, None)
        return reason

    def _narrow(self, query: RoutingQuery, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines to look at first, where there are many."""
        if len(engines) <= constants.FULL_SCAN_ENGINES:
            return engines
        chosen = self._policy.narrow(query, engines)
        if chosen is None:
            return engines
        found = [self.engines.get(engine_id) for engine_id in chosen]
        return [engine for engine in found if engine is not None]

    def _eligible(
        self, engines: Sequence[EngineState], excluded: frozenset[str], weight_version: str | None
    ) -> list[EngineState]:
        pools = self.view.pools_by_name
        now = self._clock()
        return [
            engine
            for engine in engines
            if engine.engine_id not in excluded
            and not engine.leaving
            and engine.incarnation is not None
            and _serves_accepted_weights(engine, pools[engine.pool])
            and weight_version in (None, engine.weight_version)
            and engine.breaker.allows(now)
        ]

    def _with_room(self, engines: list[EngineState]) -> list[EngineState]:
        now = self._clock()
        return [engine for engine in engines if engine.has_room(now)]

    def _prefer_current_weights(self, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines with the configured weights, or all if there are none."""
        pools = self.view.pools_by_name
        current = [e for e in engines if e.weight_version == pools[e.pool].weight_version]
        return current or engines

    def _may_go_now(self, request: RoutedRequest) -> bool:
        """Return whether nobody waits, or the request's turn has come."""
        return not self._queues.get(request.model) or request.request_id in self._granted

    def _choose_among(
        self,
        request: RoutedRequest,
        query: RoutingQuery,
        engines: list[EngineState],
        excluded: frozenset[str],
    ) -> EngineChoice:
        decision = self._policy.choose(query, engines)
        engine = decision.engine
        self._remember(request, query, decision)
        self._explain(request, query, decision, engines, excluded)
        held = marker_tokens(max(decision.believed_depth, decision.import_depth))
        return EngineChoice(
            engine_id=engine.engine_id,
            incarnation=engine.incarnation,
            weight_version=engine.weight_version,
            adapter=self.view.pools_by_name[engine.pool].adapter,
            expected_prefill_tokens=max(0, request.prompt_tokens - held),
            import_candidates=tuple(query.markers) if self._policy.uses_kept_store else (),
        )

    def _query(
        self, request: RoutedRequest, pool: Pool, engine_ids: tuple[str, ...]
    ) -> RoutingQuery:
        markers = markers_of(self.block_names(request, pool))
        now = self._clock()
        first_time = request.request_id not in self._dispatched
        observe = self._directory.observe
        depth = observe(markers, now) if first_time else self._directory.shared_depth(markers)
        if depth:
            self.reporter.record_used(markers[depth - 1])
        return RoutingQuery(
            markers=markers,
            shared_depth=depth,
            prompt_tokens=request.prompt_tokens,
            priority=request.priority,
            now=now,
            engine_ids=engine_ids,
        )

    def _remember(
        self, request: RoutedRequest, query: RoutingQuery, decision: PolicyChoice
    ) -> None:
        engine = decision.engine
        age = 0.0
        if decision.believed_depth:
            name = query.markers[decision.believed_depth - 1]
            age = self._directory.belief_age(engine.engine_id, name, query.now)
        self._dispatched[request.request_id] = _Dispatched(
            list(query.markers),
            query.shared_depth,
            decision.believed_depth,
            age,
            engine.incarnation or 0,
        )
        # What is sent now will be held soon: the next request should meet it there.
        self._directory.record_held(
            engine.engine_id,
            engine.incarnation or 0,
            query.markers[: query.shared_depth],
            query.now,
        )

    def _advise_keeping(self, engine_id: str, held: list[bytes], now: float) -> KeepPrefix | None:
        """Advise keeping a prefix whose expected reuse outweighs its transfer."""
        if not held or not self._policy.uses_kept_store:
            return None
        marker = self._directory.get(held[-1])
        if marker is None or marker.total_rate(now) < constants.EXPORT_MIN_RATE_PER_SECOND:
            return None
        if marker.kept_at is not None and now - marker.kept_at < constants.EXPORT_REFRESH_SECONDS:
            return None
        marker.kept_at = now
        return KeepPrefix(engine_id, held[-1], len(held) * constants.MARKER_STRIDE_BLOCKS)

    def _explain(
        self,
        request: RoutedRequest,
        query: RoutingQuery,
        decision: PolicyChoice,
        engines: list[EngineState],
        excluded: frozenset[str],
    ) -> None:
        explanation = Explanation(
            engine_id=decision.engine.engine_id,
            policy=self._policy.name,
            loads=tuple((e.engine_id, round(e.load(query.now), 1)) for e in engines),
            costs=decision.costs,
            excluded=tuple(sorted(excluded)),
            shared_tokens=marker_tokens(query.shared_depth),
            believed_tokens=marker_tokens(decision.believed_depth),
            import_tokens=marker_tokens(decision.import_depth),
        )
        self._explanations.setdefault(request.request_id, []).append(explanation)
        if len(self._explanations) > constants.EXPLANATIONS_KEPT:
            self._explanations.popitem(last=False)

    def _queue(self, model: str) -> DispatchQueue[RoutedRequest]:
        queue = self._queues.get(model)
        if queue is None:
            queue = self._queues[model] = DispatchQueue(constants.QUEUE_LENGTH_LIMIT)
        return queue

    def _unused_turns(self, model: str) -> int:
        return sum(1 for granted_model in self._granted.values() if granted_model == model)


def _serves_accepted_weights(engine: EngineState, pool: Pool) -> bool:
    """Return whether an engine has the pool's weights, or those it is being moved from."""
    accepted = (pool.weight_version, pool.previous_weight_version)
    return bool(engine.weight_version) and engine.weight_version in accepted
