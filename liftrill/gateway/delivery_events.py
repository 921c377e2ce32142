"""Events that the delivery state machine handles, and instructions that it returns."""

import math
from dataclasses import dataclass
from enum import Enum

from liftrill.coordination.permits import Permit
from liftrill.errors import ResultCode
from liftrill.gateway.event_stream import StreamEvent

Headers = tuple[tuple[str, str], ...]


class RefusalKind(Enum):
    """Why an engine certainly did not execute an attempt."""

    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    WRONG_INSTANCE = "wrong_instance"
    WRONG_VERSION = "wrong_version"
    WITHDRAWN = "withdrawn"
    PROXY_UNAVAILABLE = "proxy_unavailable"


@dataclass(frozen=True, slots=True)
class Started:
    """The request was admitted, or an engine may have become free."""


@dataclass(frozen=True, slots=True)
class WaitExpired:
    """The time for which the request may wait for an engine has passed."""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The attempt was certainly not executed."""

    kind: RefusalKind


class EngineEvidence(Enum):
    """What is known of an engine after the connection of a run was lost."""

    # Its port refuses connections and no peer reaches it, or it was seen to have ended.
    ENDED = "ended"
    # This node does not reach it.
    UNREACHED = "unreached"
    RUNNING = "running"
    UNKNOWN = "unknown"

    @property
    def excludes_run(self) -> bool:
        """Whether the engine cannot be working on the run for this node any more."""
        return self in (EngineEvidence.ENDED, EngineEvidence.UNREACHED)


@dataclass(frozen=True, slots=True)
class AttemptInterrupted:
    """The attempt was sent and ended without a complete response; it may have run.

    Attributes:
        is_rejected: whether this node ended it because what the engine sent is no valid response.
        evidence: what is known of the engine.
        was_closed: whether its connection was closed in order.
    """

    reason: str = ""
    is_rejected: bool = False
    evidence: EngineEvidence = EngineEvidence.UNKNOWN
    was_closed: bool = False


@dataclass(frozen=True, slots=True)
class AttemptUnconfirmed:
    """Nothing of a response may be passed on: the chosen incarnation may not have written it.

    Attributes:
        is_other: whether another incarnation answers at the address.
        reply: what came back when the address was asked.
    """

    is_other: bool
    reply: str


class Framing(Enum):
    """How the end of a response's body is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # Only by the end of the connection.
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """The complete response of an engine."""

    status: int
    headers: Headers
    body: bytes
    framing: Framing = Framing.LENGTH


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """The head of a successful streamed response."""

    status: int
    headers: Headers
    framing: Framing = Framing.CHUNKS


@dataclass(frozen=True, slots=True)
class EventReceived:
    """One complete event of the stream.

    Attributes:
        is_repeated: whether the caller has it from an earlier attempt.
    """

    event: StreamEvent
    is_repeated: bool = False


@dataclass(frozen=True, slots=True)
class StreamCompleted:
    """The engine ended the stream as complete."""


@dataclass(frozen=True, slots=True)
class CloseTimes:
    """When the connection of a response was closed.

    Attributes:
        delay_s: the longest time that may lie between the last bytes and the close.
        closed_at: when the close was seen, or infinity if that is not known.
        unread_s: how much of the delay this node may have caused, as it did not read.
        is_after_end: whether the response had marked its end before, so that the close has no due
            time.
    """

    delay_s: float = 0.0
    closed_at: float = math.inf
    unread_s: float = 0.0
    is_after_end: bool = False

    @property
    def shortest_delay_s(self) -> float:
        """The shortest time that may lie between the last bytes and the close."""
        return max(0.0, self.delay_s - self.unread_s)


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection of a response was closed, and nothing else shows that the response is whole.

    The driver replaces it by the completion of the response or by its interruption.

    Attributes:
        completed: the event to handle if the response is complete.
    """

    completed: CompleteResponse | StreamCompleted
    times: CloseTimes = CloseTimes()

    @property
    def is_marked(self) -> bool:
        """Whether the response had marked its end before, and the engine was not to close."""
        return self.times.is_after_end


@dataclass(frozen=True, slots=True)
class EndDoubted:
    """An engine that runs closed a stream that may run again, and may lack its last events."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the caller or of the route has passed."""


DeliveryEvent = (
    Started
    | WaitExpired
    | AttemptRefused
    | AttemptInterrupted
    | AttemptUnconfirmed
    | CompleteResponse
    | StreamOpened
    | EventReceived
    | StreamCompleted
    | ConnectionClosed
    | EndDoubted
    | DeadlinePassed
)


@dataclass(frozen=True, slots=True)
class EngineAddress:
    """An incarnation of an engine and its address.

    Attributes:
        number: hash of the incarnation's name, or 0 if the engine's id identifies only one.
    """

    engine_id: str
    address: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class ProxyNode:
    """A peer that passes on requests to an engine.

    Attributes:
        address: HOST:PORT of its proxy server.
    """

    node_id: str
    address: str


@dataclass(frozen=True, slots=True)
class SlotPermit:
    """Permit for a slot of a brittle engine.

    Attributes:
        user: id of the request for which it was requested, or empty.
    """

    user: str


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engine chosen for a request, and the instructions that the attempt sends it.

    Attributes:
        weight_version: the version that the engine must have, or 0 if the request has no model.
        cache_salt: scope of the cached prompt parts, or empty.
        fetch_from: address of an engine or store that may have the prompt cached, or empty.
        save_to: address of the store that is to cache the prompt, or empty.
        is_saved: whether a store probably has the shared parts already.
        expected_prefill_tokens: prompt tokens that the engine will probably have to process.
        backup: the engine that receives a copy of the run as it grows, or None.
        continues_at_backup: whether the engine is to continue its copy of an interrupted run.
        number: hash of the incarnation's name.
        permit: permit to send to an engine that announced a rate limit, or None.
        proxy: the peer that passes on the request, or None for the node's own link.
        slot: permit for a slot of a brittle engine, or None.
        software_version: version of the engine's software at the time of the choice.
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
    proxy: ProxyNode | None = None
    slot: SlotPermit | None = None
    software_version: str = ""

    @property
    def send_to(self) -> str:
        """HOST:PORT to which the request is sent."""
        return self.proxy.address if self.proxy is not None else self.address

    @property
    def unconnected_kind(self) -> RefusalKind:
        """Why an attempt is refused that could not connect to `send_to`."""
        if self.proxy is not None:
            return RefusalKind.PROXY_UNAVAILABLE
        return RefusalKind.UNREACHABLE

    @property
    def engine(self) -> EngineAddress:
        """The chosen incarnation and its address."""
        return EngineAddress(self.engine_id, self.address, self.number)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to an engine.

    Attributes:
        resume_after: id of the last event that the caller has, or None for the complete stream.
        may_run_anew: whether the request may be sent again if this attempt is interrupted.
        begins_run: whether no engine can have run the request before.
    """

    choice: EngineChoice
    resume_after: int | None
    may_run_anew: bool = False
    begins_run: bool = False


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Close the connection of the attempt, so that the engine stops working on it."""


@dataclass(frozen=True, slots=True)
class WaitForEngine:
    """Hold the request until an engine may be free.

    Attributes:
        for_capacity: whether engines are available but have no capacity for the request.
    """

    for_capacity: bool = False


@dataclass(frozen=True, slots=True)
class SendHead:
    """Send the head of the response to the caller."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class SendEvent:
    """Forward one event to the caller."""

    event: StreamEvent


@dataclass(frozen=True, slots=True)
class FinishStream:
    """End the response to the caller as complete."""


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Send an engine's complete response to the caller."""

    response: CompleteResponse


@dataclass(frozen=True, slots=True)
class AbortStream:
    """Abort a response that was begun, so that the caller cannot take it for complete."""

    code: ResultCode


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Respond that the request was not run and never will be."""

    code: ResultCode
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Respond that the outcome of the request is unknown."""

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
