"""Draws the schedule of faults from a seed, so that a run can be repeated."""

import random
from dataclasses import dataclass
from enum import Enum


class FaultAction(Enum):
    """The kinds of faults."""

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
    """A scheduled fault.

    Attributes:
        at: seconds after the start of the load.
        target: random number that selects the engine or node.
        seconds: duration; ignored by faults without one.
    """

    at: float
    action: FaultAction
    target: int
    seconds: float


FAULT_FREE_SHARE = 0.25
MINIMUM_FAULT_SECONDS = 0.5
MAXIMUM_FAULT_SECONDS = 2.0


def draw_schedule(seed: int, seconds: float) -> list[PlannedFault]:
    """Return a schedule with each kind of fault once, in random order, after a fault-free period.

    Start times are spaced evenly with jitter and do not depend on durations, so faults can overlap.
    """
    random_source = random.Random(f"faults/{seed}")
    actions = list(FaultAction)
    random_source.shuffle(actions)
    first_fault_at = seconds * FAULT_FREE_SHARE
    interval = (seconds - first_fault_at) / len(actions)
    return [
        PlannedFault(
            at=first_fault_at + interval * (number + random_source.random() * 0.9),
            action=action,
            target=random_source.randrange(1_000),
            seconds=random_source.uniform(MINIMUM_FAULT_SECONDS, MAXIMUM_FAULT_SECONDS),
        )
        for number, action in enumerate(actions)
    ]
