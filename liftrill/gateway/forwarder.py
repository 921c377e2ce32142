"""Delivers requests to engines: the part that all deliveries of a node share."""

import asyncio
import math
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
from liftrill.gateway.begin_deadlines import BeginDeadlines
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import DeliveryMachine
from liftrill.gateway.delivery_driver import DeliveryDriver, DeliveryOwner
from liftrill.gateway.delivery_ports import DeliveryPorts, Unavailable
from liftrill.gateway.delivery_times import AttemptTimes, StreamTimes
from liftrill.gateway.engines.engine_end_check import EngineEndCheck
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.slot_attempt import SlotAttempt
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.paths.path_attempts import (
    ConfirmedAttempt,
    IncarnationCheck,
    ProxiedAttempt,
    TrackedAttempt,
)
from liftrill.gateway.quarantine import Quarantine
from liftrill.gateway.run_continuation import CloseEvidence
from liftrill.gateway.transport import EngineAttempt, EngineTransport, ResponseSink

# How long an engine that refused a request, for load or for its version, gets no new requests.
REFUSAL_BACKOFF_SECONDS = 0.15


def _always(now: float) -> bool:
    """Allow something at any time."""
    return True


def _never_waits(request: OpaqueRequest) -> bool:
    """Reserve free capacity for no other request."""
    return False


def _zero_wait_s(request: OpaqueRequest, now: float) -> float:
    """Assume that no request waits ahead."""
    return 0.0


class ForwardingPorts(DeliveryPorts):
    """Connects the state machine to engines, budgets and the quarantine.

    Attributes:
        state_is_current: whether this node's state is recent enough at a time to choose engines.
        speeds: measured speeds of engines.
        limits: rate limits that engines announced; their requests need permits.
        slots: slots of brittle engines; their requests need permits.
        paths: how this node reaches engines: over its own links or by peers.
        software_versions: selects engines by their software version.
        must_wait: whether capacity that may be free is due to another waiting request.
        retry_after: when callers refused for lack of capacity should retry.
        may_begin_at: whether the node may begin a request at a time.
    """

    def __init__(
        self,
        selector: EngineSelector,
        allowance: RetryAllowance,
        quotas: QuotaGate | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.state_is_current: Callable[[float], bool] = _always
        self.may_begin_at: Callable[[float], bool] = _always
        self.speeds = selector.speeds
        self.limits = selector.limits
        self.must_wait: Callable[[OpaqueRequest], bool] = _never_waits
        self.slots = selector.slots
        self.paths = selector.paths
        self.software_versions = selector.software_versions
        self.retry_after = RetryAfterPolicy(self._capacity_in_s, _zero_wait_s)
        self._selector = selector
        self._allowance = allowance
        self._quotas = quotas
        self._quarantine = quarantine

    def choose(
        self, request: OpaqueRequest, excluded: frozenset[str], may_wait: bool = True
    ) -> events.EngineChoice | Unavailable:
        """Return an engine whose id is not excluded, or why there is none.

        Whether it crashes engines is awaited only if it may wait, and else judged by what is known.
        """
        now = clock.now_s()
        # After a suspension of the machine, this check runs before the request's stopped timer.
        if now >= request.deadline:
            return Unavailable.TOO_LATE
        if not self.state_is_current(now):
            return Unavailable.NONE_READY
        reason = self._reason_not_to_send(request, not excluded, may_wait, now)
        # Neither a decision on the request nor free capacity would help.
        must_wait = reason in (Unavailable.NONE_READY, Unavailable.FULL)
        if must_wait and self._selector.lacks_version(request):
            return Unavailable.VERSION_GONE
        if reason is not None:
            return reason
        suspect = self._quarantine.suspect(request) if self._quarantine is not None else None
        if suspect is not None and may_wait and self._awaits_report(request, now):
            return Unavailable.NONE_READY
        choice = self._selector.choose(request, excluded, now, suspect)
        # The engines of one version say nothing about the capacity of the service.
        if request.required_software_version is None:
            has_no_capacity = choice in (Unavailable.FULL, Unavailable.PAUSED)
            self.retry_after.note_choice(request.service, has_no_capacity)
        return choice

    def _reason_not_to_send(
        self, request: OpaqueRequest, is_first: bool, may_wait: bool, now: float
    ) -> Unavailable | None:
        """Return why a request must not be sent to any engine now, or None if it may be."""
        if self._quarantine is not None:
            is_decided = self._quarantine.is_decided(request, now)
            if not is_decided and (may_wait or self._quarantine.would_refuse(request)):
                return Unavailable.NONE_READY
            if self._quarantine.remaining_s(request):
                return Unavailable.QUARANTINED
        # A request that an engine refused has waited already.
        return Unavailable.FULL if is_first and self.must_wait(request) else None

    def _awaits_report(self, request: OpaqueRequest, now: float) -> bool:
        """Return whether a report may be under way that an engine ended during a suspect."""
        down_since = self.paths.links.down_since
        return self._quarantine is not None and self._quarantine.awaits_report(
            request, down_since, now
        )

    def choose_again(
        self, request: OpaqueRequest, interrupted: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return the engine of an interrupted run for a new run, or None if it takes none."""
        others = self._selector.other_engines(request.service, interrupted.engine_id)
        choice = self.choose(request, others, may_wait=False)
        return choice if isinstance(choice, events.EngineChoice) else None

    def continue_at_backup(
        self, request: OpaqueRequest, interrupted: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return the backup's engine in its present state, or None if it cannot continue."""
        now = clock.now_s()
        if not self.state_is_current(now):
            return None
        if self._quarantine is not None and self._quarantine.remaining_s(request):
            return None
        return self._selector.continue_at_backup(request, interrupted, now)

    def begin_by(self, choice: events.EngineChoice, request: OpaqueRequest) -> float:
        """Return the time by which an attempt must have begun, on the steady clock."""
        return self._selector.begin_by(choice, request)

    def on_weights_published(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `begin_by` may have changed."""
        self._selector.on_weights_published(listener)

    def on_overload_change(self, listener: Callable[[OverloadChange], None]) -> None:
        """Call a listener whenever a service enters or leaves overload."""
        self._selector.guard.on_change = listener

    def wait_conditions(self, request: OpaqueRequest) -> QueueForecast:
        """Return what a request's queue entry has to take into account about the engines."""
        is_overloaded = self._selector.guard.is_overloaded(request.service)
        return QueueForecast(self._selector.prompt_prefill_s(request), is_overloaded)

    def may_begin(self) -> bool:
        """Return whether a request that no engine has received may be sent to one."""
        return self.may_begin_at(clock.now_s())

    def has_engine(self, request: OpaqueRequest, excluded: frozenset[str]) -> bool:
        """Return whether an engine that is not excluded takes requests, by any path."""
        return self._selector.has_ready(request, excluded, clock.now_s())

    def has_other_path(self, request: OpaqueRequest, choice: events.EngineChoice) -> bool:
        """Return whether to try an engine again that could not be reached by one path."""
        return self._selector.has_other_path(choice, request, clock.now_s())

    def try_spend_retry(self, request: OpaqueRequest) -> bool:
        """Take one retry from the retry budget of the request's service."""
        return self._allowance.try_spend(request.service, clock.now_s())

    def record_sent(self, choice: events.EngineChoice, request: OpaqueRequest, first: bool) -> None:
        """Record that a request is about to be sent to an engine, first or again."""
        now = clock.now_s()
        self._selector.parts.record_sent(choice, request, now)
        self.retry_after.note_sent(request.service, now)
        self._selector.guard.note_sent(request, choice.expected_prefill_tokens)
        if self._quotas is not None and not first:
            self._quotas.record_retry(request, now)

    def record_not_run(self, request: OpaqueRequest, runs: int) -> None:
        """Record how many of the runs charged for a request were not executed."""
        if self._quotas is not None:
            self._quotas.record_not_run(request, runs, clock.now_s())

    def record_prefill(
        self, choice: events.EngineChoice, request: OpaqueRequest, tokens: int, elapsed_s: float
    ) -> None:
        """Record a prefill, and the tokens processed in it, those queued before included."""
        now = clock.now_s()
        self._selector.parts.record_prefill(choice, request, now)
        # More urgent prompts overtake the engine's queue, so their times exclude the queued tokens.
        if not self._selector.guard.is_more_urgent(request):
            self.speeds.record_prefill(choice.engine_id, tokens, elapsed_s, now)

    def record_slot_time(self, request: OpaqueRequest, held_s: float) -> None:
        """Record for how long a request occupied a slot of its engine."""
        self._selector.slot_times.record(request.service, held_s)

    def retry_after_seconds(self, request: OpaqueRequest) -> float:
        """Return after how many seconds the caller of a refused request should retry."""
        if self._quarantine is not None and (remaining_s := self._quarantine.remaining_s(request)):
            return remaining_s
        now = clock.now_s()
        if return_s := self.software_versions.return_s(request, now):
            return return_s
        if self._selector.blocked_s(request.service, now):
            self.retry_after.note_choice(request.service, True)
        return self.retry_after.retry_after_s(request, now)

    def _capacity_in_s(self, request: OpaqueRequest) -> float:
        return self._selector.capacity_wait_s(request, clock.now_s())


def _ignore_stream(request: OpaqueRequest, choice: events.EngineChoice) -> None:
    """Ignore the start of a stream."""


def _ignore_prefill_start(view: EngineView, tokens: int) -> None:
    """Ignore the start of a prefill."""


class Forwarder(DeliveryOwner):
    """Delivers the requests of one node.

    Attributes:
        prefill_started: called with the engine and the tokens when a long prefill starts.
        on_stream_began: called with a request and its engine before the caller gets an event.
        end_check: checks whether the engine of a lost run has ended.
        incarnation_check: checks which incarnation of an engine wrote a response.
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
        ports.must_wait = self.queues.must_wait
        ports.software_versions.awaited = self.queues.awaited_software_versions
        self._queue_entries = QueueAdmission(
            self.queues, ports.retry_after.refused_requests, ports.wait_conditions, log
        )
        ports.retry_after.queue_wait_s = self._queue_entries.wait_s
        ports.on_overload_change(self._log_overload)
        self._quarantine = quarantine
        self.end_check = EngineEndCheck(transport, quarantine.engine_ended)
        self.end_check.on_replaced = quarantine.incarnation_ended
        self.incarnation_check = IncarnationCheck(transport, metrics)
        self.prefill_started: Callable[[EngineView, int], None] = _ignore_prefill_start
        self.on_stream_began = _ignore_stream
        self._engines = engines
        self._ports = ports
        self._allowance = allowance
        self._transport = transport
        self._begin_deadlines = BeginDeadlines()
        ports.on_weights_published(self._begin_deadlines.refresh)

    async def deliver(self, request: OpaqueRequest, sink: ResponseSink) -> None:
        """Deliver a request until it has ended or its caller has gone."""
        machine = DeliveryMachine(request, self._ports)
        driver = DeliveryDriver(self, machine, sink)
        remaining_s = max(0.0, request.deadline - clock.now_s())
        try:
            async with asyncio.timeout(remaining_s):
                await driver.drive(events.Started())
        except TimeoutError:
            await driver.drive(events.DeadlinePassed())
        except asyncio.CancelledError:
            self._record_caller_gone(machine, driver)
            raise
        except ConnectionResetError:
            # Raised only by the caller's connection; a lost engine connection is an event.
            self._record_caller_gone(machine, driver)
        except Exception as error:
            self.log.request_crashed(machine, error)
            self.metrics.count_outcome("crashed")
            raise
        finally:
            driver.close()

    def _record_caller_gone(self, machine: DeliveryMachine, driver: DeliveryDriver) -> None:
        driver.record_caller_gone()
        self.log.request_abandoned(machine)
        self.metrics.count_outcome("caller_gone")

    def new_queue_entry(
        self, request: OpaqueRequest, until: float, for_capacity: bool
    ) -> QueueEntry | None:
        """Return the queue entry of a waiting request, or None if waiting cannot help."""
        return self._queue_entries.entry(request, until, for_capacity, clock.now_s())

    def _log_overload(self, change: OverloadChange) -> None:
        depth, age_s = self.queues.depth_and_age_s(clock.now_s())
        self.log.state_changed(
            "overload" if change.overloaded else "overload_over",
            service=change.service,
            least_wait_ms=round(1000 * change.min_wait_s),
            good_wait_ms=round(1000 * change.max_timely_wait_s),
            waiting=depth,
            waiting_for_ms=round(1000 * age_s),
        )

    def begin_attempt(
        self,
        request: OpaqueRequest,
        start: events.StartAttempt,
        first: bool,
        may_move: Callable[[], bool],
    ) -> tuple[EngineView | None, EngineAttempt]:
        """Account for an attempt that is about to be sent, and prepare it."""
        now = clock.now_s()
        if first:
            self._allowance.record_request(request.service, now)
        view = self._engines.get(start.choice.engine_id)
        if view is not None:
            view.breaker.record_start(now)
            view.condition.note_sent(now)
            prefill_s = (
                start.choice.expected_prefill_tokens * self._ports.speeds.prefill_s_per_token(view)
            )
            if prefill_s >= constants.BROADCAST_PREFILL_MIN_S:
                self.prefill_started(view, start.choice.expected_prefill_tokens)
        self._ports.record_sent(start.choice, request, first)
        attempt = self._transport.attempt(request, start)
        if view is None:
            return None, attempt
        attempt.may_send = partial(self._may_send, view, start)
        if start.choice.slot is not None:
            attempt = SlotAttempt(attempt, partial(self._slot_freed, view))
        paths, proxy = self._ports.paths, start.choice.proxy
        if proxy is not None:
            self.metrics.proxied_attempts.inc()
            attempt = ProxiedAttempt(attempt, view.identity, proxy, paths.proxies)
        else:
            attempt = TrackedAttempt(attempt, view.identity, paths.links, may_move)
        if request.required_software_version is None:
            return view, attempt
        check = partial(self.incarnation_check.check, view, proxy is not None)
        return view, ConfirmedAttempt(attempt, check)

    def _may_send(self, view: EngineView, start: events.StartAttempt) -> bool:
        """Return whether an engine chosen earlier may still be sent the request now."""
        choice, now = start.choice, clock.now_s()
        if start.begins_run and not self._ports.may_begin_at(now):
            return False
        if not self._ports.state_is_current(now) or view.rejects_requests(now):
            return False
        if not self._ports.limits.may_send(view.identity, choice.permit, now):
            return False
        # A run that continues at its copy counts as the same run, and cannot wait for a slot.
        return choice.continues_at_backup or self._ports.slots.may_send(view, choice.slot, now)

    def _slot_freed(self, view: EngineView, was_rejected: bool) -> None:
        self._ports.slots.request_ended(view, was_rejected, clock.now_s())

    def refresh_begin_deadlines(self) -> None:
        """Recompute until when each attempt may begin."""
        self._begin_deadlines.refresh()

    async def read_before_overdue(
        self, machine: DeliveryMachine, pending_read: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        """Return the events of a read, or an interruption once the attempt must not begin."""
        begin_by = partial(self._ports.begin_by, machine.attempts[-1], machine.request)
        try:
            return await self._begin_deadlines.read_before(begin_by, pending_read)
        except TimeoutError:
            return [
                events.AttemptInterrupted(
                    "did not begin within the grace period of its weight version"
                )
            ]

    def record_attempt_event(
        self, view: EngineView, event: events.DeliveryEvent, sent_at: float
    ) -> None:
        """Update what is known of an engine from an event of an attempt sent at a time."""
        now = clock.now_s()
        if isinstance(event, events.AttemptRefused):
            self._record_refusal(view, event.kind, now)
        elif isinstance(event, events.AttemptInterrupted):
            if not event.was_closed:
                self.end_check.record_response_end(view, now)
            self._record_failure(view, now)
        elif isinstance(event, events.AttemptUnconfirmed):
            view.breaker.record_abandoned()
            if event.is_other:
                view.note_replaced()
        elif isinstance(event, events.CompleteResponse | events.EventReceived):
            view.breaker.record_success()
            view.condition.note_answered(sent_at)

    async def check_engine(
        self, machine: DeliveryMachine, view: EngineView
    ) -> events.EngineEvidence:
        """Find out, before the next attempt, what became of the engine of an interrupted run."""
        if self._quarantine.knows_end(view):
            return events.EngineEvidence.ENDED
        links = self._ports.paths.links
        for_stream = machine.may_continue and links.is_up(view.identity)
        is_proxied = machine.attempts[-1].proxy is not None
        evidence = await self.end_check.check(view, for_stream, is_direct=not is_proxied)
        if evidence is events.EngineEvidence.UNKNOWN and not links.is_up(view.identity):
            evidence = events.EngineEvidence.UNREACHED
        if is_proxied and evidence is events.EngineEvidence.UNREACHED:
            # The peer that passed on the request may reach the engine.
            return events.EngineEvidence.UNKNOWN
        return evidence

    async def check_closed(
        self, view: EngineView, times: events.CloseTimes, until: float = math.inf
    ) -> CloseEvidence:
        """Find out until a time what became of an engine after it closed a response."""
        return await self.end_check.check_closed(view, times, until)

    def run_lost(self, machine: DeliveryMachine, view: EngineView, times: AttemptTimes) -> None:
        """Record that a run was interrupted or closed early, in case its engine has ended."""
        # A leaving engine may exit while long runs are still on it: they did not crash it.
        if not view.leaving:
            self._quarantine.run_lost(machine.request, machine.attempts[-1], times, clock.now_s())

    def stream_began(self, machine: DeliveryMachine) -> None:
        """Report that the caller of a stream is about to get the first event of an answer."""
        self.on_stream_began(machine.request, machine.attempts[-1])

    def record_served(self, request: OpaqueRequest) -> None:
        """Record that an engine served a request."""
        self._quarantine.served(request, clock.now_s())

    def record_prompt_served(self, machine: DeliveryMachine) -> None:
        """Record that an engine went on running after it began to answer a prompt."""
        if machine.request.prompt is not None:
            self._quarantine.parts_served(machine.request, machine.attempts[-1], clock.now_s())

    def record_prefill(self, machine: DeliveryMachine, tokens: int, elapsed_s: float) -> None:
        """Record the prefill time of the newest attempt, and the tokens processed in it."""
        self._ports.record_prefill(machine.attempts[-1], machine.request, tokens, elapsed_s)
        self.queues.prefill_completed(machine.request.service)

    def record_slot_time(self, machine: DeliveryMachine, held_s: float) -> None:
        """Record for how long a request occupied a slot of its engine."""
        self._ports.record_slot_time(machine.request, held_s)

    def record_stream_speed(self, view: EngineView, times: StreamTimes, now: float) -> None:
        """Record the speed at which the events of a complete stream were received."""
        elapsed_s = times.last_event_at - times.first_event_at
        self._ports.speeds.record_stream(
            view, times.events - 1, elapsed_s, times.longest_pause_s, now
        )

    def record_response_speed(
        self, view: EngineView, sent_at: float, requests: int, now: float
    ) -> None:
        """Record the time of a complete response, and how many requests the engine had then."""
        self._ports.speeds.record_answer(view, now - sent_at, requests, now)

    def record_not_run(self, machine: DeliveryMachine) -> None:
        """Record how many of the runs charged for an ended request were not executed."""
        self._ports.record_not_run(machine.request, machine.unexecuted_runs)

    def _record_failure(self, view: EngineView, now: float) -> None:
        """Count a failure of an engine, unless it may be due to this node's link to it."""
        if self._ports.paths.links.is_up(view.identity):
            view.breaker.record_failure(now)
        else:
            view.breaker.record_abandoned()

    def _record_refusal(self, view: EngineView, kind: events.RefusalKind, now: float) -> None:
        if kind is events.RefusalKind.UNREACHABLE:
            self._record_failure(view, now)
        elif kind is events.RefusalKind.WRONG_INSTANCE:
            view.note_replaced()
        elif kind in (events.RefusalKind.WITHDRAWN, events.RefusalKind.PROXY_UNAVAILABLE):
            view.breaker.record_abandoned()
        else:
            view.breaker.record_abandoned()
            view.paused_until = max(view.paused_until, now + REFUSAL_BACKOFF_SECONDS)
