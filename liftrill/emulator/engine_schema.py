"""HTTP request bodies of the engine emulator: OpenAI completions with common extensions."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from liftrill.emulator.engine_messages import GenerationRequest


class CompletionBody(BaseModel):
    """Body of `POST /v1/completions`.

    `cache_salt`, `priority` and `request_id` are as in common engines. The other extensions
    are preconditions, the position to resume from, and blocks that may be imported.
    """

    model_config = ConfigDict(extra="ignore")

    model: str = ""
    prompt: str
    max_tokens: int = Field(default=16, ge=1)
    cache_salt: str = ""
    priority: int = 1
    request_id: str
    attempt_id: str
    start_index: int = Field(default=0, ge=0)
    incarnation: int | None = None
    weight_version: str | None = None
    idempotency_key: str = ""
    user: str = ""
    import_candidates: list[str] = Field(default_factory=list)

    def to_request(self, kept_blocks: int) -> GenerationRequest:
        """Return the attempt as a message to the engine model."""
        return GenerationRequest(
            request_id=self.request_id,
            attempt_id=self.attempt_id,
            prompt=self.prompt.encode(),
            maximum_tokens=self.max_tokens,
            salt=bytes.fromhex(self.cache_salt),
            priority=self.priority,
            start_index=self.start_index,
            incarnation=self.incarnation,
            weight_version=self.weight_version,
            user=self.user,
            kept_blocks=kept_blocks,
            model=self.model,
        )


class OrderBody(BaseModel):
    """Body of `POST /v1/orders`: an order of an authority, with its fencing token."""

    model_config = ConfigDict(extra="forbid")

    order_id: str
    authority: str
    fence: int
    action: Literal["assign", "leave"]
    expected_pool: str = ""
    pool: str = ""
    model: str = ""
    weight_version: str = ""


class ExportBody(BaseModel):
    """Body of `POST /v1/exports`: copy a cached prefix to the kept-KV store."""

    model_config = ConfigDict(extra="forbid")

    name: str
    blocks: int = Field(gt=0)
