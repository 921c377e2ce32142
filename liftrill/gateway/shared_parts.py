"""What is known of the shared parts of one prompt under one cache salt."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.prefix_directory import PrefixDirectory, part_number


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Where the shared parts of a prompt are, as far as one node knows.

    Attributes:
        kept_parts: how many of them, from the first on, can be fetched from one place.
        kept_tokens: the tokens of these parts.
        reader: the number of the engine that reads the next part now, or 0.
        holder: the number of the engine whose memory has the kept parts, or 0 where they
            are in a store.
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
    saved = sum(1 for _ in itertools.takewhile(lambda n: directory.is_settled(n, now), numbers))
    held, holder = _longest_held(directory, numbers, now, is_source)
    if held < saved:
        holder = 0
    count = max(held, saved)
    reader = directory.reader(numbers[count], now) if count < len(numbers) else 0
    all_saved = directory.is_saved(numbers[-1], now)
    return SharedParts(count, _tokens(parts[:count]), reader, holder, all_saved)


def _longest_held(
    directory: PrefixDirectory, numbers: list[int], now: float, is_source: Callable[[int], bool]
) -> tuple[int, int]:
    """Return how many parts one engine holds, and its number.

    An engine that ran a prompt with a part had all parts before it too.
    """
    for index in range(len(numbers) - 1, -1, -1):
        engine = directory.holder(numbers[index], now)
        if engine and is_source(engine):
            return index + 1, engine
    return 0, 0


def _tokens(parts: tuple[PromptPart, ...]) -> int:
    return sum(part.tokens for part in parts)
