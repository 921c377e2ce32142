"""The delivery of one request as a state machine, sans-IO.

Each event has one handler, which returns the instructions to execute, in order. A request is
reported as not run only if the attempt ledger proves it; the ledger then admits no further
attempt.
"""

from collections.abc import Callable
from enum import Enum, auto
from typing import ClassVar

from liftrill.errors import LiftrillError, ResultCode
from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery_ports import DeliveryPorts, Unavailable
from liftrill.gateway.delivery_times import StreamTimes
from liftrill.gateway.event_stream import EventOrder
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.run_continuation import NextStep, RunContinuation
from liftrill.routing.outcome import AttemptLedger

FIRST_SERVER_ERROR = 500
# Callers take these for a promise that the request has not run and never will.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
# Refusals of attempts of which no engine received anything.
UNSENT_KINDS = (
    events.RefusalKind.UNREACHABLE,
    events.RefusalKind.WITHDRAWN,
    events.RefusalKind.PROXY_UNAVAILABLE,
)
# A caller that a stopping node refuses may send its request to another node after this time.
STOPPING_RETRY_AFTER_S = 0.1
# How many times an engine is tried that could not be reached: by the node's own link and by peers.
MAX_PATHS = 3


class DeliveryInvariantError(LiftrillError):
    """The state machine reached a state that its rules exclude."""


REFUSAL_CODES = {
    Unavailable.FULL: ResultCode.ENGINES_FULL,
    Unavailable.QUARANTINED: ResultCode.REQUEST_QUARANTINED,
    Unavailable.TOO_LATE: ResultCode.DEADLINE_UNREACHABLE,
    Unavailable.PAUSED: ResultCode.ENGINES_AT_REST,
    Unavailable.VERSION_GONE: ResultCode.STREAM_VERSION_UNAVAILABLE,
}


class Phase(Enum):
    """The state of a request's delivery."""

    WAITING = auto()
    ATTEMPTING = auto()
    STREAMING = auto()
    ENDED = auto()


class DeliveryMachine:
    """Decides the next step in the delivery of one request.

    Attributes:
        phase: the state of the delivery.
        attempts: the engines that the request was sent to, in order.
        order: places the events of engines before they are recorded and handled.
        times: when events were received; recorded by the driver, which reads them.
    """

    def __init__(self, request: OpaqueRequest, ports: DeliveryPorts) -> None:
        self.request = request
        self.phase = Phase.WAITING
        self.attempts: list[events.EngineChoice] = []
        self.order = EventOrder(request.last_event_id)
        self.times = StreamTimes()
        self._ports = ports
        self._ledger = AttemptLedger()
        self._attempts_sent = 0
        self._excluded: set[str] = set()
        # By engine: the weight version for which it last refused the request.
        self._refused_versions: dict[str, int] = {}
        self._paths_tried: dict[str, int] = {}
        self._response_head: events.StreamOpened | None = None
        self._head_sent = False
        self._continuation = RunContinuation(request, ports)
        self._refusal_code = ResultCode.NO_ELIGIBLE_ENGINE
        # The engine that closed the stream, where a new run is to show if it is complete, and
        # whether it is taken for complete if there is no such run. An event ends both.
        self._closed_by = ""
        self._is_end_likely = False

    @property
    def is_end_likely(self) -> bool:
        """Whether the end of the stream was doubted, and no event has come since."""
        return self._is_end_likely

    @property
    def unexecuted_runs(self) -> int:
        """How many runs were charged but not executed; one is charged before the first send."""
        return max(1, len(self.attempts)) - self._ledger.possibly_run_attempts

    def handle(self, event: events.DeliveryEvent) -> list[events.DeliveryInstruction]:
        """Process one event and return the instructions that follow from it."""
        if self.phase is Phase.ENDED:
            return []
        instructions = self._HANDLERS[type(event)](self, event)
        self._validate(instructions)
        return instructions

    @property
    def may_continue(self) -> bool:
        """Whether the run has begun and may go on if its engine is lost."""
        return self._head_sent and self.needs_body

    @property
    def may_run_anew(self) -> bool:
        """Whether a new run may add what the response lacks if it is interrupted now."""
        return self.request.may_run_again and self._may_send_again()

    @property
    def may_move(self) -> bool:
        """Whether the request may be sent again now, to an engine that takes it."""
        return self.may_run_anew and self._ports.has_engine(self.request, frozenset(self._excluded))

    @property
    def needs_body(self) -> bool:
        """Whether the request may be sent to an engine again, so that its body is needed."""
        if self.phase is not Phase.STREAMING:
            return self.phase is not Phase.ENDED
        if self.request.may_run_again:
            return self.may_run_anew
        return self.attempts[-1].backup is not None

    # One handler per event

    def _on_started(self, _: events.Started) -> list[events.DeliveryInstruction]:
        if self.phase is not Phase.WAITING:
            return []
        return self._attempt_or_wait()

    def _on_wait_expired(self, _: events.WaitExpired) -> list[events.DeliveryInstruction]:
        if self.phase is not Phase.WAITING:
            return []
        # An engine may have become free without this request being woken.
        instructions = self._attempt_or_wait(may_wait=False)
        if isinstance(instructions[0], events.WaitForEngine):
            return [self._end(self._refusal_code)]
        return instructions

    def _on_refused(self, event: events.AttemptRefused) -> list[events.DeliveryInstruction]:
        choice = self.attempts[-1]
        self._ledger.record_not_run(self._attempt_id())
        if not self._continuation.may_leave(choice, event.kind):
            return [self._end(self._engine_loss_code())]
        if event.kind in UNSENT_KINDS:
            self._attempts_sent -= 1
        if event.kind is events.RefusalKind.WRONG_VERSION:
            self._refused_versions[choice.engine_id] = choice.weight_version
        if self._is_excluded_after(event.kind, choice):
            self._excluded.add(choice.engine_id)
        self._refusal_code = ResultCode.ENGINES_REFUSED
        self.phase = Phase.WAITING
        return self._retry()

    def _is_excluded_after(self, kind: events.RefusalKind, choice: events.EngineChoice) -> bool:
        """Return whether an engine that refused an attempt is not tried again."""
        if kind in (events.RefusalKind.UNREACHABLE, events.RefusalKind.PROXY_UNAVAILABLE):
            tried = self._paths_tried.get(choice.engine_id, 0) + 1
            self._paths_tried[choice.engine_id] = tried
            return tried >= MAX_PATHS or not self._ports.has_other_path(self.request, choice)
        return kind not in (events.RefusalKind.WRONG_VERSION, events.RefusalKind.WITHDRAWN)

    def _on_interrupted(self, event: events.AttemptInterrupted) -> list[events.DeliveryInstruction]:
        interrupted = self.attempts[-1]
        self._refusal_code = ResultCode.ENGINE_LOST
        if event.is_rejected:
            # The new run is not the one that the caller has a part of.
            self._closed_by, self._is_end_likely = "", False
        if self._head_sent:
            if event.was_closed and event.evidence is events.EngineEvidence.UNKNOWN:
                if self._closed_by == interrupted.engine_id and not self.order.is_cut_short:
                    # It answered a new run after it had closed the one before.
                    return self._on_completed(events.StreamCompleted())
                self._closed_by = interrupted.engine_id
            step = self._continuation.next_step(interrupted, event.evidence)
            if step is not NextStep.OTHER_ENGINE:
                return [events.AbandonAttempt(), self._continue_or_end(step, interrupted)]
        elif not self.request.may_run_again:
            return [events.AbandonAttempt(), self._end(self._engine_loss_code())]
        self._excluded.add(interrupted.engine_id)
        self.phase = Phase.WAITING
        return [events.AbandonAttempt(), *self._retry()]

    def _on_unconfirmed(self, event: events.AttemptUnconfirmed) -> list[events.DeliveryInstruction]:
        choice = self.attempts[-1]
        self._refusal_code = ResultCode.ENGINE_LOST
        shown = events.RefusalKind.WRONG_INSTANCE if event.is_other else None
        may_leave = self._continuation.may_leave(choice, shown)
        if not (self.request.may_run_again and may_leave):
            return [events.AbandonAttempt(), self._end(self._engine_loss_code())]
        self._excluded.add(choice.engine_id)
        self.phase = Phase.WAITING
        return [events.AbandonAttempt(), *self._retry()]

    def _on_complete_response(
        self, event: events.CompleteResponse
    ) -> list[events.DeliveryInstruction]:
        failed = event.status >= FIRST_SERVER_ERROR
        may_leave = self._continuation.may_leave(self.attempts[-1], None)
        if failed and self.request.may_run_again and may_leave and self._may_send_again():
            self._excluded.add(self.attempts[-1].engine_id)
            choice = self._choose_untried(may_wait=False)
            if isinstance(choice, events.EngineChoice) and self._spend_retry_if_sent():
                return [self._start_attempt(choice)]
        if self._head_sent:
            return [events.AbandonAttempt(), self._end(ResultCode.STREAM_INTERRUPTED)]
        if event.status in PROMISING_STATUSES and not self.request.may_run_again:
            # An engine that has not run a request says so, which is another event.
            code = ResultCode.REFUSAL_UNPROVEN
            return [events.AbandonAttempt(), self._end(code, unknown=code)]
        self.phase = Phase.ENDED
        return [events.SendResponse(event)]

    def _on_stream_opened(self, event: events.StreamOpened) -> list[events.DeliveryInstruction]:
        # The head is sent with the first event. Until then a response of another engine, or a
        # refusal, can replace it.
        if not self._head_sent:
            self._response_head = event
        return []

    def _on_event(self, arrived: events.EventReceived) -> list[events.DeliveryInstruction]:
        event = arrived.event
        self._continuation.note_event(event)
        if arrived.is_repeated:
            return []
        self.phase = Phase.STREAMING
        self._closed_by, self._is_end_likely = "", False
        # Engines of other software versions cannot continue what this one has written.
        if self.request.required_software_version is None:
            self.request.require_software_version(self.attempts[-1].software_version)
        return [*self._unsent_head(), events.SendEvent(event)]

    def _on_completed(self, _: events.StreamCompleted) -> list[events.DeliveryInstruction]:
        self.phase = Phase.ENDED
        return [*self._unsent_head(), events.FinishStream()]

    def _on_end_doubted(self, event: events.EndDoubted) -> list[events.DeliveryInstruction]:
        """Let the engine run the request again after the last event, which costs a retry."""
        if self._closed_by or not self._head_sent:
            # The engine answered a new run, which added nothing, or the stream has no events.
            return self._on_completed(events.StreamCompleted())
        self._closed_by, self._is_end_likely = self.attempts[-1].engine_id, True
        self._refusal_code = ResultCode.ENGINE_LOST
        step = self._continuation.next_step(self.attempts[-1], events.EngineEvidence.RUNNING)
        return [events.AbandonAttempt(), self._continue_or_end(step, self.attempts[-1])]

    def _on_deadline(self, _: events.DeadlinePassed) -> list[events.DeliveryInstruction]:
        abandon: list[events.DeliveryInstruction] = []
        if self.phase in (Phase.ATTEMPTING, Phase.STREAMING):
            abandon.append(events.AbandonAttempt())
        code = ResultCode.DEADLINE_UNREACHABLE
        return [*abandon, self._end(code, unknown=ResultCode.DEADLINE_PASSED)]

    # Decisions

    def _attempt_or_wait(self, may_wait: bool = True) -> list[events.DeliveryInstruction]:
        if self._is_not_run and not self._ports.may_begin():
            return [self._end(ResultCode.NODE_DRAINING)]
        choice = self._choose_untried(may_wait)
        if isinstance(choice, Unavailable):
            self._refusal_code = REFUSAL_CODES.get(choice, self._refusal_code)
        if choice in (Unavailable.NONE_READY, Unavailable.FULL):
            self.phase = Phase.WAITING
            return [events.WaitForEngine(choice is Unavailable.FULL)]
        if not isinstance(choice, events.EngineChoice):
            return [self._end(self._refusal_code)]
        if not self._spend_retry_if_sent():
            return [self._end(ResultCode.RETRY_BUDGET_EXHAUSTED)]
        return [self._start_attempt(choice)]

    def _continue_or_end(
        self, step: NextStep, interrupted: events.EngineChoice
    ) -> events.DeliveryInstruction:
        # A run that continues at its backup counts as the same run.
        may_send = step is NextStep.BACKUP or self._may_send_again()
        choice = self._continuation.choose(step, interrupted) if may_send else None
        if choice is None or not self._ports.try_spend_retry(self.request):
            return self._end(self._engine_loss_code())
        return self._start_attempt(choice)

    def _choose_untried(self, may_wait: bool) -> events.EngineChoice | Unavailable:
        """Return an engine that has not refused the request for the weights that it is known by.

        The records of engines may be a heartbeat old, and another attempt by the same record would
        be refused, too.
        """
        outdated: set[str] = set()
        choice = self._ports.choose(self.request, frozenset(self._excluded), may_wait)
        while isinstance(choice, events.EngineChoice) and self._is_outdated(choice):
            outdated.add(choice.engine_id)
            excluded = frozenset(self._excluded | outdated)
            choice = self._ports.choose(self.request, excluded, may_wait)
        is_last = outdated and choice is Unavailable.NONE_LEFT
        return Unavailable.NONE_READY if is_last else choice

    def _is_outdated(self, choice: events.EngineChoice) -> bool:
        return self._refused_versions.get(choice.engine_id) == choice.weight_version

    def _retry(self) -> list[events.DeliveryInstruction]:
        if not self._may_send_again():
            return [self._end(self._refusal_code)]
        return self._attempt_or_wait()

    def _may_send_again(self) -> bool:
        return self._attempts_sent < self.request.route.maximum_attempts

    def _spend_retry_if_sent(self) -> bool:
        """Take a retry from the budget if an engine may have received this request before."""
        return self._attempts_sent == 0 or self._ports.try_spend_retry(self.request)

    @property
    def _is_not_run(self) -> bool:
        """Whether no engine can have run the request."""
        return not self._ledger.possibly_run_attempts

    def _start_attempt(self, choice: events.EngineChoice) -> events.StartAttempt:
        begins_run = self._is_not_run
        self.attempts.append(choice)
        self._ledger.begin(self._attempt_id())
        self._attempts_sent += 1
        self.phase = Phase.ATTEMPTING
        self.order.begin_attempt()
        last_id = self.order.last_id
        return events.StartAttempt(choice, last_id, self.may_run_anew, begins_run)

    def _attempt_id(self) -> str:
        return str(len(self.attempts))

    def _unsent_head(self) -> list[events.DeliveryInstruction]:
        if self._head_sent or self._response_head is None:
            return []
        self._head_sent = True
        return [events.SendHead(self._response_head.status, self._response_head.headers)]

    def _engine_loss_code(self) -> ResultCode:
        return ResultCode.STREAM_INTERRUPTED if self._head_sent else ResultCode.ENGINE_LOST

    def _end(
        self, code: ResultCode, unknown: ResultCode | None = None
    ) -> events.DeliveryInstruction:
        """Refuse the request if it certainly did not run; otherwise its outcome is unknown."""
        self.phase = Phase.ENDED
        if self._is_end_likely and not self.order.is_cut_short:
            # No new run could be had, and the engine ended the stream in order.
            self._is_end_likely = False
            return events.FinishStream()
        if self._head_sent:
            return events.AbortStream(ResultCode.STREAM_INTERRUPTED)
        if self._ledger.seal_if_not_run() is not None:
            return events.RefuseRequest(code, self._retry_after_s(code))
        return events.FailRequest(unknown or self._engine_loss_code())

    def _retry_after_s(self, code: ResultCode) -> float:
        if code is ResultCode.NODE_DRAINING:
            return STOPPING_RETRY_AFTER_S
        return self._ports.retry_after_seconds(self.request)

    def _validate(self, instructions: list[events.DeliveryInstruction]) -> None:
        """Check the invariants that hold after each event."""
        starts = sum(isinstance(i, events.StartAttempt) for i in instructions)
        is_new_run = starts and not self.attempts[-1].continues_at_backup
        if is_new_run and not self.request.may_run_again and not self._earlier_attempts_not_run():
            raise DeliveryInvariantError(
                f"request {self.request.request_id!r} may have run and was sent again"
            )
        ended = any(isinstance(i, events.TERMINAL_INSTRUCTIONS) for i in instructions)
        if ended != (self.phase is Phase.ENDED):
            raise DeliveryInvariantError(
                f"phase is {self.phase.name}, terminal instruction: {ended}"
            )

    def _earlier_attempts_not_run(self) -> bool:
        return self._ledger.possibly_run_attempts <= 1

    _HANDLERS: ClassVar[dict[type, Callable[..., list[events.DeliveryInstruction]]]] = {
        events.Started: _on_started,
        events.WaitExpired: _on_wait_expired,
        events.AttemptRefused: _on_refused,
        events.AttemptInterrupted: _on_interrupted,
        events.AttemptUnconfirmed: _on_unconfirmed,
        events.CompleteResponse: _on_complete_response,
        events.StreamOpened: _on_stream_opened,
        events.EventReceived: _on_event,
        events.StreamCompleted: _on_completed,
        events.EndDoubted: _on_end_doubted,
        events.DeadlinePassed: _on_deadline,
    }
