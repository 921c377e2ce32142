"""Input and output messages of the engine model, and its parameters."""

from dataclasses import dataclass, field
from enum import Enum

import xxhash


class RefusalReason(Enum):
    """Why an engine refused an attempt; a refused attempt was definitely not run."""

    INCARNATION_MISMATCH = "incarnation_mismatch"
    WEIGHT_VERSION_MISMATCH = "weight_version_mismatch"
    SALT_MISSING = "salt_missing"
    QUEUE_FULL = "queue_full"
    LEAVING = "leaving"
    LOADING = "loading"
    DUPLICATE_ATTEMPT = "duplicate_attempt"
    STALE_FENCE = "stale_fence"
    WRONG_POOL = "wrong_pool"
    MODEL_MISMATCH = "model_mismatch"
    PROMPT_TOO_LONG = "prompt_too_long"


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One attempt to generate the output of a request.

    Attributes:
        prompt: UTF-8 text, including the output that earlier attempts delivered.
        start_index: index in the whole output of the first token that this attempt generates.
        incarnation: the engine incarnation the sender expects, or None for any.
        weight_version: the weight version the sender expects, or None for any.
        salt: key of the block hashes; attempts with an empty one are refused.
        model: the model the sender expects, or empty for any.
        kept_blocks: leading blocks that can be imported from the kept-KV store.
        user: the user of the request, recorded to audit the reuse of cached blocks.
    """

    request_id: str
    attempt_id: str
    prompt: bytes
    maximum_tokens: int
    salt: bytes
    priority: int = 1
    start_index: int = 0
    incarnation: int | None = None
    weight_version: str | None = None
    user: str = ""
    kept_blocks: int = 0
    model: str = ""


@dataclass(frozen=True, slots=True)
class Assignment:
    """The pool, model and weight version that an engine serves."""

    pool: str
    model: str
    weight_version: str


@dataclass(frozen=True, slots=True)
class BlockOrigin:
    """The user whose request computed a cached block, and the weight version used."""

    user: str
    weight_version: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of one attempt."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class TokenProduced:
    """One generated token and its index in the whole output."""

    attempt_id: str
    index: int
    text: str


@dataclass(frozen=True, slots=True)
class GenerationFinished:
    """The end of an attempt, with its finish reason and token counts."""

    attempt_id: str
    finish_reason: str
    usage: Usage


EngineOutput = TokenProduced | GenerationFinished


class CacheEventKind(Enum):
    """The kind of change of a cached block."""

    STORED = "stored"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the prefix cache; a gap in the sequence numbers shows lost events."""

    sequence: int
    kind: CacheEventKind
    block_name: bytes


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an engine, as measured at a past time."""

    measured_at: float
    running: int
    waiting: int
    waiting_prompt_tokens: int
    memory_blocks: int
    cached_blocks: int


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """The parameters of an engine's cost model, documented in docs/EMULATOR.md."""

    block_tokens: int = 64
    memory_blocks: int = 2_000
    prefill_tokens_per_second: float = 20_000.0
    import_tokens_per_second: float = 100_000.0
    prefill_chunk_tokens: int = 2_048
    step_base_seconds: float = 0.008
    step_seconds_per_sequence: float = 0.0002
    maximum_running: int = 32
    maximum_waiting: int = 64
    idle_eviction_seconds: float = 20.0
    report_lag_seconds: float = 0.5
    event_lag_seconds: float = 0.5
    event_loss_share: float = 0.01
    resume_window_seconds: float = 2.0


@dataclass(slots=True)
class Generation:
    """The state of an attempt that the engine holds.

    Attributes:
        order: position in the order of arrival.
        hasher: state from which the next token is drawn.
        prefill_tokens_left: remaining prefill in tokens, in which the cost of imported blocks is
            included, or -1 while the attempt waits.
        finished: the final output, or None while the attempt waits or runs.
        detached_at: when the output lost its reader or ended, or None before that; the attempt is
            dropped when the resume window has passed since.
        reused_origins: origins of the cached blocks that were reused.
    """

    request: GenerationRequest
    arrived_at: float
    order: int
    prompt_tokens: int
    block_names: list[bytes]
    hasher: xxhash.xxh3_64
    cached_tokens: int = 0
    prefill_tokens_left: int = -1
    texts: list[str] = field(default_factory=list)
    finished: GenerationFinished | None = None
    detached_at: float | None = None
    reused_origins: frozenset[BlockOrigin] = frozenset()

    @property
    def started(self) -> bool:
        """Whether the engine has begun to process the prompt."""
        return self.prefill_tokens_left >= 0
