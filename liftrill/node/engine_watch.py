"""Background tasks that follow the machine list and the engines' own reports."""

import asyncio
import random

from liftrill import clock, constants
from liftrill.coordination.key_value_store import KeyValueStore
from liftrill.coordination.membership import Membership
from liftrill.errors import StoreError
from liftrill.node.context import NodeContext
from liftrill.node.engine_client import EngineClient
from liftrill.node.logs import log_change
from liftrill.routing.engine_records import EngineObservation, EngineRecords
from liftrill.routing.engine_state import EngineReport, EngineState
from liftrill.routing.watch_assignment import watched_engines, watches_store


class EngineWatch:
    """Feeds the engine table."""

    def __init__(
        self,
        context: NodeContext,
        store: KeyValueStore,
        client: EngineClient,
        records: EngineRecords,
        membership: Membership,
        random_source: random.Random,
    ) -> None:
        self._context = context
        self._store = store
        self._client = client
        self._records = records
        self._membership = membership
        self._random = random_source
        self._extra: list[str] = []
        self._machine_list_index = 0
        self._watches: dict[str, asyncio.Task[None]] = {}

    async def follow_machine_list(self) -> None:
        """Read the machine list where this node does so for its region.

        An outage leaves the table as it is. Other nodes hear of changes by gossip, and
        read the list themselves only while they know no engine.
        """
        wait = constants.STORE_RETRY_FIRST_SECONDS
        while True:
            if not self.watches_store() and len(self._context.engines) > 0:
                await asyncio.sleep(constants.STORE_RETRY_LONGEST_SECONDS)
                continue
            if await self._read_machine_list():
                wait = constants.STORE_RETRY_FIRST_SECONDS
            else:
                wait = min(wait * 2, constants.STORE_RETRY_LONGEST_SECONDS)
            await asyncio.sleep(wait * self._random.uniform(0.8, 1.2))

    def watches_store(self) -> bool:
        """Return whether this node reads the store for its region."""
        own = self._membership.own
        members = [m.node_id for m in self._membership.members() if m.region == own.region]
        return watches_store(own.node_id, members, constants.STORE_WATCHERS_PER_REGION)

    async def follow_reports(self) -> None:
        """Keep a watch on the own engines, and ask a few others for their load in turn."""
        while True:
            engines = self._context.engines.in_pools(self._context.view.pools_by_name)
            self._keep_watches({engine.engine_id: engine for engine in engines})
            await asyncio.gather(*(self.refresh(e) for e in self._engines_to_ask(engines)))
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(constants.ENGINE_REPORT_INTERVAL_SECONDS * jitter)

    def _keep_watches(self, by_id: dict[str, EngineState]) -> None:
        """Start a watch for each own engine, and end those of engines that are not."""
        members = [member.node_id for member in self._membership.members()]
        wanted = set(watched_engines(self._membership.own.node_id, members, by_id))
        for engine_id, watch in list(self._watches.items()):
            if engine_id not in wanted or watch.done():
                self._watches.pop(engine_id).cancel()
        for engine_id in wanted - self._watches.keys():
            self._watches[engine_id] = asyncio.create_task(self._watch(engine_id))

    async def _watch(self, engine_id: str) -> None:
        """Hear of an engine's changes at once, by a blocking query that is renewed."""
        while True:
            engine = self._context.engines.get(engine_id)
            report = await self._client.watch_report(engine) if engine else None
            if engine is None or report is None:
                wait = constants.ENGINE_REPORT_INTERVAL_SECONDS
                await asyncio.sleep(wait * self._random.uniform(0.8, 1.2))
            else:
                self._apply(engine, report)

    async def refresh(self, engine: EngineState) -> None:
        """Ask one engine for its report."""
        report = await self._client.report(engine)
        if report is not None:
            self._apply(engine, report)

    def _apply(self, engine: EngineState, report: EngineReport) -> None:
        if report.engine_id != engine.engine_id:
            return
        engine.refused_as_leaving = False
        was_unknown = engine.identity is None
        if engine.apply_report(report, clock.now_s()):
            log_change("engine_changed", engine=engine.engine_id, leaving=engine.leaving)
        observation = EngineObservation(engine.engine_id, report.identity)
        if self._records.offer_observation(observation):
            self._membership.request_announcement()
        if was_unknown:
            self._context.dispatcher.wake()

    async def _read_machine_list(self) -> bool:
        """Wait for a change of the list, and take it in; False if the store failed."""
        try:
            machine_list = await self._store.watch_machines(
                self._machine_list_index, constants.STORE_WATCH_SECONDS
            )
        except StoreError:
            self._context.metrics.store_errors.inc()
            return False
        self._machine_list_index = machine_list.index
        changed = self._records.offer_machine_list(machine_list)
        if changed:
            self._membership.request_announcement()
            log_change("machine_list", changed=changed, index=machine_list.index)
        return True

    def _engines_to_ask(self, engines: list[EngineState]) -> list[EngineState]:
        """Return engines of which nothing is known, or something doubtful, and a few more."""
        by_id = {engine.engine_id: engine for engine in engines}
        doubtful = [e.engine_id for e in engines if e.identity is None or e.refused_as_leaving]
        chosen = dict.fromkeys(doubtful[: constants.ENGINE_DOUBTFUL_REPORTS])
        chosen.update(dict.fromkeys(self._take_extra(by_id)))
        return [by_id[engine_id] for engine_id in chosen]

    def _take_extra(self, by_id: dict[str, EngineState]) -> list[str]:
        """Return the next engines of a round over all, for a fresher view of their load."""
        taken: list[str] = []
        while len(taken) < min(constants.ENGINE_EXTRA_REPORTS, len(by_id)):
            if not self._extra:
                self._extra = list(by_id)
                self._random.shuffle(self._extra)
            taken.append(self._extra.pop())
        return [engine_id for engine_id in taken if engine_id in by_id]
