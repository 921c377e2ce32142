"""Brings the engines of a pool to the configured weights, a few at a time, sans-IO.

An engine finishes its running requests before it changes weights, and refuses new ones
meanwhile, so that an order cuts off nothing.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.messages.configuration_pb2 import Pool
from liftrill.planning.orders import AssignOrder
from liftrill.routing.engine_state import EngineState


@dataclass(frozen=True, slots=True)
class RolloutParameters:
    """How a rollout proceeds.

    Attributes:
        share_at_once: part of a pool that may be out for loading, at least one engine.
        patience_seconds: after which an order that shows no effect is sent again.
    """

    share_at_once: float = 0.1
    patience_seconds: float = 10.0


class PoolRollout:
    """Decides the orders of one pool. One per lease holder; a new holder starts afresh."""

    def __init__(self, parameters: RolloutParameters) -> None:
        self._parameters = parameters
        self._ordered_at: dict[str, float] = {}

    def orders(self, engines: Sequence[EngineState], pool: Pool, now: float) -> list[AssignOrder]:
        """Return the orders that should be sent now."""
        behind = [e for e in engines if e.identity and e.weight_version != pool.weight_version]
        self._forget_all_but({engine.engine_id for engine in behind})
        limit = max(1, int(len(engines) * self._parameters.share_at_once))
        in_progress = [e for e in behind if self._is_in_progress(e.engine_id, now)]
        # Idle engines first: they cost nobody their cached prefixes or their turn.
        candidates = sorted(
            (e for e in behind if e not in in_progress and not e.listed_leaving),
            key=lambda engine: (engine.load(now), engine.engine_id),
        )
        chosen = candidates[: max(0, limit - len(in_progress))]
        for engine in chosen:
            self._ordered_at[engine.engine_id] = now
        return [_order(engine, pool) for engine in chosen]

    def _is_in_progress(self, engine_id: str, now: float) -> bool:
        ordered_at = self._ordered_at.get(engine_id)
        return ordered_at is not None and now - ordered_at < self._parameters.patience_seconds

    def _forget_all_but(self, engine_ids: set[str]) -> None:
        for engine_id in [e for e in self._ordered_at if e not in engine_ids]:
            del self._ordered_at[engine_id]


def _order(engine: EngineState, pool: Pool) -> AssignOrder:
    return AssignOrder(
        order_id=f"{engine.engine_id}/{engine.incarnation}/{pool.weight_version}",
        engine_id=engine.engine_id,
        authority=pool.name,
        expected_pool=pool.name,
        pool=pool.name,
        model=pool.model,
        weight_version=pool.weight_version,
    )
