"""Rolls out the configured weights to the engines of a pool, a few at a time; sans-IO.

An engine completes its running requests and refuses new ones before it changes weights, so an
order does not interrupt any request.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.messages.configuration_pb2 import Pool
from liftrill.planning.orders import AssignOrder
from liftrill.routing.engine_state import EngineState


@dataclass(frozen=True, slots=True)
class RolloutParameters:
    """The limits of a rollout.

    Attributes:
        max_unavailable_share: the share of a pool that may load weights at the same time; at
            least one engine may.
        order_timeout_seconds: the time after which an order without effect is sent again.
    """

    max_unavailable_share: float = 0.1
    order_timeout_seconds: float = 10.0


class PoolRollout:
    """Decides the rollout orders of one pool; each new lease holder creates a new one."""

    def __init__(self, parameters: RolloutParameters) -> None:
        self._parameters = parameters
        self._ordered_at: dict[str, float] = {}

    def orders(self, engines: Sequence[EngineState], pool: Pool, now: float) -> list[AssignOrder]:
        """Return the orders to send now."""
        outdated = [e for e in engines if e.identity and e.weight_version != pool.weight_version]
        self._remove_all_except({engine.engine_id for engine in outdated})
        limit = max(1, int(len(engines) * self._parameters.max_unavailable_share))
        in_progress = [e for e in outdated if self._is_in_progress(e.engine_id, now)]
        # Idle engines first: draining them delays no requests and loses the fewest prefixes in use.
        candidates = sorted(
            (e for e in outdated if e not in in_progress and not e.listed_leaving),
            key=lambda engine: (engine.load(now), engine.engine_id),
        )
        chosen = candidates[: max(0, limit - len(in_progress))]
        for engine in chosen:
            self._ordered_at[engine.engine_id] = now
        return [_order(engine, pool) for engine in chosen]

    def _is_in_progress(self, engine_id: str, now: float) -> bool:
        ordered_at = self._ordered_at.get(engine_id)
        return ordered_at is not None and now - ordered_at < self._parameters.order_timeout_seconds

    def _remove_all_except(self, engine_ids: set[str]) -> None:
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
