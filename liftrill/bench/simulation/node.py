"""A simulated node: the router and request machines of the node process, without I/O."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from liftrill import constants
from liftrill.bench.simulation.clock import VirtualClock
from liftrill.bench.simulation.engine import SimulatedEngine
from liftrill.bench.simulation.kept_store import SimulatedKeptStore
from liftrill.cache.directory import PrefixDirectory
from liftrill.cache.event_stream import EventStream
from liftrill.cache.home import HomeDirectory, PrefixReport
from liftrill.coordination.configuration import Configuration
from liftrill.emulator.engine_messages import (
    EngineOutput,
    GenerationRequest,
    RefusalReason,
    TokenProduced,
)
from liftrill.errors import ResultCode
from liftrill.planning.sections import configuration_view
from liftrill.routing import events
from liftrill.routing.admission import AdmissionController
from liftrill.routing.engine_state import EngineListing, EngineState, EngineTable
from liftrill.routing.outcome import Completed, Outcome
from liftrill.routing.policies import POLICIES
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import RequestStateMachine
from liftrill.routing.router import Router

REFUSAL_KINDS = {
    RefusalReason.QUEUE_FULL: events.RefusalKind.OVERLOADED,
    RefusalReason.LEAVING: events.RefusalKind.LEAVING,
    RefusalReason.LOADING: events.RefusalKind.LEAVING,
    RefusalReason.INCARNATION_MISMATCH: events.RefusalKind.MISMATCH,
    RefusalReason.WEIGHT_VERSION_MISMATCH: events.RefusalKind.MISMATCH,
}


@dataclass(slots=True)
class OpenRequest:
    """A request that the node is serving.

    Attributes:
        on_first_token: called with the time at which the node receives the first token.
        on_end: called with the outcome.
        engine: the engine of the current attempt, or None.
        pending_prefill: expected prefill tokens of the current attempt, until its first token.
    """

    machine: RequestStateMachine
    on_first_token: Callable[[float], None]
    on_end: Callable[[Outcome], None]
    engine: EngineState | None = None
    pending_prefill: int | None = None
    waiting: bool = False
    ended: bool = False


class SimulatedNode:
    """A simulated node."""

    def __init__(
        self,
        clock: VirtualClock,
        node_id: str,
        zone: str,
        engines: Sequence[SimulatedEngine],
        pool: str,
        configuration: Configuration,
        policy: str,
        kept_store: SimulatedKeptStore,
        latency: Callable[[str, str], float],
        seed: int,
    ) -> None:
        self.node_id = node_id
        self.zone = zone
        self._clock = clock
        self._engines = {engine.engine_id: engine for engine in engines}
        self._pool = pool
        self._configuration = configuration
        self._policy = policy
        self._kept_store = kept_store
        self._latency = latency
        self._random = random.Random(seed)
        self._queued: dict[str, OpenRequest] = {}
        self.decisions = 0
        self.restart()

    def restart(self) -> None:
        """Reset all learned state; requests in flight continue."""
        self.directory = PrefixDirectory(
            constants.DIRECTORY_MARKERS, constants.DIRECTORY_CANDIDATES
        )
        self.home = HomeDirectory(constants.HOME_ENTRIES)
        table = EngineTable()
        for engine in self._engines.values():
            table.apply_listing(
                EngineListing(engine.engine_id, engine.engine_id, engine.zone, self._pool, False)
            )
        policy = POLICIES[self._policy](self.directory, self._random)
        self.router = Router(
            table, policy, self.directory, self._admission(), b"simulation", self._clock.now
        )
        self.router.view = configuration_view(self._configuration)
        self._streams = {e: EventStream(e, self.directory) for e in self._engines}
        for engine in self._engines.values():
            self._apply_report(engine)

    # Background work

    def poll_report(self, engine: SimulatedEngine) -> None:
        """Request the load report of an engine, which arrives after a round trip."""
        delay = 2 * self._latency(self.zone, engine.zone)
        self._clock.call_later(delay, lambda: self._apply_report(engine))

    def read_events(self, engine: SimulatedEngine) -> None:
        """Read and apply the new cache events of an engine."""
        stream = self._streams[engine.engine_id]
        cache_events = engine.events_after(stream.next_sequence - 1)
        stream.apply(engine.model.incarnation, cache_events, self._clock.now())

    def exchange_prefix_reports(self, homes: dict[str, "SimulatedNode"]) -> None:
        """Report the used prefixes to their home nodes, and apply the answers."""
        reports = self.router.home_reporter.take_reports(sorted(homes), self._clock.now())
        for home_id, home_reports in reports.items():
            self._exchange_with_home(homes[home_id], home_reports)

    def _exchange_with_home(self, home: "SimulatedNode", reports: list[PrefixReport]) -> None:
        delay = self._latency(self.zone, home.zone)

        def deliver() -> None:
            answers = home.home.exchange(self.node_id, reports, self._clock.now())
            reporter = self.router.home_reporter
            self._clock.call_later(
                delay, lambda: reporter.apply_answers(answers, self._clock.now())
            )

        self._clock.call_later(delay, deliver)

    def _apply_report(self, engine: SimulatedEngine) -> None:
        state = self.router.engines.get(engine.engine_id)
        if state is None:
            return
        state.refused_as_leaving = False
        state.apply_report(engine.report(), self._clock.now())
        self._grant_turns()

    # Requests

    def serve(
        self,
        request: RoutedRequest,
        on_first_token: Callable[[float], None],
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Start serving a request, which ends by its deadline.

        Args:
            request: the request.
            on_first_token: called with the time at which the node receives the first token.
            on_end: called with the outcome.
        """
        machine = RequestStateMachine(request, self.router)
        open_request = OpenRequest(machine, on_first_token, on_end)
        self._clock.call_at(request.deadline, lambda: self._on_deadline(open_request))
        self._handle_event(open_request, events.DispatchPermitted())

    def _on_deadline(self, open_request: OpenRequest) -> None:
        if not open_request.ended:
            self._handle_event(open_request, events.DeadlinePassed())

    def _handle_event(self, open_request: OpenRequest, event: events.RequestEvent) -> None:
        for instruction in open_request.machine.handle(event):
            self._execute(open_request, instruction)

    def _execute(self, open_request: OpenRequest, instruction: events.RequestInstruction) -> None:
        if isinstance(instruction, events.StartAttempt):
            self._start_attempt(open_request, instruction)
        elif isinstance(instruction, events.DeliverToken):
            if instruction.index == 0:
                open_request.on_first_token(self._clock.now())
            self._record_prefilled(open_request)
        elif isinstance(instruction, events.WaitForEngine):
            self._enqueue(open_request)
        elif isinstance(instruction, events.CancelAttempt):
            self._engines[instruction.engine_id].cancel(instruction.attempt_id)
            self._end_attempt(open_request)
        elif isinstance(instruction, events.ResumeAttempt):
            self._handle_event(open_request, events.ResumeRefused(instruction.attempt_id))
        elif isinstance(instruction, events.EndRequest):
            self._end_request(open_request, instruction.outcome)

    def _start_attempt(self, open_request: OpenRequest, instruction: events.StartAttempt) -> None:
        self._end_attempt(open_request)
        self.decisions += 1
        state = self.router.engines.get(instruction.engine_id)
        assert state is not None
        state.record_start(self._clock.now(), instruction.expected_prefill_tokens)
        open_request.engine = state
        open_request.pending_prefill = instruction.expected_prefill_tokens
        engine = self._engines[instruction.engine_id]
        delay = self._latency(self.zone, engine.zone)
        self._clock.call_later(
            delay, lambda: self._submit_attempt(open_request, engine, instruction, delay)
        )

    def _submit_attempt(
        self,
        open_request: OpenRequest,
        engine: SimulatedEngine,
        instruction: events.StartAttempt,
        delay: float,
    ) -> None:
        request = open_request.machine.request
        scope = request.scope(instruction.adapter, instruction.weight_version)
        generation = GenerationRequest(
            request_id=request.request_id,
            attempt_id=instruction.attempt_id,
            prompt=request.prompt + instruction.delivered_text.encode(),
            maximum_tokens=request.maximum_tokens - instruction.start_index,
            salt=request.salt(scope, b"simulation"),
            priority=request.priority,
            start_index=instruction.start_index,
            incarnation=instruction.incarnation,
            weight_version=instruction.weight_version,
            user=request.tenant,
            kept_blocks=self._kept_store.longest_stored_prefix(instruction.import_candidates),
        )
        attempt_id = instruction.attempt_id

        def on_output(output: EngineOutput) -> None:
            self._clock.call_later(delay, lambda: self._handle_output(open_request, output))

        def on_lost() -> None:
            event = events.AttemptBroken(attempt_id)
            self._clock.call_later(delay, lambda: self._handle_event(open_request, event))

        reason = engine.submit(generation, on_output, on_lost)
        if reason is None:
            self._clock.call_later(delay, lambda: self._apply_load(engine))
        else:
            self._clock.call_later(
                delay, lambda: self._handle_refusal(open_request, attempt_id, reason, engine)
            )

    def _apply_load(self, engine: SimulatedEngine) -> None:
        """Apply the load that an engine reports in its response."""
        state = self.router.engines.get(engine.engine_id)
        report = engine.report()
        if state is not None:
            state.apply_load(
                report.running,
                report.waiting,
                report.waiting_prompt_tokens,
                self._clock.now(),
            )

    def _handle_refusal(
        self,
        open_request: OpenRequest,
        attempt_id: str,
        reason: RefusalReason,
        engine: SimulatedEngine,
    ) -> None:
        kind = REFUSAL_KINDS.get(reason, events.RefusalKind.REJECTED)
        state = open_request.engine
        if state is not None and kind is events.RefusalKind.OVERLOADED:
            state.record_overload()
        if state is not None and kind is events.RefusalKind.MISMATCH:
            state.apply_identity(engine.report().identity)
        self._end_attempt(open_request)
        self._handle_event(open_request, events.AttemptRefused(attempt_id, kind))

    def _handle_output(self, open_request: OpenRequest, output: EngineOutput) -> None:
        request_id = open_request.machine.request.request_id
        if isinstance(output, TokenProduced):
            token = events.TokenReceived(request_id, output.attempt_id, output.index, output.text)
            self._handle_event(open_request, token)
            return
        usage = output.usage
        finished = events.AttemptFinished(
            request_id,
            output.attempt_id,
            output.finish_reason,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.completion_tokens,
        )
        self._handle_event(open_request, finished)

    def _end_request(self, open_request: OpenRequest, outcome: Outcome) -> None:
        open_request.ended = True
        request = open_request.machine.request
        self._queued.pop(request.request_id, None)
        if isinstance(outcome, Completed) and open_request.engine is not None:
            open_request.engine.record_success()
            advice = self.router.record_completion(
                request, outcome.engine_id, outcome.cached_tokens
            )
            if advice is not None:
                self._kept_store.save(advice, self._engines[advice.engine_id])
        self.router.record_abandoned(request)
        self._end_attempt(open_request)
        open_request.on_end(outcome)

    def _end_attempt(self, open_request: OpenRequest) -> None:
        if open_request.engine is None:
            return
        self._record_prefilled(open_request)
        open_request.engine.record_end()
        open_request.engine = None
        self._clock.call_later(0.0, self._grant_turns)

    def _record_prefilled(self, open_request: OpenRequest) -> None:
        if open_request.engine is not None and open_request.pending_prefill is not None:
            open_request.engine.record_prefilled(open_request.pending_prefill)
        open_request.pending_prefill = None

    # Waiting

    def _enqueue(self, open_request: OpenRequest) -> None:
        request = open_request.machine.request
        wait = self.router.expected_wait(request)
        if self._clock.now() + wait > request.deadline:
            code = ResultCode.DEADLINE_UNREACHABLE
            self._handle_event(open_request, events.QueueingRefused(code, wait))
            return
        item = self.router.enqueue(request)
        if item is None:
            self._handle_event(open_request, events.QueueingRefused(ResultCode.QUEUE_FULL, wait))
            return
        self._queued[request.request_id] = open_request
        self._clock.call_later(0.0, self._grant_turns)

    def _grant_turns(self) -> None:
        for request in self.router.grant_dispatches():
            open_request = self._queued.pop(request.request_id, None)
            if open_request is None or open_request.ended:
                self.router.release_dispatch_grant(request)
            else:
                self._handle_event(open_request, events.DispatchPermitted())

    def _admission(self) -> AdmissionController:
        admission = AdmissionController()
        view = configuration_view(self._configuration)
        admission.configure(list(view.tenants.tenants), list(view.workloads.workloads))
        return admission
