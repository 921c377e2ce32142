"""Applies what must hold for an engine, then lets the policy choose."""

from liftrill.gateway.delivery import Unavailable
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.engine_table import EngineTable, EngineView
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.placement import LeastLoaded, PlacementPolicy, PrefixAffinity, cache_salt
from liftrill.gateway.prefix_directory import PartKey, PrefixDirectory
from liftrill.gateway.records import KeptStoreProfile
from liftrill.gateway.weight_targets import WeightTargets


class EngineSelector:
    """Chooses engines for requests.

    Attributes:
        kept_store: where prefixes are saved to and fetched from, or None.
    """

    def __init__(
        self,
        engines: EngineTable,
        targets: WeightTargets,
        zone: str,
        prompt_policy: PlacementPolicy | None = None,
        plain_policy: PlacementPolicy | None = None,
    ) -> None:
        self.kept_store: KeptStoreProfile | None = None
        self._engines = engines
        self._targets = targets
        self._zone = zone
        self._prompt_policy = prompt_policy or PrefixAffinity()
        self._plain_policy = plain_policy or LeastLoaded()
        self._directory = PrefixDirectory()

    def choose(
        self, request: OpaqueRequest, excluded: frozenset[str], now: float
    ) -> EngineChoice | Unavailable:
        """Return an engine, or why there is none."""
        able = [v for v in self._engines.of_service(request.service) if not v.leaving]
        left = [view for view in able if view.engine_id not in excluded]
        if able and not left:
            return Unavailable.NONE_LEFT
        ready = [view for view in left if self._is_ready(view, request, now)]
        if not ready:
            return Unavailable.NONE_READY
        if request.prompt is None:
            view = self._plain_policy.choose(request, ready, self._zone)
            return EngineChoice(view.engine_id, view.record.address)
        view = self._prompt_policy.choose(request, ready, self._zone)
        return self._prompt_choice(view, request, now)

    def _is_ready(self, view: EngineView, request: OpaqueRequest, now: float) -> bool:
        if view.is_loading(now) or not view.breaker.allows(now):
            return False
        if request.prompt is None:
            return True
        model = request.prompt.model
        version = view.weight_version(model)
        return version > 0 and version >= self._targets.required(model, now)

    def _prompt_choice(self, view: EngineView, request: OpaqueRequest, now: float) -> EngineChoice:
        prompt = request.prompt
        assert prompt is not None
        version = view.weight_version(prompt.model)
        salt = cache_salt(request.tenant, request.isolated, prompt.model, version)
        store = self.kept_store.address if self.kept_store and prompt.shared_parts else ""
        save_to = ""
        if store:
            part = PartKey(salt, prompt.shared_parts[-1].part_id)
            if not self._directory.is_saved(part, now):
                self._directory.record_saved(part, now)
                save_to = store
        return EngineChoice(view.engine_id, view.record.address, version, salt, store, save_to)
