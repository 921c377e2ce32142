"""What a fault run records, for the checkers."""

from dataclasses import dataclass, field
from typing import Any

from liftrill.bench.history import CallRecord


@dataclass(slots=True)
class LeavingMark:
    """An engine was marked as leaving; times are Unix seconds.

    Attributes:
        until: when the mark was taken back or the engine's machine replaced.
    """

    engine_id: str
    at: float
    until: float = float("inf")


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A node was asked to stop; `exit_code` is None if it had to be killed."""

    node: str
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class NodeStart:
    """A node was started again while others served.

    Attributes:
        seconds_to_first_answer: from the start of the process to its first success.
    """

    node: str
    seconds_to_first_answer: float | None


@dataclass(frozen=True, slots=True)
class GenerationSample:
    """The generation a node had in force; `life` counts its starts."""

    at: float
    node: str
    start_count: int
    generation: int


@dataclass(frozen=True, slots=True)
class Confirmation:
    """An operator's attempt to confirm a plan.

    Attributes:
        code: 0 when it was told confirmed, otherwise the result code.
        tenant: the tenant that the plan adds, by which it can be recognised.
    """

    at: float
    base_generation: int
    generation: int
    code: int
    tenant: str


@dataclass(slots=True)
class RunHistory:
    """Everything that was observed in one run.

    Attributes:
        executions: rows of the engines' journals.
        reuses: rows of the engines' journals about cached blocks.
        final_tenants: tenants in force at the end, by node.
        final_generations: generations in force at the end, by node.
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
