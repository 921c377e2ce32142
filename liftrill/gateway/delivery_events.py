"""Events into and instructions out of the delivery machine."""

from dataclasses import dataclass
from enum import Enum

from liftrill.coordination.permits import Permit
from liftrill.errors import ResultCode
from liftrill.gateway.event_stream import StreamEvent

Headers = tuple[tuple[str, str], ...]


class RefusalKind(Enum):
    """Why an engine certainly did not run an attempt."""

    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    WRONG_INSTANCE = "wrong_instance"
    WRONG_VERSION = "wrong_version"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class Started:
    """The request was admitted, or an engine may have become free."""


@dataclass(frozen=True, slots=True)
class WaitExpired:
    """The time that the request may wait for an engine is over."""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The attempt was certainly not run."""

    kind: RefusalKind


@dataclass(frozen=True, slots=True)
class AttemptInterrupted:
    """The attempt was sent, and nothing more will be heard of it."""

    reason: str = ""


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """An engine's complete answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """The head of a successful stream."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class EventReceived:
    """One whole event of the stream."""

    event: StreamEvent


@dataclass(frozen=True, slots=True)
class StreamCompleted:
    """The engine ended the stream as complete."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's or the route's time is over."""


DeliveryEvent = (
    Started
    | WaitExpired
    | AttemptRefused
    | AttemptInterrupted
    | CompleteResponse
    | StreamOpened
    | EventReceived
    | StreamCompleted
    | DeadlinePassed
)


@dataclass(frozen=True, slots=True)
class EngineAddress:
    """An incarnation of an engine, and where it is.

    Attributes:
        number: the short name of the incarnation, or 0 where an id names one alone.
    """

    engine_id: str
    address: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """An engine to send to, with what it must still be and where it may find the prompt.

    Attributes:
        weight_version: the version it must have, or 0 where the request names no model.
        cache_salt: scope of the cached parts, or empty.
        fetch_from: address of an engine or store that may hold the prompt, or empty.
        save_to: address of the store that is to keep the prompt, or empty.
        is_saved: whether a store is believed to keep its shared parts already.
        expected_prefill_tokens: prompt tokens that the engine will have to read.
        backup: the engine that gets a copy of the run as it grows, or None.
        continues_at_backup: whether the engine goes on with the copy that it has of the run.
        number: the short name of the incarnation.
        permit: for an engine that names a limit, or None.
    """

    engine_id: str
    address: str
    weight_version: int = 0
    cache_salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    is_saved: bool = False
    expected_prefill_tokens: int = 0
    backup: EngineAddress | None = None
    continues_at_backup: bool = False
    number: int = 0
    permit: Permit | None = None

    @property
    def engine(self) -> EngineAddress:
        """The incarnation that is chosen, and where it is."""
        return EngineAddress(self.engine_id, self.address, self.number)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to an engine.

    Attributes:
        resume_after: the last event that the caller has, or None for the beginning.
    """

    choice: EngineChoice
    resume_after: int | None


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Close the connection of the attempt, which makes the engine drop it."""


@dataclass(frozen=True, slots=True)
class WaitForEngine:
    """Hold the request until an engine may be free.

    Attributes:
        for_capacity: whether there are engines, and they have no room for it.
    """

    for_capacity: bool = False


@dataclass(frozen=True, slots=True)
class SendHead:
    """Begin the answer to the caller."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class SendEvent:
    """Pass one event on."""

    event: StreamEvent


@dataclass(frozen=True, slots=True)
class FinishStream:
    """End the answer as complete."""


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Answer the caller with an engine's whole answer."""

    response: CompleteResponse


@dataclass(frozen=True, slots=True)
class AbortStream:
    """End a begun answer so that it cannot be taken for complete."""

    code: ResultCode


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer that the request was not run and never will be."""

    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer that the outcome is not known."""

    code: ResultCode


DeliveryInstruction = (
    StartAttempt
    | AbandonAttempt
    | WaitForEngine
    | SendHead
    | SendEvent
    | FinishStream
    | SendResponse
    | AbortStream
    | RefuseRequest
    | FailRequest
)
TERMINAL_INSTRUCTIONS = (FinishStream, SendResponse, AbortStream, RefuseRequest, FailRequest)
