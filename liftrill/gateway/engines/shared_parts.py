"""What is known of the shared parts of one prompt under one cache salt."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from liftrill.gateway.engines.prefix_directory import PrefixDirectory, part_number
from liftrill.gateway.opaque_request import PromptPart, PromptShape


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Where the shared parts of a prompt are, as far as one node knows.

    Attributes:
        kept_parts: how many of them, from the first on, can be fetched from one place.
        kept_tokens: the tokens of these parts.
        reader: the number of the engine that reads the next part now, or 0.
        holder: the number of the engine whose memory has them all, or 0.
        saved: whether all are in a store, or on their way there.
    """

    kept_parts: int = 0
    kept_tokens: int = 0
    reader: int = 0
    holder: int = 0
    saved: bool = False


NOTHING_KEPT = SharedParts()


def find_shared_parts(
    directory: PrefixDirectory,
    salt: str,
    prompt: PromptShape,
    now: float,
    is_source: Callable[[int], bool],
) -> SharedParts:
    """Return what a directory knows of the shared parts of a prompt.

    Engines are only counted where `is_source` says that their number may be fetched from.
    """
    parts = prompt.shared_parts
    if not parts:
        return NOTHING_KEPT
    numbers = [part_number(salt, part.part_id) for part in parts]
    saved = sum(1 for _ in itertools.takewhile(lambda n: _is_stored(directory, n, now), numbers))
    # From an engine that has only some of them, less may come than from a store: that may
    # have more than this node knows.
    holder = directory.holder(numbers[-1], now)
    if not is_source(holder):
        holder = 0
    count = len(numbers) if holder else saved
    reader = directory.reader(numbers[count], now) if count < len(numbers) else 0
    all_saved = all(directory.is_saved(number, now) for number in numbers)
    return SharedParts(count, _tokens(parts[:count]), reader, holder, all_saved)


def _is_stored(directory: PrefixDirectory, number: int, now: float) -> bool:
    """Return whether a part can be fetched from a store by the time that an engine asks."""
    if directory.is_stored(number, now):
        return True
    return directory.is_saved(number, now) and directory.holder(number, now) != 0


def _tokens(parts: tuple[PromptPart, ...]) -> int:
    return sum(part.tokens for part in parts)
