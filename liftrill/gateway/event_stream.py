"""Splits a server-sent event stream into whole events, and orders them by id."""

from dataclasses import dataclass

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes:
        event_id: its id, or None where it carries none.
        data: its bytes, with the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Cuts bytes into whole events; a torn event at the end stays behind."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event are left."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that some bytes complete."""
        *complete, self._partial = (self._partial + data).split(SEPARATOR)
        return [StreamEvent(_event_id(block), block + SEPARATOR) for block in complete]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
