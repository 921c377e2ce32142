"""Probes the links of a node to engines, and logs their changes."""

import asyncio
from collections.abc import Callable

from liftrill import clock
from liftrill.gateway import ticks
from liftrill.gateway.decision_log import DecisionLog, rounded_age
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.paths.engine_links import EngineLinks, LinkChange
from liftrill.gateway.transport import EngineTransport

# Many times the round trip between regions; a lost packet is sent again after a second only.
PROBE_TIMEOUT_S = 0.2
CHECK_INTERVAL_S = 0.1
# A link that worked this recently need not be probed to answer a peer.
FRESH_LINK_S = 0.5


def _ignore() -> None:
    """Ignore a change."""


class LinkMonitor:
    """Runs the probes that the links of a node need.

    Attributes:
        on_links_checked: called at each check of all links, and when one of them changed.
        on_link_changed: called when the link to an engine went down or was restored.
    """

    def __init__(
        self,
        links: EngineLinks,
        engines: EngineTable,
        transport: EngineTransport,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.on_links_checked: Callable[[], None] = _ignore
        self.on_link_changed: Callable[[LinkChange], None] = lambda change: None
        self._links = links
        self._engines = engines
        self._transport = transport
        self._log = log
        self._metrics = metrics
        self._probes: dict[EngineAddress, asyncio.Task[None]] = {}
        links.on_change = self._on_change

    async def run(self) -> None:
        """Probe links for as long as the node runs."""
        while True:
            self._links.keep_only(view.identity for view in self._engines)
            self._start_due_probes()
            self._metrics.unreachable_engines.set(len(self._links.unreachable()))
            self.on_links_checked()
            await ticks.pause(CHECK_INTERVAL_S)

    async def reaches(self, engine: EngineAddress, needs_probe: bool) -> bool:
        """Return whether this node reaches an engine over its own link; probe it if necessary."""
        if not self._links.is_up(engine):
            return False
        worked = self._links.worked_since(engine, clock.now_s() - FRESH_LINK_S)
        if needs_probe or not worked:
            await asyncio.wait({self._start_probe(engine)})
        return self._links.is_up(engine)

    def _start_due_probes(self) -> None:
        for engine in self._links.due_probes(clock.now_s()):
            self._start_probe(engine)

    def _start_probe(self, engine: EngineAddress) -> asyncio.Task[None]:
        """Probe an engine, unless a probe of it is under way."""
        task = self._probes.get(engine)
        if task is None:
            task = self._probes[engine] = asyncio.ensure_future(self._probe(engine))
            task.add_done_callback(lambda _: self._probes.pop(engine, None))
        return task

    async def _probe(self, engine: EngineAddress) -> None:
        result = await self._transport.probe(engine.address, PROBE_TIMEOUT_S)
        self._links.record_probe(engine, result, clock.now_s())

    def _on_change(self, change: LinkChange) -> None:
        engines = [view.identity for view in self._engines]
        self._log.state_changed(
            "engine_link",
            engine=change.engine.engine_id,
            address=change.engine.address,
            up=change.is_up,
            cause=change.cause,
            silent_s=rounded_age(change.silent_s),
            down=len(self._links.unreachable()),
            of=len(engines),
        )
        if not change.is_up:
            self._transport.discard_idle(change.engine.address)
            self._links.suspect_all(engines, clock.now_s())
        self.on_link_changed(change)
        self._start_due_probes()
        self.on_links_checked()
