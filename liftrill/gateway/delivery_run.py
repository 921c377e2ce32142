"""The run of one delivery: the machine's instructions, carried out on one attempt at a time."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable
from contextlib import suppress

from liftrill import clock, constants
from liftrill.gateway import delivery_events as events
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import (
    FIRST_SERVER_ERROR,
    AttemptTimes,
    DeliveryMachine,
    StreamTimes,
)
from liftrill.gateway.engines.engine_table import EngineLoad, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.transport import AnswerSink, EngineAttempt

WAIT_STEP_SECONDS = 0.06
FIRST_CLIENT_ERROR = 400


class EngineSignal:
    """Wakes all requests that wait for an engine."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake whoever waits now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()


class DeliveryOwner(ABC):
    """What all deliveries of one node share, and whom they tell what they learn.

    Attributes:
        engine_signal: wakes requests that wait for an engine.
    """

    def __init__(self, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self.engine_signal = EngineSignal()
        self.log = log
        self.metrics = metrics

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
    def note(self, view: EngineView, event: events.DeliveryEvent) -> None:
        """Learn about an engine from what an attempt told."""

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
    def note_not_run(self, request: OpaqueRequest) -> None:
        """Note that a request ends without having run."""


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
        self._ended = False

    async def drive(self, first: events.DeliveryEvent) -> None:
        """Feed events to the machine until it ends."""
        pending: deque[events.DeliveryEvent] = deque([first])
        while not self._ended:
            # Bytes that complete no event bring none.
            while not pending:
                pending.extend(await self._read())
            event = pending.popleft()
            for instruction in self._machine.handle(event):
                pending.extend(await self._carry_out(instruction))

    def close(self) -> None:
        """Close what is still open."""
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None
        if self._view is not None:
            self._view.own_load.add(self._load, -1)
            self._view = None
            self._owner.engine_signal.notify()

    def give_up(self) -> None:
        """Note that the caller has gone."""
        if self._view is not None:
            self._owner.run_given_up(self._machine, self._view, self._times)

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
            if self._view is not None:
                self._owner.note(self._view, event)
            self._owner.log.attempt_event(self._machine, event, self._times)
            if isinstance(event, events.AttemptBroken) and self._view is not None:
                await self._owner.run_lost(self._machine, self._view, self._times)
        return found

    def _note_event(self, arrived: events.EventArrived) -> None:
        now = clock.now_s()
        self._machine.times.note(arrived.event.event_id, now)
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
            return [await self._wait_for_engine()]
        if isinstance(instruction, events.AbandonAttempt):
            self.close()
        elif isinstance(instruction, events.PassHead):
            await self._sink.pass_head(instruction)
        else:
            await self._end(instruction)
        return []

    async def _start(self, start: events.StartAttempt) -> list[events.DeliveryEvent]:
        self.close()
        machine = self._machine
        self._owner.log.attempt_started(machine, start)
        first = len(machine.attempts) == 1
        self._view, self._attempt = self._owner.begin(machine.request, start, first)
        self._load = expected_load(machine.request, start.choice)
        self._times = AttemptTimes(clock.now_s())
        if self._view is not None:
            self._view.own_load.add(self._load)
            self._tokens_ahead = self._view.waiting_tokens
            self._requests_there = self._view.requests
        return await self._noted(await self._until_overdue(self._attempt.open()))

    async def _wait_for_engine(self) -> events.DeliveryEvent:
        request = self._machine.request
        share = constants.ENGINE_WAIT_TARGET_SHARE
        until = request.received_at + share * request.route.target_seconds
        left = until - clock.now_s()
        if left <= 0:
            return events.WaitEnded()
        self.close()
        # What an engine refused for passes without a signal, so it is asked again now and then.
        with suppress(TimeoutError):
            async with asyncio.timeout(min(left, WAIT_STEP_SECONDS)):
                await self._owner.engine_signal.wait()
        return events.Started() if clock.now_s() < until else events.WaitEnded()

    async def _end(self, ending: events.DeliveryInstruction) -> None:
        self._ended = True
        held_s = self._machine.times.since_first_event_s(clock.now_s())
        if isinstance(ending, events.FinishStream) and held_s is not None:
            self._owner.note_slot_held(self._machine, held_s)
        self._note_pace(ending)
        self._owner.log.request_ended(self._machine, ending)
        self._owner.metrics.record_end(self._machine, ending)
        if _is_served(ending):
            self._owner.note_served(self._machine.request)
        if isinstance(ending, events.PassAnswer):
            self.close()
            await self._sink.pass_answer(ending.answer)
        elif isinstance(ending, events.FinishStream):
            await self._sink.finish()
        elif isinstance(ending, events.BreakOff):
            self._sink.break_off()
        elif isinstance(ending, events.RefuseRequest):
            self._owner.note_not_run(self._machine.request)
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
    if prompt is None:
        return EngineLoad(requests=1)
    resident = prompt.prompt_tokens + prompt.output_tokens
    return EngineLoad(1, max(1, choice.expected_tokens), resident)
