"""Assembles what one node needs to know which software version began a stream."""

import asyncio

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import RangeStore
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.engines.software_version_filter import SoftwareVersionFilter
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.peers.peer_link import PeerLink
from liftrill.gateway.streams.origin_records import ORIGINS_KEY_PREFIX, OriginRecords
from liftrill.gateway.streams.origin_tracker import MemberPeers, OriginTracker
from liftrill.gateway.streams.version_record import VersionRecord

MAX_RECORD_DELAY_S = 0.3


class OriginService:
    """The origins of streams, with what is kept of them in the store.

    Attributes:
        tracker: records the origins of this node's streams, and finds others.
        versions: the versions that are recorded in the store.
    """

    def __init__(
        self,
        store: RangeStore,
        mirror: StoreMirror,
        freshness: MirrorFreshness,
        engines: EngineTable,
        membership: Membership,
        link: PeerLink,
        log: DecisionLog,
        metrics: GatewayMetrics,
        trusted_unread_s: float,
    ) -> None:
        own = membership.own
        key_prefix = f"{ORIGINS_KEY_PREFIX}{own.node_id}/{own.incarnation}/"
        self.versions = VersionRecord(
            store, mirror, freshness, engines, membership, log, trusted_unread_s
        )
        self._records = OriginRecords(store, key_prefix, log)
        peers = MemberPeers(membership, link)
        self.tracker = OriginTracker(engines, peers, self.versions, self._records, log, metrics)

    def connect(self, version_filter: SoftwareVersionFilter) -> None:
        """Let streams begin where a restart of all nodes does not forget it."""
        version_filter.may_begin_at = self.tracker.evidence.may_begin_at
        version_filter.need_version = self.versions.need

    def load(self, now: float) -> None:
        """Load what is recorded after a change of the mirror."""
        self.versions.load(now)
        self.tracker.evidence.refresh(now)

    async def knows_engines(self, until: float) -> bool:
        """Return whether this node knows all records of engines that were written before a time.

        A copy of the usual age at a node whose peers answer counts at once. An older one has to be
        proven, unless no proof comes and peers answer: the store is then silent to them too.
        """
        if self.versions.is_copy_regular() and await self.tracker.peers_answer():
            return True
        if await self.versions.copy_reaches(until):
            return True
        return self.versions.is_copy_trusted(until) and await self.tracker.peers_answer()

    def store_restored(self, now: float) -> None:
        """Handle that the store came back from an older copy."""
        self.tracker.evidence.store_restored(now)

    async def run(self) -> None:
        """Keep the store up to date."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._records.run())
            tasks.create_task(self._maintain_versions())

    async def _maintain_versions(self) -> None:
        while True:
            await self.versions.write_due(clock.now_s())
            await self.versions.wait(MAX_RECORD_DELAY_S)
