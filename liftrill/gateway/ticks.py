"""Aligns the wake-ups of one process's loops.

An idle node spends most of its processor time on wake-ups, so the loops wake up at
common ticks instead of at independent times.
"""

import asyncio
import random

# The interval of the most frequent loops: membership, loads of small fleets, and weights.
TICK_S = 0.1
# Random phase, so that nodes with synchronized clocks do not all send at once: the links would
# drop packets.
_PHASE_S = random.uniform(0.0, TICK_S)


def until_tick_s(pause_s: float) -> float:
    """Return the time to the tick nearest to the end of a pause, and at least to the next tick."""
    now = asyncio.get_running_loop().time() - _PHASE_S
    last_tick = round(now / TICK_S)
    wake_tick = max(last_tick + 1, round((now + pause_s) / TICK_S))
    return wake_tick * TICK_S - now


async def pause(pause_s: float) -> None:
    """Sleep until the tick nearest to the end of a pause, and at least until the next tick."""
    await asyncio.sleep(until_tick_s(pause_s))
