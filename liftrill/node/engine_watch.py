"""Background tasks that follow the machine list and the engines' own reports."""

import asyncio
import random

from liftrill import constants
from liftrill.coordination.key_value_store import KeyValueStore, MachineEntry
from liftrill.errors import StoreError
from liftrill.node.context import NodeContext
from liftrill.node.engine_client import EngineClient
from liftrill.node.logs import log_change
from liftrill.routing.engine_state import EngineListing, EngineState


class EngineWatch:
    """Feeds the engine table."""

    def __init__(
        self,
        context: NodeContext,
        store: KeyValueStore,
        client: EngineClient,
        random_source: random.Random,
    ) -> None:
        self._context = context
        self._store = store
        self._client = client
        self._random = random_source

    async def follow_machine_list(self) -> None:
        """Read the machine list again and again; an outage leaves the table as it is."""
        wait = constants.MACHINE_LIST_INTERVAL_SECONDS
        while True:
            try:
                machines = await self._store.machines()
                self._apply_machines(machines)
                wait = constants.MACHINE_LIST_INTERVAL_SECONDS
            except StoreError:
                self._context.metrics.store_errors.inc()
                wait = min(wait * 2, constants.STORE_RETRY_LONGEST_SECONDS)
            await asyncio.sleep(wait * self._random.uniform(0.8, 1.2))

    async def follow_reports(self) -> None:
        """Ask every engine for its report at the report interval."""
        while True:
            engines = list(self._context.engines)
            await asyncio.gather(*(self._refresh(engine) for engine in engines))
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(constants.ENGINE_REPORT_INTERVAL_SECONDS * jitter)

    def _apply_machines(self, machines: list[MachineEntry]) -> None:
        pools = self._context.view.pools_by_name
        listings = [
            EngineListing(m.machine_id, m.address, m.zone, m.service, m.leaving)
            for m in machines
            if m.service in pools
        ]
        known = {engine.engine_id for engine in self._context.engines}
        self._context.engines.apply_listing(listings)
        if known != {listing.engine_id for listing in listings}:
            log_change("engines_listed", count=len(listings))

    async def _refresh(self, engine: EngineState) -> None:
        report = await self._client.report(engine)
        if report is None or report.engine_id != engine.engine_id:
            return
        was_unknown = engine.incarnation is None
        if engine.apply_report(report):
            log_change("engine_restarted", engine=engine.engine_id)
        if was_unknown:
            self._context.dispatcher.wake()
