"""Chooses the engine for a request."""

import hashlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from liftrill.coordination import rendezvous
from liftrill.gateway.engine_table import EngineView
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape

SALT_DIGEST_BYTES = 8


def cache_salt(tenant: str, isolated: bool, model: str, version: int) -> str:
    """Return the scope under which an engine keeps the parts of a prompt.

    It names the weights, so that nothing made under others is found, and the tenant
    where that shares with nobody.
    """
    owner = tenant if isolated else ""
    content = f"{owner}\0{model}\0{version}".encode()
    return hashlib.blake2b(content, digest_size=SALT_DIGEST_BYTES).hexdigest()


class PlacementPolicy(ABC):
    """Orders engines that could all serve a request."""

    @abstractmethod
    def choose(self, request: OpaqueRequest, engines: list[EngineView], zone: str) -> EngineView:
        """Return the engine to send to; the list is not empty."""


class LeastLoaded(PlacementPolicy):
    """The engine with the fewest requests of this node; engines of the own zone win ties."""

    def choose(self, request: OpaqueRequest, engines: list[EngineView], zone: str) -> EngineView:
        """Return the least loaded engine."""
        key = request.request_id.encode()

        def order(view: EngineView) -> tuple[int, bool, tuple[int, str]]:
            away = view.record.zone != zone
            return view.in_flight, away, rendezvous.weight(key, view.engine_id)

        return min(engines, key=order)


@dataclass(slots=True)
class PrefixAffinity(PlacementPolicy):
    """Rendezvous on the last shared part, with bounded load.

    Requests that share a part go to the same engine from every node, unless this node
    has clearly more on it than on the others.

    Attributes:
        load_factor: the load over the mean that an engine may have.
        load_slack: requests that an engine may have beyond that.
    """

    load_factor: float = 1.5
    load_slack: float = 2.0
    fallback: PlacementPolicy = field(default_factory=LeastLoaded)

    def choose(self, request: OpaqueRequest, engines: list[EngineView], zone: str) -> EngineView:
        """Return the first engine in the part's order that is not overloaded."""
        key = affinity_key(request)
        if key is None:
            return self.fallback.choose(request, engines, zone)
        by_id = {view.engine_id: view for view in engines}
        mean = sum(view.in_flight for view in engines) / len(engines)
        bound = self.load_factor * mean + self.load_slack
        for engine_id in rendezvous.rank(key, by_id):
            if by_id[engine_id].in_flight < bound:
                return by_id[engine_id]
        return self.fallback.choose(request, engines, zone)


def affinity_key(request: OpaqueRequest) -> bytes | None:
    """Return what requests with the same shared prompt have in common, or None."""
    prompt: PromptShape | None = request.prompt
    if prompt is None or not prompt.shared_parts:
        return None
    return prompt.shared_parts[-1].part_id.encode()
