"""Keeps the configuration replica up to date, from the peers first and from the store."""

import asyncio
import random
from collections.abc import Callable

from liftrill import constants
from liftrill.coordination.configuration import Adoption
from liftrill.coordination.key_value_store import KeyValueStore
from liftrill.coordination.membership_messages import (
    Member,
)
from liftrill.errors import ConfigurationError, StoreError, StoreUnavailableError
from liftrill.mechanisms import Mechanism, is_enabled
from liftrill.messages import configuration_pb2 as messages
from liftrill.messages.peer_pb2 import Snapshot
from liftrill.node.context import NodeContext
from liftrill.node.gossip_codec import (
    listing_from_message,
    member_from_message,
    observation_from_message,
)
from liftrill.node.logs import log_change
from liftrill.node.peer_client import PeerClient, PeerError
from liftrill.planning.commit import HEAD_KEY, restore_newer_head, section_key
from liftrill.planning.sections import (
    ConfigurationView,
    configuration_view,
    head_from_message,
    parse_head,
)


class ConfigurationSync:
    """Offers heads and sections to the replica, and puts adopted configurations in force."""

    def __init__(
        self,
        context: NodeContext,
        store: KeyValueStore,
        peers: PeerClient,
        random_source: random.Random,
        watches_store: Callable[[], bool],
        on_members: Callable[[list[Member]], None],
        on_adopted: Callable[[ConfigurationView], None],
    ) -> None:
        self._context = context
        self._store = store
        self._peers = peers
        self._random = random_source
        self._watches_store = watches_store
        self._on_members = on_members
        self._on_adopted = on_adopted
        self._fetch_lock = asyncio.Lock()
        self._newest_head = messages.Head()

    async def offer(self, head: messages.Head) -> None:
        """Offer a head from any source to the replica, and fetch its missing sections."""
        try:
            adoption = self._context.replica.offer_head(head_from_message(head))
        except ConfigurationError as error:
            log_change("configuration_conflict", generation=head.generation, error=str(error))
            return
        if adoption is Adoption.STALE:
            return
        if head.generation > self._newest_head.generation:
            self._newest_head = head
        if adoption is Adoption.INCOMPLETE:
            await self._fetch_missing()
        self._install()

    async def join_from_peers(self) -> None:
        """Request snapshots from the peers until a configuration and engines are known.

        A peer that has started recently may have a configuration and no engines yet, or the
        reverse.
        """
        wait = constants.STORE_RETRY_FIRST_SECONDS
        while True:
            for address in self._shuffled_peers():
                await self.pull_snapshot(address)
                if self._context.replica.generation and len(self._context.engines):
                    return
            await asyncio.sleep(wait * self._random.uniform(0.5, 1.5))
            wait = min(wait * 2, constants.STORE_RETRY_LONGEST_SECONDS)

    async def pull_snapshot(self, address: str) -> None:
        """Merge a peer's snapshot; a peer that does not respond is skipped."""
        try:
            snapshot = await self._peers.snapshot(address)
        except PeerError:
            return
        self._offer_snapshot(snapshot)

    async def pull_head(self, address: str) -> None:
        """Fetch a peer's head and the sections that changed, and adopt the configuration."""
        try:
            head = await self._peers.head(address)
            await self.offer(head)
        except (PeerError, StoreError):
            return

    async def watch_store(self) -> None:
        """Follow the head in the store, if this node is one of its region's store watchers.

        Any node without a configuration also reads the store.
        """
        revision = 0
        wait = constants.STORE_RETRY_FIRST_SECONDS
        while True:
            if not self._watches_store() and self._context.replica.generation:
                await asyncio.sleep(constants.STORE_RETRY_LONGEST_SECONDS)
                continue
            try:
                entry = await self._store.watch(HEAD_KEY, revision, constants.STORE_WATCH_SECONDS)
                if entry is not None:
                    revision = entry.revision
                    await self._offer_store_head(parse_head(entry.value))
                wait = constants.STORE_RETRY_FIRST_SECONDS
            except (StoreError, ConfigurationError):
                self._context.metrics.store_errors.inc()
                await asyncio.sleep(wait * self._random.uniform(0.5, 1.5))
                wait = min(wait * 2, constants.STORE_RETRY_LONGEST_SECONDS)

    async def _offer_store_head(self, head: messages.Head) -> None:
        is_stale = head.generation < self._context.replica.generation
        if is_stale and is_enabled(Mechanism.GENERATION_ORDER):
            await self._repair_store()
            return
        await self.offer(head)

    async def _repair_store(self) -> None:
        """Write the configuration in force to a store that has reverted to an older one."""
        current = self._context.replica.current
        assert current is not None
        sections = {
            current.head.section_digests[name]: content
            for name, content in current.sections.items()
        }
        await asyncio.sleep(self._random.uniform(0, constants.STORE_RETRY_FIRST_SECONDS))
        if await restore_newer_head(self._store, self._context.head, sections):
            log_change("store_repaired", generation=current.head.generation)

    def _offer_snapshot(self, snapshot: Snapshot) -> None:
        self._merge_records(snapshot)
        # The head is offered first, since the replica rejects sections that no head refers to.
        if snapshot.head.generation <= self._context.replica.generation:
            return
        try:
            self._context.replica.offer_head(head_from_message(snapshot.head))
            for digest, content in snapshot.sections.items():
                self._context.replica.offer_section(bytes.fromhex(digest), content)
        except (ConfigurationError, ValueError) as error:
            log_change("snapshot_refused", error=str(error))
            return
        self._newest_head = snapshot.head
        self._install()

    def _merge_records(self, snapshot: Snapshot) -> None:
        """Merge the members and the engine records of a snapshot."""
        context = self._context
        self._on_members([member_from_message(m) for m in snapshot.members])
        listings = [listing_from_message(m) for m in snapshot.engines]
        context.records.offer_listings(listings, spread=False)
        for message in snapshot.observations:
            observation = observation_from_message(message)
            context.records.offer_observation(observation, spread=False)

    async def _fetch_missing(self) -> None:
        """Fetch the missing sections, one at a time, each from the peers and then the store."""
        async with self._fetch_lock:
            for digest in self._context.replica.wanted_digests:
                content = await self._fetch_section(digest)
                if content is not None:
                    self._context.replica.offer_section(digest, content)

    async def _fetch_section(self, digest: bytes) -> bytes | None:
        for address in self._shuffled_peers():
            try:
                content = await self._peers.section(address, digest)
            except PeerError:
                continue
            if content is not None:
                return content
        entry = await self._store.get(section_key(digest))
        if entry is None:
            raise StoreUnavailableError(f"section {digest.hex()} is not in the store")
        return entry.value

    def _install(self) -> None:
        """Put the adopted configuration in force on this node."""
        current = self._context.replica.current
        if current is None or current.head.generation == self._context.view.generation:
            return
        view = configuration_view(current)
        context = self._context
        context.view = view
        context.router.view = view
        context.admission.configure(list(view.tenants.tenants), list(view.workloads.workloads))
        if self._newest_head.generation == view.generation:
            context.head = self._newest_head
        context.metrics.generation.set(view.generation)
        context.membership.generation = view.generation
        context.dispatcher.wake()
        log_change("configuration_in_force", generation=view.generation)
        self._on_adopted(view)

    def _shuffled_peers(self) -> list[str]:
        own = self._context.membership.own
        addresses = [m.address for m in self._context.membership.members() if m != own]
        addresses = addresses or [a for a in self._context.settings.peers if a != own.address]
        self._random.shuffle(addresses)
        return addresses
