"""When the parts of one delivery were sent and received."""

from dataclasses import dataclass


@dataclass(slots=True)
class StreamTimes:
    """When the events of a response stream were received, on the steady clock.

    Attributes:
        first_event_at: 0 before the first event.
        longest_pause_s: the longest time between two consecutive events.
        longest_pause_after: id of the event before that pause, or None.
        last_event_at: 0 before the first event.
        events: number of events received.
        framing: how the end of the newest response is marked, or nothing before there is one.
    """

    first_event_at: float = 0.0
    longest_pause_s: float = 0.0
    longest_pause_after: int | None = None
    last_event_at: float = 0.0
    events: int = 0
    framing: str = ""
    _last_event_id: int | None = None

    def since_first_event_s(self, now: float) -> float | None:
        """Return the time since the first event, or None before it."""
        return now - self.first_event_at if self.first_event_at else None

    def record_event(self, event_id: int | None, now: float) -> None:
        """Record an event that was received now."""
        if not self.first_event_at:
            self.first_event_at = now
        elif now - self.last_event_at > self.longest_pause_s:
            self.longest_pause_s = now - self.last_event_at
            self.longest_pause_after = self._last_event_id
        self.last_event_at = now
        self._last_event_id = event_id
        self.events += 1


@dataclass(slots=True)
class AttemptTimes:
    """When one attempt was sent and its first event received, by `liftrill.clock`.

    Attributes:
        first_event_at: None before the first event.
    """

    sent_at: float
    first_event_at: float | None = None
