"""The path from this node to each engine: its own link, or a peer as proxy."""

from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill.gateway.delivery_events import EngineAddress, ProxyNode
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.paths.engine_links import EngineLinks
from liftrill.gateway.paths.proxy_table import ProxyTable


def _no_address(node: str) -> str | None:
    """Return no address: without peers there are no proxies."""
    return None


@dataclass(slots=True)
class EnginePaths:
    """The paths of one node.

    Attributes:
        links: the node's own links.
        proxies: the peers that reach engines whose links are down.
        proxy_address: returns HOST:PORT of a peer's proxy server, or None if it has none.
    """

    links: EngineLinks = field(default_factory=EngineLinks)
    proxies: ProxyTable = field(default_factory=ProxyTable)
    proxy_address: Callable[[str], str | None] = _no_address

    def is_usable(self, view: EngineView, now: float) -> bool:
        """Return whether requests can be sent to an engine."""
        if not view.breaker.allows(now):
            return False
        engine = view.identity
        return self.links.is_up(engine) or self.proxies.has_proxy(engine, now)

    def proxy(self, engine: EngineAddress, now: float) -> ProxyNode | None:
        """Return the peer to send a request by, or None to use the node's own link."""
        if self.links.is_up(engine):
            return None
        node = self.proxies.proxy(engine, now)
        address = self.proxy_address(node) if node is not None else None
        return ProxyNode(node, address) if node is not None and address else None

    def may_be_found(self, engine: EngineAddress, now: float) -> bool:
        """Return whether there is a proxy to an engine, or peers are being asked for one."""
        if self.links.is_up(engine):
            return False
        return self.proxies.has_proxy(engine, now) or self.proxies.is_pending(engine, now)
