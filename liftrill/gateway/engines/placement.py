"""Policies that choose the engine for a request."""

import hashlib
import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import xxhash

from liftrill import constants
from liftrill.coordination import rendezvous
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.engines.prefix_directory import NOTHING_CACHED, SharedParts
from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.records import ServiceProfile

SALT_DIGEST_BYTES = 8
# Engines among which a plain request chooses when many nodes choose at once: with two, most of the
# queueing is avoided, and the nodes rarely all choose the same engine.
PLAIN_CANDIDATES = 2


def cache_salt(scope: str, model: str, version: int) -> str:
    """Return the cache salt, the scope under which an engine caches the parts of a prompt.

    The salt depends on the weights, so that parts computed with other weights are never reused,
    and on who may use them.
    """
    content = f"{scope}\0{model}\0{version}".encode()
    return hashlib.blake2b(content, digest_size=SALT_DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that could serve a request.

    Attributes:
        scope: the cache salt of the request at this engine, or empty.
        shared: known locations of the request's shared parts in that scope.
        transfer_s: time to fetch these parts.
        holder: the engine to fetch them from, or None for the store.
        outdated_s: time since newer weights than the engine's were published.
        slot_wait_s: expected wait for a free slot at the engine.
    """

    view: EngineView
    scope: str = ""
    shared: SharedParts = NOTHING_CACHED
    transfer_s: float = 0.0
    holder: EngineView | None = None
    outdated_s: float = 0.0
    slot_wait_s: float = 0.0


class PlacementPolicy(ABC):
    """Chooses among engines that could all serve a request."""

    @abstractmethod
    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine to send to; `candidates` is not empty."""


@dataclass(slots=True)
class LeastLoaded(PlacementPolicy):
    """Chooses the engine with the earliest expected completion; the own zone wins ties.

    Among equally fast engines that is the one with the fewest requests per slot.

    Attributes:
        nodes: returns the number of nodes that choose.
        many_nodes: above this number of nodes a request chooses among a few engines of its own,
            since all nodes would send to the engine that the last reports show as idle.
    """

    nodes: Callable[[], int] = lambda: 1
    many_nodes: int = constants.FRESH_LOAD_MAX_NODES

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the earliest expected completion."""
        key = request.request_id.encode()
        if self.nodes() > self.many_nodes and len(candidates) > PLAIN_CANDIDATES:
            by_id = {candidate.view.engine_id: candidate for candidate in candidates}
            candidates = [by_id[name] for name in rendezvous.rank(key, by_id)[:PLAIN_CANDIDATES]]

        def order(candidate: Candidate) -> tuple[float, bool, tuple[int, str]]:
            view = candidate.view
            in_other_zone = view.record.zone != zone
            per_slot = (view.requests + 1) / max(1, view.record.slots)
            completion = per_slot * view.speed.answer_slowness
            return completion, in_other_zone, rendezvous.weight(key, view.engine_id)

        return min(candidates, key=order)


@dataclass(slots=True)
class PromptCost(PlacementPolicy):
    """Chooses the engine that is expected to finish the prefill of the prompt first.

    Costs are in seconds, by the estimated speed of each engine. Within each scope one engine, the
    same for all nodes, is the home of the shared parts. Other engines are charged for the
    transfer of the cached parts and for prefilling the remaining ones a second time.

    An uncached part is prefilled at the home of the first uncached part. Otherwise prompts with a
    common prefix would be prefilled at as many engines as they have continuations.

    Attributes:
        speeds: estimated engine speeds.
        min_transfer_s: lower bound of the cost of a shared part's transfer, which delays the answer
            by this time.
        engines_per_prefix_home: number of engines in a scope per engine that prefills the common
            prefix of many prompts.
        recompute_factor: cost of prefilling a shared part again, relative to waiting as long.
        rare_recompute_factor: the same for a part of few prompts that no engine is known to
            prefill.
        long_prompt_s: prefill time above which a prompt is assumed to delay the running streams of
            its engine too much, where no route declares a pause target.
        pause_share: cost of each delayed stream, as a share of the prefill time.
        outdated_penalty_s: cost of weights that were replaced longer than the grace period ago:
            their output is worth less.
        outdated_grace_s: time after their replacement in which weights cost nothing extra.
        memory_share: share of engine memory above which the tokens of running requests count as
            backlog.
        many_engines: above this number of engines, and so of nodes, loads become known so late
            that all nodes would send to the engine that the last reports show as idle.
        preferred_engines: number of engines, different for each prompt, that are then preferred.
        overflow_penalty_s: cost that is then added to any engine that is neither preferred nor the
            home of the shared parts.
        overflow_penalty_share: upper bound of that cost, as a share of the request's target: a
            request accepts a longer wait at a preferred engine by the added cost, and that wait
            must not use up a tight target.
        services: profiles that the operator declares, by service.
    """

    speeds: SpeedEstimator
    min_transfer_s: float = 0.015
    engines_per_prefix_home: int = 5
    recompute_factor: float = constants.RECOMPUTE_COST_FACTOR
    rare_recompute_factor: float = constants.RARE_RECOMPUTE_COST_FACTOR
    long_prompt_s: float = constants.LONG_PROMPT_S
    pause_share: float = constants.LONG_PROMPT_PAUSE_SHARE
    outdated_penalty_s: float = constants.REPLACED_WEIGHTS_WAIT_S
    outdated_grace_s: float = constants.REPLACED_WEIGHTS_GRACE_S
    memory_share: float = 0.6
    many_engines: int = constants.FRESH_LOAD_MAX_ENGINES
    preferred_engines: int = constants.CHOICES_PER_PROMPT
    overflow_penalty_s: float = constants.CHOICE_WAIT_S
    overflow_penalty_share: float = constants.CHOICE_WAIT_TARGET_SHARE
    services: Mapping[str, ServiceProfile] = field(default_factory=dict)

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the lowest cost."""
        key = affinity_key(request) or request.request_id.encode()
        by_id = {candidate.view.engine_id: candidate for candidate in candidates}
        homes = self._homes(request, candidates, key)
        best, lowest_cost_s = candidates[0], math.inf
        is_large = len(candidates) > self.many_engines
        preferred_count = self.preferred_engines if is_large else len(candidates)
        overflow_penalty_s = min(
            self.overflow_penalty_s, self.overflow_penalty_share * request.route.target_seconds
        )
        predicts_pauses = self.speeds.predicts_pauses(request.service)
        for position, engine_id in enumerate(rendezvous.rank(key, by_id)):
            candidate = by_id[engine_id]
            to_prefill = tokens_to_prefill(request, candidate)
            cost_s = self._prefill_delay_s(candidate, to_prefill)
            if predicts_pauses:
                late = self.speeds.late_streams(candidate.view, to_prefill, request.is_stream)
                # A long pause makes a stream as late as a late first event does.
                cost_s += late * request.route.target_seconds
            else:
                cost_s += self._pause_cost_s(candidate, to_prefill)
            if homes[candidate.scope] != engine_id:
                cost_s += self._missing_parts_cost_s(request, candidate, is_large)
                cost_s += overflow_penalty_s if position >= preferred_count else 0.0
            if candidate.outdated_s > self.outdated_grace_s:
                cost_s += self.outdated_penalty_s
            if cost_s < lowest_cost_s:
                best, lowest_cost_s = candidate, cost_s
        return best

    def _homes(
        self, request: OpaqueRequest, candidates: list[Candidate], key: bytes
    ) -> dict[str, str]:
        """Return the home engine of the shared parts, by scope."""
        engines: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            engines.setdefault(candidate.scope, []).append(candidate)
        return {
            scope: self._home(request, scope_candidates, key)
            for scope, scope_candidates in engines.items()
        }

    def _home(self, request: OpaqueRequest, candidates: list[Candidate], key: bytes) -> str:
        """Return the engine that prefills the first uncached part, or is to prefill it.

        Among many engines several of them prefill a common prefix: nodes learn of each other's
        requests too late to keep a single engine from being overloaded.
        """
        first = candidates[0]
        home_key = first_uncached(request, first) or key
        prefix_homes = max(1, len(candidates) // self.engines_per_prefix_home)
        if prefix_homes > 1 and home_key != key:
            home_key += b"%d" % (xxhash.xxh3_64_intdigest(key) % prefix_homes)
        else:
            for candidate in candidates:
                if candidate.view.number == first.shared.prefilling_engine:
                    return candidate.view.engine_id
        weights = {c.view.engine_id: c.view.speed.home_weight for c in candidates}
        home = rendezvous.first_weighted(home_key, weights)
        assert home is not None
        return home

    def _prefill_delay_s(self, candidate: Candidate, to_prefill: int) -> float:
        """Return the time until an engine starts the prefill, plus its extra time if it is slow."""
        view = candidate.view
        prefill_s_per_token = self.speeds.prefill_s_per_token(view)
        start_delay_s = candidate.slot_wait_s + self._backlog_tokens(view) * prefill_s_per_token
        if view.speed.slowness == 1.0:
            return start_delay_s
        extra_s_per_token = prefill_s_per_token - self.speeds.service_prefill_s_per_token(
            view.record.service
        )
        return start_delay_s + to_prefill * extra_s_per_token

    def _missing_parts_cost_s(
        self, request: OpaqueRequest, candidate: Candidate, is_large: bool
    ) -> float:
        """Return the cost of having the shared parts at an engine that lacks them."""
        missing = request.shared_tokens - candidate.shared.cached_tokens
        if not missing:
            return max(self.min_transfer_s, candidate.transfer_s)
        prefill_s_per_token = self.speeds.prefill_s_per_token(candidate.view)
        if is_large and not candidate.shared.prefilling_engine:
            return self._reread_cost_tokens(request, missing) * prefill_s_per_token
        return missing * self.recompute_factor * prefill_s_per_token

    def _reread_cost_tokens(self, request: OpaqueRequest, missing_tokens: int) -> float:
        """Return the cost, in tokens, of prefilling parts that other nodes may also prefill.

        The common parts of many prompts are requested all the time. The last shared part belongs
        to few prompts, so that another engine is unlikely to prefill it at this moment.
        """
        assert request.prompt is not None
        rare_tokens = min(missing_tokens, request.prompt.shared_parts[-1].tokens)
        common_tokens = missing_tokens - rare_tokens
        return common_tokens * self.recompute_factor + rare_tokens * self.rare_recompute_factor

    def _pause_cost_s(self, candidate: Candidate, to_prefill: int) -> float:
        """Return the cost of the pauses that a long prompt causes in the engine's streams."""
        prefill_s = to_prefill * self.speeds.prefill_s_per_token(candidate.view)
        if prefill_s < self.long_prompt_s:
            return 0.0
        return candidate.view.requests * prefill_s * self.pause_share

    def _backlog_tokens(self, view: EngineView) -> float:
        profile = self.services.get(view.record.service)
        capacity = profile.cache_tokens if profile else 0
        excess = view.resident_tokens - self.memory_share * capacity if capacity else 0.0
        return view.waiting_tokens + max(0.0, excess)


def tokens_to_prefill(request: OpaqueRequest, candidate: Candidate) -> int:
    """Return the number of prompt tokens that an engine would have to prefill."""
    prompt_tokens = request.prompt.prompt_tokens if request.prompt else 0
    return max(0, prompt_tokens - candidate.shared.cached_tokens)


def affinity_key(request: OpaqueRequest) -> bytes | None:
    """Return the key shared by requests with the same shared prompt parts, or None."""
    prompt: PromptShape | None = request.prompt
    if prompt is None or not prompt.shared_parts:
        return None
    return prompt.shared_parts[-1].part_id.encode()


def first_uncached(request: OpaqueRequest, candidate: Candidate) -> bytes | None:
    """Return the id of the first shared part that is not cached, or None."""
    parts = request.prompt.shared_parts if request.prompt else ()
    if candidate.shared.cached_parts >= len(parts):
        return None
    return parts[candidate.shared.cached_parts].part_id.encode()
