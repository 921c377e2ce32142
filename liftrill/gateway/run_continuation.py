"""Decides what a lost or closed connection means for a response, and how it goes on, sans-IO.

The run may go on at another engine only if the engine before no longer works on it. A lost
connection does not show that: an engine may go on with a run whose connection it lost. A copy of a
run that has gone on under other weights is of no use, because it was computed with both.
"""

from enum import Enum, auto

from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery_ports import DeliveryPorts
from liftrill.gateway.event_stream import EventOrder, StreamEvent
from liftrill.gateway.opaque_request import OpaqueRequest

# How many times a run may continue at a backup: a burst of crashes may end engines one by one.
MAX_CONTINUATIONS = 3


def resolve_close(
    closed: events.ConnectionClosed, evidence: events.EngineEvidence
) -> events.DeliveryEvent:
    """Return the completion of a response, or its interruption if its engine may have ended.

    The kernel closes the connections of a process that ends in the same way as a process closes
    those of its complete responses.
    """
    if evidence is events.EngineEvidence.RUNNING:
        return closed.completed
    reason = f"connection closed without an end of the response, engine {evidence.value}"
    return events.AttemptInterrupted(reason, evidence=evidence)


def resolve_event(event: events.DeliveryEvent, order: EventOrder) -> events.DeliveryEvent:
    """Return an event of an attempt, or its interruption if it is out of order in the stream."""
    if isinstance(event, events.EventReceived):
        if order.passes_on(event.event):
            return event
        if not order.is_spoiled:
            return events.EventReceived(event.event, is_repeated=True)
        number = event.event.event_id
        what = "an event without an id" if number is None else f"event {number}"
    elif isinstance(event, events.StreamCompleted) and order.is_cut_short:
        what = "the end"
    else:
        return event
    reason = f"{what} does not continue the stream after event {order.last_id}"
    return events.AttemptInterrupted(reason, is_rejected=True)


class NextStep(Enum):
    """How an interrupted stream goes on.

    Attributes:
        OTHER_ENGINE: a new run at another engine, after the last event.
        SAME_ENGINE: a new run at the same engine, after the last event.
        BACKUP: the same run at the engine that holds its copy.
        END: not at all.
    """

    OTHER_ENGINE = auto()
    SAME_ENGINE = auto()
    BACKUP = auto()
    END = auto()


class RunContinuation:
    """The continuations of one stream."""

    def __init__(self, request: OpaqueRequest, ports: DeliveryPorts) -> None:
        self._request = request
        self._ports = ports
        self._continued = 0
        self._may_run_at = ""
        self._weights_changed = False

    def note_event(self, event: StreamEvent) -> None:
        """Record what an event says of the weights on which its run goes on."""
        self._weights_changed = self._weights_changed or event.changes_weights

    def next_step(
        self, interrupted: events.EngineChoice, evidence: events.EngineEvidence
    ) -> NextStep:
        """Return how a stream goes on, given what is known of the engine that it was lost at."""
        may_run_on = not evidence.excludes_run
        if self._request.may_run_again:
            self._may_run_at = interrupted.engine_id if may_run_on else ""
            return NextStep.SAME_ENGINE if may_run_on else NextStep.OTHER_ENGINE
        if may_run_on or self._weights_changed or interrupted.backup is None:
            return NextStep.END
        return NextStep.BACKUP if self._continued < MAX_CONTINUATIONS else NextStep.END

    def choose(
        self, step: NextStep, interrupted: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return the engine for a step that names one, or None if it cannot be used."""
        if step is NextStep.SAME_ENGINE:
            return self._ports.choose_again(self._request, interrupted)
        if step is NextStep.BACKUP:
            self._continued += 1
            return self._ports.continue_at_backup(self._request, interrupted)
        return None

    def may_leave(self, choice: events.EngineChoice, refusal: events.RefusalKind | None) -> bool:
        """Return whether another engine may be used after an engine's answer or refusal.

        If the engine may still work on the earlier run, only a refusal that shows the contrary,
        or that this node does not reach the engine, allows it.
        """
        if choice.continues_at_backup:
            return False
        return choice.engine_id != self._may_run_at or refusal in (
            events.RefusalKind.UNREACHABLE,
            events.RefusalKind.WRONG_INSTANCE,
        )
