"""What the gateway asks of an adaptor to engines."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from liftrill.gateway import delivery_events as events
from liftrill.gateway.opaque_request import OpaqueRequest


def allow_send() -> bool:
    """Let a request be sent."""
    return True


class EngineAttempt(ABC):
    """One send of a request to an engine.

    Attributes:
        may_send: asked before the first byte; if it says no, the attempt is refused as withdrawn.
    """

    may_send: Callable[[], bool] = staticmethod(allow_send)

    @abstractmethod
    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request and return what the head of the answer tells."""

    @abstractmethod
    async def read(self) -> list[events.DeliveryEvent]:
        """Return what the next bytes of the answer tell."""

    @abstractmethod
    def close(self) -> None:
        """End the attempt; an engine that still works on it stops."""


class EngineTransport(ABC):
    """Sends requests to engines."""

    @abstractmethod
    def attempt(self, request: OpaqueRequest, start: events.StartAttempt) -> EngineAttempt:
        """Prepare to send a request; nothing is sent yet."""

    @abstractmethod
    async def has_ended(self, address: str) -> bool:
        """Return whether nobody listens at an engine's address; False where that is not known."""


class ResponseSink(ABC):
    """Where the answer to a caller goes."""

    @property
    def caller_wait_s(self) -> float:
        """For how long the run stood still for its caller."""
        return 0.0

    def body_released(self) -> None:
        """Note that the body of the caller's request is not held any more."""
        return

    @abstractmethod
    async def send_response(self, answer: events.CompleteResponse) -> None:
        """Send a whole answer."""

    @abstractmethod
    async def send_head(self, head: events.SendHead) -> None:
        """Begin a streamed answer."""

    @abstractmethod
    async def send_bytes(self, data: bytes) -> None:
        """Send bytes of a streamed answer."""

    @abstractmethod
    async def finish(self) -> None:
        """End a streamed answer as complete."""

    @abstractmethod
    def abort_stream(self) -> None:
        """End a streamed answer so that it cannot be taken for complete."""

    @abstractmethod
    async def refuse(self, refusal: events.RefuseRequest) -> None:
        """Answer that the request was not run."""

    @abstractmethod
    async def fail(self, failure: events.FailRequest) -> None:
        """Answer that the outcome is not known."""
