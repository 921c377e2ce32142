"""Drives one delivery: executes the state machine's instructions, one attempt at a time."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import replace

from liftrill import clock
from liftrill.coordination.crash_evidence import EARLY_END_S
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.request_queue import QueueEntry
from liftrill.gateway.admission.service_queues import ServiceQueues
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import FIRST_SERVER_ERROR, DeliveryInvariantError, DeliveryMachine
from liftrill.gateway.delivery_times import AttemptTimes, StreamTimes
from liftrill.gateway.engines.engine_table import EngineLoad, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.memory_budget import LARGE_BODY_BYTES
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.run_continuation import CloseEvidence, resolve_close, resolve_event
from liftrill.gateway.transport import EngineAttempt, ResponseSink

# Engines abort a response that stays unread for some seconds. If the caller delayed the reading
# by less than this in all, that is not why the attempt was interrupted.
UNREAD_RESPONSE_S = 1.0
# An engine that sends many events at once must not keep other requests waiting.
EVENTS_PER_TURN = 64
BYTES_PER_KILOBYTE = 1024
# An engine that closes complete responses later than this does so for other reasons.
MAX_SOUND_CLOSE_S = 0.1
# How long an engine that closed a response is waited for to reply: shares of the time that the
# caller has left, the second one if a new run can follow, and a time for streams of which one can.
CLOSE_CHECK_SHARE = 0.9
RERUN_SHARE = 0.5
RERUN_AFTER_S = 0.5
FIRST_CLIENT_ERROR = 400


class DeliveryOwner(ABC):
    """State that all deliveries of one node share and report their observations to.

    Attributes:
        queues: the requests that wait for engines.
    """

    def __init__(self, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self.queues = ServiceQueues()
        self.log = log
        self.metrics = metrics

    @abstractmethod
    def new_queue_entry(
        self, request: OpaqueRequest, until: float, for_capacity: bool
    ) -> QueueEntry | None:
        """Return the queue entry of a waiting request, or None if waiting cannot help."""

    @abstractmethod
    def begin_attempt(
        self,
        request: OpaqueRequest,
        start: events.StartAttempt,
        first: bool,
        may_move: Callable[[], bool],
    ) -> tuple[EngineView | None, EngineAttempt]:
        """Account for an attempt that is about to be sent, and prepare it.

        The attempt ends when its link goes down only if the request may then move.
        """

    @abstractmethod
    async def read_before_overdue(
        self, machine: DeliveryMachine, pending_read: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return the events of a read, or an interruption once the attempt must not begin."""

    @abstractmethod
    def record_attempt_event(
        self, view: EngineView, event: events.DeliveryEvent, sent_at: float
    ) -> None:
        """Update what is known of an engine from an event of an attempt sent at a time."""

    @abstractmethod
    async def check_engine(
        self, machine: DeliveryMachine, view: EngineView
    ) -> events.EngineEvidence:
        """Find out, before the next attempt, what became of the engine of an interrupted run."""

    @abstractmethod
    async def check_closed(
        self, view: EngineView, times: events.CloseTimes, until: float = math.inf
    ) -> CloseEvidence:
        """Find out until a time what became of an engine after it closed a response."""

    @abstractmethod
    def run_lost(self, machine: DeliveryMachine, view: EngineView, times: AttemptTimes) -> None:
        """Record that a run was interrupted or closed early, in case its engine has ended."""

    @abstractmethod
    def stream_began(self, machine: DeliveryMachine) -> None:
        """Report that the caller of a stream is about to get the first event of an answer."""

    @abstractmethod
    def record_served(self, request: OpaqueRequest) -> None:
        """Record that an engine served a request."""

    @abstractmethod
    def record_prompt_served(self, machine: DeliveryMachine) -> None:
        """Record that an engine went on running after it began to answer a prompt."""

    @abstractmethod
    def record_prefill(self, machine: DeliveryMachine, tokens: int, elapsed_s: float) -> None:
        """Record the prefill time of the newest attempt, and the tokens processed in it."""

    @abstractmethod
    def record_slot_time(self, machine: DeliveryMachine, held_s: float) -> None:
        """Record for how long a request occupied a slot of its engine."""

    @abstractmethod
    def record_stream_speed(self, view: EngineView, times: StreamTimes, now: float) -> None:
        """Record the speed at which the events of a complete stream were received."""

    @abstractmethod
    def record_response_speed(
        self, view: EngineView, sent_at: float, requests: int, now: float
    ) -> None:
        """Record the time of a complete response, and how many requests the engine had then."""

    @abstractmethod
    def record_not_run(self, machine: DeliveryMachine) -> None:
        """Record how many of the runs charged for an ended request were not executed."""


class DeliveryDriver:
    """The state of one delivery: its state machine and the open attempt."""

    def __init__(self, owner: DeliveryOwner, machine: DeliveryMachine, sink: ResponseSink) -> None:
        self._owner = owner
        self._machine = machine
        self._sink = sink
        self._attempt: EngineAttempt | None = None
        self._view: EngineView | None = None
        self._load = EngineLoad()
        self._times = AttemptTimes(0.0)
        self._queued_prefill_tokens = 0
        self._requests_at_engine = 0
        self._caller_wait_at_start_s = 0.0
        self._first_read_at: float | None = None
        self._prompt_served = False
        self._body_released = False
        self._close_check_s = 0.0
        # When the end of the stream arrived, if it is held back.
        self._end_held_at: float | None = None
        # The engine and the close of the end that a new run is to confirm.
        self._doubted: tuple[EngineView, events.ConnectionClosed] | None = None
        self._ended = False

    @property
    def caller_wait_s(self) -> float:
        """For how long this delivery waited for its caller to read."""
        return self._sink.caller_wait_s

    async def drive(self, first: events.DeliveryEvent) -> None:
        """Pass events to the state machine until the request ends."""
        if self._ended:
            # The deadline passed before the caller had read the whole response.
            self._sink.abort_stream()
            return
        pending: deque[events.DeliveryEvent] = deque([first])
        handled = 0
        while not self._ended:
            # A read may return no event: its bytes complete none.
            while not pending:
                pending.extend(await self._read())
            handled += 1
            if handled % EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)
            event = pending.popleft()
            for instruction in self._machine.handle(event):
                pending.extend(await self._execute(instruction))

    def close(self) -> None:
        """Close the open attempt, and remove the request from the queues."""
        self._release()
        self._owner.queues.leave(self._machine.request)

    def _release(self) -> None:
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None
        self._free_engine()
        self._view = None

    def _stream_ended(self) -> None:
        """Free the engine, whose end of the stream has arrived and is held back."""
        self._end_held_at = clock.now_s()
        self._free_engine()

    def _free_engine(self) -> None:
        """Subtract the load of the attempt from that of its engine, once."""
        if self._view is None or self._load.requests == 0:
            return
        self._view.own_load.add(self._load, -1)
        self._load = EngineLoad()
        self._owner.queues.capacity_freed(self._machine.request.service)

    def record_caller_gone(self) -> None:
        """Record that the caller closed its connection, unless the request had ended before."""
        if self._ended:
            return
        if self._view is not None:
            self._owner.run_lost(self._machine, self._view, self._times)
        self._owner.record_not_run(self._machine)

    async def _read(self) -> list[events.DeliveryEvent]:
        assert self._attempt is not None
        return await self._record_events(await self._read_before_overdue(self._attempt.read()))

    async def _read_before_overdue(
        self, pending_read: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Read from the attempt; interrupt it if it must not begin any more."""
        if not self._load.waiting_tokens:
            return await pending_read
        return await self._owner.read_before_overdue(self._machine, pending_read)

    def _record_prefill_done(self) -> None:
        """Record the end of the prefill, which the first event shows."""
        if self._load.waiting_tokens and self._view is not None:
            self._view.own_load.waiting_tokens -= self._load.waiting_tokens
            self._load.waiting_tokens = 0
            elapsed_s = clock.now_s() - self._times.sent_at
            self._owner.record_prefill(self._machine, self._queued_prefill_tokens, elapsed_s)

    async def _record_events(
        self, received: list[events.DeliveryEvent]
    ) -> list[events.DeliveryEvent]:
        recorded: list[events.DeliveryEvent] = []
        for arrived in received:
            event, evidence = arrived, None
            if isinstance(event, events.StreamOpened | events.CompleteResponse):
                self._machine.times.framing = event.framing.value
            if isinstance(event, events.ConnectionClosed):
                event, evidence = await self._resolve_close(event)
            if isinstance(event, events.StreamCompleted) and self._end_held_at is not None:
                self._close_check_s = clock.now_s() - self._end_held_at
            event = resolve_event(event, self._machine.order)
            if isinstance(event, events.EventReceived):
                self._record_event(event)
            may_be_unread = isinstance(event, events.AttemptInterrupted) and not event.is_rejected
            if may_be_unread and self._view is not None and self._caller_stalled():
                # The engine may have aborted the response because it was not read.
                self._view.breaker.record_abandoned()
            elif self._view is not None:
                self._owner.record_attempt_event(self._view, event, self._times.sent_at)
            self._owner.log.attempt_event(self._machine, event, self._times)
            if isinstance(event, events.AttemptInterrupted):
                recorded.append(await self._with_evidence(event, evidence))
                # What follows must not be taken for a part of the next attempt.
                break
            recorded.append(event)
        return recorded

    async def _resolve_close(
        self, closed: events.ConnectionClosed
    ) -> tuple[events.DeliveryEvent, events.EngineEvidence]:
        """Return what a closed connection means for its response, and what shows it."""
        evidence, began_at = CloseEvidence(events.EngineEvidence.UNKNOWN), clock.now_s()
        if not closed.is_marked:
            self._machine.times.framing = events.Framing.CONNECTION.value
        if self._view is not None:
            until = began_at + self._longest_close_check_s(closed, began_at)
            evidence = await self._owner.check_closed(self._view, closed.times, until)
        resolved = resolve_close(closed, evidence, self._machine.request.may_run_again)
        if isinstance(resolved, events.EndDoubted) and self._view is not None:
            self._doubted = (self._view, closed)
        is_complete = resolved is closed.completed
        waited_s = self._close_check_s = clock.now_s() - began_at
        self._owner.metrics.closed_responses.labels(evidence.engine.value).inc()
        self._owner.log.response_closed(
            self._machine, closed.times, evidence, waited_s, is_complete
        )
        return resolved, evidence.engine

    def _longest_close_check_s(self, closed: events.ConnectionClosed, now: float) -> float:
        left_s = self._machine.request.deadline - now
        if not self._machine.may_run_anew:
            return CLOSE_CHECK_SHARE * left_s
        # The new run of a whole answer begins anew, that of a stream after its last event.
        is_stream = isinstance(closed.completed, events.StreamCompleted)
        return min(RERUN_AFTER_S, left_s) if is_stream else RERUN_SHARE * left_s

    async def _with_evidence(
        self, event: events.AttemptInterrupted, known: events.EngineEvidence | None
    ) -> events.AttemptInterrupted:
        """Add to an interruption what is known of its engine, or find it out."""
        evidence, began_at = event.evidence, clock.now_s()
        if event.is_rejected:
            self._owner.metrics.rejected_responses.inc()
            evidence = events.EngineEvidence.RUNNING
        elif self._view is not None:
            if not self._caller_stalled():
                self._owner.run_lost(self._machine, self._view, self._times)
            evidence = known or await self._owner.check_engine(self._machine, self._view)
        if self._machine.may_continue:
            self._owner.log.stream_interrupted(self._machine, evidence, clock.now_s() - began_at)
            self._owner.metrics.interrupted_streams.labels(evidence.value).inc()
        return replace(event, evidence=evidence)

    def _caller_stalled(self) -> bool:
        return self.caller_wait_s - self._caller_wait_at_start_s > UNREAD_RESPONSE_S

    def _record_event(self, arrived: events.EventReceived) -> None:
        now = clock.now_s()
        self._machine.times.record_event(arrived.event.event_id, now - self.caller_wait_s)
        if self._times.first_event_at is None:
            self._times.first_event_at = now
        self._record_prefill_done()
        # Events that a slow caller delayed may be older than the end of their engine.
        read_at = now - self.caller_wait_s
        if self._first_read_at is None:
            self._first_read_at = read_at
        elif read_at - self._first_read_at >= EARLY_END_S:
            self._record_prompt_served()

    def _record_prompt_served(self) -> None:
        """Record once per attempt that its engine does not crash on the prompt."""
        if not self._prompt_served:
            self._prompt_served = True
            self._owner.record_prompt_served(self._machine)

    async def _execute(self, instruction: events.DeliveryInstruction) -> list[events.DeliveryEvent]:
        if isinstance(instruction, events.SendEvent):
            await self._sink.send_bytes(instruction.event.data)
            return []
        if isinstance(instruction, events.StartAttempt):
            return await self._start(instruction)
        if isinstance(instruction, events.WaitForEngine):
            return [await self._wait_for_engine(instruction.for_capacity)]
        if isinstance(instruction, events.AbandonAttempt):
            self._release()
        elif isinstance(instruction, events.SendHead):
            self._release_body()
            self._owner.stream_began(self._machine)
            await self._sink.send_head(instruction)
        else:
            await self._end(instruction)
        return []

    def _release_body(self) -> None:
        """Free a large body, if no engine can need it while the response is streamed."""
        request = self._machine.request
        if len(request.body) >= LARGE_BODY_BYTES and not self._machine.needs_body:
            self._body_released = True
            request.release_body()
            self._sink.body_released()

    async def _start(self, start: events.StartAttempt) -> list[events.DeliveryEvent]:
        self._release()
        machine = self._machine
        if self._body_released:
            raise DeliveryInvariantError(
                f"request {machine.request.request_id!r} was sent again after its body was freed"
            )
        self._owner.log.attempt_started(machine, start)
        first = len(machine.attempts) == 1
        if first:
            self._owner.metrics.record_sent(machine.request)
        self._view, self._attempt = self._owner.begin_attempt(
            machine.request, start, first, lambda: machine.may_move
        )
        self._attempt.watch_end(self._stream_ended)
        self._end_held_at = None
        self._load = expected_load(machine.request, start.choice)
        self._times = AttemptTimes(clock.now_s())
        self._caller_wait_at_start_s = self.caller_wait_s
        self._first_read_at = None
        self._prompt_served = False
        self._close_check_s = 0.0
        if self._view is not None:
            self._view.own_load.add(self._load)
            self._queued_prefill_tokens = self._view.waiting_tokens
            self._requests_at_engine = self._view.requests
        self._owner.queues.dispatched(machine.request)
        return await self._record_events(await self._read_before_overdue(self._attempt.open()))

    async def _wait_for_engine(self, for_capacity: bool) -> events.DeliveryEvent:
        request = self._machine.request
        until = request.wait_deadline
        if clock.now_s() >= until:
            return events.WaitExpired()
        self._release()
        entry = self._owner.new_queue_entry(request, until, for_capacity)
        if entry is None:
            return events.WaitExpired()
        await self._owner.queues.wait(request, entry)
        return events.Started() if clock.now_s() < until else events.WaitExpired()

    def _record_sound_close(self) -> None:
        """Record that a new run had nothing to add after an end that was doubted."""
        if self._doubted is not None and self._machine.is_end_likely:
            view, closed = self._doubted
            if closed.is_marked:
                # This says nothing about closes that are the only mark of an end.
                view.closes_after_ends = True
                return
            delay_s = closed.times.delay_s
            view.sound_close_s = min(MAX_SOUND_CLOSE_S, max(view.sound_close_s, delay_s))

    async def _end(self, ending: events.DeliveryInstruction) -> None:
        self._ended = True
        now = clock.now_s() - self.caller_wait_s - self._close_check_s
        held_s = self._machine.times.since_first_event_s(now)
        if isinstance(ending, events.FinishStream) and held_s is not None:
            self._owner.record_slot_time(self._machine, held_s)
        self._record_speed(ending)
        self._owner.log.request_ended(self._machine, ending)
        self._owner.metrics.record_end(self._machine, ending)
        self._owner.record_not_run(self._machine)
        self._owner.queues.leave(self._machine.request)
        if _is_completed(ending):
            self._owner.record_served(self._machine.request)
            if not isinstance(ending, events.SendResponse) or _is_success(ending):
                self._record_prompt_served()
        if isinstance(ending, events.SendResponse):
            self.close()
            await self._sink.send_response(ending.response)
        elif isinstance(ending, events.FinishStream):
            self._record_sound_close()
            # The engine is free, even if the caller still has to read the end of the stream.
            self.close()
            await self._sink.finish()
        elif isinstance(ending, events.AbortStream):
            self._sink.abort_stream()
        elif isinstance(ending, events.RefuseRequest):
            await self._sink.refuse(ending)
        elif isinstance(ending, events.FailRequest):
            await self._sink.fail(ending)

    def _record_speed(self, ending: events.DeliveryInstruction) -> None:
        """Record the speed of the engine, if the first attempt completed the request."""
        view = self._view
        if view is None or len(self._machine.attempts) > 1 or not _is_completed(ending):
            return
        now = clock.now_s() - self._close_check_s
        if isinstance(ending, events.FinishStream):
            self._owner.record_stream_speed(view, self._machine.times, now)
        elif self._machine.request.prompt is None and _is_success(ending):
            self._owner.record_response_speed(
                view, self._times.sent_at, self._requests_at_engine, now
            )


def _is_success(ending: events.DeliveryInstruction) -> bool:
    """Return whether an engine processed a request; a refusal takes it no time."""
    return isinstance(ending, events.SendResponse) and ending.response.status < FIRST_CLIENT_ERROR


def _is_completed(ending: events.DeliveryInstruction) -> bool:
    """Return whether an engine completed a request without a server error."""
    if isinstance(ending, events.SendResponse):
        return ending.response.status < FIRST_SERVER_ERROR
    return isinstance(ending, events.FinishStream)


def expected_load(request: OpaqueRequest, choice: events.EngineChoice) -> EngineLoad:
    """Return the load that a request adds to the engine chosen for it."""
    prompt = request.prompt
    body_kilobytes = math.ceil(len(request.body) / BYTES_PER_KILOBYTE)
    if prompt is None:
        return EngineLoad(requests=1, body_kilobytes=body_kilobytes)
    resident = prompt.declared_tokens
    return EngineLoad(1, max(1, choice.expected_prefill_tokens), resident, body_kilobytes)
