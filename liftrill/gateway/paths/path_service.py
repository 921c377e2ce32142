"""Assembles the parts that find a path from a node to each engine."""

from collections.abc import Callable
from dataclasses import dataclass

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.forwarder import Forwarder
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.node_memory import NodeMemory
from liftrill.gateway.paths.engine_links import LinkChange
from liftrill.gateway.paths.engine_paths import EnginePaths
from liftrill.gateway.paths.isolation import IsolatedNodes
from liftrill.gateway.paths.link_monitor import LinkMonitor
from liftrill.gateway.paths.proxy_server import ProxyServer
from liftrill.gateway.paths.reach_codec import (
    ReachMessage,
    ResponseEndAnswer,
    ResponseEndMessage,
    ResponseEndQuestion,
)
from liftrill.gateway.paths.reach_exchange import ReachExchange, ReachPeers
from liftrill.gateway.paths.response_end_exchange import ResponseEndExchange, ResponseEndPeers
from liftrill.gateway.peers.load_table import LoadTable
from liftrill.gateway.peers.peer_link import PeerLink
from liftrill.gateway.settings import GatewaySettings
from liftrill.gateway.transport import EngineTransport


class _Peers(ReachPeers):
    """The peers that membership knows to be alive."""

    def __init__(self, membership: Membership, link: PeerLink) -> None:
        self._membership = membership
        self._link = link

    def others(self) -> list[Member]:
        """Return the other nodes that are alive."""
        return self._membership.alive_others()

    def send(self, node: str, content: ReachMessage) -> None:
        """Send a message to one node, or to all if its id is empty."""
        self._link.send_reach(content, node)


class _LoadedPeers(ResponseEndPeers):
    """The peers that may have had requests at an engine."""

    def __init__(self, membership: Membership, link: PeerLink, loads: LoadTable) -> None:
        self._membership = membership
        self._link = link
        self._loads = loads

    def members(self) -> list[Member]:
        """Return the other nodes that are not known to have ended."""
        own = self._membership.own.node_id
        return [member for member in self._membership.members() if member.node_id != own]

    def had_requests(self, member: Member, engine: EngineAddress) -> bool:
        """Return whether a node, or its zone, reported requests at an engine lately."""
        return self._loads.had_requests(engine.number, member.node_id, member.zone)

    def send(self, node: str, content: ResponseEndMessage) -> None:
        """Send a message to one node."""
        self._link.send_reach(content, node)


@dataclass(frozen=True, slots=True)
class NodeParts:
    """The parts of a node that finding paths builds on."""

    settings: GatewaySettings
    engines: EngineTable
    membership: Membership
    peers: PeerLink
    memory: NodeMemory | None
    log: DecisionLog
    metrics: GatewayMetrics
    loads: LoadTable


class PathService:
    """Watches the links of one node, finds proxies for it, and is one for its peers."""

    def __init__(
        self,
        parts: NodeParts,
        paths: EnginePaths,
        transport: EngineTransport,
        forwarder: Forwarder,
        accepts_requests: Callable[[], bool],
    ) -> None:
        log, metrics, engines = parts.log, parts.metrics, parts.engines
        self._parts = parts
        self._paths = paths
        self._forwarder = forwarder
        self._isolated = IsolatedNodes()
        self._monitor = LinkMonitor(paths.links, engines, transport, log, metrics)
        self._server = ProxyServer(
            engines, paths.links, parts.memory, log, metrics, forwarder.check_closed
        )
        self._server.question_path = transport.question_path
        self._server.id_header = transport.id_header
        self._exchange = ReachExchange(
            engines,
            paths.proxies,
            self._isolated,
            _Peers(parts.membership, parts.peers),
            parts.settings.zone,
            self._monitor.reaches,
        )
        paths.proxy_address = self._proxy_address
        self._monitor.on_links_checked = self._on_links_checked
        self._monitor.on_link_changed = self._on_link_changed
        self._exchange.on_path_found = self._on_path_found
        self._server.accepts_requests = accepts_requests
        self._server.may_send = lambda view: not view.rejects_requests(clock.now_s())
        forwarder.end_check.is_reached_by_peers = self._exchange.is_reached_by_peers
        peers = _LoadedPeers(parts.membership, parts.peers, parts.loads)
        self._response_ends = ResponseEndExchange(peers)
        self._response_ends.ends = forwarder.end_check.response_ends
        forwarder.end_check.ended_elsewhere = self._response_ends.ended_elsewhere
        forwarder.end_check.on_probe = paths.links.record_probe

    async def listen(self) -> None:
        """Open the socket on which peers hand over requests."""
        if self._parts.settings.proxy_address:
            await self._server.listen(self._parts.settings.proxy_address)

    async def run(self) -> None:
        """Watch the links for as long as the node runs."""
        await self._monitor.run()

    async def finish(self, timeout_s: float) -> None:
        """Wait until the requests of peers have ended, but no longer than a time."""
        await self._server.wait_until_idle(timeout_s)

    async def close(self) -> None:
        """Close the socket and the connections of peers."""
        await self._server.close()

    def receive(self, sender: str, content: ReachMessage) -> None:
        """Handle a message of a peer about the engines that it reaches or had responses of."""
        if isinstance(content, ResponseEndQuestion | ResponseEndAnswer):
            self._response_ends.receive(sender, content)
        else:
            self._exchange.receive(sender, content)

    def connected_members(self, members: list[Member]) -> list[Member]:
        """Return the members that reach engines over their own links, or all if too few do."""
        own = self._parts.settings.node
        return self._isolated.connected_members(members, own, clock.now_s())

    def leaves_to_others(self) -> bool:
        """Return whether this node reaches no engine, and others serve callers in its place."""
        members = self._parts.membership.members()
        return self._isolated.leaves_to_others(members, self._parts.settings.node, clock.now_s())

    def _proxy_address(self, node: str) -> str | None:
        """Return where a peer takes requests; all nodes use the same port for it."""
        member = self._parts.membership.member(node)
        _, _, port = self._parts.settings.proxy_address.rpartition(":")
        if member is None or not port:
            return None
        host, _, _ = member.address.rpartition(":")
        return f"{host}:{port}"

    def _on_links_checked(self) -> None:
        unreachable = self._paths.links.unreachable()
        self._exchange.ask(unreachable)
        in_use = [view.identity for view in self._parts.engines.in_use()]
        cut_off = bool(in_use) and not any(self._paths.links.is_up(engine) for engine in in_use)
        if self._exchange.report_isolation(cut_off):
            self._parts.log.state_changed("isolated", isolated=cut_off, engines=len(in_use))

    def _on_link_changed(self, change: LinkChange) -> None:
        if not change.is_up:
            self._server.discard_idle(change.engine.address)
            return
        self._engine_is_reachable(change.engine)

    def _on_path_found(self, engine: EngineAddress) -> None:
        self._parts.log.state_changed(
            "proxy_found", engine=engine.engine_id, address=engine.address
        )
        self._engine_is_reachable(engine)
        self._paths.links.path_found(engine, clock.now_s())

    def _engine_is_reachable(self, engine: EngineAddress) -> None:
        """Forget the failures of an engine that were due to the path to it."""
        view = self._parts.engines.get(engine.engine_id)
        if view is not None and view.identity == engine:
            view.breaker.record_success()
        self._forwarder.queues.wake_all()
