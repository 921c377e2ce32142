"""Obtains the permits that limited and brittle engines require; performs no I/O."""

from dataclasses import replace

from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_limits import EngineLimits
from liftrill.gateway.engines.engine_slots import EngineSlots
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.opaque_request import OpaqueRequest


class ChoicePermits:
    """Adds to the choice of an engine the permit that its request needs there."""

    def __init__(self, engines: EngineTable, limits: EngineLimits, slots: EngineSlots) -> None:
        self._engines = engines
        self._limits = limits
        self._slots = slots

    def with_permit(
        self,
        choice: EngineChoice,
        request: OpaqueRequest,
        ready: list[EngineView],
        may_wait: bool,
        now: float,
    ) -> EngineChoice | Unavailable | None:
        """Return the choice with a permit, NONE_READY to wait for one, or None to try others."""
        user = request.request_id
        limited = [view.identity for view in ready if self._limits.is_limited(view.identity)]
        if any(self._limits.is_pending(at, user, now) for at in limited):
            permit = self._limits.claim(choice.engine, user, now)
        else:
            # While unlimited engines are ready, a request does not wait for a permit.
            waits = may_wait and len(limited) == len(ready)
            patience_s = max(0.0, request.wait_deadline - now) if waits else 0.0
            permit = self._limits.obtain(choice.engine, user, patience_s, may_wait, now)
        if permit is not None:
            return replace(choice, permit=permit)
        is_pending = any(self._limits.is_pending(at, user, now) for at in limited)
        return Unavailable.NONE_READY if may_wait and is_pending else None

    def with_slot(
        self,
        choice: EngineChoice,
        request: OpaqueRequest,
        ready: list[EngineView],
        now: float,
    ) -> EngineChoice | Unavailable | None:
        """Return the choice with a slot, NONE_READY to wait for one, or None to try others."""
        view = self._engines.get(choice.engine_id)
        if view is None or not self._slots.needs_slot(view, now):
            return choice
        user = request.request_id
        pending = [each for each in ready if self._slots.is_pending(each, user, now)]
        if pending and not self._slots.has_slot(view, now):
            return Unavailable.NONE_READY
        patience_s = max(0.0, request.wait_deadline - now)
        slot = self._slots.obtain(view, user, request.priority, patience_s, now)
        if slot is not None:
            return replace(choice, slot=slot)
        return Unavailable.NONE_READY if patience_s else None
