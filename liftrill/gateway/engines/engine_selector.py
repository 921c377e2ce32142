"""Applies what must hold for an engine, then lets the policy choose."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from liftrill import constants
from liftrill.coordination.permits import DECISION_TIMEOUT_S
from liftrill.gateway.admission.overload import OverloadGuard
from liftrill.gateway.admission.room import EngineRoom
from liftrill.gateway.delivery import Unavailable
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.engines.engine_limits import EngineLimits
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.part_keeping import BETWEEN_ZONES, PartKeeping
from liftrill.gateway.engines.placement import (
    Candidate,
    LeastLoaded,
    PlacementPolicy,
    PromptCost,
    cache_salt,
)
from liftrill.gateway.engines.shared_parts import SharedParts, find_shared_parts
from liftrill.gateway.engines.slot_times import SlotTimes
from liftrill.gateway.engines.speed_board import SpeedBoard
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.weight_targets import WeightTargets


@dataclass(frozen=True, slots=True)
class _Scope:
    """What a prompt finds at all engines of one weight version."""

    salt: str
    shared: SharedParts
    replaced_s: float


class EngineSelector:
    """Chooses engines for requests.

    Attributes:
        parts: where the shared parts of prompts are kept.
        speeds: how fast engines work.
        slot_times: for how long requests hold their engines' slots.
        guard: which waits at engines requests are sent into.
        room: which engines have room for a request.
        limits: which engines get requests with permits only, and the permits.
    """

    def __init__(
        self,
        engines: EngineTable,
        targets: WeightTargets,
        zone: str,
        prompt_policy: PlacementPolicy | None = None,
        plain_policy: PlacementPolicy | None = None,
    ) -> None:
        self.parts = PartKeeping(engines)
        self.speeds = SpeedBoard(engines)
        self.slot_times = SlotTimes()
        self._engines = engines
        self._targets = targets
        self._zone = zone
        self._prompt_policy = prompt_policy or PromptCost(self.speeds, services=self.parts.services)
        self._plain_policy = plain_policy or LeastLoaded(lambda: self.parts.nodes)
        self.guard = OverloadGuard()
        self.room = EngineRoom()
        self.limits = EngineLimits()

    def choose(
        self,
        request: OpaqueRequest,
        excluded: frozenset[str],
        now: float,
        quietest: bool = False,
    ) -> EngineChoice | Unavailable:
        """Return an engine, one with the fewest requests if asked to, or why there is none."""
        able = [v for v in self._engines.of_service(request.service) if not v.leaving]
        left = [view for view in able if view.engine_id not in excluded]
        if able and not left:
            return Unavailable.NONE_LEFT
        floor = self._version_floor(able, request)
        ready = [view for view in left if self._is_ready(view, request, floor, now)]
        # One that an engine turned away has waited already.
        may_wait = not excluded and now + DECISION_TIMEOUT_S < request.wait_deadline
        while ready:
            choice = self._choose_ready(request, ready, now, quietest)
            if isinstance(choice, Unavailable) or not self.limits.is_limited(choice.engine):
                return choice
            permitted = self._with_permit(choice, request, ready, may_wait, now)
            if permitted is not None:
                return permitted
            ready = [view for view in ready if view.engine_id != choice.engine_id]
        return self._none_ready(request, left, now)

    def _choose_ready(
        self, request: OpaqueRequest, ready: list[EngineView], now: float, quietest: bool
    ) -> EngineChoice | Unavailable:
        if quietest:
            fewest = min(view.requests for view in ready)
            ready = [view for view in ready if view.requests == fewest]
        if request.prompt is None:
            plain = [Candidate(view) for view in ready]
            view = self._plain_policy.choose(request, plain, self._zone).view
            return EngineChoice(view.engine_id, view.record.address, number=view.number)
        return self._choose_for_prompt(request, request.prompt, ready, now)

    def _with_permit(
        self,
        choice: EngineChoice,
        request: OpaqueRequest,
        ready: list[EngineView],
        may_wait: bool,
        now: float,
    ) -> EngineChoice | Unavailable | None:
        """Return a limited engine with a permit, or whether to wait for one; None for neither."""
        user = request.request_id
        limited = [view.at for view in ready if self.limits.is_limited(view.at)]
        if any(self.limits.is_pending(at, user, now) for at in limited):
            permit = self.limits.claim(choice.engine, user, now)
        else:
            # Other engines serve it sooner than a permit that has to be waited for.
            waits = may_wait and len(limited) == len(ready)
            patience_s = max(0.0, request.wait_deadline - now) if waits else 0.0
            permit = self.limits.obtain(choice.engine, user, patience_s, may_wait, now)
        if permit is not None:
            return replace(choice, permit=permit)
        is_pending = any(self.limits.is_pending(at, user, now) for at in limited)
        return Unavailable.NONE_READY if may_wait and is_pending else None

    def _none_ready(
        self, request: OpaqueRequest, left: list[EngineView], now: float
    ) -> Unavailable:
        """Return whether waiting may help: not where all take nothing for longer than that."""
        blocked_s = self._blocked_s(left, request.request_id, now)
        if not blocked_s:
            return Unavailable.NONE_READY
        is_in_vain = now + blocked_s > request.wait_deadline
        return Unavailable.PAUSED if is_in_vain else Unavailable.NONE_READY

    def _blocked_s(self, views: list[EngineView], user: str, now: float) -> float:
        """Return in how long the first of some engines takes a request, or 0 if one does."""
        waits = (
            max(view.standing.rest_left_s(now), self.limits.wait_s(view.at, user, now))
            for view in views
        )
        return min(waits, default=0.0)

    def _choose_for_prompt(
        self, request: OpaqueRequest, prompt: PromptShape, ready: list[EngineView], now: float
    ) -> EngineChoice | Unavailable:
        roomy = self._with_room(request, ready, now)
        if not roomy:
            return Unavailable.FULL
        candidates = self._candidates(request, prompt, roomy, now)
        chosen = self._prompt_policy.choose(request, candidates, self._zone)
        behind_reading = chosen.shared.reader == chosen.view.number
        # Among many engines, peers tell of a reading too late to wait for its end.
        few_engines = len(roomy) < constants.FRESH_LOAD_MAX_ENGINES
        if behind_reading and few_engines and now < self._hold_until(request):
            return Unavailable.NONE_READY
        choice = self._prompt_choice(chosen, prompt, now)
        if not self._wants_backup(request):
            return choice
        return replace(choice, backup=self._backup(chosen, candidates))

    def _with_room(
        self, request: OpaqueRequest, ready: list[EngineView], now: float
    ) -> list[EngineView]:
        """Return the engines at which a request does not wait too long, nor lacks memory."""
        waits_s = {view.engine_id: self.expected_wait_s(view) for view in ready}
        memory = self.parts.profile(request.service).cache_tokens
        return self.room.with_room(self.guard, request, ready, waits_s, memory, now)

    def room_in_s(self, request: OpaqueRequest, now: float) -> float:
        """Return in how long an engine takes a request again, if nothing more comes."""
        blocked_s = self.blocked_s(request.service, now)
        return max(blocked_s, self.guard.room_in_s(request))

    def blocked_s(self, service: str, now: float) -> float:
        """Return in how long the first engine of a service takes something, or 0 if one does."""
        able = [view for view in self._engines.of_service(service) if not view.leaving]
        return self._blocked_s(able, "", now)

    def reading_s(self, request: OpaqueRequest) -> float:
        """Return how long an engine that keeps nothing of a prompt takes to read it."""
        tokens = request.prompt.prompt_tokens if request.prompt else 0
        return tokens * self.speeds.service_reading_s(request.service)

    def expected_wait_s(self, view: EngineView) -> float:
        """Return how long a request waits at an engine before its prompt is read."""
        reading_s = view.waiting_tokens * self.speeds.careful_reading_s(view)
        return reading_s + self._slot_wait_s(view)

    def _slot_wait_s(self, view: EngineView) -> float:
        record = view.record
        return self.slot_times.wait_s(record.service, view.requests, record.slots)

    def _hold_until(self, request: OpaqueRequest) -> float:
        """Return until when a request waits for a part that another one is having read."""
        share = constants.PREFILL_WAIT_TARGET_SHARE
        return request.received_at + share * request.route.target_seconds

    def continue_at_backup(
        self, request: OpaqueRequest, broken: EngineChoice, now: float
    ) -> EngineChoice | None:
        """Return how to go on at the engine that has the copy of a run that broke."""
        view = self._engines.get(broken.backup.engine_id) if broken.backup else None
        if view is None or request.prompt is None:
            return None
        if broken.backup is not None and not view.is_meant_by(broken.backup.number):
            return None
        if not self._goes_on(view, request.prompt.model, broken.weight_version, now):
            return None
        if view.standing.rests(now):
            return None
        permit = self.limits.obtain(view.at, request.request_id, 0.0, False, now)
        if permit is None and self.limits.is_limited(view.at):
            return None
        return replace(
            broken,
            permit=permit,
            engine_id=view.engine_id,
            address=view.record.address,
            number=view.number,
            expected_prefill_tokens=1,
            backup=self._next_backup(view, broken, request, now),
            continues_at_backup=True,
        )

    def begin_by(self, choice: EngineChoice, request: OpaqueRequest) -> float:
        """Return until when a request may begin where it was sent, by what is named now."""
        # A run that goes on with its copy has begun, and without the copy engines refuse it.
        if request.prompt is None or choice.continues_at_backup:
            return math.inf
        return self._targets.begin_by(request.prompt.model, choice.weight_version)

    def when_weights_named(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever `begin_by` may have changed."""
        self._targets.on_published(listener)

    def _goes_on(self, view: EngineView, model: str, version: int, now: float) -> bool:
        """Return whether an engine takes runs of some weights now."""
        if view.leaving or view.withdrawn or view.weight_version(model) != version:
            return False
        return not view.is_loading(now) and view.breaker.allows(now)

    def _next_backup(
        self, view: EngineView, broken: EngineChoice, request: OpaqueRequest, now: float
    ) -> EngineAddress | None:
        """Return where the copy of a run that goes on is to be, should it break again."""
        assert request.prompt is not None
        model, version = request.prompt.model, broken.weight_version
        candidates = [
            Candidate(other, broken.cache_salt)
            for other in self._engines.of_service(request.service)
            if other.engine_id != broken.engine_id and self._goes_on(other, model, version, now)
        ]
        here = next((c for c in candidates if c.view is view), None)
        return self._backup(here, candidates) if here else None

    def _wants_backup(self, request: OpaqueRequest) -> bool:
        """Return whether a run could not go on elsewhere without a copy of it."""
        if not request.is_stream or request.may_run_again or request.prompt is None:
            return False
        if request.prompt.output_tokens < constants.BACKUP_MIN_OUTPUT_TOKENS:
            return False
        return self.parts.profile(request.service).backups

    def _backup(self, chosen: Candidate, candidates: list[Candidate]) -> EngineAddress | None:
        """Return the least busy other engine with the same weights, near it if there is one.

        A run can't go on at once at an engine that takes few requests.
        """
        others = [c for c in candidates if c is not chosen and c.scope == chosen.scope]
        if not others:
            return None
        zone = chosen.view.record.zone

        def order(candidate: Candidate) -> tuple[bool, bool, int]:
            view = candidate.view
            return self.limits.is_limited(view.at), view.record.zone != zone, view.requests

        best = min(others, key=order)
        return EngineAddress(best.view.engine_id, best.view.record.address, best.view.number)

    def _version_floor(self, able: list[EngineView], request: OpaqueRequest) -> int:
        """Return the lowest version to use, as far as versions of unknown age decide it.

        Weights may have been out of use since before this process began. The engines show
        how far they were brought: those that are behind the others are left alone.
        """
        if request.prompt is None:
            return 0
        model = request.prompt.model
        reached = max((view.weight_version(model) for view in able), default=0)
        return min(self._targets.newest_undated(model), reached)

    def _is_ready(self, view: EngineView, request: OpaqueRequest, floor: int, now: float) -> bool:
        if view.is_loading(now) or view.standing.rests(now) or not view.breaker.allows(now):
            return False
        if self.limits.wait_s(view.at, request.request_id, now):
            return False
        if request.prompt is None:
            return True
        model = request.prompt.model
        version = view.weight_version(model)
        if version > 0 and version >= max(floor, self._targets.newest(model)):
            return True
        # It must begin in time there, after what waits before it.
        required = max(
            floor, self._targets.minimum_version(model, now + self.expected_wait_s(view))
        )
        return version > 0 and version >= required

    def _candidates(
        self, request: OpaqueRequest, prompt: PromptShape, views: list[EngineView], now: float
    ) -> list[Candidate]:
        """Return the engines with what each of their weight versions means for a prompt."""
        scopes: dict[int, _Scope] = {}
        candidates: list[Candidate] = []
        for view in views:
            version = view.weight_version(prompt.model)
            if version not in scopes:
                scopes[version] = self._scope(request, prompt, version, now)
            scope = scopes[version]
            holder = self._holder(view, scope.shared)
            move_s = self._move_s(request, view, holder)
            candidates.append(
                Candidate(
                    view,
                    scope.salt,
                    scope.shared,
                    move_s,
                    holder,
                    scope.replaced_s,
                    self._slot_wait_s(view),
                )
            )
        return candidates

    def _scope(
        self, request: OpaqueRequest, prompt: PromptShape, version: int, now: float
    ) -> _Scope:
        """Return what a weight version means for a prompt."""
        salt = cache_salt(request.tenant, request.isolated, prompt.model, version)
        replaced_s = max(0.0, now - self._targets.superseded_at(prompt.model, version))

        def is_source(number: int) -> bool:
            # An engine that has other weights by now, or is about to, is not asked: what it
            # keeps for runs that went on may have been made under either.
            view = self._engines.by_number(number)
            return view is not None and self._goes_on(view, prompt.model, version, now)

        shared = find_shared_parts(self.parts.directory, salt, prompt, now, is_source)
        return _Scope(salt, shared, replaced_s)

    def _holder(self, view: EngineView, shared: SharedParts) -> EngineView | None:
        """Return another engine to fetch the shared parts from, or None for the store."""
        holder = self._engines.by_number(shared.holder)
        return None if holder is view else holder

    def _move_s(self, request: OpaqueRequest, view: EngineView, holder: EngineView | None) -> float:
        """Return how long moving the shared parts to an engine takes."""
        profile = self.parts.profile(view.record.service)
        tokens = request.shared_tokens
        if holder is None:
            return BETWEEN_ZONES * tokens * profile.store_transfer_s_per_token
        factor = 1.0 if holder.record.zone == view.record.zone else BETWEEN_ZONES
        return factor * tokens * profile.transfer_s_per_token

    def _prompt_choice(self, chosen: Candidate, prompt: PromptShape, now: float) -> EngineChoice:
        view = chosen.view
        version = view.weight_version(prompt.model)
        store, saves = self.parts.store_for(prompt, chosen.shared, now)
        return EngineChoice(
            view.engine_id,
            view.record.address,
            version,
            chosen.scope,
            fetch_from=chosen.holder.record.address if chosen.holder else store,
            save_to=store if saves else "",
            is_saved=chosen.shared.saved,
            expected_prefill_tokens=max(0, prompt.prompt_tokens - chosen.shared.kept_tokens),
            number=view.number,
        )
