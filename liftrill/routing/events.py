"""The events that the request state machine handles and the instructions that it returns."""

from dataclasses import dataclass
from enum import Enum

from liftrill.errors import ResultCode
from liftrill.routing.outcome import Outcome


class RefusalKind(Enum):
    """Why an attempt was refused without being run."""

    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    MISMATCH = "mismatch"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class DispatchPermitted:
    """The request was admitted, or was granted a dispatch after waiting for an engine."""


@dataclass(frozen=True, slots=True)
class QueueingRefused:
    """The request cannot wait for an engine: the queue is full or its wait is too long."""

    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The engine reported that it did not run the attempt, or it could not be reached."""

    attempt_id: str
    kind: RefusalKind


@dataclass(frozen=True, slots=True)
class TokenReceived:
    """A chunk arrived; the request and attempt identifiers are those in the chunk itself."""

    request_id: str
    attempt_id: str
    index: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The engine reported that the generation is complete."""

    request_id: str
    attempt_id: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """The connection was lost or timed out after the request was sent."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ResumeRefused:
    """The engine no longer holds the attempt, or could not be reached again."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller no longer reads the response."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline has passed."""


RequestEvent = (
    DispatchPermitted
    | QueueingRefused
    | AttemptRefused
    | TokenReceived
    | AttemptFinished
    | AttemptBroken
    | ResumeRefused
    | CallerDisconnected
    | DeadlinePassed
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to an engine.

    Attributes:
        incarnation: the required incarnation of the engine, or None if it is not known.
        delivered_text: the text delivered so far, to be appended to the prompt.
        start_index: index of the first token to generate.
        expected_prefill_tokens: prompt tokens that the engine will have to compute.
        import_candidates: names of prefixes, shortest first. The engine may import the
            longest one in the kept-KV store if its own cache holds a shorter prefix.
    """

    attempt_id: str
    engine_id: str
    incarnation: int | None
    weight_version: str
    adapter: str
    delivered_text: str
    start_index: int
    expected_prefill_tokens: int = 0
    import_candidates: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Read the output of a running attempt again, from a token index on."""

    attempt_id: str
    engine_id: str
    from_index: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt on an engine, because its output is no longer needed."""

    attempt_id: str
    engine_id: str


@dataclass(frozen=True, slots=True)
class DeliverToken:
    """Deliver a token to the caller."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class WaitForEngine:
    """Queue the request until an engine may have a free slot."""


@dataclass(frozen=True, slots=True)
class EndRequest:
    """End the request with an outcome."""

    outcome: Outcome


RequestInstruction = (
    StartAttempt | ResumeAttempt | CancelAttempt | DeliverToken | WaitForEngine | EndRequest
)


class ChunkDropReason(Enum):
    """Why a chunk was dropped; the label of a metric."""

    FOREIGN = "foreign"
    REPEATED = "repeated"
    AFTER_END = "after_end"
