"""The data of a request that routing works with."""

from dataclasses import dataclass, field

from liftrill.cache.blocks import CacheScope, block_names
from liftrill.cache.tokenizer import Tokenizer


@dataclass(slots=True)
class RoutedRequest:
    """A validated request of a known tenant.

    Attributes:
        prompt: UTF-8 text.
        prompt_tokens: the number of tokens in the prompt.
        priority: 0 is the most urgent.
        deadline: on the node's monotonic clock, in seconds.
        repeatable: False where the request may run at most once.
        idempotency_key: a UUIDv7 in its canonical form, or empty.
    """

    request_id: str
    tenant: str
    workload: str
    model: str
    prompt: bytes
    prompt_tokens: int
    maximum_tokens: int
    priority: int
    deadline: float
    repeatable: bool = True
    idempotency_key: str = ""
    _salts: dict[CacheScope, bytes] = field(default_factory=dict)
    _names: dict[CacheScope, list[bytes]] = field(default_factory=dict)

    def scope(self, adapter: str, weight_version: str) -> CacheScope:
        """Return the cache scope of this request on engines with the given weights."""
        return CacheScope(self.tenant, self.model, adapter, weight_version)

    def salt(self, scope: CacheScope, secret: bytes) -> bytes:
        """Return the salt of a scope; it is computed once per scope."""
        salt = self._salts.get(scope)
        if salt is None:
            salt = self._salts[scope] = scope.salt(secret)
        return salt

    def block_names(self, scope: CacheScope, secret: bytes, tokenizer: Tokenizer) -> list[bytes]:
        """Return the block names of the prompt in a scope; they are computed once per scope."""
        names = self._names.get(scope)
        if names is None:
            salt = self.salt(scope, secret)
            names = self._names[scope] = block_names(self.prompt, salt, tokenizer)
        return names
