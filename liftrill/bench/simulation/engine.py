"""A simulated engine: the engine model of the emulator on a virtual clock."""

from collections.abc import Callable

from liftrill.bench.simulation.clock import VirtualClock
from liftrill.cache.event_stream import BlockEvent
from liftrill.emulator.engine_messages import (
    Assignment,
    CacheEventKind,
    EngineOutput,
    EngineParameters,
    GenerationRequest,
    RefusalReason,
)
from liftrill.emulator.engine_model import EngineModel
from liftrill.routing.engine_state import EngineIdentity, EngineReport

OutputHandler = Callable[[EngineOutput], None]
LostHandler = Callable[[], None]


class SimulatedEngine:
    """A simulated engine, which passes the outputs of each step to the handlers of the attempts."""

    def __init__(
        self,
        clock: VirtualClock,
        engine_id: str,
        zone: str,
        parameters: EngineParameters,
        assignment: Assignment,
        seed: int,
    ) -> None:
        self.engine_id = engine_id
        self.zone = zone
        self._clock = clock
        self.model = EngineModel(parameters, assignment, incarnation=1, seed=seed)
        self._handlers: dict[str, tuple[OutputHandler, LostHandler]] = {}
        self._scheduled_at: float | None = None
        self._events: list[BlockEvent] = []

    def submit(
        self, request: GenerationRequest, on_output: OutputHandler, on_lost: LostHandler
    ) -> RefusalReason | None:
        """Accept a request, or return the reason for its refusal."""
        reason = self.model.submit(request, self._clock.now())
        if reason is None:
            self._handlers[request.attempt_id] = (on_output, on_lost)
            self._schedule_step()
        return reason

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""
        self._handlers.pop(attempt_id, None)
        self.model.cancel(attempt_id)

    def crash(self) -> None:
        """Lose all requests and cached blocks, and restart with the next incarnation."""
        self.model.crash(self.model.incarnation + 1)
        self._events.clear()
        handlers, self._handlers = self._handlers, {}
        for _, on_lost in handlers.values():
            on_lost()

    def report(self) -> EngineReport:
        """Return the load report of the engine, which is delayed by the report lag."""
        report = self.model.report(self._clock.now())
        identity = EngineIdentity(
            self.model.incarnation,
            self.model.revision,
            self.model.weight_version,
            self.model.leaving,
        )
        return EngineReport(
            self.engine_id,
            identity,
            report.running,
            report.waiting,
            report.waiting_prompt_tokens,
        )

    def events_after(self, sequence: int) -> list[BlockEvent]:
        """Return the cache events after a sequence number that have been published by now."""
        for event in self.model.take_events(self._clock.now()):
            stored = event.kind is CacheEventKind.STORED
            self._events.append(BlockEvent(event.sequence, stored, event.block_name))
        self._events = [event for event in self._events if event.sequence > sequence]
        return list(self._events)

    def _schedule_step(self) -> None:
        due = self.model.next_time()
        if due is None or due == self._scheduled_at:
            return
        self._scheduled_at = due
        self._clock.call_at(due, lambda: self._run_step(due))

    def _run_step(self, due: float) -> None:
        if due != self._scheduled_at:
            return
        self._scheduled_at = None
        for output in self.model.advance(self._clock.now()):
            handler = self._handlers.get(output.attempt_id)
            if handler is not None:
                handler[0](output)
        self._schedule_step()
