"""Sans-IO model of an engine with continuous batching and a prefix cache.

The engine works in steps. A step decodes one token for each running request and spends a
bounded number of prompt tokens on prefill; its duration is

    step_base + running x step_per_sequence + prefilled tokens / prefill rate

and its effects appear when it ends. Output is a function of the weight version and of
all text so far, so a continuation on another engine of the same version generates the same
tokens, and a checker can tell from the output which weights generated it.
"""

import random
from collections import deque

import xxhash

from liftrill.cache.blocks import block_names
from liftrill.cache.tokenizer import FixedWidthTokenizer
from liftrill.emulator.engine_messages import (
    Assignment,
    BlockOrigin,
    CacheEvent,
    EngineOutput,
    EngineParameters,
    Generation,
    GenerationFinished,
    GenerationRequest,
    LoadReport,
    RefusalReason,
    TokenProduced,
    Usage,
)
from liftrill.emulator.prefix_cache import PrefixCache

TOKEN_TEXT_CHARACTERS = 4
_TOKEN_TEXT_MASK = 0xFFFF
MAX_REMEMBERED_ATTEMPTS = 10_000


def output_hasher(weight_version: str, text: bytes) -> xxhash.xxh3_64:
    """Return the hash state from which the token that follows a text is drawn."""
    seed = xxhash.xxh32_intdigest(weight_version.encode())
    return xxhash.xxh3_64(text, seed=seed)


def next_token_text(hasher: xxhash.xxh3_64) -> str:
    """Return the text of the next token (four characters) and advance the hash state past it."""
    text = f"{hasher.intdigest() & _TOKEN_TEXT_MASK:04x}"
    hasher.update(text.encode())
    return text


def expected_output(weight_version: str, prompt: bytes, token_count: int) -> str:
    """Return the correct output for a prompt, for callers that verify what they received."""
    hasher = output_hasher(weight_version, prompt)
    return "".join(next_token_text(hasher) for _ in range(token_count))


class EngineModel:
    """One engine. Times are seconds on any monotonic clock.

    Attributes:
        assignment: pool, model and weight version that are served.
        incarnation: identifies the run of the engine; each crash starts a new one.
        revision: increases when the assignment, its loading or `leaving` changes.
        accepts_while_leaving: accept requests although `leaving` is reported, as a fault.
        loading_until: when the next assignment is loaded, or None unless one is being loaded.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        assignment: Assignment,
        incarnation: int,
        seed: int,
    ) -> None:
        self.parameters = parameters
        self.assignment = assignment
        self.incarnation = incarnation
        self.revision = 0
        self._leaving = False
        self.accepts_while_leaving = False
        self.loading_until: float | None = None
        self._next_assignment: Assignment | None = None
        self._highest_fences: dict[str, int] = {}
        self._tokenizer = FixedWidthTokenizer()
        self.cache = PrefixCache(parameters, random.Random(seed))
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []
        self._by_attempt: dict[str, Generation] = {}
        self._seen_attempts: dict[str, None] = {}
        self._last_order = 0
        self._step_ends_at: float | None = None
        self._step_prefill: list[tuple[Generation, int]] = []
        self._step_decode: list[Generation] = []
        self._reports: deque[LoadReport] = deque()

    @property
    def weight_version(self) -> str:
        """The version of the loaded weights."""
        return self.assignment.weight_version

    @property
    def leaving(self) -> bool:
        """Whether the engine reports that it is leaving."""
        return self._leaving

    def set_leaving(self, leaving: bool) -> None:
        """Report the engine as leaving and refuse new requests, or undo this."""
        self._leaving = leaving
        self.revision += 1

    # Requests

    def submit(self, request: GenerationRequest, now: float) -> RefusalReason | None:
        """Accept an attempt, or return why it is refused."""
        reason = self._refusal_reason(request)
        if reason is not None:
            return reason
        names = block_names(
            request.prompt, request.salt, self._tokenizer, self.parameters.block_tokens
        )
        self._last_order += 1
        generation = Generation(
            request=request,
            arrived_at=now,
            order=self._last_order,
            prompt_tokens=self._tokenizer.count(request.prompt),
            block_names=names,
            hasher=output_hasher(self.weight_version, request.prompt),
        )
        self._waiting.append(generation)
        self._by_attempt[request.attempt_id] = generation
        self._remember_attempt(request.attempt_id)
        self._begin_step(now)
        return None

    def attempt(self, attempt_id: str) -> Generation | None:
        """Return an attempt that the engine still holds: waiting, running or recently finished."""
        return self._by_attempt.get(attempt_id)

    def cancel(self, attempt_id: str) -> bool:
        """Stop and remove an attempt; return False if the engine does not hold it."""
        generation = self._by_attempt.pop(attempt_id, None)
        if generation is None:
            return False
        self._remove(generation)
        return True

    def detach(self, attempt_id: str, now: float) -> None:
        """Mark an attempt's output as unread; the attempt is cancelled unless resumed in time."""
        generation = self._by_attempt.get(attempt_id)
        if generation is not None:
            generation.detached_at = now

    def attach(self, attempt_id: str) -> Generation | None:
        """Mark an attempt's output as read again; return the attempt if the engine holds it."""
        generation = self._by_attempt.get(attempt_id)
        if generation is not None and generation.finished is None:
            generation.detached_at = None
        return generation

    # Orders

    def apply_assign_order(
        self,
        assignment: Assignment,
        authority: str,
        fence: int,
        expected_pool: str,
        ready_at: float,
    ) -> RefusalReason | None:
        """Start loading an assignment, or return why the order is refused."""
        if fence < self._highest_fences.get(authority, 0):
            return RefusalReason.STALE_FENCE
        target = self._next_assignment or self.assignment
        if target == assignment:
            return None
        if expected_pool != target.pool:
            return RefusalReason.WRONG_POOL
        self._highest_fences[authority] = fence
        self.load(assignment, ready_at)
        return None

    def load(self, assignment: Assignment, ready_at: float) -> None:
        """Refuse new requests until the accepted ones have ended and an assignment is loaded."""
        self._next_assignment = assignment
        self.loading_until = ready_at
        self.revision += 1

    def mark_weights_fetched(self, now: float) -> None:
        """Set the time at which the assignment being loaded is ready to now."""
        if self._next_assignment is not None:
            self.loading_until = now

    def apply_leave_order(self, authority: str, fence: int) -> RefusalReason | None:
        """Refuse new requests from now on, or return why the order is refused."""
        if fence < self._highest_fences.get(authority, 0):
            return RefusalReason.STALE_FENCE
        self._highest_fences[authority] = fence
        self.set_leaving(True)
        return None

    def crash(self, incarnation: int) -> None:
        """Lose all requests and cached blocks, and restart as a new incarnation."""
        self.incarnation = incarnation
        self.revision = 0
        self.cache.clear()
        self._waiting.clear()
        self._running.clear()
        self._by_attempt.clear()
        self._step_ends_at = None
        self._reports.clear()

    # Time

    def next_time(self) -> float | None:
        """Return when `advance` is next due, or None while the engine is idle."""
        times = [t for t in (self._step_ends_at, self.loading_until) if t is not None]
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineOutput]:
        """Process the time until now and return the outputs of all steps that have ended."""
        outputs: list[EngineOutput] = []
        self._finish_loading(now)
        self._expire_detached(now)
        while self._step_ends_at is not None and self._step_ends_at <= now:
            ended_at = self._step_ends_at
            outputs.extend(self._end_step(ended_at))
            self._step_ends_at = None
            self._begin_step(ended_at)
        self.cache.evict_idle(now)
        return outputs

    def report(self, now: float) -> LoadReport:
        """Measure the load, and return the newest report that is old enough to be visible."""
        self._reports.append(self._measure_load(now))
        visible_at = now - self.parameters.report_lag_seconds
        while len(self._reports) > 1 and self._reports[1].measured_at <= visible_at:
            self._reports.popleft()
        return self._reports[0]

    def take_events(self, now: float) -> list[CacheEvent]:
        """Return the delayed cache events that are due."""
        return self.cache.take_events(now)

    # Internals

    def _refusal_reason(self, request: GenerationRequest) -> RefusalReason | None:
        checks = (
            (not request.salt, RefusalReason.SALT_MISSING),
            (
                request.incarnation not in (None, self.incarnation),
                RefusalReason.INCARNATION_MISMATCH,
            ),
            (
                request.model not in ("", self.assignment.model),
                RefusalReason.MODEL_MISMATCH,
            ),
            (self.leaving and not self.accepts_while_leaving, RefusalReason.LEAVING),
            (self.loading_until is not None, RefusalReason.LOADING),
            (
                request.weight_version not in (None, self.weight_version),
                RefusalReason.WEIGHT_VERSION_MISMATCH,
            ),
            (request.attempt_id in self._seen_attempts, RefusalReason.DUPLICATE_ATTEMPT),
            (len(self._waiting) >= self.parameters.maximum_waiting, RefusalReason.QUEUE_FULL),
            (
                self._blocks_needed(request) > self.parameters.memory_blocks,
                RefusalReason.PROMPT_TOO_LONG,
            ),
        )
        return next((reason for failed, reason in checks if failed), None)

    def _remember_attempt(self, attempt_id: str) -> None:
        self._seen_attempts[attempt_id] = None
        if len(self._seen_attempts) > MAX_REMEMBERED_ATTEMPTS:
            self._seen_attempts.pop(next(iter(self._seen_attempts)))

    def _blocks_needed(self, request: GenerationRequest) -> int:
        return self._tokenizer.count(request.prompt) // self.parameters.block_tokens

    def _finish_loading(self, now: float) -> None:
        if self.loading_until is None or now < self.loading_until:
            return
        if self._running or self._waiting:
            return
        self.loading_until = None
        assert self._next_assignment is not None
        self.assignment = self._next_assignment
        self._next_assignment = None
        self.revision += 1
        self.cache.clear()

    def _expire_detached(self, now: float) -> None:
        limit = now - self.parameters.resume_window_seconds
        expired = [
            attempt_id
            for attempt_id, generation in self._by_attempt.items()
            if generation.detached_at is not None and generation.detached_at <= limit
        ]
        for attempt_id in expired:
            self.cancel(attempt_id)

    def _begin_step(self, now: float) -> None:
        if self._step_ends_at is not None:
            return
        self._admit_waiting(now)
        if not self._running:
            return
        self._step_prefill = self._divide_prefill_budget()
        self._step_decode = [g for g in self._running if g.prefill_tokens_left == 0]
        prefilled = sum(tokens for _, tokens in self._step_prefill)
        duration = self.parameters.step_base_seconds
        duration += len(self._running) * self.parameters.step_seconds_per_sequence
        duration += prefilled / self.parameters.prefill_tokens_per_second
        self._step_ends_at = now + duration

    def _admit_waiting(self, now: float) -> None:
        self._waiting.sort(key=lambda g: (g.request.priority, g.order))
        while self._waiting and len(self._running) < self.parameters.maximum_running:
            generation = self._waiting.pop(0)
            self._start(generation, now)
            self._running.append(generation)

    def _start(self, generation: Generation, now: float) -> None:
        hits = self.cache.cached_prefix(generation.block_names)
        imported = max(0, min(generation.request.kept_blocks, len(generation.block_names)) - hits)
        generation.cached_tokens = (hits + imported) * self.parameters.block_tokens
        generation.prefill_tokens_left = generation.prompt_tokens - generation.cached_tokens
        generation.prefill_tokens_left += self._import_cost_in_prefill_tokens(imported)
        self.cache.pin(generation.block_names)
        reused = generation.block_names[:hits]
        generation.reused_origins = self.cache.origins(reused)
        self.cache.store(reused, self._origin(generation), now)

    def _origin(self, generation: Generation) -> BlockOrigin:
        return BlockOrigin(generation.request.user, self.weight_version)

    def _import_cost_in_prefill_tokens(self, blocks: int) -> int:
        """Return the number of prefill tokens that take as long as importing blocks."""
        ratio = self.parameters.prefill_tokens_per_second / self.parameters.import_tokens_per_second
        return int(blocks * self.parameters.block_tokens * ratio)

    def _divide_prefill_budget(self) -> list[tuple[Generation, int]]:
        budget = self.parameters.prefill_chunk_tokens
        shares: list[tuple[Generation, int]] = []
        for generation in sorted(self._running, key=lambda g: (g.request.priority, g.order)):
            tokens = min(budget, generation.prefill_tokens_left)
            if tokens > 0:
                shares.append((generation, tokens))
                budget -= tokens
        return shares

    def _end_step(self, now: float) -> list[EngineOutput]:
        outputs: list[EngineOutput] = []
        for generation, tokens in self._step_prefill:
            generation.prefill_tokens_left -= tokens
            if generation.prefill_tokens_left == 0 and self._is_running(generation):
                self.cache.store(generation.block_names, self._origin(generation), now)
                outputs.extend(self._generate_token(generation, now))
        for generation in self._step_decode:
            if self._is_running(generation):
                outputs.extend(self._generate_token(generation, now))
        return outputs

    def _is_running(self, generation: Generation) -> bool:
        return generation in self._running

    def _generate_token(self, generation: Generation, now: float) -> list[EngineOutput]:
        request = generation.request
        index = request.start_index + len(generation.texts)
        text = next_token_text(generation.hasher)
        generation.texts.append(text)
        outputs: list[EngineOutput] = [TokenProduced(request.attempt_id, index, text)]
        if len(generation.texts) >= request.maximum_tokens:
            generation.finished = self._finish(generation)
            generation.detached_at = now
            outputs.append(generation.finished)
        return outputs

    def _finish(self, generation: Generation) -> GenerationFinished:
        self._remove(generation)
        usage = Usage(generation.prompt_tokens, generation.cached_tokens, len(generation.texts))
        return GenerationFinished(generation.request.attempt_id, "length", usage)

    def _remove(self, generation: Generation) -> None:
        if generation in self._running:
            self._running.remove(generation)
            self.cache.unpin(generation.block_names)
        elif generation in self._waiting:
            self._waiting.remove(generation)

    def _measure_load(self, now: float) -> LoadReport:
        return LoadReport(
            measured_at=now,
            running=len(self._running),
            waiting=len(self._waiting),
            waiting_prompt_tokens=sum(g.prompt_tokens for g in self._waiting),
            memory_blocks=self.parameters.memory_blocks,
            cached_blocks=len(self.cache),
        )
