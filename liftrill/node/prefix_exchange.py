"""Background tasks that update the prefix directory from home nodes and cache events."""

import asyncio
import random

from liftrill import clock, constants
from liftrill.cache.directory import PrefixDirectory
from liftrill.cache.event_stream import EventStream
from liftrill.cache.home import HomeDirectory, PrefixReport
from liftrill.coordination.membership import Membership
from liftrill.node.context import NodeContext
from liftrill.node.engine_client import EngineClient
from liftrill.node.peer_client import PeerClient, PeerError
from liftrill.node.prefix_codec import exchange_message, reports_from_message
from liftrill.routing.engine_state import EngineState
from liftrill.routing.watch_assignment import watched_engines


class PrefixExchangeService:
    """Reports prefixes to their home nodes, serves as a home node, and reads cache events."""

    def __init__(
        self,
        context: NodeContext,
        directory: PrefixDirectory,
        membership: Membership,
        peers: PeerClient,
        client: EngineClient,
        random_source: random.Random,
    ) -> None:
        self._context = context
        self._directory = directory
        self._membership = membership
        self._peers = peers
        self._client = client
        self._random = random_source
        self._home = HomeDirectory(constants.HOME_ENTRIES)
        self._streams: dict[str, EventStream] = {}

    async def exchange_with_homes(self) -> None:
        """Report prefixes to their home nodes until cancelled."""
        while True:
            await self._exchange()
            await asyncio.sleep(constants.HOME_EXCHANGE_INTERVAL_SECONDS * self._jitter())

    async def follow_events(self) -> None:
        """Read the cache events of the assigned engines until cancelled, unless disabled."""
        while constants.EVENT_READ_INTERVAL_SECONDS > 0:
            await self._read_events()
            await asyncio.sleep(constants.EVENT_READ_INTERVAL_SECONDS * self._jitter())

    def _jitter(self) -> float:
        return self._random.uniform(0.8, 1.2)

    def exchange_reports(self, node_id: str, reports: list[PrefixReport]) -> list[PrefixReport]:
        """Merge a node's reports as the home node, and return the information of other nodes."""
        return self._home.exchange(node_id, reports, clock.now_s())

    async def _exchange(self) -> None:
        members = {m.node_id: m.address for m in self._membership.members()}
        reporter = self._context.router.home_reporter
        reports = reporter.take_reports(sorted(members), clock.now_s())
        await asyncio.gather(
            *(self._exchange_with(home, members[home], sent) for home, sent in reports.items())
        )

    async def _exchange_with(self, home: str, address: str, reports: list[PrefixReport]) -> None:
        own_id = self._context.settings.node_id
        if home == own_id:
            answers = self.exchange_reports(own_id, reports)
        else:
            try:
                message = exchange_message(own_id, reports)
                answers = reports_from_message(
                    await self._peers.exchange_prefixes(address, message)
                )
            except PeerError:
                return
        self._context.router.home_reporter.apply_answers(answers, clock.now_s())

    async def _read_events(self) -> None:
        engines = self._context.engines.in_pools(self._context.view.pools_by_name)
        by_id = {engine.engine_id: engine for engine in engines}
        members = [member.node_id for member in self._membership.members()]
        assigned = watched_engines(self._context.settings.node_id, members, by_id)
        self._streams = {e: s for e, s in self._streams.items() if e in assigned}
        await asyncio.gather(*(self._read_engine(by_id[engine_id]) for engine_id in assigned))

    async def _read_engine(self, engine: EngineState) -> None:
        stream = self._streams.get(engine.engine_id)
        if stream is None:
            stream = EventStream(engine.engine_id, self._directory)
            self._streams[engine.engine_id] = stream
        gaps_before = stream.gaps
        batch = await self._client.cache_events(engine, stream.next_sequence - 1)
        if batch is not None:
            stream.apply(batch.incarnation, batch.events, clock.now_s())
            self._context.metrics.event_gaps.inc(stream.gaps - gaps_before)
