"""Lets the loops of one process wake together.

An idle node spends most of its processor time on waking up, so the pauses of its loops end at
common ticks rather than each at a time of its own.
"""

import asyncio
import random

# As often as the most frequent loop turns: membership, loads of small fleets, and weights.
TICK_S = 0.1
# Nodes whose clocks agree are not to send at the same moments: links would drop what they send.
_PHASE_S = random.uniform(0.0, TICK_S)


def until_tick_s(pause_s: float) -> float:
    """Return the time to the tick that is nearest to the end of a pause, but not this one."""
    now = asyncio.get_running_loop().time() - _PHASE_S
    last_tick = round(now / TICK_S)
    wake_tick = max(last_tick + 1, round((now + pause_s) / TICK_S))
    return wake_tick * TICK_S - now


async def pause(pause_s: float) -> None:
    """Sleep until the tick that is nearest to the end of a pause."""
    await asyncio.sleep(until_tick_s(pause_s))
