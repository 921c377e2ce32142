"""Decides what a lost or closed connection means for a response, and how it goes on, sans-IO.

The run may go on at another engine only if the engine before no longer works on it. A lost
connection does not show that: an engine may go on with a run whose connection it lost. A copy of a
run that has gone on under other weights is of no use, because it was computed with both.
"""

from dataclasses import dataclass
from enum import Enum, auto

from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery_ports import DeliveryPorts
from liftrill.gateway.event_stream import EventOrder, StreamEvent
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.transport import EngineReply

# How many times a run may continue at a backup: a burst of crashes may end engines one by one.
MAX_CONTINUATIONS = 3
# An engine closes the connection of a response without other framing right after its last bytes.
MAX_CLOSE_DELAY_S = 0.015


@dataclass(frozen=True, slots=True)
class CloseEvidence:
    """What is known of a response whose connection was closed in order, and of its engine.

    The kernel closes the connections of a process that ends in the same way as a process closes
    those of its complete responses.

    Attributes:
        engine: what is known of the engine after the close.
        is_leaving: whether the engine announced that it would end.
        others_ended: whether other responses of the engine ended at the same time, at any node.
        close_delay_s: the time between the last bytes and the close.
        peers_answered: whether all peers that had requests at the engine told of other ends.
        reply: what came back when the engine was asked which incarnation it is.
        is_abrupt: whether others were closed with this one, and not all right after their bytes.
        is_doubted: whether the engine closed a response late shortly before or with this one.
        sound_delay_s: the longest such time of a response that is known to have been complete.
        closes_after_ends: whether the engine is known to close connections after marked ends.
    """

    engine: events.EngineEvidence
    is_leaving: bool = False
    others_ended: bool = False
    close_delay_s: float = 0.0
    peers_answered: bool = True
    reply: EngineReply = EngineReply.NONE
    is_abrupt: bool = False
    is_doubted: bool = False
    sound_delay_s: float = 0.0
    closes_after_ends: bool = False

    @property
    def is_doubtful(self) -> bool:
        """Whether an engine that runs may have closed the connection before the end.

        An engine whose worker has ended closes the responses that it had, all at once and not
        right after bytes of each.
        """
        is_late = self.close_delay_s > max(MAX_CLOSE_DELAY_S, self.sound_delay_s)
        return self.is_abrupt or self.is_doubted or is_late

    @property
    def shows_completion(self) -> bool:
        """Whether the engine closed the connection itself, as the end of its response."""
        if self.engine is not events.EngineEvidence.ENDED:
            return self.engine is events.EngineEvidence.RUNNING
        # A leaving engine may end right after its last response.
        is_prompt = self.close_delay_s <= MAX_CLOSE_DELAY_S
        is_alone = self.peers_answered and not self.others_ended
        return self.is_leaving and is_prompt and is_alone

    def confirms(self, is_marked: bool) -> bool:
        """Return whether a response is complete whose end was marked, or which was only closed.

        An engine that ends may have marked the end too early; a leaving one ends after its last.
        """
        if not is_marked:
            return self.shows_completion
        may_have_ended = (events.EngineEvidence.ENDED, events.EngineEvidence.UNKNOWN)
        return self.is_leaving or self.engine not in may_have_ended


def resolve_close(
    closed: events.ConnectionClosed, evidence: CloseEvidence, may_run_again: bool
) -> events.DeliveryEvent:
    """Return the completion of a response, or its interruption if it may be incomplete.

    A new run is right in both cases: after a complete response it adds nothing.
    """
    if closed.is_marked:
        return _resolve_marked(closed, evidence, may_run_again)
    is_certain = evidence.engine is events.EngineEvidence.RUNNING
    is_stream = isinstance(closed.completed, events.StreamCompleted)
    if is_certain and is_stream and may_run_again and evidence.is_doubtful:
        return events.EndDoubted()
    if is_certain or (evidence.shows_completion and not may_run_again):
        return closed.completed
    reason = f"connection closed without an end of the response, engine {evidence.engine.value}"
    return events.AttemptInterrupted(reason, evidence=evidence.engine, was_closed=True)


def _resolve_marked(
    closed: events.ConnectionClosed, evidence: CloseEvidence, may_run_again: bool
) -> events.DeliveryEvent:
    """Return the completion of a response whose end was marked, and may have come early."""
    has_ended = evidence.engine is events.EngineEvidence.ENDED and not evidence.is_leaving
    is_stream = isinstance(closed.completed, events.StreamCompleted)
    is_confirmed = evidence.confirms(is_marked=True)
    if is_stream and may_run_again and not has_ended:
        is_usual = is_confirmed and evidence.closes_after_ends
        return closed.completed if is_usual else events.EndDoubted()
    if is_confirmed:
        return closed.completed
    reason = f"connection closed in place of a reply, engine {evidence.engine.value}"
    return events.AttemptInterrupted(reason, evidence=evidence.engine, was_closed=True)


def resolve_event(event: events.DeliveryEvent, order: EventOrder) -> events.DeliveryEvent:
    """Return an event of an attempt, or its interruption if it is out of order in the stream."""
    if isinstance(event, events.EventReceived):
        if order.passes_on(event.event):
            return event
        if not order.is_spoiled:
            return events.EventReceived(event.event, is_repeated=True)
        number = event.event.event_id
        what = "an event without an id" if number is None else f"event {number}"
    elif isinstance(event, events.StreamCompleted | events.EndDoubted) and order.is_cut_short:
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
