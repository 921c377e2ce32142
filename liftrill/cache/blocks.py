"""Names of prefix blocks.

A block's name is a hash of its parent's name and its content. The key of the hash is a salt
derived from the tenant, model, adapter and weight version, so that blocks of different tenants or
weight versions have different names.
"""

import hashlib
from dataclasses import dataclass

from liftrill.cache.tokenizer import Tokenizer
from liftrill.constants import BLOCK_TOKENS
from liftrill.mechanisms import Mechanism, is_enabled

NAME_BYTES = 16
SALT_BYTES = 32


@dataclass(frozen=True, slots=True)
class CacheScope:
    """The scope of a cached block; blocks are shared only within one scope."""

    tenant: str
    model: str
    adapter: str
    weight_version: str

    def salt(self, secret: bytes) -> bytes:
        """Return the key of the scope's block hashes (32 bytes)."""
        hasher = hashlib.blake2b(digest_size=SALT_BYTES, key=secret[:64])
        if not is_enabled(Mechanism.SCOPED_SALT):
            return hasher.digest()
        for part in (self.tenant, self.model, self.adapter, self.weight_version):
            encoded = part.encode()
            hasher.update(len(encoded).to_bytes(4, "big"))
            hasher.update(encoded)
        return hasher.digest()


def block_names(
    text: bytes, salt: bytes, tokenizer: Tokenizer, block_tokens: int = BLOCK_TOKENS
) -> list[bytes]:
    """Return the names of the full blocks of a prompt, in order (16 bytes each)."""
    names: list[bytes] = []
    parent = b""
    for content in tokenizer.blocks(text, block_tokens):
        parent = hashlib.blake2b(parent + content, digest_size=NAME_BYTES, key=salt).digest()
        names.append(parent)
    return names
