"""Tracks the shared prompt parts that a node sends to engines."""

from liftrill import constants
from liftrill.coordination import rendezvous
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.engines.cache_retention import CacheRetention
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.engines.prefix_directory import PrefixDirectory, SharedParts, part_number
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.prefix_store_link import (
    PrefixStoreLink,
    is_worth_saving,
    is_worth_transferring,
)
from liftrill.gateway.records import PrefixStoreProfile, ServiceProfile

# Duration of a transfer between zones, relative to one within a zone.
CROSS_ZONE_FACTOR = 2.0


class SharedPartTracker:
    """Where shared parts are cached, and which of them engines save and fetch.

    Attributes:
        prefix_stores: stores that parts are saved to and fetched from.
        services: profiles that the operator declares, by service.
        nodes: number of nodes that share the engines and stores.
        directory: known locations of parts.
        retention: estimates how long engines hold parts.
        store_link: estimates whether the stores' links are overloaded.
    """

    def __init__(self, engines: EngineTable) -> None:
        self.prefix_stores: tuple[PrefixStoreProfile, ...] = ()
        self.services: dict[str, ServiceProfile] = {}
        self.nodes = 1
        self.directory = PrefixDirectory()
        self.retention = CacheRetention()
        self.store_link = PrefixStoreLink()
        self._engines = engines

    def profile(self, service: str) -> ServiceProfile:
        """Return the profile that the operator declares for a service, or an empty one."""
        return self.services.get(service) or ServiceProfile(service, 0)

    def store_for(self, prompt: PromptShape, shared: SharedParts, now: float) -> tuple[str, bool]:
        """Return the store to fetch from, or an empty name, and whether to save there too."""
        store = self._home_store(prompt)
        if not store:
            return "", False
        if not self.is_link_saturated(now):
            return store, not shared.saved
        if not is_worth_transferring(prompt):
            return "", False
        return store, not shared.saved and is_worth_saving(prompt)

    def is_link_saturated(self, now: float) -> bool:
        """Return whether the demand exceeds the capacity of the stores' links."""
        return self.store_link.is_saturated(len(self.prefix_stores), self.nodes, now)

    def record_sent(self, choice: EngineChoice, request: OpaqueRequest, now: float) -> None:
        """Record that an engine is about to prefill the uncached parts of a prompt."""
        prompt = request.prompt
        if prompt is None:
            return
        self._record_traffic(choice, request, prompt, now)
        for part in prompt.shared_parts:
            number = part_number(choice.cache_salt, part.part_id)
            if part.tokens >= constants.ANNOUNCED_PREFIX_MIN_TOKENS and not self._is_known(
                number, now
            ):
                self.directory.record_prefill_start(number, choice.number, now)

    def _record_traffic(
        self, choice: EngineChoice, request: OpaqueRequest, prompt: PromptShape, now: float
    ) -> None:
        """Record the load of a prompt on engine memory and on the stores' links."""
        self.retention.record(prompt.declared_tokens, now)
        capacity = self.profile(request.service).cache_tokens
        if capacity:
            views = self._engines.of_service(request.service)
            free_tokens = sum(max(0, capacity - view.resident_tokens) for view in views)
            self.directory.held_s = self.retention.held_s(free_tokens, self.nodes, now)
        self.store_link.record_demand(self._store_link_s(choice, request, prompt), now)

    def _store_link_s(
        self, choice: EngineChoice, request: OpaqueRequest, prompt: PromptShape
    ) -> float:
        """Return for how long a request occupies a store's link if all parts are transferred."""
        zones = {store.address: store.zone for store in self.prefix_stores}
        store = self._home_store(prompt)
        if choice.is_saved and choice.fetch_from not in ("", store):
            return 0.0
        tokens = request.shared_tokens if choice.is_saved else prompt.prompt_tokens
        view = self._engines.get(choice.engine_id)
        in_same_zone = view is not None and view.record.zone == zones.get(store)
        factor = 1.0 if in_same_zone else CROSS_ZONE_FACTOR
        return factor * tokens * self.profile(request.service).store_transfer_s_per_token

    def _is_known(self, number: int, now: float) -> bool:
        directory = self.directory
        found = directory.holder(number, now) or directory.prefilling_engine(number, now)
        return found != 0 or directory.is_saved(number, now)

    def record_prefill(self, choice: EngineChoice, request: OpaqueRequest, now: float) -> None:
        """Record that an engine has prefilled a prompt, and saves its parts if requested."""
        prompt = request.prompt
        if prompt is None:
            return
        for part in prompt.shared_parts:
            self.directory.record_prefill(
                part_number(choice.cache_salt, part.part_id),
                choice.number,
                now,
                saved=bool(choice.save_to),
                announce=part.tokens >= constants.ANNOUNCED_PREFIX_MIN_TOKENS,
            )

    def _home_store(self, prompt: PromptShape) -> str:
        """Return the store for the shared parts, the same on every node, or an empty name.

        The store depends on the last shared part only, since an engine fetches all parts of a
        prompt from one store.
        """
        if not prompt.shared_parts:
            return ""
        key = prompt.shared_parts[-1].part_id.encode()
        return rendezvous.first(key, (store.address for store in self.prefix_stores)) or ""
