"""Known locations of the shared parts of one prompt under one cache salt."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from liftrill.gateway.engines.prefix_directory import PrefixDirectory, part_number
from liftrill.gateway.opaque_request import PromptPart, PromptShape


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Locations of the shared parts of a prompt, as known to one node.

    Attributes:
        cached_parts: number of leading parts that can be fetched from one place.
        cached_tokens: tokens of these parts.
        prefilling_engine: number of the engine that is prefilling the next part, or 0.
        holder: number of the engine that holds all parts in memory, or 0.
        saved: whether all parts are in a store or on their way there.
    """

    cached_parts: int = 0
    cached_tokens: int = 0
    prefilling_engine: int = 0
    holder: int = 0
    saved: bool = False


NOTHING_CACHED = SharedParts()


def find_shared_parts(
    directory: PrefixDirectory,
    salt: str,
    prompt: PromptShape,
    now: float,
    is_source: Callable[[int], bool],
) -> SharedParts:
    """Return the known locations of the shared parts of a prompt.

    An engine counts as a holder only if `is_source` returns true for its number.
    """
    parts = prompt.shared_parts
    if not parts:
        return NOTHING_CACHED
    numbers = [part_number(salt, part.part_id) for part in parts]
    saved = sum(1 for _ in itertools.takewhile(lambda n: _is_stored(directory, n, now), numbers))
    # An engine that holds only some of the parts may provide less than a store, which may have
    # more parts than this node knows.
    holder = directory.holder(numbers[-1], now)
    if not is_source(holder):
        holder = 0
    count = len(numbers) if holder else saved
    prefilling_engine = (
        directory.prefilling_engine(numbers[count], now) if count < len(numbers) else 0
    )
    all_saved = all(directory.is_saved(number, now) for number in numbers)
    return SharedParts(count, _tokens(parts[:count]), prefilling_engine, holder, all_saved)


def _is_stored(directory: PrefixDirectory, number: int, now: float) -> bool:
    """Return whether a part can be fetched from a store by the time an engine requests it."""
    if directory.is_stored(number, now):
        return True
    return directory.is_saved(number, now) and directory.holder(number, now) != 0


def _tokens(parts: tuple[PromptPart, ...]) -> int:
    return sum(part.tokens for part in parts)
