"""Performs the I/O of a request: executes the instructions of its state machine."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Coroutine

from liftrill import clock
from liftrill.errors import LiftrillError
from liftrill.node.dispatcher import Dispatcher, WaitRefusedError
from liftrill.node.engine_client import (
    AttemptBrokenError,
    AttemptRefusedError,
    EngineClient,
    EngineStream,
)
from liftrill.node.metrics import NodeMetrics
from liftrill.routing import events
from liftrill.routing.engine_state import EngineState, EngineTable
from liftrill.routing.outcome import Completed, Outcome
from liftrill.routing.request_state_machine import RequestStateMachine


class CallerGoneError(LiftrillError):
    """The caller closed its connection."""


class TokenSink(ABC):
    """Receives the tokens of a request."""

    @abstractmethod
    async def deliver(self, tokens: list[events.DeliverToken]) -> None:
        """Deliver tokens to the caller; wait while the connection's buffer is full.

        Raises:
            CallerGoneError: the caller closed its connection.
        """


class RequestRunner:
    """Runs the requests of a node."""

    def __init__(
        self,
        engines: EngineTable,
        client: EngineClient,
        dispatcher: Dispatcher,
        metrics: NodeMetrics,
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self._engines = engines
        self._client = client
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._spawn = spawn

    async def run(self, machine: RequestStateMachine, sink: TokenSink) -> Outcome:
        """Run a request until it completes, fails or reaches its deadline.

        Raises:
            asyncio.CancelledError: the caller disconnected; the attempt has been cancelled.
        """
        request_run = _RequestRun(self, machine, sink)
        try:
            async with asyncio.timeout(max(0.0, machine.request.deadline - clock.now_s())):
                outcome = await request_run.drive(events.DispatchPermitted())
            self._record_outcome(machine, outcome)
            return outcome
        except TimeoutError:
            return request_run.finish(events.DeadlinePassed())
        except CallerGoneError:
            return request_run.finish(events.CallerDisconnected())
        except asyncio.CancelledError:
            request_run.finish(events.CallerDisconnected())
            raise
        finally:
            self._dispatcher.router.record_abandoned(machine.request)
            request_run.close()

    def _record_outcome(self, machine: RequestStateMachine, outcome: Outcome) -> None:
        """Report the outcome to the router, and export a prefix if the router advises it.

        A request that failed or had several attempts is recorded as abandoned.
        """
        router = self._dispatcher.router
        if not isinstance(outcome, Completed) or len(machine.chosen) != 1:
            router.record_abandoned(machine.request)
            return
        advice = router.record_completion(machine.request, outcome.engine_id, outcome.cached_tokens)
        engine = self._engines.get(outcome.engine_id)
        if advice is not None and engine is not None:
            self._spawn(self._client.export_prefix(engine, advice))

    async def start(
        self, machine: RequestStateMachine, instruction: events.StartAttempt
    ) -> tuple[EngineState, EngineStream | None, events.RequestEvent | None]:
        """Send an attempt; return the engine, and the stream or the event of the failure."""
        engine = self._engines.get(instruction.engine_id)
        if engine is None:
            kind = events.RefusalKind.UNREACHABLE
            missing = EngineState(instruction.engine_id, "", "", "")
            missing.record_start(clock.now_s(), instruction.expected_prefill_tokens)
            return missing, None, events.AttemptRefused(instruction.attempt_id, kind)
        engine.record_start(clock.now_s(), instruction.expected_prefill_tokens)
        try:
            stream = await self._client.start(engine, machine.request, instruction)
        except AttemptRefusedError as refusal:
            self._record_refusal(engine, refusal)
            return engine, None, events.AttemptRefused(instruction.attempt_id, refusal.kind)
        except AttemptBrokenError:
            return engine, None, events.AttemptBroken(instruction.attempt_id)
        except BaseException:
            engine.record_prefilled(instruction.expected_prefill_tokens)
            engine.record_end()
            raise
        return engine, stream, None

    async def resume(
        self, engine: EngineState, instruction: events.ResumeAttempt
    ) -> EngineStream | None:
        """Reopen the stream of a running attempt; None if the engine cannot resume it."""
        self._metrics.attempts.labels(result="resumed").inc()
        stream = await self._client.resume(engine, instruction)
        if stream is None:
            engine.record_failure(clock.now_s())
        return stream

    def cancel(self, instruction: events.CancelAttempt) -> None:
        """Cancel an attempt on its engine, in the background."""
        engine = self._engines.get(instruction.engine_id)
        if engine is not None:
            self._metrics.attempts.labels(result="cancelled").inc()
            self._spawn(self._client.cancel(engine, instruction.attempt_id))

    def release(self, engine: EngineState, completed: bool) -> None:
        """Record the end of an attempt on an engine, and wake waiting requests."""
        engine.record_end()
        if completed:
            engine.record_success()
            self._metrics.attempts.labels(result="completed").inc()
        else:
            engine.breaker.record_abandoned()
        self._dispatcher.wake()

    def count_dropped(self, machine: RequestStateMachine) -> None:
        """Add a request's dropped chunks to the metrics."""
        for reason, count in machine.dropped.items():
            self._metrics.dropped_chunks.labels(reason=reason.value).inc(count)

    async def wait_for_engine(self, machine: RequestStateMachine) -> events.RequestEvent:
        """Wait in the queue; return the event for the state machine."""
        try:
            await self._dispatcher.wait_for_engine(machine.request)
        except WaitRefusedError as refusal:
            return events.QueueingRefused(refusal.code, refusal.retry_after_seconds)
        return events.DispatchPermitted()

    def _record_refusal(self, engine: EngineState, refusal: AttemptRefusedError) -> None:
        self._metrics.attempts.labels(result=refusal.kind.value).inc()
        if refusal.kind is events.RefusalKind.UNREACHABLE:
            engine.record_failure(clock.now_s())
        elif refusal.kind is events.RefusalKind.OVERLOADED:
            engine.record_overload()
        elif refusal.kind is events.RefusalKind.LEAVING:
            engine.refused_as_leaving = True
        elif refusal.identity is not None:
            engine.apply_identity(refusal.identity)


class _RequestRun:
    """The state of one running request: its state machine and its open attempt."""

    def __init__(
        self, runner: RequestRunner, machine: RequestStateMachine, sink: TokenSink
    ) -> None:
        self._runner = runner
        self._machine = machine
        self._sink = sink
        self._engine: EngineState | None = None
        self._stream: EngineStream | None = None
        self._outcome: Outcome | None = None
        self._pending_prefill_tokens: int | None = None

    async def drive(self, first: events.RequestEvent) -> Outcome:
        """Pass events to the state machine and execute its instructions until the request ends."""
        pending: deque[events.RequestEvent] = deque([first])
        while self._outcome is None:
            if not pending:
                pending.extend(await self._read())
            tokens: list[events.DeliverToken] = []
            while pending and self._outcome is None:
                for instruction in self._machine.handle(pending.popleft()):
                    if isinstance(instruction, events.DeliverToken):
                        tokens.append(instruction)
                        continue
                    await self._flush(tokens)
                    pending.extendleft(reversed(await self._execute(instruction)))
            await self._flush(tokens)
        await self._release_connection()
        return self._outcome

    def finish(self, event: events.RequestEvent) -> Outcome:
        """Handle the event that ends the request, without waiting; return the outcome."""
        for instruction in self._machine.handle(event):
            if isinstance(instruction, events.CancelAttempt):
                self._runner.cancel(instruction)
            elif isinstance(instruction, events.EndRequest):
                self._outcome = instruction.outcome
        assert self._outcome is not None
        return self._outcome

    def close(self) -> None:
        """Close the open attempt, and record the dropped chunks."""
        self._close_attempt(completed=False)
        self._runner.count_dropped(self._machine)

    async def _flush(self, tokens: list[events.DeliverToken]) -> None:
        if tokens:
            self._record_prefilled()
            await self._sink.deliver(tokens)
            tokens.clear()

    def _record_prefilled(self) -> None:
        if self._engine is not None and self._pending_prefill_tokens is not None:
            self._engine.record_prefilled(self._pending_prefill_tokens)
            self._pending_prefill_tokens = None

    async def _read(self) -> list[events.RequestEvent]:
        assert self._stream is not None
        try:
            return await self._stream.read()
        except AttemptBrokenError as error:
            return [events.AttemptBroken(str(error))]

    async def _execute(self, instruction: events.RequestInstruction) -> list[events.RequestEvent]:
        if isinstance(instruction, events.StartAttempt):
            return await self._start(instruction)
        if isinstance(instruction, events.ResumeAttempt):
            return await self._resume(instruction)
        if isinstance(instruction, events.WaitForEngine):
            return [await self._runner.wait_for_engine(self._machine)]
        if isinstance(instruction, events.CancelAttempt):
            self._runner.cancel(instruction)
        elif isinstance(instruction, events.EndRequest):
            self._outcome = instruction.outcome
        return []

    async def _start(self, instruction: events.StartAttempt) -> list[events.RequestEvent]:
        self._close_attempt(completed=False)
        self._pending_prefill_tokens = instruction.expected_prefill_tokens
        self._engine, self._stream, event = await self._runner.start(self._machine, instruction)
        if isinstance(event, events.AttemptRefused):
            self._close_attempt(completed=False)
        return [event] if event is not None else []

    async def _resume(self, instruction: events.ResumeAttempt) -> list[events.RequestEvent]:
        assert self._engine is not None
        if self._stream is not None:
            self._stream.close()
        self._stream = await self._runner.resume(self._engine, instruction)
        if self._stream is None:
            return [events.ResumeRefused(instruction.attempt_id)]
        return []

    async def _release_connection(self) -> None:
        if self._stream is not None:
            await self._stream.release()
            self._stream = None
        self._close_attempt(completed=True)

    def _close_attempt(self, completed: bool) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._engine is not None:
            self._record_prefilled()
            self._runner.release(self._engine, completed)
            self._engine = None
