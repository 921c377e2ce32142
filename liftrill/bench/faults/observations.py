"""Records of a fault run, which the checkers read."""

from dataclasses import dataclass, field
from typing import Any

from liftrill.bench.history import CallRecord


@dataclass(slots=True)
class LeavingMark:
    """The interval during which an engine was marked as leaving, in Unix seconds.

    Attributes:
        at: when the mark was set.
        until: when the mark was removed or the machine of the engine was replaced.
    """

    engine_id: str
    at: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a node.

    Attributes:
        exit_code: exit code of the process, or None if it did not exit before the timeout.
    """

    node: str
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class NodeStart:
    """A restart of a node while other nodes served requests.

    Attributes:
        seconds_to_first_answer: from the start of the process to its first successful
            response, or None if there was none before the timeout.
    """

    node: str
    seconds_to_first_answer: float | None


@dataclass(frozen=True, slots=True)
class GenerationSample:
    """The configuration generation in force on a node at a time.

    Attributes:
        at: Unix time of the sample.
        start_count: number of restarts of the node before the sample.
    """

    at: float
    node: str
    start_count: int
    generation: int


@dataclass(frozen=True, slots=True)
class Confirmation:
    """An attempt of an operator to confirm a plan.

    Attributes:
        at: Unix time of the response.
        code: 0 if the response was a confirmation, -1 if it had no result code, otherwise
            the result code.
        tenant: the tenant that the plan adds, which identifies the plan in a node's history.
    """

    at: float
    base_generation: int
    generation: int
    code: int
    tenant: str


@dataclass(slots=True)
class RunHistory:
    """All observations of one run.

    Attributes:
        executions: journal rows of the engines about executed requests.
        reuses: journal rows of the engines about reused cache blocks.
        samples: configuration generations of the nodes over time.
        final_generations: configuration generation in force at the end, by node.
        confirmation_summaries: summaries of the confirmed plans that a node lists at the end,
            by node.
        faults_began_at: monotonic time of the end of the fault-free period.
    """

    calls: list[CallRecord] = field(default_factory=list)
    executions: list[dict[str, Any]] = field(default_factory=list)
    reuses: list[dict[str, Any]] = field(default_factory=list)
    leaving_marks: list[LeavingMark] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    node_starts: list[NodeStart] = field(default_factory=list)
    samples: list[GenerationSample] = field(default_factory=list)
    confirmations: list[Confirmation] = field(default_factory=list)
    final_generations: dict[str, int] = field(default_factory=dict)
    confirmation_summaries: dict[str, list[str]] = field(default_factory=dict)
    faults_began_at: float = 0.0
