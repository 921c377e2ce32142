"""Keeps a mirror of the store's range for as long as the node runs."""

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable

from liftrill import constants
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.mirror_currency import MirrorCurrency
from liftrill.coordination.range_store import HistoryGoneError, RangePage, RangeStore, StoredItem
from liftrill.coordination.store_mirror import MirrorChange, StoreMirror
from liftrill.errors import StoreError
from liftrill.gateway.relay_client import RelayClient, RelayListener, RelayLostError
from liftrill.gateway.relay_codec import RelayAnswer, RelayUpdate

# For how long a node that starts waits for a node to follow before it watches the store
# itself. Members know of each other after about a second.
SETTLE_S = 1.0
# The time between two watches of a node that reads the store only until it may follow
# another again: changes are in force within seconds, and many nodes may do so at once (guess).
STAND_IN_SPACING_S = 0.5


class FollowerOwner(ABC):
    """Whom a follower tells of changes, and asks whom to follow."""

    @abstractmethod
    def mirror_changed(self, change: MirrorChange, heard_at: float) -> None:
        """Take in a change; what is news in it may be as old as a time (steady clock)."""

    @abstractmethod
    def range_read(self, asked_at: float) -> None:
        """Note that the whole range was read, asked for at a time."""

    @abstractmethod
    def reads_for_others(self) -> bool:
        """Return whether this node is to read the store, and not only until it may follow."""

    @abstractmethod
    def store_connection(self, connected: bool) -> None:
        """Note that the store was lost or regained."""

    @abstractmethod
    def relay_answered(self, answer: RelayAnswer, asked_at: float) -> None:
        """Note how current the followed reader is."""

    @abstractmethod
    def reader_to_follow(self, store_lost: bool) -> Member | None:
        """Return the node to follow, or None to read the store itself."""

    @abstractmethod
    def keeps_reader(self, reader: Member, since: float) -> bool:
        """Return whether a node that was followed since a time is still one to follow."""

    @abstractmethod
    def reader_followed(self, reader: Member, store_lost: bool) -> None:
        """Note that this node begins to follow another one, and whether for want of the store."""

    @abstractmethod
    def reader_lost(self, reader: Member, reason: str) -> None:
        """Note that a reader serves this node no more."""


class StoreFollower(RelayListener):
    """Reads the range once, then watches it, or follows a node that does.

    Attributes:
        mirror: the copy.
        currency: until when the copy is known to be whole.
        connected: whether the store's last call, or the followed reader, was answered.
        followed: the reader that is being followed, or None.
    """

    def __init__(self, store: RangeStore, prefix: str, owner: FollowerOwner) -> None:
        self.mirror = StoreMirror()
        self.currency = MirrorCurrency()
        self.connected = False
        self.followed: Member | None = None
        self._store = store
        self._prefix = prefix
        self._owner = owner
        self._relay = RelayClient(self)
        self._failures = 0
        self._reread = True
        self._waiting: asyncio.Task[None] | None = None
        self._confirmed_at = 0.0
        self._followed_since = 0.0

    async def run(self) -> None:
        """Follow the range until cancelled."""
        while True:
            reader = self._reader_to_follow()
            if reader is not None:
                await self._follow(reader)
                continue
            try:
                await self._step()
            except HistoryGoneError:
                self._reread = True
            except StoreError:
                self._note_connection(False)
                await self._back_off()

    def read_again(self) -> None:
        """Read the whole range soon: something shows that the watch has missed changes."""
        self._reread = True
        if self.followed is None:
            self._interrupt()

    def reconsider(self) -> None:
        """Choose anew whom to follow, if the members call for it."""
        if self.followed is not None:
            if not self._owner.keeps_reader(self.followed, self._followed_since):
                self._interrupt()
        elif self._reader_to_follow() is not None:
            self._interrupt()

    def store_failed(self) -> None:
        """Note that the store did not answer another call of this node."""
        if self.followed is None:
            self._failures += 1
            self.reconsider()

    def store_answered(self, revision: int, asked_at: float) -> None:
        """Note that the store was at a revision some time after another call of this node."""
        self.currency.note_reading(revision, asked_at)
        self.currency.note_mirror(self.mirror.at)

    def _reader_to_follow(self) -> Member | None:
        store_lost = self._failures > 0
        if not self.mirror.at and not store_lost:
            return None
        return self._owner.reader_to_follow(store_lost)

    # A reader's word

    def relay_updated(self, update: RelayUpdate) -> None:
        """Take in changes, or a part of a snapshot."""
        self._note_connection(True)
        if not update.snapshot:
            change = self.mirror.take_batch(update.batch)
            if change.written or change.removed:
                self._tell(change, time.monotonic())
            self.currency.note_mirror(self.mirror.at)
            return
        items = tuple(item for item in update.batch.changes if isinstance(item, StoredItem))
        change_or_more = self.mirror.take_page(RangePage(items, update.batch.at, update.more))
        if change_or_more is not None:
            self._tell(change_or_more, self._since_confirmed())

    def relay_confirmed(self, answer: RelayAnswer, asked_at: float) -> None:
        """Take in how current the reader was some time after a question."""
        self._confirmed_at = asked_at
        self.store_answered(answer.at, asked_at - answer.mirror_age_s)
        self._owner.relay_answered(answer, asked_at)

    async def _follow(self, reader: Member) -> None:
        self.followed = reader
        self._followed_since = time.monotonic()
        self._owner.reader_followed(reader, store_lost=self._failures > 0)
        # When it is given up, the store itself is tried before another stand-in.
        self._failures = 0
        self.mirror.begin_reading()
        try:
            await self._interruptible(self._relay.follow(reader.address, self.mirror.at))
        except RelayLostError as error:
            self._owner.reader_lost(reader, str(error))
        finally:
            self.followed = None

    def _since_confirmed(self) -> float:
        """Return since when news of a reader may be waiting: it was lost for a while."""
        now = time.monotonic()
        return min(now, max(self._confirmed_at, now - constants.RELAY_GAP_SECONDS))

    # The store's word

    async def _step(self) -> None:
        if self._reread:
            first = not self.mirror.at
            await self._read_all()
            if first:
                # Whom to follow is known soon, and then need not be watched here.
                await self._interruptible(asyncio.sleep(SETTLE_S))
                return
        await self._interruptible(self._watch_once())

    async def _interruptible(self, work: Awaitable[None]) -> None:
        """Do work that `read_again` and `reconsider` can end alone."""
        self._waiting = asyncio.ensure_future(work)
        try:
            await asyncio.wait({self._waiting})
            if not self._waiting.cancelled():
                self._waiting.result()
        finally:
            self._waiting.cancel()
            self._waiting = None

    def _interrupt(self) -> None:
        if self._waiting is not None:
            self._waiting.cancel()

    async def _read_all(self) -> None:
        self._reread = False
        self.mirror.begin_reading()
        change: MirrorChange | None = None
        asked_at = time.monotonic()
        first_at = 0
        try:
            while change is None:
                page = await self._store.read_range(self._prefix, self.mirror.next_page_after())
                first_at = first_at or page.at
                change = self.mirror.take_page(page)
        except StoreError:
            self._reread = True
            raise
        self._note_connection(True)
        self._tell(change, time.monotonic())
        self._owner.range_read(asked_at)
        self.store_answered(first_at, asked_at)

    async def _watch_once(self) -> None:
        started_at = time.monotonic()
        wait = constants.STORE_WATCH_SECONDS
        batch = await self._store.watch(self._prefix, self.mirror.at, wait)
        self._note_connection(True)
        if batch.changes:
            self._tell(self.mirror.take_batch(batch), time.monotonic())
            await self._pace(started_at)
        else:
            self.mirror.take_batch(batch)
            self.currency.note_mirror(self.mirror.at)

    def _tell(self, change: MirrorChange, heard_at: float) -> None:
        """Tell of a change, and how old the mirror was before it."""
        self._owner.mirror_changed(change, heard_at)
        self.currency.note_mirror(self.mirror.at)

    async def _pace(self, started_at: float) -> None:
        """Let changes gather after one that came quickly: each call is paid for."""
        reads_for_others = self._owner.reads_for_others()
        spacing_s = (
            constants.STORE_WATCH_SPACING_SECONDS if reads_for_others else STAND_IN_SPACING_S
        )
        rest = spacing_s - (time.monotonic() - started_at)
        if rest > 0:
            await asyncio.sleep(rest)

    async def _back_off(self) -> None:
        self._reread = True
        self._failures += 1
        longest = constants.STORE_RETRY_FIRST_SECONDS * 2 ** min(self._failures, 4)
        await asyncio.sleep(random.uniform(constants.STORE_RETRY_FIRST_SECONDS, longest))

    def _note_connection(self, connected: bool) -> None:
        if connected:
            self._failures = 0
        if connected != self.connected:
            self.connected = connected
            self._owner.store_connection(connected)
