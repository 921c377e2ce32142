"""Requests of callers: OpenAI's completions and chat completions, and liftrill's headers."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from liftrill import constants
from liftrill.errors import InvalidRequestError, ResultCode

API_KEY_HEADER = "Authorization"
BEARER_PREFIX = "Bearer "
WORKLOAD_HEADER = "Liftrill-Workload"
DEADLINE_HEADER = "Liftrill-Deadline-Milliseconds"
REPEATABLE_HEADER = "Liftrill-Repeatable"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "Liftrill-Request-Id"
EXECUTION_HEADER = "Liftrill-Execution"
CODE_HEADER = "Liftrill-Code"
UUID_VERSION = 7


class CompletionRequest(BaseModel):
    """Body of `POST /v1/completions`; unknown fields are ignored, as OpenAI's clients expect."""

    model_config = ConfigDict(extra="ignore")

    model: str = Field(min_length=1)
    prompt: str
    max_tokens: int = Field(
        default=constants.DEFAULT_MAXIMUM_TOKENS, ge=1, le=constants.LARGEST_MAXIMUM_TOKENS
    )
    stream: bool = False
    n: Literal[1] = 1

    def prompt_text(self) -> str:
        """Return the prompt for the engine."""
        return self.prompt


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="ignore")

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str


class ChatRequest(BaseModel):
    """Body of `POST /v1/chat/completions`."""

    model_config = ConfigDict(extra="ignore")

    model: str = Field(min_length=1)
    messages: list[ChatMessage] = Field(min_length=1)
    max_tokens: int = Field(
        default=constants.DEFAULT_MAXIMUM_TOKENS, ge=1, le=constants.LARGEST_MAXIMUM_TOKENS
    )
    stream: bool = False
    n: Literal[1] = 1

    def prompt_text(self) -> str:
        """Return the conversation in the engines' chat template."""
        turns = [f"<|{message.role}|>\n{message.content}\n" for message in self.messages]
        return "".join(turns) + "<|assistant|>\n"


CallerBody = CompletionRequest | ChatRequest


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The parsed headers of a request.

    Attributes:
        deadline_milliseconds: None if the workload's deadline applies.
        idempotency_key: canonical UUIDv7, or empty for a repeatable request.
    """

    api_key: str
    workload: str
    deadline_milliseconds: int | None
    repeatable: bool
    idempotency_key: str


def parse_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Parse and validate the headers of a request.

    Raises:
        InvalidRequestError: a header has an invalid value.
    """
    authorization = headers.get(API_KEY_HEADER, "")
    repeatable = headers.get(REPEATABLE_HEADER, "yes").lower() != "no"
    return CallerHeaders(
        api_key=authorization.removeprefix(BEARER_PREFIX).strip(),
        workload=headers.get(WORKLOAD_HEADER, ""),
        deadline_milliseconds=_parse_deadline(headers.get(DEADLINE_HEADER)),
        repeatable=repeatable,
        idempotency_key="" if repeatable else _parse_uuid7(headers.get(IDEMPOTENCY_HEADER, "")),
    )


def parse_body(schema: type[CallerBody], content: bytes) -> CallerBody:
    """Parse and validate the body of a request.

    Raises:
        InvalidRequestError: the body is not JSON or a field is invalid.
    """
    try:
        return schema.model_validate_json(content)
    except ValidationError as error:
        problem = error.errors(include_url=False, include_input=False)[0]
        if problem["type"] == "json_invalid":
            raise InvalidRequestError(ResultCode.MALFORMED_JSON, problem["msg"]) from error
        field = ".".join(str(part) for part in problem["loc"]) or "body"
        detail = f"{field}: {problem['msg']}"
        raise InvalidRequestError(ResultCode.INVALID_FIELD, detail) from error


def _parse_deadline(value: str | None) -> int | None:
    if value is None:
        return None
    shortest = constants.SHORTEST_DEADLINE_MILLISECONDS
    longest = constants.LONGEST_DEADLINE_MILLISECONDS
    if not value.isascii() or not value.isdigit() or not shortest <= int(value[:12]) <= longest:
        detail = (
            f"{DEADLINE_HEADER}: {value[:40]!r}: expected milliseconds from {shortest} to {longest}"
        )
        raise InvalidRequestError(ResultCode.INVALID_DEADLINE, detail)
    return int(value)


def _parse_uuid7(value: str) -> str:
    try:
        key = uuid.UUID(value)
    except ValueError as error:
        raise InvalidRequestError(ResultCode.INVALID_IDEMPOTENCY_KEY) from error
    if key.version != UUID_VERSION:
        raise InvalidRequestError(ResultCode.INVALID_IDEMPOTENCY_KEY)
    return str(key)
