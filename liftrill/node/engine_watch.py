"""Background tasks that follow the machine list and the reports of the engines."""

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
    """Updates the engine table from the machine list and from engine reports."""

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
        self._poll_order: list[str] = []
        self._machine_list_index = 0
        self._refused_machines = 0
        self._watches: dict[str, asyncio.Task[None]] = {}

    async def follow_machine_list(self) -> None:
        """Follow the machine list, if this node is one of its region's store watchers.

        A store outage leaves the table unchanged. Other nodes receive changes by gossip,
        and read the list only while they know no engine.
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
        """Return whether this node is one of its region's store watchers."""
        own = self._membership.own
        members = [m.node_id for m in self._membership.members() if m.region == own.region]
        return watches_store(own.node_id, members, constants.STORE_WATCHERS_PER_REGION)

    async def follow_reports(self) -> None:
        """Watch the assigned engines, and poll a few of all engines in each interval."""
        while True:
            engines = self._context.engines.in_pools(self._context.view.pools_by_name)
            self._update_watches({engine.engine_id: engine for engine in engines})
            await asyncio.gather(*(self.refresh(e) for e in self._engines_to_poll(engines)))
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(constants.ENGINE_REPORT_INTERVAL_SECONDS * jitter)

    def _update_watches(self, by_id: dict[str, EngineState]) -> None:
        """Start a watch for each assigned engine, and cancel those of other engines."""
        members = [member.node_id for member in self._membership.members()]
        wanted = set(watched_engines(self._membership.own.node_id, members, by_id))
        for engine_id, watch in list(self._watches.items()):
            if engine_id not in wanted or watch.done():
                self._watches.pop(engine_id).cancel()
        for engine_id in wanted - self._watches.keys():
            self._watches[engine_id] = asyncio.create_task(self._watch(engine_id))

    async def _watch(self, engine_id: str) -> None:
        """Follow an engine's changes by repeated blocking queries."""
        while True:
            engine = self._context.engines.get(engine_id)
            report = await self._client.watch_report(engine) if engine else None
            if engine is None or report is None:
                wait = constants.ENGINE_REPORT_INTERVAL_SECONDS
                await asyncio.sleep(wait * self._random.uniform(0.8, 1.2))
            else:
                self._apply_report(engine, report)

    async def refresh(self, engine: EngineState) -> None:
        """Fetch and apply the report of an engine."""
        report = await self._client.report(engine)
        if report is not None:
            self._apply_report(engine, report)

    def _apply_report(self, engine: EngineState, report: EngineReport) -> None:
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
        """Wait for a change of the machine list and apply it; False if the store failed."""
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
        if machine_list.refused != self._refused_machines:
            self._refused_machines = machine_list.refused
            log_change("machines_refused", rows=machine_list.refused, index=machine_list.index)
        return True

    def _engines_to_poll(self, engines: list[EngineState]) -> list[EngineState]:
        """Return the engines to poll: some of the unconfirmed ones, and the next in the order."""
        by_id = {engine.engine_id: engine for engine in engines}
        unconfirmed = [e.engine_id for e in engines if e.identity is None or e.refused_as_leaving]
        chosen = dict.fromkeys(unconfirmed[: constants.ENGINE_DOUBTFUL_REPORTS])
        chosen.update(dict.fromkeys(self._next_in_poll_order(by_id)))
        return [by_id[engine_id] for engine_id in chosen]

    def _next_in_poll_order(self, by_id: dict[str, EngineState]) -> list[str]:
        """Return the next engines in a random order over all, to refresh their load."""
        taken: list[str] = []
        while len(taken) < min(constants.ENGINE_EXTRA_REPORTS, len(by_id)):
            if not self._poll_order:
                self._poll_order = list(by_id)
                self._random.shuffle(self._poll_order)
            taken.append(self._poll_order.pop())
        return [engine_id for engine_id in taken if engine_id in by_id]
