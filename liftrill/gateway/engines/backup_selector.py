"""Chooses the engines that hold copies of runs, and continues interrupted runs there."""

from collections.abc import Callable
from dataclasses import replace

from liftrill import constants
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.engines.engine_limits import EngineLimits
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.placement import Candidate
from liftrill.gateway.engines.shared_part_tracker import SharedPartTracker
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.paths.engine_paths import EnginePaths
from liftrill.gateway.weight_targets import WeightTargets


class BackupSelector:
    """Chooses the engines for the copies of runs on routes that may not be resumed."""

    def __init__(
        self,
        engines: EngineTable,
        parts: SharedPartTracker,
        limits: EngineLimits,
        paths: EnginePaths,
        targets: WeightTargets,
        of_required_version: Callable[[OpaqueRequest, list[EngineView]], list[EngineView]],
    ) -> None:
        self._engines = engines
        self._parts = parts
        self._limits = limits
        self._paths = paths
        self._targets = targets
        self._of_required_version = of_required_version

    def continue_at_backup(
        self, request: OpaqueRequest, interrupted: EngineChoice, now: float
    ) -> EngineChoice | None:
        """Return how to continue an interrupted run at its backup engine, or None."""
        backup = interrupted.backup
        view = self._engines.get(backup.engine_id) if backup is not None else None
        if backup is None or view is None or request.prompt is None:
            return None
        is_suitable = bool(self._of_required_version(request, [view]))
        if not is_suitable or not view.matches_number(backup.number):
            return None
        if self._may_have_loaded(interrupted, request.prompt.model):
            return None
        is_accepted = self.accepts_run(view, request.prompt.model, interrupted.weight_version, now)
        if not is_accepted or view.condition.is_backing_off(now):
            return None
        permit = self._limits.obtain(view.identity, request.request_id, 0.0, False, now)
        if permit is None and self._limits.is_limited(view.identity):
            return None
        return replace(
            interrupted,
            permit=permit,
            engine_id=view.engine_id,
            address=view.record.address,
            number=view.number,
            software_version=view.record.software_version,
            expected_prefill_tokens=1,
            backup=self._next_backup(view, interrupted, request, now),
            continues_at_backup=True,
            proxy=self._paths.proxy(view.identity, now),
        )

    def wants_backup(self, request: OpaqueRequest) -> bool:
        """Return whether an interrupted run could only continue at another engine from a copy."""
        if not request.is_stream or request.may_run_again or request.prompt is None:
            return False
        if request.prompt.output_tokens < constants.BACKUP_MIN_OUTPUT_TOKENS:
            return False
        return self._parts.profile(request.service).backups

    def choose(self, chosen: Candidate, candidates: list[Candidate]) -> EngineAddress | None:
        """Return the least busy other engine with the same weights and software version.

        Engines in the same zone come first. Limited engines come last: a run cannot continue at
        once where it needs a permit.
        """
        others = [
            c
            for c in candidates
            if c is not chosen
            and c.scope == chosen.scope
            and c.view.record.software_version == chosen.view.record.software_version
        ]
        if not others:
            return None
        zone = chosen.view.record.zone

        def order(candidate: Candidate) -> tuple[bool, bool, int]:
            view = candidate.view
            return self._limits.is_limited(view.identity), view.record.zone != zone, view.requests

        best = min(others, key=order)
        return EngineAddress(best.view.engine_id, best.view.record.address, best.view.number)

    def accepts_run(self, view: EngineView, model: str, version: int, now: float) -> bool:
        """Return whether an engine takes runs of a weight version now."""
        if view.leaving or view.is_withheld or view.weight_version(model) != version:
            return False
        return not view.is_paused(now) and self._paths.is_usable(view, now)

    def _may_have_loaded(self, interrupted: EngineChoice, model: str) -> bool:
        """Return whether the engine of a run may have loaded other weights during it.

        Its copy is then a mixture that no weights may go on with. An engine may be ordered to load
        from the moment at which a newer version is published, and may end before its load is known.
        """
        version = interrupted.weight_version
        if self._targets.newest(model) > version:
            return True
        view = self._engines.get(interrupted.engine_id)
        if view is None or view.number != interrupted.number:
            return False
        return view.weight_version(model) != version or view.loading_version > version

    def _next_backup(
        self, view: EngineView, interrupted: EngineChoice, request: OpaqueRequest, now: float
    ) -> EngineAddress | None:
        """Return the engine for the copy of a continued run, which may be interrupted again."""
        assert request.prompt is not None
        model, version = request.prompt.model, interrupted.weight_version
        candidates = [
            Candidate(other, interrupted.cache_salt)
            for other in self._engines.of_service(request.service)
            if other.engine_id != interrupted.engine_id
            and other.record.software_version == view.record.software_version
            and self.accepts_run(other, model, version, now)
        ]
        current = next((c for c in candidates if c.view is view), None)
        return self.choose(current, candidates) if current else None
