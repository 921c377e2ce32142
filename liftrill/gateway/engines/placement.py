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
from liftrill.gateway.engines.speed_board import SpeedBoard
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.records import ServiceProfile

SALT_DIGEST_BYTES = 8
# Among how many plain engines a request chooses where many nodes choose at once: two already
# avoid most of a queue, and hardly any node sends where all the others do.
PLAIN_CHOICES = 2


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
        replaced_s: for how long newer weights than it has have been named.
        slot_wait_s: how long a request waits there until a slot is free.
    """

    view: EngineView
    scope: str = ""
    shared: SharedParts = NOTHING_KEPT
    move_s: float = 0.0
    holder: EngineView | None = None
    replaced_s: float = 0.0
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
    many_nodes: int = constants.FRESH_LOAD_MAX_NODES

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the least expected completion."""
        key = request.request_id.encode()
        if self.nodes() > self.many_nodes and len(candidates) > PLAIN_CHOICES:
            by_id = {candidate.view.engine_id: candidate for candidate in candidates}
            candidates = [by_id[name] for name in rendezvous.rank(key, by_id)[:PLAIN_CHOICES]]

        def order(candidate: Candidate) -> tuple[float, bool, tuple[int, str]]:
            view = candidate.view
            away = view.record.zone != zone
            per_slot = (view.requests + 1) / max(1, view.record.slots)
            completion = per_slot * view.model.answer_slowness
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
        least_move_s: the least that moving a shared part costs: engines answer this much later.
        engines_per_beginning: engines of a scope for each one that reads the beginning of
            many prompts.
        reread_factor: how much dearer reading a shared part again is than waiting as long.
        rare_factor: the same for a part of few prompts that nobody is known to read.
        long_prompt_s: a prompt that takes longer to read makes the streams that run on its
            engine pause, longer than their callers allow, where no route declares a pause.
        pause_share: what each such stream adds, as a share of the time to read.
        replaced_wait_s: how long a wait is better than weights that were replaced some time
            ago: what is made on them is worth less.
        replaced_grace_s: for how long after their replacement weights are as good as new.
        memory_share: share of an engine's memory from which running requests count too.
        many_engines: with more, and so more nodes, loads are known so late that all nodes
            would send to the engine that the last reports show idle.
        few_choices: among how many engines, others for each prompt, that is avoided.
        far_s: how long a wait is better than any other engine then, at most.
        far_share: the same as a share of the request's target: others wait there as well.
        services: what the operator declares of engines, by service.
    """

    speeds: SpeedBoard
    least_move_s: float = 0.015
    engines_per_beginning: int = 5
    reread_factor: float = constants.RECOMPUTE_COST_FACTOR
    rare_factor: float = constants.RARE_RECOMPUTE_COST_FACTOR
    long_prompt_s: float = constants.LONG_PROMPT_S
    pause_share: float = constants.LONG_PROMPT_PAUSE_SHARE
    replaced_wait_s: float = constants.REPLACED_WEIGHTS_WAIT_S
    replaced_grace_s: float = constants.REPLACED_WEIGHTS_GRACE_S
    memory_share: float = 0.6
    many_engines: int = constants.FRESH_LOAD_MAX_ENGINES
    few_choices: int = constants.CHOICES_PER_PROMPT
    far_s: float = constants.CHOICE_WAIT_S
    far_share: float = constants.CHOICE_WAIT_TARGET_SHARE
    services: Mapping[str, ServiceProfile] = field(default_factory=dict)

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the least cost."""
        key = affinity_key(request) or request.request_id.encode()
        by_id = {candidate.view.engine_id: candidate for candidate in candidates}
        homes = self._homes(request, candidates, key)
        best, least_s = candidates[0], math.inf
        is_large = len(candidates) > self.many_engines
        few = self.few_choices if is_large else len(candidates)
        far_s = min(self.far_s, self.far_share * request.route.target_seconds)
        foresees = self.speeds.foresees_pauses(request.service)
        for place, engine_id in enumerate(rendezvous.rank(key, by_id)):
            candidate = by_id[engine_id]
            to_read = tokens_to_read(request, candidate)
            cost_s = self._until_read_s(candidate, to_read)
            if foresees:
                late = self.speeds.late_streams(candidate.view, to_read, request.is_stream)
                # A stream with a long pause is late, as is one whose first event comes late.
                cost_s += late * request.route.target_seconds
            else:
                cost_s += self._pauses_s(candidate, to_read)
            if homes[candidate.scope] != engine_id:
                cost_s += self._sharing_s(request, candidate, is_large)
                cost_s += far_s if place >= few else 0.0
            if candidate.replaced_s > self.replaced_grace_s:
                cost_s += self.replaced_wait_s
            if cost_s < least_s:
                best, least_s = candidate, cost_s
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
        beginnings = max(1, len(candidates) // self.engines_per_beginning)
        if beginnings > 1 and unread != key:
            unread += b"%d" % (xxhash.xxh3_64_intdigest(key) % beginnings)
        else:
            for candidate in candidates:
                if candidate.view.number == first.shared.reader:
                    return candidate.view.engine_id
        weights = {c.view.engine_id: c.view.model.home_weight for c in candidates}
        home = rendezvous.first_weighted(unread, weights)
        assert home is not None
        return home

    def _until_read_s(self, candidate: Candidate, to_read: int) -> float:
        """Return what an engine does before it begins a prompt, and how much longer it reads."""
        view = candidate.view
        reading_s = self.speeds.reading_s(view)
        until_s = candidate.slot_wait_s + self._backlog_tokens(view) * reading_s
        if view.model.slowness == 1.0:
            return until_s
        extra_s = reading_s - self.speeds.service_reading_s(view.record.service)
        return until_s + to_read * extra_s

    def _sharing_s(self, request: OpaqueRequest, candidate: Candidate, is_large: bool) -> float:
        """Return what it costs to have the shared parts at an engine that lacks them."""
        missing = request.shared_tokens - candidate.shared.kept_tokens
        if not missing:
            return max(self.least_move_s, candidate.move_s)
        reading_s = self.speeds.reading_s(candidate.view)
        if is_large and not candidate.shared.reader:
            return self._rare_reading(request, missing) * reading_s
        return missing * self.reread_factor * reading_s

    def _rare_reading(self, request: OpaqueRequest, missing_tokens: int) -> float:
        """Return what it costs, in tokens, that others may begin to read the parts elsewhere.

        What many prompts have in common is being asked for all the time. The last shared
        part belongs to few, so that nobody else is likely to read it just now.
        """
        assert request.prompt is not None
        rare_tokens = min(missing_tokens, request.prompt.shared_parts[-1].tokens)
        common_tokens = missing_tokens - rare_tokens
        return common_tokens * self.reread_factor + rare_tokens * self.rare_factor

    def _pauses_s(self, candidate: Candidate, to_read: int) -> float:
        """Return what the pauses of other streams there cost, if the prompt is long."""
        read_s = to_read * self.speeds.reading_s(candidate.view)
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
