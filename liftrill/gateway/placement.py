"""Chooses the engine for a request."""

import hashlib
import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.coordination import rendezvous
from liftrill.gateway.engine_table import EngineView
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape

SALT_DIGEST_BYTES = 8
# How much longer a move between zones takes than one within a zone.
BETWEEN_ZONES = 2.0
MOVE_PREFILL_TOKENS_PER_S = 40_000.0


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
        kept: whether the store of kept prefixes has the shared parts in that scope.
    """

    view: EngineView
    scope: str = ""
    kept: bool = False


class PlacementPolicy(ABC):
    """Orders engines that could all serve a request."""

    @abstractmethod
    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine to send to; the list is not empty."""


class LeastLoaded(PlacementPolicy):
    """The engine with the fewest requests; engines of the own zone win ties."""

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the least loaded engine."""
        key = request.request_id.encode()

        def order(candidate: Candidate) -> tuple[int, bool, tuple[int, str]]:
            view = candidate.view
            away = view.record.zone != zone
            return view.requests, away, rendezvous.weight(key, view.engine_id)

        return min(candidates, key=order)


@dataclass(slots=True)
class PromptCost(PlacementPolicy):
    """The engine on which the prompt is expected to be read first.

    What waits on an engine is counted in prompt tokens. Within each scope the first engine
    of the part's rendezvous order, which is the same for all nodes, is taken to hold the
    shared parts. Another one pays for moving them if they are kept, and otherwise for
    reading them again.

    Attributes:
        move_tokens: the least that moving a shared part costs, in prompt tokens read meanwhile.
        move_s_per_token: time to move the memory of one token, by service; a move is taken to
            go between zones, which doubles it.
        reread_factor: how much dearer reading a shared part again is than waiting as long.
        long_prompt_tokens: a prompt of which this much must be read makes the streams that
            run on its engine pause, longer than their callers allow.
        pause_share: what each such stream adds, as a share of the tokens to read.
        memory_share: share of an engine's memory from which running requests count too.
        cache_tokens: tokens that one engine keeps, by service.
    """

    move_tokens: float = 600.0
    reread_factor: float = constants.REREAD_FACTOR
    long_prompt_tokens: int = constants.LONG_PROMPT_TOKENS
    pause_share: float = constants.LONG_PROMPT_PAUSE_SHARE
    memory_share: float = 0.6
    cache_tokens: dict[str, int] = field(default_factory=dict)
    move_s_per_token: dict[str, float] = field(default_factory=dict)

    def choose(self, request: OpaqueRequest, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the engine with the least cost."""
        key = affinity_key(request) or request.request_id.encode()
        by_id = {candidate.view.engine_id: candidate for candidate in candidates}
        shared = sum(part.tokens for part in request.prompt.shared_parts) if request.prompt else 0
        scopes_seen: set[str] = set()
        best, least = candidates[0], math.inf
        for engine_id in rendezvous.rank(key, by_id):
            candidate = by_id[engine_id]
            cost = self._backlog(candidate.view)
            if candidate.scope in scopes_seen:
                reread = shared * self.reread_factor
                cost += self._move(request, shared) if candidate.kept else reread
            scopes_seen.add(candidate.scope)
            cost += self._pauses(request, candidate)
            if cost < least:
                best, least = candidate, cost
        return best

    def _move(self, request: OpaqueRequest, shared_tokens: int) -> float:
        """Return the prompt tokens that could be read while shared parts are moved."""
        move_s = BETWEEN_ZONES * shared_tokens * self.move_s_per_token.get(request.service, 0.0)
        return max(self.move_tokens, move_s * MOVE_PREFILL_TOKENS_PER_S)

    def _pauses(self, request: OpaqueRequest, candidate: Candidate) -> float:
        """Return what the pauses of other streams there cost, if the prompt is long."""
        if request.prompt is None:
            return 0.0
        shared = sum(part.tokens for part in request.prompt.shared_parts)
        to_read = request.prompt.prompt_tokens - (shared if candidate.kept else 0)
        if to_read < self.long_prompt_tokens:
            return 0.0
        return candidate.view.requests * to_read * self.pause_share

    def _backlog(self, view: EngineView) -> float:
        capacity = self.cache_tokens.get(view.record.service, 0)
        excess = view.resident_tokens - self.memory_share * capacity if capacity else 0.0
        return view.waiting_tokens + max(0.0, excess)


def affinity_key(request: OpaqueRequest) -> bytes | None:
    """Return what requests with the same shared prompt have in common, or None."""
    prompt: PromptShape | None = request.prompt
    if prompt is None or not prompt.shared_parts:
        return None
    return prompt.shared_parts[-1].part_id.encode()
