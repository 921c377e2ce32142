"""Delivers requests: what all deliveries of a node share, and what they ask of it."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from liftrill import clock, constants
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.overload import OverloadChange
from liftrill.gateway.admission.queue_admission import QueueAdmission, QueueForecast
from liftrill.gateway.admission.quota_gate import QuotaGate
from liftrill.gateway.admission.request_queue import QueueEntry
from liftrill.gateway.admission.retry_after import RetryAfterPolicy
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.begin_limits import BeginLimits
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import (
    AttemptTimes,
    DeliveryMachine,
    DeliveryPorts,
    StreamTimes,
    Unavailable,
)
from liftrill.gateway.delivery_run import DeliveryOwner, DeliveryRun
from liftrill.gateway.engines.engine_end_check import EngineEndCheck
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.quarantine import Quarantine
from liftrill.gateway.transport import AnswerSink, EngineAttempt, EngineTransport

# For how long an engine that refused for load or an order gets no new requests.
REFUSED_PAUSE_SECONDS = 0.15


def _always(now: float) -> bool:
    """Take the beliefs for current."""
    return True


def _never(request: OpaqueRequest) -> bool:
    """Take no place that may be free for someone else's."""
    return False


def _no_wait_s(request: OpaqueRequest, now: float) -> float:
    """Take nobody to wait before a request."""
    return 0.0


class ForwardingPorts(DeliveryPorts):
    """The machine's view of engines and budgets.

    Attributes:
        beliefs_hold: whether engines may be chosen by what is believed at a time.
        speeds: how fast engines work.
        limits: of engines that get requests with permits only.
        must_wait: whether a place that may be free is for another request that waits.
        coming_back: when callers that were refused for want of room are to come back.
    """

    def __init__(
        self,
        selector: EngineSelector,
        allowance: RetryAllowance,
        quotas: QuotaGate | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.beliefs_hold: Callable[[float], bool] = _always
        self.speeds = selector.speeds
        self.limits = selector.limits
        self.must_wait: Callable[[OpaqueRequest], bool] = _never
        self.coming_back = RetryAfterPolicy(self._room_in_s, _no_wait_s)
        self._selector = selector
        self._allowance = allowance
        self._quotas = quotas
        self._quarantine = quarantine

    def choose(
        self, request: OpaqueRequest, excluded: frozenset[str]
    ) -> events.EngineChoice | Unavailable:
        """Return an engine outside a set of engines already tried."""
        now = clock.now_s()
        # A machine that slept reads this before the request's timer, which stood still, ends it.
        if now >= request.deadline:
            return Unavailable.TOO_LATE
        if not self.beliefs_hold(now):
            return Unavailable.NONE_READY
        barred = self._barred(request, now)
        if barred is not None:
            return barred
        # One that an engine turned away has waited already.
        if not excluded and self.must_wait(request):
            return Unavailable.FULL
        is_suspect = self._quarantine is not None and self._quarantine.is_suspect(request)
        choice = self._selector.choose(request, excluded, now, is_suspect)
        has_no_room = choice in (Unavailable.FULL, Unavailable.RESTING)
        self.coming_back.note_choice(request.service, has_no_room)
        return choice

    def _barred(self, request: OpaqueRequest, now: float) -> Unavailable | None:
        """Return why a request under which engines may end is sent nowhere now, or None."""
        if self._quarantine is None:
            return None
        if not self._quarantine.is_judged(request, now):
            return Unavailable.NONE_READY
        return Unavailable.QUARANTINED if self._quarantine.left_s(request) else None

    def continue_at_backup(
        self, request: OpaqueRequest, broken: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return the backup's engine as it is now, or None if it takes nothing."""
        now = clock.now_s()
        if not self.beliefs_hold(now):
            return None
        if self._quarantine is not None and self._quarantine.left_s(request):
            return None
        return self._selector.continue_at_backup(request, broken, now)

    def begin_by(self, choice: events.EngineChoice, request: OpaqueRequest) -> float:
        """Return until when a request may begin where it was sent, on the steady clock."""
        return self._selector.begin_by(choice, request)

    def when_weights_named(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `begin_by` may have changed."""
        self._selector.when_weights_named(listener)

    def when_overload_turns(self, listener: Callable[[OverloadChange], None]) -> None:
        """Call a listener whenever a service enters or leaves overload."""
        self._selector.guard.on_change = listener

    def outlook(self, request: OpaqueRequest) -> QueueForecast:
        """Return what engines mean for a request that waits."""
        is_overloaded = self._selector.guard.is_overloaded(request.service)
        return QueueForecast(self._selector.prompt_read_s(request), is_overloaded)

    def try_spend_retry(self, request: OpaqueRequest) -> bool:
        """Spend one repeat of the service's budget."""
        return self._allowance.try_spend(request.service, clock.now_s())

    def record_sent(self, choice: events.EngineChoice, request: OpaqueRequest, first: bool) -> None:
        """Note that an engine is about to get a request, for the first time or again."""
        now = clock.now_s()
        self._selector.parts.record_sent(choice, request, now)
        self.coming_back.note_sent(request.service, now)
        self._selector.guard.note_sent(request, choice.expected_tokens)
        if self._quotas is not None and not first:
            self._quotas.record_retry(request, now)

    def record_not_run(self, request: OpaqueRequest, runs: int) -> None:
        """Note how many runs that a request was counted for were none."""
        if self._quotas is not None:
            self._quotas.record_not_run(request, runs, clock.now_s())

    def record_read(
        self, choice: events.EngineChoice, request: OpaqueRequest, tokens: int, elapsed_s: float
    ) -> None:
        """Note that an engine has read a prompt, and some tokens with what waited before."""
        now = clock.now_s()
        self._selector.parts.record_read(choice, request, now)
        # More urgent ones are read before what waits there, so they show nothing of its wait.
        if not self._selector.guard.is_more_urgent(request):
            self.speeds.record_read(choice.engine_id, tokens, elapsed_s, now)

    def record_slot_held(self, request: OpaqueRequest, held_s: float) -> None:
        """Note for how long a request held a slot of its engine."""
        self._selector.slot_times.record(request.service, held_s)

    def retry_after_seconds(self, request: OpaqueRequest) -> float:
        """Return when a refused caller should come back."""
        if self._quarantine is not None and (left_s := self._quarantine.left_s(request)):
            return left_s
        now = clock.now_s()
        if self._selector.blocked_s(request.service, now):
            self.coming_back.note_choice(request.service, True)
        return self.coming_back.retry_after_s(request, now)

    def _room_in_s(self, request: OpaqueRequest) -> float:
        return self._selector.capacity_wait_s(request, clock.now_s())


def _tell_nobody(view: EngineView, tokens: int) -> None:
    """Leave a reading untold."""


class Forwarder(DeliveryOwner):
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
        quarantine: Quarantine,
    ) -> None:
        super().__init__(log, metrics)
        ports.must_wait = self.lines.must_wait
        self._places = QueueAdmission(
            self.lines, ports.coming_back.refused_requests, ports.outlook, log
        )
        ports.coming_back.queue_wait_s = self._places.wait_s
        ports.when_overload_turns(self._tell_overload)
        self._quarantine = quarantine
        self._end_check = EngineEndCheck(transport, quarantine.engine_ended)
        self.reading_begun: Callable[[EngineView, int], None] = _tell_nobody
        self._engines = engines
        self._ports = ports
        self._allowance = allowance
        self._transport = transport
        self._limits = BeginLimits()
        ports.when_weights_named(self._limits.renew)

    async def deliver(self, request: OpaqueRequest, sink: AnswerSink) -> None:
        """Bring a request to its end."""
        machine = DeliveryMachine(request, self._ports)
        run = DeliveryRun(self, machine, sink)
        left = max(0.0, request.deadline - clock.now_s())
        try:
            async with asyncio.timeout(left):
                await run.drive(events.Started())
        except TimeoutError:
            await run.drive(events.DeadlinePassed())
        except asyncio.CancelledError:
            self._note_caller_gone(machine, run)
            raise
        except ConnectionResetError:
            # Only the caller's connection can end so: an engine's end is an event.
            self._note_caller_gone(machine, run)
        except Exception as error:
            self.log.request_crashed(machine, error)
            self.metrics.count_outcome("crashed")
            raise
        finally:
            run.close()

    def _note_caller_gone(self, machine: DeliveryMachine, run: DeliveryRun) -> None:
        run.give_up()
        self.log.request_abandoned(machine)
        self.metrics.count_outcome("caller_gone")

    def place_in_line(
        self, request: OpaqueRequest, until: float, for_room: bool
    ) -> QueueEntry | None:
        """Return what a request waits with, or None where waiting is in vain."""
        return self._places.entry(request, until, for_room, clock.now_s())

    def _tell_overload(self, turn: OverloadChange) -> None:
        depth, age_s = self.lines.depth_and_age_s(clock.now_s())
        self.log.belief(
            "overload" if turn.overloaded else "overload_over",
            service=turn.service,
            least_wait_ms=round(1000 * turn.least_wait_s),
            good_wait_ms=round(1000 * turn.good_wait_s),
            waiting=depth,
            waiting_for_ms=round(1000 * age_s),
        )

    def begin(
        self, request: OpaqueRequest, start: events.StartAttempt, first: bool
    ) -> tuple[EngineView | None, EngineAttempt]:
        """Account for an attempt that is about to be sent."""
        now = clock.now_s()
        if first:
            self._allowance.record_request(request.service, now)
        view = self._engines.get(start.choice.engine_id)
        if view is not None:
            view.breaker.record_start(now)
            view.condition.note_sent(now)
            reading_s = start.choice.expected_tokens * self._ports.speeds.read_s_per_token(view)
            if reading_s >= constants.TOLD_READING_LEAST_S:
                self.reading_begun(view, start.choice.expected_tokens)
        self._ports.record_sent(start.choice, request, first)
        attempt = self._transport.attempt(request, start)
        if view is not None:
            attempt.may_send = partial(self._may_send, view, start.choice)
        return view, attempt

    def _may_send(self, view: EngineView, choice: events.EngineChoice) -> bool:
        """Return whether an engine that was chosen before still takes what is sent to it now."""
        now = clock.now_s()
        if not self._ports.beliefs_hold(now) or view.rejects_requests(now):
            return False
        return self._ports.limits.may_send(view.identity, choice.permit, now)

    def renew_limits(self) -> None:
        """Look anew until when each attempt may begin."""
        self._limits.renew()

    async def read_before_overdue(
        self, machine: DeliveryMachine, reading: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return what a read tells, or the end of an attempt that may no longer begin."""
        begin_by = partial(self._ports.begin_by, machine.attempts[-1], machine.request)
        try:
            return await self._limits.read_before(begin_by, reading)
        except TimeoutError:
            return [events.AttemptBroken("not begun before its weights went out of use")]

    def note(self, view: EngineView, event: events.DeliveryEvent, sent_at: float) -> None:
        """Learn about an engine from what an attempt told that was sent at a time."""
        now = clock.now_s()
        if isinstance(event, events.AttemptRefused):
            self._note_refusal(view, event.kind, now)
        elif isinstance(event, events.AttemptBroken):
            view.breaker.record_failure(now)
        elif isinstance(event, events.WholeAnswer | events.EventArrived):
            view.breaker.record_success()
            view.condition.note_answered(sent_at)

    async def run_lost(
        self, machine: DeliveryMachine, view: EngineView, times: AttemptTimes
    ) -> None:
        """Find out whether the engine of a run that broke has ended, before the next send."""
        # An engine that leaves may end with runs that take too long: they are not its end's cause.
        if view.leaving:
            return
        self._quarantine.run_lost(machine.request, view, times, clock.now_s())
        if not self._quarantine.knows_end(view):
            await self._end_check.check(view)

    def run_given_up(self, machine: DeliveryMachine, view: EngineView, times: AttemptTimes) -> None:
        """Note that a run is closed before its end: what it does to its engine is not seen."""
        if not view.leaving:
            self._quarantine.run_lost(machine.request, view, times, clock.now_s())

    def note_served(self, request: OpaqueRequest) -> None:
        """Note that an engine served a request."""
        self._quarantine.served(request, clock.now_s())

    def note_prompt_read(self, machine: DeliveryMachine, tokens: int, elapsed_s: float) -> None:
        """Note that the newest attempt's engine has read the prompt, and how fast."""
        self._ports.record_read(machine.attempts[-1], machine.request, tokens, elapsed_s)
        self.lines.prompt_read(machine.request.service)

    def note_slot_held(self, machine: DeliveryMachine, held_s: float) -> None:
        """Note for how long a request held a slot of its engine."""
        self._ports.record_slot_held(machine.request, held_s)

    def note_stream(self, view: EngineView, times: StreamTimes, now: float) -> None:
        """Note how fast the events of a whole stream came."""
        elapsed_s = times.last_event_at - times.first_event_at
        self._ports.speeds.record_stream(
            view, times.events - 1, elapsed_s, times.longest_pause_s, now
        )

    def note_answer(self, view: EngineView, sent_at: float, requests: int, now: float) -> None:
        """Note a whole answer, where so many requests were at the engine with it."""
        self._ports.speeds.record_answer(view, now - sent_at, requests, now)

    def note_not_run(self, machine: DeliveryMachine) -> None:
        """Note which runs of a request that ends were none."""
        self._ports.record_not_run(machine.request, machine.refuted_runs)

    def _note_refusal(self, view: EngineView, kind: events.RefusalKind, now: float) -> None:
        if kind is events.RefusalKind.UNREACHABLE:
            view.breaker.record_failure(now)
        elif kind is events.RefusalKind.WRONG_INSTANCE:
            view.gone = True
        elif kind is events.RefusalKind.WITHDRAWN:
            view.breaker.record_abandoned()
        else:
            view.breaker.record_abandoned()
            view.paused_until = max(view.paused_until, now + REFUSED_PAUSE_SECONDS)
