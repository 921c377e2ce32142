"""Splits the bytes of a server-sent event stream into complete events, and checks their order."""

from dataclasses import dataclass

from liftrill.response_limits import MAX_EVENT_BYTES, ResponseTooLargeError

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        event_id: its id, or None if it has none.
        data: its bytes, including the blank line that ends it.
        changes_weights: whether it says that the run goes on under other weights from here on.
    """

    event_id: int | None
    data: bytes
    changes_weights: bool = False


class EventSplitter:
    """Splits bytes into complete events, and keeps a partial event at the end.

    An event whose weights changed begins with a line of the version field, if there is one.
    """

    def __init__(self, version_field: bytes = b"") -> None:
        self._version_field = version_field
        self._partial = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are left."""
        return bool(self._partial)

    @property
    def limit_error(self) -> ResponseTooLargeError | None:
        """The limit that the incomplete event exceeds, or None."""
        if len(self._partial) <= MAX_EVENT_BYTES:
            return None
        return ResponseTooLargeError(
            f"event: {len(self._partial)} bytes received, limit {MAX_EVENT_BYTES}"
        )

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes, and return the events that they complete."""
        if not self._partial:
            *blocks, rest = data.split(SEPARATOR)
            self._partial += rest
        else:
            blocks = self._feed_partial(data)
        field = self._version_field
        return [
            StreamEvent(
                _event_id(block), block + SEPARATOR, field != b"" and block.startswith(field)
            )
            for block in blocks
        ]

    def _feed_partial(self, data: bytes) -> list[bytes]:
        """Add received bytes to the partial event; search none of its bytes again."""
        # The partial event may end with half of a separator.
        searched = len(self._partial) - 1
        self._partial += data
        blocks = []
        start, end = 0, self._partial.find(SEPARATOR, searched)
        while end >= 0:
            blocks.append(bytes(self._partial[start:end]))
            start = end + len(SEPARATOR)
            end = self._partial.find(SEPARATOR, start)
        del self._partial[:start]
        return blocks


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


@dataclass(slots=True)
class EventOrder:
    """Decides which events of an engine continue the stream that a caller has, over all attempts.

    Within an attempt, ids rise. A later attempt may first repeat events that the caller has.

    Attributes:
        last_id: id of the newest event that was passed on, or None.
        is_spoiled: whether the attempt's answer is not the run that the caller has a part of.
    """

    last_id: int | None = None
    is_spoiled: bool = False
    _previous_id: int | None = None

    def begin_attempt(self) -> None:
        """Expect the events of another attempt, sent to go on after the last id."""
        self.is_spoiled = False
        self._previous_id = None

    def passes_on(self, event: StreamEvent) -> bool:
        """Return whether the attempt's next event is new to the caller, and record it if so."""
        event_id = event.event_id
        if event_id is None:
            return True
        if self._previous_id is not None and event_id <= self._previous_id:
            self.is_spoiled = True
            return False
        self._previous_id = event_id
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True
