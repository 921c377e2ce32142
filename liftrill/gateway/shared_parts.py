"""What is known of the shared parts of one prompt under one cache salt."""

import itertools
from dataclasses import dataclass

from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.prefix_directory import PrefixDirectory, part_number


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Where the shared parts of a prompt are, as far as one node knows.

    Attributes:
        kept_parts: how many of them, from the first on, can be fetched from somewhere.
        kept_tokens: the tokens of these parts.
        reader: the number of the engine that reads the next part now, or 0.
        holder: the number of the engine that used all of them lately, or 0.
    """

    kept_parts: int = 0
    kept_tokens: int = 0
    reader: int = 0
    holder: int = 0


NOTHING_KEPT = SharedParts()


def find_shared_parts(
    directory: PrefixDirectory, salt: str, prompt: PromptShape, now: float
) -> SharedParts:
    """Return what a directory knows of the shared parts of a prompt."""
    parts = prompt.shared_parts
    if not parts:
        return NOTHING_KEPT
    numbers = [part_number(salt, part.part_id) for part in parts]
    kept = list(itertools.takewhile(lambda n: _is_kept(directory, n, now), numbers))
    count = len(kept)
    reader = directory.holder(numbers[count], now) if count < len(numbers) else 0
    used = count > 0 and directory.is_saved(numbers[-1], now)
    holder = directory.holder(numbers[-1], now) if used else 0
    return SharedParts(count, _tokens(parts[:count]), reader, holder)


def _is_kept(directory: PrefixDirectory, number: int, now: float) -> bool:
    """Return whether a part can be fetched: from the store, or from who has just read it."""
    if directory.is_settled(number, now):
        return True
    return directory.is_saved(number, now) and directory.holder(number, now) != 0


def _tokens(parts: tuple[PromptPart, ...]) -> int:
    return sum(part.tokens for part in parts)
