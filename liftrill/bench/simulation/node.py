"""A node in virtual time: the daemon's router and request machines, without I/O."""

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
from liftrill.planning.sections import view_of
from liftrill.routing import events
from liftrill.routing.admission import AdmissionController
from liftrill.routing.engine_state import EngineListing, EngineState, EngineTable
from liftrill.routing.machine import RequestMachine
from liftrill.routing.outcome import Completed, Outcome
from liftrill.routing.policies import POLICIES
from liftrill.routing.request import RoutedRequest
from liftrill.routing.router import Router

REFUSALS = {
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
        on_first_token: called with the time at which the node has the first token.
        on_end: called with the outcome.
    """

    machine: RequestMachine
    on_first_token: Callable[[float], None]
    on_end: Callable[[Outcome], None]
    engine: EngineState | None = None
    pending_prefill: int | None = None
    waiting: bool = False
    ended: bool = False


class SimulatedNode:
    """One node. `restart` gives it an empty memory."""

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
        """Forget everything that was learnt; requests in flight go on."""
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
        self.router.view = view_of(self._configuration)
        self._streams = {e: EventStream(e, self.directory) for e in self._engines}
        for engine in self._engines.values():
            self._take_report(engine)

    # Background work of the daemon

    def poll_report(self, engine: SimulatedEngine) -> None:
        """Ask an engine for its report; the answer takes the way back."""
        delay = 2 * self._latency(self.zone, engine.zone)
        self._clock.call_later(delay, lambda: self._take_report(engine))

    def read_events(self, engine: SimulatedEngine) -> None:
        """Read an engine's cache events."""
        stream = self._streams[engine.engine_id]
        found = engine.events_after(stream.next_sequence - 1)
        stream.apply(engine.model.incarnation, found, self._clock.now())

    def exchange_prefix_reports(self, homes: dict[str, "SimulatedNode"]) -> None:
        """Report the prefixes in use to their homes and take in the answers."""
        reports = self.router.reporter.take_reports(sorted(homes), self._clock.now())
        for home_id, home_reports in reports.items():
            self._exchange_with(homes[home_id], home_reports)

    def _exchange_with(self, home: "SimulatedNode", reports: list[PrefixReport]) -> None:
        delay = self._latency(self.zone, home.zone)

        def deliver() -> None:
            answers = home.home.exchange(self.node_id, reports, self._clock.now())
            reporter = self.router.reporter
            self._clock.call_later(
                delay, lambda: reporter.apply_answers(answers, self._clock.now())
            )

        self._clock.call_later(delay, deliver)

    def _take_report(self, engine: SimulatedEngine) -> None:
        state = self.router.engines.get(engine.engine_id)
        if state is None:
            return
        state.refused_as_leaving = False
        state.apply_report(engine.report(), self._clock.now())
        self._wake()

    # Requests

    def serve(
        self,
        request: RoutedRequest,
        on_first_token: Callable[[float], None],
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Serve a request."""
        machine = RequestMachine(request, self.router)
        opened = OpenRequest(machine, on_first_token, on_end)
        self._clock.call_at(request.deadline, lambda: self._on_deadline(opened))
        self._feed(opened, events.Started())

    def _on_deadline(self, opened: OpenRequest) -> None:
        if not opened.ended:
            self._feed(opened, events.DeadlinePassed())

    def _feed(self, opened: OpenRequest, event: events.RequestEvent) -> None:
        for instruction in opened.machine.handle(event):
            self._carry_out(opened, instruction)

    def _carry_out(self, opened: OpenRequest, instruction: events.RequestInstruction) -> None:
        if isinstance(instruction, events.StartAttempt):
            self._start(opened, instruction)
        elif isinstance(instruction, events.DeliverToken):
            if instruction.index == 0:
                opened.on_first_token(self._clock.now())
            self._note_prefilled(opened)
        elif isinstance(instruction, events.WaitForEngine):
            self._wait(opened)
        elif isinstance(instruction, events.CancelAttempt):
            self._engines[instruction.engine_id].cancel(instruction.attempt_id)
            self._close(opened)
        elif isinstance(instruction, events.ResumeAttempt):
            self._feed(opened, events.ResumeRefused(instruction.attempt_id))
        elif isinstance(instruction, events.EndRequest):
            self._end(opened, instruction.outcome)

    def _start(self, opened: OpenRequest, instruction: events.StartAttempt) -> None:
        self._close(opened)
        self.decisions += 1
        state = self.router.engines.get(instruction.engine_id)
        assert state is not None
        state.record_start(self._clock.now(), instruction.expected_prefill_tokens)
        opened.engine = state
        opened.pending_prefill = instruction.expected_prefill_tokens
        engine = self._engines[instruction.engine_id]
        delay = self._latency(self.zone, engine.zone)
        self._clock.call_later(delay, lambda: self._arrive(opened, engine, instruction, delay))

    def _arrive(
        self,
        opened: OpenRequest,
        engine: SimulatedEngine,
        instruction: events.StartAttempt,
        delay: float,
    ) -> None:
        request = opened.machine.request
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
            self._clock.call_later(delay, lambda: self._take_output(opened, output))

        def on_lost() -> None:
            event = events.AttemptBroken(attempt_id)
            self._clock.call_later(delay, lambda: self._feed(opened, event))

        reason = engine.submit(generation, on_output, on_lost)
        if reason is None:
            self._clock.call_later(delay, lambda: self._take_load(engine))
        else:
            self._clock.call_later(delay, lambda: self._refuse(opened, attempt_id, reason, engine))

    def _take_load(self, engine: SimulatedEngine) -> None:
        """Take in the load that an engine tells with its answer."""
        state = self.router.engines.get(engine.engine_id)
        report = engine.report()
        if state is not None:
            state.apply_load(
                report.running,
                report.waiting,
                report.waiting_prompt_tokens,
                self._clock.now(),
            )

    def _refuse(
        self,
        opened: OpenRequest,
        attempt_id: str,
        reason: RefusalReason,
        engine: SimulatedEngine,
    ) -> None:
        kind = REFUSALS.get(reason, events.RefusalKind.REJECTED)
        state = opened.engine
        if state is not None and kind is events.RefusalKind.OVERLOADED:
            state.record_overload()
        if state is not None and kind is events.RefusalKind.MISMATCH:
            state.apply_identity(engine.report().identity)
        self._close(opened)
        self._feed(opened, events.AttemptRefused(attempt_id, kind))

    def _take_output(self, opened: OpenRequest, output: EngineOutput) -> None:
        request_id = opened.machine.request.request_id
        if isinstance(output, TokenProduced):
            token = events.TokenReceived(request_id, output.attempt_id, output.index, output.text)
            self._feed(opened, token)
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
        self._feed(opened, finished)

    def _end(self, opened: OpenRequest, outcome: Outcome) -> None:
        opened.ended = True
        request = opened.machine.request
        self._queued.pop(request.request_id, None)
        if isinstance(outcome, Completed) and opened.engine is not None:
            opened.engine.record_success()
            advice = self.router.record_answer(request, outcome.engine_id, outcome.cached_tokens)
            if advice is not None:
                self._kept_store.save(advice, self._engines[advice.engine_id])
        self.router.record_abandoned(request)
        self._close(opened)
        opened.on_end(outcome)

    def _close(self, opened: OpenRequest) -> None:
        if opened.engine is None:
            return
        self._note_prefilled(opened)
        opened.engine.record_end()
        opened.engine = None
        self._clock.call_later(0.0, self._wake)

    def _note_prefilled(self, opened: OpenRequest) -> None:
        if opened.engine is not None and opened.pending_prefill is not None:
            opened.engine.record_prefilled(opened.pending_prefill)
        opened.pending_prefill = None

    # Waiting

    def _wait(self, opened: OpenRequest) -> None:
        request = opened.machine.request
        wait = self.router.expected_wait(request)
        if self._clock.now() + wait > request.deadline:
            code = ResultCode.DEADLINE_UNREACHABLE
            self._feed(opened, events.TurnRefused(code, wait))
            return
        item = self.router.enqueue(request)
        if item is None:
            self._feed(opened, events.TurnRefused(ResultCode.QUEUE_FULL, wait))
            return
        self._queued[request.request_id] = opened
        self._clock.call_later(0.0, self._wake)

    def _wake(self) -> None:
        for request in self.router.grant_turns():
            opened = self._queued.pop(request.request_id, None)
            if opened is None or opened.ended:
                self.router.abandon_turn(request)
            else:
                self._feed(opened, events.Started())

    def _admission(self) -> AdmissionController:
        admission = AdmissionController()
        view = view_of(self._configuration)
        admission.configure(list(view.tenants.tenants), list(view.workloads.workloads))
        return admission
