"""Tokenizers. The router needs only token boundaries, to split prompts into blocks."""

from abc import ABC, abstractmethod

from liftrill.constants import TOKEN_BYTES


class Tokenizer(ABC):
    """Counts tokens and returns the bytes that identify each block of tokens."""

    @abstractmethod
    def count(self, text: bytes) -> int:
        """Return the number of tokens of a text."""

    @abstractmethod
    def blocks(self, text: bytes, block_tokens: int) -> list[bytes]:
        """Return the content of each full block, in order; a partial last block is omitted."""


class FixedWidthTokenizer(Tokenizer):
    """Counts every `width` bytes as one token, which is close to the average of real tokenizers."""

    def __init__(self, width: int = TOKEN_BYTES) -> None:
        self._width = width

    def count(self, text: bytes) -> int:
        """Return the number of tokens; the last one may be shorter than the width."""
        return -(-len(text) // self._width)

    def blocks(self, text: bytes, block_tokens: int) -> list[bytes]:
        """Return the content of each full block."""
        size = self._width * block_tokens
        full = len(text) - len(text) % size
        return [text[start : start + size] for start in range(0, full, size)]
