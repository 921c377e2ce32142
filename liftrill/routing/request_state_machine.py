"""The state machine of one request; sans-IO.

Each event has one handler, which returns the instructions to carry out, in order.
`liftrill.node.request_runner` does the I/O.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import ClassVar

from liftrill.constants import MAXIMUM_ATTEMPTS, RETRY_AFTER_SECONDS
from liftrill.errors import LiftrillError, RequestError, ResultCode, UnknownOutcomeError
from liftrill.mechanisms import Mechanism, is_enabled
from liftrill.routing import events
from liftrill.routing.outcome import AttemptLedger, Completed, Failed, NotRunError
from liftrill.routing.request import RoutedRequest

MAXIMUM_RESUMES_PER_ATTEMPT = 2


class InvariantViolationError(LiftrillError):
    """A request state machine violated one of its invariants."""


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engine chosen for an attempt, and the state that it must still have on arrival.

    Attributes:
        incarnation: the required incarnation of the engine, or None if it is not known.
        weight_version: the required weights.
        adapter: the adapter of the engine's pool.
        expected_prefill_tokens: prompt tokens that the engine will have to compute.
        import_candidates: names of prefixes, shortest first. The engine may import the
            longest one in the kept-KV store if its own cache holds a shorter prefix.
    """

    engine_id: str
    incarnation: int | None
    weight_version: str
    adapter: str
    expected_prefill_tokens: int = 0
    import_candidates: tuple[bytes, ...] = ()


class Unavailable(Enum):
    """Why no engine was chosen.

    Attributes:
        ALL_BUSY: eligible engines exist, but they are full or other requests are queued first.
        NONE_ELIGIBLE: no engine is eligible, not even a full one.
    """

    ALL_BUSY = auto()
    NONE_ELIGIBLE = auto()


class RoutingPorts(ABC):
    """What a request state machine needs from the router; no call waits."""

    @abstractmethod
    def choose(
        self, request: RoutedRequest, excluded: frozenset[str], weight_version: str | None
    ) -> EngineChoice | Unavailable:
        """Return an engine that is not excluded, with the weight version if one is given."""

    @abstractmethod
    def try_spend_retry(self, request: RoutedRequest) -> bool:
        """Spend one retry from the retry budget of the request's workload; False if it is empty."""


class Phase(Enum):
    """The phase of a request."""

    WAITING = auto()
    RUNNING = auto()
    RESUMING = auto()
    ENDED = auto()


class RequestStateMachine:
    """Decides the next steps of one request.

    Attributes:
        phase: the phase of the request.
        next_index: index of the next token to deliver.
        dropped: the number of dropped chunks, by reason.
        chosen: the engine of each attempt, in order.
    """

    def __init__(self, request: RoutedRequest, ports: RoutingPorts) -> None:
        self.request = request
        self.phase = Phase.WAITING
        self.next_index = 0
        self.dropped: Counter[events.ChunkDropReason] = Counter()
        self.chosen: list[EngineChoice] = []
        self._ports = ports
        self._ledger = AttemptLedger()
        self._delivered: list[str] = []
        self._excluded: set[str] = set()
        self._attempt_id = ""
        self._resume_count = 0
        self._start_index = 0
        self._last_refusal: events.RefusalKind | None = None

    @property
    def delivered_text(self) -> str:
        """All text delivered so far."""
        return "".join(self._delivered)

    @property
    def attempt_start_index(self) -> int:
        """The index of the first token of the current attempt."""
        return self._start_index

    @property
    def was_not_run(self) -> bool:
        """Whether no attempt can have run; if so, no attempt can begin from now on."""
        return self._ledger.seal_if_not_run() is not None

    def handle(self, event: events.RequestEvent) -> list[events.RequestInstruction]:
        """Handle one event and return the instructions to carry out."""
        if self.phase is Phase.ENDED:
            return self._handle_after_end(event)
        handler = self._HANDLERS[type(event)]
        instructions = handler(self, event)
        self._check_invariants(instructions)
        return instructions

    # One handler per event

    def _on_dispatch_permitted(
        self, _: events.DispatchPermitted
    ) -> list[events.RequestInstruction]:
        if self.phase is not Phase.WAITING:
            return []
        return self._start_attempt_if_possible()

    def _on_queueing_refused(
        self, event: events.QueueingRefused
    ) -> list[events.RequestInstruction]:
        return [
            self._end_request(
                event.code,
                unknown=self._unknown_outcome_code(),
                retry_after_seconds=event.retry_after_seconds,
            )
        ]

    def _on_attempt_refused(self, event: events.AttemptRefused) -> list[events.RequestInstruction]:
        if event.attempt_id != self._attempt_id:
            return []
        self._ledger.record_not_run(event.attempt_id)
        self._excluded.add(self.chosen[-1].engine_id)
        self._last_refusal = event.kind
        self.phase = Phase.WAITING
        if event.kind is events.RefusalKind.REJECTED:
            return [
                self._end_request(ResultCode.ENGINES_REFUSED, "the engine rejected the request")
            ]
        return self._retry()

    def _on_token(self, event: events.TokenReceived) -> list[events.RequestInstruction]:
        if self._is_foreign(event.request_id, event.attempt_id):
            return self._drop_chunk(events.ChunkDropReason.FOREIGN)
        if event.index < self.next_index and is_enabled(Mechanism.STREAM_INDEX):
            return self._drop_chunk(events.ChunkDropReason.REPEATED)
        if event.index > self.next_index:
            return self._resume_or_replace()
        self.phase = Phase.RUNNING
        self.next_index += 1
        self._delivered.append(event.text)
        return [events.DeliverToken(event.index, event.text)]

    def _on_finished(self, event: events.AttemptFinished) -> list[events.RequestInstruction]:
        if self._is_foreign(event.request_id, event.attempt_id):
            return self._drop_chunk(events.ChunkDropReason.FOREIGN)
        if self._start_index + event.completion_tokens != self.next_index:
            return self._resume_or_replace()
        choice = self.chosen[-1]
        completed = Completed(
            engine_id=choice.engine_id,
            weight_version=choice.weight_version,
            finish_reason=event.finish_reason,
            prompt_tokens=self.request.prompt_tokens,
            cached_tokens=min(event.cached_tokens, self.request.prompt_tokens),
            completion_tokens=self.next_index,
        )
        self.phase = Phase.ENDED
        return [events.EndRequest(completed)]

    def _on_broken(self, event: events.AttemptBroken) -> list[events.RequestInstruction]:
        if event.attempt_id != self._attempt_id or self.phase is Phase.WAITING:
            return []
        return self._resume_or_replace()

    def _on_resume_refused(self, event: events.ResumeRefused) -> list[events.RequestInstruction]:
        if event.attempt_id != self._attempt_id:
            return []
        return self._replace_attempt()

    def _on_caller_disconnected(
        self, _: events.CallerDisconnected
    ) -> list[events.RequestInstruction]:
        cancel_instructions = self._cancel_instructions()
        return [*cancel_instructions, self._end_request(ResultCode.CALLER_GONE)]

    def _on_deadline_passed(self, _: events.DeadlinePassed) -> list[events.RequestInstruction]:
        cancel_instructions = self._cancel_instructions()
        return [
            *cancel_instructions,
            self._end_request(ResultCode.DEADLINE_UNREACHABLE, unknown=ResultCode.DEADLINE_PASSED),
        ]

    def _handle_after_end(self, event: events.RequestEvent) -> list[events.RequestInstruction]:
        if isinstance(event, events.TokenReceived | events.AttemptFinished):
            self.dropped[events.ChunkDropReason.AFTER_END] += 1
        return []

    # Decisions

    def _start_attempt_if_possible(self) -> list[events.RequestInstruction]:
        choice = self._ports.choose(
            self.request, frozenset(self._excluded), self._required_weight_version()
        )
        if choice is Unavailable.ALL_BUSY:
            self.phase = Phase.WAITING
            return [events.WaitForEngine()]
        if not isinstance(choice, EngineChoice):
            return [self._end_without_engine()]
        return [self._start_attempt_on(choice)]

    def _required_weight_version(self) -> str | None:
        """Return the weights that generated the delivered tokens; only they can continue."""
        if self.next_index == 0 or not self.chosen:
            return None
        return self.chosen[-1].weight_version

    def _start_attempt_on(self, choice: EngineChoice) -> events.StartAttempt:
        self._attempt_id = f"{self.request.request_id}-{len(self._ledger)}"
        self._ledger.begin(self._attempt_id)
        self.chosen.append(choice)
        self._resume_count = 0
        self._start_index = self.next_index
        self.phase = Phase.RUNNING
        return events.StartAttempt(
            attempt_id=self._attempt_id,
            engine_id=choice.engine_id,
            incarnation=choice.incarnation,
            weight_version=choice.weight_version,
            adapter=choice.adapter,
            delivered_text=self.delivered_text,
            start_index=self.next_index,
            expected_prefill_tokens=choice.expected_prefill_tokens,
            import_candidates=choice.import_candidates,
        )

    def _resume_or_replace(self) -> list[events.RequestInstruction]:
        """Resume the current attempt, which repeats no work; replace it after too many resumes."""
        if self._resume_count >= MAXIMUM_RESUMES_PER_ATTEMPT:
            return self._replace_attempt()
        self._resume_count += 1
        self.phase = Phase.RESUMING
        engine_id = self.chosen[-1].engine_id
        return [events.ResumeAttempt(self._attempt_id, engine_id, self.next_index)]

    def _replace_attempt(self) -> list[events.RequestInstruction]:
        """Cancel an attempt that may have run; retry on another engine if the request allows it."""
        cancel_instructions = self._cancel_instructions()
        self._excluded.add(self.chosen[-1].engine_id)
        self.phase = Phase.WAITING
        if not self.request.repeatable:
            return [*cancel_instructions, self._end_request(ResultCode.ENGINE_LOST)]
        return [*cancel_instructions, *self._retry()]

    def _retry(self) -> list[events.RequestInstruction]:
        if len(self._ledger) >= MAXIMUM_ATTEMPTS:
            return [
                self._end_request(ResultCode.ENGINES_REFUSED, unknown=self._unknown_outcome_code())
            ]
        if not self._ports.try_spend_retry(self.request):
            code = ResultCode.RETRY_BUDGET_EXHAUSTED
            return [self._end_request(code, unknown=self._unknown_outcome_code())]
        return self._start_attempt_if_possible()

    def _end_without_engine(self) -> events.EndRequest:
        refused = self._last_refusal is not None
        code = ResultCode.ENGINES_REFUSED if refused else ResultCode.NO_ELIGIBLE_ENGINE
        return self._end_request(code, unknown=self._unknown_outcome_code())

    def _unknown_outcome_code(self) -> ResultCode:
        return ResultCode.STREAM_INTERRUPTED if self.next_index else ResultCode.ENGINE_LOST

    def _end_request(
        self,
        code: ResultCode,
        detail: str = "",
        unknown: ResultCode | None = None,
        retry_after_seconds: float = RETRY_AFTER_SECONDS,
    ) -> events.EndRequest:
        """End the request with `code`, or with `unknown` if an attempt may have run."""
        self.phase = Phase.ENDED
        proof = self._ledger.seal_if_not_run()
        error: RequestError
        if proof is not None:
            error = NotRunError(proof, code, detail, retry_after_seconds)
        else:
            error = UnknownOutcomeError(unknown or code, detail)
        return events.EndRequest(Failed(error))

    def _cancel_instructions(self) -> list[events.RequestInstruction]:
        if self.phase not in (Phase.RUNNING, Phase.RESUMING):
            return []
        return [events.CancelAttempt(self._attempt_id, self.chosen[-1].engine_id)]

    def _is_foreign(self, request_id: str, attempt_id: str) -> bool:
        if not is_enabled(Mechanism.CHUNK_IDENTITY):
            return False
        return request_id != self.request.request_id or attempt_id != self._attempt_id

    def _drop_chunk(self, reason: events.ChunkDropReason) -> list[events.RequestInstruction]:
        self.dropped[reason] += 1
        return []

    def _check_invariants(self, instructions: list[events.RequestInstruction]) -> None:
        """Check the invariants that hold after every event."""
        starts = sum(isinstance(i, events.StartAttempt) for i in instructions)
        if starts > 1:
            raise InvariantViolationError("one event started two attempts")
        if starts and not self.request.repeatable and self.next_index:
            raise InvariantViolationError(
                "a request that is not repeatable was sent again after its first token"
            )
        if len(self._delivered) != self.next_index:
            raise InvariantViolationError(
                "the number of delivered tokens differs from the next index"
            )
        ended = any(isinstance(i, events.EndRequest) for i in instructions)
        if ended != (self.phase is Phase.ENDED):
            raise InvariantViolationError("the phase ENDED and the EndRequest instruction disagree")

    _HANDLERS: ClassVar[dict[type, Callable[..., list[events.RequestInstruction]]]] = {
        events.DispatchPermitted: _on_dispatch_permitted,
        events.QueueingRefused: _on_queueing_refused,
        events.AttemptRefused: _on_attempt_refused,
        events.TokenReceived: _on_token,
        events.AttemptFinished: _on_finished,
        events.AttemptBroken: _on_broken,
        events.ResumeRefused: _on_resume_refused,
        events.CallerDisconnected: _on_caller_disconnected,
        events.DeadlinePassed: _on_deadline_passed,
    }
