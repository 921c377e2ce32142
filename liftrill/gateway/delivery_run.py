"""The run of one delivery: the machine's instructions, carried out on one attempt at a time."""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable

from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.request_queue import QueueEntry
from liftrill.gateway.admission.service_queues import ServiceQueues
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import (
    FIRST_SERVER_ERROR,
    AttemptTimes,
    DeliveryInvariantError,
    DeliveryMachine,
    StreamTimes,
)
from liftrill.gateway.engines.engine_table import EngineLoad, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.memory_budget import LARGE_BODY_BYTES
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.transport import AnswerSink, EngineAttempt

# Engines cut answers that stay unread for some seconds; one that was read sooner has no such
# reason to break.
ENGINE_UNREAD_S = 1.0
BYTES_PER_KILOBYTE = 1024
FIRST_CLIENT_ERROR = 400


class DeliveryOwner(ABC):
    """What all deliveries of one node share, and whom they tell what they learn.

    Attributes:
        lines: the requests that wait for engines.
    """

    def __init__(self, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self.lines = ServiceQueues()
        self.log = log
        self.metrics = metrics

    @abstractmethod
    def place_in_line(
        self, request: OpaqueRequest, until: float, for_room: bool
    ) -> QueueEntry | None:
        """Return what a request waits with, or None where waiting is in vain."""

    @abstractmethod
    def begin(
        self, request: OpaqueRequest, start: events.StartAttempt, first: bool
    ) -> tuple[EngineView | None, EngineAttempt]:
        """Account for an attempt that is about to be sent."""

    @abstractmethod
    async def read_before_overdue(
        self, machine: DeliveryMachine, reading: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return what a read tells, or the end of an attempt that may no longer begin."""

    @abstractmethod
    def note(self, view: EngineView, event: events.DeliveryEvent, sent_at: float) -> None:
        """Learn about an engine from what an attempt told that was sent at a time."""

    @abstractmethod
    async def run_lost(
        self, machine: DeliveryMachine, view: EngineView, times: AttemptTimes
    ) -> None:
        """Find out whether the engine of a run that broke has ended, before the next send."""

    @abstractmethod
    def run_given_up(self, machine: DeliveryMachine, view: EngineView, times: AttemptTimes) -> None:
        """Note that a run is closed before its end: what it does to its engine is not seen."""

    @abstractmethod
    def note_served(self, request: OpaqueRequest) -> None:
        """Note that an engine served a request."""

    @abstractmethod
    def note_prompt_read(self, machine: DeliveryMachine, tokens: int, elapsed_s: float) -> None:
        """Note that the newest attempt's engine has read the prompt, and how fast."""

    @abstractmethod
    def note_slot_held(self, machine: DeliveryMachine, held_s: float) -> None:
        """Note for how long a request held a slot of its engine."""

    @abstractmethod
    def note_stream(self, view: EngineView, times: StreamTimes, now: float) -> None:
        """Note how fast the events of a whole stream came."""

    @abstractmethod
    def note_answer(self, view: EngineView, sent_at: float, requests: int, now: float) -> None:
        """Note a whole answer, where so many requests were at the engine with it."""

    @abstractmethod
    def note_not_run(self, machine: DeliveryMachine) -> None:
        """Note which runs of a request that ends were none."""


class DeliveryRun:
    """The state of one run: the machine, and the attempt that is open now."""

    def __init__(self, owner: DeliveryOwner, machine: DeliveryMachine, sink: AnswerSink) -> None:
        self._owner = owner
        self._machine = machine
        self._sink = sink
        self._attempt: EngineAttempt | None = None
        self._view: EngineView | None = None
        self._load = EngineLoad()
        self._times = AttemptTimes(0.0)
        self._tokens_ahead = 0
        self._requests_there = 0
        self._waited_before_s = 0.0
        self._body_released = False
        self._ended = False

    @property
    def caller_wait_s(self) -> float:
        """For how long this run stood still for its caller."""
        return self._sink.caller_wait_s

    async def drive(self, first: events.DeliveryEvent) -> None:
        """Feed events to the machine until it ends."""
        if self._ended:
            # The time is over, and the caller has not taken all of its answer.
            self._sink.break_off()
            return
        pending: deque[events.DeliveryEvent] = deque([first])
        while not self._ended:
            # Bytes that complete no event bring none.
            while not pending:
                pending.extend(await self._read())
            event = pending.popleft()
            for instruction in self._machine.handle(event):
                pending.extend(await self._carry_out(instruction))

    def close(self) -> None:
        """Close what is still open, and wait no more."""
        self._release()
        self._owner.lines.leave(self._machine.request)

    def _release(self) -> None:
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None
        if self._view is not None:
            self._view.own_load.add(self._load, -1)
            self._view = None
            self._owner.lines.capacity_freed(self._machine.request.service)

    def give_up(self) -> None:
        """Note that the caller has gone, unless the request had ended before."""
        if self._ended:
            return
        if self._view is not None:
            self._owner.run_given_up(self._machine, self._view, self._times)
        self._owner.note_not_run(self._machine)

    async def _read(self) -> list[events.DeliveryEvent]:
        assert self._attempt is not None
        return await self._noted(await self._until_overdue(self._attempt.read()))

    async def _until_overdue(
        self, reading: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Give up an attempt that has not begun when it no longer may."""
        if not self._load.waiting_tokens:
            return await reading
        return await self._owner.read_before_overdue(self._machine, reading)

    def _note_prompt_read(self) -> None:
        """Note that the prompt no longer waits, once the first event shows it."""
        if self._load.waiting_tokens and self._view is not None:
            self._view.own_load.waiting_tokens -= self._load.waiting_tokens
            self._load.waiting_tokens = 0
            elapsed_s = clock.now_s() - self._times.sent_at
            self._owner.note_prompt_read(self._machine, self._tokens_ahead, elapsed_s)

    async def _noted(self, found: list[events.DeliveryEvent]) -> list[events.DeliveryEvent]:
        for event in found:
            if isinstance(event, events.EventArrived):
                self._note_event(event)
            is_broken = isinstance(event, events.AttemptBroken)
            if is_broken and self._view is not None and self._left_unread():
                # What the engine did may be for its answer that was not read.
                self._view.breaker.record_abandoned()
            elif self._view is not None:
                self._owner.note(self._view, event, self._times.sent_at)
            self._owner.log.attempt_event(self._machine, event, self._times)
            if is_broken and self._view is not None and not self._left_unread():
                await self._owner.run_lost(self._machine, self._view, self._times)
        return found

    def _left_unread(self) -> bool:
        return self.caller_wait_s - self._waited_before_s > ENGINE_UNREAD_S

    def _note_event(self, arrived: events.EventArrived) -> None:
        now = clock.now_s()
        self._machine.times.note(arrived.event.event_id, now - self.caller_wait_s)
        if self._times.first_event_at is None:
            self._times.first_event_at = now
        self._note_prompt_read()

    async def _carry_out(
        self, instruction: events.DeliveryInstruction
    ) -> list[events.DeliveryEvent]:
        if isinstance(instruction, events.PassEvent):
            await self._sink.pass_bytes(instruction.event.data)
            return []
        if isinstance(instruction, events.StartAttempt):
            return await self._start(instruction)
        if isinstance(instruction, events.WaitForEngine):
            return [await self._wait_for_engine(instruction.for_room)]
        if isinstance(instruction, events.AbandonAttempt):
            self._release()
        elif isinstance(instruction, events.PassHead):
            self._release_body()
            await self._sink.pass_head(instruction)
        else:
            await self._end(instruction)
        return []

    def _release_body(self) -> None:
        """Let go of a large body that no engine gets any more while its answer goes on."""
        request = self._machine.request
        if len(request.body) >= LARGE_BODY_BYTES and not self._machine.needs_body:
            self._body_released = True
            request.release_body()
            self._sink.body_released()

    async def _start(self, start: events.StartAttempt) -> list[events.DeliveryEvent]:
        self._release()
        machine = self._machine
        if self._body_released:
            raise DeliveryInvariantError("a request was sent again without its body")
        self._owner.log.attempt_started(machine, start)
        first = len(machine.attempts) == 1
        if first:
            self._owner.metrics.record_sent(machine.request)
        self._view, self._attempt = self._owner.begin(machine.request, start, first)
        self._load = expected_load(machine.request, start.choice)
        self._times = AttemptTimes(clock.now_s())
        self._waited_before_s = self.caller_wait_s
        if self._view is not None:
            self._view.own_load.add(self._load)
            self._tokens_ahead = self._view.waiting_tokens
            self._requests_there = self._view.requests
        self._owner.lines.dispatched(machine.request)
        return await self._noted(await self._until_overdue(self._attempt.open()))

    async def _wait_for_engine(self, for_room: bool) -> events.DeliveryEvent:
        request = self._machine.request
        until = request.waits_until
        if clock.now_s() >= until:
            return events.WaitEnded()
        self._release()
        place = self._owner.place_in_line(request, until, for_room)
        if place is None:
            return events.WaitEnded()
        await self._owner.lines.wait(request, place)
        return events.Started() if clock.now_s() < until else events.WaitEnded()

    async def _end(self, ending: events.DeliveryInstruction) -> None:
        self._ended = True
        now = clock.now_s() - self.caller_wait_s
        held_s = self._machine.times.since_first_event_s(now)
        if isinstance(ending, events.FinishStream) and held_s is not None:
            self._owner.note_slot_held(self._machine, held_s)
        self._note_pace(ending)
        self._owner.log.request_ended(self._machine, ending)
        self._owner.metrics.record_end(self._machine, ending)
        self._owner.note_not_run(self._machine)
        self._owner.lines.leave(self._machine.request)
        if _is_served(ending):
            self._owner.note_served(self._machine.request)
        if isinstance(ending, events.PassAnswer):
            self.close()
            await self._sink.pass_answer(ending.answer)
        elif isinstance(ending, events.FinishStream):
            # The engine is done, however long the caller takes.
            self.close()
            await self._sink.finish()
        elif isinstance(ending, events.BreakOff):
            self._sink.break_off()
        elif isinstance(ending, events.RefuseRequest):
            await self._sink.refuse(ending)
        elif isinstance(ending, events.FailRequest):
            await self._sink.fail(ending)

    def _note_pace(self, ending: events.DeliveryInstruction) -> None:
        """Note how fast the engine worked, where one engine answered well."""
        view = self._view
        if view is None or len(self._machine.attempts) > 1 or not _is_served(ending):
            return
        now = clock.now_s()
        if isinstance(ending, events.FinishStream):
            self._owner.note_stream(view, self._machine.times, now)
        elif self._machine.request.prompt is None and _is_success(ending):
            self._owner.note_answer(view, self._times.sent_at, self._requests_there, now)


def _is_success(ending: events.DeliveryInstruction) -> bool:
    """Return whether an engine did what was asked: what it refuses takes it no time."""
    return isinstance(ending, events.PassAnswer) and ending.answer.status < FIRST_CLIENT_ERROR


def _is_served(ending: events.DeliveryInstruction) -> bool:
    """Return whether an engine ran a request to a good end."""
    if isinstance(ending, events.PassAnswer):
        return ending.answer.status < FIRST_SERVER_ERROR
    return isinstance(ending, events.FinishStream)


def expected_load(request: OpaqueRequest, choice: events.EngineChoice) -> EngineLoad:
    """Return what a request puts on the engine that was chosen for it."""
    prompt = request.prompt
    body_kilobytes = math.ceil(len(request.body) / BYTES_PER_KILOBYTE)
    if prompt is None:
        return EngineLoad(requests=1, body_kilobytes=body_kilobytes)
    resident = prompt.declared_tokens
    return EngineLoad(1, max(1, choice.expected_tokens), resident, body_kilobytes)
