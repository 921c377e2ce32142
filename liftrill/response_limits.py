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
# All incomplete bodies of a session: two of the largest. The largest one gives way.
MAX_INCOMPLETE_BODIES_BYTES = 2 * MAX_BODY_BYTES
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


@dataclass(eq=False, slots=True)
class IncompleteBody:
    """A body of which more may arrive.

    Attributes:
        on_evicted: called with the reason when the body has to give way.
        error: the reason for which it gave way, or None.
    """

    on_evicted: Callable[[ResponseTooLargeError], None]
    pieces: list[bytes] = field(default_factory=list)
    held_bytes: int = 0
    error: ResponseTooLargeError | None = None


@dataclass(slots=True)
class BodyLimits:
    """The limits of the bodies that one session reads.

    Attributes:
        max_body_bytes: the size of the largest body.
        max_incomplete_bytes: the size of all incomplete bodies.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_incomplete_bytes: int = MAX_INCOMPLETE_BODIES_BYTES
    _bodies: set[IncompleteBody] = field(default_factory=set)
    _held_bytes: int = 0

    def begin(
        self, declared_bytes: int, on_evicted: Callable[[ResponseTooLargeError], None]
    ) -> IncompleteBody:
        """Return a body to add the received bytes to.

        Raises:
            ResponseTooLargeError: the declared length exceeds the limit.
        """
        if declared_bytes > self.max_body_bytes:
            raise ResponseTooLargeError(
                f"body: {declared_bytes} bytes declared, limit {self.max_body_bytes}"
            )
        body = IncompleteBody(on_evicted)
        self._bodies.add(body)
        return body

    def add(self, body: IncompleteBody, data: bytes) -> None:
        """Add received bytes; the largest bodies give way if there are too many.

        Raises:
            ResponseTooLargeError: this body is too large.
        """
        if body not in self._bodies:
            return
        body.pieces.append(data)
        body.held_bytes += len(data)
        self._held_bytes += len(data)
        if body.held_bytes > self.max_body_bytes:
            raise ResponseTooLargeError(
                f"body: {body.held_bytes} bytes received, limit {self.max_body_bytes}"
            )
        while self._held_bytes > self.max_incomplete_bytes:
            largest = max(self._bodies, key=lambda each: each.held_bytes)
            error = ResponseTooLargeError(
                f"incomplete bodies of all responses: {self._held_bytes} bytes held,"
                f" limit {self.max_incomplete_bytes}"
            )
            if largest is body:
                raise error
            self.end(largest)
            largest.error = error
            largest.on_evicted(error)

    def end(self, body: IncompleteBody) -> None:
        """Free the bytes of a body that is complete or was given up."""
        if body in self._bodies:
            self._bodies.remove(body)
            self._held_bytes -= body.held_bytes
            body.pieces = []
