"""The exception tree and the numbered result codes.

Every answer to a caller that is not a success carries one `ResultCode` and one
`Execution`. The code says what went wrong; the execution says whether an engine can
have begun to run the request. `make errors` generates docs/ERRORS.md from this module.
"""

from dataclasses import dataclass
from enum import Enum


class Execution(Enum):
    """Whether an engine ran a request, as reported to its caller."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CodeDetails:
    """Number, HTTP status, meaning and recommended action of one result code."""

    number: int
    http_status: int
    meaning: str
    action: str


class ResultCode(Enum):
    """Numbered result codes: 1xxx bad request, 2xxx refused, 3xxx unresolved, 4xxx operator."""

    MALFORMED_JSON = CodeDetails(1001, 400, "The body is not valid JSON.", "Correct the body.")
    BODY_TOO_LARGE = CodeDetails(
        1002, 413, "The body is larger than the node accepts.", "Send a shorter prompt."
    )
    INVALID_FIELD = CodeDetails(
        1003, 400, "A field is missing or has a wrong type or value.", "Correct the named field."
    )
    UNKNOWN_MODEL = CodeDetails(
        1004, 404, "No pool in the configuration serves this model.", "Ask /v1/models."
    )
    INVALID_API_KEY = CodeDetails(
        1005, 401, "The API key belongs to no tenant.", "Send a key of a configured tenant."
    )
    INVALID_DEADLINE = CodeDetails(
        1006, 400, "The deadline is not a number within the limits.", "Correct the header."
    )
    INVALID_IDEMPOTENCY_KEY = CodeDetails(
        1007,
        400,
        "The request may not be repeated, and its Idempotency-Key is not a UUIDv7.",
        "Send a new UUIDv7 for each request.",
    )
    IDEMPOTENCY_KEY_REUSED = CodeDetails(
        1008, 422, "The key was used before with another body.", "Send a new key for a new request."
    )
    UNKNOWN_PATH = CodeDetails(1009, 404, "No such path.", "See docs/OPERATIONS.md.")
    UNKNOWN_WORKLOAD = CodeDetails(
        1010, 400, "The named workload is not configured.", "Ask the operator for its name."
    )
    UNKNOWN_ROUTE = CodeDetails(
        1011, 404, "No route of the configuration has this host and path.", "Correct the address."
    )
    MALFORMED_REQUEST = CodeDetails(
        1012, 400, "The request is not valid HTTP, or a header is malformed.", "Correct it."
    )
    NO_CONFIGURATION = CodeDetails(
        2001, 503, "The node has no configuration yet.", "Try again after Retry-After."
    )
    NO_ELIGIBLE_ENGINE = CodeDetails(
        2002, 503, "No engine is serving this model.", "Try again after Retry-After."
    )
    RATE_LIMITED = CodeDetails(
        2003, 429, "The tenant or workload is over its rate.", "Try again after Retry-After."
    )
    QUEUE_FULL = CodeDetails(2004, 503, "The node's queue is full.", "Try again after Retry-After.")
    DEADLINE_UNREACHABLE = CodeDetails(
        2005,
        503,
        "The deadline passed, or would pass, before the request could start.",
        "Try again after Retry-After, or allow more time.",
    )
    NODE_DRAINING = CodeDetails(2006, 503, "The node is stopping.", "Send to another node.")
    ENGINES_REFUSED = CodeDetails(
        2007, 503, "Every engine that was asked refused.", "Try again after Retry-After."
    )
    RETRY_BUDGET_EXHAUSTED = CodeDetails(
        2008, 503, "Too many retries of this workload lately.", "Try again after Retry-After."
    )
    CLAIM_CONTENDED = CodeDetails(
        2009, 409, "Another submission of the key was claimed at the same time.", "Try again."
    )
    KEY_NOT_PROVEN = CodeDetails(
        2010,
        503,
        "The node cannot prove that the key is still valid: the store does not answer.",
        "Send to another node, or try again after Retry-After.",
    )
    ENGINES_FULL = CodeDetails(
        2011,
        503,
        "No engine would answer in time: too much waits at all of them.",
        "Try again after Retry-After.",
    )
    QUOTA_EXCEEDED = CodeDetails(
        2012,
        429,
        "The tenant has used what its limit allows over all nodes.",
        "Try again after Retry-After: the limit has room again then.",
    )
    REQUEST_QUARANTINED = CodeDetails(
        2013,
        503,
        "Engines crashed while running this request, or prompts with a part of its prompt: "
        "it is sent to none for some time.",
        "Change the request or the part, or try again after Retry-After. An operator can release "
        "it.",
    )
    MEMORY_SPENT = CodeDetails(
        2014,
        503,
        "The node has no memory for the body, or evicted it because it arrived too slowly.",
        "Send to another node, or try again after Retry-After.",
    )
    NODE_BUSY = CodeDetails(
        2016,
        503,
        "The node is overloaded; others are less loaded.",
        "Send to another node, or try again after Retry-After.",
    )
    ENGINES_AT_REST = CodeDetails(
        2017,
        503,
        "Every engine has asked this node to pause, or is at its limit of requests.",
        "Try again after Retry-After, which is when the first one takes a request again.",
    )
    STREAM_ORIGIN_UNKNOWN = CodeDetails(
        2018,
        503,
        "Engines of several software versions serve, and no node knows which began the stream.",
        "Try again after Retry-After at another node, or begin the stream anew.",
    )
    STREAM_VERSION_UNAVAILABLE = CodeDetails(
        2019,
        503,
        "No engine of the software version that began the stream serves any more.",
        "Try again after Retry-After, or begin the stream anew.",
    )
    ENGINE_LOST = CodeDetails(
        3001, 502, "The engine was lost after the request was sent.", "Check before repeating."
    )
    DEADLINE_PASSED = CodeDetails(
        3002, 504, "The deadline passed after the request was sent.", "Check before repeating."
    )
    STREAM_INTERRUPTED = CodeDetails(
        3003,
        502,
        "The stream could not be continued; what was delivered is a correct beginning.",
        "Repeat the request if that is safe.",
    )
    CLAIM_UNAVAILABLE = CodeDetails(
        3004,
        503,
        "No majority of the claim group can tell whether the key was used.",
        "Repeat with the same key after Retry-After.",
    )
    CLAIM_HELD = CodeDetails(
        3005,
        409,
        "Another submission of this key has begun and its result is not known.",
        "Repeat with the same key after Retry-After to read the result.",
    )
    CALLER_GONE = CodeDetails(3006, 499, "The caller closed the connection.", "None.")
    CLAIM_EXPIRED = CodeDetails(
        3007, 409, "The key is older than claims are kept.", "Check before using a new key."
    )
    REFUSAL_UNPROVEN = CodeDetails(
        3008, 502, "The engine refused the request, but may have run it.", "Check before repeating."
    )
    INTERNAL_ERROR = CodeDetails(
        3999, 500, "The node failed with an unexpected error.", "Report it with the request id."
    )
    INVALID_INTENT = CodeDetails(4001, 422, "The intent is not valid.", "Correct the named field.")
    PLAN_NOT_FOUND = CodeDetails(
        4002, 404, "This node knows no such plan.", "State the intent again."
    )
    PLAN_CONFLICT = CodeDetails(
        4003,
        409,
        "Another plan was confirmed since this one was made.",
        "State the intent again and read the new plan.",
    )
    STORE_UNAVAILABLE = CodeDetails(
        4004, 503, "The platform's store cannot be reached; nothing was changed.", "Try again."
    )
    CONFIRMATION_UNRESOLVED = CodeDetails(
        4005,
        504,
        "The store did not say whether the plan was confirmed.",
        "Confirm the same plan again: it is confirmed at most once.",
    )
    INVALID_OPERATOR_KEY = CodeDetails(
        4006, 401, "The operator key is wrong.", "Send the key from the node's settings."
    )
    REQUEST_NOT_FOUND = CodeDetails(
        4007, 404, "This node remembers no such request.", "Ask the node that served it."
    )

    CLAIM_CHANGE_PENDING = CodeDetails(
        4008,
        409,
        "No majority of the claim group's former members has adopted the change yet.",
        "Confirm again after Retry-After.",
    )

    @property
    def number(self) -> int:
        """The number of the code."""
        return self.value.number

    @property
    def http_status(self) -> int:
        """The HTTP status of a response with this code."""
        return self.value.http_status


class LiftrillError(Exception):
    """Base class of all errors that this project raises."""


class SettingsError(LiftrillError):
    """A settings file or flag is invalid; the message names its source, key, value and fault."""


class StoreError(LiftrillError):
    """Base class of the errors of the platform's key-value store."""


class StoreUnavailableError(StoreError):
    """The store refused the operation or was unreachable: the operation had no effect."""


class StoreAnswerLostError(StoreError):
    """The store's response was lost: the operation may have taken effect."""


class ConfigurationError(LiftrillError):
    """A configuration record is inconsistent: its digest or generation does not match."""


class CodedError(LiftrillError):
    """An error that is reported to a caller or operator with a result code.

    Attributes:
        code: the result code.
        detail: what failed, or empty for the meaning of the code.
        retry_after_seconds: delay before a retry, or None if waiting does not help.
    """

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_seconds: float | None = None
    ) -> None:
        self.code = code
        self.detail = detail
        self.retry_after_seconds = retry_after_seconds
        super().__init__(f"{code.number} {code.name.lower()}: {detail or code.value.meaning}")


class RequestError(CodedError):
    """Base class of the errors that end a caller's request."""

    execution = Execution.UNKNOWN


class InvalidRequestError(RequestError):
    """The request was refused by validation, before any attempt was made."""

    execution = Execution.NOT_RUN


class UnknownOutcomeError(RequestError):
    """An attempt may have begun and its outcome is unknown."""

    execution = Execution.UNKNOWN


class OperatorError(CodedError):
    """An operator's call was refused."""
