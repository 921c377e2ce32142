"""Filters the engines that may serve a request and lets a placement policy choose among them."""

import math
from collections.abc import Callable
from dataclasses import replace

from liftrill import constants
from liftrill.coordination import rendezvous
from liftrill.coordination.permits import DECISION_TIMEOUT_S
from liftrill.gateway.admission.capacity_filter import CapacityFilter
from liftrill.gateway.admission.overload import OverloadGuard
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.backup_selector import BackupSelector
from liftrill.gateway.engines.choice_permits import ChoicePermits
from liftrill.gateway.engines.engine_limits import EngineLimits
from liftrill.gateway.engines.engine_slots import EngineSlots
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.placement import (
    Candidate,
    LeastLoaded,
    PlacementPolicy,
    PromptCost,
)
from liftrill.gateway.engines.prompt_candidates import PromptCandidates
from liftrill.gateway.engines.shared_part_tracker import SharedPartTracker
from liftrill.gateway.engines.slot_times import SlotTimes
from liftrill.gateway.engines.software_version_filter import SoftwareVersionFilter
from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.paths.engine_paths import EnginePaths
from liftrill.gateway.weight_targets import WeightTargets


def _not_ended(view: EngineView, now: float) -> bool:
    """Know of no engine that has ended."""
    return False


class EngineSelector:
    """Chooses engines for requests.

    Attributes:
        parts: locations of the shared parts of prompts.
        speeds: estimated engine speeds.
        slot_times: observed times that requests hold engine slots.
        guard: bounds the wait at an engine that a request may be sent into.
        capacity_filter: selects the engines that have capacity for a request.
        limits: rate limits of engines and their permits.
        slots: slots of brittle engines and their permits.
        paths: how this node reaches engines: over its own links or by peers.
        software_versions: selects engines by their software version.
        backups: chooses the engines for copies of runs.
        ended_lately: whether an engine has ended, though its record may still be there.
    """

    def __init__(
        self,
        engines: EngineTable,
        targets: WeightTargets,
        zone: str,
        prompt_policy: PlacementPolicy | None = None,
        plain_policy: PlacementPolicy | None = None,
    ) -> None:
        self.parts = SharedPartTracker(engines)
        self.speeds = SpeedEstimator(engines)
        self.slot_times = SlotTimes()
        self._engines = engines
        self._targets = targets
        self._zone = zone
        self._prompt_policy = prompt_policy or PromptCost(self.speeds, services=self.parts.services)
        self._plain_policy = plain_policy or LeastLoaded(lambda: self.parts.nodes)
        self.guard = OverloadGuard()
        self.capacity_filter = CapacityFilter()
        self.limits = EngineLimits()
        self.slots = EngineSlots(engines.by_number)
        self._permits = ChoicePermits(engines, self.limits, self.slots)
        self.paths = EnginePaths()
        self.software_versions = SoftwareVersionFilter(engines)
        self.ended_lately: Callable[[EngineView, float], bool] = _not_ended
        self.backups = BackupSelector(
            engines,
            self.parts,
            self.limits,
            self.paths,
            targets,
            self.software_versions.of_required_version,
        )
        self._prompt_candidates = PromptCandidates(
            engines, targets, self.parts, self.slot_times, self.backups
        )

    def lacks_version(self, request: OpaqueRequest) -> bool:
        """Return whether no engine serves the only software version that may serve a request."""
        if request.required_software_version is None:
            return False
        return not self.software_versions.of_required_version(
            request, self._serving(request.service)
        )

    def _serving(self, service: str) -> list[EngineView]:
        return [view for view in self._engines.of_service(service) if not view.leaving]

    def has_ready(self, request: OpaqueRequest, excluded: frozenset[str], now: float) -> bool:
        """Return whether an engine that is not excluded takes a request, whatever its load."""
        serving = self._serving(request.service)
        floor = self._version_floor(serving, request)
        suitable = self.software_versions.of_required_version(request, serving)
        return any(
            view.engine_id not in excluded and self._is_ready(view, request, floor, now)
            for view in suitable
        )

    def choose(
        self,
        request: OpaqueRequest,
        excluded: frozenset[str],
        now: float,
        suspect: bytes | None = None,
    ) -> EngineChoice | Unavailable:
        """Return an engine for a request, or why there is none.

        `suspect` is what of the request may crash engines: its fingerprint, or the digest of a
        part of its prompt.
        """
        serving = self._serving(request.service)
        suitable = self.software_versions.of_required_version(request, serving)
        if request.required_software_version is not None and not suitable:
            return Unavailable.VERSION_GONE
        untried = [view for view in suitable if view.engine_id not in excluded]
        if suitable and not untried:
            return Unavailable.NONE_LEFT
        floor = self._version_floor(serving, request)
        ready = [view for view in untried if self._is_ready(view, request, floor, now)]
        # A request that was already tried at an engine does not wait for a permit again.
        may_wait = not excluded and now + DECISION_TIMEOUT_S < request.wait_deadline
        is_full = False
        for views in self.software_versions.by_preference(request, ready, serving, now):
            choice = self._choose_among(request, views, may_wait, now, suspect)
            is_full = choice is Unavailable.FULL
            if choice is not None and not is_full:
                return choice
        self.software_versions.note_refused(request, now)
        return Unavailable.FULL if is_full else self._unavailable_reason(request, untried, now)

    def _choose_among(
        self,
        request: OpaqueRequest,
        ready: list[EngineView],
        may_wait: bool,
        now: float,
        suspect: bytes | None,
    ) -> EngineChoice | Unavailable | None:
        """Return one of some engines that are ready, why to wait, or None if none may be used."""
        is_brittle = self.slots.services.is_brittle(request.service, now)
        if is_brittle:
            ready = self.slots.preferred(ready, now)
        while ready:
            choice = self._choose_ready(request, ready, now, suspect)
            if isinstance(choice, Unavailable):
                return choice
            choice = replace(choice, proxy=self.paths.proxy(choice.engine, now))
            permitted: EngineChoice | Unavailable | None = choice
            if self.limits.is_limited(choice.engine):
                permitted = self._permits.with_permit(choice, request, ready, may_wait, now)
            elif is_brittle:
                permitted = self._permits.with_slot(choice, request, ready, now)
            if permitted is not None:
                return permitted
            ready = [view for view in ready if view.engine_id != choice.engine_id]
        return None

    def _choose_ready(
        self, request: OpaqueRequest, ready: list[EngineView], now: float, suspect: bytes | None
    ) -> EngineChoice | Unavailable:
        if suspect is None:
            return self._choose_placed(request, ready, now)
        if suspect == request.fingerprint:
            # Few other runs are lost if the engine ends.
            fewest = min(view.requests for view in ready)
            least_loaded = [view for view in ready if view.requests == fewest]
            return self._choose_placed(request, least_loaded, now)
        # All nodes choose the same engine: requests that are sent together end only one.
        choice = self._choose_placed(request, [_shared_choice(suspect, ready)], now)
        is_placed = not isinstance(choice, Unavailable)
        return choice if is_placed else self._choose_placed(request, ready, now)

    def _choose_placed(
        self, request: OpaqueRequest, ready: list[EngineView], now: float
    ) -> EngineChoice | Unavailable:
        """Return the choice of the placement policy among some engines, or why to wait."""
        if request.prompt is None:
            plain = [Candidate(view) for view in ready]
            view = self._plain_policy.choose(request, plain, self._zone).view
            return EngineChoice(
                view.engine_id,
                view.record.address,
                number=view.number,
                software_version=view.record.software_version,
            )
        return self._choose_for_prompt(request, request.prompt, ready, now)

    def _unavailable_reason(
        self, request: OpaqueRequest, untried: list[EngineView], now: float
    ) -> Unavailable:
        """Return NONE_READY, or PAUSED if all engines stay blocked for longer than it waits."""
        blocked_s = self._blocked_s(untried, request.request_id, now)
        if not blocked_s:
            return Unavailable.NONE_READY
        outlasts_request = now + blocked_s > request.wait_deadline
        return Unavailable.PAUSED if outlasts_request else Unavailable.NONE_READY

    def _blocked_s(self, views: list[EngineView], user: str, now: float) -> float:
        """Return the time until the first of these engines takes a request, or 0 if one does."""
        waits = (
            max(view.condition.backoff_left_s(now), self.limits.wait_s(view.identity, user, now))
            for view in views
        )
        return min(waits, default=0.0)

    def _choose_for_prompt(
        self, request: OpaqueRequest, prompt: PromptShape, ready: list[EngineView], now: float
    ) -> EngineChoice | Unavailable:
        with_capacity = self._with_capacity(request, ready, now)
        if not with_capacity:
            return Unavailable.FULL
        candidates = self._prompt_candidates.build(request, prompt, with_capacity, now)
        chosen = self._prompt_policy.choose(request, candidates, self._zone)
        is_prefilling = chosen.shared.prefilling_engine == chosen.view.number
        # Among many engines, reports of a prefill arrive too late to wait for its end.
        few_engines = len(with_capacity) < constants.FRESH_LOAD_MAX_ENGINES
        if is_prefilling and few_engines and now < self._prefill_wait_until(request):
            return Unavailable.NONE_READY
        choice = self._prompt_candidates.choice(chosen, prompt, now)
        if not self.backups.wants_backup(request):
            return choice
        return replace(choice, backup=self.backups.choose(chosen, candidates))

    def _with_capacity(
        self, request: OpaqueRequest, ready: list[EngineView], now: float
    ) -> list[EngineView]:
        """Return the engines with an acceptable wait and enough free memory for a request."""
        # Overload is a state of the service, whichever version a request needs.
        limited = self.software_versions.limits_versions(request, now)
        measured = self._usable(request, now) if limited else ready
        waits_s = {view.engine_id: self.expected_wait_s(view) for view in (*measured, *ready)}
        memory = self.parts.profile(request.service).cache_tokens
        return self.capacity_filter.engines_with_capacity(
            self.guard, request, ready, waits_s, memory, now
        )

    def _usable(self, request: OpaqueRequest, now: float) -> list[EngineView]:
        """Return the engines of a request's service that take requests now, of all versions."""
        return [
            view
            for view in self._engines.of_service(request.service)
            if not view.leaving and self._is_ready(view, request, 0, now)
        ]

    def capacity_wait_s(self, request: OpaqueRequest, now: float) -> float:
        """Return the time until an engine takes a request again, if no other requests arrive."""
        blocked_s = self.blocked_s(request.service, now)
        return max(blocked_s, self.guard.capacity_wait_s(request))

    def blocked_s(self, service: str, now: float) -> float:
        """Return the time until the first engine of a service takes requests, or 0 if one does."""
        serving = self._serving(service)
        return self._blocked_s(serving, "", now)

    def prompt_prefill_s(self, request: OpaqueRequest) -> float:
        """Return the time that an engine without cached parts needs to prefill the prompt."""
        tokens = request.prompt.prompt_tokens if request.prompt else 0
        return tokens * self.speeds.service_prefill_s_per_token(request.service)

    def expected_wait_s(self, view: EngineView) -> float:
        """Return the expected time before an engine starts to prefill a new prompt."""
        prompt_prefill_s = view.waiting_tokens * self.speeds.conservative_prefill_s_per_token(view)
        return prompt_prefill_s + self.slot_times.engine_wait_s(view)

    def _prefill_wait_until(self, request: OpaqueRequest) -> float:
        """Return the time until which a request waits while an engine prefills its shared part."""
        share = constants.PREFILL_WAIT_TARGET_SHARE
        return request.received_at + share * request.route.target_seconds

    def has_other_path(self, choice: EngineChoice, request: OpaqueRequest, now: float) -> bool:
        """Return whether to try an engine again that could not be reached by a path.

        While this node's own links reach other engines of the service, these are tried instead.
        """
        engines = self._engines.of_service(request.service)
        others = [view for view in engines if view.engine_id != choice.engine_id]
        others = self.software_versions.of_required_version(request, others)
        if any(not view.leaving and self.paths.links.is_up(view.identity) for view in others):
            return False
        return self.paths.may_be_found(choice.engine, now)

    def other_engines(self, service: str, engine_id: str) -> frozenset[str]:
        """Return the ids of all engines of a service but one."""
        engines = self._engines.of_service(service)
        return frozenset(view.engine_id for view in engines if view.engine_id != engine_id)

    def continue_at_backup(
        self, request: OpaqueRequest, interrupted: EngineChoice, now: float
    ) -> EngineChoice | None:
        """Return how to continue an interrupted run at its backup engine, or None."""
        return self.backups.continue_at_backup(request, interrupted, now)

    def begin_by(self, choice: EngineChoice, request: OpaqueRequest) -> float:
        """Return the time by which a sent request must begin, by the current weight targets."""
        # A continued run has begun, and an engine that lost the copy refuses the request.
        if request.prompt is None or choice.continues_at_backup:
            return math.inf
        return self._targets.begin_by(request.prompt.model, choice.weight_version)

    def on_weights_published(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever the result of `begin_by` may have changed."""
        self._targets.on_published(listener)

    def _version_floor(self, serving: list[EngineView], request: OpaqueRequest) -> int:
        """Return the lowest version to use while the ages of the versions are unknown.

        Weights may have been replaced before this process started. Engines that are behind the
        newest version reached by any engine are not used.
        """
        if request.prompt is None:
            return 0
        model = request.prompt.model
        reached = max((view.weight_version(model) for view in serving), default=0)
        return min(self._targets.newest_undated(model), reached)

    def _is_ready(self, view: EngineView, request: OpaqueRequest, floor: int, now: float) -> bool:
        if (
            view.is_paused(now)
            or view.condition.is_backing_off(now)
            or not self.paths.is_usable(view, now)
            or self.ended_lately(view, now)
        ):
            return False
        if self.limits.wait_s(view.identity, request.request_id, now):
            return False
        if request.prompt is None:
            return True
        model = request.prompt.model
        version = view.weight_version(model)
        if version > 0 and version >= max(floor, self._targets.newest(model)):
            return True
        # The request must begin in time at the engine, after the requests that wait there.
        required = max(
            floor, self._targets.minimum_version(model, now + self.expected_wait_s(view))
        )
        return version > 0 and version >= required


def _shared_choice(key: bytes, views: list[EngineView]) -> EngineView:
    """Return the engine that all nodes with the same engines choose for a key."""
    return max(views, key=lambda view: rendezvous.weight(key, view.record.incarnation))
