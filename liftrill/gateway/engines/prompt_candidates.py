"""Describes engines to the placement of prompts, with what each has cached; performs no I/O."""

from dataclasses import dataclass

from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.engines.backup_selector import BackupSelector
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.placement import Candidate, cache_salt
from liftrill.gateway.engines.prefix_directory import SharedParts, find_shared_parts
from liftrill.gateway.engines.shared_part_tracker import CROSS_ZONE_FACTOR, SharedPartTracker
from liftrill.gateway.engines.slot_times import SlotTimes
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.weight_targets import WeightTargets


@dataclass(frozen=True, slots=True)
class _Scope:
    """Cache state of a prompt at all engines of one weight version."""

    salt: str
    shared: SharedParts
    outdated_s: float


class PromptCandidates:
    """Turns engines into candidates for a prompt, and the chosen candidate into a choice."""

    def __init__(
        self,
        engines: EngineTable,
        targets: WeightTargets,
        parts: SharedPartTracker,
        slot_times: SlotTimes,
        backups: BackupSelector,
    ) -> None:
        self._engines = engines
        self._targets = targets
        self._parts = parts
        self._slot_times = slot_times
        self._backups = backups

    def build(
        self, request: OpaqueRequest, prompt: PromptShape, views: list[EngineView], now: float
    ) -> list[Candidate]:
        """Return the candidates, each with the cache state of its weight version."""
        scopes: dict[int, _Scope] = {}
        candidates: list[Candidate] = []
        for view in views:
            version = view.weight_version(prompt.model)
            if version not in scopes:
                scopes[version] = self._scope(request, prompt, version, now)
            scope = scopes[version]
            holder = self._holder(view, scope.shared)
            transfer_s = self._transfer_s(request, view, holder)
            candidates.append(
                Candidate(
                    view,
                    scope.salt,
                    scope.shared,
                    transfer_s,
                    holder,
                    scope.outdated_s,
                    self._slot_times.engine_wait_s(view),
                )
            )
        return candidates

    def _scope(
        self, request: OpaqueRequest, prompt: PromptShape, version: int, now: float
    ) -> _Scope:
        """Return the cache state of a prompt under a weight version."""
        salt = cache_salt(request.cache_scope, prompt.model, version)
        outdated_s = max(0.0, now - self._targets.superseded_at(prompt.model, version))

        def is_source(number: int) -> bool:
            # An engine that has loaded other weights, or is about to, is no source: parts that it
            # holds for continued runs may have been computed with either version.
            view = self._engines.by_number(number)
            return view is not None and self._backups.accepts_run(view, prompt.model, version, now)

        shared = find_shared_parts(self._parts.directory, salt, prompt, now, is_source)
        return _Scope(salt, shared, outdated_s)

    def _holder(self, view: EngineView, shared: SharedParts) -> EngineView | None:
        """Return another engine to fetch the shared parts from, or None for the store."""
        holder = self._engines.by_number(shared.holder)
        return None if holder is view else holder

    def _transfer_s(
        self, request: OpaqueRequest, view: EngineView, holder: EngineView | None
    ) -> float:
        """Return the time to transfer the shared parts to an engine."""
        profile = self._parts.profile(view.record.service)
        tokens = request.shared_tokens
        if holder is None:
            return CROSS_ZONE_FACTOR * tokens * profile.store_transfer_s_per_token
        factor = 1.0 if holder.record.zone == view.record.zone else CROSS_ZONE_FACTOR
        return factor * tokens * profile.transfer_s_per_token

    def choice(self, chosen: Candidate, prompt: PromptShape, now: float) -> EngineChoice:
        """Return the choice of a candidate, with what its engine fetches and saves."""
        view = chosen.view
        version = view.weight_version(prompt.model)
        store, saves = self._parts.store_for(prompt, chosen.shared, now)
        return EngineChoice(
            view.engine_id,
            view.record.address,
            version,
            chosen.scope,
            fetch_from=chosen.holder.record.address if chosen.holder else store,
            save_to=store if saves else "",
            is_saved=chosen.shared.saved,
            expected_prefill_tokens=max(0, prompt.prompt_tokens - chosen.shared.cached_tokens),
            number=view.number,
            software_version=view.record.software_version,
        )
