"""The memory budget of this process: where its figures come from, and who is told of it."""

import os
from pathlib import Path

from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.memory_budget import BudgetState, MemoryBudget, Purpose
from liftrill.gateway.settings import GatewaySettings

STATISTICS = Path("/proc/self/statm")
# Tables grow within seconds of the start, and then with the fleet; a reading takes 20 us.
MEASURE_INTERVAL_S = 5.0
# What is held is itself resident, so the rest is told apart only while little is held.
LITTLE_HELD_BYTES = 1_048_576


def resident_bytes() -> int:
    """Return how much memory this process uses."""
    pages = int(STATISTICS.read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def machine_bytes() -> int:
    """Return how much memory this machine has."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


class NodeMemory:
    """What one process holds for its callers, with log and metrics.

    Attributes:
        budget: the accounts.
    """

    def __init__(self, limit_bytes: int, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self.budget = MemoryBudget(limit_bytes, resident_bytes())
        self.budget.when_changed = self._tell_change
        self._log = log
        self._metrics = metrics
        self._measured_at = 0.0

    def watch(self, now: float) -> None:
        """Measure anew now and then, and show the accounts."""
        budget = self.budget
        if now - self._measured_at > MEASURE_INTERVAL_S and budget.held_bytes < LITTLE_HELD_BYTES:
            self._measured_at = now
            budget.note_resident(resident_bytes())
        for purpose in Purpose:
            self._metrics.held_bytes.labels(purpose.value).set(budget.held_for(purpose))
        self._metrics.holding_capacity.set(budget.capacity_bytes)

    def note_ended(self, request_id: str, reason: str, held_bytes: int) -> None:
        """Tell that an answer that its caller did not take was let go."""
        self._metrics.slow_callers.labels(reason).inc()
        self._log.request_refused(
            request_id, "LET_GO", why=reason, held_bytes=held_bytes, all=self.budget.held_bytes
        )

    def _tell_change(self, state: BudgetState) -> None:
        kind = "memory_nearly_spent" if state.nearly_spent else "memory_well_again"
        by_purpose = {purpose.value: self.budget.held_for(purpose) for purpose in Purpose}
        self._log.state_changed(kind, capacity_bytes=state.capacity_bytes, **by_purpose)


def new_node_memory(
    settings: GatewaySettings, log: DecisionLog, metrics: GatewayMetrics
) -> NodeMemory | None:
    """Return the memory of a node, or None where callers and engines read as fast as they can."""
    if not settings.slow_peers:
        return None
    return NodeMemory(settings.machine.memory_bytes or machine_bytes(), log, metrics)
