"""Selects the engines with capacity for a request, by wait and memory; performs no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.admission.overload import OverloadGuard
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.opaque_request import OpaqueRequest


@dataclass(slots=True)
class CapacityFilter:
    """Selects the engines at which a request has an acceptable wait and enough memory."""

    _most_urgent: dict[str, int] = field(default_factory=dict)

    def engines_with_capacity(
        self,
        guard: OverloadGuard,
        request: OpaqueRequest,
        ready: list[EngineView],
        waits_s: Mapping[str, float],
        cache_tokens: int,
        now: float,
    ) -> list[EngineView]:
        """Return the engines with an acceptable expected wait and enough free memory."""
        most_urgent = self._most_urgent.get(request.service, request.priority)
        self._most_urgent[request.service] = min(most_urgent, request.priority)
        max_wait_s = guard.max_wait_s(request, min(waits_s.values()), now)
        memory = self._memory_share(request) * cache_tokens
        return [
            view
            for view in ready
            if waits_s[view.engine_id] <= max_wait_s and _has_memory(request, view, memory)
        ]

    def _memory_share(self, request: OpaqueRequest) -> float:
        """Return the share of an engine's memory that may be in use including a request.

        An engine out of memory preempts the newest of the least urgent running requests. Less
        urgent requests therefore leave memory for more urgent ones, if the service has any.
        """
        if request.priority == self._most_urgent[request.service]:
            return constants.ENGINE_MEMORY_SHARE
        return constants.LESS_URGENT_MEMORY_SHARE


def _has_memory(request: OpaqueRequest, view: EngineView, memory_tokens: float) -> bool:
    """Return whether an engine has enough free memory for a request, or is idle."""
    if not memory_tokens or not view.requests or request.prompt is None:
        return True
    needed = request.prompt.declared_tokens
    return view.resident_tokens + needed <= memory_tokens
