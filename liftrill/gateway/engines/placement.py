"""Chooses the engine for a request."""

import hashlib
import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import xxhash

from liftrill import constants
from liftrill.coordination import rendezvous
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.engines.shared_parts import NOTHING_KEPT, SharedParts
from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.records import ServiceProfile

SALT_DIGEST_BYTES = 8
# Among how many plain engines a request chooses where many nodes choose at once: two already
# avoid most of a queue, and hardly any node sends where all the others do.
PLAIN_CANDIDATES = 2


def cache_salt(tenant: str, isolated: bool, model: str, version: int) -> str:
    """Return the scope under which an engine keeps the parts of a prompt.

    It names the weights, so that nothing made under others is found, and the tenant
    where that shares with nobody.
    """
    owner = tenant if isolated else ""
    content = f"{owner}\0{model}\0{version}".encode()
    return hashlib.blake2b(content, digest_size=SALT_DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that could serve a request.

    Attributes:
        scope: the cache salt that the request would have there, or empty.
        shared: what is known of its shared parts in that scope.
        move_s: how long it takes to fetch them.
        holder: the engine to fetch them from, or None for the store.
        outdated_s: for how long newer weights than it has have been named.
        slot_wait_s: how long a request waits there until a slot is free.
    """

    view: EngineView
    scope: str = ""
    shared: SharedParts = NOTHING_KEPT
    move_s: float = 0.0
    holder: EngineView | None = None
    outdated_s: float = 0.0
    slot_wait_s: float = 0.0


class PlacementPolicy(ABC):
    """Orders engines that could all serve a request."""

    @abstractmethod
    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine to send to; the list is not empty."""


@dataclass(slots=True)
class LeastLoaded(PlacementPolicy):
    """The engine that is expected to complete first; engines of the own zone win ties.

    Where engines are alike that is the one with the fewest requests for its slots.

    Attributes:
        nodes: tells how many nodes choose.
        many_nodes: with more, all of them would send to the engine that the last reports show
            idle, so that each request chooses among a few engines of its own.
    """

    nodes: Callable[[], int] = lambda: 1
    many_nodes: int = constants.MANY_CHOOSING_NODES

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the least expected completion."""
        key = request.request_id.encode()
        if self.nodes() > self.many_nodes and len(candidates) > PLAIN_CANDIDATES:
            by_id = {candidate.view.engine_id: candidate for candidate in candidates}
            candidates = [by_id[name] for name in rendezvous.rank(key, by_id)[:PLAIN_CANDIDATES]]

        def order(candidate: Candidate) -> tuple[float, bool, tuple[int, str]]:
            view = candidate.view
            away = view.record.zone != zone
            per_slot = (view.requests + 1) / max(1, view.record.slots)
            completion = per_slot * view.speed.answer_slowness
            return completion, away, rendezvous.weight(key, view.engine_id)

        return min(candidates, key=order)


@dataclass(slots=True)
class PromptCost(PlacementPolicy):
    """The engine on which the prompt is expected to be read first.

    All is counted in seconds, at each engine by its own speed. Within each scope one engine,
    the same for all nodes, is taken to hold the shared parts. Another one pays for moving what
    is kept, and for reading the rest a second time.

    A part that nobody has read yet is read at the engine of the first such part: prompts
    that begin alike would otherwise be read at as many engines as they have continuations.

    Attributes:
        speeds: how fast engines are.
        min_move_s: the least that moving a shared part costs: engines answer this much later.
        engines_per_prefix_reader: engines of a scope for each one that reads the beginning of
            many prompts.
        reread_factor: how much dearer reading a shared part again is than waiting as long.
        rare_reread_factor: the same for a part of few prompts that nobody is known to read.
        long_prompt_s: a prompt that takes longer to read makes the streams that run on its
            engine pause, longer than their callers allow, where no route declares a pause.
        pause_share: what each such stream adds, as a share of the time to read.
        outdated_penalty_s: how long a wait is better than weights that were replaced some time
            ago: what is made on them is worth less.
        outdated_grace_s: for how long after their replacement weights are as good as new.
        memory_share: share of an engine's memory from which running requests count too.
        many_engines: with more, and so more nodes, loads are known so late that all nodes
            would send to the engine that the last reports show idle.
        preferred_engines: among how many engines, others for each prompt, that is avoided.
        overflow_penalty_s: how long a wait is better than any other engine then, at most.
        overflow_penalty_share: the same as a share of the request's target: others wait there as
            well.
        services: what the operator declares of engines, by service.
    """

    speeds: SpeedEstimator
    min_move_s: float = 0.015
    engines_per_prefix_reader: int = 5
    reread_factor: float = constants.REREAD_FACTOR
    rare_reread_factor: float = constants.RARE_REREAD_FACTOR
    long_prompt_s: float = constants.LONG_PROMPT_S
    pause_share: float = constants.LONG_PROMPT_PAUSE_SHARE
    outdated_penalty_s: float = constants.REPLACED_WEIGHTS_S
    outdated_grace_s: float = constants.REPLACED_WEIGHTS_GRACE_S
    memory_share: float = 0.6
    many_engines: int = constants.MANY_ENGINES
    preferred_engines: int = constants.FEW_CHOICES
    overflow_penalty_s: float = constants.FAR_S
    overflow_penalty_share: float = constants.FAR_TARGET_SHARE
    services: Mapping[str, ServiceProfile] = field(default_factory=dict)

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the least cost."""
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
        for place, engine_id in enumerate(rendezvous.rank(key, by_id)):
            candidate = by_id[engine_id]
            to_read = tokens_to_read(request, candidate)
            cost_s = self._read_delay_s(candidate, to_read)
            if predicts_pauses:
                late = self.speeds.late_streams(candidate.view, to_read, request.is_stream)
                # A stream with a long pause is late, as is one whose first event comes late.
                cost_s += late * request.route.target_seconds
            else:
                cost_s += self._pause_cost_s(candidate, to_read)
            if homes[candidate.scope] != engine_id:
                cost_s += self._missing_parts_cost_s(request, candidate, is_large)
                cost_s += overflow_penalty_s if place >= preferred_count else 0.0
            if candidate.outdated_s > self.outdated_grace_s:
                cost_s += self.outdated_penalty_s
            if cost_s < lowest_cost_s:
                best, lowest_cost_s = candidate, cost_s
        return best

    def _homes(
        self, request: OpaqueRequest, candidates: list[Candidate], key: bytes
    ) -> dict[str, str]:
        """Return the engine of each scope that is taken to hold the shared parts."""
        engines: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            engines.setdefault(candidate.scope, []).append(candidate)
        return {scope: self._home(request, those, key) for scope, those in engines.items()}

    def _home(self, request: OpaqueRequest, candidates: list[Candidate], key: bytes) -> str:
        """Return the engine that reads the first unread part, or is to read it.

        Among many engines the beginning of many prompts is read at several of them: what
        nodes know of each other's requests is too old there to keep one from being swamped.
        """
        first = candidates[0]
        unread = first_unread(request, first) or key
        prefix_readers = max(1, len(candidates) // self.engines_per_prefix_reader)
        if prefix_readers > 1 and unread != key:
            unread += b"%d" % (xxhash.xxh3_64_intdigest(key) % prefix_readers)
        else:
            for candidate in candidates:
                if candidate.view.number == first.shared.reader:
                    return candidate.view.engine_id
        weights = {c.view.engine_id: c.view.speed.home_weight for c in candidates}
        home = rendezvous.first_weighted(unread, weights)
        assert home is not None
        return home

    def _read_delay_s(self, candidate: Candidate, to_read: int) -> float:
        """Return what an engine does before it begins a prompt, and how much longer it reads."""
        view = candidate.view
        read_s_per_token = self.speeds.read_s_per_token(view)
        until_s = candidate.slot_wait_s + self._backlog_tokens(view) * read_s_per_token
        if view.speed.slowness == 1.0:
            return until_s
        extra_s = read_s_per_token - self.speeds.service_read_s_per_token(view.record.service)
        return until_s + to_read * extra_s

    def _missing_parts_cost_s(
        self, request: OpaqueRequest, candidate: Candidate, is_large: bool
    ) -> float:
        """Return what it costs to have the shared parts at an engine that lacks them."""
        missing = request.shared_tokens - candidate.shared.kept_tokens
        if not missing:
            return max(self.min_move_s, candidate.move_s)
        read_s_per_token = self.speeds.read_s_per_token(candidate.view)
        if is_large and not candidate.shared.reader:
            return self._reread_cost_tokens(request, missing) * read_s_per_token
        return missing * self.reread_factor * read_s_per_token

    def _reread_cost_tokens(self, request: OpaqueRequest, missing_tokens: int) -> float:
        """Return what it costs, in tokens, that others may begin to read the parts elsewhere.

        What many prompts have in common is being asked for all the time. The last shared
        part belongs to few, so that nobody else is likely to read it just now.
        """
        assert request.prompt is not None
        rare_tokens = min(missing_tokens, request.prompt.shared_parts[-1].tokens)
        common_tokens = missing_tokens - rare_tokens
        return common_tokens * self.reread_factor + rare_tokens * self.rare_reread_factor

    def _pause_cost_s(self, candidate: Candidate, to_read: int) -> float:
        """Return what the pauses of other streams there cost, if the prompt is long."""
        read_s = to_read * self.speeds.read_s_per_token(candidate.view)
        if read_s < self.long_prompt_s:
            return 0.0
        return candidate.view.requests * read_s * self.pause_share

    def _backlog_tokens(self, view: EngineView) -> float:
        profile = self.services.get(view.record.service)
        capacity = profile.cache_tokens if profile else 0
        excess = view.resident_tokens - self.memory_share * capacity if capacity else 0.0
        return view.waiting_tokens + max(0.0, excess)


def tokens_to_read(request: OpaqueRequest, candidate: Candidate) -> int:
    """Return the prompt tokens that an engine would have to read."""
    prompt_tokens = request.prompt.prompt_tokens if request.prompt else 0
    return max(0, prompt_tokens - candidate.shared.kept_tokens)


def affinity_key(request: OpaqueRequest) -> bytes | None:
    """Return what requests with the same shared prompt have in common, or None."""
    prompt: PromptShape | None = request.prompt
    if prompt is None or not prompt.shared_parts:
        return None
    return prompt.shared_parts[-1].part_id.encode()


def first_unread(request: OpaqueRequest, candidate: Candidate) -> bytes | None:
    """Return the name of the first shared part that is not kept, or None."""
    parts = request.prompt.shared_parts if request.prompt else ()
    if candidate.shared.kept_parts >= len(parts):
        return None
    return parts[candidate.shared.kept_parts].part_id.encode()
