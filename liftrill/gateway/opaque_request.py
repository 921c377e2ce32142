"""A request whose body the gateway does not read."""

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

from liftrill import constants
from liftrill.gateway.records import RequestKind, RouteRule

# Two requests of a fleet are taken for one by accident with a chance of 2^-128 each; a digest
# that can't be aimed keeps one caller from naming another one's request.
FINGERPRINT_BYTES = 16


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, named by its caller; equal names hold equal tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptShape:
    """What the caller tells of a prompt.

    Attributes:
        parts: in order; the last one belongs to the request or its session alone.
        prompt_tokens: tokens of the whole prompt.
        output_tokens: the most tokens that will be generated.
    """

    model: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def declared_tokens(self) -> int:
        """The most tokens that an engine holds for the request."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """The tokens of the parts that other requests may have too."""
        return sum(part.tokens for part in self.shared_parts)


@dataclass(frozen=True)
class OpaqueRequest:
    """One request of a caller, read whole and allowed by the configuration.

    Attributes:
        request_id: the caller's own id, passed on unchanged.
        target: path and query exactly as received.
        headers: pairs to pass on, in order, repeated ones kept.
        service: the service that the route's split chose.
        tenant: name of the tenant, or empty.
        received_at: on the steady clock, seconds.
        deadline: on the steady clock, seconds; the earlier of caller's and route's.
        last_event_id: where the caller asks a stream to go on, or None.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: RouteRule
    service: str
    tenant: str
    isolated: bool
    priority: int
    prompt: PromptShape | None
    received_at: float
    deadline: float
    last_event_id: int | None = None

    @cached_property
    def fingerprint(self) -> bytes:
        """The name of what is asked, by whom: the same whenever it is sent again, unlike the id."""
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        words = (self.method, self.route.host, self.target, self.tenant)
        for field in (*(word.encode() for word in words), self.body):
            digest.update(len(field).to_bytes(4, "big"))
            digest.update(field)
        return digest.digest()

    def max_retry_wait_s(self, now: float) -> float:
        """Return for how long the caller waits at the most if it is told to come back."""
        return constants.PATIENCE_SHARE * max(0.0, self.deadline - now)

    @property
    def wait_deadline(self) -> float:
        """Until when it may wait for an engine here, on the steady clock."""
        return self.received_at + constants.ENGINE_WAIT_TARGET_SHARE * self.route.target_seconds

    def release_body(self) -> None:
        """Let go of a body that is sent to no engine any more; the request's name stays known."""
        _ = self.fingerprint
        object.__setattr__(self, "body", b"")

    @property
    def may_run_again(self) -> bool:
        """Whether a second run is allowed after the first may have begun."""
        if self.route.kind is RequestKind.STREAM:
            return self.route.resumable
        return self.route.kind is RequestKind.IDEMPOTENT

    @cached_property
    def shared_tokens(self) -> int:
        """The tokens of the parts that other requests may have too."""
        return self.prompt.shared_tokens if self.prompt else 0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RequestKind.STREAM
