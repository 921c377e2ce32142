"""Events into and instructions out of the request state machine."""

from dataclasses import dataclass
from enum import Enum

from liftrill.errors import ResultCode
from liftrill.routing.outcome import Outcome


class RefusalKind(Enum):
    """Why an engine definitely did not run an attempt."""

    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    MISMATCH = "mismatch"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class DispatchPermitted:
    """The request was admitted, or an engine may have become free."""


@dataclass(frozen=True, slots=True)
class QueueingRefused:
    """The request cannot wait for an engine: the queue is full or the wait too long."""

    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The engine said that it did not run the attempt, or was never reached."""

    attempt_id: str
    kind: RefusalKind


@dataclass(frozen=True, slots=True)
class TokenReceived:
    """A chunk arrived; request and attempt ids are those the chunk itself carries."""

    request_id: str
    attempt_id: str
    index: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The engine said that the generation is complete."""

    request_id: str
    attempt_id: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """The connection was lost or fell silent after the request was sent."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ResumeRefused:
    """The engine no longer holds the attempt, or could not be reached again."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Nobody reads the answer any more."""


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
        incarnation: the engine incarnation that must match, or None if not known yet.
        delivered_text: what was delivered already; it is appended to the prompt.
        start_index: index of the first token to generate.
        expected_prefill_tokens: prompt tokens that the engine will have to compute.
        import_candidates: names of prefixes, shortest first, of which the engine may
            import the longest that the kept-KV store has, where its own cache is shorter.
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
    """Read a running attempt's output again from an index."""

    attempt_id: str
    engine_id: str
    from_index: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell an engine to stop an attempt whose output nobody will read."""

    attempt_id: str
    engine_id: str


@dataclass(frozen=True, slots=True)
class DeliverToken:
    """Pass a token on to the caller."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class WaitForEngine:
    """Hold the request until an engine may be free."""


@dataclass(frozen=True, slots=True)
class EndRequest:
    """The request has ended."""

    outcome: Outcome


RequestInstruction = (
    StartAttempt | ResumeAttempt | CancelAttempt | DeliverToken | WaitForEngine | EndRequest
)


class ChunkDropReason(Enum):
    """Why a chunk was dropped; counted."""

    FOREIGN = "foreign"
    REPEATED = "repeated"
    AFTER_END = "after_end"
