"""Limits on what the response of a peer may make this process read and hold, sans-IO.

A faulty peer may send bytes that never end: interim responses, framing or a body. Framing is what
does not become part of a body: heads, chunk sizes, chunk extensions and trailers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill.errors import LiftrillError

HEAD_END = b"\r\n\r\n"
MAX_FRAMING_BYTES = 65_536
# Short chunks have up to six bytes of framing for each byte of their data.
FRAMING_PER_BODY_BYTE = 16
# A parsed response takes a hundred times the memory of its bytes.
MAX_INTERIM_RESPONSES = 16
# An answer may be as large as the largest request of a caller.
MAX_BODY_BYTES = 4_194_304
# All incomplete bodies of a session: two of the largest, one of them for the oldest body, so that
# it can always be completed while the others wait.
MAX_INCOMPLETE_BODIES_BYTES = 2 * MAX_BODY_BYTES
# If bytes wait for this long and none get room, the largest body gives way: engines abort answers
# that are not read for some seconds.
MAX_ROOM_WAIT_S = 1.5
# How much of a reply is read that only shows that the response before it is over.
MAX_REPLY_BYTES = 1_048_576
# The store returns up to 500 records or 1 MB at a time, and events as they are due.
MAX_STORE_BODY_BYTES = 16_777_216
# A node holds a partial event for each of its streams.
MAX_EVENT_BYTES = 262_144


class ResponseTooLargeError(LiftrillError):
    """A response exceeds a limit."""


class FramingLimit:
    """Counts what one connection receives for one response besides its body."""

    def __init__(self) -> None:
        self._received_bytes = 0
        self._interim_responses = 0
        self._last_bytes = b""

    def head_length(self, data: bytes) -> int:
        """Return how many of the received bytes belong to the head that they end, or all."""
        overlap = len(self._last_bytes)
        end = (self._last_bytes + data).find(HEAD_END)
        if end < 0:
            self._last_bytes = (self._last_bytes + data)[1 - len(HEAD_END) :]
            return len(data)
        self._last_bytes = b""
        return end + len(HEAD_END) - overlap

    def add_interim_response(self) -> None:
        """Count an interim response, after which the final one is still due."""
        self._interim_responses += 1

    def add(self, received_bytes: int, body_bytes: int) -> ResponseTooLargeError | None:
        """Count received bytes, given the size of the body so far; return an exceeded limit."""
        self._received_bytes += received_bytes
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return ResponseTooLargeError(
                f"{self._interim_responses} interim responses, limit {MAX_INTERIM_RESPONSES}"
            )
        limit = MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * body_bytes
        framing_bytes = self._received_bytes - body_bytes
        if framing_bytes > limit:
            return ResponseTooLargeError(f"framing: {framing_bytes} bytes received, limit {limit}")
        return None


def _ignore_room() -> None:
    """Do nothing."""


@dataclass(eq=False, slots=True)
class IncompleteBody:
    """A body of which more may arrive.

    Attributes:
        on_evicted: called with the reason when the body has to give way.
        on_room: called when the bytes that waited for room were added.
        waiting: received bytes for which there is no room yet.
        error: the reason for which it gave way, or None.
    """

    on_evicted: Callable[[ResponseTooLargeError], None]
    on_room: Callable[[], None] = _ignore_room
    pieces: list[bytes] = field(default_factory=list)
    held_bytes: int = 0
    waiting: bytes = b""
    error: ResponseTooLargeError | None = None


@dataclass(slots=True)
class BodyLimits:
    """The limits of the bodies that one session reads.

    Attributes:
        max_body_bytes: the size of the largest body.
        max_incomplete_bytes: the size of all incomplete bodies.
        admitted_count: how many times bytes that waited have got room.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_incomplete_bytes: int = MAX_INCOMPLETE_BODIES_BYTES
    admitted_count: int = 0
    # Oldest first.
    _bodies: dict[IncompleteBody, None] = field(default_factory=dict)
    _held_bytes: int = 0
    # Whether bytes have waited in vain since a body ended, so that none wait until one does.
    _is_stalled: bool = False

    def begin(
        self,
        declared_bytes: int,
        on_evicted: Callable[[ResponseTooLargeError], None],
        on_room: Callable[[], None] = _ignore_room,
    ) -> IncompleteBody:
        """Return a body to add the received bytes to.

        Raises:
            ResponseTooLargeError: the declared length exceeds the limit.
        """
        if declared_bytes > self.max_body_bytes:
            raise ResponseTooLargeError(
                f"body: {declared_bytes} bytes declared, limit {self.max_body_bytes}"
            )
        body = IncompleteBody(on_evicted, on_room)
        self._bodies[body] = None
        return body

    def offer(self, body: IncompleteBody, data: bytes) -> bool:
        """Add received bytes, or let them wait for room and return False.

        Raises:
            ResponseTooLargeError: this body is too large.
        """
        if body in self._bodies:
            self._require_size(body, data)
            if not self._has_room(body, len(data)):
                body.waiting = data
                return False
        self.add(body, data)
        return True

    def add(self, body: IncompleteBody, data: bytes) -> None:
        """Add received bytes; the largest bodies give way if there are too many.

        Raises:
            ResponseTooLargeError: this body is too large, or gave way.
        """
        if body not in self._bodies:
            return
        self._require_size(body, data)
        self._hold(body, data)
        if body.error is not None:
            raise body.error

    def add_last(self, body: IncompleteBody, data: bytes) -> None:
        """Add the last bytes of a body, which is not incomplete any more.

        Raises:
            ResponseTooLargeError: this body is too large, or gave way before.
        """
        if body.error is not None:
            raise body.error
        self._require_size(body, data)
        body.pieces.append(data)

    def stop_waiting(self) -> None:
        """Add the bytes that wait, as none get room; the largest bodies give way if needed."""
        self._is_stalled = True
        self._admit_waiting()

    def end(self, body: IncompleteBody) -> None:
        """Free the bytes of a body that is complete or was given up."""
        if body in self._bodies:
            self._remove(body)
            self._admit_waiting()

    def _has_room(self, body: IncompleteBody, more_bytes: int) -> bool:
        """Return whether a body may hold more, with room left to complete the oldest."""
        oldest = next(iter(self._bodies))
        if body is oldest or self._is_stalled:
            return True
        for_oldest_bytes = min(self.max_body_bytes, self.max_incomplete_bytes // 2)
        held_bytes = self._held_bytes - oldest.held_bytes + more_bytes
        return held_bytes <= self.max_incomplete_bytes - for_oldest_bytes

    def _require_size(self, body: IncompleteBody, data: bytes) -> None:
        size = body.held_bytes + len(data)
        if size > self.max_body_bytes:
            raise ResponseTooLargeError(f"body: {size} bytes received, limit {self.max_body_bytes}")

    def _hold(self, body: IncompleteBody, data: bytes) -> None:
        body.pieces.append(data)
        body.held_bytes += len(data)
        self._held_bytes += len(data)
        if self._held_bytes > self.max_incomplete_bytes:
            self._evict_largest()
            self._admit_waiting()

    def _evict_largest(self) -> None:
        while self._held_bytes > self.max_incomplete_bytes:
            largest = max(self._bodies, key=lambda each: each.held_bytes)
            largest.error = ResponseTooLargeError(
                f"incomplete bodies of all responses: {self._held_bytes} bytes held,"
                f" limit {self.max_incomplete_bytes}"
            )
            self._remove(largest)
            largest.on_evicted(largest.error)

    def _admit_waiting(self) -> None:
        """Add waiting bytes for which there is room, those of the oldest bodies first."""
        for body in [each for each in self._bodies if each.waiting]:
            # Adding the bytes of an older body may have evicted this one, or have admitted it.
            if body.waiting:
                if not self._has_room(body, len(body.waiting)):
                    return
                data, body.waiting = body.waiting, b""
                self.admitted_count += 1
                self._hold(body, data)
                body.on_room()

    def _remove(self, body: IncompleteBody) -> None:
        del self._bodies[body]
        self._held_bytes -= body.held_bytes
        self._is_stalled = False
        body.pieces = []
        body.waiting = b""
