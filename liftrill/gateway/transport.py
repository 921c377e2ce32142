"""Interfaces of the delivery to engines and to callers."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum
from typing import ClassVar

from liftrill.gateway import delivery_events as events
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.opaque_request import OpaqueRequest


def allow_send() -> bool:
    """Allow every request to be sent."""
    return True


def ignore_end() -> None:
    """Do nothing as the end of a stream arrives."""


class EngineAttempt(ABC):
    """One attempt to have an engine run a request.

    Attributes:
        may_send: called before the first byte is sent; if it returns False, the attempt is refused
            as withdrawn.
        on_end_held: called once the end of a stream has arrived, if it is held back for a while.
    """

    may_send: Callable[[], bool] = staticmethod(allow_send)
    on_end_held: Callable[[], None] = staticmethod(ignore_end)

    def watch_end(self, on_end_held: Callable[[], None]) -> None:
        """Call a function once the end of a stream has arrived, if it is held back for a while."""
        self.on_end_held = on_end_held

    @abstractmethod
    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request, and return the events of the response's head."""

    @abstractmethod
    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events of the next bytes of the response."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection, so that the engine stops working on the request."""


class ObservedAttempt(EngineAttempt):
    """An attempt that reports what another one shows; subclasses override what they observe."""

    def __init__(self, attempt: EngineAttempt) -> None:
        self._attempt = attempt

    def watch_end(self, on_end_held: Callable[[], None]) -> None:
        """Call a function once the end of a stream has arrived, if it is held back for a while."""
        self._attempt.watch_end(on_end_held)

    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request, and return the events of the response's head."""
        return await self._attempt.open()

    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events of the next bytes of the response."""
        return await self._attempt.read()

    def close(self) -> None:
        """Close the connection, so that the engine stops working on the request."""
        self._attempt.close()


class ProbeResult(Enum):
    """What became of a connection that was opened to see whether a port can be reached."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    # The process was too busy to tell.
    LATE = "late"


class EngineReply(Enum):
    """What came back from an engine's address when it was asked which incarnation it is.

    Attributes:
        SAME: an answer of the incarnation, by its start time.
        POSSIBLE: an answer of the incarnation or of another one, as a start time is not known.
        OTHER: an answer of another incarnation or engine.
        REFUSED: nothing listened there.
        NONE: no answer that can be understood.
    """

    SAME = "same"
    POSSIBLE = "possible"
    OTHER = "other"
    REFUSED = "refused"
    NONE = "none"


def reply_by_start(view: EngineView, start_time: object) -> EngineReply:
    """Return what an answer shows that names a start time, or none."""
    if start_time is None or not view.record.born_unix_ms:
        return EngineReply.POSSIBLE
    return EngineReply.SAME if start_time == view.record.born_unix_ms else EngineReply.OTHER


class EngineTransport(ABC):
    """Sends requests to engines.

    Attributes:
        question_path: a path at each engine that changes nothing, or empty. A reply to a request
            for it shows that the response before it on the connection is over.
        id_header: the header that names a request in it and in its answers, or empty.
    """

    question_path: ClassVar[str] = ""
    id_header: ClassVar[str] = ""

    @abstractmethod
    def attempt(self, request: OpaqueRequest, start: events.StartAttempt) -> EngineAttempt:
        """Return a new attempt, which sends nothing before it is opened."""

    @abstractmethod
    async def probe(self, address: str, timeout_s: float) -> ProbeResult:
        """Open a connection to an address, close it, and return whether it was accepted."""

    async def identify(self, view: EngineView) -> EngineReply:
        """Ask an engine's address whether an incarnation of it answers there."""
        return EngineReply.NONE

    def has_open_connection(self, address: str, used_before: float) -> bool:
        """Return whether a connection is open on which an address sent bytes before a time."""
        return False

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address, because its link was down meanwhile."""
        return


class ResponseSink(ABC):
    """Sends the response to a caller."""

    @property
    def caller_wait_s(self) -> float:
        """For how long this delivery waited for its caller to read."""
        return 0.0

    def body_released(self) -> None:
        """Handle that the body of the caller's request was freed."""
        return

    @abstractmethod
    async def send_response(self, response: events.CompleteResponse) -> None:
        """Send a complete response."""

    @abstractmethod
    async def send_head(self, head: events.SendHead) -> None:
        """Send the head of a streamed response."""

    @abstractmethod
    async def send_bytes(self, data: bytes) -> None:
        """Send bytes of a streamed response."""

    @abstractmethod
    async def finish(self) -> None:
        """End a streamed response as complete."""

    @abstractmethod
    def abort_stream(self) -> None:
        """Abort a streamed response, so that the caller cannot take it for complete."""

    @abstractmethod
    async def refuse(self, refusal: events.RefuseRequest) -> None:
        """Respond that the request was not run."""

    @abstractmethod
    async def fail(self, failure: events.FailRequest) -> None:
        """Respond that the outcome of the request is unknown."""
