"""A request whose body the gateway does not parse."""

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

import xxhash

from liftrill import constants
from liftrill.gateway.records import RequestKind, RouteRule

# Two requests collide by accident with a probability of 2^-128. The digest is cryptographic, so
# that no caller can construct a request with the fingerprint of another caller's.
FINGERPRINT_BYTES = 16
# The number of shared parts of one prompt that are held responsible for crashes of engines; the
# size limit of request heads allows more.
MAX_PART_DIGESTS = 256
_PART_DIGEST_KEY = b"prompt part"


def part_digest(scope: str, part_id: str) -> bytes:
    """Return the digest of a prompt part within a scope of callers, the same on all nodes.

    Like a fingerprint, it is cryptographic: callers choose the ids of parts.
    """
    text = f"{scope}\0{part_id}".encode()
    return blake2b(text, digest_size=FINGERPRINT_BYTES, key=_PART_DIGEST_KEY).digest()


def tenant_number(tenant: str) -> int:
    """Return the 64-bit hash that identifies a tenant in messages to peers."""
    return xxhash.xxh3_64_intdigest(tenant.encode())


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, identified by its caller; equal ids stand for equal tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptShape:
    """What the caller declares about a prompt.

    Attributes:
        parts: in order; the last one belongs only to the request or its session.
        prompt_tokens: tokens of the whole prompt.
        output_tokens: the maximum number of tokens to generate.
    """

    model: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def declared_tokens(self) -> int:
        """The maximum number of tokens that an engine holds for the request."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """The number of tokens in the parts that other requests may share."""
        return sum(part.tokens for part in self.shared_parts)


@dataclass(frozen=True)
class OpaqueRequest:
    """One request of a caller, completely read and admitted by the configuration.

    Attributes:
        request_id: the caller's own id, passed on unchanged.
        target: path and query exactly as received.
        headers: pairs to pass on, in order, including repeated ones.
        service: the service that the route's weighted split chose.
        tenant: name of the tenant, or empty.
        received_at: on the steady clock, seconds.
        deadline: on the steady clock, seconds; the earlier of the caller's and the route's.
        last_event_id: the event after which the caller resumes a stream, or None.
        resumed_request_id: id of the request that began the stream to resume, or empty.
        cache_scope: whose requests may use the cached parts of its prompt; see `shared_scope`.
        required_software_version: the only version of engines that may serve it, or None.
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
    resumed_request_id: str = ""
    cache_scope: str = ""
    required_software_version: str | None = None

    @cached_property
    def fingerprint(self) -> bytes:
        """Hash of the request's content and tenant: unlike the id, the same in each retry."""
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        texts = (self.method, self.route.host, self.target, self.tenant)
        for field in (*(text.encode() for text in texts), self.body):
            digest.update(len(field).to_bytes(4, "big"))
            digest.update(field)
        return digest.digest()

    @cached_property
    def part_ids(self) -> dict[bytes, str]:
        """The ids of the parts that other requests may share, by their digests.

        The parts of an isolated tenant are no other tenant's, even if their ids are equal.
        """
        if self.prompt is None:
            return {}
        scope = self.tenant if self.isolated else ""
        parts = self.prompt.shared_parts[:MAX_PART_DIGESTS]
        return {part_digest(scope, part.part_id): part.part_id for part in parts}

    @property
    def subjects(self) -> tuple[bytes, ...]:
        """What may crash engines: the request itself, and the parts of its prompt."""
        return (self.fingerprint, *self.part_ids)

    def max_retry_wait_s(self, now: float) -> float:
        """Return the longest time that the caller would wait before a retry if refused now."""
        return constants.RETRY_WAIT_DEADLINE_SHARE * max(0.0, self.deadline - now)

    @property
    def wait_deadline(self) -> float:
        """The time until which the request may wait for an engine here, on the steady clock."""
        return self.received_at + constants.ENGINE_WAIT_TARGET_SHARE * self.route.target_seconds

    def release_body(self) -> None:
        """Free the body once no engine can need it; the fingerprint is computed before."""
        _ = self.fingerprint
        object.__setattr__(self, "body", b"")

    def require_software_version(self, software_version: str) -> None:
        """Let only engines of one software version serve the request from now on."""
        object.__setattr__(self, "required_software_version", software_version)

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller already has events of the stream from an earlier request."""
        return self.is_stream and bool(self.resumed_request_id or self.last_event_id)

    @property
    def may_run_again(self) -> bool:
        """Whether the request may be run again after a run of it may have begun."""
        if self.route.kind is RequestKind.STREAM:
            return self.route.resumable
        return self.route.kind is RequestKind.IDEMPOTENT

    @cached_property
    def shared_tokens(self) -> int:
        """The number of tokens in the parts that other requests may share."""
        return self.prompt.shared_tokens if self.prompt else 0

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RequestKind.STREAM
