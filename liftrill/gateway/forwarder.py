"""Carries out what the delivery machine decides for one request."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

from liftrill import constants
from liftrill.gateway import delivery_events as events
from liftrill.gateway.begin_limits import BeginLimits
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import DeliveryMachine, DeliveryPorts, Unavailable
from liftrill.gateway.engine_selector import EngineSelector
from liftrill.gateway.engine_table import EngineLoad, EngineTable, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.quota_gate import QuotaGate
from liftrill.gateway.retry_allowance import RetryAllowance
from liftrill.gateway.transport import AnswerSink, EngineAttempt, EngineTransport

# For how long an engine that refused for load or an order gets no new requests.
REFUSED_PAUSE_SECONDS = 0.15
WAIT_STEP_SECONDS = 0.06
# When a refused caller is to come back; what is missing is mostly there by then.
RETRY_AFTER_TARGET_SHARE = 0.5
SHORTEST_RETRY_AFTER_SECONDS = 0.2
LONGEST_RETRY_AFTER_SECONDS = 2.0
# The same while engines are overloaded.
OVERLOAD_RETRY_AFTER_S = (0.5, 1.5)


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


class ForwardingPorts(DeliveryPorts):
    """The machine's view of engines and budgets."""

    def __init__(
        self,
        selector: EngineSelector,
        allowance: RetryAllowance,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._selector = selector
        self._allowance = allowance
        self._quotas = quotas

    def choose(
        self, request: OpaqueRequest, excluded: frozenset[str]
    ) -> events.EngineChoice | Unavailable:
        """Return an engine outside a set of engines already tried."""
        return self._selector.choose(request, excluded, time.monotonic())

    def continue_at_backup(
        self, request: OpaqueRequest, broken: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return the backup's engine as it is now, or None if it takes nothing."""
        return self._selector.continue_at_backup(request, broken, time.monotonic())

    def begin_by(self, choice: events.EngineChoice, request: OpaqueRequest) -> float:
        """Return until when a request may begin where it was sent, on the steady clock."""
        return self._selector.begin_by(choice, request)

    def when_weights_named(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `begin_by` may have changed."""
        self._selector.when_weights_named(listener)

    def try_spend_retry(self, request: OpaqueRequest) -> bool:
        """Spend one repeat of the service's budget."""
        return self._allowance.try_spend(request.service, time.monotonic())

    def record_sent(self, choice: events.EngineChoice, request: OpaqueRequest, first: bool) -> None:
        """Note that an engine is about to get a request, for the first time or again."""
        now = time.monotonic()
        self._selector.parts.record_sent(choice, request, now)
        if self._quotas is not None and not first:
            self._quotas.record_repeat(request, now)

    def record_not_run(self, request: OpaqueRequest) -> None:
        """Note that a request ends without having run."""
        if self._quotas is not None:
            self._quotas.record_not_run(request, time.monotonic())

    def record_read(
        self, choice: events.EngineChoice, request: OpaqueRequest, tokens: int, elapsed_s: float
    ) -> None:
        """Note that an engine has read a prompt, and some tokens with what waited before."""
        self._selector.parts.record_read(choice, request, time.monotonic())
        self._selector.rates.record(request.service, tokens, elapsed_s)

    def record_slot_held(self, request: OpaqueRequest, held_s: float) -> None:
        """Note for how long a request held a slot of its engine."""
        self._selector.slot_times.record(request.service, held_s)

    def retry_after_seconds(self, request: OpaqueRequest) -> float:
        """Return when a refused caller should come back."""
        if self._selector.guard.stands(request.service):
            # Those who are told to come back must not come back together.
            return random.uniform(*OVERLOAD_RETRY_AFTER_S)
        share = RETRY_AFTER_TARGET_SHARE * request.route.target_seconds
        return min(max(share, SHORTEST_RETRY_AFTER_SECONDS), LONGEST_RETRY_AFTER_SECONDS)


def _tell_nobody(view: EngineView, tokens: int) -> None:
    """Leave a reading untold."""


class Forwarder:
    """Delivers requests; one for each node.

    Attributes:
        reading_begun: whom to tell of an engine and the tokens of a long prompt sent to it.
    """

    def __init__(
        self,
        engines: EngineTable,
        ports: ForwardingPorts,
        allowance: RetryAllowance,
        transport: EngineTransport,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.engine_signal = EngineSignal()
        self.reading_begun: Callable[[EngineView, int], None] = _tell_nobody
        self.log = log
        self.metrics = metrics
        self._engines = engines
        self._ports = ports
        self._allowance = allowance
        self._transport = transport
        self._limits = BeginLimits()
        ports.when_weights_named(self._limits.renew)

    async def deliver(self, request: OpaqueRequest, sink: AnswerSink) -> None:
        """Bring a request to its end."""
        machine = DeliveryMachine(request, self._ports)
        delivery = _Delivery(self, machine, sink)
        left = max(0.0, request.deadline - time.monotonic())
        try:
            async with asyncio.timeout(left):
                await delivery.drive(events.Started())
        except TimeoutError:
            await delivery.drive(events.DeadlinePassed())
        except asyncio.CancelledError:
            self._note_caller_gone(machine)
            raise
        except ConnectionResetError:
            # Only the caller's connection can end so: an engine's end is an event.
            self._note_caller_gone(machine)
        except Exception as error:
            self.log.request_crashed(machine, error)
            self.metrics.count_outcome("crashed")
            raise
        finally:
            delivery.close()

    def _note_caller_gone(self, machine: DeliveryMachine) -> None:
        self.log.request_abandoned(machine)
        self.metrics.count_outcome("caller_gone")

    def begin(
        self, request: OpaqueRequest, start: events.StartAttempt, first: bool
    ) -> tuple[EngineView | None, EngineAttempt]:
        """Account for an attempt that is about to be sent."""
        now = time.monotonic()
        if first:
            self._allowance.record_request(request.service, now)
        view = self._engines.get(start.choice.engine_id)
        if view is not None:
            view.breaker.record_start(now)
            if start.choice.expected_tokens >= constants.TOLD_READING_TOKENS:
                self.reading_begun(view, start.choice.expected_tokens)
        self._ports.record_sent(start.choice, request, first)
        return view, self._transport.attempt(request, start)

    async def read_before_overdue(
        self, machine: DeliveryMachine, reading: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return what a read tells, or the end of an attempt that may no longer begin."""
        begin_by = partial(self._ports.begin_by, machine.attempts[-1], machine.request)
        try:
            return await self._limits.read_before(begin_by, reading)
        except TimeoutError:
            return [events.AttemptBroken("not begun before its weights went out of use")]

    def note(self, view: EngineView, event: events.DeliveryEvent) -> None:
        """Learn about an engine from what an attempt told."""
        now = time.monotonic()
        if isinstance(event, events.AttemptRefused):
            self._note_refusal(view, event.kind, now)
        elif isinstance(event, events.AttemptBroken):
            view.breaker.record_failure(now)
        elif isinstance(event, events.WholeAnswer | events.EventArrived):
            view.breaker.record_success()

    def note_prompt_read(self, machine: DeliveryMachine, tokens: int, elapsed_s: float) -> None:
        """Note that the newest attempt's engine has read the prompt, and how fast."""
        self._ports.record_read(machine.attempts[-1], machine.request, tokens, elapsed_s)
        self.engine_signal.notify()

    def note_slot_held(self, machine: DeliveryMachine, held_s: float) -> None:
        """Note for how long a request held a slot of its engine."""
        self._ports.record_slot_held(machine.request, held_s)

    def note_not_run(self, request: OpaqueRequest) -> None:
        """Note that a request ends without having run."""
        self._ports.record_not_run(request)

    def _note_refusal(self, view: EngineView, kind: events.RefusalKind, now: float) -> None:
        if kind is events.RefusalKind.UNREACHABLE:
            view.breaker.record_failure(now)
        elif kind is events.RefusalKind.WRONG_INSTANCE:
            view.leaving = True
        else:
            view.breaker.record_abandoned()
            view.loading_until = max(view.loading_until, now + REFUSED_PAUSE_SECONDS)


class _Delivery:
    """The state of one run: the machine, and the attempt that is open now."""

    def __init__(self, forwarder: Forwarder, machine: DeliveryMachine, sink: AnswerSink) -> None:
        self._forwarder = forwarder
        self._machine = machine
        self._sink = sink
        self._attempt: EngineAttempt | None = None
        self._view: EngineView | None = None
        self._load = EngineLoad()
        self._started_at = 0.0
        self._tokens_ahead = 0
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
            self._forwarder.engine_signal.notify()

    async def _read(self) -> list[events.DeliveryEvent]:
        assert self._attempt is not None
        return self._noted(await self._until_overdue(self._attempt.read()))

    async def _until_overdue(
        self, reading: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Give up an attempt that has not begun when it no longer may."""
        if not self._load.waiting_tokens:
            return await reading
        return await self._forwarder.read_before_overdue(self._machine, reading)

    def _note_prompt_read(self) -> None:
        """Note that the prompt no longer waits, once the first event shows it."""
        if self._load.waiting_tokens and self._view is not None:
            self._view.own_load.waiting_tokens -= self._load.waiting_tokens
            self._load.waiting_tokens = 0
            elapsed_s = time.monotonic() - self._started_at
            self._forwarder.note_prompt_read(self._machine, self._tokens_ahead, elapsed_s)

    def _noted(self, found: list[events.DeliveryEvent]) -> list[events.DeliveryEvent]:
        for event in found:
            if isinstance(event, events.EventArrived):
                self._machine.times.note(event.event.event_id, time.monotonic())
                self._note_prompt_read()
            if self._view is not None:
                self._forwarder.note(self._view, event)
            self._forwarder.log.attempt_event(self._machine, event)
        return found

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
        self._forwarder.log.attempt_started(machine, start)
        first = len(machine.attempts) == 1
        self._view, self._attempt = self._forwarder.begin(machine.request, start, first)
        self._load = expected_load(machine.request, start.choice)
        self._started_at = time.monotonic()
        if self._view is not None:
            self._view.own_load.add(self._load)
            self._tokens_ahead = self._view.waiting_tokens
        return self._noted(await self._until_overdue(self._attempt.open()))

    async def _wait_for_engine(self) -> events.DeliveryEvent:
        request = self._machine.request
        share = constants.ENGINE_WAIT_TARGET_SHARE
        until = request.received_at + share * request.route.target_seconds
        left = until - time.monotonic()
        if left <= 0:
            return events.WaitEnded()
        self.close()
        # What an engine refused for passes without a signal, so it is asked again now and then.
        with suppress(TimeoutError):
            async with asyncio.timeout(min(left, WAIT_STEP_SECONDS)):
                await self._forwarder.engine_signal.wait()
        return events.Started() if time.monotonic() < until else events.WaitEnded()

    async def _end(self, ending: events.DeliveryInstruction) -> None:
        self._ended = True
        held_s = self._machine.times.since_first_event_s(time.monotonic())
        if isinstance(ending, events.FinishStream) and held_s is not None:
            self._forwarder.note_slot_held(self._machine, held_s)
        self._forwarder.log.request_ended(self._machine, ending)
        self._forwarder.metrics.record_end(self._machine, ending)
        if isinstance(ending, events.PassAnswer):
            self.close()
            await self._sink.pass_answer(ending.answer)
        elif isinstance(ending, events.FinishStream):
            await self._sink.finish()
        elif isinstance(ending, events.BreakOff):
            self._sink.break_off()
        elif isinstance(ending, events.RefuseRequest):
            self._forwarder.note_not_run(self._machine.request)
            await self._sink.refuse(ending)
        elif isinstance(ending, events.FailRequest):
            await self._sink.fail(ending)


def expected_load(request: OpaqueRequest, choice: events.EngineChoice) -> EngineLoad:
    """Return what a request puts on the engine that was chosen for it."""
    prompt = request.prompt
    if prompt is None:
        return EngineLoad(requests=1)
    resident = prompt.prompt_tokens + prompt.output_tokens
    return EngineLoad(1, max(1, choice.expected_tokens), resident)
