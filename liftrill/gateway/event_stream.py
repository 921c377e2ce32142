"""Splits the bytes of a server-sent event stream into complete events, and checks their order."""

from collections import deque
from dataclasses import dataclass, field
from functools import partial

from liftrill.response_limits import MAX_EVENT_BYTES, ResponseTooLargeError

# Callers can name no longer ids when they resume a stream.
MAX_ID_DIGITS = 18
SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
# Events of a repeated run that are compared with those passed on: the newest ones. A run with
# another text differs in them.
MAX_COMPARED_EVENTS = 32


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
            return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
    return None


@dataclass(slots=True)
class EventOrder:
    """Decides which events of an engine continue the stream that a caller has, over all attempts.

    Within an attempt, ids rise. A later attempt may first repeat events that the caller has, with
    the same bytes. Sent to go on after the last id, it first repeats the events without an id
    after that one. An id that was not passed on is compared with nothing, as runs may put their
    tokens into events in different ways.

    Attributes:
        last_id: id of the newest event that was passed on, or None.
        is_spoiled: whether the attempt's answer is not the run that the caller has a part of.
    """

    last_id: int | None = None
    is_spoiled: bool = False
    # Id and digest of each.
    _newest_passed: deque[tuple[int | None, int]] = field(
        default_factory=partial(deque, maxlen=MAX_COMPARED_EVENTS)
    )
    _passed_count: int = 0
    # How many events were passed on up to the last one with an id.
    _numbered_count: int = 0
    # How many of the passed events precede the attempt's next one, or None if that is unknown.
    _position: int | None = 0
    _previous_id: int | None = None
    _may_repeat: bool = True

    def begin_attempt(self) -> None:
        """Expect the events of another attempt, sent to go on after the last id."""
        self.is_spoiled = False
        self._position = self._numbered_count
        self._previous_id = None
        self._may_repeat = True

    @property
    def is_cut_short(self) -> bool:
        """Whether the attempt has repeated only a part of what the caller has."""
        whole = (self._numbered_count, self._passed_count)
        return self._may_repeat and self._position not in whole

    def passes_on(self, event: StreamEvent) -> bool:
        """Return whether the attempt's next event is new to the caller, and record it if so."""
        event_id = event.event_id
        if event_id is not None:
            if self._previous_id is not None and event_id <= self._previous_id:
                self.is_spoiled = True
                return False
            self._previous_id = event_id
        digest = hash(_without_weights(event) if event.changes_weights else event.data)
        if self._may_repeat:
            if self._repeats(event_id, digest) or self.is_spoiled:
                return False
            self._may_repeat = False
            if self._passed_count and event_id is None:
                # Ids that the caller has can no longer follow.
                self._previous_id = self.last_id
        self._newest_passed.append((event_id, digest))
        self._passed_count += 1
        if event_id is not None:
            self.last_id = event_id
            self._numbered_count = self._passed_count
        return True

    def _repeats(self, event_id: int | None, digest: int) -> bool:
        """Return whether the caller has an event, before which the attempt brought nothing new."""
        if event_id is None:
            return self._repeats_unnumbered(digest)
        if self.last_id is None or event_id > self.last_id:
            position = self._position
            if position is not None and self._numbered_count < position < self._passed_count:
                self.is_spoiled = True
            return False
        self._position = self._numbered_count if event_id == self.last_id else None
        for number, (passed_id, passed_digest) in enumerate(self._newest_passed, self._forgotten):
            if passed_id == event_id:
                self._position = number + 1
                self.is_spoiled = passed_digest != digest
        return True

    def _repeats_unnumbered(self, digest: int) -> bool:
        if self._position is None:
            return True
        if self._position == self._passed_count:
            return False
        number = self._position - self._forgotten
        if number >= 0 and self._newest_passed[number] != (None, digest):
            self.is_spoiled = True
        self._position += 1
        return True

    @property
    def _forgotten(self) -> int:
        """How many passed events are compared with nothing, as they are too old."""
        return self._passed_count - len(self._newest_passed)


def _without_weights(event: StreamEvent) -> bytes:
    """Return the bytes of an event without the line that says that its weights changed."""
    return event.data.partition(b"\n")[2]
