"""Splits the bytes of a server-sent event stream into complete events."""

from dataclasses import dataclass

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        event_id: its id, or None if it has none.
        data: its bytes, including the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Splits bytes into complete events, and keeps a partial event at the end."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are left."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes, and return the events that they complete."""
        *complete, self._partial = (self._partial + data).split(SEPARATOR)
        return [StreamEvent(_event_id(block), block + SEPARATOR) for block in complete]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
