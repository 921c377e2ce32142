"""Chooses engines for requests and queues requests while all engines are full; sans-IO.

The daemon and the simulation use the same router; the clock is passed in.
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
from liftrill.routing.policies import CostTerms, PolicyChoice, RoutingPolicy, RoutingQuery
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import EngineChoice, RoutingPorts, Unavailable


@dataclass(frozen=True, slots=True)
class Explanation:
    """The inputs and the result of one routing decision.

    Attributes:
        loads: the estimated requests on each engine that could be chosen.
        costs: the cost terms of each engine, for policies that compute them.
        excluded: the engines that were ruled out by earlier attempts of the request.
        shared_tokens: prompt tokens in the prefix that other requests used too.
        believed_tokens: prompt tokens that the engine is believed to have cached.
        import_tokens: prompt tokens to import from the kept-KV store.
    """

    engine_id: str
    policy: str
    loads: tuple[tuple[str, float], ...]
    costs: tuple[tuple[str, CostTerms], ...]
    excluded: tuple[str, ...]
    shared_tokens: int
    believed_tokens: int
    import_tokens: int


@dataclass(frozen=True, slots=True)
class PrefixSaveAdvice:
    """Advice to save a prefix to the kept-KV store, as its expected reuse outweighs its cost.

    Attributes:
        name: the name of the last block of the prefix.
        blocks: the length of the prefix in blocks.
    """

    engine_id: str
    name: bytes
    blocks: int


@dataclass(slots=True)
class _DispatchRecord:
    """The beliefs on which the dispatch of a request was based.

    Attributes:
        believed_depth: leading markers that the engine was believed to hold.
        belief_age: the age of that belief, in seconds.
        incarnation: the incarnation of the engine, or 0 if it was not known.
    """

    markers: list[bytes]
    shared_depth: int
    believed_depth: int
    belief_age: float
    incarnation: int


class Router(RoutingPorts):
    """Chooses engines for the requests of one node and queues requests that must wait."""

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
        self.home_reporter = HomeReporter(directory)
        self._policy = policy
        self._directory = directory
        self._admission = admission
        self._cache_secret = cache_secret
        self._clock = clock
        self._tokenizer = FixedWidthTokenizer()
        self._queues: dict[str, DispatchQueue[RoutedRequest]] = {}
        self._dispatch_grants: dict[str, str] = {}  # request id to model
        self._dispatches: dict[str, _DispatchRecord] = {}
        self._explanations: OrderedDict[str, list[Explanation]] = OrderedDict()

    # Choosing

    def choose(
        self, request: RoutedRequest, excluded: frozenset[str], weight_version: str | None
    ) -> EngineChoice | Unavailable:
        """Return an engine for a request, or the reason why none is available now."""
        pools = self.view.pools_by_model.get(request.model, [])
        pool_names = tuple(pool.name for pool in pools)
        engines = self.engines.in_pools(pool_names)
        if not engines:
            return self._unavailable(request, Unavailable.NONE_ELIGIBLE)
        # A request that was dispatched before skips the queue: a dispatch grant could be for
        # engines that it may not use, and its caller has already waited.
        was_dispatched = bool(excluded) or weight_version is not None
        if was_dispatched or self._may_dispatch(request):
            query = self._routing_query(request, pools[0], self.engines.ids_in_pools(pool_names))
            for group in (self._candidates(query, engines), engines):
                eligible = self._eligible(group, excluded, weight_version)
                usable = eligible if was_dispatched else self._with_free_slots(eligible)
                if usable:
                    self._dispatch_grants.pop(request.request_id, None)
                    preferred = self._prefer_current_weights(usable)
                    return self._choose_among(request, query, preferred, excluded)
        if self._eligible(engines, excluded, weight_version):
            return self._unavailable(request, Unavailable.ALL_BUSY)
        return self._unavailable(request, Unavailable.NONE_ELIGIBLE)

    def try_spend_retry(self, request: RoutedRequest) -> bool:
        """Spend one retry from the retry budget of the request's workload; False if it is empty."""
        return self._admission.try_spend_retry(request.workload)

    def explanations(self, request_id: str) -> list[Explanation]:
        """Return the explanations of a request, one for each routing decision."""
        return self._explanations.get(request_id, [])

    def block_names(self, request: RoutedRequest, pool: Pool) -> list[bytes]:
        """Return the block names of a request's prompt on the engines of a pool."""
        scope = request.scope(pool.adapter, pool.weight_version)
        return request.block_names(scope, self._cache_secret, self._tokenizer)

    @property
    def directory_size(self) -> int:
        """The number of shared markers in the prefix directory."""
        return len(self._directory)

    # Feedback

    def record_completion(
        self, request: RoutedRequest, engine_id: str, cached_tokens: int
    ) -> PrefixSaveAdvice | None:
        """Update the prefix directory by the cached-token count of a completed response.

        Returns:
            Advice to save the prefix to the kept-KV store, or None if that is not worthwhile.
        """
        dispatch = self._dispatches.pop(request.request_id, None)
        if dispatch is None:
            return None
        now = self._clock()
        cached_depth = min(cached_tokens // marker_tokens(1), len(dispatch.markers))
        self._directory.mark_shared(dispatch.markers[:cached_depth], now)
        held = dispatch.markers[: max(dispatch.shared_depth, cached_depth)]
        if dispatch.believed_depth:
            belief_was_right = cached_tokens >= marker_tokens(dispatch.believed_depth)
            self._directory.record_answer(engine_id, dispatch.belief_age, belief_was_right)
        self._directory.record_held(engine_id, dispatch.incarnation, held, now)
        return self._advise_saving(engine_id, held, now)

    def record_abandoned(self, request: RoutedRequest) -> None:
        """Drop the dispatch record of a request that did not complete."""
        self._dispatches.pop(request.request_id, None)

    # Queueing

    def expected_wait(self, request: RoutedRequest) -> float:
        """Return the expected queue wait of a request, in seconds."""
        return self._queue(request.model).expected_wait(request.priority)

    def enqueue(self, request: RoutedRequest) -> QueuedItem[RoutedRequest] | None:
        """Queue a request until an engine may have a free slot; None if the queue is full."""
        tenant = self.view.tenants_by_name.get(request.tenant)
        return self._queue(request.model).push(
            request,
            tenant=request.tenant,
            priority=request.priority,
            cost=float(request.prompt_tokens + request.maximum_tokens),
            weight=tenant.weight if tenant else 1.0,
        )

    def dequeue(self, item: QueuedItem[RoutedRequest]) -> None:
        """Remove a request from the queue, because it was granted a dispatch or stopped waiting."""
        self._queue(item.waiter.model).remove(item)

    def release_dispatch_grant(self, request: RoutedRequest) -> None:
        """Release a dispatch grant that will not be used."""
        self._dispatch_grants.pop(request.request_id, None)

    def grant_dispatches(self, model: str | None = None) -> list[RoutedRequest]:
        """Grant dispatches to queued requests while engines have free slots.

        If no engine of a model is eligible, all its requests are granted, so that they end.

        Returns:
            The requests that may now call `choose` again, in queue order.
        """
        granted: list[RoutedRequest] = []
        for name in [model] if model else list(self._queues):
            self._grant_model_dispatches(name, granted)
        return granted

    def _grant_model_dispatches(self, model: str, granted: list[RoutedRequest]) -> None:
        queue = self._queues.get(model)
        if not queue:
            return
        pools = [pool.name for pool in self.view.pools_by_model.get(model, [])]
        eligible = self._eligible(self.engines.in_pools(pools), frozenset(), None)
        now = self._clock()
        free_slots = sum(engine.free_slots(now) for engine in eligible) - self._unused_grants(model)

        def grant(request: RoutedRequest) -> bool:
            nonlocal free_slots
            if eligible and free_slots <= 0:
                return False
            free_slots -= 1
            self._dispatch_grants[request.request_id] = model
            granted.append(request)
            return True

        queue.take_while(grant, self._clock())

    # Internals

    def _unavailable(self, request: RoutedRequest, reason: Unavailable) -> Unavailable:
        self._dispatch_grants.pop(request.request_id, None)
        return reason

    def _candidates(self, query: RoutingQuery, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines to evaluate first; all of them unless there are many."""
        if len(engines) <= constants.FULL_SCAN_ENGINES:
            return engines
        candidate_ids = self._policy.select_candidates(query, engines)
        if candidate_ids is None:
            return engines
        found = [self.engines.get(engine_id) for engine_id in candidate_ids]
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

    def _with_free_slots(self, engines: list[EngineState]) -> list[EngineState]:
        now = self._clock()
        return [engine for engine in engines if engine.has_free_slot(now)]

    def _prefer_current_weights(self, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines with the configured weights, or all engines if none has them."""
        pools = self.view.pools_by_name
        current = [e for e in engines if e.weight_version == pools[e.pool].weight_version]
        return current or engines

    def _may_dispatch(self, request: RoutedRequest) -> bool:
        """Return whether the queue is empty or the request was granted a dispatch."""
        return not self._queues.get(request.model) or request.request_id in self._dispatch_grants

    def _choose_among(
        self,
        request: RoutedRequest,
        query: RoutingQuery,
        engines: list[EngineState],
        excluded: frozenset[str],
    ) -> EngineChoice:
        decision = self._policy.choose(query, engines)
        engine = decision.engine
        self._record_dispatch(request, query, decision)
        self._record_explanation(request, query, decision, engines, excluded)
        held = marker_tokens(max(decision.believed_depth, decision.import_depth))
        return EngineChoice(
            engine_id=engine.engine_id,
            incarnation=engine.incarnation,
            weight_version=engine.weight_version,
            adapter=self.view.pools_by_name[engine.pool].adapter,
            expected_prefill_tokens=max(0, request.prompt_tokens - held),
            import_candidates=tuple(query.markers) if self._policy.uses_kept_store else (),
        )

    def _routing_query(
        self, request: RoutedRequest, pool: Pool, engine_ids: tuple[str, ...]
    ) -> RoutingQuery:
        markers = markers_of(self.block_names(request, pool))
        now = self._clock()
        is_first = request.request_id not in self._dispatches
        observe = self._directory.observe
        depth = observe(markers, now) if is_first else self._directory.shared_depth(markers)
        if depth:
            self.home_reporter.record_used(markers[depth - 1])
        return RoutingQuery(
            markers=markers,
            shared_depth=depth,
            prompt_tokens=request.prompt_tokens,
            priority=request.priority,
            now=now,
            engine_ids=engine_ids,
        )

    def _record_dispatch(
        self, request: RoutedRequest, query: RoutingQuery, decision: PolicyChoice
    ) -> None:
        engine = decision.engine
        age = 0.0
        if decision.believed_depth:
            name = query.markers[decision.believed_depth - 1]
            age = self._directory.belief_age(engine.engine_id, name, query.now)
        self._dispatches[request.request_id] = _DispatchRecord(
            list(query.markers),
            query.shared_depth,
            decision.believed_depth,
            age,
            engine.incarnation or 0,
        )
        # The engine will soon hold this prefix, so the next request should be routed there.
        self._directory.record_held(
            engine.engine_id,
            engine.incarnation or 0,
            query.markers[: query.shared_depth],
            query.now,
        )

    def _advise_saving(
        self, engine_id: str, held: list[bytes], now: float
    ) -> PrefixSaveAdvice | None:
        """Return advice to save a prefix whose expected reuse outweighs its transfer."""
        if not held or not self._policy.uses_kept_store:
            return None
        marker = self._directory.get(held[-1])
        if marker is None or marker.total_rate(now) < constants.EXPORT_MIN_RATE_PER_SECOND:
            return None
        if marker.kept_at is not None and now - marker.kept_at < constants.EXPORT_REFRESH_SECONDS:
            return None
        marker.kept_at = now
        return PrefixSaveAdvice(engine_id, held[-1], len(held) * constants.MARKER_STRIDE_BLOCKS)

    def _record_explanation(
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

    def _unused_grants(self, model: str) -> int:
        return sum(1 for granted_model in self._dispatch_grants.values() if granted_model == model)


def _serves_accepted_weights(engine: EngineState, pool: Pool) -> bool:
    """Return whether an engine has the configured or the previous weights of its pool."""
    accepted = (pool.weight_version, pool.previous_weight_version)
    return bool(engine.weight_version) and engine.weight_version in accepted
