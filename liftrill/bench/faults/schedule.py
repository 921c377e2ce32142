"""The schedule of faults: drawn from a seed, so that a run can be repeated."""

import random
from dataclasses import dataclass
from enum import Enum


class FaultAction(Enum):
    """What is done to the system."""

    ENGINE_KILL = "engine_kill"
    ENGINE_CRASH = "engine_crash"
    ENGINE_FREEZE = "engine_freeze"
    ENGINE_CUT_STREAMS = "engine_cut_streams"
    ENGINE_FOREIGN_ANSWERS = "engine_foreign_answers"
    ENGINE_REPEATED_CHUNKS = "engine_repeated_chunks"
    ENGINE_EVENT_LOSS = "engine_event_loss"
    ENGINE_LEAVES = "engine_leaves"
    MACHINE_LIST_LEAVING = "machine_list_leaving"
    NODE_KILL = "node_kill"
    NODE_PAUSE = "node_pause"
    NODE_STOP = "node_stop"
    PLATFORM_OUTAGE = "platform_outage"
    PLATFORM_RESTORE = "platform_restore"
    OPERATOR_RACE = "operator_race"
    WEIGHT_CHANGE = "weight_change"


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault.

    Attributes:
        at: seconds after the start of the load.
        target: draws the engine or node.
        seconds: how long it lasts, where it lasts.
    """

    at: float
    action: FaultAction
    target: int
    seconds: float


FAULT_FREE_SHARE = 0.25
SHORTEST_SECONDS = 0.5
LONGEST_SECONDS = 2.0


def draw_schedule(seed: int, seconds: float) -> list[PlannedFault]:
    """Return every kind of fault once, in random order, after a quiet beginning.

    Faults overlap: their starts are spread evenly with jitter, whatever lasts.
    """
    source = random.Random(f"faults/{seed}")
    actions = list(FaultAction)
    source.shuffle(actions)
    begin = seconds * FAULT_FREE_SHARE
    gap = (seconds - begin) / len(actions)
    return [
        PlannedFault(
            at=begin + gap * (number + source.random() * 0.9),
            action=action,
            target=source.randrange(1_000),
            seconds=source.uniform(SHORTEST_SECONDS, LONGEST_SECONDS),
        )
        for number, action in enumerate(actions)
    ]
