"""Keeps long prompts away from a part of the engines.

An engine reads prompts between the steps of the streams that it runs: while it reads long
ones, one after the other, the pauses of its streams grow. What nodes know of each other's
requests is too old to see that coming. So a part of the engines, the same for all nodes,
is left to short prompts, as far as these can use it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.gateway.engine_table import EngineView

# A prompt that takes longer to read makes streams pause noticeably.
LONG_READING_S = 0.05
# With fewer engines one is too great a part (guess).
FEWEST_ENGINES = 8
# Share of the engines for short prompts.
SHORT_SHARE = 0.2
# Scatters the numbers of engines in another way than the choice of homes does.
SCATTER = 0x9E3779B97F4A7C15
NUMBERS = 1 << 64


@dataclass(frozen=True, slots=True)
class EngineSplit:
    """The engines of one service that are left to short prompts, by number."""

    for_short: frozenset[int] = frozenset()

    def suits(self, view: EngineView, is_long: bool) -> bool:
        """Return whether an engine is one for prompts of a length."""
        return not self.for_short or is_long != (view.number in self.for_short)


def split_engines(views: Sequence[EngineView]) -> EngineSplit:
    """Return which of some engines are left to short prompts."""
    if len(views) < FEWEST_ENGINES:
        return EngineSplit()
    count = max(1, round(SHORT_SHARE * len(views)))
    ranked = sorted(view.number * SCATTER % NUMBERS for view in views)
    limit = ranked[count - 1]
    return EngineSplit(frozenset(v.number for v in views if v.number * SCATTER % NUMBERS <= limit))
