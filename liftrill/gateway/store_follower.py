"""Keeps a mirror of the store's range for as long as the node runs.

A watch that is cut says nothing of the store: the range is read anew before anything else,
and only a reading that fails makes this node follow another one. Otherwise nodes whose
watches are cut at the same time would follow each other, and none of them read the store.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable

from liftrill import clock, constants
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.mirror_currency import MirrorCurrency
from liftrill.coordination.range_store import HistoryGoneError, RangePage, RangeStore, StoredItem
from liftrill.coordination.store_mirror import MirrorChange, StoreMirror
from liftrill.coordination.store_position import era_of
from liftrill.errors import StoreError, StoreUnavailableError
from liftrill.gateway.relay_client import (
    ReaderLimits,
    RelayClient,
    RelayListener,
    RelayLostError,
)
from liftrill.gateway.relay_codec import RelayAnswer, RelayUpdate
from liftrill.gateway.relay_server import RelaySource
from liftrill.gateway.store_outage import StoreOutage

# For how long a node that starts waits for a node to follow before it watches the store
# itself. Members know of each other after about a second.
SETTLE_S = 1.0
# The time between two watches of a node that reads the store only until it may follow
# another again: changes are in force within seconds, and many nodes may do so at once (guess).
STAND_IN_SPACING_S = 0.5
# How much later than a reading, or a peer's word, the watch may bring the same change, besides
# the time between two watches.
WATCH_LAG_S = 0.4

# The least time for another node to be reached, and to answer, between regions (guess).
LEAST_PATIENCE_S = 0.3


class FollowerDelegate(ABC):
    """Whom a follower tells of changes, and asks whom to follow."""

    @abstractmethod
    def mirror_changed(self, change: MirrorChange, known_until: float) -> None:
        """Take in a change of a copy that held all there was until a time (steady clock)."""

    @abstractmethod
    def range_read(self, asked_at: float) -> None:
        """Note that the whole range was read, asked for at a time."""

    @abstractmethod
    def own_name(self) -> str:
        """Return the name of this node."""

    @abstractmethod
    def is_assigned_reader(self) -> bool:
        """Return whether this node is to read the store, and not only until it may follow."""

    @abstractmethod
    def store_connection_changed(self, connected: bool) -> None:
        """Note that the store was lost or regained."""

    @abstractmethod
    def relay_answered(self, answer: RelayAnswer, asked_at: float) -> None:
        """Note how current the followed reader is."""

    @abstractmethod
    def reader_to_follow(self, store_lost: bool) -> Member | None:
        """Return the node to follow, or None to read the store itself."""

    @abstractmethod
    def is_reader_eligible(self, reader: Member, since: float) -> bool:
        """Return whether a node that was followed since a time is still one to follow."""

    @abstractmethod
    def reader_followed(self, reader: Member, store_lost: bool) -> None:
        """Note that this node begins to follow another one, and whether for want of the store."""

    @abstractmethod
    def reader_lost(self, reader: Member, reason: str) -> None:
        """Note that a reader serves this node no more."""


class StoreFollower(RelayListener, RelaySource):
    """Reads the range once, then watches it, or follows a node that does.

    Attributes:
        mirror: the copy.
        currency: until when the copy is known to be whole.
        connected: whether the store's last call, or the followed reader, was answered.
        followed: the reader that is being followed, or None.
    """

    def __init__(
        self, store: RangeStore, prefix: str, owner: FollowerDelegate, limits: ReaderLimits
    ) -> None:
        self.mirror = StoreMirror()
        self.freshness = MirrorCurrency()
        self.connected = False
        self.followed: Member | None = None
        self._store = store
        self._prefix = prefix
        self._owner = owner
        self._limits = limits
        self._relay = RelayClient(self, limits)
        self._outage = StoreOutage()
        self._reread = True
        self._reading = False
        self._try_store = False
        self._waiting: asyncio.Task[None] | None = None
        self._followed_since = 0.0
        self._reader_path: tuple[str, ...] = ()

    async def run(self) -> None:
        """Follow the range until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._reread = True
            except StoreError:
                self._reread = True
                self._note_connection(False)
                await self._interruptible(asyncio.sleep(self._outage.next_pause_s()))

    def reread(self) -> None:
        """Read the whole range soon: something shows that the copy lacks changes."""
        self._reread = True
        self._interrupt()

    @property
    def path(self) -> tuple[str, ...]:
        """Return the nodes that changes pass, from this one to the one that reads the store."""
        own_name = self._owner.own_name()
        if self.followed is not None:
            return (own_name, *self._reader_path) if self._reader_path else ()
        return () if self._outage.lost or self._reread else (own_name,)

    def watch_lag_s(self) -> float:
        """Return how much later than a reading the watch may bring what the reading named."""
        return WATCH_LAG_S + self._spacing_s()

    def reselect_reader(self) -> None:
        """Choose anew whom to follow, if the members call for it."""
        if self.followed is not None:
            if not self._owner.is_reader_eligible(self.followed, self._followed_since):
                self._interrupt()
        elif self._reader_to_follow() is not None:
            self._interrupt()

    def era_began(self) -> None:
        """Read the range in the era that an answer of the store names.

        A reading under way, which may have had that answer, is of one era or begun anew.
        """
        if self.followed is None and not self._reading:
            self.reread()

    def store_failed(self) -> None:
        """Note that the store did not answer a reading of this node, asked on a new connection."""
        if self.followed is None:
            self._outage.note_unread()
            self.reread()

    def store_answered(self, revision: int, asked_at: float) -> None:
        """Note that the store was at a revision some time after another call of this node."""
        self._note_reading(revision, asked_at)
        if self.followed is None and self._outage.lost:
            # The store is back: the pause before the next try would only make the copy older.
            self._outage.note_answered()
            if not self._reading:
                self.reread()

    def _note_reading(self, revision: int, asked_at: float) -> None:
        self.freshness.note_reading(revision, asked_at)
        self.freshness.note_mirror(self.mirror.at)

    def _reader_to_follow(self) -> Member | None:
        if self._reread and (self._try_store or not self._outage.lost):
            return None
        return self._owner.reader_to_follow(self._outage.lost)

    # A reader's word

    def relay_updated(self, update: RelayUpdate) -> None:
        """Take in changes, or a part of a snapshot.

        Raises:
            RelayLostError: the reader tells no eras, and the store does: after its return from an
                older copy such a reader would go on with what it had.
        """
        if update.batch.at and not era_of(update.batch.at) and era_of(self.mirror.at):
            raise RelayLostError("it tells no era of the store")
        self._note_connection(True)
        if not update.snapshot:
            change = self.mirror.take_batch(update.batch)
            if change.written or change.removed:
                self._tell(change)
            self.freshness.note_mirror(self.mirror.at)
            return
        items = tuple(item for item in update.batch.changes if isinstance(item, StoredItem))
        whole = self.mirror.take_page(RangePage(items, update.batch.at, update.more))
        if whole is not None:
            self._tell(whole)

    def relay_confirmed(self, answer: RelayAnswer, asked_at: float) -> None:
        """Take in how current the reader was some time after a question."""
        self._reader_path = answer.path
        self._note_reading(answer.at, asked_at - answer.mirror_age_s)
        self._owner.relay_answered(answer, asked_at)

    def reader_timeout_s(self) -> float:
        """Return for how long the followed reader may be silent.

        Until the copy is as old as news may be, if that comes first: the store may answer this
        node at once, and of two readers that are waited for in full one after the other a node
        learned of an engine's leaving 2.8 s late (2 s allowed; soak under hard load). Where the
        store has just failed this node there is nobody better to ask.
        """
        if self._outage.lost:
            return constants.RELAY_SILENCE_SECONDS
        left_s = self._limits.max_copy_age_s - self.freshness.age_s(clock.now_s())
        return min(constants.RELAY_SILENCE_SECONDS, max(0.0, left_s))

    async def _follow(self, reader: Member) -> None:
        self.followed = reader
        self._followed_since = clock.now_s()
        self._owner.reader_followed(reader, store_lost=self._outage.lost)
        # When it is given up, the store itself is tried before another stand-in.
        self._try_store = True
        self._reader_path = ()
        self.mirror.begin_reading()
        try:
            await self._interruptible(self._relay.follow(reader.address, self.mirror.at))
        except RelayLostError as error:
            self._owner.reader_lost(reader, str(error))
            # Too little time for another reader to be reached and answer.
            if self.reader_timeout_s() < LEAST_PATIENCE_S:
                self._reread = True
        finally:
            self.followed = None

    # The store's word

    async def _step(self) -> None:
        reader = self._reader_to_follow()
        if reader is not None:
            await self._follow(reader)
            return
        if self._reread:
            first = not self.mirror.at
            await self._read_all()
            if first:
                # Whom to follow is known soon, and then need not be watched here.
                await self._interruptible(asyncio.sleep(SETTLE_S))
            if first or self._reread:
                return
        await self._interruptible(self._watch_once())

    async def _interruptible(self, work: Awaitable[None]) -> None:
        """Do work, or wait, until `reread` or `reconsider` ends that alone."""
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
        self._try_store = False
        self.mirror.begin_reading()
        asked_at = clock.now_s()
        known_at = self.mirror.at
        self._reading = True
        try:
            first_at, change = await self._read_pages()
        except StoreError:
            self._outage.note_unread()
            raise
        finally:
            self._reading = False
        if first_at < known_at:
            raise StoreUnavailableError(f"its page of {first_at} is older than the copy")
        self._outage.note_answered()
        self._note_connection(True)
        self._tell(change)
        self._owner.range_read(asked_at)
        self._note_reading(first_at, asked_at)

    async def _read_pages(self) -> tuple[int, MirrorChange]:
        """Return the revision of the first page, and what the pages change."""
        first_at = 0
        while True:
            page = await self._store.read_range(self._prefix, self.mirror.next_page_after())
            first_at = first_at or page.at
            if era_of(page.at) != era_of(first_at):
                raise HistoryGoneError("its pages are of two eras")
            change = self.mirror.take_page(page)
            if change is not None:
                return first_at, change

    async def _watch_once(self) -> None:
        started_at = clock.now_s()
        wait = constants.STORE_WATCH_SECONDS
        batch = await self._store.watch(self._prefix, self.mirror.at, wait)
        self._outage.note_answered()
        self._note_connection(True)
        if batch.changes:
            self._tell(self.mirror.take_batch(batch))
            await self._pace(started_at)
        else:
            self.mirror.take_batch(batch)
            self.freshness.note_mirror(self.mirror.at)

    def _tell(self, change: MirrorChange) -> None:
        """Tell of a change, and until when the mirror was whole before it."""
        self._owner.mirror_changed(change, self.freshness.as_of)
        self.freshness.note_mirror(self.mirror.at)

    async def _pace(self, started_at: float) -> None:
        """Let changes gather after one that came quickly: each call is paid for."""
        rest = self._spacing_s() - (clock.now_s() - started_at)
        if rest > 0:
            await asyncio.sleep(rest)

    def _spacing_s(self) -> float:
        """Return the time between two watches."""
        if self._owner.is_assigned_reader():
            return constants.STORE_WATCH_SPACING_SECONDS
        return STAND_IN_SPACING_S

    def _note_connection(self, connected: bool) -> None:
        if connected != self.connected:
            self.connected = connected
            self._owner.store_connection_changed(connected)
