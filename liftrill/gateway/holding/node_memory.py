"""The memory budget of this process, with its measurement, log and metrics."""

import os
from pathlib import Path

from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.memory_budget import BudgetState, MemoryBudget, Purpose
from liftrill.gateway.settings import GatewaySettings

STATM_PATH = Path("/proc/self/statm")
# The process grows within seconds of its start, then with the fleet; a measurement takes 20 us.
MEASURE_INTERVAL_S = 5.0
# Held bytes are part of the resident memory, so the rest is measured only while few bytes are held.
MAX_HELD_TO_MEASURE_BYTES = 1_048_576


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(STATM_PATH.read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def machine_bytes() -> int:
    """Return the physical memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


class NodeMemory:
    """The memory that this process holds for its callers.

    Attributes:
        budget: accounts for the held bytes.
    """

    def __init__(self, limit_bytes: int, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self.budget = MemoryBudget(limit_bytes, resident_bytes())
        self.budget.on_pressure_change = self._log_pressure_change
        self._log = log
        self._metrics = metrics
        self._measured_at = 0.0

    def refresh(self, now: float) -> None:
        """Update the metrics, and measure the resident memory if it is due."""
        budget = self.budget
        if (
            now - self._measured_at > MEASURE_INTERVAL_S
            and budget.held_bytes < MAX_HELD_TO_MEASURE_BYTES
        ):
            self._measured_at = now
            budget.update_resident(resident_bytes())
        for purpose in Purpose:
            self._metrics.held_bytes.labels(purpose.value).set(budget.held_for(purpose))
        self._metrics.holding_capacity.set(budget.capacity_bytes)

    def record_abort(self, request_id: str, reason: str, held_bytes: int) -> None:
        """Log and count an answer that was aborted because its caller did not read it."""
        self._metrics.slow_callers.labels(reason).inc()
        self._log.request_refused(
            request_id, "LET_GO", why=reason, held_bytes=held_bytes, all=self.budget.held_bytes
        )

    def _log_pressure_change(self, state: BudgetState) -> None:
        kind = "memory_nearly_spent" if state.is_nearly_full else "memory_well_again"
        by_purpose = {purpose.value: self.budget.held_for(purpose) for purpose in Purpose}
        self._log.state_changed(kind, capacity_bytes=state.capacity_bytes, **by_purpose)


def new_node_memory(
    settings: GatewaySettings, log: DecisionLog, metrics: GatewayMetrics
) -> NodeMemory | None:
    """Return the memory of a node, or None if the settings rule out slow callers and engines."""
    if not settings.slow_peers:
        return None
    return NodeMemory(settings.machine.memory_bytes or machine_bytes(), log, metrics)
