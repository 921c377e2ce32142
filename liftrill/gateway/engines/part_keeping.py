"""Keeps account of the shared parts of the prompts that a node sends to engines."""

from liftrill import constants
from liftrill.coordination import rendezvous
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.engines.cache_retention import CacheRetention
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.engines.prefix_directory import PrefixDirectory, part_number
from liftrill.gateway.engines.shared_parts import SharedParts
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.prefix_store_link import (
    PrefixStoreLink,
    is_worth_saving,
    is_worth_transferring,
)
from liftrill.gateway.records import PrefixStoreProfile, ServiceProfile

# How much longer a move between zones takes than one within a zone.
BETWEEN_ZONES = 2.0


class PartKeeping:
    """Where shared parts are kept, and what may be saved and fetched.

    Attributes:
        kept_stores: where parts are saved to and fetched from.
        services: what the operator declares of engines, by service.
        nodes: how many nodes share engines and stores.
        directory: where parts are, as far as is known.
        retention: for how long engines hold them.
        store_link: whether the stores' links are short.
    """

    def __init__(self, engines: EngineTable) -> None:
        self.kept_stores: tuple[PrefixStoreProfile, ...] = ()
        self.services: dict[str, ServiceProfile] = {}
        self.nodes = 1
        self.directory = PrefixDirectory()
        self.retention = CacheRetention()
        self.store_link = PrefixStoreLink()
        self._engines = engines

    def profile(self, service: str) -> ServiceProfile:
        """Return what the operator declares of a service's engines."""
        return self.services.get(service) or ServiceProfile(service, 0)

    def store_for(self, prompt: PromptShape, shared: SharedParts, now: float) -> tuple[str, bool]:
        """Return the store to fetch from, or nothing, and whether to save there too."""
        store = self._home_store(prompt)
        if not store:
            return "", False
        if not self.is_link_short(now):
            return store, not shared.saved
        if not is_worth_transferring(prompt):
            return "", False
        return store, not shared.saved and is_worth_saving(prompt)

    def is_link_short(self, now: float) -> bool:
        """Return whether more is to be moved than the stores' links carry."""
        return self.store_link.is_saturated(len(self.kept_stores), self.nodes, now)

    def record_sent(self, choice: EngineChoice, request: OpaqueRequest, now: float) -> None:
        """Note that an engine is about to read what of a prompt is kept nowhere."""
        prompt = request.prompt
        if prompt is None:
            return
        self._record_traffic(choice, request, prompt, now)
        for part in prompt.shared_parts:
            number = part_number(choice.cache_salt, part.part_id)
            if part.tokens >= constants.ANNOUNCED_PREFIX_MIN_TOKENS and not self._is_known(
                number, now
            ):
                self.directory.record_reading(number, choice.number, now)

    def _record_traffic(
        self, choice: EngineChoice, request: OpaqueRequest, prompt: PromptShape, now: float
    ) -> None:
        """Note what a prompt takes of the engines' memory and of the stores' links."""
        self.retention.record(prompt.declared_tokens, now)
        capacity = self.profile(request.service).cache_tokens
        if capacity:
            views = self._engines.of_service(request.service)
            free_tokens = sum(max(0, capacity - view.resident_tokens) for view in views)
            self.directory.held_s = self.retention.held_s(free_tokens, self.nodes, now)
        self.store_link.record_demand(self._store_s(choice, request, prompt), now)

    def _store_s(self, choice: EngineChoice, request: OpaqueRequest, prompt: PromptShape) -> float:
        """Return for how long a request takes a store's link, if nothing is left out."""
        zones = {store.address: store.zone for store in self.kept_stores}
        store = self._home_store(prompt)
        if choice.is_saved and choice.fetch_from not in ("", store):
            return 0.0
        tokens = request.shared_tokens if choice.is_saved else prompt.prompt_tokens
        view = self._engines.get(choice.engine_id)
        near = view is not None and view.record.zone == zones.get(store)
        factor = 1.0 if near else BETWEEN_ZONES
        return factor * tokens * self.profile(request.service).store_transfer_s_per_token

    def _is_known(self, number: int, now: float) -> bool:
        directory = self.directory
        found = directory.holder(number, now) or directory.reader(number, now)
        return found != 0 or directory.is_saved(number, now)

    def record_read(self, choice: EngineChoice, request: OpaqueRequest, now: float) -> None:
        """Note that an engine has read a prompt, and sends to the store what it was told to."""
        prompt = request.prompt
        if prompt is None:
            return
        for part in prompt.shared_parts:
            self.directory.record_read(
                part_number(choice.cache_salt, part.part_id),
                choice.number,
                now,
                saved=bool(choice.save_to),
                worth_telling=part.tokens >= constants.ANNOUNCED_PREFIX_MIN_TOKENS,
            )

    def _home_store(self, prompt: PromptShape) -> str:
        """Return the store that keeps the shared parts, the same on every node, or nothing.

        A part and all before it lie in one store: an engine fetches from one.
        """
        if not prompt.shared_parts:
            return ""
        key = prompt.shared_parts[-1].part_id.encode()
        return rendezvous.first(key, (store.address for store in self.kept_stores)) or ""
