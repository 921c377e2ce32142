"""Records in the store which software versions serve, for a restart of all nodes at once.

Nodes remember in memory which versions served lately. After all of them have ended, a version whose
engines ended too would be forgotten, and its streams would go on at another one. The record is
written as a version comes, before resumable streams begin at it, and again after it has gone.
"""

import asyncio
from contextlib import suppress

from google.protobuf.message import DecodeError

from liftrill import clock
from liftrill.coordination.membership import Membership
from liftrill.coordination.range_store import Expectation, PutItem, RangeStore
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreError
from liftrill.gateway import ticks
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.fleet_record import FLEET_KEY
from liftrill.gateway.peers.capable_nodes import ranked
from liftrill.gateway.streams.origin_ports import RecordedVersions
from liftrill.gateway.streams.stream_origins import ServiceVersion
from liftrill.gateway.streams.version_history import RETENTION_S
from liftrill.messages import peer_pb2 as messages

VERSIONS_KEY = "liftrill/software-versions"
RANK_KEY = b"software-versions"
# Nodes write in turn, so that they do not all write the same change.
TURN_S = 0.3
WRITE_RETRY_S = 0.5
# Streams begin at a version that could not be recorded for this long: the store may refuse writes.
MAX_UNRECORDED_S = 2.0


class VersionRecord(RecordedVersions):
    """The recorded versions, as far as the mirror of the store has them; writes changes of them."""

    def __init__(
        self,
        store: RangeStore,
        mirror: StoreMirror,
        engines: EngineTable,
        membership: Membership,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._engines = engines
        self._membership = membership
        self._log = log
        self._revision = 0
        self._recorded: frozenset[ServiceVersion] = frozenset()
        self._initial: frozenset[ServiceVersion] | None = None
        self._is_history_lost = False
        # When this node first read that a version is recorded, or saw an engine of it.
        self._recorded_since: dict[ServiceVersion, float] = {}
        self._unrecorded_since: dict[ServiceVersion, float] = {}
        # When this node writes, while the record is not as it should be.
        self._due_at: float | None = None
        self._write_requested = asyncio.Event()

    @property
    def initial(self) -> frozenset[ServiceVersion]:
        """The versions that were recorded when this node started."""
        return self._initial or frozenset()

    @property
    def lacks_history(self) -> bool:
        """Whether a fleet ran before this node started, and left no record."""
        return self._initial is None or self._is_history_lost

    def of_service(self, service: str) -> set[str]:
        """Return the recorded versions of a service."""
        return {each.software_version for each in self._recorded if each.service == service}

    def load(self, now: float) -> None:
        """Load the record after a change of the mirror, and note versions that it lacks."""
        item = self._mirror.get(VERSIONS_KEY)
        if item is not None and item.revision != self._revision:
            self._revision = item.revision
            self._recorded = self._decoded(item.value)
            for version in self._recorded:
                self._recorded_since.setdefault(version, now)
        if self._initial is None:
            self._initial = self._recorded
            self._is_history_lost = item is None and self._mirror.get(FLEET_KEY) is not None
        self._note_unrecorded(now)
        if self._unrecorded_since and self._due_at is None:
            self._write_requested.set()

    def _decoded(self, value: bytes) -> frozenset[ServiceVersion]:
        try:
            record = messages.ServedVersions.FromString(value)
        except DecodeError as error:
            self._log.state_changed("record_refused", key=VERSIONS_KEY, why=repr(error))
            return self._recorded
        return frozenset(ServiceVersion(v.service, v.software_version) for v in record.versions)

    def _note_unrecorded(self, now: float) -> None:
        present = {ServiceVersion(*named) for named in self._engines.version_counts()}
        self._unrecorded_since = {
            version: self._unrecorded_since.get(version, now)
            for version in present - self._recorded
        }

    def is_recorded(self, service: str, software_version: str) -> bool:
        """Return whether resumable streams may begin at a version."""
        since = self._unrecorded_since.get(ServiceVersion(service, software_version))
        return since is None or clock.now_s() - since > MAX_UNRECORDED_S

    async def write_due(self, now: float) -> None:
        """Write the record if it is this node's turn."""
        self._write_requested.clear()
        self._note_unrecorded(now)
        versions = self._current(now)
        if versions == self._recorded:
            self._due_at = None
            return
        if self._due_at is None:
            self._due_at = now + TURN_S * self._rank()
        if now >= self._due_at:
            await self._write(versions)

    async def wait(self, timeout_s: float) -> None:
        """Wait until a version is not recorded yet, but no longer than a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ticks.until_tick_s(timeout_s)):
                await self._write_requested.wait()

    def _current(self, now: float) -> frozenset[ServiceVersion]:
        """Return the versions to record: those that serve, or may have served lately."""
        present = {ServiceVersion(*named) for named in self._engines.version_counts()}
        services = {each.service for each in present | self._recorded}
        lately = {
            ServiceVersion(service, version)
            for service in services
            for version in self._engines.removed_versions.versions(service, now)
        }
        kept = {v for v in self._recorded if now - self._recorded_since[v] < RETENTION_S}
        return frozenset(present | lately | kept)

    def _rank(self) -> int:
        members = ranked(RANK_KEY, self._membership.members())
        own = self._membership.own.node_id
        return next((at for at, member in enumerate(members) if member.node_id == own), 0)

    async def _write(self, versions: frozenset[ServiceVersion]) -> None:
        ordered = sorted(versions, key=lambda each: (each.service, each.software_version))
        rows = [
            messages.ServiceVersion(service=v.service, software_version=v.software_version)
            for v in ordered
        ]
        value = messages.ServedVersions(versions=rows).SerializeToString()
        item = self._mirror.get(VERSIONS_KEY)
        expected = (Expectation(VERSIONS_KEY, item.revision if item else 0),)
        names = [f"{v.service}/{v.software_version}" for v in ordered]
        try:
            await self._store.transact(expected, (PutItem(VERSIONS_KEY, value),))
        except StoreError as error:
            # Another node wrote first, or the store is unreachable: the mirror tells.
            self._due_at = clock.now_s() + WRITE_RETRY_S
            self._log.state_changed("versions_not_recorded", versions=names, why=repr(error))
            return
        # The mirror has the record within a watch; until then it is not due again.
        self._due_at = clock.now_s() + WRITE_RETRY_S
        self._log.state_changed("versions_recorded", versions=names)
