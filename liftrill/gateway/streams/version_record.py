"""Records in the store which software versions serve, for a restart of all nodes at once.

Nodes remember in memory which versions served lately. After all of them have ended, a version whose
engines ended too would be forgotten, and its streams would go on at another one.

Resumable streams begin at recorded versions alone while these serve. A version that came beside a
recorded one is not recorded until it is known that no node has ended, or until callers have come
back: streams that were forgotten with a node can then have begun at the recorded one alone.
"""

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress

from google.protobuf.message import DecodeError

from liftrill import clock, constants
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Condition
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import Expectation, PutItem, RangeStore, StoredItem
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreError
from liftrill.gateway import ticks
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.fleet_record import FLEET_KEY
from liftrill.gateway.peers.capable_nodes import ranked
from liftrill.gateway.streams.origin_ports import RecordedVersions
from liftrill.gateway.streams.origin_records import READ_TIMEOUT_S, SharedRead
from liftrill.gateway.streams.stream_origins import ServiceVersion
from liftrill.gateway.streams.version_evidence import recorded_suffice
from liftrill.gateway.streams.version_history import RETENTION_S
from liftrill.messages import peer_pb2 as messages

VERSIONS_KEY = "liftrill/software-versions"
RANK_KEY = b"software-versions"
# Nodes write in turn, so that they do not all write the same change.
TURN_S = 0.3
WRITE_RETRY_S = 0.5
# Callers of the streams that a restart broke off have come back within this time.
RETURN_OF_CALLERS_S = 10.0
# In a fleet of up to six nodes all suspect one that ended within this time; in a larger one, in
# which it began a smaller share of the streams, some learn of it later.
END_SUSPECTED_S = 5.0
# Nodes that need a version at once write in turn within this time.
NEEDED_TURNS_S = 0.2
# How often a node that cannot read the store checks whether its mirror has been confirmed.
CONFIRMATION_CHECK_S = 0.05
# How often a node that asked for a proof of its copy checks whether it has come.
PROOF_CHECK_S = 0.02
# A store that answers this node again proves its copy within this time.
PROOF_WAIT_S = constants.KEY_PROOF_INTERVAL_SECONDS
# A copy is proven this long ago at most, unless the node is out of touch.
REGULAR_AGE_S = constants.KEY_PROOF_INTERVAL_SECONDS + constants.RELAY_QUERY_INTERVAL_SECONDS


def _request_nothing() -> None:
    """Leave the next proof of the mirror to the regular interval."""


class VersionRecord(RecordedVersions):
    """The recorded versions, as far as this node has read them; writes changes of them.

    Attributes:
        request_proof: asks for an early proof that the mirror is complete.
    """

    def __init__(
        self,
        store: RangeStore,
        mirror: StoreMirror,
        freshness: MirrorFreshness,
        engines: EngineTable,
        membership: Membership,
        log: DecisionLog,
        trusted_unread_s: float,
    ) -> None:
        self.request_proof: Callable[[], None] = _request_nothing
        self._store = store
        self._mirror = mirror
        self._freshness = freshness
        # For how long a mirror counts as complete while the store cannot be read.
        self._trusted_unread_s = trusted_unread_s
        self._record_read = SharedRead(self._read_record)
        # Until when the record that was read without the mirror is known to be complete.
        self._complete_until = -math.inf
        self._engines = engines
        self._membership = membership
        self._log = log
        self._started_at = clock.now_s()
        self._revision = 0
        # What is recorded, and what was lately, with the time when that was first read.
        self._stored: frozenset[ServiceVersion] = frozenset()
        self._read_since: dict[ServiceVersion, float] = {}
        self._by_service: dict[str, set[str]] = {}
        self._stored_retention_s = RETENTION_S
        self._max_lifetime_s = 0.0
        # None until the store has been read.
        self._lacks_history: bool | None = None
        self._is_partial = False
        # When this node writes, while the record is not as it should be.
        self._due_at: float | None = None
        self._write_requested = asyncio.Event()
        # Services whose recorded versions have no room.
        self._needed: set[str] = set()
        # When this node started, or another one last ended, restarted or was suspected.
        self._nodes_changed_at = self._started_at
        self._incarnations: set[tuple[str, int]] = set()
        self._alive: set[str] = set()
        # When nodes were suspected or ended that are not back.
        self._lost_at: dict[str, float] = {}
        # When versions came that are not recorded yet.
        self._came_at: dict[ServiceVersion, float] = {}

    @property
    def lacks_history(self) -> bool:
        """Whether versions may have served before this node started that are not recorded."""
        return self._lacks_history is not False

    @property
    def retention_s(self) -> float:
        """For how long versions that left are kept: the longest life of a stream."""
        return max(self._stored_retention_s, self._max_lifetime_s)

    def copy_age_s(self, now: float) -> float:
        """Return since when the copy of the store may lack changes."""
        return self._freshness.age_s(now)

    def note_lifetime(self, lifetime_s: float) -> None:
        """Note for how long a stream may be resumed."""
        if lifetime_s > self.retention_s:
            # Few steps up to the longest life, and so few writes.
            self._max_lifetime_s = RETENTION_S * 2 ** math.ceil(math.log2(lifetime_s / RETENTION_S))
            self._write_requested.set()

    def of_service(self, service: str) -> set[str]:
        """Return the versions of a service that are recorded, or were until lately."""
        return self._by_service.get(service, set())

    def need(self, service: str) -> None:
        """Record the versions of a service soon, because the recorded ones have no room."""
        if service not in self._needed:
            self._needed.add(service)
            self._due_at = None
            self._write_requested.set()

    def read_at(self, version: ServiceVersion) -> float | None:
        """Return when this node first read that a version is recorded, or None."""
        return self._read_since.get(version)

    def load(self, now: float) -> None:
        """Load the record after a change of the mirror."""
        item = self._mirror.get(VERSIONS_KEY)
        # The record may have been read before the mirror reached it.
        if self._mirror.position >= self._revision:
            self._take(item, now)
        if self._lacks_history is None:
            # Without a record no fleet has run before, unless it was of an earlier build.
            is_first_start = item is None and self._mirror.get(FLEET_KEY) is None
            self._lacks_history = self._is_partial or not (item is not None or is_first_start)
        unrecorded = self._present() - self._stored
        self._needed &= {version.service for version in unrecorded}
        if unrecorded:
            self._write_requested.set()

    def _take(self, item: StoredItem | None, now: float) -> None:
        """Replace what is known of the record by a later or equal state of it."""
        if item is None:
            self._stored, self._revision, self._is_partial = frozenset(), 0, False
        elif item.revision != self._revision:
            self._revision = item.revision
            self._decode(item.value, now)

    async def confirm(self, until: float) -> None:
        """Make sure that this node knows all versions that were recorded before a time.

        Raises:
            StoreError: it may lack some, and the record could not be read in time.
        """
        gives_up_at = clock.now_s() + READ_TIMEOUT_S
        while not self._is_complete(until):
            try:
                await self._record_read.result(until)
            except StoreError:
                if clock.now_s() >= gives_up_at:
                    raise
                # The node that this one follows may reach the store, and confirm the mirror.
                await asyncio.sleep(CONFIRMATION_CHECK_S)

    def is_trusted_unread(self, until: float) -> bool:
        """Return whether peers can confirm what this node knows, as the store cannot be read.

        As long as keys are accepted while the store is silent, so is what the mirror has. If half
        of the nodes are out of reach since, this one may be cut off with the others.
        """
        return self._is_trusted(self._known_until(), until)

    async def copy_reaches(self, until: float) -> bool:
        """Return whether the copy of the store proves to be complete until a time, after a wait."""
        gives_up_at = clock.now_s() + PROOF_WAIT_S
        while self._freshness.as_of < until and clock.now_s() < gives_up_at:
            self.request_proof()
            await asyncio.sleep(PROOF_CHECK_S)
        return self._freshness.as_of >= until

    def is_copy_regular(self) -> bool:
        """Return whether the copy of the store is no older than that of a node in touch."""
        return self._freshness.age_s(clock.now_s()) <= REGULAR_AGE_S

    def is_copy_trusted(self, until: float) -> bool:
        """Return whether peers can confirm the copy of the store, as it cannot be read."""
        return self._is_trusted(self._freshness.as_of, until)

    def _is_trusted(self, complete_until: float, until: float) -> bool:
        """Return whether what is complete until a time counts as complete until a later one."""
        self._note_members(clock.now_s())
        lost_count = sum(at >= complete_until for at in self._lost_at.values())
        is_recent = complete_until >= until - self._trusted_unread_s
        return is_recent and len(self._alive) > lost_count

    def _is_complete(self, until: float) -> bool:
        return self._known_until() >= until

    def _known_until(self) -> float:
        """Return until when this node knows all versions that were recorded."""
        return max(self._freshness.as_of, self._complete_until)

    async def _read_record(self) -> None:
        sent_at = clock.now_s()
        result = await self._store.read(VERSIONS_KEY)
        if result.item is not None and result.item.revision > self._revision:
            self._take(result.item, clock.now_s())
        self._complete_until = max(self._complete_until, sent_at)

    def _decode(self, value: bytes, now: float) -> None:
        try:
            record = messages.ServedVersions.FromString(value)
        except DecodeError as error:
            self._log.state_changed("record_refused", key=VERSIONS_KEY, why=repr(error))
            self._stored, self._is_partial = frozenset(), True
            return
        self._stored = frozenset(
            ServiceVersion(row.service, row.software_version) for row in record.versions
        )
        self._is_partial = record.is_partial
        self._stored_retention_s = max(RETENTION_S, record.retention_seconds)
        for version in self._stored:
            self._read_since.setdefault(version, now)
            self._by_service.setdefault(version.service, set()).add(version.software_version)

    def _present(self) -> frozenset[ServiceVersion]:
        """Return the versions in the records of engines."""
        return frozenset(ServiceVersion(*named) for named in self._engines.version_counts())

    async def write_due(self, now: float) -> None:
        """Write the record if it differs from what this node knows and it is this node's turn."""
        self._write_requested.clear()
        if self._lacks_history is None:
            return
        self._forget(now)
        self._lacks_history &= now - self._started_at < self.retention_s
        self._note_members(now)
        self._note_arrivals(now)
        versions = self._current(now)
        is_up_to_date = (
            versions == self._stored
            and self._max_lifetime_s <= self._stored_retention_s
            and self._is_partial <= self._lacks_history
        )
        if is_up_to_date:
            self._due_at = None
            return
        if self._due_at is None:
            self._due_at = now + self._turn_s()
        if now >= self._due_at:
            await self._write(versions)

    async def wait(self, timeout_s: float) -> None:
        """Wait until a version is not recorded yet, but no longer than a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ticks.until_tick_s(timeout_s)):
                await self._write_requested.wait()

    def _forget(self, now: float) -> None:
        """Forget versions that were recorded so long ago that no stream of theirs is left."""
        forgotten = {v for v, at in self._read_since.items() if now - at >= self.retention_s}
        for version in forgotten - self._stored:
            del self._read_since[version]
            self._by_service[version.service].discard(version.software_version)

    def _is_deferred(self, version: ServiceVersion, now: float) -> bool:
        """Return whether a version is left unrecorded for now, so that no streams begin there."""
        if self._is_recorded(version) or version.service in self._needed:
            return False
        # A version that left has come long ago.
        all_nodes_run = now - self._came_at.get(version, -math.inf) >= END_SUSPECTED_S
        if all_nodes_run and now - self._nodes_changed_at >= RETURN_OF_CALLERS_S:
            return False
        views = self._engines.of_service(version.service)
        recorded = self.of_service(version.service)
        if any(v.leaving and v.record.software_version in recorded for v in views):
            return False
        serving = self._engines.serving_versions(version.service)
        return recorded_suffice(serving, serving.keys() & recorded)

    def _note_members(self, now: float) -> None:
        """Note whether a node has ended or restarted, or may have."""
        members = self._membership.members()
        incarnations = {(member.node_id, member.incarnation) for member in members}
        is_suspected = any(member.condition is Condition.SUSPECT for member in members)
        if is_suspected or self._incarnations - incarnations:
            self._nodes_changed_at = now
        self._incarnations = incarnations
        alive = {each.node_id for each in members if each.condition is not Condition.SUSPECT}
        lost_at = self._lost_at | dict.fromkeys(self._alive - alive, now)
        self._lost_at = {
            node: at for node, at in lost_at.items() if node not in alive and now - at < RETENTION_S
        }
        self._alive = alive

    def _note_arrivals(self, now: float) -> None:
        """Note since when versions serve that are not recorded."""
        unrecorded = (version for version in self._present() if not self._is_recorded(version))
        self._came_at = {version: self._came_at.get(version, now) for version in unrecorded}

    def _is_recorded(self, version: ServiceVersion) -> bool:
        return version.software_version in self.of_service(version.service)

    def _current(self, now: float) -> frozenset[ServiceVersion]:
        """Return the versions to record: those that serve, or may have served lately."""
        present = self._present()
        services = {each.service for each in present | self._read_since.keys()}
        lately = {
            ServiceVersion(service, version)
            for service in services
            for version in self._engines.removed_versions.versions(service, now, self.retention_s)
        }
        read = {v for v, at in self._read_since.items() if now - at < self.retention_s}
        came = (each for each in present | lately if not self._is_deferred(each, now))
        return frozenset(came) | read

    def _turn_s(self) -> float:
        """Return after what time this node writes, unless another one has written before."""
        members = ranked(RANK_KEY, self._membership.members())
        own = self._membership.own.node_id
        rank = next((at for at, member in enumerate(members) if member.node_id == own), 0)
        return NEEDED_TURNS_S * rank / max(1, len(members)) if self._needed else TURN_S * rank

    async def _write(self, versions: frozenset[ServiceVersion]) -> None:
        ordered = sorted(versions, key=lambda each: (each.service, each.software_version))
        rows = [
            messages.ServiceVersion(service=v.service, software_version=v.software_version)
            for v in ordered
        ]
        record = messages.ServedVersions(
            versions=rows,
            retention_seconds=math.ceil(self.retention_s),
            is_partial=self.lacks_history,
        )
        item = self._mirror.get(VERSIONS_KEY)
        expected = (Expectation(VERSIONS_KEY, item.revision if item else 0),)
        names = [f"{v.service}/{v.software_version}" for v in ordered]
        try:
            await self._store.transact(
                expected, (PutItem(VERSIONS_KEY, record.SerializeToString()),)
            )
        except StoreError as error:
            # Another node wrote first, or the store is unreachable: the mirror tells.
            self._due_at = clock.now_s() + WRITE_RETRY_S
            self._log.state_changed("versions_not_recorded", versions=names, why=repr(error))
            return
        # The mirror has the record within a watch; until then it is not due again.
        self._due_at = clock.now_s() + WRITE_RETRY_S
        self._log.state_changed("versions_recorded", versions=names, needed=sorted(self._needed))
